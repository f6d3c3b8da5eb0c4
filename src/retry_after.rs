//! Parses the `Retry-After` header, with which a server asks for a pause between requests.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

/// Value of `Retry-After` in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// A duration, counted from the receipt of the answer.
    In(Duration),
    /// A date, which is not used because clocks of hosts differ, or a value that is not a number of seconds.
    Unclear,
}

impl RetryAfter {
    /// The back-off requested by an answer with status 503 or 429; `None` for other answers and without the header.
    pub fn of_refusal(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let refusal =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        RetryAfter::of(headers).filter(|_| refusal)
    }

    /// The value of the header; `None` without it. If it occurs several times, the longest duration applies, so that
    /// each of them is respected.
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let values = headers.get_all(RETRY_AFTER).into_iter();
        let parsed = values.map(|value| value.to_str().ok().and_then(parse_seconds));
        parsed.max().map(|longest| longest.map_or(RetryAfter::Unclear, RetryAfter::In))
    }
}

/// Parses a number of seconds with an optional fraction; `None` for anything else.
fn parse_seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    let decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| decimal)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
