//! One sending of a request to one target.

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
use crate::clock::Instant;
use crate::dialect::Headers;
use crate::run_clock::RunClock;

/// The head of an answer, with all that must live until its body has been read.
pub(super) struct Answer {
    pub(super) target: Arc<Target>,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) in_flight: InFlight,
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// Nothing was sent.
    NotSent(ConnectError),
    /// Another target has the address now, and did not run the request.
    Gone,
    /// The target said that it did not run the request.
    NotRun,
    /// The request was sent, and the connection broke.
    Lost,
    /// The request was sent, and there was no answer before the deadline.
    Late,
    /// The answer belonged to another request, or bore no signature.
    Wrong,
}

/// Decides on an attempt while it is under way, and is told of it.
pub(super) trait Supervisor {
    /// Whether the target may still be sent the request, now that a connection is there.
    fn may_send(&self) -> bool;

    /// Whether another target could be asked instead of one that says nothing.
    fn may_try_another(&self) -> bool;

    /// Time in which this process ran.
    fn run_clock(&self) -> &RunClock;

    /// The target is waited for on, since no other could be asked.
    fn on_stall(&self);

    /// The head of an answer that is the target's own, whatever becomes of the request.
    fn on_answer_head(&self, status: StatusCode, headers: &HeaderMap);
}

/// Sends the request and waits for the head of the answer.
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
            // Its time went by while this process stood still.
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
                return Ok(Answer { target, status, headers, body, connection, in_flight });
            }
            Some(Err(mut error)) => {
                // The connection closed before any byte was written: a new one is needed.
                if error.take_message().is_none() {
                    return Err(AttemptError::Lost);
                }
                reuse = Reuse::RecentlyUsed;
            }
            None => return Err(AttemptError::Late),
        }
    }
}

/// Tells whether the answer is one to this request.
fn verify(head: &Parts, outgoing: &Outgoing, names: &Headers) -> Result<(), AttemptError> {
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
