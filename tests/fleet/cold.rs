//! Targets that are slow after a start: all gateways together send them little until they say that they are warm.

use std::time::Instant;

use serde_json::json;

use crate::doors::configuration;
use crate::harness::{Fleet, Process, call, eventually};
use crate::refusals::{ClientRequest, error_code};
use crate::standin::Standin;

const GATEWAYS: usize = 3;
/// A start takes 4 s, and until then a target bears 2.5 requests in any second, of which the gateways use 0.4:
/// each sends one in 3 s.
const GAP_S: f64 = 3.0;

async fn fleet() -> (Fleet, Standin) {
    let mut fleet = Fleet::prepare(1, GATEWAYS);
    for gateway in &mut fleet.gateways {
        gateway.set("cold_over", json!(1.0));
        gateway.set("cold_slack", json!(0.5));
    }
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.settled().await;
    let warm = Standin::start_in("hall-a", "i-warm", "s", fleet.doors()).await;
    let mut configuration = configuration(1);
    configuration["services"][0]["cold-start-s"] = json!(4.0);
    configuration["services"][0]["cold-per-s"] = json!(2.0);
    fleet.configure(&configuration).await;
    (fleet, warm)
}

/// Asks a gateway for something about one of many subjects, each of which has its own first home.
async fn ask_about(fleet: &Fleet, subject: usize) {
    let prompt = format!("s{subject}:500,p:20");
    let ask = ClientRequest::new("/sticky/x", "r-2").with("x-prompt-prefix", &prompt);
    ask.send(fleet.front(subject % GATEWAYS)).await.expect("an answer");
}

/// Waits until so many requests have reached a target, which is asked for as any other.
async fn gets_its_part(fleet: &Fleet, what: &str, target: &Standin, arrivals: usize) {
    let mut subject = 0;
    eventually(what, async || {
        subject += 1;
        ask_about(fleet, subject).await;
        (target.arrivals().len() >= arrivals).then_some(())
    })
    .await;
}

/// Most requests that may reach a cold target in so long.
fn most(since: Instant) -> usize {
    GATEWAYS * (1 + (since.elapsed().as_secs_f64() / GAP_S) as usize)
}

#[tokio::test]
async fn a_cold_target_gets_little_until_it_says_that_it_is_warm() {
    let (fleet, warm) = fleet().await;
    let mut cold = Standin::start_in("hall-b", "i-cold", "s", vec![]).await;
    cold.stay_cold(60_000);
    cold.announce_at(fleet.doors());
    for gateway in 0..GATEWAYS {
        fleet.knows_targets(gateway, 2).await;
    }
    let since = Instant::now();
    for round in 0..300 {
        let path = ["/safe/x", "/unsafe/x", "/sticky/x"][round % 3];
        let ask = ClientRequest::new(path, "r-1").with("x-prompt-prefix", "aa:500,bb:20");
        let answer = ask.send(fleet.front(round % GATEWAYS)).await.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(cold.arrivals().len() <= most(since), "{} arrivals", cold.arrivals().len());
    }
    assert!(warm.arrivals().len() >= 300 - most(since));
    cold.stay_cold(0);
    let before = cold.arrivals().len();
    gets_its_part(&fleet, "the warm target gets its part", &cold, before + 20).await;
}

#[tokio::test]
async fn targets_of_a_hall_that_returns_count_as_cold_for_a_start() {
    let (fleet, warm) = fleet().await;
    let back = Standin::start_in("hall-b", "i-back", "s", fleet.doors()).await;
    for gateway in 0..GATEWAYS {
        fleet.knows_targets(gateway, 2).await;
    }
    for method in ["POST", "DELETE"] {
        let answer = call(fleet.door(0), method, "/evacuations/hall-b", "").await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    for gateway in &fleet.gateways {
        eventually("the withdrawal is obeyed", async || {
            let log = gateway.log();
            let revisions = log.lines().filter(|line| line.contains("event=evacuations")).count();
            (revisions >= 2).then_some(())
        })
        .await;
    }
    // Its heartbeats say all the while that it is warm, but those may be older than the withdrawal.
    let since = Instant::now();
    let before = back.arrivals().len();
    let mut asked = 0;
    while since.elapsed().as_secs_f64() < 2.0 {
        asked += 1;
        ask_about(&fleet, asked).await;
        assert!(back.arrivals().len() - before <= most(since), "{}", back.arrivals().len());
    }
    assert!(warm.arrivals().len() + most(since) >= asked);
    gets_its_part(&fleet, "the hall gets its part", &back, before + 30).await;
}

#[tokio::test]
async fn with_cold_targets_only_what_they_cannot_bear_is_refused_at_once() {
    let (fleet, warm) = fleet().await;
    warm.stay_cold(60_000);
    eventually("the gateway takes it as cold", async || {
        let answer = ClientRequest::new("/unsafe/x", "r-1").send(fleet.front(0)).await.ok()?;
        (answer.status == 503 && error_code(&answer) == "cold").then_some(answer)
    })
    .await
    .header("retry-after")
    .expect("a time to come back");
}

#[tokio::test]
async fn a_target_that_was_silent_counts_as_cold_for_a_start() {
    let (fleet, warm) = fleet().await;
    let mut back = Standin::start_in("hall-b", "i-back", "s", fleet.doors()).await;
    for gateway in 0..GATEWAYS {
        fleet.knows_targets(gateway, 2).await;
    }
    let changes = |gateway: &Process| gateway.log().matches("msg=\"targets changed\"").count();
    let before: Vec<usize> = fleet.gateways.iter().map(changes).collect();
    let told = async |times: usize| {
        for (gateway, before) in fleet.gateways.iter().zip(&before) {
            eventually("word of it", async || (changes(gateway) >= before + times).then_some(()))
                .await;
        }
    };
    back.fall_silent();
    told(1).await;
    back.announce_at(fleet.doors());
    told(2).await;
    let since = Instant::now();
    let before = back.arrivals().len();
    for subject in 0..150 {
        ask_about(&fleet, subject).await;
        assert!(back.arrivals().len() - before <= most(since), "{}", back.arrivals().len());
    }
    assert!(!warm.arrivals().is_empty());
    gets_its_part(&fleet, "it gets its part", &back, before + 30).await;
}

/// A member that starts knows no time from before, but it knows which halls returned long ago.
#[tokio::test]
async fn targets_of_a_hall_that_returned_long_ago_are_warm_after_the_loss_of_all_processes() {
    let (mut fleet, warm) = fleet().await;
    for method in ["POST", "DELETE"] {
        let answer = call(fleet.door(0), method, "/evacuations/hall-a", "").await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let halls_warm = |fleet: &Fleet| fleet.members[0].log().contains("event=halls_warm");
    eventually("the hall is warm again", async || halls_warm(&fleet).then_some(())).await;
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::kill);
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    let before = warm.arrivals().len();
    let served = eventually("a gateway that knows its targets answers", async || {
        let answer = ClientRequest::new("/unsafe/x", "r-1").send(fleet.front(0)).await.ok()?;
        (answer.status == 200 || error_code(&answer) == "cold").then_some(answer)
    });
    assert_eq!(served.await.status, 200);
    assert_eq!(warm.arrivals().len(), before + 1);
}

/// A target ends and starts again under its identity, at its address, and no word of that reaches the gateways yet. Those
/// that met nobody there meanwhile take it as cold.
#[tokio::test]
async fn a_target_that_refused_connections_counts_as_cold_for_a_start() {
    let (mut fleet, warm) = fleet().await;
    let mut target = Standin::start_in("hall-a", "i-1", "s", fleet.doors()).await;
    for gateway in 0..GATEWAYS {
        fleet.knows_targets(gateway, 2).await;
    }
    gets_its_part(&fleet, "it is warm and gets its part", &target, 10).await;
    let addr = target.addr;
    target.fall_silent();
    target.stop_listening();
    fleet.members[0].kill();
    let mut number = 0;
    eventually("each gateway met nobody there", async || {
        number += 1;
        let ask = ClientRequest::new("/safe/x", "r-3");
        ask.send(fleet.front(number % GATEWAYS)).await.ok()?;
        let met = |log: String| log.contains("error=\"NotSent(Refused)\"");
        fleet.gateways.iter().all(|gateway| met(gateway.log())).then_some(())
    })
    .await;
    drop(target);
    // Longer than a start takes: what counts is when somebody is met again.
    tokio::time::sleep(std::time::Duration::from_millis(4_500)).await;
    let listener =
        eventually("its address is free", async || tokio::net::TcpListener::bind(addr).await.ok())
            .await;
    let again = Standin::serve(listener, "hall-a", "i-1", "s", Vec::new(), None);
    let since = Instant::now();
    for round in 0..300 {
        let answer = ClientRequest::new("/safe/x", "r-4").send(fleet.front(round % GATEWAYS)).await;
        assert_eq!(answer.expect("an answer").status, 200);
        assert!(again.arrivals().len() <= most(since), "{} arrivals", again.arrivals().len());
    }
    assert!(warm.arrivals().len() >= 300 - most(since));
}
