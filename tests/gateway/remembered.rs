//! What targets that are listed no more have said of themselves.

use std::time::Duration;

use latchmount::availability::{Availability, Eligibility};
use latchmount::gateway::remembered_reports::RememberedReports;

const SECOND: Duration = Duration::from_secs(1);

fn leaving() -> Availability {
    let mut availability = Availability::default();
    availability.record_shutdown();
    availability
}

#[test]
fn a_start_that_is_listed_again_is_known_to_leave() {
    let mut words = RememberedReports::default();
    let said = leaving().own_report().expect("a word");
    words.keep(SECOND, 7, said);
    assert_eq!(words.take(SECOND, 8), None, "another start says nothing yet");
    let mut again = Availability::default();
    again.set_listed_draining(false);
    again.restore(words.take(SECOND, 7).expect("remembered"));
    assert_eq!(again.eligibility(SECOND), Eligibility::ShuttingDown);
    assert_eq!(Availability::default().own_report(), None);
}

#[test]
fn words_are_bounded_and_the_oldest_gives_way() {
    let mut words = RememberedReports::default();
    let said = leaving().own_report().expect("a word");
    for start in 0..5_000_u32 {
        words.keep(SECOND + Duration::from_millis(start.into()), start.into(), said);
    }
    assert_eq!(words.take(SECOND, 0), None);
    assert!(words.take(SECOND, 4_999).is_some());
    assert_eq!(words.take(SECOND * 1_000, 4_998), None, "it has ended long ago");
}
