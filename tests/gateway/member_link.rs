//! Shares of a member's link for what it sends to gateways and other members, and the pace of it.

use latchmount::group::loads::{
    LoadKey, Loads, TargetLoad, loads_interval, member_loads_interval, own_loads_interval,
};
use latchmount::group::pacer::{self, Pacer};
use proptest::collection::hash_map;
use proptest::prelude::*;
use std::time::Duration;

/// The load messages take less than a quarter of a member's link, however many gateways there are.
#[test]
fn words_about_loads_leave_most_of_a_members_link_free() {
    const MEMBERS: u32 = 5;
    const LINK_BYTES_PER_S: f64 = 750_000.0;
    for (gateways, targets) in [(8, 22), (62, 97), (80, 97), (295, 153), (340, 790), (300, 3_000)] {
        let hash = |at: u64| xxhash_rust::xxh3::xxh3_64(&at.to_le_bytes());
        let load = |at| TargetLoad { target: LoadKey::of(hash(at)), requests: 20 };
        let loads: Loads = (0..targets).map(load).collect();
        let bytes = postcard::to_stdvec(&loads).expect("encodes").len() as f64;
        let per_second = 1.0 / loads_interval(gateways, loads.len()).as_secs_f64();
        let to_gateways = f64::from(gateways.div_ceil(MEMBERS)) * bytes * per_second;
        let interval = member_loads_interval(gateways, loads.len());
        let to_members = f64::from(MEMBERS - 1) * bytes / interval.as_secs_f64();
        let share = (to_gateways + to_members) / LINK_BYTES_PER_S;
        assert!(share < 0.25, "{share:.2} of the link with {gateways} gateways, {targets} targets");
    }
}

/// The rest of the link is for Raft, and for calls of operators and targets.
#[test]
fn parts_of_a_members_link_add_up_to_less_than_the_link() {
    const LOADS_SHARE: f64 = 0.25;
    let shares = pacer::SMALL_BLOBS_SHARE + pacer::LARGE_BLOBS_SHARE + LOADS_SHARE;
    assert!(shares <= 0.8, "{shares:.2} of the link");
}

/// After an idle time the first lists go out at once, as far as the burst allows. Later ones are paced.
#[tokio::test(start_paused = true)]
async fn gateways_that_start_together_get_the_first_lists_at_once() {
    let burst = Duration::from_millis(300);
    let pacer = Pacer::new(1.0, 0.8).with_burst(burst);
    let began = tokio::time::Instant::now();
    let mut waits = Vec::new();
    for _ in 0..6 {
        let turn = pacer.turn().await;
        waits.push(began.elapsed());
        // Takes 100 ms at the rate of the pacer.
        turn.spend(10_000);
    }
    let expected = [0, 0, 0, 0, 100, 200].map(Duration::from_millis);
    assert_eq!(waits, expected);
}

/// The loads that a gateway knows are at most as old as three intervals together: of reports of a gateway to its member,
/// of a member to the others, and of a member to its gateways. Most requests take less than a second.
#[test]
fn loads_are_known_within_a_second_with_hundreds_of_gateways() {
    for (gateways, targets) in [(8, 22), (87, 40), (295, 153), (372, 193)] {
        let max_age = own_loads_interval(gateways)
            + member_loads_interval(gateways, targets)
            + loads_interval(gateways, targets);
        assert!(max_age < Duration::from_millis(1_000), "{max_age:?} with {gateways} gateways");
    }
}

proptest! {
    /// Loads decode as they were encoded, whatever the targets.
    #[test]
    fn loads_travel_unchanged(sent in hash_map(any::<u64>(), 1..1_000_u32, 0..300)) {
        let load = |(hash, requests)| TargetLoad { target: LoadKey::of(hash), requests };
        let loads: Loads = sent.into_iter().map(load).collect();
        let bytes = postcard::to_stdvec(&loads).expect("encodes");
        prop_assert_eq!(postcard::from_bytes::<Loads>(&bytes).expect("decodes"), loads);
    }
}
