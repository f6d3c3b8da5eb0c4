//! Relays a target's answer to the client.
//!
//! An answer of up to 256 KiB is read completely before the client gets any of it; a longer one is streamed. Streams of
//! server-sent events are relayed event by event and, where the route allows it, resumed at another target when they
//! break.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;

use super::Gateway;
use super::answer::AnswerBody;
use super::attempt::{Answer, Source};
use super::body_forwarder::{BodyForwarder, BodySource, First};
use super::events::EventSplitter;
use super::exchange::{RequestState, give_up, next_answer};
use super::health::AttemptOutcome;
use super::mechanism::Mechanism;
use super::outgoing::strip_hop_by_hop;
use super::reach::Contact;
use super::refusal::Refusal;
use super::restart::RestartSign;
use super::silence::{self, AttemptRecord, Outcome, Silent};
use super::stall::{self, StallGuard};
use super::target_stream::TargetBody;
use super::trace::{self, text};
use crate::clock::Instant;
use crate::run_clock::RunClock;

/// Longest answer, in bytes, that is buffered completely; longer ones are streamed.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// If the client has made its target wait this long, a break of the stream is put down to the client: targets close
/// answers that nobody reads for a few seconds.
const CLIENT_STALL: Duration = Duration::from_secs(1);

/// Result of relaying an answer.
pub(super) enum Relayed {
    /// The response for the client.
    Response(Response<AnswerBody>),
    /// The request is to be sent again.
    Retry(Box<RequestState>),
}

/// Relays an answer to the client, or decides that the request is sent again.
pub(super) async fn relay(
    gateway: &Arc<Gateway>,
    mut state: RequestState,
    answer: Answer,
) -> Relayed {
    let again = state.route.kind.idempotent() && answer.status.is_server_error();
    if again && gateway.could_retry(&state) {
        state.note_may_have_run(Refusal::AnswerLost);
        return Relayed::Retry(Box::new(state));
    }
    if is_event_stream(&answer) && state.route.kind.streams() {
        return start_stream(gateway, state, answer).await;
    }
    relay_buffered(gateway, state, answer).await
}

/// Reads the complete answer before the client gets any of it, so that a broken one never looks complete. An answer
/// that is longer than [`MAX_BUFFERED_BYTES`], or for which there is no memory left, is streamed instead.
async fn relay_buffered(
    gateway: &Arc<Gateway>,
    mut state: RequestState,
    answer: Answer,
) -> Relayed {
    let Answer { source, status, headers, mut body } = answer;
    let announced = body.size_hint().exact().map(|length| length as usize);
    let announced = announced.filter(|length| *length <= MAX_BUFFERED_BYTES);
    let mut gathered = state.client_buffer.new_body(announced);
    loop {
        let frame = gateway.run_clock.before(state.outgoing.deadline, body.frame()).await;
        let refusal = match frame {
            Some(Some(Ok(frame))) => {
                let chunk = frame.into_data().unwrap_or_default();
                let fits = gathered.length() + chunk.len() <= MAX_BUFFERED_BYTES;
                if fits && gathered.try_push(&chunk) {
                    continue;
                }
                trace::answered(gateway, &state, &source, status);
                state.disconnect_guard.finish();
                let (deadline, clock) = (state.outgoing.deadline, gateway.run_clock.clone());
                let next = Some(chunk);
                let rest = AnswerRest { next, body, source, headers, deadline, clock };
                let forwarder = BodyForwarder::new(gateway, &state);
                let first = First::Held(gathered.into_answer());
                return Relayed::Response(stream_long(status, forwarder, first, rest));
            }
            Some(None) => break,
            Some(Some(Err(_))) => Refusal::AnswerLost,
            None => Refusal::AnswerLate,
        };
        trace::broke_off(gateway, &state, &source, refusal, "");
        note_broken_off(gateway, &state, &source, refusal);
        state.note_may_have_run(refusal);
        if state.route.kind.idempotent() && gateway.could_retry(&state) {
            return Relayed::Retry(Box::new(state));
        }
        return Relayed::Response(give_up(gateway, state, refusal));
    }
    if implies_not_run(status) {
        source.keep(&headers);
        // The answer lacks the header by which a target states that it did not run the request, so the client must
        // not get a status that says so.
        return Relayed::Response(give_up(gateway, state, Refusal::WrongAnswer));
    }
    trace::answered(gateway, &state, &source, status);
    source.keep(&headers);
    if status.is_success() {
        gateway.note_version_answer(&state);
        gateway.record_not_poison(&state);
    }
    trace::ended(gateway, &mut state);
    let mut response = Response::new(AnswerBody::Buffered(Some(gathered.into_answer())));
    *response.status_mut() = status;
    *response.headers_mut() = client_headers(headers);
    Relayed::Response(response)
}

/// Records that an answer broke off or stalled. A peer gateway that the answer came through records it itself.
fn note_broken_off(
    gateway: &Arc<Gateway>,
    state: &RequestState,
    source: &Source,
    refusal: Refusal,
) {
    let Some(target) = source.target() else {
        return;
    };
    if refusal == Refusal::AnswerLost {
        gateway.suspect_restart(target, RestartSign::Broke);
        gateway.record_contact(target, Contact::Unreachable);
    }
    gateway.note_outcome(target, AttemptOutcome::Failed);
    match refusal {
        Refusal::AnswerLost => gateway.probe(state, target),
        _ => gateway.note_version_failure(state),
    }
}

/// Whether clients take the status to mean that the request was not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// The headers of a target's answer that are passed to the client.
fn client_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}

/// The part of a long answer that is still to be read from the target.
struct AnswerRest {
    /// A piece that was read and is not forwarded yet.
    next: Option<Bytes>,
    body: TargetBody,
    source: Source,
    headers: HeaderMap,
    deadline: Instant,
    clock: Arc<RunClock>,
}

impl BodySource for AnswerRest {
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        if let Some(next) = self.next.take() {
            return Ok(Some(copy(&next)));
        }
        match self.clock.before(self.deadline, self.body.frame()).await {
            Some(Some(Ok(frame))) => Ok(Some(copy(&frame.into_data().unwrap_or_default()))),
            Some(None) => Ok(None),
            Some(Some(Err(_))) => Err(Refusal::AnswerLost),
            None => Err(Refusal::AnswerLate),
        }
    }

    fn end(self) {
        self.source.keep(&self.headers);
    }

    fn note_client_delay(&mut self, _delay: Duration) {}

    fn abort(&mut self, _why: Refusal) {}
}

/// Copies a piece of an answer, which refers to the whole buffer that it was read into.
fn copy(piece: &Bytes) -> Bytes {
    Bytes::copy_from_slice(piece)
}

/// Streams a long answer to the client as it arrives.
fn stream_long(
    status: StatusCode,
    forwarder: BodyForwarder,
    first: First,
    rest: AnswerRest,
) -> Response<AnswerBody> {
    let headers = rest.headers.clone();
    let chunks = forwarder.start(first, rest, None);
    let mut response = Response::new(AnswerBody::Streamed(chunks));
    *response.status_mut() = status;
    let length = headers.get(CONTENT_LENGTH).cloned();
    *response.headers_mut() = client_headers(headers);
    if let Some(length) = length {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

/// A stream of server-sent events that is being relayed to the client.
struct EventRelay {
    gateway: Arc<Gateway>,
    state: RequestState,
    answer: Answer,
    splitter: EventSplitter,
    /// Whether any event was forwarded to the client.
    begun: bool,
    /// Whether the parts of the prompt were recorded as sound.
    sound: bool,
    /// Whether the client has made the target wait for [`CLIENT_STALL`], which may be why the stream breaks.
    client_stalled: bool,
}

/// Why a stream stopped before its end.
enum Interrupted {
    /// The connection broke, the stream ended within an event, or an event was too long.
    Broken,
    /// Nothing came from the target within the stall timeout, and another target could take over the stream.
    Silent,
    /// The deadline passed.
    TimedOut,
}

/// The connection broke, the stream ended within an event, or an event was too long.
struct BrokeOff;

/// Reads the next complete events, or `None` at the end of the stream. What was read stays in the splitter if the wait
/// is cancelled.
async fn read_events(
    body: &mut TargetBody,
    splitter: &mut EventSplitter,
) -> Result<Option<Bytes>, BrokeOff> {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                let events = splitter.push(&bytes).map_err(|_| BrokeOff)?;
                if !events.is_empty() {
                    return Ok(Some(events));
                }
            }
            None if splitter.at_boundary() => return Ok(None),
            None | Some(Err(_)) => return Err(BrokeOff),
        }
    }
}

/// Whether an answer is a stream of events.
fn is_event_stream(answer: &Answer) -> bool {
    let content_type = text(answer.headers.get(CONTENT_TYPE));
    answer.status == StatusCode::OK && content_type.starts_with("text/event-stream")
}

/// Starts to relay a stream. The response head is sent only once the first event has arrived, so that the request can
/// still be retried or refused until then.
async fn start_stream(gateway: &Arc<Gateway>, state: RequestState, answer: Answer) -> Relayed {
    let (status, headers) = (answer.status, client_headers(answer.headers.clone()));
    let mut relay = EventRelay {
        gateway: gateway.clone(),
        state,
        answer,
        splitter: EventSplitter::default(),
        begun: false,
        sound: false,
        client_stalled: false,
    };
    let first = match relay.next_events().await {
        Ok(first) => first,
        Err(refusal) => return Relayed::Response(give_up(gateway, relay.state, refusal)),
    };
    gateway.note_version_answer(&relay.state);
    if first.is_some() {
        gateway.note_stream_begun(&mut relay.state, &relay.answer.source).await;
    }
    trace::answered(gateway, &relay.state, &relay.answer.source, status);
    let Some(first) = first else {
        relay.finish();
        let mut response = Response::new(AnswerBody::Buffered(None));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return Relayed::Response(response);
    };
    let open = gateway.open_request();
    let forwarder = BodyForwarder::new(gateway, &relay.state);
    let chunks = forwarder.start(First::New(first), relay, Some(open));
    let mut response = Response::new(AnswerBody::Streamed(chunks));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Relayed::Response(response)
}

impl BodySource for EventRelay {
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        self.next_events().await
    }

    fn end(self) {
        self.finish();
    }

    fn note_client_delay(&mut self, delay: Duration) {
        self.client_stalled = delay >= CLIENT_STALL;
    }

    fn abort(&mut self, why: Refusal) {
        trace::stream_cut(&self.gateway, &self.state, why);
        self.state.disconnect_guard.finish();
    }
}

impl EventRelay {
    /// The next complete events, or `None` at the end of the stream. If the stream breaks or falls silent, resumes it at
    /// another target where that is allowed.
    async fn next_events(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            let next = match self.next_from_target().await {
                Ok(events) => Some(events),
                // Boxed, since these are large and few streams are interrupted.
                Err(Interrupted::Silent) => Box::pin(self.replace_silent()).await?,
                Err(Interrupted::Broken) => {
                    Box::pin(self.resume()).await?;
                    None
                }
                Err(Interrupted::TimedOut) => {
                    self.note_interrupted(Refusal::AnswerLate);
                    return Err(Refusal::AnswerLate);
                }
            };
            if let Some(events) = next {
                self.begun |= events.is_some();
                self.state.events_since = self.state.events_since.or(Some(Instant::now()));
                self.sound = self.sound || self.gateway.record_if_outlived(&self.state);
                return Ok(events);
            }
        }
    }

    /// The next complete events from the current target, or `None` at the end of the stream. Waits until the stall
    /// timeout if another target could take over the stream, else until the deadline.
    async fn next_from_target(&mut self) -> Result<Option<Bytes>, Interrupted> {
        let route = &self.state.route;
        let timeout = match self.begun {
            true => stall::next_event_timeout(route),
            false => stall::answer_timeout(route),
        };
        let resumable = !self.client_stalled && self.can_resume();
        let target = self.answer.source.target();
        let stall_guard = StallGuard::start(&self.gateway, target, timeout);
        let (deadline, clock) = (self.state.outgoing.deadline, &self.gateway.run_clock);
        let mut events = pin!(read_events(&mut self.answer.body, &mut self.splitter));
        let mut received = clock.within(timeout, deadline, &mut events).await;
        if received.is_none() {
            if resumable && self.gateway.could_retry(&self.state) {
                stall_guard.finish();
                if let Some(target) = target {
                    self.gateway.note_outcome(target, AttemptOutcome::Failed);
                }
                return Err(Interrupted::Silent);
            }
            stall_guard.count_if_stalled();
            received = clock.before(deadline, events).await;
        }
        stall_guard.finish();
        let received = received.ok_or(Interrupted::TimedOut)?;
        received.map_err(|BrokeOff| Interrupted::Broken)
    }

    /// Whether another target could go on after the events that the client has.
    fn can_resume(&self) -> bool {
        let position_known = !self.begun || self.splitter.last_id().is_some();
        let idempotent = self.state.route.kind.idempotent();
        idempotent && position_known && self.gateway.uses(Mechanism::Silence)
    }

    /// Makes later attempts go on after the last complete event.
    fn set_resume_position(&mut self) {
        if let Some(last) = self.splitter.last_id()
            && let Ok(last) = HeaderValue::from_str(last)
        {
            self.state.outgoing.resume_after(self.gateway.header_names(), last);
        }
    }

    /// Asks another target to take over the stream from the current one, which is silent and stays open meanwhile.
    /// Returns the next events if the silent one goes on first, and `None` if the other one took over.
    async fn replace_silent(&mut self) -> Result<Option<Option<Bytes>>, Refusal> {
        let gateway = self.gateway.clone();
        let (began, silent) = (Instant::now(), AttemptRecord::of(&self.state));
        self.state.note_may_have_run(Refusal::AnswerLate);
        self.set_resume_position();
        let deadline = self.state.outgoing.deadline;
        let events = read_events(&mut self.answer.body, &mut self.splitter);
        let events = async { events.await.ok() };
        let other = async {
            let answer = next_answer(&gateway, &mut self.state).await?;
            if is_event_stream(&answer) { Ok(answer) } else { Err(Refusal::AnswerLate) }
        };
        let outcome = silence::replace(&gateway.run_clock, deadline, events, other).await;
        trace::silent_answer(&gateway, &self.state, &self.answer.source, began, outcome.label());
        let other = silent.swap_into(&mut self.state);
        match outcome {
            Outcome::WentOn(events) => {
                self.state.count_cancelled();
                Ok(Some(events))
            }
            Outcome::Replaced(answer, end) => {
                self.note_given_up(end);
                other.swap_into(&mut self.state);
                self.take_over(answer);
                Ok(None)
            }
            Outcome::Lost(refusal, end) => {
                self.note_given_up(end);
                Err(refusal)
            }
        }
    }

    /// Records that a silent stream broke off or was given up.
    fn note_given_up(&mut self, end: Silent) {
        match end {
            Silent::BrokeOff => self.note_interrupted(Refusal::AnswerLost),
            Silent::Open => {
                self.gateway.note_version_failure(&self.state);
                self.log_broken_off(Refusal::AnswerLate);
            }
        }
    }

    /// Resumes a stream that broke off at another target, after the last complete event.
    async fn resume(&mut self) -> Result<(), Refusal> {
        let (gateway, refusal) = (self.gateway.clone(), Refusal::AnswerLost);
        self.note_interrupted(refusal);
        if !self.state.route.kind.idempotent() || self.client_stalled {
            return Err(refusal);
        }
        if self.begun && self.splitter.last_id().is_none() {
            return Err(refusal);
        }
        self.set_resume_position();
        let answer = next_answer(&gateway, &mut self.state).await?;
        if !is_event_stream(&answer) {
            return Err(refusal);
        }
        self.take_over(answer);
        Ok(())
    }

    /// Goes on with the answer of another target.
    fn take_over(&mut self, answer: Answer) {
        self.splitter.drop_partial();
        let last = self.splitter.last_id().unwrap_or("");
        trace::resumed(&self.gateway, &self.state, &answer.source, last);
        self.answer = answer;
    }

    /// Records that the stream of the current target broke off or that nothing came from it until the deadline.
    fn note_interrupted(&mut self, refusal: Refusal) {
        self.log_broken_off(refusal);
        if self.client_stalled {
            return;
        }
        note_broken_off(&self.gateway, &self.state, &self.answer.source, refusal);
        self.state.note_may_have_run(refusal);
    }

    fn log_broken_off(&self, refusal: Refusal) {
        let last = self.splitter.last_id().unwrap_or("");
        trace::broke_off(&self.gateway, &self.state, &self.answer.source, refusal, last);
    }

    /// Records that the stream was relayed to its end, and keeps the target's connection for later requests.
    fn finish(mut self) {
        self.gateway.record_not_poison(&self.state);
        trace::ended(&self.gateway, &mut self.state);
        self.answer.source.keep(&self.answer.headers);
    }
}
