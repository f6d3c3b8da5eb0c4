//! Limits the requests that a gateway sends to a target that has just started.
//!
//! A cold target can handle a certain rate of requests from all gateways together and fails above
//! it. No gateway sees what the others send, and a target that returns is the home of many prompts,
//! so that all gateways would send to it at once. Each gateway therefore enforces its share by
//! itself: it keeps a gap between two requests that grows with the number of gateways, and sends
//! the first one at a random time within the first gap. docs/design/shifted-work.md compares this
//! with two alternatives: only a few gateways, chosen by hash, send to the target, or members hand
//! out permits.

use std::time::Duration;

/// Fraction of the allowed rate that all gateways together use on average if each of them always
/// has a request for the target.
///
/// It leaves room for the random start times. Simulated with 65 gateways, a limit of 24.5 requests
/// in any second and 400 requests a second for the target: the busiest second of 400 cold periods
/// has 20 requests; with 0.5 it has 23 (test `gateway`, module `cold`).
const USED_FRACTION: f64 = 0.4;
/// Gap where no rate is configured or the number of gateways is unknown: practically no requests.
const MAX_GAP: Duration = Duration::from_secs(24 * 3_600);

/// The limit on requests to a cold target from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Requests per second that the target can handle.
    pub per_s: f64,
    /// Multiple of that rate which is still harmless.
    pub over: f64,
    /// Requests beyond that multiple which are harmless in any one second.
    pub slack: f64,
}

impl ColdRule {
    /// Maximum number of requests in any one second.
    pub fn max_per_second(&self) -> f64 {
        self.per_s * self.over + self.slack
    }

    /// Time between two requests from one gateway to one cold target, where `gateways` share the
    /// limit.
    pub fn gap(&self, gateways: u32) -> Duration {
        let target_rate = self.max_per_second() * USED_FRACTION;
        if gateways == 0 || target_rate <= 0.0 {
            return MAX_GAP;
        }
        Duration::try_from_secs_f64(f64::from(gateways) / target_rate)
            .unwrap_or(MAX_GAP)
            .min(MAX_GAP)
    }
}

/// What a gateway knows of a target's last start, and when it may send the next request while the
/// target is cold.
///
/// Times are since the start of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdState {
    /// Until when the target is cold, as it reported.
    reported_cold_until: Duration,
    /// When its data hall was returned to use, or its heartbeats resumed: it may have restarted
    /// shortly before.
    returned_at: Option<Duration>,
    /// Whether connections to its address were refused: a process that is found there next has just
    /// started.
    absent: bool,
    /// When the next request may be sent; set only while the target is cold.
    next_at: Option<Duration>,
}

impl ColdState {
    /// Records the remaining cold time that the target reported; zero if it is not cold.
    pub fn note_cold_left(&mut self, now: Duration, cold_left: Duration) {
        self.reported_cold_until =
            if cold_left.is_zero() { Duration::ZERO } else { now + cold_left };
    }

    /// Records that the target, or its data hall, takes requests again since `at`.
    pub fn note_returned(&mut self, at: Duration) {
        self.returned_at = Some(at);
    }

    /// Records that nothing listens at its address.
    pub fn note_absent(&mut self) {
        self.absent = true;
    }

    /// Records that a process accepts connections at its address. If nothing did before, that
    /// process has just started.
    pub fn note_present(&mut self, now: Duration) {
        if std::mem::take(&mut self.absent) {
            self.note_returned(now);
        }
    }

    /// When the target, or its data hall, last took requests again, if that ever happened.
    pub fn returned_at(&self) -> Option<Duration> {
        self.returned_at
    }

    /// Whether the target is or may be cold, if it is cold for `cold_start` after a start.
    pub fn cold(&self, now: Duration, cold_start: Duration) -> bool {
        let returned = self.returned_at.is_some_and(|at| now < at + cold_start);
        self.absent || returned || now < self.reported_cold_until
    }

    /// Whether a request may be sent now. `chance`, from 0 to 1, places the first request of a cold
    /// period within the first gap.
    pub fn may_send(
        &mut self,
        now: Duration,
        cold_start: Duration,
        gap: Duration,
        chance: impl FnOnce() -> f64,
    ) -> bool {
        if !self.cold(now, cold_start) {
            self.next_at = None;
            return true;
        }
        now >= *self.next_at.get_or_insert_with(|| now + gap.mul_f64(chance()))
    }

    /// Records that a request is sent now.
    pub fn note_sent(&mut self, now: Duration, gap: Duration) {
        if let Some(next_at) = &mut self.next_at {
            *next_at = now + gap;
        }
    }
}
