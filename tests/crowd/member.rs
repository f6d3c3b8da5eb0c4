//! Crowds at a member.

use rstest::rstest;

use crate::client::{Crowd, Split, writes};
use crate::fleet::{DESCRIPTORS, FEW_DESCRIPTORS, Small};
use crate::process::one_at_a_time;

/// The head of a call to a member.
fn head(path: &str, split: Split, length: usize) -> Vec<u8> {
    format!("PUT {path} HTTP/1.1\r\nhost: member\r\n{}\r\n", split.header(length)).into_bytes()
}

/// Sends the same body from each client, short of its last byte.
async fn leave_bodies_open(
    small: &Small,
    clients: usize,
    path: fn(usize) -> String,
    (split, length): (Split, usize),
) -> Crowd {
    let body = vec![b' '; length];
    let head = |number| head(&path(number), split, length);
    Crowd::leave_bodies_open(small.api(), clients, (split, &body), head).await
}

#[rstest]
#[case::whole(Split::Whole)]
#[case::in_large_chunks(Split::Chunks(16_384))]
#[tokio::test(flavor = "multi_thread")]
async fn configurations_left_open_short_of_their_end(#[case] split: Split) {
    const CLIENTS: usize = 12;
    const BYTES: usize = 16 * 1_024 * 1_024;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let path = |_| "/config".to_owned();
    let crowd = leave_bodies_open(&small, CLIENTS, path, (split, BYTES)).await;
    small.check_member().await;
    drop(crowd);
}

#[rstest]
#[case::whole(2_000, Split::Whole, 64_000)]
#[case::in_chunks_of_a_byte(200, Split::Chunks(1), 64_000)]
#[tokio::test(flavor = "multi_thread")]
async fn announcements_left_open_short_of_their_end(
    #[case] clients: usize,
    #[case] split: Split,
    #[case] bytes: usize,
) {
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let path = |number| format!("/instances/crowd-{number}");
    let crowd = leave_bodies_open(&small, clients, path, (split, bytes)).await;
    small.check_member().await;
    drop(crowd);
}

/// Each byte of a body arrives in a segment of its own, so that a read buffer of its own may be kept for it.
#[rstest]
#[case::of_a_whole_body(Split::Whole)]
#[case::in_chunks_of_a_byte(Split::Chunks(1))]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_each_in_a_segment_of_its_own(#[case] split: Split) {
    const CLIENTS: usize = 120;
    const BYTES: usize = 300;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let head = |number| head(&format!("/instances/crowd-{number}"), split, BYTES);
    let crowd = Crowd::send_bytewise(small.api(), CLIENTS, (split, BYTES), head).await;
    small.check_member().await;
    drop(crowd);
}

#[rstest]
#[case::calls(Small::api)]
#[case::metrics(Small::member_metrics)]
#[case::peers(Small::member_peers)]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing(#[case] port: fn(&Small) -> std::net::SocketAddr) {
    const CLIENTS: usize = 400;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(FEW_DESCRIPTORS).await;
    let crowd = Crowd::idle(port(&small), CLIENTS).await;
    small.check_member().await;
    drop(crowd);
}

#[rstest]
#[case::calls(Small::api)]
#[case::metrics(Small::member_metrics)]
#[tokio::test(flavor = "multi_thread")]
async fn heads_left_open_short_of_their_end(#[case] port: fn(&Small) -> std::net::SocketAddr) {
    const CLIENTS: usize = 300;
    const HEAD_BYTES: usize = 300 * 1_024;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let crowd = Crowd::leave_heads_open(port(&small), CLIENTS, HEAD_BYTES).await;
    small.check_member().await;
    drop(crowd);
}

/// Frames of the largest size on the port for other members and gateways.
#[tokio::test(flavor = "multi_thread")]
async fn frames_left_open_short_of_their_end() {
    const CLIENTS: usize = 16;
    const FRAME_BYTES: u32 = 16 * 1_024 * 1_024;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let mut frame = FRAME_BYTES.to_be_bytes().to_vec();
    frame.resize(frame.len() + FRAME_BYTES as usize - 1, 0);
    let crowd = Crowd::open(small.member_peers(), CLIENTS, |_| writes(&frame)).await;
    small.check_member().await;
    drop(crowd);
}
