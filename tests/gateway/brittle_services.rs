//! Which services a gateway takes for brittle.

use std::time::Duration;

use latchmount::gateway::brittle_services::BrittleServices;
use latchmount::group::brittle::{BrittleService, ServiceKey};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceKey {
    ServiceKey::of("s")
}

fn told(withstands: u32) -> [BrittleService; 1] {
    [BrittleService { service: service(), withstands }]
}

/// Services of which a target stated at 0 ms that it withstands five rejections.
fn stated() -> BrittleServices {
    let mut services = BrittleServices::default();
    services.note_answer(at(0), service(), Some(5));
    services
}

#[test]
fn what_a_target_states_holds_for_its_service() {
    assert_eq!(stated().withstands(at(10), service()), Some(5));
    assert_eq!(stated().withstands(at(10), ServiceKey::of("t")), None);
}

#[test]
fn an_answer_that_states_nothing_ends_it_unless_it_may_have_been_begun_before() {
    let mut services = stated();
    services.note_answer(at(400), service(), None);
    assert_eq!(services.withstands(at(400), service()), Some(5));
    services.note_answer(at(600), service(), None);
    assert_eq!(services.withstands(at(600), service()), None);
}

#[test]
fn answers_that_state_nothing_do_not_refute_the_word_of_members() {
    let mut services = stated();
    services.note_update(at(100), Some(&told(7)));
    services.note_answer(at(2_000), service(), None);
    assert_eq!(services.withstands(at(2_000), service()), Some(7));
    services.note_update(at(2_100), None);
    assert_eq!(services.withstands(at(2_100), service()), Some(7));
    services.note_update(at(2_200), Some(&[]));
    assert_eq!(services.withstands(at(2_200), service()), None);
}

#[test]
fn the_word_of_members_does_not_count_long_after_their_last_update() {
    let mut services = BrittleServices::default();
    services.note_update(at(0), Some(&told(7)));
    services.note_update(at(5_000), None);
    assert_eq!(services.withstands(at(14_000), service()), Some(7));
    assert_eq!(services.withstands(at(16_000), service()), None);
}

#[test]
fn the_word_of_members_counts_where_no_answer_stated_anything() {
    let mut services = BrittleServices::default();
    services.note_update(at(0), Some(&told(7)));
    assert_eq!(services.withstands(at(0), service()), Some(7));
    services.note_answer(at(10), service(), Some(5));
    assert_eq!(services.withstands(at(10), service()), Some(5));
    services.note_update(at(15), Some(&[]));
    assert_eq!(services.withstands(at(20), service()), Some(5));
}

#[test]
fn without_answers_only_the_word_of_members_counts_after_a_while() {
    let mut services = stated();
    assert_eq!(services.withstands(at(29_000), service()), Some(5));
    assert_eq!(services.withstands(at(31_000), service()), None);
    services.note_update(at(31_000), Some(&told(7)));
    assert_eq!(services.withstands(at(31_000), service()), Some(7));
}

#[test]
fn only_what_was_stated_lately_is_reported() {
    let services = stated();
    assert_eq!(services.reports(at(500)), told(5));
    assert_eq!(services.reports(at(2_000)), []);
}
