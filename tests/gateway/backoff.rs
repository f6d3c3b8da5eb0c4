//! Targets that reject requests and ask for a back-off, simulated in virtual time: how many callers are served, and how
//! fast and evenly the targets get requests again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use latchmount::availability::{Availability, Eligibility};
use latchmount::gateway::balance::{Candidate, Preference, choose};
use latchmount::gateway::evidence::return_spread;
use latchmount::gateway::health::{AttemptOutcome, Health, Tally};
use latchmount::retry_after::RetryAfter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::seeds;

/// Time that a request takes at a target, in seconds.
const SERVICE_TIME_S: f64 = 0.2;
/// Requests that a target processes at once, and that wait in its queue.
const SLOTS: usize = 16;
const QUEUE: usize = 8;
/// Offered load as a fraction of the capacity of all targets.
const UTILIZATION: f64 = 0.45;
/// Simulated time, in seconds.
const SIMULATED_S: f64 = 16.0;
/// When the troubled targets begin and stop rejecting requests, in seconds.
const TROUBLE_S: (f64, f64) = (3.0, 7.0);
/// Fraction of the requests that a troubled target rejects.
const REJECTED_FRACTION: f64 = 0.9;
/// Back-off that it asks for.
const BACKOFF: RetryAfter = RetryAfter::In(Duration::from_secs(1));
/// Maximum number of targets that a request is sent to.
const MAX_ATTEMPTS: usize = 2;
/// Fraction of the mean load of the other targets at which the troubled ones count as used again.
const USED_AGAIN_FRACTION: f64 = 0.8;

/// Ways for gateways to return to a target that has rejected requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Gateways ignore the back-off.
    IgnoreBackoff,
    /// All gateways return at the end of the back-off, without a limit.
    AtOnce,
    /// Each gateway sends one request at the end of the back-off, and twice as many with each answer.
    OneFirst,
    /// Like `OneFirst`, but each gateway returns after a random delay.
    Spread,
    /// Targets ask for no back-off, but gateways eject a target that rejects more than others.
    Eject,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    /// Callers that count: those that arrive from the start of the trouble until three seconds before the end.
    asked: usize,
    /// Those of them that are served.
    served: usize,
    /// Rejections by targets.
    turned_away: usize,
    /// Maximum number of requests that recovered targets rejected in a tenth of a second.
    turned_away_after: usize,
    /// Time from the end of the trouble until the troubled targets are used like the others, in seconds.
    back_after: f64,
    /// Maximum load of an untroubled target, as a multiple of their mean load.
    fullest: f64,
}

struct Fleet {
    rng: StdRng,
    way: Way,
    gateways: usize,
    /// Number of troubled targets; they are the first ones.
    troubled: usize,
    in_flight: Vec<usize>,
    /// In flight from each gateway at each target.
    own_in_flight: Vec<Vec<u32>>,
    known: Vec<Vec<Availability>>,
    health: Vec<Vec<Health>>,
    /// End of each request in flight, in nanoseconds, with its gateway and target.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    /// Times at which refused callers retry, in nanoseconds.
    returns: BinaryHeap<Reverse<u64>>,
    /// Rejections by recovered targets in each tenth of a second.
    rejections_after: Vec<usize>,
    results: Results,
}

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

impl Fleet {
    fn new(way: Way, gateways: usize, targets: usize, troubled: usize, seed: u64) -> Self {
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            way,
            gateways,
            troubled,
            in_flight: vec![0; targets],
            own_in_flight: vec![vec![0; targets]; gateways],
            known: vec![vec![Availability::default(); targets]; gateways],
            health: vec![vec![Health::default(); targets]; gateways],
            ends: BinaryHeap::new(),
            returns: BinaryHeap::new(),
            rejections_after: vec![0; (SIMULATED_S * 10.0) as usize + 1],
            results: Results { back_after: f64::NAN, ..Results::default() },
        }
    }

    fn simulate(mut self) -> Results {
        let targets = self.in_flight.len();
        let per_second = targets as f64 * SLOTS as f64 / SERVICE_TIME_S * UTILIZATION;
        let mut next: f64 = 0.0;
        loop {
            let back = self.returns.peek().map_or(f64::MAX, |Reverse(at)| *at as f64 / 1e9);
            let now = next.min(back);
            if now >= SIMULATED_S {
                break;
            }
            self.end_requests_until(now);
            if back <= next {
                self.returns.pop();
                self.call(now, false);
            } else {
                next += -self.rng.random::<f64>().max(1e-12).ln() / per_second;
                self.call(now, true);
            }
            self.measure(now);
        }
        self.results.turned_away_after = self.rejections_after.iter().copied().max().unwrap_or(0);
        self.results
    }

    fn end_requests_until(&mut self, now: f64) {
        while let Some(Reverse((end, gateway, target))) = self.ends.peek().copied() {
            if end > nanos(now) {
                break;
            }
            self.ends.pop();
            self.in_flight[target] -= 1;
            self.own_in_flight[gateway][target] -= 1;
            self.known[gateway][target].record_answer(Duration::from_nanos(end));
        }
    }

    /// Sends a request to a random gateway. A caller that is refused retries once, after the time that the refusal gives.
    fn call(&mut self, now: f64, first: bool) {
        let counts = (TROUBLE_S.0..SIMULATED_S - 3.0).contains(&now);
        let gateway = self.rng.random_range(0..self.gateways);
        if first && counts {
            self.results.asked += 1;
        }
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            let Some(target) = self.choose(now, gateway, &tried) else { break };
            tried.push(target);
            if self.attempt(now, gateway, target) {
                self.results.served += usize::from(counts);
                return;
            }
        }
        if first {
            let wait = self.first_backoff_left(now, gateway) + self.rng.random_range(0.0..0.3);
            self.returns.push(Reverse(nanos(now + wait.min(1.0))));
        }
    }

    fn choose(&mut self, now: f64, gateway: usize, tried: &[usize]) -> Option<usize> {
        let at = Duration::from_secs_f64(now);
        let standing = |target: &usize| self.known[gateway][*target].eligibility(at);
        let usable: Vec<usize> = (0..self.in_flight.len())
            .filter(|target| !tried.contains(target))
            .filter(|target| standing(target).accepts_work())
            .collect();
        let candidate = |target: &usize| Candidate {
            key: *target as u64,
            home: None,
            load: self.in_flight[*target] as f64,
            slots: SLOTS as u32,
            slowdown: 1.0,
            near: false,
            last_resort: match self.way {
                Way::IgnoreBackoff | Way::AtOnce => false,
                Way::OneFirst | Way::Spread => {
                    standing(target).over_return_limit(self.own_in_flight[gateway][*target])
                }
                Way::Eject => {
                    let health = &self.health[gateway][*target];
                    let on_trial =
                        health.on_probation(at) && self.own_in_flight[gateway][*target] > 0;
                    health.ejected(at) || on_trial
                }
            },
        };
        let candidates: Vec<Candidate> = usable.iter().map(candidate).collect();
        let preference =
            Preference { affinity: None, load_bound: 2.0, targets: self.in_flight.len() };
        choose(&candidates, preference, &mut self.rng).map(|chosen| usable[chosen])
    }

    /// Sends a request to a target. Returns whether the target accepts it.
    fn attempt(&mut self, now: f64, gateway: usize, target: usize) -> bool {
        let trouble = target < self.troubled && (TROUBLE_S.0..TROUBLE_S.1).contains(&now);
        let full = self.in_flight[target] >= SLOTS + QUEUE;
        let turned_away = full || (trouble && self.rng.random_bool(REJECTED_FRACTION));
        if !turned_away {
            self.note(now, gateway, target, AttemptOutcome::Answered);
            self.in_flight[target] += 1;
            self.own_in_flight[gateway][target] += 1;
            let end = now - self.rng.random::<f64>().max(1e-12).ln() * SERVICE_TIME_S;
            self.ends.push(Reverse((nanos(end), gateway, target)));
            return true;
        }
        self.note(now, gateway, target, AttemptOutcome::TurnedAway);
        self.results.turned_away += 1;
        if target < self.troubled && now >= TROUBLE_S.1 {
            self.rejections_after[(now * 10.0) as usize] += 1;
        }
        let spread = match self.way {
            Way::IgnoreBackoff | Way::Eject => return false,
            Way::Spread => return_spread(self.gateways as u32),
            _ => Duration::ZERO,
        };
        let chance = self.rng.random();
        self.known[gateway][target].back_off(Duration::from_secs_f64(now), BACKOFF, spread, chance);
        false
    }

    /// Records the outcome of an attempt, compared with the other targets that are not ejected.
    fn note(&mut self, now: f64, gateway: usize, target: usize, outcome: AttemptOutcome) {
        let now = Duration::from_secs_f64(now);
        let health = &mut self.health[gateway];
        let others = (0..health.len()).filter(|at| *at != target && !health[*at].ejected(now));
        let others: Vec<Tally> = others.map(|at| health[at].tally(now)).collect();
        health[target].note(now, outcome, &others);
    }

    /// Time until the first back-off among a gateway's targets ends, in seconds.
    fn first_backoff_left(&self, now: f64, gateway: usize) -> f64 {
        let at = Duration::from_secs_f64(now);
        let backoffs = self.known[gateway].iter().filter_map(|known| match known.eligibility(at) {
            Eligibility::BackingOff { until } => Some((until - at).as_secs_f64()),
            _ => None,
        });
        backoffs.min_by(f64::total_cmp).unwrap_or(0.06)
    }

    fn measure(&mut self, now: f64) {
        let untroubled = &self.in_flight[self.troubled..];
        let mean = untroubled.iter().sum::<usize>() as f64 / untroubled.len().max(1) as f64;
        if (TROUBLE_S.0..TROUBLE_S.1).contains(&now) && mean >= 2.0 {
            let most = untroubled.iter().copied().max().unwrap_or(0) as f64;
            self.results.fullest = self.results.fullest.max(most / mean);
        }
        let troubled = &self.in_flight[..self.troubled];
        let back = troubled.iter().sum::<usize>() as f64 / troubled.len().max(1) as f64;
        if now >= TROUBLE_S.1
            && self.results.back_after.is_nan()
            && back >= mean * USED_AGAIN_FRACTION
        {
            self.results.back_after = now - TROUBLE_S.1;
        }
    }
}

/// Targets of each simulated fleet.
const TARGETS: usize = 20;

/// Half of the targets reject nine of ten requests for four seconds, each time asking for a back-off of one second.
#[rstest]
fn callers_hardly_notice_that_half_of_the_targets_back_off(#[values(8, 68)] gateways: usize) {
    let seed = seeds::seed();
    let results = Fleet::new(Way::Spread, gateways, TARGETS, TARGETS / 2, seed).simulate();
    println!("seed {seed}, {gateways} gateways: {results:?}");
    assert!(results.served as f64 >= 0.97 * results.asked as f64, "seed {seed}: {results:?}");
}

/// The same without a Retry-After: gateways must eject the targets by themselves.
#[test]
fn callers_hardly_notice_that_half_of_the_targets_turn_requests_away() {
    let seed = seeds::seed();
    let results = Fleet::new(Way::Eject, 8, TARGETS, TARGETS / 2, seed).simulate();
    println!("seed {seed}: {results:?}");
    assert!(results.served as f64 >= 0.97 * results.asked as f64, "seed {seed}: {results:?}");
}

/// Prints the results of all ways for comparison (`-- --nocapture`); checks nothing.
#[test]
fn the_ways_to_return_side_by_side() {
    let seed = seeds::seed();
    for gateways in [8, 68, 986] {
        for (what, troubled) in [("half", TARGETS / 2), ("all", TARGETS)] {
            for way in [Way::IgnoreBackoff, Way::AtOnce, Way::OneFirst, Way::Spread, Way::Eject] {
                let results = Fleet::new(way, gateways, TARGETS, troubled, seed).simulate();
                let served = results.served as f64 / results.asked as f64;
                println!("{gateways} gateways, {what}: {way:?} served {served:.3} {results:?}");
            }
        }
    }
}
