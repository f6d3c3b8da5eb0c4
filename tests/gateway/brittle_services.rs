//! Which services a gateway takes for brittle.

use std::time::Duration;

use latchmount::gateway::brittle_services::BrittleServices;
use latchmount::group::brittle::{BrittleService, ServiceKey};

/// Keys of two targets of the service.
const BRITTLE: u64 = 1;
const OTHER: u64 = 2;

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
    services.note_answer(at(0), service(), BRITTLE, Some(5));
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
    services.note_answer(at(400), service(), BRITTLE, None);
    assert_eq!(services.withstands(at(400), service()), Some(5));
    services.note_answer(at(600), service(), BRITTLE, None);
    assert_eq!(services.withstands(at(600), service()), None);
}

#[test]
fn targets_that_were_never_brittle_do_not_end_the_brittleness_of_others() {
    let mut services = stated();
    services.note_answer(at(2_000), service(), OTHER, None);
    assert_eq!(services.withstands(at(2_000), service()), Some(5));
}

#[test]
fn the_word_of_members_counts_where_no_answer_stated_anything() {
    let mut services = BrittleServices::default();
    services.note_told(&told(7));
    assert_eq!(services.withstands(at(0), service()), Some(7));
    services.note_answer(at(10), service(), BRITTLE, Some(5));
    assert_eq!(services.withstands(at(10), service()), Some(5));
    services.note_told(&[]);
    assert_eq!(services.withstands(at(20), service()), Some(5));
}

#[test]
fn without_answers_only_the_word_of_members_counts_after_a_while() {
    let mut services = stated();
    assert_eq!(services.withstands(at(29_000), service()), Some(5));
    assert_eq!(services.withstands(at(31_000), service()), None);
    services.note_told(&told(7));
    assert_eq!(services.withstands(at(31_000), service()), Some(7));
}

#[test]
fn only_what_was_stated_lately_is_reported() {
    let services = stated();
    assert_eq!(services.reports(at(500)), told(5));
    assert_eq!(services.reports(at(2_000)), []);
}
