//! The operators' command-line client, against stand-ins that answer as members without a leader do.
//!
//! The failure: the client called a member again every 200 ms (eleven times in two seconds) although it had answered
//! 503 with a Retry-After header. The client only read the status of the answer.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a stand-in for a member that answers every call with `answer`, and counts the calls.
async fn start_member(answer: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let calls = Arc::new(AtomicUsize::new(0));
    let call_count = calls.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4_096];
            let _ = stream.read(&mut head).await;
            call_count.fetch_add(1, Ordering::Relaxed);
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (addr, calls)
}

/// Runs `latchmount evacuation list` with these members and a timeout of 2 s.
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
async fn a_member_is_not_called_again_before_its_retry_after() {
    let (member, calls) = start_member(NO_LEADER).await;
    let output = list(&[member]).await;
    assert!(!output.status.success());
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn another_member_is_called_meanwhile() {
    let (busy, calls) = start_member(NO_LEADER).await;
    let (other, _) = start_member(LISTED).await;
    let output = list(&[busy, other]).await;
    assert!(output.status.success(), "{output:?}");
    assert_eq!(String::from_utf8_lossy(&output.stdout).trim(), "[]");
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}
