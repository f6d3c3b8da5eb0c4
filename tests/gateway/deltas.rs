//! Directory deltas that several gateways share, while thousands of targets start.

use std::collections::{HashMap, HashSet};

use latchmount::directory::{Announcement, Directory, TargetState};
use latchmount::group::deltas::shared_base;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::directory::heartbeat;
use crate::seeds;

fn target(number: usize) -> Announcement {
    Announcement { id: format!("t{number}"), ..heartbeat("t", TargetState::Ready, 1) }
}

/// Simulates a start: targets appear in batches, and the gateways of one member follow at different speeds. Returns the
/// maximum number of entries in all deltas packed at one moment, first when each known revision gets a delta of its
/// own, then when gateways share deltas.
fn max_packed(gateways: usize, targets: usize, rng: &mut StdRng) -> (usize, usize) {
    let mut known = vec![0_u64; gateways];
    let mut most = (0, 0);
    let batch = 50;
    for newest in 1..=(targets / batch) as u64 {
        let entries = |base: &u64| (newest - base) as usize * batch;
        let own: HashSet<u64> = known.iter().copied().collect();
        let shared: HashSet<u64> = known.iter().map(|at| shared_base(newest, *at)).collect();
        most.0 = most.0.max(own.iter().map(entries).sum());
        most.1 = most.1.max(shared.iter().map(entries).sum());
        for at in &mut known {
            // Some gateways are up to date after one batch, others a hundred batches later.
            if rng.random_bool(0.03) {
                *at = newest;
            }
        }
    }
    most
}

#[rstest]
#[case(100, 10_000)]
#[case(200, 20_000)]
fn what_is_packed_at_a_start_does_not_grow_with_the_gateways(
    #[case] gateways: usize,
    #[case] targets: usize,
) {
    let seed = seeds::seed();
    let (own, shared) = max_packed(gateways, targets, &mut StdRng::seed_from_u64(seed));
    println!("{gateways} gateways, {targets} targets: {own} entries packed alone, {shared} shared");
    // There are two deltas for each doubling of the distance, none longer than the list or than three times the shortest
    // distance of its doubling: together at most seven times as many entries as the list.
    assert!(shared <= 7 * targets, "seed {seed}: {shared}");
    assert!(own >= shared, "seed {seed}: {own}, {shared}");
}

#[test]
fn a_shared_change_starts_no_later_and_brings_no_more_than_twice_as_much() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..10_000 {
        let newest = rng.random_range(1..100_000_u64);
        let known = rng.random_range(0..=newest);
        let base = shared_base(newest, known);
        assert!(base <= known, "seed {seed}: {newest} {known} {base}");
        assert!(newest - base <= 2 * (newest - known), "seed {seed}: {newest} {known} {base}");
        assert!((base == 0) == (known == 0), "seed {seed}: {newest} {known} {base}");
    }
}

/// A gateway that applies a delta from an earlier revision than its own ends with the same list as with its own delta.
#[test]
fn a_shared_change_brings_a_gateway_to_the_same_list() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut directory = Directory::default();
    let mut lists: HashMap<u64, HashMap<String, TargetState>> = HashMap::new();
    let list = |directory: &Directory| -> HashMap<String, TargetState> {
        directory.targets().map(|target| (target.id.clone(), target.state)).collect()
    };
    for index in 1..=400_u64 {
        let sequence = index;
        let number = rng.random_range(0..60);
        let state = if rng.random_bool(0.3) { TargetState::Draining } else { TargetState::Ready };
        match rng.random_bool(0.1) {
            true => {
                let known = directory.get(&format!("t{number}")).cloned();
                if let Some(known) = known {
                    directory.remove(index, &known.id, known.born);
                }
            }
            false => directory.announce(index, Announcement { state, sequence, ..target(number) }),
        }
        lists.insert(directory.revision(), list(&directory));
        for known in lists.keys().copied().filter(|known| *known > 0) {
            let base = shared_base(directory.revision(), known);
            let Some(delta) = directory.delta_since(base) else {
                continue;
            };
            let mut followed = lists[&known].clone();
            followed.retain(|id, _| !delta.removed.contains(id));
            for listed in &delta.changed {
                followed.insert(listed.announcement.id.clone(), listed.announcement.state);
            }
            for moved in &delta.moved {
                let listed_target = directory.targets().find(|target| target.key() == moved.target);
                followed.insert(listed_target.expect("it moved").id.clone(), moved.state);
            }
            assert_eq!(followed, list(&directory), "seed {seed}: {known} by {base}");
        }
    }
}
