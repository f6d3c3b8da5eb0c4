//! The operators' client, against doors that answer as members do while they have no leader.
//!
//! What was seen: a member that answered 503 and when to come back was asked again every 200 ms all the same. Cause: the client read
//! the status of such an answer and nothing else. Evidence: the calls counted below, eleven in two seconds.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A door that answers every call alike, and how often it was called.
async fn door(answer: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4_096];
            let _ = stream.read(&mut head).await;
            counted.fetch_add(1, Ordering::Relaxed);
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (addr, calls)
}

async fn list(members: &[SocketAddr]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_latchmount"));
    command.args(["evacuation", "list", "--timeout-s", "2"]);
    for member in members {
        command.arg("--member").arg(member.to_string());
    }
    let running = tokio::task::spawn_blocking(move || command.output());
    running.await.expect("no panic").expect("the binary runs")
}

const NO_LEADER: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 600\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
const LISTED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n[]";

#[tokio::test]
async fn a_member_that_says_when_to_come_back_is_not_asked_before() {
    let (member, calls) = door(NO_LEADER).await;
    let ended = list(&[member]).await;
    assert!(!ended.status.success());
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn another_member_is_asked_meanwhile() {
    let (busy, calls) = door(NO_LEADER).await;
    let (other, _) = door(LISTED).await;
    let ended = list(&[busy, other]).await;
    assert!(ended.status.success(), "{ended:?}");
    assert_eq!(String::from_utf8_lossy(&ended.stdout).trim(), "[]");
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}
