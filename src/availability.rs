//! Whether a target may be sent requests. That depends on the target's own reports (that it shuts down, or
//! `Retry-After`), on its state in the list of targets, and on the evacuation of its data hall.
//!
//! Every path that sends to a target checks this twice: before the target is chosen, and again once a connection is
//! open. So a report received with any answer applies to everything that is sent later.

use std::time::Duration;

use crate::retry_after::RetryAfter;

/// Back-off for a target whose `Retry-After` is not a number of seconds.
const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);
/// How long a new incarnation of a target may answer before the list of targets shows it.
const UNLISTED_WINDOW: Duration = Duration::from_secs(5);
/// Upper bound of a back-off; a target that asks for more is sent requests again after this time.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// The return from a back-off is over once the number of concurrent requests allowed from this process reaches this.
const RETURN_COMPLETE_AT: u32 = 16;

/// What a target may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Any request.
    Open,
    /// The target returns from a back-off: it may get `allowed` concurrent requests from this process, and more only if
    /// no other target is suitable.
    Returning {
        /// Concurrent requests from this process.
        allowed: u32,
    },
    /// No request before that time, since the target asked for a back-off.
    BackingOff {
        /// End of the back-off.
        until: Duration,
    },
    /// No request, since its data hall is evacuated.
    Evacuated,
    /// No request any more, since it shuts down.
    ShuttingDown,
}

impl Eligibility {
    /// Whether the target may be sent a request.
    pub fn accepts_work(self) -> bool {
        matches!(self, Eligibility::Open | Eligibility::Returning { .. })
    }

    /// Time until its back-off ends; `None` if it is not backing off.
    pub fn backoff_left(self, now: Duration) -> Option<Duration> {
        match self {
            Eligibility::BackingOff { until } => Some(until.saturating_sub(now)),
            _ => None,
        }
    }

    /// Whether other targets are preferred because the target returns from a back-off and already has `in_flight`
    /// requests from this process.
    pub fn over_return_limit(self, in_flight: u32) -> bool {
        matches!(self, Eligibility::Returning { allowed } if in_flight >= allowed)
    }
}

/// A back-off that a target asked for, and its return afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Backoff {
    requested_at: Duration,
    until: Duration,
    /// When this process starts to send to it again. Drawn at random, so that it differs between gateways.
    returns_at: Duration,
    /// Concurrent requests allowed during the return.
    allowed: u32,
}

/// What is known for good of one incarnation of a target: what it reported in its answers, and that it shuts down. It
/// stays valid if that incarnation is listed anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnReport {
    shutting_down: bool,
    backoff: Option<Backoff>,
}

/// Whether one incarnation of a target may be sent requests, from all sources. Times are those of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    listed_draining: bool,
    evacuated: bool,
    reported: OwnReport,
}

impl Availability {
    /// Records that the list of targets shows it as draining. This is final: a later list that shows it otherwise tells
    /// that its heartbeats are missed or came late, not that it stays.
    pub fn record_listed_draining(&mut self) {
        self.listed_draining = true;
    }

    /// Sets whether its data hall is evacuated.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
    }

    /// Records that an answer of the target said that it shuts down. This is final, since answers and lists may arrive
    /// out of order. Returns whether it was not known yet.
    pub fn record_shutdown(&mut self) -> bool {
        !std::mem::replace(&mut self.reported.shutting_down, true)
    }

    /// Records that the target asked for a back-off. Answers may arrive out of order, so the latest end of all
    /// back-offs applies. The return begins after a further fraction `chance` (random, from 0 to 1) of `spread`.
    pub fn back_off(
        &mut self,
        now: Duration,
        retry_after: RetryAfter,
        spread: Duration,
        chance: f64,
    ) {
        let length = match retry_after {
            RetryAfter::In(length) => length.min(MAX_BACKOFF),
            RetryAfter::Unclear => DEFAULT_BACKOFF,
        };
        let until = now + length;
        let before = self.reported.backoff.map_or(Duration::ZERO, |backoff| backoff.until);
        if !length.is_zero() && until > before {
            let returns_at = until + spread.mul_f64(chance);
            self.reported.backoff =
                Some(Backoff { requested_at: now, until, returns_at, allowed: 1 });
        }
    }

    /// Records that the target answered a request without turning it away. Once its return has begun, this doubles the
    /// allowed concurrent requests.
    pub fn record_answer(&mut self, now: Duration) {
        if let Some(backoff) =
            self.reported.backoff.as_mut().filter(|backoff| now >= backoff.returns_at)
        {
            backoff.allowed *= 2;
            if backoff.allowed >= RETURN_COMPLETE_AT {
                self.reported.backoff = None;
            }
        }
    }

    /// What the target may be sent now.
    pub fn eligibility(&self, now: Duration) -> Eligibility {
        if self.shutting_down() {
            return Eligibility::ShuttingDown;
        }
        if self.evacuated {
            return Eligibility::Evacuated;
        }
        match self.reported.backoff {
            Some(Backoff { until, .. }) if now < until => Eligibility::BackingOff { until },
            Some(Backoff { returns_at, .. }) if now < returns_at => {
                Eligibility::Returning { allowed: 0 }
            }
            Some(Backoff { allowed, .. }) => Eligibility::Returning { allowed },
            None => Eligibility::Open,
        }
    }

    /// Whether it shuts down, by its own report or by the list of targets.
    pub fn shutting_down(&self) -> bool {
        self.listed_draining || self.reported.shutting_down
    }

    /// Whether it is neither shutting down nor evacuated. A target that backs off is in service.
    pub fn in_service(&self) -> bool {
        !self.shutting_down() && !self.evacuated
    }

    /// What is known for good of this incarnation; `None` if nothing is.
    pub fn own_report(&self) -> Option<OwnReport> {
        let report = OwnReport { shutting_down: self.shutting_down(), ..self.reported };
        (report != OwnReport::default()).then_some(report)
    }

    /// The part of the report that may come from the next incarnation under the same identity: a back-off requested
    /// within `UNLISTED_WINDOW`, since a new incarnation may answer before the list of targets shows it.
    pub fn next_incarnation_report(&self, now: Duration) -> Option<OwnReport> {
        let backoff =
            self.reported.backoff.filter(|backoff| now < backoff.requested_at + UNLISTED_WINDOW);
        backoff.map(|backoff| OwnReport { shutting_down: false, backoff: Some(backoff) })
    }

    /// Merges a report that the same incarnation made while it was listed before.
    pub fn restore(&mut self, report: OwnReport) {
        self.reported.shutting_down |= report.shutting_down;
        let until = |backoff: &Option<Backoff>| backoff.map(|backoff| backoff.until);
        self.reported.backoff =
            [self.reported.backoff, report.backoff].into_iter().max_by_key(until).flatten();
    }
}
