//! Crowds at a control member of the older mode.

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::json;

use crate::client::{Crowd, Split};
use crate::fleet::MEMORY_MB;
use crate::process::{Bounds, one_at_a_time, wait_until_settled};
use crate::support::{Fleet, FleetOptions, eventually, template};

/// Descriptors that the member may use.
const DESCRIPTORS: usize = 4_096;

async fn start() -> Fleet {
    let control = json!({ "memory_mb": MEMORY_MB });
    let options = FleetOptions { routers: 1, engines: 1, control, ..FleetOptions::default() };
    Fleet::start(options).await
}

/// The member's own address: the link in front of it is part of the test.
fn addr(fleet: &Fleet) -> SocketAddr {
    let settings = std::fs::read_to_string(&fleet.controls[0].settings).expect("settings");
    let settings: serde_json::Value = serde_json::from_str(&settings).expect("JSON");
    settings["control"]["listen"].as_str().expect("an address").parse().expect("an address")
}

/// An ordinary change is accepted, and the bounds hold.
async fn check(fleet: &Fleet) {
    wait_until_settled(fleet.controls[0].id()).await;
    let file = fleet.template_file(&template());
    eventually("an ordinary change is accepted", async || {
        let submitted = fleet.operator(&["template", "submit", "--change-id", "1", &file]);
        submitted.status.success().then_some(())
    })
    .await;
    let bounds = Bounds { memory_mib: MEMORY_MB as f64, descriptors: DESCRIPTORS };
    bounds.check(fleet.controls[0].id());
}

#[rstest]
#[case::whole(Split::Whole)]
#[case::in_large_chunks(Split::Chunks(16_384))]
#[tokio::test(flavor = "multi_thread")]
async fn calls_left_open_short_of_their_end(#[case] split: Split) {
    const CLIENTS: usize = 12;
    const BYTES: usize = 16 * 1_024 * 1_024;
    let _turn = one_at_a_time().await;
    let fleet = start().await;
    let mut call = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"".to_vec();
    call.resize(BYTES, b'x');
    let head = |_| {
        let head = format!(
            "POST / HTTP/1.1\r\nhost: member\r\ncontent-type: application/json\r\n{}\r\n",
            split.header(BYTES)
        );
        head.into_bytes()
    };
    let crowd = Crowd::leave_bodies_open(addr(&fleet), CLIENTS, (split, &call), head).await;
    check(&fleet).await;
    drop(crowd);
}
