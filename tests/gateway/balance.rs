//! Choice of the target for a request.

use latchmount::gateway::balance::{Affinity, Candidate, Preference, choose, earlier_home};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeds;

fn shared(hash: u64, tokens: u64) -> Affinity {
    Affinity { hash, tokens }
}

fn candidate(home: u32, load: f64) -> Candidate {
    Candidate {
        key: u64::from(home),
        home: Some(home),
        load,
        slots: 64,
        slowdown: 1.0,
        near: false,
        last_resort: false,
    }
}

#[test]
fn an_affinity_always_meets_the_same_target_and_moves_only_with_it() {
    let mut rng = StdRng::seed_from_u64(1);
    let all: Vec<Candidate> = (0..18).map(|key| candidate(key, 1.0)).collect();
    for affinity in 0..500 {
        let preference =
            Preference { affinity: Some(shared(affinity, 0)), load_bound: 2.0, targets: 18 };
        let first = choose(&all, preference, &mut rng).expect("candidates");
        let without: Vec<Candidate> = all.iter().copied().filter(|c| c.home != Some(5)).collect();
        let then = choose(&without, preference, &mut rng).expect("candidates");
        if all[first].home != Some(5) {
            assert_eq!(without[then].home, all[first].home);
        }
    }
}

#[test]
fn no_target_is_chosen_beyond_its_bound_while_another_is_below() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..2_000 {
        let count = rng.random_range(2..20);
        let loads = |home| candidate(home, f64::from(rng.random_range(0..40u32)));
        let all: Vec<Candidate> = (0..count).map(loads).collect();
        let tokens = rng.random_range(0..20_000);
        let preference = Preference {
            affinity: Some(shared(7, tokens)),
            load_bound: 2.0,
            targets: count as usize,
        };
        let at = choose(&all, preference, &mut StdRng::seed_from_u64(2)).expect("candidates");
        let mean = all.iter().map(|c| c.load).sum::<f64>() / count as f64;
        assert!(all[at].load <= 2.0 * mean + 3.0, "seed {seed}: {all:?} chose {at}");
    }
}

#[test]
fn cheap_requests_leave_a_full_home_before_expensive_ones() {
    let mut rng = StdRng::seed_from_u64(4);
    let preference =
        |tokens| Preference { affinity: Some(shared(7, tokens)), load_bound: 2.0, targets: 10 };
    let mut all: Vec<Candidate> = (0..10).map(|home| candidate(home, 4.0)).collect();
    let home = choose(&all, preference(0), &mut rng).expect("candidates");
    all[home].load = 7.0;
    assert_eq!(choose(&all, preference(10_000), &mut rng), Some(home));
    assert_ne!(choose(&all, preference(100), &mut rng), Some(home));
    all[home].load = 12.0;
    assert_ne!(choose(&all, preference(10_000), &mut rng), Some(home));
}

#[test]
fn last_resort_targets_are_chosen_only_when_there_is_no_other() {
    let mut rng = StdRng::seed_from_u64(3);
    for affinity in [None, Some(shared(4, 100))] {
        let preference = Preference { affinity, load_bound: 2.0, targets: 18 };
        let mut all = vec![candidate(1, 0.0), candidate(2, 9.0)];
        all[0].last_resort = true;
        assert_eq!(choose(&all, preference, &mut rng), Some(1));
        all[1].last_resort = true;
        assert!(choose(&all, preference, &mut rng).is_some());
        assert_eq!(choose(&[], preference, &mut rng), None);
    }
}

/// While a fleet starts, few targets have a home. Those must not get the requests of all affinities.
#[test]
fn affinities_spread_over_all_targets_while_few_have_homes() {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let without_home = |key: u32| Candidate { home: None, ..candidate(key, 0.0) };
    let mut all: Vec<Candidate> = (0..40).map(without_home).collect();
    all[7].home = Some(0);
    let mut chosen = vec![0; all.len()];
    for affinity in 0..4_000 {
        let preference =
            Preference { affinity: Some(shared(affinity, 9_000)), load_bound: 2.0, targets: 40 };
        chosen[choose(&all, preference, &mut rng).expect("candidates")] += 1;
    }
    assert!(chosen.iter().all(|times| (20..400).contains(times)), "{chosen:?}");
}

/// The target in an evacuated hall that has a prompt cached is the one that would be chosen without the evacuation.
#[test]
fn the_evacuated_prefix_holder_is_the_target_chosen_without_the_evacuation() {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let all: Vec<Candidate> = (0..30).map(|home| candidate(home, 0.0)).collect();
    let (eligible, evacuated) = all.split_at(20);
    for affinity in 0..500 {
        let affinity = shared(affinity, 0);
        let preference = Preference { affinity: Some(affinity), load_bound: 2.0, targets: 30 };
        let chosen = choose(&all, preference, &mut rng).expect("candidates");
        let expected = chosen.checked_sub(eligible.len());
        assert_eq!(earlier_home(eligible, evacuated, affinity), expected);
    }
    assert_eq!(earlier_home(eligible, &[], shared(1, 0)), None);
}
