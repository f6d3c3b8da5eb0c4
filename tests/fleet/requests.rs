//! Requests whose answer is not a stream: what is forwarded, how often a request may run, and which targets get it.

use std::time::Duration;

use serde_json::json;

use crate::harness::Fleet;
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::standin::{Behaviour, Standin};

async fn fleet_with(targets: usize) -> (Fleet, Vec<Standin>) {
    let fleet = Fleet::start(1, 1).await;
    let mut standins = Vec::new();
    for number in 0..targets {
        standins.push(Standin::start(&format!("i-{number}"), "s", fleet.api_addrs()).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, targets).await;
    (fleet, standins)
}

/// A fleet with one gateway and two targets.
pub async fn fleet_with_two_targets() -> (Fleet, Standin, Standin) {
    let (fleet, mut standins) = fleet_with(2).await;
    let other = standins.pop().expect("two targets");
    let one = standins.pop().expect("two targets");
    (fleet, one, other)
}

fn arrivals(standins: &[Standin], id: &str) -> usize {
    standins.iter().map(|standin| standin.arrival_counts().get(id).copied().unwrap_or(0)).sum()
}

#[tokio::test]
async fn a_request_reaches_its_target_unchanged_but_for_what_the_gateway_sets() {
    let (fleet, standins) = fleet_with(1).await;
    let request = ClientRequest::new("/safe/a%20b?c=d&e", "r-1")
        .with("x-other", "kept")
        .with("x-tenant", "forged")
        .with("connection", "x-hop")
        .with("x-hop", "dropped");
    let answer = request.send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer to r-1");
    assert_eq!(answer.header("x-server-stamp"), Some("stamp-i-0-r-1"));
    assert_eq!(answer.header("x-request-id"), Some("r-1"));
    let arrival = &standins[0].arrivals()[0];
    assert_eq!((arrival.method.as_str(), arrival.path.as_str()), ("POST", "/safe/a%20b?c=d&e"));
    assert_eq!(&arrival.body[..], b"body");
    let header = |name: &str| arrival.headers.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(header("host"), Some("h.example"));
    assert_eq!(header("x-request-id"), Some("r-1"));
    assert_eq!(header("x-tenant"), Some("tenant-a"));
    assert_eq!(header("x-expect-instance"), Some("i-0"));
    assert_eq!(header("x-other"), Some("kept"));
    assert_eq!(header("x-credential"), None);
    assert_eq!(header("x-hop"), None);
    let left_ms: u64 = header("x-deadline-ms").expect("a time").parse().expect("a number");
    assert!(left_ms <= 3_000);
}

#[tokio::test]
async fn an_unsafe_request_whose_answer_is_lost_runs_once_and_is_never_called_not_run() {
    let (fleet, standins) = fleet_with(3).await;
    for (behaviour, id, reason) in [
        (Behaviour::CloseConnection, "r-1", "answer_lost"),
        (Behaviour::WrongRequestId, "r-2", "wrong_answer"),
        (Behaviour::Unsigned, "r-3", "wrong_answer"),
    ] {
        standins.iter().for_each(|standin| standin.behave(behaviour));
        let answer = ClientRequest::new("/retried/x", id)
            .send(fleet.gateway_addr(0))
            .await
            .expect("an answer");
        assert_eq!((answer.status, error_code(&answer).as_str()), (502, reason));
        assert_eq!(arrivals(&standins, id), 1);
        assert_eq!(answer.header("x-server-stamp"), None);
    }
}

#[tokio::test]
async fn a_safe_request_goes_to_another_target_after_any_failure() {
    let (fleet, standins) = fleet_with(2).await;
    let faults =
        [Behaviour::CloseConnection, Behaviour::Fail, Behaviour::WrongRequestId, Behaviour::NotRun];
    for (number, fault) in faults.into_iter().enumerate() {
        for round in 0..4 {
            standins[round % 2].behave(fault);
            standins[(round + 1) % 2].behave(Behaviour::Answer);
            let id = format!("r-{number}-{round}");
            let answer = ClientRequest::new("/safe/x", &id)
                .send(fleet.gateway_addr(0))
                .await
                .expect("an answer");
            assert_eq!(answer.status, 200, "{fault:?}: {}", answer.body);
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
}

#[tokio::test]
async fn a_failure_of_every_target_is_passed_on_and_attempts_are_bounded() {
    let (fleet, standins) = fleet_with(5).await;
    standins.iter().for_each(|standin| standin.behave(Behaviour::Fail));
    let answer =
        ClientRequest::new("/safe/x", "r-1").send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert!(answer.header("x-server-stamp").is_some());
    assert_eq!(arrivals(&standins, "r-1"), 3, "the route allows three attempts");
    let answer = ClientRequest::new("/unsafe/x", "r-2")
        .send(fleet.gateway_addr(0))
        .await
        .expect("an answer");
    assert_eq!(answer.status, 500);
    assert_eq!(arrivals(&standins, "r-2"), 1);
}

#[tokio::test]
async fn a_request_that_was_not_run_goes_to_another_target_within_its_attempts() {
    let (fleet, standins) = fleet_with(2).await;
    standins[0].behave(Behaviour::NotRun);
    for round in 0..6 {
        let id = format!("r-{round}");
        let answer = ClientRequest::new("/retried/x", &id)
            .send(fleet.gateway_addr(0))
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_request_for_a_target_is_not_run_by_another_one_at_its_address() {
    let (fleet, standins) = fleet_with(2).await;
    // The process at this address now is not the target that the gateway expects there.
    standins[0].set_replaced();
    for round in 0..10 {
        let id = format!("r-{round}");
        let answer = ClientRequest::new("/unsafe/x", &id)
            .send(fleet.gateway_addr(0))
            .await
            .expect("an answer");
        assert_eq!((answer.status, answer.body), (200, format!("answer to {id}")));
    }
    let log = fleet.gateways[0].log();
    let failed = log.lines().filter(|line| line.contains("error=Gone")).count();
    assert!((1..5).contains(&failed), "{failed} attempts at the replaced target");
}

#[tokio::test]
async fn a_request_without_an_answer_ends_at_its_deadline_and_is_not_called_not_run() {
    let (fleet, standins) = fleet_with(1).await;
    standins[0].behave(Behaviour::NeverAnswer);
    let request = ClientRequest::new("/unsafe/x", "r-1").with("x-deadline-ms", "400");
    let answer = request.send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (504, "answer_late"));
}

#[tokio::test]
async fn a_repeatable_request_to_a_silent_target_is_answered_by_another_in_time() {
    let (fleet, standins) = fleet_with(2).await;
    standins[0].behave(Behaviour::NeverAnswer);
    for round in 0..6 {
        let id = format!("r-{round}");
        let answer = ClientRequest::new("/safe/x", &id)
            .send(fleet.gateway_addr(0))
            .await
            .expect("an answer");
        assert_eq!((answer.status, answer.body), (200, format!("answer to {id}")));
    }
}

#[tokio::test]
async fn a_target_whose_silence_made_a_caller_leave_is_left_alone() {
    let (fleet, standins) = fleet_with(2).await;
    standins[0].behave(Behaviour::NeverAnswer);
    crate::harness::eventually("the unresponsive target is ejected", async || {
        let id = format!("r-{}", rand::random::<u32>());
        let request = ClientRequest::new("/unsafe/x", &id).with("x-deadline-ms", "3900");
        // The route's latency goal is 300 ms; the client disconnects well after that.
        let asking = request.send(fleet.gateway_addr(0));
        let _ = tokio::time::timeout(Duration::from_millis(1_200), asking).await;
        fleet.gateways[0].log().contains("event=target_paused").then_some(())
    })
    .await;
    assert!(fleet.gateways[0].log().contains("event=target_silent"));
}

#[tokio::test]
async fn a_target_that_drains_gets_nothing_more_and_ends_what_it_has() {
    let (fleet, standins) = fleet_with(2).await;
    standins[0].behave(Behaviour::Slow(Duration::from_secs(1)));
    standins[1].behave(Behaviour::Slow(Duration::from_secs(1)));
    let front = fleet.gateway_addr(0);
    let requests: Vec<_> = (0..8)
        .map(|number| {
            let id = format!("before-{number}");
            tokio::spawn(async move { ClientRequest::new("/unsafe/x", &id).send(front).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let changes = || fleet.gateways[0].log().matches("event=targets").count();
    let changes_before = changes();
    standins[0].drain(fleet.api_addr(0)).await;
    crate::harness::eventually("the gateway receives the target's new state", async || {
        (changes() > changes_before).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    standins.iter().for_each(|standin| standin.behave(Behaviour::Answer));
    let before = standins[0].arrivals().len();
    for number in 0..10 {
        let id = format!("after-{number}");
        let answer = ClientRequest::new("/unsafe/x", &id).send(front).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(standins[0].arrivals().len(), before);
    for request in requests {
        let answer = request.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "a request in flight at the draining target was lost");
    }
}

/// A single lost answer must not move a target's chats, whose prompt prefixes it has cached, to another target.
#[tokio::test]
async fn a_target_that_loses_one_answer_keeps_its_chats() {
    let (fleet, standins) = fleet_with(3).await;
    let sticky = |id: &'static str| {
        ClientRequest::new("/sticky/x", id).with("x-prompt-prefix", "aa:900,bb:10")
    };
    let home_of =
        |id: &str| standins.iter().position(|standin| standin.arrival_counts().contains_key(id));
    standins.iter().for_each(|standin| standin.behave(Behaviour::Stream(2)));
    for id in ["r-1", "r-2", "r-3"] {
        sticky(id).send(fleet.gateway_addr(0)).await.expect("an answer");
    }
    let home = home_of("r-3").expect("a home");
    standins[home].behave(Behaviour::CloseConnection);
    let answer = sticky("r-4").send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!((answer.status, home_of("r-4")), (502, Some(home)));
    standins[home].behave(Behaviour::Stream(2));
    let answer = sticky("r-5").send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!((answer.status, home_of("r-5")), (200, Some(home)));
}

/// Both routes and teams may limit requests to regions; if both do, a target must be in a region that both allow.
#[tokio::test]
async fn a_request_reaches_targets_of_the_regions_of_its_route_and_team_only() {
    let fleet = Fleet::start(1, 1).await;
    let north = Standin::start_in("hall-b", "i-north", "s", fleet.api_addrs()).await;
    let south = Standin::start_in("hall-c", "i-south", "s", fleet.api_addrs()).await;
    let nowhere = Standin::start_in("hall-q", "i-nowhere", "s", fleet.api_addrs()).await;
    let mut configuration = configuration(1);
    // The routes /safe, /unsafe and /retried; the others have no limit.
    configuration["routes"][0]["allowed-regions"] = json!(["south"]);
    configuration["routes"][1]["allowed-regions"] = json!(["south", "north"]);
    configuration["routes"][2]["allowed-regions"] = json!(["north"]);
    configuration["tenants"][0]["allowed-regions"] = json!(["south"]);
    fleet.configure(&configuration).await;
    fleet.wait_for_targets(0, 3).await;
    for round in 0..30 {
        for path in ["/safe/x", "/unsafe/x", "/sticky/x"] {
            let id = format!("r-{round}");
            let answer =
                ClientRequest::new(path, &id).send(fleet.gateway_addr(0)).await.expect("an answer");
            assert_eq!(answer.status, 200, "{path}: {answer:?}");
        }
    }
    assert_eq!(south.arrivals().len(), 90);
    assert!(north.arrivals().is_empty() && nowhere.arrivals().is_empty());
    let answer = ClientRequest::new("/retried/x", "r-none")
        .send(fleet.gateway_addr(0))
        .await
        .expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "no_target"));
}

/// Refused connections must not use up a request's attempts, however many targets are down at once.
#[tokio::test]
async fn a_request_finds_the_one_target_of_many_that_is_not_down() {
    let fleet = Fleet::start(1, 4).await;
    let mut standins = Vec::new();
    for number in 0..16 {
        standins.push(Standin::start(&format!("i-{number}"), "s", fleet.api_addrs()).await);
    }
    fleet.configure(&configuration(1)).await;
    for gateway in 0..4 {
        fleet.wait_for_targets(gateway, 16).await;
    }
    standins[1..].iter_mut().for_each(Standin::stop_listening);
    for gateway in 0..4 {
        let answer = ClientRequest::new("/unsafe/x", "r-1").send(fleet.gateway_addr(gateway)).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
}
