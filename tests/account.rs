//! `account`: counts from log lines how requests ended, by reason, route and second.

use latchmount::account::{Account, End};

fn line(at_ms: u64, fields: &str) -> String {
    format!("level=INFO msg=x role=gateway host=h at_ms={at_ms} {fields}\n")
}

fn account(log: &str) -> Account {
    let mut account = Account::default();
    account.read(log.as_bytes()).expect("a log in memory");
    account
}

fn requests(account: &Account, event: &str, reason: &str, route: &str) -> Vec<(Option<u64>, u64)> {
    let end = End { event: event.into(), reason: reason.into(), route: route.into() };
    let rows = account.rows().into_iter().filter(|row| row.end == end);
    rows.map(|row| (row.second, row.requests)).collect()
}

#[test]
fn requests_are_counted_by_reason_route_and_second() {
    let log = [
        line(5_000, "event=gateway_started"),
        line(5_100, "event=answered status=200 route=a stands_for=7"),
        line(5_200, "event=attempt outcome=answer_lost route=a"),
        line(5_300, "event=given_up reason=answer_lost route=a"),
        line(7_900, "event=given_up reason=answer_lost route=a"),
        line(6_000, "event=refused reason=no_configuration path=/p/q/r"),
        line(6_100, "event=stream_cut reason=deadline route=b"),
        line(6_200, "event=client_left id=r-1"),
    ]
    .concat();
    let account = account(&log);
    assert_eq!(account.requests(), 12);
    assert_eq!(requests(&account, "answered", "200", "a"), [(Some(0), 7)]);
    assert_eq!(requests(&account, "given_up", "answer_lost", "a"), [(Some(0), 1), (Some(2), 1)]);
    assert_eq!(requests(&account, "refused", "no_configuration", "/p"), [(Some(1), 1)]);
    assert_eq!(requests(&account, "stream_cut", "deadline", "b"), [(Some(1), 1)]);
    assert_eq!(requests(&account, "client_left", "client_left", ""), [(Some(1), 1)]);
    let text = account.to_string();
    assert!(text.starts_with("12 requests, 8 lines, 0 of them not ours"), "{text}");
    assert!(text.contains("        2  16.667 %  given_up answer_lost"), "{text}");
    assert!(text.contains("second 1: 3 not answered"), "{text}");
    let json: serde_json::Value =
        serde_json::from_str(&account.to_json().expect("JSON")).expect("JSON");
    assert_eq!(json["requests"], 12);
}

#[test]
fn foreign_and_truncated_lines_are_counted_and_never_fatal() {
    let mut log = line(1, "event=answered status=200 route=a").into_bytes();
    log.extend(b"somebody else's words\n\xff\xfe\x00\n\nlevel=INFO at_ms=2 event=answered rea");
    let mut account = Account::default();
    account.read(log.as_slice()).expect("a log in memory");
    assert_eq!((account.requests(), account.unparsed()), (1, 3));
}

/// The number of rows is bounded however many seconds and routes a log covers, and every request is still counted.
#[test]
fn rows_are_bounded() {
    let mut account = Account::default();
    for at in 0..120_000_u64 {
        account.add_line(&line(at * 1_000, "event=given_up reason=deadline route=a"));
    }
    for at in 0..20_000 {
        account.add_line(&line(1, &format!("event=refused reason=no_route path=/p{at}/x")));
    }
    assert_eq!(account.requests(), 140_000);
    assert!(account.rows().len() <= 60_000);
}
