//! Planned stops (SIGTERM), and settings that are reloaded while a process runs (SIGHUP).

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::harness::{Fleet, Process, eventually};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

#[tokio::test]
async fn a_planned_stop_loses_no_request_and_ends_well() {
    let mut fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    target.behave(Behaviour::Slow(Duration::from_millis(200)));
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 1).await;
    let front = fleet.gateway_addr(0);
    let send = |number: usize| async move {
        let id = format!("r-{number}");
        (id.clone(), ClientRequest::new("/unsafe/x", &id).send(front).await)
    };
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..10 {
        requests.spawn(send(number));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.gateways[0].signal(Signal::SIGTERM);
    for number in 10..40 {
        requests.spawn(send(number));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    while let Some(joined) = requests.join_next().await {
        let (id, answer) = joined.expect("no panic");
        match answer {
            Ok(answer) if answer.status == 200 => {
                assert_eq!(answer.body, format!("answer to {id}"))
            }
            Ok(answer) => assert_eq!(answer.status, 503, "{id}: {}", answer.body),
            Err(error) => assert!(error.is_connect(), "{id} was accepted and lost: {error}"),
        }
    }
    assert!(fleet.gateways[0].wait_for_exit().await);
}

/// Reads an answer to its end at about 900 KB/s; returns the length of its body and its Content-Length.
async fn read_slowly(front: SocketAddr, id: &str) -> (usize, usize) {
    const READ: usize = 64 * 1024;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(READ as u32).expect("a small buffer");
    let mut stream = socket.connect(front).await.expect("a connection");
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nx-credential: key-a\r\n\
         x-deadline-ms: 30000\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let (mut answer, mut buffer) = (Vec::new(), vec![0; READ]);
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        answer.extend(&buffer[..read]);
        tokio::time::sleep(Duration::from_millis(70) * read as u32 / READ as u32).await;
    }
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n").expect("a head");
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    let content_length =
        head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    (answer.len() - end - 4, content_length.expect("a length"))
}

/// Guards against a stopping gateway that exits as soon as it has queued the last part of an answer for the connection:
/// bytes that are not written yet are lost, and the client gets a truncated answer.
#[tokio::test]
async fn a_planned_stop_waits_until_a_slow_client_has_all_of_its_answer() {
    const BYTES: usize = 6_300_000;
    let mut fleet = Fleet::prepare(1, 1);
    fleet.gateways[0].set("stop_within_ms", json!(40_000));
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.wait_for_leader().await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    target.behave(Behaviour::Large(BYTES));
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = json!(60_000);
    }
    fleet.configure(&configuration).await;
    fleet.wait_for_targets(0, 1).await;
    let front = fleet.gateway_addr(0);
    let reading = tokio::spawn(async move { read_slowly(front, "r-slow").await });
    eventually("the target gets the request", async || target.arrivals().first().map(|_| ())).await;
    fleet.gateways[0].signal(Signal::SIGTERM);
    assert!(fleet.gateways[0].wait_for_exit().await);
    assert_eq!(
        reading.await.expect("no panic"),
        (BYTES, BYTES),
        "{}",
        fleet.log_lines_of("r-slow")
    );
}

/// Starts a request on a route whose time-out is longer than a planned stop, and sends its body up to `sent`.
async fn begin(front: SocketAddr, body: &str, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: r-1\r\nx-credential: key-a\r\n\
         x-deadline-ms: 60000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&body.as_bytes()[..sent]).await.expect("sent");
    stream
}

/// A fleet with one target that never answers, on routes with time-outs longer than a planned stop.
async fn silent_fleet() -> (Fleet, Standin) {
    let fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    target.behave(Behaviour::NeverAnswer);
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = json!(60_000);
    }
    fleet.configure(&configuration).await;
    fleet.wait_for_targets(0, 1).await;
    (fleet, target)
}

async fn read_answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against requests that are passed on late in a planned stop, and cut at its end.
#[tokio::test]
async fn a_request_whose_body_comes_late_in_a_planned_stop_is_refused_and_not_passed_on() {
    let (fleet, target) = silent_fleet().await;
    let front = fleet.gateway_addr(0);
    let mut stream = begin(front, "body", 2).await;
    fleet.gateways[0].signal(Signal::SIGTERM);
    eventually("the gateway accepts no more clients", async || {
        TcpStream::connect(front).await.err().map(|_| ())
    })
    .await;
    let _ = stream.write_all(b"dy").await;
    let answer = read_answer(stream).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("\"stopping\""), "{answer}");
    assert!(target.arrivals().is_empty());
}

/// Guards against requests that are cut without an answer at the end of a planned stop.
#[tokio::test]
async fn a_request_without_an_answer_at_the_end_of_a_planned_stop_is_told_so() {
    let (mut fleet, target) = silent_fleet().await;
    let stream = begin(fleet.gateway_addr(0), "body", 4).await;
    eventually("the target gets the request", async || target.arrivals().first().map(|_| ())).await;
    fleet.gateways[0].signal(Signal::SIGTERM);
    let answer = read_answer(stream).await;
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(fleet.gateways[0].wait_for_exit().await);
}

#[tokio::test]
async fn changed_settings_are_read_again_on_a_signal_and_faulty_ones_change_nothing() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.configure(&configuration(1)).await;
    let gateway = &mut fleet.gateways[0];
    gateway.write_settings("{ \"host\": 4 }");
    gateway.signal(Signal::SIGHUP);
    eventually("the faulty file is refused", async || {
        gateway.log().contains("event=settings_refused").then_some(())
    })
    .await;
    assert!(gateway.log().contains("host"));
    let mut settings = json!({});
    for field in [
        "host",
        "data_hall",
        "data_halls",
        "listen",
        "ready_listen",
        "peer_port",
        "on_stale",
        "retry_ratio",
        "retry_slack",
        "load_bound",
        "stop_within_ms",
    ] {
        settings[field] = gateway.setting(field);
    }
    settings["members"] = json!(["127.0.0.1:9"]);
    gateway.write_settings(&settings.to_string());
    gateway.signal(Signal::SIGHUP);
    eventually("the valid file is applied", async || {
        let log = gateway.log();
        let line = log.lines().find(|line| line.contains("event=settings_in_force"))?;
        line.contains("restart_needed=false").then_some(())
    })
    .await;
    assert!(!gateway.has_exited());
}
