//! What members send gateways, under a part of their link.

use latchmount::group::message::{TargetLoad, loads_interval};
use latchmount::group::pacer::{self, Pacer};
use std::time::Duration;

/// The bytes on a member's link for words about loads, however many gateways there are.
#[test]
fn words_about_loads_leave_most_of_a_members_link_free() {
    const MEMBERS: u32 = 5;
    const LINK_BYTES_PER_S: f64 = 750_000.0;
    for (gateways, targets) in [(8, 22), (62, 97), (80, 97), (340, 790), (300, 3_000)] {
        let loads: Vec<TargetLoad> =
            (0..targets).map(|at| TargetLoad { target: u64::MAX - at, requests: 20 }).collect();
        let bytes = postcard::to_stdvec(&loads).expect("encodes").len() as f64;
        let a_second = 1.0 / loads_interval(gateways, loads.len()).as_secs_f64();
        let to_gateways = f64::from(gateways.div_ceil(MEMBERS)) * bytes * a_second;
        let to_members = f64::from(MEMBERS - 1) * bytes * a_second;
        let part = (to_gateways + to_members) / LINK_BYTES_PER_S;
        assert!(part < 0.25, "{part:.2} of the link with {gateways} gateways, {targets} targets");
    }
}

/// A change of 1,440 routes (22 KB packed) to 20 gateways of one member, and a start of all of them
/// with the list of 3,000 targets (32 KB), over 6 Mbit/s.
#[test]
fn news_reach_all_gateways_of_a_member_in_time_however_large() {
    let documents = Pacer::new(6.0, pacer::PART_FOR_DOCUMENTS);
    assert!(documents.takes(20 * 22_000) < Duration::from_secs(1));
    let wholes = Pacer::new(6.0, pacer::PART_FOR_WHOLES);
    assert!(wholes.takes(68 * 32_000) < Duration::from_secs(8));
}

/// The first gateways after a rest go at once, up to what the burst allows; later ones are paced.
#[tokio::test(start_paused = true)]
async fn gateways_that_start_together_get_the_first_lists_at_once() {
    let burst = Duration::from_millis(300);
    let pacer = Pacer::new(1.0, 0.8).with_burst(burst);
    let began = tokio::time::Instant::now();
    let mut waits = Vec::new();
    for _ in 0..6 {
        let turn = pacer.turn().await;
        waits.push(began.elapsed());
        // 100 ms of the part of the link.
        turn.spend(10_000);
    }
    let expected = [0, 0, 0, 0, 100, 200].map(Duration::from_millis);
    assert_eq!(waits, expected);
}
