//! What makes two tries the same request.

use latchmount::poison::{Fingerprint, Identity, InvalidFingerprint};
use proptest::prelude::*;

fn identity<'a>(
    team: Option<&'a str>,
    host: &'a str,
    path: &'a str,
    body: &'a str,
) -> Identity<'a> {
    Identity { team, host, path, body: body.as_bytes() }
}

/// No part may pass for a piece of another: a caller could have another team's request blocked.
#[test]
fn parts_that_run_together_to_the_same_text_are_different_requests() {
    let requests = [
        identity(Some("a"), "h", "/p", "body"),
        identity(Some("ah"), "", "/p", "body"),
        identity(Some("a"), "h/", "p", "body"),
        identity(Some("a"), "h", "/pb", "ody"),
        identity(None, "ah", "/p", "body"),
        identity(Some(""), "ah", "/p", "body"),
    ];
    for (at, one) in requests.iter().enumerate() {
        for other in &requests[at + 1..] {
            assert_ne!(one.fingerprint(), other.fingerprint(), "{one:?} {other:?}");
            assert_ne!(one.quick_hash(), other.quick_hash(), "{one:?} {other:?}");
        }
    }
}

#[test]
fn bodies_of_one_length_share_an_outline_and_no_fingerprint() {
    let one = identity(Some("a"), "h", "/p", "body-1");
    let other = identity(Some("a"), "h", "/p", "body-2");
    assert_eq!(one.quick_hash(), other.quick_hash());
    assert_ne!(one.fingerprint(), other.fingerprint());
}

proptest! {
    #[test]
    fn a_fingerprint_is_read_back_as_it_is_written(body in ".{0,200}", path in "/[a-z]{0,9}") {
        let fingerprint = identity(Some("a"), "h", &path, &body).fingerprint();
        prop_assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    }

    #[test]
    fn any_other_text_is_refused(text in ".{0,40}") {
        let digits = text.len() == 32 && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        let read = text.parse::<Fingerprint>();
        prop_assert_eq!(read.is_ok(), digits);
        prop_assert!(digits || read == Err(InvalidFingerprint));
    }
}
