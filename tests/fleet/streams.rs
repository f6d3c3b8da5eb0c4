//! Streams: whole events only, each once and in order, and never complete before their end.

use std::time::Duration;

use futures_util::StreamExt;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::doors::configuration;
use crate::harness::{Fleet, Process, eventually};
use crate::refusals::{ClientRequest, error_code};
use crate::standin::{Behaviour, Standin, event};

/// Requests that a target works on at once.
const SLOTS: usize = 8;

fn events(up_to: u32) -> String {
    (1..=up_to).map(event).collect()
}

async fn fleet_with(behaviours: &[Behaviour]) -> (Fleet, Vec<Standin>) {
    let fleet = Fleet::start(1, 1).await;
    let mut standins = Vec::new();
    for (number, behaviour) in behaviours.iter().enumerate() {
        let standin = Standin::start(&format!("i-{number}"), "s", fleet.doors()).await;
        standin.behave(*behaviour);
        standins.push(standin);
    }
    fleet.configure(&configuration(1)).await;
    fleet.knows_targets(0, behaviours.len()).await;
    (fleet, standins)
}

#[tokio::test]
async fn a_stream_arrives_whole() {
    let (fleet, _standins) = fleet_with(&[Behaviour::Stream(30)]).await;
    for path in ["/stream/x", "/resumable/x"] {
        let answer =
            ClientRequest::new(path, "r-1").send(fleet.front(0)).await.expect("a whole answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, events(30));
    }
}

#[tokio::test]
async fn a_resumable_stream_that_breaks_goes_on_after_the_last_event_under_its_first_head() {
    let fleet = [Behaviour::BreakAfter(7), Behaviour::BreakAfter(7)];
    let (fleet, standins) = fleet_with(&fleet).await;
    let front = fleet.front(0);
    let ask =
        tokio::spawn(async move { ClientRequest::new("/resumable/x", "r-1").send(front).await });
    eventually("the first attempt", async || {
        let began = standins.iter().any(|standin| !standin.arrivals().is_empty());
        began.then_some(())
    })
    .await;
    standins.iter().for_each(|standin| standin.behave(Behaviour::Stream(20)));
    let answer = ask.await.expect("no panic").expect("a whole answer");
    assert_eq!(answer.body, events(20));
    let first = standins.iter().find(|standin| {
        standin.arrivals().iter().any(|arrival| !arrival.headers.contains_key("last-event-id"))
    });
    let first = first.expect("a first attempt");
    assert_eq!(answer.header("x-server-stamp"), Some(format!("stamp-{}-r-1", first.id).as_str()));
    let second = standins.iter().find(|standin| standin.id != first.id).expect("another");
    let resumed = &second.arrivals()[0];
    assert_eq!(resumed.headers.get("last-event-id").expect("where to go on"), "7");
}

#[tokio::test]
async fn a_resumable_stream_that_falls_silent_goes_on_at_another_target() {
    let (fleet, standins) = fleet_with(&[Behaviour::StallAfter(4), Behaviour::StallAfter(4)]).await;
    let front = fleet.front(0);
    let ask =
        tokio::spawn(async move { ClientRequest::new("/resumable/x", "r-1").send(front).await });
    eventually("the first attempt", async || {
        let began = standins.iter().any(|standin| !standin.arrivals().is_empty());
        began.then_some(())
    })
    .await;
    standins.iter().for_each(|standin| standin.behave(Behaviour::Stream(12)));
    let answer = ask.await.expect("no panic").expect("a whole answer");
    assert_eq!(answer.body, events(12));
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_and_breaks_never_looks_complete_and_runs_once() {
    let (fleet, standins) = fleet_with(&[Behaviour::BreakAfter(5), Behaviour::BreakAfter(5)]).await;
    let answer = ClientRequest::new("/stream/x", "r-1").send(fleet.front(0)).await;
    assert!(answer.is_err(), "{answer:?}");
    let runs: usize = standins.iter().map(|standin| standin.arrivals().len()).sum();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_is_answered_502() {
    let (fleet, _standins) = fleet_with(&[Behaviour::BreakAfter(0)]).await;
    let answer =
        ClientRequest::new("/stream/x", "r-1").send(fleet.front(0)).await.expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (502, "answer_lost"));
}

#[tokio::test]
async fn a_client_that_leaves_lets_its_target_go() {
    let (fleet, standins) = fleet_with(&[Behaviour::Stream(100_000)]).await;
    let client = reqwest::Client::new();
    let request = client
        .post(format!("http://{}/stream/x", fleet.front(0)))
        .header("host", "h.example")
        .header("x-request-id", "r-1")
        .header("x-credential", "key-a")
        .header("x-deadline-ms", "4000");
    let response = request.send().await.expect("a head");
    let mut body = response.bytes_stream();
    body.next().await.expect("an event").expect("sound");
    drop(body);
    drop(client);
    eventually("the gateway has let go", async || {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let metric = format!("http://{}/", fleet.front(0));
        // A new request is served, and the old one is no longer open at the target.
        let _ = reqwest::get(metric).await;
        (standins[0].open() == 0).then_some(())
    })
    .await;
}

/// Longer than five heartbeats of targets, after which a service is no longer forming.
const FORMING: std::time::Duration = std::time::Duration::from_secs(2);

#[tokio::test]
async fn a_target_that_took_another_s_home_is_told_to_fetch_from_it_while_it_is_there() {
    let (fleet, mut standins) = fleet_with(&[Behaviour::Stream(3)]).await;
    // A service that has just had its first target gives newcomers homes at once; later ones wait
    // for a home that somebody leaves.
    tokio::time::sleep(FORMING).await;
    let ask =
        |id| ClientRequest::new("/sticky/x", id).with("x-prompt-prefix", "aa:900,bb:3000,cc:40");
    ask("r-1").send(fleet.front(0)).await.expect("a whole answer");
    assert!(!standins[0].arrivals()[0].headers.contains_key("kv-fetch"), "nobody else is there");
    let newcomer = Standin::start("i-new", "s", fleet.doors()).await;
    newcomer.behave(Behaviour::Stream(3));
    standins.push(newcomer);
    fleet.knows_targets(0, 2).await;
    standins[0].drain(fleet.door(0)).await;
    eventually("the newcomer serves", async || {
        let id = format!("r-{}", rand::random::<u32>());
        ClientRequest::new("/sticky/x", &id)
            .with("x-prompt-prefix", "aa:900,bb:3000,dd:50")
            .send(fleet.front(0))
            .await
            .ok()?;
        (!standins[1].arrivals().is_empty()).then_some(())
    })
    .await;
    let arrival = &standins[1].arrivals()[0];
    let from = arrival.headers.get("kv-fetch").expect("where to fetch from");
    assert_eq!(from, standins[0].addr.to_string().as_str());
}

/// A prompt that many ask with.
const PROMPT: &str = "aa:900,bb:3000,cc:40";
/// How long a client waits for the home that answers nobody.
const GIVES_UP: Duration = Duration::from_millis(300);

fn asks_with_prompt(id: &str) -> ClientRequest<'_> {
    ClientRequest::new("/sticky/x", id).with("x-prompt-prefix", PROMPT)
}

/// A prompt's first home was full for a moment, so that another target read it too. A second gateway, which saw none
/// of that, names that other one to the first home.
#[tokio::test]
async fn a_gateway_names_a_keeper_that_another_gateway_told_of() {
    let mut fleet = Fleet::prepare(1, 2);
    fleet.members[0].start();
    fleet.settled().await;
    let mut standins = Vec::new();
    for id in ["i-0", "i-1"] {
        let standin = Standin::start(id, "s", fleet.doors()).await;
        standin.behave(Behaviour::Stream(3));
        standins.push(standin);
    }
    fleet.submit(0, &configuration(1)).await;
    tokio::time::sleep(FORMING).await;
    // Gateways that start now take both for old tenants of their homes.
    fleet.gateways.iter_mut().for_each(Process::start);
    for gateway in 0..2 {
        fleet.in_force(gateway, 1).await;
        fleet.knows_targets(gateway, 2).await;
    }
    let first_ask = asks_with_prompt("r-1").send(fleet.front(0)).await;
    first_ask.expect("a whole answer");
    let home = standins.iter().position(|standin| !standin.arrivals().is_empty()).expect("one");
    let (first, other) = (&standins[home], &standins[1 - home]);
    first.behave(Behaviour::Mute);
    let mut held = Vec::new();
    for number in 0..SLOTS {
        let mut client = TcpStream::connect(fleet.front(0)).await.expect("a connection");
        let head = format!(
            "POST /sticky/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: h-{number}\r\n\
            x-prompt-prefix: {PROMPT}\r\n\
            x-credential: key-a\r\nx-deadline-ms: 3500\r\ncontent-length: 4\r\n\r\nbody"
        );
        client.write_all(head.as_bytes()).await.expect("sent");
        held.push(client);
    }
    eventually("the other one is asked", async || {
        let id = format!("o-{}", rand::random::<u32>());
        let ask = asks_with_prompt(&id);
        let _ = tokio::time::timeout(GIVES_UP, ask.send(fleet.front(0))).await;
        (!other.arrivals().is_empty()).then_some(())
    })
    .await;
    drop(held);
    first.behave(Behaviour::Stream(3));
    let named = other.addr.to_string();
    eventually("the first home is told where to fetch from", async || {
        let id = format!("n-{}", rand::random::<u32>());
        let _ = asks_with_prompt(&id).send(fleet.front(1)).await;
        let arrivals = first.arrivals();
        let mut from = arrivals.iter().filter_map(|arrival| arrival.headers.get("kv-fetch"));
        from.any(|from| from == named.as_str()).then_some(())
    })
    .await;
}

/// Whoever closes its connection, or gives a stream up, has its target let go, also where nothing was answered
/// yet; and nothing is sent on in its name.
#[tokio::test]
async fn clients_that_leave_have_their_requests_end_at_the_targets_and_sent_nowhere_else() {
    let (fleet, standins) = fleet_with(&[Behaviour::Mute, Behaviour::Mute]).await;
    let arrivals = || standins.iter().map(|standin| standin.arrivals().len()).sum::<usize>();
    let mut clients = Vec::new();
    for round in 0..24 {
        let path = ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"][round % 4];
        let mut client = TcpStream::connect(fleet.front(0)).await.expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: r-{round}\r\n\
            x-credential: key-a\r\nx-deadline-ms: 3500\r\ncontent-length: 4\r\n\r\nbody"
        );
        client.write_all(head.as_bytes()).await.expect("sent");
        clients.push(client);
    }
    eventually("all have arrived", async || (arrivals() >= 24).then_some(())).await;
    drop(clients);
    eventually("no target works for them", async || {
        (standins.iter().map(Standin::open).sum::<usize>() == 0).then_some(())
    })
    .await;
    // Patience with a silent target would have turned to the other one by now.
    let before = arrivals();
    tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
    assert_eq!(arrivals(), before);
    let left = fleet.gateways[0].log().matches("event=client_left").count();
    assert_eq!(left, 24);
}
