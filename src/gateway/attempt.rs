//! One attempt: sends a request to one target and waits for the head of the answer.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::response::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;

use super::connection::{ConnectError, Connection, ConnectionLimits, connect};
use super::outgoing::Outgoing;
use super::reuse::Reuse;
use super::target::{InFlight, Target};
use super::target_stream::TargetBody;
use super::via_peer::client::PeerConnection;
use crate::clock::Instant;
use crate::dialect::Headers;
use crate::group::stream_origins::VersionKey;
use crate::run_clock::RunClock;

/// Statuses of final answers. Others are no answer: interim ones, a change of protocol that nobody asked for, and those
/// that HTTP does not define.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The head of an answer, with everything that must stay alive until the body has been read.
pub(super) struct Answer {
    pub(super) source: Source,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: TargetBody,
}

/// Where an answer comes from.
pub(super) enum Source {
    /// A target that this gateway is connected to.
    Target { target: Arc<Target>, connection: Connection, _in_flight: InFlight },
    /// A target that a peer gateway is connected to.
    Peer {
        connection: PeerConnection,
        /// Version of the target's software, if the peer names it; gateways of earlier builds don't.
        version: Option<VersionKey>,
    },
}

impl Source {
    /// The target, if this gateway is connected to it.
    pub(super) fn target(&self) -> Option<&Arc<Target>> {
        match self {
            Source::Target { target, .. } => Some(target),
            Source::Peer { .. } => None,
        }
    }

    /// Version of the target's software, if it is known.
    pub(super) fn version(&self) -> Option<VersionKey> {
        match self {
            Source::Target { target, .. } => Some(target.version),
            Source::Peer { version, .. } => *version,
        }
    }

    /// Keeps the connection for later requests, after the answer with these headers was read to its end.
    pub(super) fn keep(self, headers: &HeaderMap) {
        match self {
            Source::Target { connection, .. } => connection.keep(headers),
            Source::Peer { connection, .. } => connection.keep(),
        }
    }
}

/// Names the target or the peer in logs.
impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Target { target, .. } => f.write_str(&target.announcement.id),
            Source::Peer { connection, .. } => write!(f, "peer-{}", connection.peer()),
        }
    }
}

/// Result of sending a request to a target.
pub(super) enum Sent {
    /// The target answered.
    Answered(Answer),
    /// It sent nothing within the answer timeout, and another target may be tried meanwhile.
    Silent(SilentRequest),
}

/// A response that is being waited for.
type Responding = Pin<
    Box<dyn Future<Output = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>> + Send>,
>;

/// A request that was sent to a target and has no answer yet.
pub(super) struct SilentRequest {
    target: Arc<Target>,
    connection: Connection,
    in_flight: InFlight,
    responding: Responding,
}

impl SilentRequest {
    /// Waits for the answer to the request with this id. `None` if there will be none that could be relayed.
    /// `on_answer_head` is called with the head of an answer that comes from the target itself.
    pub(super) async fn answer(
        self,
        id: &HeaderValue,
        names: &Headers,
        on_answer_head: impl FnOnce(StatusCode, &HeaderMap),
    ) -> Option<Answer> {
        let response = self.responding.await.ok()?;
        let answer = accept(
            response,
            id,
            names,
            on_answer_head,
            (self.target, self.connection, self.in_flight),
        );
        answer.ok().filter(|answer| !answer.status.is_server_error())
    }
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// The request was not sent.
    NotSent(ConnectError),
    /// Another target is at this address now. It did not run the request.
    Gone,
    /// The target said that it did not run the request.
    NotRun,
    /// The connection broke after the request was sent.
    Lost,
    /// The request was sent, and no answer arrived in time.
    Late,
    /// The answer belongs to another request, or lacks the target's signature.
    Wrong,
}

/// Callbacks by which the request's handler decides on an attempt under way and observes it.
pub(super) trait Supervisor {
    /// Whether the request may still be sent to the target, now that the connection is open.
    fn may_send(&self) -> bool;

    /// Whether the request could be sent to another target instead of a stalled one.
    fn may_try_another(&self) -> bool;

    /// Clock that counts only the time in which this process ran.
    fn run_clock(&self) -> &RunClock;

    /// Called when the target has stalled and the attempt keeps waiting, since there is no other
    /// target to try.
    fn on_stall(&self);

    /// Called with the head of an answer that comes from the target itself, even if the attempt
    /// fails.
    fn on_answer_head(&self, status: StatusCode, headers: &HeaderMap);
}

/// Sends the request and waits for the head of the answer.
///
/// After `answer_timeout` it no longer waits if the supervisor can try another target; otherwise it
/// waits until the request's deadline.
pub(super) async fn send(
    target: &Arc<Target>,
    fetch_from: Option<SocketAddr>,
    outgoing: &Outgoing,
    names: &Headers,
    limits: ConnectionLimits<'_>,
    answer_timeout: Duration,
    supervisor: &impl Supervisor,
) -> Result<Sent, AttemptError> {
    let in_flight = target.begin(outgoing.body_bytes());
    let mut reuse = outgoing.reuse;
    loop {
        let connecting = connect(target, reuse, limits);
        let (deadline, clock) = (outgoing.deadline, supervisor.run_clock());
        let mut connection = match clock.before(deadline, connecting).await {
            Some(connected) => connected.map_err(AttemptError::NotSent)?,
            None => return Err(AttemptError::NotSent(ConnectError::TooLate)),
        };
        if !supervisor.may_send() {
            return Err(AttemptError::NotSent(ConnectError::NotWanted));
        }
        if Instant::now() >= deadline {
            // The deadline passed while this process was suspended.
            return Err(AttemptError::NotSent(ConnectError::TooLate));
        }
        let request = outgoing.to_target(target, fetch_from, names);
        connection.fruitless.reset();
        let mut responding: Responding = Box::pin(connection.sender.try_send_request(request));
        let answered = match clock.within(answer_timeout, deadline, &mut responding).await {
            None if supervisor.may_try_another() => {
                let target = target.clone();
                let silent = SilentRequest { target, connection, in_flight, responding };
                return Ok(Sent::Silent(silent));
            }
            None => {
                supervisor.on_stall();
                clock.before(deadline, responding).await
            }
            answered => answered,
        };
        match answered {
            Some(Ok(response)) => {
                let on_answer_head =
                    |status, headers: &_| supervisor.on_answer_head(status, headers);
                let from = (target.clone(), connection, in_flight);
                let answer = accept(response, &outgoing.id, names, on_answer_head, from)?;
                return Ok(Sent::Answered(answer));
            }
            Some(Err(mut error)) => {
                // The request is returned only if the connection closed before any byte was
                // written: it is then sent on a new one.
                if error.take_message().is_none() {
                    return Err(AttemptError::Lost);
                }
                reuse = Reuse::RecentlyUsed;
            }
            None => return Err(AttemptError::Late),
        }
    }
}

/// Takes an answer to the request with this id, if it belongs to it and comes from the target.
fn accept(
    response: Response<Incoming>,
    id: &HeaderValue,
    names: &Headers,
    on_answer_head: impl FnOnce(StatusCode, &HeaderMap),
    from: (Arc<Target>, Connection, InFlight),
) -> Result<Answer, AttemptError> {
    let (head, body) = response.into_parts();
    let verified = verify(&head, id, names);
    if matches!(verified, Ok(()) | Err(AttemptError::NotRun)) {
        on_answer_head(head.status, &head.headers);
    }
    verified?;
    let (target, connection, _in_flight) = from;
    let body = TargetBody::new(body, connection.fruitless.clone());
    let source = Source::Target { target, connection, _in_flight };
    Ok(Answer { source, status: head.status, headers: head.headers, body })
}

/// Checks that the answer belongs to the request with this id and comes from the target.
pub(super) fn verify(head: &Parts, id: &HeaderValue, names: &Headers) -> Result<(), AttemptError> {
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return Err(AttemptError::Wrong);
    }
    let echoed = head.headers.get(&names.request_id);
    if echoed.is_some_and(|echoed| echoed != id) {
        return Err(AttemptError::Wrong);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::Gone);
    }
    if head.headers.contains_key(&names.not_run) {
        return Err(AttemptError::NotRun);
    }
    let signed = head.headers.contains_key(&names.stamp) && echoed.is_some();
    if head.status.is_success() && !signed {
        return Err(AttemptError::Wrong);
    }
    Ok(())
}
