//! What targets report about themselves in answer headers, and unknown headers of the dialect.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use latchmount::dialect::{Dialect, NativeDialect, TargetLoad};
use latchmount::gateway::unknown_headers::UnknownHeaders;
use latchmount::retry_after::RetryAfter;
use rstest::rstest;

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let pair = |(name, value): &(&str, &str)| {
        let name: HeaderName = name.parse().expect("a name");
        (name, HeaderValue::from_str(value).expect("a value"))
    };
    pairs.iter().map(pair).collect()
}

fn backoff(status: u16, values: &[&str]) -> Option<RetryAfter> {
    let pairs: Vec<(&str, &str)> = values.iter().map(|value| ("retry-after", *value)).collect();
    let status = StatusCode::from_u16(status).expect("a status");
    NativeDialect::default().target_status(status, &headers(&pairs)).backoff
}

const fn millis(ms: u64) -> Option<RetryAfter> {
    Some(RetryAfter::In(Duration::from_millis(ms)))
}

#[rstest]
#[case::none(&[], None)]
#[case::whole(&["3"], millis(3_000))]
#[case::a_fraction(&["0.25"], millis(250))]
#[case::spaces(&[" 2 "], millis(2_000))]
#[case::zero(&["0"], millis(0))]
#[case::a_week(&["604800"], millis(604_800_000))]
#[case::the_longest_of_several(&["1", "7", "2"], millis(7_000))]
#[case::one_of_several_can_be_read(&["soon", "2"], millis(2_000))]
#[case::a_date(&["Wed, 21 Oct 2026 07:28:00 GMT"], Some(RetryAfter::Unclear))]
#[case::negative(&["-1"], Some(RetryAfter::Unclear))]
#[case::an_exponent(&["1e3"], Some(RetryAfter::Unclear))]
#[case::no_number(&["NaN"], Some(RetryAfter::Unclear))]
#[case::infinite(&["inf"], Some(RetryAfter::Unclear))]
#[case::empty(&[""], Some(RetryAfter::Unclear))]
fn a_backoff_is_read_from_retry_after(
    #[case] values: &[&str],
    #[case] expected: Option<RetryAfter>,
) {
    assert_eq!(backoff(503, values), expected);
}

#[test]
fn a_huge_retry_after_is_a_very_long_backoff() {
    let digits = "9".repeat(400);
    let backoff = backoff(503, &[&digits]);
    assert!(
        matches!(backoff, Some(RetryAfter::In(backoff)) if backoff > Duration::from_secs(1 << 40))
    );
}

#[rstest]
#[case::turned_away(503, true)]
#[case::too_many_requests(429, true)]
#[case::served(200, false)]
#[case::moved(301, false)]
#[case::failed(500, false)]
fn only_answers_that_reject_a_request_ask_for_a_backoff(#[case] status: u16, #[case] wants: bool) {
    assert_eq!(backoff(status, &["3"]).is_some(), wants);
}

#[rstest]
#[case::says_so("1", true)]
#[case::says_not("0", false)]
#[case::says_nothing_known("perhaps", false)]
fn a_target_reports_that_it_is_draining(#[case] value: &str, #[case] draining: bool) {
    let head = headers(&[("latchmount-leaving", value), ("latchmount-load", "3,1")]);
    let status = NativeDialect::default().target_status(StatusCode::OK, &head);
    assert_eq!(status.draining, draining);
    let load = TargetLoad { running: 3, waiting: 1, slowdown_percent: None };
    assert_eq!(status.load, Some(load));
}

#[test]
fn an_unknown_header_of_the_dialect_is_reported_once_and_the_names_are_bounded() {
    let dialect = NativeDialect::default();
    let own = |name: &str| name.parse::<HeaderName>().expect("a name");
    assert!(dialect.headers().is_unknown(&own("latchmount-mood")));
    assert!(!dialect.headers().is_unknown(&own("latchmount-load")));
    assert!(!dialect.headers().is_unknown(&own("content-type")));
    let mut names = UnknownHeaders::default();
    assert_eq!(names.note(&own("latchmount-mood")), (true, "latchmount-mood"));
    assert_eq!(names.note(&own("latchmount-mood")), (false, "latchmount-mood"));
    for number in 0..1_000 {
        names.note(&own(&format!("latchmount-{number}")));
    }
    assert_eq!(names.note(&own("latchmount-last")), (false, "others"));
}
