//! Clients that send or read slowly: the memory that a gateway uses for them is bounded, and other clients are served
//! as before.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::harness::{Fleet, Process, eventually, field};
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::standin::{Behaviour, Standin};
use crate::usage;

/// Slow clients that send part of a head, and as many that send part of a body.
const SLOW_CLIENTS: usize = 300;
/// Requests of a fast client.
const FAST_REQUESTS: usize = 200;

/// A fleet of one member and one gateway with these settings, one target and a timeout of a minute on all routes.
pub async fn fleet(settings: &[(&str, serde_json::Value)]) -> (Fleet, Standin) {
    let mut fleet = Fleet::prepare(1, 1);
    for (field, value) in settings {
        fleet.gateways[0].set(field, value.clone());
    }
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.wait_for_leader().await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    let mut large = configuration(1);
    large["limits"]["max-body-bytes"] = json!(4_000_000);
    for route in large["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = json!(60_000);
    }
    fleet.configure(&large).await;
    fleet.wait_for_targets(0, 1).await;
    (fleet, target)
}

/// The head of a request with a body of `length` bytes.
pub fn head(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nx-credential: key-a\r\n\
         x-deadline-ms: 60000\r\ncontent-length: {length}\r\n\r\n"
    )
}

async fn send(front: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    stream.write_all(bytes).await.expect("sent");
    stream
}

/// Sends `FAST_REQUESTS` requests one by one and counts those that are served.
async fn count_served(front: SocketAddr) -> usize {
    let mut served = 0;
    for number in 0..FAST_REQUESTS {
        let answer = ClientRequest::new("/safe/x", &format!("q-{number}")).send(front).await;
        served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    served
}

/// Hundreds of connections that send only part of a head or of a large body must not fill the gateway's memory or keep
/// it from serving others.
#[tokio::test]
async fn slow_senders_cost_others_nothing_and_stay_within_memory() {
    let (fleet, _target) = fleet(&[]).await;
    let front = fleet.gateway_addr(0);
    let mut slow = Vec::new();
    for number in 0..SLOW_CLIENTS {
        slow.push(send(front, b"POST /safe/x HTTP/1.1\r\nhost: h.exa").await);
        let mut partial = head("/safe/x", &format!("s-{number}"), 3_000_000).into_bytes();
        partial.resize(partial.len() + 400_000, b'x');
        let mut stream = TcpStream::connect(front).await.expect("a connection");
        // The gateway may have closed the connection already to free memory.
        let sending = tokio::time::timeout(Duration::from_secs(2), stream.write_all(&partial));
        let _ = sending.await;
        slow.push(stream);
    }
    let served = count_served(front).await;
    assert!(served * 100 >= FAST_REQUESTS * 95, "{served} of {FAST_REQUESTS}");
    let memory = usage::resident_mib(fleet.gateways[0].id());
    assert!(memory < 160.0, "{memory} MiB");
    drop(slow);
}

/// A client that the gateway cuts off while it sends, to free memory, gets 408 with `not_run`, and no target gets the
/// request.
#[tokio::test]
async fn a_slow_sender_that_is_cut_off_gets_408_and_its_request_reaches_no_target() {
    let (fleet, target) = fleet(&[("memory_mb", json!(32))]).await;
    let front = fleet.gateway_addr(0);
    // The gateway may hold 13 MB of bodies; each client sends 3 MB, and may be cut off a second after it connected.
    let mut slow = Vec::new();
    for number in 0..6 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut partial = head("/safe/x", &format!("s-{number}"), 3_500_000).into_bytes();
        partial.resize(partial.len() + 3_000_000, b'x');
        let mut stream = TcpStream::connect(front).await.expect("a connection");
        let _ = tokio::time::timeout(Duration::from_secs(2), stream.write_all(&partial)).await;
        slow.push(stream);
    }
    let mut answer = String::new();
    eventually("the first client gets an answer", async || {
        let mut bytes = [0; 1_024];
        let read = tokio::time::timeout(Duration::from_millis(200), slow[0].read(&mut bytes));
        let read = read.await.ok()?.ok()?;
        answer += &String::from_utf8_lossy(&bytes[..read]);
        answer.contains("\r\n\r\n").then_some(())
    })
    .await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("body_too_slow"), "{answer}");
    assert!(answer.contains("\"not_run\":true"), "{answer}");
    assert!(target.arrivals().is_empty());
    let log = fleet.gateways[0].log();
    assert!(log.lines().any(|line| field(line, "event") == Some("client_cut")), "{log}");
}

/// If a client never reads, the gateway closes its connection and ends the request at the target, and does not eject
/// the target for it.
#[tokio::test]
async fn a_client_that_reads_nothing_is_cut_off_and_its_target_is_not_ejected() {
    let settings = [("client_buffer_kb", json!(16)), ("client_unread_ms", json!(500))];
    let (fleet, target) = fleet(&settings).await;
    target.behave(Behaviour::Flood);
    // Otherwise the kernel would buffer megabytes for the client.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a size");
    let mut stuck = socket.connect(fleet.gateway_addr(0)).await.expect("a connection");
    stuck.write_all(head("/stream/x", "r-stuck", 0).as_bytes()).await.expect("sent");
    eventually("the stream runs", async || (target.arrivals().len() == 1).then_some(())).await;
    let cut = eventually("the gateway closes the client's connection", async || {
        let log = fleet.gateways[0].log();
        let cut = |line: &&str| field(line, "event") == Some("client_cut");
        log.lines().find(cut).and_then(|line| field(line, "why")).map(str::to_owned)
    });
    assert_eq!(cut.await, "unread");
    eventually("the request ends at the target", async || {
        (target.open_connections() == 0).then_some(())
    })
    .await;
    let log = fleet.gateways[0].log();
    assert!(!log.contains("event=target_paused"), "{log}");
    target.behave(Behaviour::Answer);
    let answer =
        ClientRequest::new("/safe/x", "r-2").send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!(answer.status, 200);
}

/// A client that starts to read only after the target has finished gets the whole answer, if that fits the gateway's
/// buffer.
#[tokio::test]
async fn a_client_that_reads_late_gets_its_whole_answer() {
    let (fleet, target) = fleet(&[]).await;
    target.behave(Behaviour::Stream(2_000));
    let head = head("/stream/x", "r-late", 0);
    let mut late = send(fleet.gateway_addr(0), head.as_bytes()).await;
    eventually("the target has finished", async || {
        let log = fleet.gateways[0].log();
        let _ = log;
        (target.arrivals().len() == 1 && target.open_connections() <= 1).then_some(())
    })
    .await;
    let mut bytes = Vec::new();
    eventually("the last event", async || {
        let mut more = [0; 16_384];
        let read = late.read(&mut more).await.expect("not cut");
        bytes.extend_from_slice(&more[..read]);
        String::from_utf8_lossy(&bytes).contains("id: 2000\n").then_some(())
    })
    .await;
}

/// The total size of the request bodies in flight at a target is bounded (`target_bodies_kb`). A single body may exceed
/// the bound; a request that finds no room is refused as not run.
#[tokio::test]
async fn bodies_at_a_target_are_bounded() {
    let (fleet, target) = fleet(&[("target_bodies_kb", json!(64))]).await;
    target.behave(Behaviour::Slow(Duration::from_secs(2)));
    let front = fleet.gateway_addr(0);
    let large = |id: String| async move {
        let mut request = ClientRequest::new("/unsafe/x", &id);
        request.body = vec![b'x'; 100_000];
        request.send(front).await.expect("an answer")
    };
    let first = tokio::spawn(large("r-1".into()));
    eventually("the target gets the first request", async || {
        (target.arrivals().len() == 1).then_some(())
    })
    .await;
    let second = large("r-2".into()).await;
    assert_eq!((second.status, error_code(&second).as_str()), (503, "no_room"));
    assert!(second.body.contains("\"not_run\":true"), "{second:?}");
    assert!(second.header("retry-after").is_some());
    assert_eq!(first.await.expect("no panic").status, 200);
    assert_eq!(target.arrivals().len(), 1);
}

/// A client that reads 400 KB/s must get its whole answer, although the answer is larger than all socket buffers.
#[tokio::test]
async fn a_client_that_reads_slowly_and_steadily_gets_its_whole_answer() {
    const BYTES: usize = 4_500_000;
    const STEP: usize = 20_000;
    let (fleet, target) = fleet(&[]).await;
    target.behave(Behaviour::Large(BYTES));
    let mut steady = send(fleet.gateway_addr(0), head("/safe/x", "r-steady", 0).as_bytes()).await;
    let mut read = 0;
    let mut bytes = vec![0; STEP];
    while read < BYTES {
        let more = steady.read(&mut bytes).await.expect("not reset");
        assert!(more > 0, "{read} of {BYTES} bytes came");
        read += more;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let log = fleet.gateways[0].log();
    assert!(!log.contains("event=client_cut"), "{log}");
}
