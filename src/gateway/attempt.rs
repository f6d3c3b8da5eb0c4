//! One attempt: sends a request to one target and waits for the head of the answer.

use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::header::HeaderMap;
use http::response::Parts;
use hyper::body::Incoming;

use super::connection::{ConnectError, Connection, ConnectionLimits, connect};
use super::outgoing::Outgoing;
use super::reuse::Reuse;
use super::target::{InFlight, Target};
use super::via_peer::client::PeerConnection;
use crate::clock::Instant;
use crate::dialect::Headers;
use crate::group::stream_origins::VersionKey;
use crate::run_clock::RunClock;

/// The head of an answer, with everything that must stay alive until the body has been read.
pub(super) struct Answer {
    pub(super) source: Source,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
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
/// After `answer_timeout` the attempt ends if the supervisor can try another target; otherwise it
/// waits until the request's deadline.
pub(super) async fn send(
    target: &Arc<Target>,
    fetch_from: Option<SocketAddr>,
    outgoing: &Outgoing,
    names: &Headers,
    limits: ConnectionLimits<'_>,
    answer_timeout: Duration,
    supervisor: &impl Supervisor,
) -> Result<Answer, AttemptError> {
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
        let mut sending = pin!(connection.sender.try_send_request(request));
        let answered = match clock.within(answer_timeout, deadline, &mut sending).await {
            None if supervisor.may_try_another() => return Err(AttemptError::Late),
            None => {
                supervisor.on_stall();
                clock.before(deadline, sending).await
            }
            answered => answered,
        };
        match answered {
            Some(Ok(response)) => {
                let (head, body) = response.into_parts();
                let verified = verify(&head, outgoing, names);
                if matches!(verified, Ok(()) | Err(AttemptError::NotRun)) {
                    supervisor.on_answer_head(head.status, &head.headers);
                }
                verified?;
                let (target, status, headers) = (target.clone(), head.status, head.headers);
                let source = Source::Target { target, connection, _in_flight: in_flight };
                return Ok(Answer { source, status, headers, body });
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

/// Checks that the answer belongs to this request and comes from the target.
pub(super) fn verify(
    head: &Parts,
    outgoing: &Outgoing,
    names: &Headers,
) -> Result<(), AttemptError> {
    let echoed = head.headers.get(&names.request_id);
    if echoed.is_some_and(|id| *id != outgoing.id) {
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
