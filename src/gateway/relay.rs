//! Passes an answer on to the client: whole, or event by event.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;

use super::Gateway;
use super::answer::AnswerBody;
use super::attempt::Answer;
use super::events::EventSplitter;
use super::exchange::{Plan, give_up, next_answer};
use super::health::AttemptOutcome;
use super::mechanism::Mechanism;
use super::outflow::{Outflow, Source};
use super::outgoing::strip_hop_by_hop;
use super::patience::{self, SilenceWatch};
use super::refusal::Refusal;
use super::trace::{self, text};

use crate::clock::Instant;
use crate::run_clock::RunClock;

/// Answers in one piece that are longer are passed on as they come.
const WHOLE_UP_TO: usize = 256 * 1024;

/// Time for which a client must have kept a target waiting for a break to be the client's doing: targets cut answers
/// that nobody reads for some seconds.
const PATIENCE_OF_TARGETS: Duration = Duration::from_secs(1);

/// What became of an answer.
pub(super) enum PassedOn {
    /// This goes to the client.
    Answer(Response<AnswerBody>),
    /// The request is sent again.
    Retry(Box<Plan>),
}

/// Passes an answer on, or finds that the request had better be sent again.
pub(super) async fn pass_on(gateway: &Arc<Gateway>, mut plan: Plan, answer: Answer) -> PassedOn {
    let again = plan.route.kind.idempotent() && answer.status.is_server_error();
    if again && gateway.could_send_again(&plan) {
        plan.note_ran(Refusal::AnswerLost);
        return PassedOn::Retry(Box::new(plan));
    }
    let events = answer.headers.get(CONTENT_TYPE);
    let events = text(events).starts_with("text/event-stream") && answer.status == StatusCode::OK;
    if events && plan.route.kind.streams() {
        return start_stream(gateway, plan, answer).await;
    }
    whole(gateway, plan, answer).await
}

/// Reads the whole answer before the client gets a byte, so that a broken one never looks complete.
async fn whole(gateway: &Arc<Gateway>, mut plan: Plan, answer: Answer) -> PassedOn {
    let Answer { target, status, headers, mut body, connection, in_flight } = answer;
    let mut gathered = plan.holder.gather();
    loop {
        let frame = gateway.run_clock.before(plan.outgoing.deadline, body.frame()).await;
        let refusal = match frame {
            Some(Some(Ok(frame))) => {
                let piece = frame.into_data().unwrap_or_default();
                let pushed = gathered.push(piece);
                if pushed.is_ok() && gathered.length() <= WHOLE_UP_TO {
                    continue;
                }
                trace::answered(gateway, &plan, &target, status);
                plan.disconnect_guard.finish();
                let deadline = plan.outgoing.deadline;
                let (clock, _in_flight) = (gateway.run_clock.clone(), in_flight);
                let rest = Rest { body, connection, headers, _in_flight, deadline, clock };
                let flow = Outflow::new(gateway, &plan);
                let first = gathered.into_bytes(pushed.err());
                return PassedOn::Answer(long(status, flow, first, rest));
            }
            Some(None) => break,
            Some(Some(Err(_))) => Refusal::AnswerLost,
            None => Refusal::AnswerLate,
        };
        gateway.note_outcome(&target, AttemptOutcome::Failed);
        trace::broke_off(gateway, &plan, &target, refusal, "");
        match refusal {
            Refusal::AnswerLost => gateway.probe(&plan, &target),
            _ => gateway.note_version_failed(&plan),
        }
        plan.note_ran(refusal);
        if plan.route.kind.idempotent() && gateway.could_send_again(&plan) {
            return PassedOn::Retry(Box::new(plan));
        }
        return PassedOn::Answer(give_up(gateway, plan, refusal));
    }
    connection.keep(&headers);
    if promises_not_run(status) {
        // The target did not say that it has not run the request; that must not be promised.
        return PassedOn::Answer(give_up(gateway, plan, Refusal::WrongAnswer));
    }
    trace::answered(gateway, &plan, &target, status);
    if status.is_success() {
        gateway.note_version_answered(&plan);
        gateway.note_ended_well(&plan);
    }
    trace::ended(gateway, &mut plan);
    let mut response = Response::new(AnswerBody::Whole(Some(gathered.into_answer())));
    *response.status_mut() = status;
    *response.headers_mut() = passed_headers(headers);
    PassedOn::Answer(response)
}

/// Statuses that tell a client that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn passed_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}

/// What is left of a long answer.
struct Rest {
    body: hyper::body::Incoming,
    connection: super::connection::Connection,
    headers: HeaderMap,
    _in_flight: super::target::InFlight,
    deadline: Instant,
    clock: Arc<RunClock>,
}

impl Source for Rest {
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        match self.clock.before(self.deadline, self.body.frame()).await {
            Some(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(None) => Ok(None),
            Some(Some(Err(_))) => Err(Refusal::AnswerLost),
            None => Err(Refusal::AnswerLate),
        }
    }

    fn end(self) {
        self.connection.keep(&self.headers);
    }

    fn note_waited(&mut self, _waited: Duration) {}

    fn cut(&mut self, _why: Refusal) {}
}

/// Passes a long answer on as it comes.
fn long(status: StatusCode, flow: Outflow, first: Bytes, rest: Rest) -> Response<AnswerBody> {
    let headers = rest.headers.clone();
    let pieces = flow.start(first, rest, None);
    let mut response = Response::new(AnswerBody::Pieces(pieces));
    *response.status_mut() = status;
    let length = headers.get(CONTENT_LENGTH).cloned();
    *response.headers_mut() = passed_headers(headers);
    if let Some(length) = length {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

/// A stream on its way to the client.
struct Relay {
    gateway: Arc<Gateway>,
    plan: Plan,
    answer: Answer,
    splitter: EventSplitter,
    /// Whether the client has any event.
    begun: bool,
    /// Whether the target had to wait for the client, so that a break may be the client's doing.
    unread: bool,
}

/// A piece of an answer, or how it broke.
type Piece = Result<Frame<Bytes>, hyper::Error>;

/// Why a stream stopped before its end.
enum Stopped {
    Broke,
    Late,
}

/// Waits for the first event, since until then nothing has been promised to the client.
async fn start_stream(gateway: &Arc<Gateway>, plan: Plan, answer: Answer) -> PassedOn {
    let (status, headers) = (answer.status, passed_headers(answer.headers.clone()));
    let mut relay = Relay {
        gateway: gateway.clone(),
        plan,
        answer,
        splitter: EventSplitter::default(),
        begun: false,
        unread: false,
    };
    let first = match relay.next_events().await {
        Ok(first) => first,
        Err(refusal) => return PassedOn::Answer(give_up(gateway, relay.plan, refusal)),
    };
    gateway.note_version_answered(&relay.plan);
    trace::answered(gateway, &relay.plan, &relay.answer.target, status);
    let Some(first) = first else {
        relay.keep_connection();
        let mut response = Response::new(AnswerBody::Whole(None));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return PassedOn::Answer(response);
    };
    let open = gateway.open_request();
    let flow = Outflow::new(gateway, &relay.plan);
    let pieces = flow.start(first, relay, Some(open));
    let mut response = Response::new(AnswerBody::Pieces(pieces));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    PassedOn::Answer(response)
}

impl Source for Relay {
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        self.next_events().await
    }

    fn end(self) {
        self.keep_connection();
    }

    fn note_waited(&mut self, waited: Duration) {
        self.unread = waited >= PATIENCE_OF_TARGETS;
    }

    fn cut(&mut self, why: Refusal) {
        trace::cut(&self.gateway, &self.plan, why);
        self.plan.disconnect_guard.finish();
    }
}

impl Relay {
    /// The next whole events, or `None` at the end; goes on at another target where that is allowed.
    async fn next_events(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            match self.next_here().await {
                Ok(events) => {
                    self.begun |= events.is_some();
                    return Ok(events);
                }
                Err(stopped) => self.resume(stopped).await?,
            }
        }
    }

    async fn next_here(&mut self) -> Result<Option<Bytes>, Stopped> {
        loop {
            let frame = self.next_frame().await?;
            match frame {
                Some(Ok(frame)) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    let whole = self.splitter.push(&bytes).map_err(|_| Stopped::Broke)?;
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                None if self.splitter.at_boundary() => return Ok(None),
                None | Some(Err(_)) => return Err(Stopped::Broke),
            }
        }
    }

    /// Waits for the next piece until the deadline, or, where another target may go on, for as long
    /// as patience lasts.
    async fn next_frame(&mut self) -> Result<Option<Piece>, Stopped> {
        let route = &self.plan.route;
        let longest = match self.begun {
            true => patience::for_next_event(route),
            false => patience::for_answer(route),
        };
        let watch = SilenceWatch::begin(&self.gateway, &self.answer.target, longest);
        let (deadline, clock) = (self.plan.outgoing.deadline, &self.gateway.run_clock);
        let mut frame = pin!(self.answer.body.frame());
        let mut waited = clock.within(longest, deadline, &mut frame).await;
        let may_turn = || {
            self.gateway.uses(Mechanism::Silence)
                && route.kind.idempotent()
                && self.gateway.could_send_again(&self.plan)
        };
        if waited.is_none() && !may_turn() {
            watch.blame_if_silent();
            waited = clock.before(deadline, frame).await;
        }
        watch.end();
        waited.ok_or(Stopped::Late)
    }

    /// Goes on with the stream at another target, after the last whole event.
    async fn resume(&mut self, stopped: Stopped) -> Result<(), Refusal> {
        let refusal = match stopped {
            Stopped::Broke => Refusal::AnswerLost,
            Stopped::Late => Refusal::AnswerLate,
        };
        let gateway = self.gateway.clone();
        let last = self.splitter.last_id().unwrap_or("");
        trace::broke_off(&gateway, &self.plan, &self.answer.target, refusal, last);
        if self.unread {
            return Err(refusal);
        }
        gateway.note_outcome(&self.answer.target, AttemptOutcome::Failed);
        match refusal {
            Refusal::AnswerLost => gateway.probe(&self.plan, &self.answer.target),
            _ => gateway.note_version_failed(&self.plan),
        }
        self.plan.note_ran(refusal);
        if !self.plan.route.kind.idempotent() {
            return Err(refusal);
        }
        self.splitter.drop_partial();
        if let Some(last) = self.splitter.last_id()
            && let Ok(last) = HeaderValue::from_str(last)
        {
            self.plan.outgoing.resume_after(gateway.header_names(), last);
        } else if self.begun {
            return Err(refusal);
        }
        let answer = next_answer(&gateway, &mut self.plan).await?;
        let kind = text(answer.headers.get(CONTENT_TYPE));
        if answer.status != StatusCode::OK || !kind.starts_with("text/event-stream") {
            return Err(refusal);
        }
        let last = self.splitter.last_id().unwrap_or("");
        trace::resumed(&gateway, &self.plan, &answer.target, last);
        self.answer = answer;
        Ok(())
    }

    /// Keeps the connection of a stream that has ended.
    fn keep_connection(mut self) {
        self.gateway.note_ended_well(&self.plan);
        trace::ended(&self.gateway, &mut self.plan);
        self.answer.connection.keep(&self.answer.headers);
    }
}
