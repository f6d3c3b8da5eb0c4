//! Response bodies for clients, and the responses to requests that are refused or given up on.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use http_body::{Body, Frame, SizeHint};

use super::refusal::{Refusal, RetryHints};

/// The answer can't be completed. As an error of the body it makes hyper close the client's connection, so that the
/// answer never looks complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer aborted before its end")]
pub(super) struct AnswerAborted;

/// Body of a response to a client.
pub(super) enum AnswerBody {
    /// The complete body; `None` once it is sent, or if it is empty.
    Buffered(Option<Bytes>),
    /// Chunks as they arrive from the target.
    Streamed(BoxStream<'static, Result<Bytes, AnswerAborted>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            AnswerBody::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Streamed(chunks) => chunks
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// The response to a request that is refused or given up on.
pub(super) fn refuse(refusal: Refusal, hints: RetryHints) -> Response<AnswerBody> {
    let text = format!(
        "{{\"error\":{{\"code\":\"{}\",\"not_run\":{}}}}}\n",
        refusal.code(),
        !refusal.may_have_run()
    );
    let mut response = Response::new(AnswerBody::Buffered(Some(text.into())));
    *response.status_mut() = refusal.status();
    response.extensions_mut().insert(refusal);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after(hints)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", wait.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
