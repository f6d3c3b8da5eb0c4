//! The directory of targets: heartbeats, homes, deltas.

use latchmount::directory::{
    Announcement, Born, Directory, HeartbeatClass, Incarnation, TargetState,
};
use latchmount::group::listing::Packer;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::seeds;

/// A heartbeat of the target `id`; all have the same address.
pub(crate) fn heartbeat(id: &str, state: TargetState, sequence: u64) -> Announcement {
    Announcement {
        id: id.into(),
        born: Born::default(),
        service: "s".into(),
        version: "v1".into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_hall: "z".into(),
        slots: 8,
        state,
        cold_left: std::time::Duration::ZERO,
        sequence,
    }
}

/// The incarnation of a target that does not report its start time.
pub(crate) fn first_start(id: &str) -> Incarnation {
    Incarnation { id: id.to_owned(), born: Born::default() }
}

#[test]
fn heartbeats_are_changed_unchanged_or_stale() {
    let mut directory = Directory::default();
    let ready = heartbeat("a", TargetState::Ready, 5);
    assert_eq!(directory.classify(&ready), HeartbeatClass::Changed);
    directory.announce(10, ready);
    assert_eq!(
        directory.classify(&heartbeat("a", TargetState::Ready, 6)),
        HeartbeatClass::Unchanged
    );
    directory.announce(11, heartbeat("a", TargetState::Draining, 8));
    assert_eq!(directory.classify(&heartbeat("a", TargetState::Ready, 7)), HeartbeatClass::Stale);
    assert_eq!(
        directory.classify(&heartbeat("a", TargetState::Draining, 9)),
        HeartbeatClass::Unchanged
    );
    directory.remove(12, "a", Born::default());
    assert_eq!(directory.classify(&heartbeat("a", TargetState::Ready, 99)), HeartbeatClass::Stale);
    assert!(directory.targets().next().is_none());
}

#[test]
fn a_target_that_replaces_another_takes_its_home_and_moves_no_other() {
    let mut directory = Directory::default();
    let mut index = 0;
    let mut next = || {
        index += 1;
        index
    };
    let ids: Vec<String> = (0..5).map(|at| format!("old{at}")).collect();
    for id in &ids {
        directory.announce(next(), heartbeat(id, TargetState::Ready, 1));
    }
    directory.assign_homes(next(), &ids.iter().map(|id| first_start(id)).collect::<Vec<_>>());
    let homes = |directory: &Directory| -> BTreeMap<String, u32> {
        let delta = directory.delta_since(0).expect("changes");
        let changed = delta.changed.into_iter();
        changed.filter_map(|listed| Some((listed.announcement.id, listed.home?))).collect()
    };
    let before = homes(&directory);
    assert_eq!(before.values().copied().collect::<Vec<_>>(), [0, 1, 2, 3, 4]);
    directory.announce(next(), heartbeat("new", TargetState::Ready, 1));
    assert_eq!(
        homes(&directory),
        before,
        "a new target has no home until one is assigned or freed"
    );
    directory.announce(next(), heartbeat("old2", TargetState::Draining, 2));
    let mut expected = before.clone();
    let freed = expected.remove("old2").expect("old2 had a home");
    expected.insert("new".into(), freed);
    assert_eq!(homes(&directory), expected);
    directory.remove(next(), "old2", Born::default());
    assert_eq!(homes(&directory), expected);
    directory.remove(next(), "old1", Born::default());
    expected.remove("old1");
    assert_eq!(homes(&directory), expected, "without a new target the home stays free");
    directory.announce(next(), heartbeat("later", TargetState::Ready, 1));
    expected.insert("later".into(), 1);
    assert_eq!(homes(&directory), expected, "the next new target gets the free home at once");
}

/// Gateways that apply deltas end with the same targets as one that gets the whole list.
#[test]
fn differences_of_the_directory_add_up() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut directory = Directory::default();
    let mut packer = Packer::new().expect("memory");
    let mut followers: Vec<(u64, BTreeMap<String, Announcement>)> = vec![Default::default(); 3];
    for index in 1..2_000u64 {
        let id = format!("t{}", rng.random_range(0..400));
        match rng.random_range(0..10) {
            0..6 => directory.announce(index, heartbeat(&id, TargetState::Ready, index)),
            6 => directory.announce(index, heartbeat(&id, TargetState::Draining, index)),
            7 => directory.mark_unresponsive(index, &[first_start(&id)]),
            _ => directory.remove(index, &id, Born::default()),
        }
        let at = rng.random_range(0..followers.len());
        let (known, targets) = &mut followers[at];
        if let Some(delta) = directory.delta_since(*known) {
            let packed = packer.pack(delta).expect("the delta encodes");
            let delta = packed.unpack().expect("the delta decodes");
            if delta.whole {
                targets.clear();
            }
            for id in &delta.removed {
                targets.remove(id);
            }
            for changed in delta.changed {
                targets.insert(changed.announcement.id.clone(), changed.announcement);
            }
            for moved in delta.moved {
                let target = targets.values_mut().find(|target| target.key() == moved.target);
                target.expect("a changed target is known").state = moved.state;
            }
            *known = delta.revision;
        }
        // Updates to gateways leave out the sequence numbers.
        let without_sequence =
            |target: &Announcement| Announcement { sequence: 0, ..target.clone() };
        let all: BTreeMap<String, Announcement> = directory
            .targets()
            .map(|target| (target.id.clone(), without_sequence(target)))
            .collect();
        assert_eq!(*targets, all, "seed {seed}, index {index}");
    }
}
