//! How many requests a gateway that dispatches to a brittle target sends there.

use std::time::Duration;

use latchmount::gateway::dispatch::admission::{Admission, Admitted, Part};
use latchmount::gateway::dispatch::asks::Asks;
use latchmount::gateway::dispatch::ranking::{dispatchers_of, rank};
use rstest::rstest;

/// A target with six places that withstands ten rejections, with one dispatcher.
const PART: Part = Part { slots: 6.0, withstands: 10.0 };

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Sends requests one by one, each long after the one before, until the target counts as full.
fn fill(admission: &mut Admission, from_ms: u64, part: Part) -> u32 {
    (0..100)
        .find(|sent| {
            admission.admit(at(from_ms + u64::from(*sent) * 20), *sent, part) != Admitted::Now
        })
        .unwrap_or(100)
}

#[test]
fn no_more_than_the_places_are_used() {
    assert_eq!(fill(&mut Admission::default(), 0, PART), 6);
}

#[test]
fn few_requests_are_sent_whose_rejection_may_still_be_on_its_way() {
    let mut admission = Admission::default();
    assert_eq!(admission.admit(at(0), 0, PART), Admitted::Now);
    assert_eq!(admission.admit(at(0), 1, PART), Admitted::Now);
    assert_eq!(admission.admit(at(0), 2, PART), Admitted::After(at(10)));
    assert_eq!(admission.admit(at(10), 2, PART), Admitted::Now);
}

#[test]
fn after_a_rejection_no_more_than_the_target_took_is_sent_until_the_limit_rises_again() {
    let mut admission = Admission::default();
    assert_eq!(fill(&mut admission, 0, PART), 6);
    admission.note_rejected(at(130), 3, PART);
    assert_eq!(admission.limit(), Some(3.0));
    // Half of the limit for a while.
    assert_eq!(fill(&mut admission, 150, PART), 1);
    assert_eq!(fill(&mut admission, 600, PART), 3);
    let full = (0..20).map(|round| fill(&mut admission, 2_000 + round * 1_000, PART));
    assert_eq!(full.last(), Some(6));
}

#[test]
fn an_idle_target_that_rejects_a_request_does_not_count_as_full() {
    let mut admission = Admission::default();
    admission.note_rejected(at(0), 0, PART);
    assert_eq!(fill(&mut admission, 20, PART), 6);
}

#[rstest]
#[case::fewer_than_it_withstands(9, false)]
#[case::as_many_as_it_withstands(10, true)]
fn only_as_many_rejections_as_a_target_withstands_explain_its_end(
    #[case] rejections: u64,
    #[case] explained: bool,
) {
    let mut admission = Admission::default();
    (0..rejections).for_each(|number| admission.note_rejected(at(number), 3, PART));
    assert_eq!(admission.explains_end(at(100), 10), explained);
    assert!(!admission.explains_end(at(5_000), 10));
}

#[rstest]
#[case::few_places(6, 10, 1)]
#[case::few_rejections(64, 2, 1)]
#[case::many_of_both(64, 20, 4)]
fn large_targets_have_several_dispatchers(
    #[case] slots: u32,
    #[case] withstands: u32,
    #[case] expected: usize,
) {
    assert_eq!(dispatchers_of(slots, withstands), expected);
}

#[test]
fn without_one_gateway_the_others_keep_their_order() {
    let gateways: Vec<_> = (1..=9).map(|host| ([10, 0, 0, host], 7_000).into()).collect();
    for target in 0..50 {
        let ranked = rank(&gateways, target);
        let left: Vec<_> = gateways.iter().copied().filter(|one| *one != ranked[0]).collect();
        assert_eq!(rank(&left, target), ranked[1..]);
    }
}

#[test]
fn while_all_targets_are_full_two_further_dispatchers_are_asked_for_each_request() {
    let mut asks = Asks::default();
    let mut asked = 0;
    for _ in 0..1_000 {
        asks.note_request();
        asked += (0..8).filter(|_| asks.try_ask_again()).count();
    }
    assert!((2_000..2_100).contains(&asked), "{asked}");
}
