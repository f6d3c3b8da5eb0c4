//! Crowds at a router of the older mode.

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::json;

use crate::client::{Crowd, Split};
use crate::fleet::MEMORY_MB;
use crate::process::{Bounds, one_at_a_time, wait_until_settled};
use crate::support::{Fleet, FleetOptions, eventually};

/// Largest body that a client may send, in KiB; the default of the setting.
const MAX_BODY_KIB: usize = 1_024;
/// Descriptors that the router may use.
const DESCRIPTORS: usize = 4_096;

/// Starts one router with an engine and a service.
async fn start() -> Fleet {
    let router = json!({ "memory_mb": MEMORY_MB });
    let options = FleetOptions { routers: 1, engines: 1, router, ..FleetOptions::default() };
    Fleet::start_configured(options).await
}

fn addr(fleet: &Fleet) -> SocketAddr {
    let url = fleet.router_url(0);
    url.trim_start_matches("http://").parse().expect("an address")
}

/// An ordinary request is answered, and the bounds hold.
async fn check(fleet: &Fleet) {
    wait_until_settled(fleet.routers[0].id()).await;
    eventually("an ordinary request is answered", async || {
        let answer = fleet.call(0, "ordinary", &[]).await.ok()?;
        (answer.status() == 200).then_some(())
    })
    .await;
    let bounds = Bounds { memory_mib: MEMORY_MB as f64, descriptors: DESCRIPTORS };
    bounds.check(fleet.routers[0].id());
}

#[rstest]
#[case::whole(100, Split::Whole, MAX_BODY_KIB * 1_024)]
#[case::in_large_chunks(100, Split::Chunks(16_384), MAX_BODY_KIB * 1_024)]
#[case::in_chunks_of_a_byte(100, Split::Chunks(1), 40_000)]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_left_open_short_of_their_end(
    #[case] clients: usize,
    #[case] split: Split,
    #[case] length: usize,
) {
    let _turn = one_at_a_time().await;
    let fleet = start().await;
    let head = |number| {
        let head = format!(
            "POST /services/porting/status/{number} HTTP/1.1\r\nhost: router\r\n\
             latchmount-team: agents\r\n{}\r\n",
            split.header(length)
        );
        head.into_bytes()
    };
    let body = vec![b'x'; length];
    let crowd = Crowd::leave_bodies_open(addr(&fleet), clients, (split, &body), head).await;
    check(&fleet).await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_left_open_short_of_their_end() {
    const CLIENTS: usize = 1_500;
    const HEAD_BYTES: usize = 16 * 1_024;
    let _turn = one_at_a_time().await;
    let fleet = start().await;
    let crowd = Crowd::leave_heads_open(addr(&fleet), CLIENTS, HEAD_BYTES).await;
    check(&fleet).await;
    drop(crowd);
}
