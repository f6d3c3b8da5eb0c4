//! Which targets are left alone.

use latchmount::gateway::health::{AttemptOutcome, Health, Tally};
use latchmount::group::evidence::Evidence;
use latchmount::group::loads::LoadKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;

use crate::seeds;

/// Plays attempts at targets that fail with the given chances, each attempt at a target that is not
/// left alone, and counts how often each was left alone.
fn pauses_under(bad: AttemptOutcome, chances: &[f64], attempts: u32, rng: &mut StdRng) -> Vec<u32> {
    let mut targets = vec![Health::default(); chances.len()];
    let mut pauses = vec![0; chances.len()];
    for attempt in 0..attempts {
        let now = Duration::from_millis(20) * attempt;
        let usable: Vec<usize> =
            (0..chances.len()).filter(|at| !targets[*at].ejected(now)).collect();
        let Some(at) = usable.get(rng.random_range(0..usable.len().max(1))).copied() else {
            continue;
        };
        let failed = rng.random_bool(chances[at]);
        let outcome = if failed { bad } else { AttemptOutcome::Answered };
        let others = usable.iter().filter(|other| **other != at);
        let others: Vec<Tally> = others.map(|other| targets[*other].tally(now)).collect();
        pauses[at] += u32::from(targets[at].note(now, outcome, &others));
    }
    pauses
}

#[rstest]
fn targets_are_left_alone_for_failures_only_while_others_do_better(
    #[values(AttemptOutcome::Failed, AttemptOutcome::TurnedAway)] bad: AttemptOutcome,
) {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let alike = pauses_under(bad, &[0.45; 18], 1_000, &mut rng);
    assert!(alike.iter().sum::<u32>() <= 18, "all fail alike: {alike:?}");
    for failing in [1, 4, 9, 13] {
        let mut chances = [0.0; 18];
        chances[..failing].fill(0.9);
        let pauses = pauses_under(bad, &chances, 1_000, &mut rng);
        assert!(pauses[..failing].iter().all(|times| *times > 0), "{failing}: {pauses:?}");
        assert!(pauses[failing..].iter().all(|times| *times == 0), "{failing}: {pauses:?}");
    }
}

#[test]
fn a_target_that_is_left_for_turning_away_lives_and_one_left_for_failures_may_not() {
    let now = Duration::from_secs(1);
    let others = [Tally::of(now, 0.0, 8.0)];
    let left_for = |outcome: AttemptOutcome| {
        let mut health = Health::default();
        while !health.note(now, outcome, &others) {}
        health
    };
    assert!(left_for(AttemptOutcome::TurnedAway).rejects_work(now));
    assert!(!left_for(AttemptOutcome::Failed).rejects_work(now));
    assert!(!left_for(AttemptOutcome::Unreachable).rejects_work(now));
    let mut together = left_for(AttemptOutcome::TurnedAway);
    let evidence = Evidence { target: LoadKey::of(7), failed: 9.0, answered: 0.0, reporters: 3 };
    together.eject_on_evidence(now, &evidence, Duration::ZERO, 0.5);
    assert!(!together.rejects_work(now));
}

#[test]
fn a_target_out_of_reach_is_left_alone_longer_each_time_and_comes_back() {
    let mut health = Health::default();
    let mut now = Duration::ZERO;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert!(health.note(now, AttemptOutcome::Unreachable, &[]));
        let began = now;
        while health.ejected(now) {
            now += Duration::from_millis(10);
        }
        pauses.push(now - began);
        assert!(health.on_probation(now));
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[5] <= Duration::from_secs(5));
    for _ in 0..20 {
        health.note(now, AttemptOutcome::Answered, &[]);
    }
    assert!(!health.ejected(now) && !health.on_probation(now));
}
