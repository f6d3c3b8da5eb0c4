//! In which order gateways turn to members.

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

/// Gateways at the member that has most.
fn most(followed: impl Iterator<Item = SocketAddr>) -> usize {
    let mut shares: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    followed.for_each(|member| *shares.entry(member).or_default() += 1);
    shares.into_values().max().unwrap_or(0)
}

/// The gateways of a lost member turn to all others; where all turned to the same one, it had two
/// parts of three. None has over twice its even part, so that what a member's link must carry has a
/// bound.
#[rstest]
fn no_member_serves_over_twice_its_even_part(
    #[values(60, 87, 295, 372)] gateways: usize,
    #[values(3, 5, 7)] count: u8,
) {
    for fleet in 0..40 {
        let all = members(count, fleet);
        let even = gateways / usize::from(count);
        let at_first = most((0..gateways).map(|gateway| order(gateway, &all).current()));
        assert!(at_first <= 2 * even, "{at_first} of {gateways} at one of {count}");
        for lost in &all {
            let after = (0..gateways).map(|gateway| {
                let mut order = order(gateway, &all);
                if order.current() == *lost {
                    order.select_next();
                }
                order.current()
            });
            let (after, even) = (most(after), gateways / usize::from(count - 1));
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
        assert_ne!(order.current(), current, "it is none any more");
        let current = order.current();
        order.set_members(Vec::new());
        assert_eq!(order.current(), current, "no word of members is no member less");
    }
}

/// Every look waits longer than the one before, up to a bound, and begins anew once it is settled.
#[test]
fn looks_become_seldom_while_none_helps() {
    let mut looks = FailbackBackoff::default();
    let mut pauses = Vec::new();
    for _ in 0..40 {
        pauses.push(looks.delay(0.0));
        looks.note_check();
    }
    assert!(pauses.is_sorted());
    assert_eq!(pauses[..3], [2, 4, 8].map(Duration::from_secs));
    assert_eq!(pauses.last(), Some(&Duration::from_secs(30)));
    looks.reset();
    assert_eq!(looks.delay(1.0), Duration::from_secs(4));
}

proptest! {
    /// Members come in the order of a hash over gateway and member, from the current one round.
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
