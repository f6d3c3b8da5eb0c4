//! What the heads of answers say of their targets, and headers that nothing reads.

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

fn rest(status: u16, values: &[&str]) -> Option<RetryAfter> {
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
fn a_rest_is_read_from_what_a_target_says(
    #[case] values: &[&str],
    #[case] expected: Option<RetryAfter>,
) {
    assert_eq!(rest(503, values), expected);
}

#[test]
fn a_number_beyond_all_time_is_the_longest_rest() {
    let digits = "9".repeat(400);
    let long = rest(503, &[&digits]);
    assert!(matches!(long, Some(RetryAfter::In(rest)) if rest > Duration::from_secs(1 << 40)));
}

#[rstest]
#[case::turned_away(503, true)]
#[case::too_many_requests(429, true)]
#[case::served(200, false)]
#[case::moved(301, false)]
#[case::failed(500, false)]
fn only_who_turns_a_request_away_wants_rest(#[case] status: u16, #[case] wants: bool) {
    assert_eq!(rest(status, &["3"]).is_some(), wants);
}

#[rstest]
#[case::says_so("1", true)]
#[case::says_not("0", false)]
#[case::says_nothing_known("perhaps", false)]
fn a_target_says_that_it_leaves(#[case] value: &str, #[case] leaving: bool) {
    let head = headers(&[("latchmount-leaving", value), ("latchmount-load", "3,1")]);
    let word = NativeDialect::default().target_status(StatusCode::OK, &head);
    assert_eq!(word.draining, leaving);
    let load = TargetLoad { running: 3, waiting: 1, slowdown_percent: None };
    assert_eq!(word.load, Some(load));
}

#[test]
fn a_header_of_the_dialect_that_nothing_reads_is_told_of_once_and_names_are_bounded() {
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
