//! One request inside the limits, without any crowd, is served however it is split, with the memory bounds of the crowds.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client::Split;
use crate::fleet::{DESCRIPTORS, MAX_BODY_BYTES, Small, configuration, head};
use crate::harness::{call, eventually};
use crate::process::one_at_a_time;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends one request in the given pieces and returns the first line of its answer.
async fn send(small: &Small, pieces: &[Vec<u8>]) -> String {
    let mut stream = TcpStream::connect(small.clients()).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket");
    for piece in pieces {
        stream.write_all(piece).await.expect("sent");
    }
    let mut bytes = [0; 1_024];
    let read = tokio::time::timeout(ANSWER_TIMEOUT, stream.read(&mut bytes)).await;
    let read = read.expect("an answer in time").expect("an answer");
    let answer = String::from_utf8_lossy(&bytes[..read]).into_owned();
    answer.lines().next().unwrap_or_default().to_owned()
}

#[rstest]
#[case::whole(Split::Whole, MAX_BODY_BYTES)]
#[case::in_large_chunks(Split::Chunks(16_384), MAX_BODY_BYTES)]
#[case::in_odd_chunks(Split::Chunks(1_001), 1_000_000)]
#[case::in_chunks_of_a_byte(Split::Chunks(1), 20_000)]
#[case::in_chunks_with_extensions(Split::Extended(20), 20_000)]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_is_served_however_it_is_split(#[case] split: Split, #[case] length: usize) {
    let _turn = one_at_a_time().await;
    let small = Small::start(DESCRIPTORS).await;
    let body: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
    let mut pieces = vec![head("calm", split, length)];
    pieces.extend(split.pieces(&body));
    assert_eq!(send(&small, &pieces).await, "HTTP/1.1 200 OK");
    assert!(small.target.arrivals()[0].body == body, "the target got another body");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_with_trailers_is_served() {
    let _turn = one_at_a_time().await;
    let small = Small::start(DESCRIPTORS).await;
    let split = Split::Chunks(100);
    let mut pieces = vec![head("calm", split, 1_000)];
    pieces.extend(split.pieces(&[b'x'; 1_000]));
    *pieces.last_mut().expect("an end") = b"0\r\nx-trailer: value\r\n\r\n".to_vec();
    assert_eq!(send(&small, &pieces).await, "HTTP/1.1 200 OK");
    assert_eq!(small.target.arrivals()[0].body.len(), 1_000);
}

/// The largest configuration, at the default bound on a member's memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_of_the_largest_size_is_acknowledged() {
    const BYTES: usize = 16 * 1_024 * 1_024;
    const DEFAULT_MEMORY_MB: usize = 256;
    let _turn = one_at_a_time().await;
    let mut small = Small::start_with(DEFAULT_MEMORY_MB, DESCRIPTORS).await;
    let mut text = configuration(2).to_string();
    text.insert_str(1, &" ".repeat(BYTES - text.len()));
    eventually("the configuration is acknowledged", async || {
        let answer = call(small.api(), "PUT", "/config", &text).await?;
        (answer.status == 200).then_some(())
    })
    .await;
    small.fleet.wait_for_configuration(0, 2).await;
    assert!(!small.fleet.members[0].has_exited());
    small.bounds.check(small.fleet.members[0].id());
}
