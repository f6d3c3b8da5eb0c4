//! Relays a target's answer to the client: complete, or ended by an explicit error.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use reqwest::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use salvo::Response;
use salvo::http::ResBody;
use salvo::hyper::body::Bytes;
use slog::warn;

use super::Shared;
use super::admission::{AdmittedRequest, Kind};
use super::answer_cache::{MAX_ANSWER_BYTES, StoredAnswer};
use super::forward::{ATTEMPT, StartedAnswer};
use super::http::InFlightGuard;
use super::refusal::Refusal;
use super::slot::Slot;
use crate::claims::RequestKey;
use crate::reason::Reason;

/// Bytes that end one server-sent event.
const EVENT_END: &[u8] = b"\n\n";
/// Last event of a complete chat completion.
const DONE: &[u8] = b"data: [DONE]";
/// Maximum number of attempts to resume a broken stream.
const MAX_RESUMES: u32 = 3;
/// Pause before each attempt to resume a broken stream.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Pause between sending the error event of a broken stream and cutting the connection, so that the event gets out.
const ERROR_EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Time within which a target must begin to answer a request to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time between two chunks of a stream; after it the stream counts as broken.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of the request that cancels an attempt at its target.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer that is being relayed from a target to a client.
pub(super) struct Relay {
    shared: Arc<Shared>,
    answer: reqwest::Response,
    attempt: String,
    slot: Slot,
    kind: Kind,
    /// When an answer that is not a stream must be complete; time since the router's start.
    deadline: Duration,
    /// Bytes received that are not a complete event yet.
    pending: Vec<u8>,
    /// Number of events sent to the client: the position from which a broken stream is resumed.
    events_sent: u64,
    /// Attempts made to resume the stream; `MAX_RESUMES + 1` once it was given up on.
    resumes: u32,
    /// Whether nothing more is expected from the target.
    done: bool,
    /// Request key of a claimed request, whose complete answer is stored.
    key: Option<RequestKey>,
    /// Events of a claimed request sent so far, to be stored once complete; not extended any more once it is larger
    /// than [`MAX_ANSWER_BYTES`], since it is then not stored.
    collected: Vec<u8>,
    _in_flight: InFlightGuard,
}

/// Error of the response body after a broken stream: cuts the client's connection, so that the answer does not look
/// complete.
#[derive(Debug, thiserror::Error)]
#[error("the target's answer broke off")]
struct BrokenOff;

/// Sets the body of `res`: a chat's event stream is relayed event by event, any other answer once it is complete.
pub(super) async fn relay_body(mut relay: Relay, res: &mut Response) -> Result<(), Refusal> {
    match relay.kind {
        Kind::ChatStream if relay.is_event_stream() => {
            let events = stream::unfold(Some(relay), |relay| async {
                let mut relay = relay?;
                match relay.next_events().await {
                    Ok(Some(events)) => Some((Ok(events), Some(relay))),
                    Ok(None) => None,
                    Err(StreamError(Some(event))) => {
                        relay.done = true;
                        relay.pending.clear();
                        Some((Ok(event), Some(relay)))
                    }
                    Err(StreamError(None)) => {
                        // Gives the error event time to be sent before the connection is cut.
                        tokio::time::sleep(ERROR_EVENT_PAUSE).await;
                        Some((Err(BrokenOff), None))
                    }
                }
            });
            res.stream(events);
            Ok(())
        }
        _ => {
            let body = relay.whole_body().await?;
            res.body(ResBody::Once(body));
            Ok(())
        }
    }
}

/// A stream that can't be resumed, with the error event to send to the client; `None` once that event was sent, when
/// the connection is to be cut.
struct StreamError(Option<Bytes>);

impl Relay {
    pub(super) fn new(
        shared: Arc<Shared>,
        started: StartedAnswer,
        request: &AdmittedRequest,
        key: Option<RequestKey>,
        in_flight: InFlightGuard,
    ) -> Self {
        Relay {
            shared,
            answer: started.answer,
            attempt: started.attempt,
            slot: started.slot,
            kind: request.kind.clone(),
            deadline: request.deadline,
            pending: Vec::new(),
            events_sent: 0,
            resumes: 0,
            done: false,
            key,
            collected: Vec::new(),
            _in_flight: in_flight,
        }
    }

    pub(super) fn status(&self) -> u16 {
        self.answer.status().as_u16()
    }

    pub(super) fn headers(&self) -> HeaderMap {
        self.answer.headers().clone()
    }

    fn is_event_stream(&self) -> bool {
        let content_type = self.answer.headers().get(CONTENT_TYPE);
        content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Whether the headers delimit the body, so that its end can be distinguished from a broken connection.
    fn is_delimited(&self) -> bool {
        let headers = self.answer.headers();
        let empty = matches!(self.status(), 204 | 304);
        empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// Reads the complete body and stores it if the request was claimed; fails if the body is late or ends early.
    async fn whole_body(&mut self) -> Result<Bytes, Refusal> {
        if !self.is_delimited() {
            return Err(Refusal::from_reason(Reason::AnswerBroken));
        }
        let mut body = Vec::new();
        let left = self.deadline.saturating_sub(self.shared.now());
        let read = async {
            while let Some(chunk) = self.answer.chunk().await? {
                body.extend_from_slice(&chunk);
            }
            Ok::<(), reqwest::Error>(())
        };
        let read = tokio::time::timeout(left, read).await;
        match read {
            Err(_) => Err(Refusal::from_reason(Reason::AnswerLate)),
            Ok(Err(_)) => Err(Refusal::from_reason(Reason::AnswerBroken)),
            Ok(Ok(())) => {
                self.done = true;
                let body = Bytes::from(body);
                self.store(body.clone());
                Ok(body)
            }
        }
    }

    /// The next complete events; `None` after the last. Resumes the stream if it breaks.
    async fn next_events(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(events) = self.take_events() {
                return Ok(Some(events));
            }
            if self.done && self.resumes > MAX_RESUMES {
                return Err(StreamError(None));
            }
            if self.done {
                return Ok(None);
            }
            let chunk = tokio::time::timeout(CHUNK_TIMEOUT, self.answer.chunk()).await;
            match chunk {
                Ok(Ok(Some(chunk))) => self.pending.extend_from_slice(&chunk),
                _ => self.resume().await?,
            }
        }
    }

    /// Takes all complete events out of `pending` and counts them; stores the answer of a claimed request at its last
    /// event.
    fn take_events(&mut self) -> Option<Bytes> {
        let end = self.pending.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
        let rest = self.pending.split_off(end + EVENT_END.len());
        let events = std::mem::replace(&mut self.pending, rest);
        let ends = events.windows(EVENT_END.len()).filter(|window| *window == EVENT_END);
        self.events_sent += ends.count() as u64;
        self.done = events[..end].ends_with(DONE);
        if self.key.is_some() && self.collected.len() <= MAX_ANSWER_BYTES {
            self.collected.extend_from_slice(&events);
        }
        if self.done {
            let body = std::mem::take(&mut self.collected);
            self.store(body.into());
        }
        Some(events.into())
    }

    /// Stores the complete answer of a claimed request; does nothing for other requests.
    fn store(&self, body: Bytes) {
        if let Some(key) = self.key {
            self.shared.store_answer(key, self.stored_answer(body));
        }
    }

    /// The answer with this body, in the form in which it is stored.
    fn stored_answer(&self, body: Bytes) -> StoredAnswer {
        let content_type = self.answer.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        StoredAnswer { status: self.status(), content_type, body }
    }

    /// Reads the complete answer without relaying it, so that it is stored even if the client has disconnected.
    pub(super) async fn read_to_end(mut self) -> Result<StoredAnswer, Refusal> {
        let body = self.whole_body().await?;
        Ok(self.stored_answer(body))
    }

    /// Resumes the stream at the same target after the last event sent to the client. After [`MAX_RESUMES`] failures
    /// returns the error event to send.
    async fn resume(&mut self) -> Result<(), StreamError> {
        self.pending.clear();
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            tokio::time::sleep(RESUME_PAUSE).await;
            let resumed = self.request_resume().await;
            let result = if resumed.is_some() { "resumed" } else { "failed" };
            self.shared.metrics.resumes.with_label_values(&[result]).inc();
            if let Some(answer) = resumed {
                self.answer = answer;
                return Ok(());
            }
        }
        self.resumes = MAX_RESUMES + 1;
        let reason = Reason::AnswerBroken;
        self.shared.metrics.refused.with_label_values(&[reason.code()]).inc();
        warn!(
            self.shared.log, "stream broke off and could not be resumed";
            "event" => "answer_broken", "target" => &self.slot.target.name, "attempt" => &self.attempt
        );
        let body = serde_json::to_string(&Refusal::from_reason(reason).body()).unwrap_or_default();
        Err(StreamError(Some(format!("event: error\ndata: {body}\n\n").into())))
    }

    /// Asks the target for the stream from event [`events_sent`](Relay::events_sent) on; `None` if it does not answer
    /// in time, refuses or answers for another attempt.
    async fn request_resume(&self) -> Option<reqwest::Response> {
        let url = format!("{}?from={}", self.attempt_url(), self.events_sent);
        let answer = self.shared.http.get(url).send();
        let answer = tokio::time::timeout(RESUME_TIMEOUT, answer).await.ok()?.ok()?;
        let echo = answer.headers().get(ATTEMPT);
        let same_attempt = echo.is_some_and(|echo| echo.as_bytes() == self.attempt.as_bytes());
        (same_attempt && answer.status().is_success()).then_some(answer)
    }

    fn attempt_url(&self) -> String {
        let base = self.slot.target.url.trim_end_matches('/');
        format!("{base}/v1/attempts/{}", self.attempt)
    }
}

impl Drop for Relay {
    /// Cancels a chat completion at its target if it is dropped before its end, as when the client disconnects.
    fn drop(&mut self) {
        let is_chat = matches!(self.kind, Kind::Chat | Kind::ChatStream);
        if self.done || !is_chat {
            return;
        }
        let cancel = self.shared.http.delete(self.attempt_url()).timeout(CANCEL_TIMEOUT);
        tokio::spawn(cancel.send());
    }
}
