//! Builds side by side: what one wrote or said, the other reads.

use std::path::PathBuf;

use rstest::rstest;

use crate::doors::configuration;
use crate::harness::{Fleet, call, eventually};

/// A disk that a member of another build left, with the configuration that it had acknowledged last.
fn disk(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/disks").join(name)
}

// Disks written by builds of each format; the configuration has version 3.
#[rstest]
#[case::format_3("format-3")]
#[case::format_3_with_a_snapshot("format-3-snapshot")]
#[case::format_5("format-5")]
#[case::format_5_with_a_snapshot("format-5-snapshot")]
#[tokio::test]
async fn what_an_earlier_build_acknowledged_is_served_by_this_one(#[case] name: &str) {
    let acknowledged = std::fs::read_to_string(disk(name).join("config.json")).expect("a disk");
    let mut fleet = Fleet::prepare(1, 1);
    fleet.members[0].lay_disk(&disk(name));
    fleet.members[0].start();
    fleet.gateways[0].start();
    let read = eventually("the configuration is read back", async || {
        assert!(!fleet.members[0].died(), "the member ended: {}", fleet.members[0].log());
        let answer = call(fleet.door(0), "GET", "/config", "").await?;
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(read.await.body, acknowledged);
    fleet.in_force(0, 3).await;
    fleet.configure(&configuration(4)).await;
}
