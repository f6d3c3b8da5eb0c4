//! Streamed answers: clients get whole events, each once and in order, and never a complete answer from a broken stream.

use std::time::Duration;

use futures_util::StreamExt;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::harness::{CallResponse, Fleet, Process, eventually};
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::standin::{Behaviour, Standin, event};

/// Requests that a target runs at the same time.
const SLOTS: usize = 8;

fn events(up_to: u32) -> String {
    (1..=up_to).map(event).collect()
}

async fn fleet_with(behaviours: &[Behaviour]) -> (Fleet, Vec<Standin>) {
    let fleet = Fleet::start(1, 1).await;
    let mut standins = Vec::new();
    for (number, behaviour) in behaviours.iter().enumerate() {
        let standin = Standin::start(&format!("i-{number}"), "s", fleet.api_addrs()).await;
        standin.behave(*behaviour);
        standins.push(standin);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, behaviours.len()).await;
    (fleet, standins)
}

#[tokio::test]
async fn a_stream_arrives_whole() {
    let (fleet, _standins) = fleet_with(&[Behaviour::Stream(30)]).await;
    for path in ["/stream/x", "/resumable/x"] {
        let answer = ClientRequest::new(path, "r-1")
            .send(fleet.gateway_addr(0))
            .await
            .expect("a whole answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, events(30));
    }
}

#[tokio::test]
async fn a_resumable_stream_that_breaks_goes_on_after_the_last_event_under_its_first_head() {
    let fleet = [Behaviour::BreakAfter(7), Behaviour::BreakAfter(7)];
    let (fleet, standins) = fleet_with(&fleet).await;
    let front = fleet.gateway_addr(0);
    let request =
        tokio::spawn(async move { ClientRequest::new("/resumable/x", "r-1").send(front).await });
    eventually("the first attempt", async || {
        let began = standins.iter().any(|standin| !standin.arrivals().is_empty());
        began.then_some(())
    })
    .await;
    standins.iter().for_each(|standin| standin.behave(Behaviour::Stream(20)));
    let answer = request.await.expect("no panic").expect("a whole answer");
    assert_eq!(answer.body, events(20));
    let first = standins.iter().find(|standin| {
        standin.arrivals().iter().any(|arrival| !arrival.headers.contains_key("last-event-id"))
    });
    let first = first.expect("a first attempt");
    assert_eq!(answer.header("x-server-stamp"), Some(format!("stamp-{}-r-1", first.id).as_str()));
    let second = standins.iter().find(|standin| standin.id != first.id).expect("another");
    let resumed = &second.arrivals()[0];
    assert_eq!(resumed.headers.get("last-event-id").expect("the id of the last event"), "7");
}

#[tokio::test]
async fn a_resumable_stream_that_falls_silent_goes_on_at_another_target() {
    let (fleet, standins) = fleet_with(&[Behaviour::StallAfter(4), Behaviour::StallAfter(4)]).await;
    let front = fleet.gateway_addr(0);
    let request =
        tokio::spawn(async move { ClientRequest::new("/resumable/x", "r-1").send(front).await });
    eventually("the first attempt", async || {
        let began = standins.iter().any(|standin| !standin.arrivals().is_empty());
        began.then_some(())
    })
    .await;
    standins.iter().for_each(|standin| standin.behave(Behaviour::Stream(12)));
    let answer = request.await.expect("no panic").expect("a whole answer");
    assert_eq!(answer.body, events(12));
}

/// A pause that is longer than the stall timeouts of the routes, 900 ms for an answer and 600 ms for an event.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Begins a request on a route and, once one of the targets has it, has the other behave in this way.
async fn answer_beside(
    path: &'static str,
    first: Behaviour,
    other: Behaviour,
) -> (CallResponse, Vec<Standin>) {
    let (fleet, standins) = fleet_with(&[first, first]).await;
    let front = fleet.gateway_addr(0);
    let request = tokio::spawn(async move { ClientRequest::new(path, "r-1").send(front).await });
    let began = eventually("the first attempt", async || {
        standins.iter().position(|standin| !standin.arrivals().is_empty())
    })
    .await;
    standins[1 - began].behave(other);
    (request.await.expect("no panic").expect("a whole answer"), standins)
}

/// Guards against streams that are cut since a pausing target was given up for one without room.
#[rstest::rstest]
#[case::before_the_first_event(0)]
#[case::amid_the_stream(5)]
#[tokio::test]
async fn a_stream_that_pauses_while_the_other_target_is_full_is_not_cut(#[case] after: u32) {
    let pausing = Behaviour::Pause { after, pause: PAUSE, events: 20 };
    let (answer, standins) = answer_beside("/resumable/x", pausing, Behaviour::NotRun).await;
    assert_eq!((answer.status, answer.body), (200, events(20)));
    let asked: usize = standins.iter().map(|standin| standin.arrivals().len()).sum();
    assert_eq!(asked, 2, "the other target was asked");
}

/// Guards against late answers that are given up for a target without room.
#[tokio::test]
async fn an_answer_that_comes_late_while_the_other_target_is_full_is_passed_on() {
    let slow = Behaviour::Slow(PAUSE);
    let (answer, standins) = answer_beside("/safe/x", slow, Behaviour::NotRun).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer to r-1"));
    let asked: usize = standins.iter().map(|standin| standin.arrivals().len()).sum();
    assert_eq!(asked, 2, "the other target was asked");
}

/// Guards against a silent target's stream being cut by another target that answers without a stream.
#[tokio::test]
async fn a_stream_that_pauses_while_the_other_target_fails_is_not_cut() {
    let pausing = Behaviour::Pause { after: 5, pause: PAUSE, events: 20 };
    let (answer, _standins) = answer_beside("/resumable/x", pausing, Behaviour::Fail).await;
    assert_eq!((answer.status, answer.body), (200, events(20)));
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_and_breaks_never_looks_complete_and_runs_once() {
    let (fleet, standins) = fleet_with(&[Behaviour::BreakAfter(5), Behaviour::BreakAfter(5)]).await;
    let answer = ClientRequest::new("/stream/x", "r-1").send(fleet.gateway_addr(0)).await;
    assert!(answer.is_err(), "{answer:?}");
    let runs: usize = standins.iter().map(|standin| standin.arrivals().len()).sum();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_is_answered_502() {
    let (fleet, _standins) = fleet_with(&[Behaviour::BreakAfter(0)]).await;
    let answer = ClientRequest::new("/stream/x", "r-1")
        .send(fleet.gateway_addr(0))
        .await
        .expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (502, "answer_lost"));
}

#[tokio::test]
async fn a_client_that_disconnects_ends_the_request_at_its_target() {
    let (fleet, standins) = fleet_with(&[Behaviour::Stream(100_000)]).await;
    let client = reqwest::Client::new();
    let request = client
        .post(format!("http://{}/stream/x", fleet.gateway_addr(0)))
        .header("host", "h.example")
        .header("x-request-id", "r-1")
        .header("x-credential", "key-a")
        .header("x-deadline-ms", "4000");
    let response = request.send().await.expect("a head");
    let mut body = response.bytes_stream();
    body.next().await.expect("an event").expect("no error");
    drop(body);
    drop(client);
    eventually("the request ends at the target", async || {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let url = format!("http://{}/", fleet.gateway_addr(0));
        // Another request; the stream must then no longer be open at the target.
        let _ = reqwest::get(url).await;
        (standins[0].open_connections() == 0).then_some(())
    })
    .await;
}

/// Time until a service counts as formed: longer than the five target heartbeats for which it counts as forming.
const FORMING_TIME: std::time::Duration = std::time::Duration::from_secs(2);

#[tokio::test]
async fn a_target_that_took_another_s_home_is_told_to_fetch_from_it_while_it_is_there() {
    let (fleet, mut standins) = fleet_with(&[Behaviour::Stream(3)]).await;
    // While a service is forming, new targets get homes at once; later ones wait until another target gives up its home.
    tokio::time::sleep(FORMING_TIME).await;
    let request =
        |id| ClientRequest::new("/sticky/x", id).with("x-prompt-prefix", "aa:900,bb:3000,cc:40");
    request("r-1").send(fleet.gateway_addr(0)).await.expect("a whole answer");
    assert!(
        !standins[0].arrivals()[0].headers.contains_key("kv-fetch"),
        "there is no other target to fetch from"
    );
    let new_target = Standin::start("i-new", "s", fleet.api_addrs()).await;
    new_target.behave(Behaviour::Stream(3));
    standins.push(new_target);
    fleet.wait_for_targets(0, 2).await;
    standins[0].drain(fleet.api_addr(0)).await;
    eventually("the new target serves", async || {
        let id = format!("r-{}", rand::random::<u32>());
        ClientRequest::new("/sticky/x", &id)
            .with("x-prompt-prefix", "aa:900,bb:3000,dd:50")
            .send(fleet.gateway_addr(0))
            .await
            .ok()?;
        (!standins[1].arrivals().is_empty()).then_some(())
    })
    .await;
    let arrival = &standins[1].arrivals()[0];
    let from = arrival.headers.get("kv-fetch").expect("the address to fetch from");
    assert_eq!(from, standins[0].addr.to_string().as_str());
}

/// The prefix of a prompt, as the value of x-prompt-prefix.
const PROMPT: &str = "aa:900,bb:3000,cc:40";
/// How long a client waits for the home, which does not answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(300);

fn request_with_prompt(id: &str) -> ClientRequest<'_> {
    ClientRequest::new("/sticky/x", id).with("x-prompt-prefix", PROMPT)
}

/// While the home of a prompt is full, another target serves the prompt and becomes a prefix holder. A second gateway,
/// which routed none of these requests, must learn of that holder and name it to the home in kv-fetch.
#[tokio::test]
async fn a_gateway_names_a_prefix_holder_that_another_gateway_reported() {
    let mut fleet = Fleet::prepare(1, 2);
    fleet.members[0].start();
    fleet.wait_for_leader().await;
    let mut standins = Vec::new();
    for id in ["i-0", "i-1"] {
        let standin = Standin::start(id, "s", fleet.api_addrs()).await;
        standin.behave(Behaviour::Stream(3));
        standins.push(standin);
    }
    fleet.submit(0, &configuration(1)).await;
    tokio::time::sleep(FORMING_TIME).await;
    // Gateways that start only now take neither target for one that has just got its home.
    fleet.gateways.iter_mut().for_each(Process::start);
    for gateway in 0..2 {
        fleet.wait_for_configuration(gateway, 1).await;
        fleet.wait_for_targets(gateway, 2).await;
    }
    let first_request = request_with_prompt("r-1").send(fleet.gateway_addr(0)).await;
    first_request.expect("a whole answer");
    let home = standins.iter().position(|standin| !standin.arrivals().is_empty()).expect("one");
    let (first, other) = (&standins[home], &standins[1 - home]);
    first.behave(Behaviour::NeverAnswer);
    let mut open_clients = Vec::new();
    for number in 0..SLOTS {
        let mut client = TcpStream::connect(fleet.gateway_addr(0)).await.expect("a connection");
        let head = format!(
            "POST /sticky/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: h-{number}\r\n\
            x-prompt-prefix: {PROMPT}\r\n\
            x-credential: key-a\r\nx-deadline-ms: 3500\r\ncontent-length: 4\r\n\r\nbody"
        );
        client.write_all(head.as_bytes()).await.expect("sent");
        open_clients.push(client);
    }
    eventually("the other target gets a request", async || {
        let id = format!("o-{}", rand::random::<u32>());
        let request = request_with_prompt(&id);
        let _ = tokio::time::timeout(CLIENT_TIMEOUT, request.send(fleet.gateway_addr(0))).await;
        (!other.arrivals().is_empty()).then_some(())
    })
    .await;
    drop(open_clients);
    first.behave(Behaviour::Stream(3));
    let holder_addr = other.addr.to_string();
    eventually("the home gets a request with the holder's address", async || {
        let id = format!("n-{}", rand::random::<u32>());
        let _ = request_with_prompt(&id).send(fleet.gateway_addr(1)).await;
        let arrivals = first.arrivals();
        let mut from = arrivals.iter().filter_map(|arrival| arrival.headers.get("kv-fetch"));
        from.any(|from| from == holder_addr.as_str()).then_some(())
    })
    .await;
}

/// When a client disconnects, the gateway ends its request at the target, also if nothing was answered yet, and does not
/// send the request to another target.
#[tokio::test]
async fn clients_that_disconnect_have_their_requests_ended_and_sent_nowhere_else() {
    let (fleet, standins) = fleet_with(&[Behaviour::NeverAnswer, Behaviour::NeverAnswer]).await;
    let arrivals = || standins.iter().map(|standin| standin.arrivals().len()).sum::<usize>();
    let mut clients = Vec::new();
    for round in 0..24 {
        let path = ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"][round % 4];
        let mut client = TcpStream::connect(fleet.gateway_addr(0)).await.expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: r-{round}\r\n\
            x-credential: key-a\r\nx-deadline-ms: 3500\r\ncontent-length: 4\r\n\r\nbody"
        );
        client.write_all(head.as_bytes()).await.expect("sent");
        clients.push(client);
    }
    eventually("all requests reach a target", async || (arrivals() >= 24).then_some(())).await;
    drop(clients);
    eventually("all requests end at the targets", async || {
        (standins.iter().map(Standin::open_connections).sum::<usize>() == 0).then_some(())
    })
    .await;
    // Longer than the stall timeout, after which a retry would have gone to the other target.
    let before = arrivals();
    tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
    assert_eq!(arrivals(), before);
    let disconnected = fleet.gateways[0].log().matches("event=client_left").count();
    assert_eq!(disconnected, 24);
}
