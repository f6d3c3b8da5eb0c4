//! Targets that have announced their shutdown, and then can't reach the members or are spoken for by another writer.

use crate::harness::{Fleet, call, eventually};
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::standin::{Behaviour, Standin};

const START_TIME_MS: u64 = 1_769_600_000_000;
/// Requests that are sent once the members miss the heartbeats of the target.
const LATER_REQUESTS: usize = 60;

/// A fleet with two targets of one service, of which the first has announced its shutdown everywhere.
async fn fleet_with_a_leaving_target() -> (Fleet, Standin, Standin) {
    let fleet = Fleet::start(3, 1).await;
    fleet.configure(&configuration(1)).await;
    let mut leaves = Standin::start("i-leaves", "s", Vec::new()).await;
    leaves.set_start_time(START_TIME_MS, 0);
    leaves.start_heartbeats(fleet.api_addrs());
    let stays = Standin::start("i-stays", "s", fleet.api_addrs()).await;
    fleet.wait_for_targets(0, 2).await;
    leaves.drain(fleet.api_addr(0)).await;
    eventually("the gateway knows that the target leaves", async || {
        for number in 0..20 {
            let id = format!("d-{number}-{}", rand::random::<u32>());
            ClientRequest::new("/safe/x", &id).send(fleet.gateway_addr(0)).await.ok()?;
            if leaves.arrival_counts().contains_key(&id) {
                return None;
            }
        }
        Some(())
    })
    .await;
    (fleet, leaves, stays)
}

/// Waits until the leader has noticed that it misses the heartbeats of a target.
async fn wait_until_missed(fleet: &Fleet) {
    eventually("the members miss the target", async || {
        let mut logs = fleet.members.iter().map(|member| member.log());
        let noticed = ["event=targets_silent", "event=targets_drained"];
        logs.any(|log| noticed.iter().any(|event| log.contains(event))).then_some(())
    })
    .await;
}

/// Announces a further target, which fails all requests, and waits until the gateway lists it: it then has all that the
/// members stored before.
async fn update_gateway(fleet: &Fleet) -> Standin {
    let further = Standin::start("i-further", "s", Vec::new()).await;
    further.behave(Behaviour::Fail);
    let updates = || fleet.gateways[0].log().matches("event=targets").count();
    let before = updates();
    eventually("the gateway is updated", async || {
        further.send_heartbeat(fleet.api_addr(0)).await?;
        (updates() > before).then_some(())
    })
    .await;
    further
}

/// Sends requests while the other targets of the service fail.
async fn send_while_the_others_fail(fleet: &Fleet, stays: &Standin) {
    stays.behave(Behaviour::Fail);
    for number in 0..LATER_REQUESTS {
        let path = if number % 2 == 0 { "/safe/x" } else { "/unsafe/x" };
        let id = format!("later-{number}");
        let request = ClientRequest::new(path, &id);
        request.send(fleet.gateway_addr(0)).await.expect("an answer");
    }
}

// Guards against sending to a target that announced its shutdown, once the members miss its heartbeats.
#[tokio::test]
async fn a_leaving_target_that_the_members_miss_gets_no_more_requests() {
    let (fleet, mut leaves, stays) = fleet_with_a_leaving_target().await;
    leaves.stop_heartbeats();
    let before = leaves.arrivals().len();
    wait_until_missed(&fleet).await;
    let _further = update_gateway(&fleet).await;
    send_while_the_others_fail(&fleet, &stays).await;
    assert_eq!(leaves.arrivals().len(), before);
}

// Guards against the same fault in a service that has no other target: requests are refused at once as not run.
#[tokio::test]
async fn a_service_whose_last_target_left_unheard_refuses_at_once() {
    let (fleet, mut leaves, stays) = fleet_with_a_leaving_target().await;
    drop(stays);
    call(fleet.api_addr(0), "DELETE", "/instances/i-stays", "").await.expect("an answer");
    leaves.stop_heartbeats();
    wait_until_missed(&fleet).await;
    let before = leaves.arrivals().len();
    for number in 0..LATER_REQUESTS {
        let answer = ClientRequest::new("/unsafe/x", &format!("alone-{number}"))
            .send(fleet.gateway_addr(0))
            .await
            .expect("an answer");
        assert_eq!((answer.status, error_code(&answer).as_str()), (503, "no_target"));
    }
    assert_eq!(leaves.arrivals().len(), before);
}

// Guards against taking a heartbeat of another writer, with any sequence number, for a shutdown that was called off.
#[tokio::test]
async fn a_heartbeat_that_says_ready_does_not_undo_an_announced_shutdown() {
    let (fleet, mut leaves, stays) = fleet_with_a_leaving_target().await;
    leaves.stop_heartbeats();
    let before = leaves.arrivals().len();
    let body = serde_json::json!({
        "service": "s", "address": leaves.addr, "zone": "hall-a", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "sequence": 1_000_000, "born": START_TIME_MS,
    });
    for member in fleet.api_addrs() {
        let answer = call(member, "PUT", "/instances/i-leaves", &body.to_string()).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let _further = update_gateway(&fleet).await;
    send_while_the_others_fail(&fleet, &stays).await;
    assert_eq!(leaves.arrivals().len(), before);
}

// Guards against refusing the next incarnation of a target that left and crashed without removing itself.
#[tokio::test]
async fn the_next_start_of_a_target_that_left_unheard_is_used_even_if_its_clock_stepped_back() {
    let (fleet, leaves, _stays) = fleet_with_a_leaving_target().await;
    drop(leaves);
    wait_until_missed(&fleet).await;
    let mut next = Standin::start("i-leaves", "s", Vec::new()).await;
    next.set_start_time(START_TIME_MS - 60_000, 0);
    next.start_heartbeats(fleet.api_addrs());
    eventually("the target is used", async || {
        let id = format!("n-{}", rand::random::<u32>());
        ClientRequest::new("/safe/x", &id).send(fleet.gateway_addr(0)).await.ok()?;
        next.arrival_counts().contains_key(&id).then_some(())
    })
    .await;
}
