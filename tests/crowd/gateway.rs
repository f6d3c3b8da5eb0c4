//! Crowds at a gateway.

use rstest::rstest;

use crate::client::{Crowd, Split};
use crate::fleet::{DESCRIPTORS, FEW_DESCRIPTORS, MAX_BODY_BYTES, MAX_HEADER_BYTES, Small, head};
use crate::process::one_at_a_time;
use crate::standin::Behaviour;

/// The head of the request of a client with this number.
fn head_of(split: Split, length: usize) -> impl Fn(usize) -> Vec<u8> {
    move |number| head(&format!("crowd-{number}"), split, length)
}

/// Sends the same body from each client, short of its last byte.
async fn leave_bodies_open(small: &Small, clients: usize, split: Split, length: usize) -> Crowd {
    let body = vec![b'x'; length];
    let head = head_of(split, length);
    Crowd::leave_bodies_open(small.clients(), clients, (split, &body), head).await
}

#[rstest]
#[case::whole(400, Split::Whole, MAX_BODY_BYTES)]
#[case::in_large_chunks(400, Split::Chunks(16_384), MAX_BODY_BYTES)]
#[case::in_chunks_of_a_byte(100, Split::Chunks(1), 40_000)]
#[case::in_chunks_with_extensions(100, Split::Extended(1), 20_000)]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_left_open_short_of_their_end(
    #[case] clients: usize,
    #[case] split: Split,
    #[case] length: usize,
) {
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let crowd = leave_bodies_open(&small, clients, split, length).await;
    small.check_gateway().await;
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
    let head = head_of(split, BYTES);
    let crowd = Crowd::send_bytewise(small.clients(), CLIENTS, (split, BYTES), head).await;
    small.check_gateway().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_left_open_short_of_their_end() {
    const CLIENTS: usize = 1_500;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let crowd = Crowd::leave_heads_open(small.clients(), CLIENTS, MAX_HEADER_BYTES).await;
    small.check_gateway().await;
    drop(crowd);
}

/// Clients with small bodies: the memory for their connections counts more than what they sent.
#[tokio::test(flavor = "multi_thread")]
async fn many_connections_with_part_of_a_body_each() {
    const CLIENTS: usize = 1_500;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let crowd = leave_bodies_open(&small, CLIENTS, Split::Chunks(4_096), 64 * 1_024).await;
    small.check_gateway().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing() {
    const CLIENTS: usize = 300;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(FEW_DESCRIPTORS).await;
    let crowd = Crowd::idle(small.clients(), CLIENTS).await;
    assert!(crowd.opened() > FEW_DESCRIPTORS / 2);
    small.check_gateway().await;
    drop(crowd);
}

#[rstest]
#[case::readiness(Small::ready)]
#[case::metrics(Small::gateway_metrics)]
#[case::peers(Small::gateway_peers)]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing_to_another_port(
    #[case] port: fn(&Small) -> std::net::SocketAddr,
) {
    const CLIENTS: usize = 400;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(FEW_DESCRIPTORS).await;
    let crowd = Crowd::idle(port(&small), CLIENTS).await;
    small.check_gateway().await;
    drop(crowd);
}

#[rstest]
#[case::readiness(Small::ready)]
#[case::metrics(Small::gateway_metrics)]
#[tokio::test(flavor = "multi_thread")]
async fn heads_left_open_at_another_port(#[case] port: fn(&Small) -> std::net::SocketAddr) {
    const CLIENTS: usize = 300;
    const HEAD_BYTES: usize = 300 * 1_024;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    let crowd = Crowd::leave_heads_open(port(&small), CLIENTS, HEAD_BYTES).await;
    small.check_gateway().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_nobody_reads() {
    const CLIENTS: usize = 80;
    const ANSWER_BYTES: usize = 8_000_000;
    let _turn = one_at_a_time().await;
    let mut small = Small::start(DESCRIPTORS).await;
    small.target.behave(Behaviour::Large(ANSWER_BYTES));
    let crowd = Crowd::open(small.clients(), CLIENTS, |number| {
        vec![head(&format!("crowd-{number}"), Split::Whole, 0)]
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    small.target.behave(Behaviour::Answer);
    small.check_gateway().await;
    drop(crowd);
}
