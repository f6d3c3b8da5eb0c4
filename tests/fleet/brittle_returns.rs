//! Brittle targets that fall over and come back under another id, and bursts after a quiet time.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

use crate::brittle_target::{BrittleTarget, DOWN};
use crate::harness::{CallResponse, Fleet, Process, field};
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::seeds::seed;
use crate::standin::{Arrival, Behaviour, SLOTS, WORK};

const GATEWAYS: usize = 24;
const TARGETS: usize = 7;
/// Falls allowed in one time of brittleness: two and a tenth of the targets.
const MAX_FALLS: usize = 2;
/// Rejections in a second that a target withstands, as a number and in its answers.
const WITHSTANDS: usize = 5;
const STATES: &str = "5";
/// Requests that may wait at a target before its room shrinks.
const WAITING: usize = 24;
/// Most requests that come at once.
const MAX_CLUMP: usize = 8;
/// Longest pause of a client before it sends a refused request once more.
const MAX_PAUSE: f64 = 1.0;

/// How long a target is cold that says so, in milliseconds, and the requests in a second that it can handle then.
const COLD_MS: u64 = 8_000;
const COLD_PER_S: f64 = 4.0;
/// Requests in a second that it may get: one and a half times that, and 8.
const MAX_COLD_PER_S: usize = 14;

/// Requests to the targets for some time, in fractions of what they can serve.
#[derive(Clone, Copy)]
struct Phase {
    demand: f64,
    lasts: Duration,
}

/// What clients saw.
#[derive(Default)]
struct Seen {
    first_tries: usize,
    served_at_first: usize,
    /// Answers that are neither the target's nor a refusal of a request that did not run.
    wrong: Vec<String>,
}

impl Seen {
    /// Requests refused as poison.
    fn blocked(&self) -> usize {
        self.wrong.iter().filter(|wrong| wrong.starts_with("500")).count()
    }
}

struct World {
    fleet: Fleet,
    targets: Vec<BrittleTarget>,
    clients: JoinSet<Vec<Option<CallResponse>>>,
    /// Whether all requests have the same body.
    alike: bool,
    sent: usize,
    rng: StdRng,
}

impl World {
    async fn start() -> Self {
        let mut fleet = Fleet::prepare(3, GATEWAYS);
        for gateway in &mut fleet.gateways {
            gateway.set("source", json!(gateway.ip));
            gateway.set("cold_over", json!(1.5));
            gateway.set("cold_slack", json!(8));
        }
        fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
        fleet.wait_for_leader().await;
        let mut targets = Vec::new();
        let behaviour = Behaviour::Queue { waiting: WAITING, withstands: WITHSTANDS };
        for at in 0..TARGETS {
            let members = fleet.api_addrs();
            targets.push(BrittleTarget::start(format!("i-{at}"), members, behaviour, STATES).await);
        }
        let mut with_cold_rate = configuration(1);
        with_cold_rate["services"][0]["cold-start-s"] = (COLD_MS as f64 / 1_000.0).into();
        with_cold_rate["services"][0]["cold-per-s"] = COLD_PER_S.into();
        fleet.configure(&with_cold_rate).await;
        for gateway in 0..GATEWAYS {
            fleet.wait_for_targets(gateway, TARGETS).await;
        }
        let rng = StdRng::seed_from_u64(seed());
        World { fleet, targets, clients: JoinSet::new(), alike: false, sent: 0, rng }
    }

    /// Lets no request wait at any target from now on.
    fn shrink(&self) {
        let behaviour = Behaviour::Queue { waiting: 0, withstands: WITHSTANDS };
        self.targets.iter().for_each(|target| target.behave(behaviour));
    }

    /// Sends requests in clumps, each to any of the gateways.
    async fn send(&mut self, phase: Phase) {
        let per_s = phase.demand * (TARGETS * SLOTS) as f64 / WORK.as_secs_f64();
        let started = Instant::now();
        let total = (per_s * phase.lasts.as_secs_f64()) as usize;
        let mut at = 0;
        while at < total {
            let due = Duration::from_secs_f64(at as f64 / per_s);
            tokio::time::sleep(due.saturating_sub(started.elapsed())).await;
            let clump = self.rng.random_range(1..=MAX_CLUMP);
            (0..clump).for_each(|_| self.send_one());
            at += clump;
        }
    }

    /// Sends a request, and once more to another gateway after the time that a refusal states.
    fn send_one(&mut self) {
        let number = self.sent;
        self.sent += 1;
        let gateways =
            [(); 2].map(|()| self.fleet.gateway_addr(self.rng.random_range(0..GATEWAYS)));
        let alike = self.alike;
        self.clients.spawn(async move {
            let id = format!("r-{number}");
            let mut request = ClientRequest::new("/safe/x", &id);
            request.body = if alike { Vec::new() } else { id.clone().into_bytes() };
            let mut answers = Vec::new();
            for gateway in gateways {
                let answer = request.send(gateway).await.ok();
                let refused = answer.as_ref().filter(|answer| answer.status == 503);
                let pause = refused.and_then(|answer| answer.header("retry-after")?.parse().ok());
                answers.push(answer);
                let Some(pause) = pause else {
                    break;
                };
                tokio::time::sleep(Duration::from_secs_f64(MAX_PAUSE.min(pause))).await;
            }
            answers
        });
    }

    /// Sends half of what the targets can serve; no request may wait from 3 s on, and two targets end in turn.
    async fn end_two_targets_in_turn(&mut self) {
        self.send(Phase { demand: 0.55, lasts: Duration::from_secs(3) }).await;
        self.shrink();
        self.send(Phase { demand: 0.55, lasts: Duration::from_secs(2) }).await;
        self.targets[0].end();
        self.send(Phase { demand: 0.55, lasts: Duration::from_secs(4) }).await;
        self.targets[1].end();
        self.send(Phase { demand: 0.55, lasts: Duration::from_secs(5) }).await;
    }

    /// Sends a request to each gateway, one after the other, and returns how many gateways sent theirs to a target
    /// themselves. `when` is part of the ids.
    async fn count_direct(&self, when: &str) -> usize {
        let mut ids = Vec::new();
        for gateway in 0..GATEWAYS {
            let id = format!("{when}-{gateway}");
            let addr = self.fleet.gateway_addr(gateway);
            let answer = ClientRequest::new("/safe/x", &id).send(addr).await.expect("an answer");
            assert_eq!(answer.status, 200, "{}", answer.body);
            ids.push((id, addr.ip()));
        }
        let arrivals: Vec<Arrival> =
            self.targets.iter().flat_map(BrittleTarget::arrivals).collect();
        let direct = |(id, gateway): &&(String, IpAddr)| {
            arrivals.iter().any(|arrival| arrival.id == *id && arrival.caller == *gateway)
        };
        ids.iter().filter(direct).count()
    }

    fn falls(&self) -> usize {
        self.targets.iter().map(BrittleTarget::falls).sum()
    }

    /// Waits for all answers, prints what became of the targets, and returns what the clients saw.
    async fn finish(mut self) -> (usize, Seen) {
        let mut seen = Seen::default();
        for answers in std::mem::take(&mut self.clients).join_all().await {
            seen.first_tries += 1;
            let served = |answer: &Option<CallResponse>| {
                answer.as_ref().is_some_and(|one| one.status == 200)
            };
            seen.served_at_first += usize::from(answers.first().is_some_and(served));
            let wrong = answers.iter().filter_map(|answer| match answer {
                Some(answer) if [200, 503].contains(&answer.status) => None,
                Some(answer) => Some(format!("{} {}", answer.status, error_code(answer))),
                None => Some("no answer".to_owned()),
            });
            seen.wrong.extend(wrong);
        }
        let falls = self.falls();
        for target in &self.targets {
            eprintln!("{}", target.summary());
        }
        let logs: Vec<String> = self.fleet.gateways.iter().map(Process::log).collect();
        let rejections = logs.iter().flat_map(|log| log.lines());
        let rejections =
            rejections.filter(|line| field(line, "event") == Some("brittle_rejection"));
        let (known, unknown): (Vec<&str>, Vec<&str>) =
            rejections.partition(|line| field(line, "known_brittle") == Some("true"));
        eprintln!("rejected by targets known as brittle {}, others {}", known.len(), unknown.len());
        for line in known.first().into_iter().chain(unknown.first()) {
            eprintln!("{line}");
        }
        eprintln!(
            "falls {falls}; at the first try {} of {} served; {} wrong answers",
            seen.served_at_first,
            seen.first_tries,
            seen.wrong.len()
        );
        (falls, seen)
    }
}

#[tokio::test]
async fn a_brittle_target_that_returns_under_another_id_is_not_flooded() {
    let mut world = World::start().await;
    world.end_two_targets_in_turn().await;
    let (falls, _) = world.finish().await;
    assert!(falls <= MAX_FALLS, "{falls} falls");
}

#[tokio::test]
async fn a_burst_after_a_quiet_time_does_not_make_brittle_targets_fall_over() {
    let mut world = World::start().await;
    world.send(Phase { demand: 0.3, lasts: Duration::from_secs(9) }).await;
    world.shrink();
    world.send(Phase { demand: 1.5, lasts: Duration::from_secs(5) }).await;
    let (falls, _) = world.finish().await;
    assert!(falls <= MAX_FALLS, "{falls} falls");
}

#[tokio::test]
async fn no_gateway_goes_on_dispatching_when_targets_are_not_brittle_any_more() {
    let mut world = World::start().await;
    world.send(Phase { demand: 0.3, lasts: Duration::from_secs(3) }).await;
    assert!(world.count_direct("brittle").await < GATEWAYS, "targets were never brittle");
    world.targets.iter().for_each(BrittleTarget::cease_to_be_brittle);
    world.send(Phase { demand: 0.3, lasts: Duration::from_secs(3) }).await;
    // Afterwards each gateway has had an answer that states nothing.
    world.count_direct("ending").await;
    let direct = world.count_direct("ended").await;
    assert_eq!(direct, GATEWAYS, "gateways that send requests to targets directly");
}

#[tokio::test]
async fn requests_that_are_alike_are_not_blocked_when_brittle_targets_end() {
    let mut world = World::start().await;
    world.alike = true;
    world.end_two_targets_in_turn().await;
    let (_, seen) = world.finish().await;
    assert_eq!(seen.blocked(), 0, "requests blocked");
}

#[tokio::test]
async fn requests_that_are_alike_are_not_blocked_when_brittle_targets_end_at_once() {
    let mut world = World::start().await;
    world.alike = true;
    world.send(Phase { demand: 0.55, lasts: Duration::from_secs(3) }).await;
    world.targets[1..].iter().for_each(BrittleTarget::end);
    world.send(Phase { demand: 0.3, lasts: Duration::from_secs(4) }).await;
    let (_, seen) = world.finish().await;
    assert_eq!(seen.blocked(), 0, "requests blocked");
}

#[tokio::test]
async fn a_brittle_target_that_returns_cold_is_sent_few_requests_until_it_is_warm() {
    let mut world = World::start().await;
    world.send(Phase { demand: 0.55, lasts: Duration::from_secs(2) }).await;
    let returning = &world.targets[0];
    returning.start_cold(COLD_MS);
    returning.end();
    world.send(Phase { demand: 0.55, lasts: DOWN }).await;
    world.send(Phase { demand: 0.9, lasts: Duration::from_secs(4) }).await;
    let arrivals = world.targets[0].arrivals();
    for first in &arrivals {
        let end = first.at + Duration::from_secs(1);
        let within = arrivals.iter().filter(|other| other.at >= first.at && other.at < end);
        let within: Vec<(Instant, IpAddr)> = within.map(|other| (other.at, other.caller)).collect();
        assert!(within.len() <= MAX_COLD_PER_S, "{} in a second: {within:?}", within.len());
    }
}
