//! How often a gateway may ask a target that has just started.
//!
//! A cold target bears so many requests a second from all gateways together and falls over at more. No gateway
//! sees what the others send, and a target that comes back is the first home of many prompts, so all of them
//! would turn to it at once. Each gateway therefore keeps its part of the rate by itself: one request in a gap
//! that grows with the number of gateways, the first at a time drawn within the first gap. How this does against
//! a few gateways chosen by hash and against permits that members deal out stands in docs/design/shifted-work.md.

use std::time::Duration;

/// Part of what a cold target may get in any second that all gateways together use on average when each
/// always has a request for it. Their draws differ: with 65 gateways, 24.5 requests allowed in any second and 400 that
/// want the target, the fullest second of 400 spells has 20; with 0.5 it has 23 (`gateway: cold`).
const USED_FRACTION: f64 = 0.4;
/// Gap where no rate is stated or nothing is known of the other gateways.
const MAX_GAP: Duration = Duration::from_secs(24 * 3_600);

/// What a cold target may get from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Requests a second that it bears.
    pub per_s: f64,
    /// Multiple of that which still does no harm.
    pub over: f64,
    /// Requests beyond that multiple which do no harm in any second.
    pub slack: f64,
}

impl ColdRule {
    /// Most requests in any second.
    pub fn max_per_second(&self) -> f64 {
        self.per_s * self.over + self.slack
    }

    /// Time between two requests of one of so many gateways to one cold target.
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

/// What a gateway knows of a target's start, and when it may ask it next while it is cold.
///
/// Times are since the start of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdState {
    /// Until when it is cold by its own word.
    reported_cold_until: Duration,
    /// When its data hall was taken back into use, or it was heard again: it may have turned cold shortly before.
    returned_at: Option<Duration>,
    /// Whether nobody was met at its address: whoever is met there next has just started.
    absent: bool,
    /// When it may be asked next, while a spell lasts.
    next_at: Option<Duration>,
}

impl ColdState {
    /// The target said that it stays cold for so long, or for none.
    pub fn note_cold_left(&mut self, now: Duration, cold_left: Duration) {
        self.reported_cold_until =
            if cold_left.is_zero() { Duration::ZERO } else { now + cold_left };
    }

    /// It, or its data hall, takes work again since `at`.
    pub fn note_returned(&mut self, at: Duration) {
        self.returned_at = Some(at);
    }

    /// Nobody listens at its address.
    pub fn note_absent(&mut self) {
        self.absent = true;
    }

    /// Somebody was met at its address: a start begins now at the latest, if nobody was there before.
    pub fn note_present(&mut self, now: Duration) {
        if std::mem::take(&mut self.absent) {
            self.note_returned(now);
        }
    }

    /// When it, or its data hall, took work again, if it ever was away.
    pub fn returned_at(&self) -> Option<Duration> {
        self.returned_at
    }

    /// Whether it is cold, or may be, where a start takes `cold_start`.
    pub fn cold(&self, now: Duration, cold_start: Duration) -> bool {
        let returned = self.returned_at.is_some_and(|at| now < at + cold_start);
        self.absent || returned || now < self.reported_cold_until
    }

    /// Whether it may be asked now; `chance` from 0 to 1 draws the time of the first request of a spell.
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

    /// A request goes to it now.
    pub fn note_sent(&mut self, now: Duration, gap: Duration) {
        if let Some(next_at) = &mut self.next_at {
            *next_at = now + gap;
        }
    }
}
