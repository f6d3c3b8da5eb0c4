//! Replaces answers that fall silent.
//!
//! A silent target may go on at any moment, and the others may have no room. So a silent answer stays open until another
//! target has begun to answer, and the first of the two to go on is relayed.

use std::pin::pin;

use super::exchange::RequestState;
use super::refusal::Refusal;
use crate::clock::Instant;
use crate::rollout::tally::Subject;
use crate::run_clock::RunClock;

/// What became of an answer that fell silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome<S, A> {
    /// It went on.
    WentOn(S),
    /// Another target has begun to answer.
    Replaced(A, Silent),
    /// Neither happened before the deadline; why there is no other answer.
    Lost(Refusal, Silent),
}

/// State of a silent answer that did not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silent {
    /// It was still open.
    Open,
    /// It broke off.
    BrokeOff,
}

impl<S, A> Outcome<S, A> {
    /// Name in logs and metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Outcome::WentOn(_) => "went_on",
            Outcome::Replaced(..) => "replaced",
            Outcome::Lost(..) => "lost",
        }
    }
}

/// Waits for the silent answer and for that of another target, and returns the one that comes first. If there will be
/// no other, goes on to wait for the silent one until the deadline.
///
/// `silent` returns `None` if the silent answer breaks off.
pub async fn replace<S, A>(
    clock: &RunClock,
    deadline: Instant,
    silent: impl Future<Output = Option<S>>,
    other: impl Future<Output = Result<A, Refusal>>,
) -> Outcome<S, A> {
    let (mut silent, mut other) = (pin!(silent), pin!(other));
    let answer = tokio::select! {
        biased;
        went_on = &mut silent => match went_on {
            Some(went_on) => return Outcome::WentOn(went_on),
            None => return match other.await {
                Ok(answer) => Outcome::Replaced(answer, Silent::BrokeOff),
                Err(refusal) => Outcome::Lost(refusal, Silent::BrokeOff),
            },
        },
        answer = &mut other => answer,
    };
    match answer {
        Ok(answer) => Outcome::Replaced(answer, Silent::Open),
        Err(refusal) => match clock.before(deadline, silent).await {
            Some(Some(went_on)) => Outcome::WentOn(went_on),
            Some(None) => Outcome::Lost(refusal, Silent::BrokeOff),
            None => Outcome::Lost(refusal, Silent::Open),
        },
    }
}

/// What a request's state says of its current attempt. The next attempt overwrites it.
#[derive(Clone, Copy)]
pub(super) struct AttemptRecord {
    counted_under: Option<(Subject, Instant)>,
    events_since: Option<Instant>,
}

impl AttemptRecord {
    pub(super) fn of(state: &RequestState) -> Self {
        AttemptRecord { counted_under: state.counted_under, events_since: state.events_since }
    }

    /// Makes the attempt the current one again, and returns the record of the one that was.
    pub(super) fn swap_into(self, state: &mut RequestState) -> Self {
        let current = AttemptRecord::of(state);
        state.counted_under = self.counted_under;
        state.events_since = self.events_since;
        current
    }
}
