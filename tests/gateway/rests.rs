//! Targets that turn requests away and ask for rest, in virtual time: what callers get, and how the targets come back.

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
const TAKES: f64 = 0.2;
/// Requests that a target works on at once, and that wait there.
const SLOTS: usize = 16;
const QUEUE: usize = 8;
/// Part of what all targets can do that is asked for.
const USED: f64 = 0.45;
/// Simulated time, and when trouble begins and ends, in seconds.
const LASTS: f64 = 16.0;
const TROUBLE: (f64, f64) = (3.0, 7.0);
/// Part of the requests that a target in trouble turns away.
const TURNED_AWAY: f64 = 0.9;
/// Rest that it asks for.
const REST: RetryAfter = RetryAfter::In(Duration::from_secs(1));
/// Targets that one request is sent to at most.
const ATTEMPTS: usize = 2;
/// Most of the places of a target that are taken when it is used like others again.
const LIKE_OTHERS: f64 = 0.8;

/// Ways to come back to a target after its rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It is not heard that rest was asked for.
    Deaf,
    /// All gateways at once.
    AtOnce,
    /// One request from each gateway, and twice as many with each answer.
    OneFirst,
    /// The same, each gateway at a time of its own.
    Spread,
    /// Nobody asks for rest, but a target that turns more away than others is left alone for a while.
    LeftAlone,
}

/// What callers and targets got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    asked: usize,
    served: usize,
    turned_away: usize,
    /// Most turned away in a tenth of a second by targets that were not in trouble any more.
    turned_away_after: usize,
    /// Time from the end of the trouble until its targets are used like the others, in seconds.
    back_after: f64,
    /// Most in flight at a target without trouble, as a multiple of the mean of those.
    fullest: f64,
}

struct Fleet {
    rng: StdRng,
    way: Way,
    gateways: usize,
    /// Targets in trouble come first.
    troubled: usize,
    in_flight: Vec<usize>,
    own: Vec<Vec<u32>>,
    known: Vec<Vec<Availability>>,
    health: Vec<Vec<Health>>,
    /// Ends of requests in nanoseconds, with gateway and target.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    /// Callers that come back, in nanoseconds.
    returns: BinaryHeap<Reverse<u64>>,
    after: Vec<usize>,
    got: Got,
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
            own: vec![vec![0; targets]; gateways],
            known: vec![vec![Availability::default(); targets]; gateways],
            health: vec![vec![Health::default(); targets]; gateways],
            ends: BinaryHeap::new(),
            returns: BinaryHeap::new(),
            after: vec![0; (LASTS * 10.0) as usize + 1],
            got: Got { back_after: f64::NAN, ..Got::default() },
        }
    }

    fn play(mut self) -> Got {
        let targets = self.in_flight.len();
        let a_second = targets as f64 * SLOTS as f64 / TAKES * USED;
        let mut next: f64 = 0.0;
        loop {
            let back = self.returns.peek().map_or(f64::MAX, |Reverse(at)| *at as f64 / 1e9);
            let now = next.min(back);
            if now >= LASTS {
                break;
            }
            self.end_up_to(now);
            if back <= next {
                self.returns.pop();
                self.ask(now, false);
            } else {
                next += -self.rng.random::<f64>().max(1e-12).ln() / a_second;
                self.ask(now, true);
            }
            self.look(now);
        }
        self.got.turned_away_after = self.after.iter().copied().max().unwrap_or(0);
        self.got
    }

    fn end_up_to(&mut self, now: f64) {
        while let Some(Reverse((end, gateway, target))) = self.ends.peek().copied() {
            if end > nanos(now) {
                break;
            }
            self.ends.pop();
            self.in_flight[target] -= 1;
            self.own[gateway][target] -= 1;
            self.known[gateway][target].record_answer(Duration::from_nanos(end));
        }
    }

    /// A caller asks some gateway; one that is refused comes back once, as it is told.
    fn ask(&mut self, now: f64, first: bool) {
        let counts = (TROUBLE.0..LASTS - 3.0).contains(&now);
        let gateway = self.rng.random_range(0..self.gateways);
        if first && counts {
            self.got.asked += 1;
        }
        let mut tried = Vec::new();
        while tried.len() < ATTEMPTS {
            let Some(target) = self.choose(now, gateway, &tried) else { break };
            tried.push(target);
            if self.arrives(now, gateway, target) {
                self.got.served += usize::from(counts);
                return;
            }
        }
        if first {
            let wait = self.earliest(now, gateway) + self.rng.random_range(0.0..0.3);
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
                Way::Deaf | Way::AtOnce => false,
                Way::OneFirst | Way::Spread => {
                    standing(target).over_return_limit(self.own[gateway][*target])
                }
                Way::LeftAlone => {
                    let health = &self.health[gateway][*target];
                    let on_trial = health.on_probation(at) && self.own[gateway][*target] > 0;
                    health.ejected(at) || on_trial
                }
            },
        };
        let candidates: Vec<Candidate> = usable.iter().map(candidate).collect();
        let preference =
            Preference { affinity: None, load_bound: 2.0, targets: self.in_flight.len() };
        choose(&candidates, preference, &mut self.rng).map(|chosen| usable[chosen])
    }

    /// Whether a target takes a request.
    fn arrives(&mut self, now: f64, gateway: usize, target: usize) -> bool {
        let trouble = target < self.troubled && (TROUBLE.0..TROUBLE.1).contains(&now);
        let full = self.in_flight[target] >= SLOTS + QUEUE;
        let turned_away = full || (trouble && self.rng.random_bool(TURNED_AWAY));
        if !turned_away {
            self.note(now, gateway, target, AttemptOutcome::Answered);
            self.in_flight[target] += 1;
            self.own[gateway][target] += 1;
            let end = now - self.rng.random::<f64>().max(1e-12).ln() * TAKES;
            self.ends.push(Reverse((nanos(end), gateway, target)));
            return true;
        }
        self.note(now, gateway, target, AttemptOutcome::TurnedAway);
        self.got.turned_away += 1;
        if target < self.troubled && now >= TROUBLE.1 {
            self.after[(now * 10.0) as usize] += 1;
        }
        let over = match self.way {
            Way::Deaf | Way::LeftAlone => return false,
            Way::Spread => return_spread(self.gateways as u32),
            _ => Duration::ZERO,
        };
        let chance = self.rng.random();
        self.known[gateway][target].back_off(Duration::from_secs_f64(now), REST, over, chance);
        false
    }

    /// Notes how an attempt went, held against the other targets that are not left alone.
    fn note(&mut self, now: f64, gateway: usize, target: usize, outcome: AttemptOutcome) {
        let now = Duration::from_secs_f64(now);
        let health = &mut self.health[gateway];
        let others = (0..health.len()).filter(|at| *at != target && !health[*at].ejected(now));
        let others: Vec<Tally> = others.map(|at| health[at].tally(now)).collect();
        health[target].note(now, outcome, &others);
    }

    /// Time until the first rest of a gateway's targets ends, in seconds.
    fn earliest(&self, now: f64, gateway: usize) -> f64 {
        let at = Duration::from_secs_f64(now);
        let rests = self.known[gateway].iter().filter_map(|known| match known.eligibility(at) {
            Eligibility::BackingOff { until } => Some((until - at).as_secs_f64()),
            _ => None,
        });
        rests.min_by(f64::total_cmp).unwrap_or(0.06)
    }

    fn look(&mut self, now: f64) {
        let sound = &self.in_flight[self.troubled..];
        let mean = sound.iter().sum::<usize>() as f64 / sound.len().max(1) as f64;
        if (TROUBLE.0..TROUBLE.1).contains(&now) && mean >= 2.0 {
            let most = sound.iter().copied().max().unwrap_or(0) as f64;
            self.got.fullest = self.got.fullest.max(most / mean);
        }
        let troubled = &self.in_flight[..self.troubled];
        let back = troubled.iter().sum::<usize>() as f64 / troubled.len().max(1) as f64;
        if now >= TROUBLE.1 && self.got.back_after.is_nan() && back >= mean * LIKE_OTHERS {
            self.got.back_after = now - TROUBLE.1;
        }
    }
}

/// Targets of the scenes.
const TARGETS: usize = 20;

/// Half of the targets turn nine of ten requests away for four seconds and ask for one of rest each time.
#[rstest]
fn callers_hardly_notice_that_half_of_the_targets_rest(#[values(8, 68)] gateways: usize) {
    let seed = seeds::seed();
    let got = Fleet::new(Way::Spread, gateways, TARGETS, TARGETS / 2, seed).play();
    println!("seed {seed}, {gateways} gateways: {got:?}");
    assert!(got.served as f64 >= 0.97 * got.asked as f64, "seed {seed}: {got:?}");
}

/// The same where they do not ask for rest.
#[test]
fn callers_hardly_notice_that_half_of_the_targets_turn_requests_away() {
    let seed = seeds::seed();
    let got = Fleet::new(Way::LeftAlone, 8, TARGETS, TARGETS / 2, seed).play();
    println!("seed {seed}: {got:?}");
    assert!(got.served as f64 >= 0.97 * got.asked as f64, "seed {seed}: {got:?}");
}

/// `-- --nocapture` prints what each way gives.
#[test]
fn the_ways_back_side_by_side() {
    let seed = seeds::seed();
    for gateways in [8, 68, 986] {
        for (what, troubled) in [("half", TARGETS / 2), ("all", TARGETS)] {
            for way in [Way::Deaf, Way::AtOnce, Way::OneFirst, Way::Spread, Way::LeftAlone] {
                let got = Fleet::new(way, gateways, TARGETS, troubled, seed).play();
                let served = got.served as f64 / got.asked as f64;
                println!("{gateways} gateways, {what}: {way:?} served {served:.3} {got:?}");
            }
        }
    }
}
