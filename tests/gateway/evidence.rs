//! Evidence about bad targets that gateways share by way of the members.

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
/// Seconds between two reports of a gateway or member.
const REPORT_INTERVAL_S: f64 = 0.1;
/// Time in which target 0 fails all its requests, in seconds.
const BAD_S: (f64, f64) = (2.0, 7.0);
/// Simulated time, in seconds.
const SIMULATED_S: f64 = 16.0;
/// Length of the windows in which the requests at target 0 are counted, in seconds.
const COUNT_WINDOW_S: f64 = 0.5;

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn key(target: usize) -> LoadKey {
    LoadKey::of((target as u64 + 1) << 40)
}

/// Result of a simulation in which one target of a service is bad for a while.
#[derive(Debug, Default)]
struct Summary {
    /// Failed requests.
    failed: usize,
    /// Seconds after its recovery until the target gets half of its usual requests again.
    back_after: Option<f64>,
}

/// Gateways that choose at random among the targets that they have not ejected.
struct Fleet {
    rng: StdRng,
    targets: usize,
    health: Vec<Vec<Health>>,
    /// Failed and answered attempts by target that each gateway has not reported yet.
    pending: Vec<HashMap<usize, (u32, u32)>>,
    /// One for each member.
    totals: Vec<EvidenceTotals>,
    /// Whether gateways report to members and get evidence from them.
    shares: bool,
    keeps_prompts: bool,
}

impl Fleet {
    fn new(targets: usize, shares: bool) -> Self {
        Fleet {
            rng: StdRng::seed_from_u64(seeds::seed()),
            targets,
            health: vec![vec![Health::default(); targets]; GATEWAYS],
            pending: vec![HashMap::new(); GATEWAYS],
            totals: (0..MEMBERS).map(|_| EvidenceTotals::default()).collect(),
            shares,
            keeps_prompts: targets > 4,
        }
    }

    fn simulate(mut self, per_second: f64) -> Summary {
        let (mut summary, mut now, mut report_at) = (Summary::default(), 0.0, REPORT_INTERVAL_S);
        let (mut window, mut received) = (BAD_S.1, 0);
        while now < SIMULATED_S {
            now += -self.rng.random::<f64>().max(1e-12).ln() / per_second;
            if now >= report_at {
                report_at += REPORT_INTERVAL_S;
                if self.shares {
                    self.exchange(secs(now));
                }
            }
            let gateway = self.rng.random_range(0..GATEWAYS);
            let target = self.choose(secs(now), gateway);
            let bad = target == 0 && (BAD_S.0..BAD_S.1).contains(&now);
            summary.failed += usize::from(bad);
            self.note(secs(now), gateway, target, bad);
            received += usize::from(target == 0);
            if now >= window + COUNT_WINDOW_S {
                let half = per_second / self.targets as f64 * COUNT_WINDOW_S * 0.5;
                if now > BAD_S.1 && received as f64 >= half && summary.back_after.is_none() {
                    summary.back_after = Some(now - BAD_S.1);
                }
                (window, received) = (now, 0);
            }
        }
        summary
    }

    fn choose(&mut self, now: Duration, gateway: usize) -> usize {
        let usable: Vec<usize> =
            (0..self.targets).filter(|at| !self.health[gateway][*at].ejected(now)).collect();
        usable[self.rng.random_range(0..usable.len())]
    }

    fn note(&mut self, now: Duration, gateway: usize, target: usize, bad: bool) {
        let outcome = if bad { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let others: Vec<Tally> = (0..self.targets)
            .filter(|at| *at != target)
            .map(|at| self.health[gateway][at].tally(now))
            .collect();
        self.health[gateway][target].note(now, outcome, &others);
        let pending = self.pending[gateway].entry(target).or_default();
        if bad { pending.0 += 1 } else { pending.1 += 1 }
    }

    /// Gateways report to their members, members send each other what they had before that, and then their totals to
    /// their gateways.
    fn exchange(&mut self, now: Duration) {
        let local: Vec<_> = self.totals.iter_mut().map(|totals| totals.local(now)).collect();
        for gateway in 0..GATEWAYS {
            let pending = std::mem::take(&mut self.pending[gateway]);
            let outcomes = pending.into_iter().map(|(target, (failed, answered))| Outcomes {
                target: key(target),
                failed,
                answered,
            });
            let outcomes: Vec<Outcomes> = outcomes.collect();
            self.totals[gateway % MEMBERS].record_gateway(now, &gateway.to_string(), &outcomes);
        }
        for (at, evidence) in local.iter().enumerate() {
            for (other, totals) in self.totals.iter_mut().enumerate() {
                if other != at {
                    totals.record_member(
                        now,
                        SocketAddr::from(([10, 0, 0, at as u8], 1)),
                        evidence.clone(),
                    );
                }
            }
        }
        for gateway in 0..GATEWAYS {
            let evidence = self.totals[gateway % MEMBERS].total(now, Duration::ZERO);
            self.apply(now, gateway, &evidence);
        }
    }

    fn apply(&mut self, now: Duration, gateway: usize, evidence: &[Evidence]) {
        let of = |target: usize| evidence.iter().find(|evidence| evidence.target == key(target));
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
                self.keeps_prompts,
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

/// One bad target among four that get 280 requests a second, and one among 112 that get 780.
#[rstest]
#[case::a_service_of_four(4, 280.0)]
#[case::engines(112, 780.0)]
fn a_bad_target_fails_far_fewer_requests_when_gateways_share_evidence(
    #[case] targets: usize,
    #[case] per_second: f64,
) {
    let alone = Fleet::new(targets, false).simulate(per_second);
    let together = Fleet::new(targets, true).simulate(per_second);
    println!("{targets} targets: alone {alone:?}, together {together:?}");
    assert!(together.failed * 2 < alone.failed, "alone {alone:?}, together {together:?}");
    assert!(together.back_after.is_some_and(|after| after < 2.0), "{together:?}");
}

fn evidence(target: usize, failed: f32, answered: f32, reporters: u16) -> Evidence {
    Evidence { target: key(target), failed, answered, reporters }
}

#[test]
fn one_gateway_alone_cannot_have_a_target_ejected() {
    let now = secs(1.0);
    let mut totals = EvidenceTotals::default();
    let outcomes = [Outcomes { target: key(0), failed: 1_000, answered: 0 }];
    totals.record_gateway(now, "a faulty gateway", &outcomes);
    let evidence = totals.total(now, Duration::ZERO);
    assert!(evidence[0].failed <= 3.0 && evidence[0].reporters == 1, "{evidence:?}");
    let others = [tally(now, None); 3];
    assert_eq!(judge(now, &evidence[0], &others, false), Verdict::Keep);
    // Next to the answers that other gateways report, it counts as three failures.
    for gateway in 0..12 {
        let outcomes = [Outcomes { target: key(0), failed: 0, answered: 3 }];
        totals.record_gateway(now, &gateway.to_string(), &outcomes);
    }
    let evidence = totals.total(now, Duration::ZERO);
    assert!(tally(now, Some(&evidence[0])).failure_rate() < 0.1, "{evidence:?}");
}

#[test]
fn where_all_fail_alike_none_is_ejected() {
    let now = secs(1.0);
    let all: Vec<Evidence> = (0..4).map(|target| evidence(target, 9.0, 11.0, 20)).collect();
    for one in &all {
        let others = all.iter().filter(|other| other.target != one.target);
        let others: Vec<Tally> = others.map(|other| tally(now, Some(other))).collect();
        assert_ne!(judge(now, one, &others, false), Verdict::Eject);
    }
}

#[test]
fn where_too_many_targets_fail_no_evidence_is_sent() {
    let now = secs(1.0);
    let mut totals = EvidenceTotals::default();
    for target in 0..200 {
        let outcomes = [Outcomes { target: key(target), failed: 2, answered: 0 }];
        totals.record_gateway(now, &(target % 5).to_string(), &outcomes);
    }
    assert!(totals.total(now, Duration::ZERO).is_empty());
    // Old reports do not count.
    assert!(totals.local(now + secs(20.0)).is_empty());
}

/// An ejection makes other targets process its cached prompts again.
#[rstest]
#[case::a_few_lost_answers(4.0, 6.0, true, Verdict::Keep)]
#[case::most_of_them(6.0, 4.0, true, Verdict::Eject)]
#[case::where_nothing_is_kept(4.0, 6.0, false, Verdict::Eject)]
fn a_target_that_caches_prompts_is_ejected_only_when_it_fails_most_requests(
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
