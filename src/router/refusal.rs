//! Final answers of the router itself: refusals and requests given up on.

use std::time::Duration;

use salvo::Response;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::http::{ResBody, StatusCode};
use serde::Serialize;

use crate::reason::{Outcome, Reason};

/// Body of a refusal, under `error` as OpenAI clients expect.
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
    /// Whether it truly did not run.
    not_run: bool,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// A refusal: a reason and what to tell the caller.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) reason: Reason,
    message: String,
    /// When trying again makes sense.
    retry_after: Option<Duration>,
}

impl Refusal {
    pub(super) fn new(reason: Reason, message: impl Into<String>) -> Self {
        Refusal { reason, message: message.into(), retry_after: reason.retry_after() }
    }

    /// A refusal whose reason says it all.
    pub(super) fn from_reason(reason: Reason) -> Self {
        Refusal::new(reason, reason.explain())
    }

    /// The same where it is known when trying again makes sense.
    pub(super) fn with_retry_after(self, wait: Option<Duration>) -> Self {
        Refusal { retry_after: wait.or(self.retry_after), ..self }
    }

    /// Whole seconds until trying again makes sense, if it does.
    fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_secs_f64().ceil() as u64)
    }

    /// Body for an answer or an error event.
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

    /// Writes the answer, at once.
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
