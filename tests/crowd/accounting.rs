//! What a gateway counts for its clients is at least what it holds for them.

use rstest::rstest;

use crate::client::{Crowd, Split, Writes, unfinished_head, writes};
use crate::fleet::{DESCRIPTORS, MAX_HEADER_BYTES, Small, head};
use crate::process::{one_at_a_time, wait_until_settled};
use crate::usage::resident_mib;

/// Memory that the gateway may use: more than the crowds here need, so that none of their connections is closed.
const MEMORY_MB: usize = 512;
/// Growth that no connection causes: pages of the program itself, logs and the allocator's own lists, in MiB.
const OTHER_GROWTH_MIB: f64 = 8.0;

/// What the gateway counts for its clients, in MiB, by its metrics.
async fn counted_mib(small: &Small) -> f64 {
    let url = format!("http://{}/metrics", small.gateway_metrics());
    let text = reqwest::get(url).await.expect("metrics").text().await.expect("metrics");
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with("latchmount_gateway_held_bytes"));
    let bytes = line.and_then(|line| line.rsplit(' ').next()).expect("a value");
    bytes.parse::<f64>().expect("a number") / 1_048_576.0
}

/// A body short of its end, after its head.
fn body(number: usize, split: Split, length: usize) -> Writes {
    let mut bytes = head(&format!("crowd-{number}"), split, length);
    bytes.extend(split.unfinished(&vec![b'x'; length]));
    writes(&bytes)
}

#[rstest]
#[case::nothing(600, |_| Vec::new())]
#[case::heads(600, |number| writes(&unfinished_head(&format!("crowd-{number}"), MAX_HEADER_BYTES)))]
#[case::small_bodies(600, |number| body(number, Split::Whole, 1_000))]
#[case::bodies(200, |number| body(number, Split::Chunks(4_096), 200_000))]
#[case::large_bodies(20, |number| body(number, Split::Whole, 4_000_000))]
#[case::chunks_of_a_byte(60, |number| body(number, Split::Chunks(1), 10_000))]
#[case::extensions(60, |number| body(number, Split::Extended(20), 10_000))]
#[tokio::test(flavor = "multi_thread")]
async fn as_much_is_counted_as_is_held(#[case] clients: usize, #[case] sent: fn(usize) -> Writes) {
    let _turn = one_at_a_time().await;
    let small = Small::start_with(MEMORY_MB, DESCRIPTORS).await;
    let crowd = Crowd::open(small.clients(), clients, sent);
    compare(&small, crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn as_much_is_counted_as_is_held_for_bytes_in_segments_of_their_own() {
    let _turn = one_at_a_time().await;
    let small = Small::start_with(MEMORY_MB, DESCRIPTORS).await;
    let head = |number| head(&format!("crowd-{number}"), Split::Whole, 300);
    let crowd = Crowd::send_bytewise(small.clients(), 100, (Split::Whole, 300), head);
    compare(&small, crowd).await;
}

/// Compares the growth of the process with what it counts, while the crowd stays.
async fn compare(small: &Small, crowd: impl Future<Output = Crowd>) {
    let gateway = small.fleet.gateways[0].id();
    let (resident, counted) = (resident_mib(gateway), counted_mib(small).await);
    let crowd = crowd.await;
    wait_until_settled(gateway).await;
    let held = resident_mib(gateway) - resident;
    let counted = counted_mib(small).await - counted;
    println!("{} connections: {held:.1} MiB held, {counted:.1} counted", crowd.opened());
    assert!(held <= counted + OTHER_GROWTH_MIB, "{held:.1} MiB held, {counted:.1} counted");
}
