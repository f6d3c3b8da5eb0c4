//! Targets that restart under the same id as another version of their software, before a member has a heartbeat of the
//! new incarnation.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use rstest::rstest;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::harness::{CallResponse, Fleet, Process, eventually};
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::restarting_target::listen_again;
use crate::standin::{Behaviour, Standin};

const FIRST_START_MS: u64 = 1_769_600_000_000;
const SECOND_START_MS: u64 = FIRST_START_MS + 60_000;
/// Events of a stream that lasts until its target ends, 10 ms apart.
const LONG: u32 = 1_000;
/// Where a resumed stream ends.
const RESUMED_EVENTS: u32 = 20;
/// Times that a client tries to resume its stream while the new incarnation is not announced.
const TRIES: u32 = 10;

async fn start_target(id: &str, version: &'static str, fleet: &Fleet) -> Standin {
    let mut standin = Standin::start(id, "s", Vec::new()).await.with_version(version);
    standin.set_start_time(FIRST_START_MS, 0);
    standin.behave(Behaviour::Stream(LONG));
    standin.start_heartbeats(fleet.api_addrs());
    standin
}

/// Ends a target and starts it again under its id as `v2`, without heartbeats.
async fn restart_unannounced(standin: Standin) -> Standin {
    let (id, addr) = (standin.id.clone(), standin.addr);
    drop(standin);
    let listener = listen_again(addr).await;
    let again = Standin::serve(listener, "hall-a", &id, "s", Vec::new(), None).with_version("v2");
    again.set_start_time(SECOND_START_MS, 0);
    again.behave(Behaviour::Stream(RESUMED_EVENTS));
    again
}

async fn fleet(targets: usize) -> Fleet {
    let fleet = Fleet::start(3, 2).await;
    fleet.configure(&configuration(1)).await;
    for gateway in 0..2 {
        fleet.wait_for_targets(gateway, targets).await;
    }
    fleet
}

/// Begins a stream, and reads it until it ends or breaks.
async fn begin(fleet: &Fleet, id: &'static str) -> JoinHandle<()> {
    let front = fleet.gateway_addr(0);
    let request = reqwest::Client::new()
        .post(format!("http://{front}/resumable/x"))
        .header("host", "h.example")
        .header("x-request-id", id)
        .header("x-credential", "key-a")
        .header("x-deadline-ms", "20000")
        .body(id);
    let mut events = request.send().await.expect("a head").bytes_stream();
    events.next().await.expect("an event").expect("no error");
    tokio::spawn(async move { while events.next().await.is_some_and(|event| event.is_ok()) {} })
}

/// Resumes a stream after its third event.
async fn resume(fleet: &Fleet, gateway: usize, began_as: &str) -> CallResponse {
    let id = format!("{began_as}-{}", rand::random::<u32>());
    let request = ClientRequest::new("/resumable/x", &id)
        .with("resumes", began_as)
        .with("last-event-id", "3");
    let request = ClientRequest { body: began_as.into(), ..request };
    request.send(fleet.gateway_addr(gateway)).await.expect("an answer")
}

/// Waits until a gateway knows that a target may have restarted, from itself or from the members.
async fn wait_until_suspected(fleet: &Fleet, gateway: usize) {
    eventually("a restart is suspected", async || {
        let log = fleet.gateways[gateway].log();
        let known = log.contains("event=restart_suspected") || log.contains("event=restarts_told");
        known.then_some(())
    })
    .await;
}

/// How long a client tries to resume its stream after all processes were killed: until members tell what they saved.
const TRIES_AFTER_KILL: Duration = Duration::from_secs(7);

/// Guards against streams that hold events of two versions, since members tell what they saved before they could hear
/// that a target restarted while they were down.
#[tokio::test]
async fn a_stream_does_not_go_on_at_a_target_that_restarted_while_all_processes_were_down() {
    let mut fleet = fleet(0).await;
    let first = start_target("i-1", "v1", &fleet).await;
    fleet.wait_for_targets(0, 1).await;
    let stream = begin(&fleet, "s-1").await;
    // Members have saved the stream's origin by then.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.gateways.iter_mut().for_each(Process::kill);
    fleet.members.iter_mut().for_each(Process::kill);
    stream.await.expect("the stream broke");
    let second = restart_unannounced(first).await;
    fleet.members.iter_mut().for_each(Process::start);
    fleet.gateways.iter_mut().for_each(Process::start);
    fleet.wait_for_leader().await;
    let front = fleet.gateway_addr(1);
    eventually("the gateway listens", async || TcpStream::connect(front).await.ok()).await;
    let until = Instant::now() + TRIES_AFTER_KILL;
    while Instant::now() < until {
        let answer = resume(&fleet, 1, "s-1").await;
        assert_eq!(answer.status, 503, "{}", answer.body);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(second.arrivals().is_empty(), "a request reached the new incarnation");
}

// Guards against streams that hold events of two versions after a restart behind a partition from the members.
#[rstest]
#[case::at_the_same_gateway(0)]
#[case::at_a_gateway_without_a_connection_there(1)]
#[tokio::test]
async fn a_stream_does_not_go_on_at_a_target_that_restarted_unannounced(#[case] gateway: usize) {
    let fleet = fleet(0).await;
    let first = start_target("i-1", "v1", &fleet).await;
    fleet.wait_for_targets(gateway, 1).await;
    fleet.wait_for_targets(0, 1).await;
    let stream = begin(&fleet, "s-1").await;
    let mut second = restart_unannounced(first).await;
    stream.await.expect("the stream broke");
    wait_until_suspected(&fleet, gateway).await;
    for _ in 0..TRIES {
        let answer = resume(&fleet, gateway, "s-1").await;
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(answer.header("retry-after").is_some());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(second.arrivals().is_empty(), "a request reached the new incarnation");
    second.start_heartbeats(fleet.api_addrs());
    eventually("the new incarnation is listed", async || {
        let answer = resume(&fleet, gateway, "s-1").await;
        (error_code(&answer) == "version_gone").then_some(())
    })
    .await;
    assert!(second.arrivals().is_empty(), "a request reached the new incarnation");
}

// Guards against refusing to resume streams at targets that only lost a connection.
#[tokio::test]
async fn a_stream_goes_on_at_a_target_that_reports_the_listed_incarnation() {
    let fleet = fleet(0).await;
    let standin = start_target("i-1", "v1", &fleet).await.with_report();
    standin.behave(Behaviour::BreakAfter(5));
    fleet.wait_for_targets(0, 1).await;
    fleet.wait_for_targets(1, 1).await;
    begin(&fleet, "s-1").await.await.expect("the stream broke");
    standin.behave(Behaviour::Stream(RESUMED_EVENTS));
    for gateway in [0, 1] {
        wait_until_suspected(&fleet, gateway).await;
        let answer = resume(&fleet, gateway, "s-1").await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(answer.body.starts_with("id: 4\n"));
    }
}

// Guards against the same fault where nothing had shown that the target ended.
#[tokio::test]
async fn a_stream_does_not_go_on_at_a_target_that_reports_another_incarnation() {
    let fleet = fleet(0).await;
    let first = start_target("i-1", "v1", &fleet).await;
    fleet.wait_for_targets(0, 1).await;
    fleet.wait_for_targets(1, 1).await;
    begin(&fleet, "s-1").await.abort();
    let second = restart_unannounced(first).await.with_report();
    for gateway in [0, 1] {
        eventually("the stream is refused", async || {
            let answer = resume(&fleet, gateway, "s-1").await;
            (error_code(&answer) == "restart_suspected").then_some(())
        })
        .await;
    }
    assert!(second.arrivals().is_empty(), "a request reached the new incarnation");
}

// Guards against taking a stream that a new incarnation began for one of the version that is listed.
#[tokio::test]
async fn a_stream_begun_by_an_unannounced_incarnation_does_not_go_on_elsewhere() {
    let fleet = fleet(0).await;
    let first = start_target("i-1", "v1", &fleet).await;
    fleet.wait_for_targets(0, 1).await;
    let stream = begin(&fleet, "s-1").await;
    let second = restart_unannounced(first).await;
    stream.await.expect("the stream broke");
    wait_until_suspected(&fleet, 0).await;
    let begun = eventually("a new stream begins", async || {
        let id = format!("n-{}", rand::random::<u32>());
        let answer =
            ClientRequest::new("/resumable/x", &id).send(fleet.gateway_addr(0)).await.ok()?;
        (answer.status == 200).then_some(id)
    })
    .await;
    assert!(second.arrival_counts().contains_key(&begun));
    let sound = start_target("i-2", "v1", &fleet).await;
    sound.behave(Behaviour::Stream(RESUMED_EVENTS));
    fleet.wait_for_targets(1, 2).await;
    for gateway in [0, 1] {
        let answer = resume(&fleet, gateway, &begun).await;
        assert_eq!(error_code(&answer), "origin_unknown");
    }
    assert!(!sound.arrivals().iter().any(|arrival| arrival.headers.contains_key("last-event-id")));
}
