//! Bodies of answers to clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use http_body::{Body, Frame, SizeHint};

use super::refusal::{Refusal, RetryHints};

/// The answer broke off; the client's connection is cut, so that it never looks complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub(super) struct AnswerAborted;

/// Body of an answer to a client.
pub(super) enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(BoxStream<'static, Result<Bytes, AnswerAborted>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}

/// The answer to a request that is refused or given up on.
pub(super) fn refuse(refusal: Refusal, hints: RetryHints) -> Response<AnswerBody> {
    let text = format!(
        "{{\"error\":{{\"code\":\"{}\",\"not_run\":{}}}}}\n",
        refusal.code(),
        !refusal.may_have_run()
    );
    let mut response = Response::new(AnswerBody::Whole(Some(text.into())));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after(hints)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", wait.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
