//! Reports of targets about themselves that are kept while the target is not listed.

use std::time::Duration;

use latchmount::availability::{Availability, Eligibility};
use latchmount::gateway::remembered_reports::RememberedReports;

const SECOND: Duration = Duration::from_secs(1);

fn draining() -> Availability {
    let mut availability = Availability::default();
    availability.record_shutdown();
    availability
}

#[test]
fn an_incarnation_that_is_listed_again_is_still_known_to_shut_down() {
    let mut reports = RememberedReports::default();
    let report = draining().own_report().expect("a report");
    reports.keep(SECOND, 7, report);
    assert_eq!(reports.take(SECOND, 8), None, "there is no report of another incarnation");
    let mut again = Availability::default();
    again.restore(reports.take(SECOND, 7).expect("remembered"));
    assert_eq!(again.eligibility(SECOND), Eligibility::ShuttingDown);
    assert_eq!(Availability::default().own_report(), None);
}

#[test]
fn reports_are_bounded_and_the_oldest_is_dropped() {
    let mut reports = RememberedReports::default();
    let report = draining().own_report().expect("a report");
    for incarnation in 0..5_000_u32 {
        reports.keep(
            SECOND + Duration::from_millis(incarnation.into()),
            incarnation.into(),
            report,
        );
    }
    assert_eq!(reports.take(SECOND, 0), None);
    assert!(reports.take(SECOND, 4_999).is_some());
    assert_eq!(reports.take(SECOND * 1_000, 4_998), None, "it expired long ago");
}
