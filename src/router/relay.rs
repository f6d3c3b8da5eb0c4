//! Relays an answer to the caller: whole, or ended by an explicit error.

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

/// End of one event in a stream of events.
const EVENT_END: &[u8] = b"\n\n";
/// Data of the last event of a whole chat completion.
const DONE: &[u8] = b"data: [DONE]";
/// Times that a broken stream is taken up again.
const MAX_RESUMES: u32 = 3;
/// Wait before a broken stream is taken up again.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Between the error event of a broken stream and the cut of the connection.
const ERROR_EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for an engine to take a stream up again.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time between two pieces of an answer.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time to tell an engine that its answer is no longer wanted.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer under way from a target to a caller.
pub(super) struct Relay {
    shared: Arc<Shared>,
    answer: reqwest::Response,
    attempt: String,
    slot: Slot,
    kind: Kind,
    /// When an answer in one piece must have ended.
    deadline: Duration,
    /// Received, but not yet a whole event.
    pending: Vec<u8>,
    /// Events passed on: where to take a broken stream up again.
    events_sent: u64,
    resumes: u32,
    done: bool,
    /// Key of a claimed request, whose whole answer is kept.
    key: Option<RequestKey>,
    /// What was passed on so far, for keeping.
    collected: Vec<u8>,
    _in_flight: InFlightGuard,
}

/// The answer broke off; ends the caller's connection without a clean end.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
struct BrokenOff;

/// Gives the caller the answer: in one piece where it fits, else as it comes.
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
                        // Lets the error event leave before the connection is cut.
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

/// An error event to pass on before the connection is cut; `None` once that has been done.
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

    /// Whether the end of the body can be told from a broken connection.
    fn is_delimited(&self) -> bool {
        let headers = self.answer.headers();
        let empty = matches!(self.status(), 204 | 304);
        empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// The whole body; an answer that ends short is given up on.
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

    /// The next whole events; `None` at the clean end.
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

    /// Takes all whole events out of what is pending.
    fn take_events(&mut self) -> Option<Bytes> {
        let end = self.pending.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
        let rest = self.pending.split_off(end + EVENT_END.len());
        let events = std::mem::replace(&mut self.pending, rest);
        let whole = events.windows(EVENT_END.len()).filter(|window| *window == EVENT_END);
        self.events_sent += whole.count() as u64;
        self.done = events[..end].ends_with(DONE);
        if self.key.is_some() && self.collected.len() <= MAX_ANSWER_BYTES {
            self.collected.extend_from_slice(&events);
        }
        if self.done {
            let whole = std::mem::take(&mut self.collected);
            self.store(whole.into());
        }
        Some(events.into())
    }

    /// Keeps the whole answer of a claimed request.
    fn store(&self, body: Bytes) {
        if let Some(key) = self.key {
            self.shared.store_answer(key, self.stored_answer(body));
        }
    }

    /// The answer with this body, as it is kept.
    fn stored_answer(&self, body: Bytes) -> StoredAnswer {
        let content_type = self.answer.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        StoredAnswer { status: self.status(), content_type, body }
    }

    /// Reads the answer to its end, whether or not the caller still waits.
    pub(super) async fn read_to_end(mut self) -> Result<StoredAnswer, Refusal> {
        let body = self.whole_body().await?;
        Ok(self.stored_answer(body))
    }

    /// Takes the stream up again on the same engine after the last event that was passed on.
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
            self.shared.log, "answer broke off";
            "event" => "answer_broken", "target" => &self.slot.target.name, "attempt" => &self.attempt
        );
        let body = serde_json::to_string(&Refusal::from_reason(reason).body()).unwrap_or_default();
        Err(StreamError(Some(format!("event: error\ndata: {body}\n\n").into())))
    }

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
    /// Cancels the work at the engine when the caller has left.
    fn drop(&mut self) {
        let is_chat = matches!(self.kind, Kind::Chat | Kind::ChatStream);
        if self.done || !is_chat {
            return;
        }
        let cancel = self.shared.http.delete(self.attempt_url()).timeout(CANCEL_TIMEOUT);
        tokio::spawn(cancel.send());
    }
}
