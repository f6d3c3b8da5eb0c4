//! Error answers of the router itself, for requests that it refuses or gives up on.

use std::time::Duration;

use salvo::Response;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::http::{ResBody, StatusCode};
use serde::Serialize;

use crate::reason::{Outcome, Reason};

/// JSON body of a refusal; everything is below `error`, as OpenAI clients expect.
#[derive(Debug, Serialize)]
pub(super) struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Serialize)]
struct ErrorDetail {
    /// Stable reason code.
    code: Reason,
    /// `not_run`, `ran` or `unknown`.
    outcome: Outcome,
    /// Whether it is certain that no target ran the request.
    not_run: bool,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// A refusal: its reason and the message for the client.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) reason: Reason,
    message: String,
    /// Time after which a retry can succeed; `None` where none is expected to.
    retry_after: Option<Duration>,
}

impl Refusal {
    pub(super) fn new(reason: Reason, message: impl Into<String>) -> Self {
        Refusal { reason, message: message.into(), retry_after: reason.retry_after() }
    }

    /// A refusal whose message is the reason's standard explanation.
    pub(super) fn from_reason(reason: Reason) -> Self {
        Refusal::new(reason, reason.explain())
    }

    /// Replaces the reason's default `Retry-After` by `wait` where that is known.
    pub(super) fn with_retry_after(self, wait: Option<Duration>) -> Self {
        Refusal { retry_after: wait.or(self.retry_after), ..self }
    }

    /// `Retry-After` in whole seconds, rounded up.
    fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_secs_f64().ceil() as u64)
    }

    /// Body of an HTTP answer or of an error event in a stream.
    pub(super) fn body(&self) -> ErrorBody {
        let outcome = self.reason.outcome();
        ErrorBody {
            error: ErrorDetail {
                code: self.reason,
                outcome,
                not_run: outcome == Outcome::NotRun,
                message: self.message.clone(),
                retry_after_s: self.retry_after_s(),
            },
        }
    }

    /// Writes status, headers and body; the body is sent as one piece.
    pub(super) fn write(&self, res: &mut Response) {
        let status = StatusCode::from_u16(self.reason.status());
        res.status_code(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
        if let Some(after) = self.retry_after_s() {
            res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(after));
        }
        let json = HeaderValue::from_static("application/json");
        res.headers_mut().insert(CONTENT_TYPE, json);
        let body = serde_json::to_vec(&self.body()).unwrap_or_default();
        res.body(ResBody::Once(body.into()));
    }
}
