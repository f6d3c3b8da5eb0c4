//! Headers that only gateways may set: values that a client sends for them never reach a target.

use std::net::SocketAddr;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{Fleet, eventually};
use crate::member_api::configuration;
use crate::standin::{Arrival, Behaviour, Standin};

/// Headers of the platform's dialect that only gateways set.
const SYSTEM_HEADERS: [&str; 9] = [
    "X-Hold",
    "x-pin-ms",
    "X-KV-BACKUP",
    "Kv-From",
    "kv-Fetch",
    "X-Expect-Version",
    "X-Expect-Instance",
    "X-Request-Priority",
    "x-TENANT",
];
/// The value that the client sends in each of these headers.
const FORGED: &str = "127.0.0.1:9/7";

/// Sends a request with each of the headers twice, as listed and in lower case, and returns the whole answer.
async fn send_forged(gateway: SocketAddr, path: &str, id: &str) -> String {
    let mut head = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nx-credential: key-a\r\n\
         x-deadline-ms: 3000\r\nx-other: kept\r\ncontent-length: 4\r\nconnection: close\r\n"
    );
    for name in SYSTEM_HEADERS {
        head += &format!("{name}: {FORGED}\r\n{}: {FORGED}\r\n", name.to_lowercase());
    }
    let mut stream = TcpStream::connect(gateway).await.expect("a connection");
    stream.write_all(format!("{head}\r\nbody").as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

fn assert_unforged(arrival: &Arrival) {
    for name in SYSTEM_HEADERS {
        let values: Vec<_> = arrival.headers.get_all(name).iter().collect();
        assert!(values.len() <= 1, "{name}: {values:?} in {}", arrival.id);
        assert!(values.iter().all(|value| *value != FORGED), "{name} of {}", arrival.id);
    }
    assert_eq!(arrival.headers.get("x-other").expect("forwarded"), "kept");
    assert_eq!(arrival.headers.get("x-tenant").expect("set by the gateway"), "tenant-a");
}

#[rstest]
#[case::safe("/safe/x", Behaviour::Answer, 1)]
#[case::run_once("/unsafe/x", Behaviour::Answer, 1)]
#[case::a_stream("/stream/x", Behaviour::Stream(3), 1)]
#[case::with_a_prompt("/sticky/x", Behaviour::Stream(3), 1)]
#[case::sent_again("/safe/x", Behaviour::Fail, 3)]
#[case::resumed("/resumable/x", Behaviour::BreakAfter(2), 3)]
#[tokio::test]
async fn a_client_cannot_set_what_only_the_system_sets(
    #[case] path: &str,
    #[case] behaviour: Behaviour,
    #[case] arrivals: usize,
) {
    let fleet = Fleet::start(1, 1).await;
    let mut standins = Vec::new();
    for number in 0..3 {
        let standin = Standin::start(&format!("i-{number}"), "s", fleet.api_addrs()).await;
        standin.behave(behaviour);
        standins.push(standin);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 3).await;
    send_forged(fleet.gateway_addr(0), path, "r-1").await;
    let all = eventually("every attempt arrives at a target", async || {
        let all: Vec<Arrival> = standins.iter().flat_map(Standin::arrivals).collect();
        (all.len() >= arrivals).then_some(all)
    })
    .await;
    all.iter().for_each(assert_unforged);
}
