//! Refusals, forwarded headers and connection reuse of a single request.

use http::{HeaderMap, HeaderValue};
use latchmount::dialect::{Dialect, NativeDialect};
use latchmount::gateway::outgoing::forwarded_headers;
use latchmount::gateway::refusal::{Refusal, RetryHints};
use latchmount::gateway::reuse::Reuse;
use rstest::rstest;
use std::time::Duration;

#[test]
fn a_refusal_that_promises_that_nothing_ran_is_never_given_when_something_may_have() {
    for refusal in Refusal::ALL {
        let status = refusal.status().as_u16();
        let promises = matches!(status, 408 | 421 | 429 | 503);
        assert!(!(promises && refusal.may_have_run()), "{refusal:?}");
        let wait = refusal.retry_after(RetryHints::default());
        assert_eq!(wait.is_some(), status == 503, "{refusal:?}");
    }
}

#[test]
fn no_header_that_only_gateways_set_comes_from_a_client() {
    let dialect = NativeDialect::default();
    let names = dialect.headers();
    let mut client = HeaderMap::new();
    for name in names.gateway_only() {
        client.append(name.clone(), HeaderValue::from_static("forged"));
        client.append(name.clone(), HeaderValue::from_static("forged again"));
    }
    client.insert("x-hop", HeaderValue::from_static("dropped"));
    client.insert("connection", HeaderValue::from_static("X-Hop"));
    client.insert(names.prompt.clone(), HeaderValue::from_static("a:1,b:2"));
    client.insert("x-other", HeaderValue::from_static("kept"));
    let forwarded = forwarded_headers(&client, names);
    let forwarded: Vec<&str> = forwarded.keys().map(|name| name.as_str()).collect();
    assert_eq!(forwarded, ["latchmount-prompt", "x-other"]);
}

#[rstest]
#[case::just_used(0, true)]
#[case::used_a_second_ago(1_000, true)]
#[case::used_long_ago(3_000, false)]
fn requests_that_may_run_once_use_connections_that_were_used_lately(
    #[case] idle_ms: u64,
    #[case] allowed: bool,
) {
    let idle_for = Duration::from_millis(idle_ms);
    assert_eq!(Reuse::RecentlyUsed.allows(idle_for), allowed);
    assert!(Reuse::Any.allows(idle_for));
}

#[test]
fn callers_of_a_gateway_that_has_waited_long_for_its_configuration_retry_later() {
    let up_for = |up_ms| RetryHints { uptime: Duration::from_millis(up_ms), backoff_left: None };
    let wait = |up_ms| Refusal::NoConfiguration.retry_after(up_for(up_ms));
    let expected = |ms| Some(Duration::from_millis(ms));
    assert_eq!([wait(0), wait(500), wait(60_000)], [expected(200), expected(500), expected(1_000)]);
}
