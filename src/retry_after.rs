//! `Retry-After`: for how long whoever answers wants nothing more.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// So long, counted from the answer.
    In(Duration),
    /// A date, which says little to a host with another clock, or nothing that can be read.
    Unclear,
}

impl RetryAfter {
    /// The rest that whoever turned a request away asks for; `None` where the answer is no such refusal.
    pub fn of_refusal(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let refusal =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        RetryAfter::of(headers).filter(|_| refusal)
    }

    /// What the headers of an answer say; `None` where they say nothing. Of several times the longest counts: each of them
    /// was asked for.
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let values = headers.get_all(RETRY_AFTER).into_iter();
        let said = values.map(|value| value.to_str().ok().and_then(seconds));
        said.max().map(|longest| longest.map_or(RetryAfter::Unclear, RetryAfter::In))
    }
}

/// A count of seconds, fractions included; `None` for anything else.
fn seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| plain)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
