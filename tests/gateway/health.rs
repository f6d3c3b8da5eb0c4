//! Which targets are ejected, and for how long.

use latchmount::gateway::health::{AttemptOutcome, Health, Tally};
use latchmount::group::evidence::Evidence;
use latchmount::group::loads::LoadKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;

use crate::seeds;

/// Simulates attempts at targets that fail with the given chances, each at a target that is not ejected. Returns how
/// often each target was ejected.
fn ejections_with(
    bad: AttemptOutcome,
    chances: &[f64],
    attempts: u32,
    rng: &mut StdRng,
) -> Vec<u32> {
    let mut targets = vec![Health::default(); chances.len()];
    let mut ejections = vec![0; chances.len()];
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
        ejections[at] += u32::from(targets[at].note(now, outcome, &others));
    }
    ejections
}

#[rstest]
fn targets_are_left_alone_for_failures_only_while_others_do_better(
    #[values(AttemptOutcome::Failed, AttemptOutcome::TurnedAway)] bad: AttemptOutcome,
) {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let alike = ejections_with(bad, &[0.45; 18], 1_000, &mut rng);
    assert!(alike.iter().sum::<u32>() <= 18, "all fail alike: {alike:?}");
    for failing in [1, 4, 9, 13] {
        let mut chances = [0.0; 18];
        chances[..failing].fill(0.9);
        let ejections = ejections_with(bad, &chances, 1_000, &mut rng);
        assert!(ejections[..failing].iter().all(|times| *times > 0), "{failing}: {ejections:?}");
        assert!(ejections[failing..].iter().all(|times| *times == 0), "{failing}: {ejections:?}");
    }
}

/// A target ejected for failures, or also on the evidence of other gateways, may not run any more.
#[test]
fn only_an_ejection_for_rejected_requests_shows_that_the_target_runs() {
    let now = Duration::from_secs(1);
    let others = [Tally::of(now, 0.0, 8.0)];
    let ejected_for = |outcome: AttemptOutcome| {
        let mut health = Health::default();
        while !health.note(now, outcome, &others) {}
        health
    };
    assert!(ejected_for(AttemptOutcome::TurnedAway).rejects_work(now));
    assert!(!ejected_for(AttemptOutcome::Failed).rejects_work(now));
    assert!(!ejected_for(AttemptOutcome::Unreachable).rejects_work(now));
    let mut on_evidence = ejected_for(AttemptOutcome::TurnedAway);
    let evidence = Evidence { target: LoadKey::of(7), failed: 9.0, answered: 0.0, reporters: 3 };
    on_evidence.eject_on_evidence(now, &evidence, Duration::ZERO, 0.5);
    assert!(!on_evidence.rejects_work(now));
}

#[test]
fn an_unreachable_target_is_ejected_longer_each_time_and_comes_back() {
    let mut health = Health::default();
    let mut now = Duration::ZERO;
    let mut lengths = Vec::new();
    for _ in 0..6 {
        assert!(health.note(now, AttemptOutcome::Unreachable, &[]));
        let began = now;
        while health.ejected(now) {
            now += Duration::from_millis(10);
        }
        lengths.push(now - began);
        assert!(health.on_probation(now));
    }
    assert!(lengths.is_sorted(), "{lengths:?}");
    assert!(lengths[5] <= Duration::from_secs(5));
    for _ in 0..20 {
        health.note(now, AttemptOutcome::Answered, &[]);
    }
    assert!(!health.ejected(now) && !health.on_probation(now));
}
