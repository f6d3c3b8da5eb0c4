//! The order in which gateways try members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use latchmount::gateway::member_order::{FailbackBackoff, MemberOrder};
use proptest::prelude::*;
use rstest::rstest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn members(count: u8, fleet: u8) -> Vec<SocketAddr> {
    (0..count).map(|at| SocketAddr::from(([10, fleet, at, 26], 7_280))).collect()
}

fn order(gateway: usize, members: &[SocketAddr]) -> MemberOrder {
    MemberOrder::new(&format!("front-{gateway}"), members.to_vec()).expect("members")
}

/// The largest number of gateways at one member.
fn max_followers(followed: impl Iterator<Item = SocketAddr>) -> usize {
    let mut shares: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    followed.for_each(|member| *shares.entry(member).or_default() += 1);
    shares.into_values().max().unwrap_or(0)
}

/// The gateways of a lost member spread over all others. If all of them followed the same one, it would serve two thirds
/// of the gateways. No member serves more than twice its even share, so that the load of its link is bounded.
#[rstest]
fn no_member_serves_over_twice_its_even_share(
    #[values(60, 87, 295, 372)] gateways: usize,
    #[values(3, 5, 7)] count: u8,
) {
    for fleet in 0..40 {
        let all = members(count, fleet);
        let even = gateways / usize::from(count);
        let at_first = max_followers((0..gateways).map(|gateway| order(gateway, &all).current()));
        assert!(at_first <= 2 * even, "{at_first} of {gateways} at one of {count}");
        for lost in &all {
            let after = (0..gateways).map(|gateway| {
                let mut order = order(gateway, &all);
                if order.current() == *lost {
                    order.select_next();
                }
                order.current()
            });
            let (after, even) = (max_followers(after), gateways / usize::from(count - 1));
            assert!(after <= 2 * even, "{after} of {gateways} at one of {count} less one");
        }
    }
}

#[test]
fn a_member_that_comes_back_is_earlier_than_the_one_followed_meanwhile() {
    let all = members(5, 0);
    let mut order = order(1, &all);
    let first = order.current();
    assert_eq!(order.earlier(), []);
    order.select_next();
    order.select_next();
    assert_eq!(order.earlier().len(), 2);
    assert_eq!(order.earlier()[0], first);
    order.select(first);
    assert_eq!(order.from_current()[0], first);
}

#[test]
fn the_member_that_is_followed_stays_the_current_one_while_others_come_and_go() {
    let all = members(5, 0);
    for gateway in 0..50 {
        let mut order = order(gateway, &all[..3]);
        let current = order.current();
        order.set_members(all.clone());
        assert_eq!(order.current(), current);
        let others = all.iter().copied().filter(|member| *member != current);
        order.set_members(others.collect());
        assert_ne!(order.current(), current, "a removed member is not followed");
        let current = order.current();
        order.set_members(Vec::new());
        assert_eq!(order.current(), current, "an empty list of members is ignored");
    }
}

/// Each check waits longer than the one before, up to a bound. The delays start anew after a reset.
#[test]
fn failback_checks_become_rarer_while_none_succeeds() {
    let mut backoff = FailbackBackoff::default();
    let mut delays = Vec::new();
    for _ in 0..40 {
        delays.push(backoff.delay(0.0));
        backoff.note_check();
    }
    assert!(delays.is_sorted());
    assert_eq!(delays[..3], [2, 4, 8].map(Duration::from_secs));
    assert_eq!(delays.last(), Some(&Duration::from_secs(30)));
    backoff.reset();
    assert_eq!(backoff.delay(1.0), Duration::from_secs(4));
}

proptest! {
    /// Members are sorted by a hash over gateway and member, rotated to start with the current one.
    #[test]
    fn the_order_is_that_of_a_naive_version(
        gateway in "[a-z0-9-]{1,12}",
        count in 1..9_u8,
        turns in 0..12_usize,
    ) {
        let all = members(count, 3);
        let mut order = MemberOrder::new(&gateway, all.clone()).expect("members");
        let seed = xxh3_64_with_seed(gateway.as_bytes(), 0);
        let mut naive = all;
        naive.sort_by_key(|member| xxh3_64_with_seed(member.to_string().as_bytes(), seed));
        for _ in 0..turns {
            prop_assert_eq!(order.current(), naive[0]);
            order.select_next();
            naive.rotate_left(1);
        }
        prop_assert_eq!(order.from_current(), naive);
    }
}
