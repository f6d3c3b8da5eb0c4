//! Poison parts of prompts: each target crashes that begins to answer a request with such a part, whatever else the
//! request holds. No two of these requests are alike; sound requests share their caller, route and other parts.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::harness::{Fleet, eventually};
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::restarting_target::{CrashCounts, RestartingTarget};

/// Places of the service; each runs one target at a time and restarts it after a crash.
const PLACES: usize = 12;
const GATEWAYS: usize = 3;
/// Crashes that a part may cost: five until it must be blocked, and three more sends anywhere.
const MAX_CRASHES: usize = 8;
/// Requests with the part that clients send.
const POISON_REQUESTS: usize = 60;
/// Time between two of them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Sound requests sent between two poison requests.
const SOUND_PER_POISON: usize = 4;
/// Share of the sound requests that must be served at the first attempt once the part is blocked.
const MIN_SOUND_SHARE: f64 = 0.5;

struct PoisonFleet {
    fleet: Fleet,
    counts: Arc<Mutex<CrashCounts>>,
    _places: Vec<RestartingTarget>,
}

impl PoisonFleet {
    async fn start() -> Self {
        let fleet = Fleet::start(3, GATEWAYS).await;
        let counts = Arc::new(Mutex::new(CrashCounts::default()));
        let mut places = Vec::new();
        for place in 0..PLACES {
            let (name, members) = (format!("i-{place}"), fleet.api_addrs());
            places.push(RestartingTarget::start(name, members, counts.clone()).await);
        }
        fleet.configure(&configuration(1)).await;
        for gateway in 0..GATEWAYS {
            fleet.wait_for_targets(gateway, PLACES).await;
        }
        PoisonFleet { fleet, counts, _places: places }
    }

    fn crashes(&self) -> usize {
        self.counts.lock().expect("no panic").crashes
    }

    /// Sends a request with the poison part `dead` in its prompt and a body of its own; returns whether it is refused
    /// as blocked.
    async fn send_poison(&self, number: usize, first_part: &str) -> bool {
        let id = format!("p-{number}");
        let prompt = format!("{first_part}:600,dead:200,{number:x}:40");
        let request = ClientRequest::new("/resumable/x", &id).with("x-prompt-prefix", &prompt);
        let request = ClientRequest { body: format!("body {number}").into_bytes(), ..request };
        let answer = request.send(self.fleet.gateway_addr(number % GATEWAYS)).await;
        answer.is_ok_and(|answer| answer.status == 500 && error_code(&answer) == "ends_targets")
    }

    /// Sends a sound request with the same first part; returns whether it is served.
    async fn send_sound(&self, number: usize, first_part: &str) -> bool {
        let id = format!("s-{number}");
        let prompt = format!("{first_part}:600,{:x}:200,{number:x}5:40", 0xa0 + number % 5);
        let request = ClientRequest::new("/resumable/x", &id).with("x-prompt-prefix", &prompt);
        let request = ClientRequest { body: format!("sound {number}").into_bytes(), ..request };
        let answer = request.send(self.fleet.gateway_addr(number % GATEWAYS)).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

#[tokio::test]
async fn a_prompt_part_under_which_targets_end_is_blocked_and_sound_requests_are_served() {
    let poisoned = PoisonFleet::start().await;
    let mut sound_number = 0;
    let mut blocked = Vec::new();
    let mut sound = Vec::new();
    for number in 0..POISON_REQUESTS {
        let sounds = (0..SOUND_PER_POISON).map(|at| poisoned.send_sound(sound_number + at, "aa"));
        let (sounds, poison) = tokio::join!(
            futures_util::future::join_all(sounds),
            poisoned.send_poison(number, "aa")
        );
        sound_number += SOUND_PER_POISON;
        blocked.push(poison);
        sound.push(sounds);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let crashes = poisoned.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes} targets crashed; blocked: {blocked:?}");
    assert_eq!(blocked[POISON_REQUESTS / 2..], vec![true; POISON_REQUESTS / 2]);
    let later: Vec<bool> = sound[POISON_REQUESTS / 2..].concat();
    let served = later.iter().filter(|served| **served).count();
    let share = served as f64 / later.len() as f64;
    assert!(share >= MIN_SOUND_SHARE, "{served} of {} sound requests served", later.len());
}

/// The first part of the prompt is poison, and everything behind it differs.
#[tokio::test]
async fn a_poison_part_before_parts_that_differ_is_blocked() {
    let poisoned = PoisonFleet::start().await;
    let mut last = false;
    for number in 0..POISON_REQUESTS / 2 {
        let id = format!("p-{number}");
        let prompt = format!("dead:600,{number:x}7:200,{number:x}:40");
        let request = ClientRequest::new("/resumable/x", &id).with("x-prompt-prefix", &prompt);
        let request = ClientRequest { body: format!("body {number}").into_bytes(), ..request };
        let answer = request.send(poisoned.fleet.gateway_addr(number % GATEWAYS)).await;
        last = answer
            .is_ok_and(|answer| answer.status == 500 && error_code(&answer) == "ends_targets");
        poisoned.send_sound(number, "aa").await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let crashes = poisoned.crashes();
    assert!(crashes <= MAX_CRASHES && last, "{crashes} targets crashed, blocked at last: {last}");
}

/// A gateway that starts only after the part was blocked does not send it.
#[tokio::test]
async fn a_gateway_that_starts_later_sends_no_blocked_part() {
    let mut poisoned = PoisonFleet::start().await;
    for number in 0..POISON_REQUESTS / 3 {
        poisoned.send_poison(number, "aa").await;
        poisoned.send_sound(number, "aa").await;
    }
    let blocks = |log: String| log.matches("event=poison_blocked").count();
    let before = blocks(poisoned.fleet.gateways[0].log());
    poisoned.fleet.gateways[0].kill();
    poisoned.fleet.gateways[0].start();
    poisoned.fleet.wait_for_configuration(0, 1).await;
    let gateway = &poisoned.fleet.gateways[0];
    eventually("the gateway is told of the block", async || {
        (blocks(gateway.log()) > before).then_some(())
    })
    .await;
    let crashes = poisoned.crashes();
    assert!(poisoned.send_poison(GATEWAYS * 1_000, "bb").await, "not refused");
    assert_eq!(poisoned.crashes(), crashes);
}
