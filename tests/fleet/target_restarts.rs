//! Targets that restart under the same id. Each incarnation is a new target, which holds no home and no caches.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::{Fleet, call, eventually};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::restarting_target::listen_again;
use crate::standin::{Behaviour, Standin};

/// Start time of the first incarnation, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_769_600_000_000;
/// Start time of the second incarnation, in Unix milliseconds.
const SECOND_START_MS: u64 = FIRST_START_MS + 60_000;
/// A heartbeat sequence number that no incarnation started at zero reaches within the test.
const HIGH_SEQUENCE: u64 = 1_000_000;

/// Starts a target that announces the start time `start_ms` and numbers its heartbeats from `sequence`.
async fn target(fleet: &Fleet, start_ms: u64, sequence: u64) -> Standin {
    let mut standin = Standin::start("i-1", "s", Vec::new()).await;
    standin.set_start_time(start_ms, sequence);
    standin.start_heartbeats(fleet.api_addrs());
    standin
}

async fn wait_until_used(fleet: &Fleet, standin: &Standin) {
    eventually("the target is used", async || {
        let id = format!("r-{}", rand::random::<u32>());
        let answer = ClientRequest::new("/safe/x", &id).send(fleet.gateway_addr(0)).await.ok()?;
        (answer.status == 200 && standin.arrival_counts().contains_key(&id)).then_some(())
    })
    .await;
}

async fn fleet() -> Fleet {
    let fleet = Fleet::start(3, 1).await;
    fleet.configure(&configuration(1)).await;
    fleet
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It was removed by a DELETE.
    Removed,
    /// It crashed.
    Crashed,
    /// It crashed, and the members had marked it as unresponsive.
    FoundUnresponsive,
}

#[rstest]
#[case::removed(End::Removed, SECOND_START_MS)]
#[case::silent(End::Crashed, SECOND_START_MS)]
#[case::found_silent(End::FoundUnresponsive, SECOND_START_MS)]
#[case::its_clock_stepped_back_and_it_was_removed(End::Removed, FIRST_START_MS - 60_000)]
#[case::its_clock_stepped_back_and_it_was_found_silent(End::FoundUnresponsive, FIRST_START_MS - 60_000)]
#[tokio::test]
async fn a_target_that_returns_under_its_id_is_used_again(#[case] end: End, #[case] start_ms: u64) {
    let fleet = fleet().await;
    let first = target(&fleet, FIRST_START_MS, HIGH_SEQUENCE).await;
    wait_until_used(&fleet, &first).await;
    drop(first);
    if end == End::Removed {
        eventually("the target is removed", async || {
            let answer = call(fleet.api_addr(0), "DELETE", "/instances/i-1", "").await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    if end == End::FoundUnresponsive {
        eventually("the target is marked as unresponsive", async || {
            let mut logs = fleet.members.iter().map(|member| member.log());
            logs.any(|log| log.contains("event=targets_silent")).then_some(())
        })
        .await;
    }
    let second = target(&fleet, start_ms, 0).await;
    wait_until_used(&fleet, &second).await;
}

/// A heartbeat of the first incarnation that arrives only after the restart must not change the second one.
#[tokio::test]
async fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let fleet = fleet().await;
    let first = target(&fleet, FIRST_START_MS, HIGH_SEQUENCE).await;
    wait_until_used(&fleet, &first).await;
    let late = Standin::start("i-1", "s", Vec::new()).await;
    late.set_start_time(FIRST_START_MS, 2 * HIGH_SEQUENCE);
    late.behave(Behaviour::CloseConnection);
    drop(first);
    let second = target(&fleet, SECOND_START_MS, 0).await;
    wait_until_used(&fleet, &second).await;
    for door in fleet.api_addrs() {
        late.drain(door).await;
    }
    for number in 0..20 {
        let id = format!("a-{number}");
        let answer = ClientRequest::new("/safe/x", &id)
            .send(fleet.gateway_addr(0))
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert!(late.arrivals().is_empty());
}

/// Requests that are sent after the restart is listed.
const LATER_REQUESTS: usize = 30;
/// Time within which a restart must be listed for its first answers to be known as its own.
const LISTED_WITHIN: Duration = Duration::from_secs(4);

/// Restarts a target that asks for a back-off before it announces itself. Returns how many requests reached it after the
/// announcement, during the back-off; `None` if the announcement took too long.
async fn arrivals_during_early_back_off(fleet: &Fleet, id: &str) -> Option<usize> {
    let mut first = Standin::start(id, "s", Vec::new()).await;
    first.set_start_time(FIRST_START_MS, 0);
    first.start_heartbeats(fleet.api_addrs());
    wait_until_used(fleet, &first).await;
    let addr = first.addr;
    drop(first);
    let listener = listen_again(addr).await;
    let mut second = Standin::serve(listener, "hall-a", id, "s", Vec::new(), None);
    second.set_start_time(SECOND_START_MS, 0);
    second.behave(Behaviour::NotRun);
    second.add_header("retry-after", "60");
    eventually("the target asks for a back-off", async || {
        let id = format!("b-{}", rand::random::<u32>());
        let _ = ClientRequest::new("/safe/x", &id).send(fleet.gateway_addr(0)).await;
        (!second.arrivals().is_empty()).then_some(())
    })
    .await;
    let asked = Instant::now();
    let updates = || fleet.gateways[0].log().matches("event=targets").count();
    let before = updates();
    second.start_heartbeats(fleet.api_addrs());
    eventually("the restart is listed", async || (updates() > before).then_some(())).await;
    if asked.elapsed() > LISTED_WITHIN {
        return None;
    }
    let before = second.arrivals().len();
    for number in 0..LATER_REQUESTS {
        let id = format!("l-{number}-{}", rand::random::<u32>());
        let _ = ClientRequest::new("/safe/x", &id).send(fleet.gateway_addr(0)).await;
    }
    Some(second.arrivals().len() - before)
}

// Guards against forgetting, once a restart is listed, the back-off that it asked for before.
#[tokio::test]
async fn a_back_off_that_a_restarted_target_asked_for_before_it_was_listed_holds() {
    let fleet = fleet().await;
    let _other = Standin::start("i-other", "s", fleet.api_addrs()).await;
    let mut tries = 0;
    let arrivals = loop {
        tries += 1;
        if let Some(arrivals) = arrivals_during_early_back_off(&fleet, &format!("i-{tries}")).await
        {
            break arrivals;
        }
    };
    assert_eq!(arrivals, 0);
}
