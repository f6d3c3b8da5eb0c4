//! What gateways learn of a bad target from each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use latchmount::gateway::evidence::{Verdict, judge, return_spread, tally};
use latchmount::gateway::health::{AttemptOutcome, Health, Tally};
use latchmount::group::evidence::{Evidence, EvidenceTotals, Outcomes};
use latchmount::group::loads::LoadKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::seeds;

const GATEWAYS: usize = 65;
const MEMBERS: usize = 5;
/// Between two words of anybody.
const WORD: f64 = 0.1;
/// The target fails all that it gets from here to there, in seconds.
const BAD: (f64, f64) = (2.0, 7.0);
const LASTS: f64 = 16.0;
/// Time over which it is counted whether the target is used again.
const LOOK: f64 = 0.5;

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn key(target: usize) -> LoadKey {
    LoadKey::of((target as u64 + 1) << 40)
}

/// What became of the requests for a service of which one target is bad for a while.
#[derive(Debug, Default)]
struct Day {
    failed: usize,
    /// When half as many requests reach the target again as before, after it is well.
    back_after: Option<f64>,
}

/// Gateways that choose at random among the targets that they don't leave.
struct Fleet {
    rng: StdRng,
    targets: usize,
    health: Vec<Vec<Health>>,
    untold: Vec<HashMap<usize, (u32, u32)>>,
    boards: Vec<EvidenceTotals>,
    shares: bool,
    keep_prompts: bool,
}

impl Fleet {
    fn new(targets: usize, shares: bool) -> Self {
        Fleet {
            rng: StdRng::seed_from_u64(seeds::seed()),
            targets,
            health: vec![vec![Health::default(); targets]; GATEWAYS],
            untold: vec![HashMap::new(); GATEWAYS],
            boards: (0..MEMBERS).map(|_| EvidenceTotals::default()).collect(),
            shares,
            keep_prompts: targets > 4,
        }
    }

    fn play(mut self, a_second: f64) -> Day {
        let (mut day, mut now, mut word_at) = (Day::default(), 0.0, WORD);
        let (mut window, mut got) = (BAD.1, 0);
        while now < LASTS {
            now += -self.rng.random::<f64>().max(1e-12).ln() / a_second;
            if now >= word_at {
                word_at += WORD;
                if self.shares {
                    self.exchange(secs(now));
                }
            }
            let gateway = self.rng.random_range(0..GATEWAYS);
            let target = self.choose(secs(now), gateway);
            let bad = target == 0 && (BAD.0..BAD.1).contains(&now);
            day.failed += usize::from(bad);
            self.note(secs(now), gateway, target, bad);
            got += usize::from(target == 0);
            if now >= window + LOOK {
                let half = a_second / self.targets as f64 * LOOK * 0.5;
                if now > BAD.1 && got as f64 >= half && day.back_after.is_none() {
                    day.back_after = Some(now - BAD.1);
                }
                (window, got) = (now, 0);
            }
        }
        day
    }

    fn choose(&mut self, now: Duration, gateway: usize) -> usize {
        let sound: Vec<usize> =
            (0..self.targets).filter(|at| !self.health[gateway][*at].ejected(now)).collect();
        sound[self.rng.random_range(0..sound.len())]
    }

    fn note(&mut self, now: Duration, gateway: usize, target: usize, bad: bool) {
        let outcome = if bad { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let others: Vec<Tally> = (0..self.targets)
            .filter(|at| *at != target)
            .map(|at| self.health[gateway][at].tally(now))
            .collect();
        self.health[gateway][target].note(now, outcome, &others);
        let untold = self.untold[gateway].entry(target).or_default();
        if bad { untold.0 += 1 } else { untold.1 += 1 }
    }

    /// Gateways tell their members, members each other what they heard before, and then their gateways.
    fn exchange(&mut self, now: Duration) {
        let heard: Vec<_> = self.boards.iter_mut().map(|board| board.local(now)).collect();
        for gateway in 0..GATEWAYS {
            let untold = std::mem::take(&mut self.untold[gateway]);
            let outcomes = untold.into_iter().map(|(target, (failed, answered))| Outcomes {
                target: key(target),
                failed,
                answered,
            });
            let outcomes: Vec<Outcomes> = outcomes.collect();
            self.boards[gateway % MEMBERS].record_gateway(now, &gateway.to_string(), &outcomes);
        }
        for (at, word) in heard.iter().enumerate() {
            for (other, board) in self.boards.iter_mut().enumerate() {
                if other != at {
                    board.record_member(
                        now,
                        SocketAddr::from(([10, 0, 0, at as u8], 1)),
                        word.clone(),
                    );
                }
            }
        }
        for gateway in 0..GATEWAYS {
            let word = self.boards[gateway % MEMBERS].total(now, Duration::ZERO);
            self.take(now, gateway, &word);
        }
    }

    fn take(&mut self, now: Duration, gateway: usize, word: &[Evidence]) {
        let of = |target: usize| word.iter().find(|evidence| evidence.target == key(target));
        for target in 0..self.targets {
            let Some(evidence) = of(target) else { continue };
            let others: Vec<Tally> = (0..self.targets)
                .filter(|other| *other != target)
                .map(|other| tally(now, of(other)))
                .collect();
            let health = &mut self.health[gateway][target];
            match judge(
                now,
                &health.evidence_since_ejection(now, evidence),
                &others,
                self.keep_prompts,
            ) {
                Verdict::Eject => {
                    let chance = self.rng.random();
                    health.eject_on_evidence(now, evidence, return_spread(GATEWAYS as u32), chance);
                }
                Verdict::Restore => {
                    health.restore_on_evidence(now);
                }
                Verdict::Keep => {}
            }
        }
    }
}

/// One of four targets that get 280 requests a second, and one of 112 that get 780.
#[rstest]
#[case::a_service_of_four(4, 280.0)]
#[case::engines(112, 780.0)]
fn a_bad_target_fails_far_fewer_requests_when_gateways_tell_each_other(
    #[case] targets: usize,
    #[case] a_second: f64,
) {
    let alone = Fleet::new(targets, false).play(a_second);
    let together = Fleet::new(targets, true).play(a_second);
    println!("{targets} targets: alone {alone:?}, together {together:?}");
    assert!(together.failed * 2 < alone.failed, "alone {alone:?}, together {together:?}");
    assert!(together.back_after.is_some_and(|after| after < 2.0), "{together:?}");
}

fn evidence(target: usize, failed: f32, answered: f32, reporters: u16) -> Evidence {
    Evidence { target: key(target), failed, answered, reporters }
}

#[test]
fn one_gateway_alone_has_no_target_left_whatever_it_says() {
    let now = secs(1.0);
    let mut board = EvidenceTotals::default();
    let outcomes = [Outcomes { target: key(0), failed: 1_000, answered: 0 }];
    board.record_gateway(now, "a liar", &outcomes);
    let word = board.total(now, Duration::ZERO);
    assert!(word[0].failed <= 3.0 && word[0].reporters == 1, "{word:?}");
    let others = [tally(now, None); 3];
    assert_eq!(judge(now, &word[0], &others, false), Verdict::Keep);
    // Beside answers that others had it counts for three failures.
    for gateway in 0..12 {
        let outcomes = [Outcomes { target: key(0), failed: 0, answered: 3 }];
        board.record_gateway(now, &gateway.to_string(), &outcomes);
    }
    let word = board.total(now, Duration::ZERO);
    assert!(tally(now, Some(&word[0])).failure_rate() < 0.1, "{word:?}");
}

#[test]
fn where_all_fail_alike_none_is_left() {
    let now = secs(1.0);
    let all: Vec<Evidence> = (0..4).map(|target| evidence(target, 9.0, 11.0, 20)).collect();
    for one in &all {
        let others = all.iter().filter(|other| other.target != one.target);
        let others: Vec<Tally> = others.map(|other| tally(now, Some(other))).collect();
        assert_ne!(judge(now, one, &others, false), Verdict::Eject);
    }
}

#[test]
fn where_too_many_targets_fail_nothing_is_told() {
    let now = secs(1.0);
    let mut board = EvidenceTotals::default();
    for target in 0..200 {
        let outcomes = [Outcomes { target: key(target), failed: 2, answered: 0 }];
        board.record_gateway(now, &(target % 5).to_string(), &outcomes);
    }
    assert!(board.total(now, Duration::ZERO).is_empty());
    // What was told long ago counts no more.
    assert!(board.local(now + secs(20.0)).is_empty());
}

/// At another target they are read again.
#[rstest]
#[case::a_few_lost_answers(4.0, 6.0, true, Verdict::Keep)]
#[case::most_of_them(6.0, 4.0, true, Verdict::Eject)]
#[case::where_nothing_is_kept(4.0, 6.0, false, Verdict::Eject)]
fn a_target_that_keeps_prompts_is_left_only_when_it_fails_most_requests(
    #[case] failed: f32,
    #[case] answered: f32,
    #[case] keeps_prompts: bool,
    #[case] expected: Verdict,
) {
    let now = secs(1.0);
    let others = [tally(now, None); 17];
    let verdict = judge(now, &evidence(0, failed, answered, 6), &others, keeps_prompts);
    assert_eq!(verdict, expected);
}
