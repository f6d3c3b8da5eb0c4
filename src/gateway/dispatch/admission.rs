//! How many requests a gateway that dispatches to a brittle target sends there.
//!
//! The target states how many rejections in a second it withstands, and it may at any time have less room than before.
//! So only few requests are sent whose rejection could still be on its way; after a rejection the limit is lowered to
//! what the target had taken, and is raised again step by step.

use std::collections::VecDeque;
use std::time::Duration;

/// A request that was not rejected within this time after it was sent counts as taken, if it raised the number in flight
/// above what the target lately had.
const RISE_DELAY: Duration = Duration::from_millis(10);
/// The same for one that did not: only a loss of room at that very moment would have it rejected.
const STEADY_DELAY: Duration = Duration::from_millis(3);
/// How long a number in flight counts as one that the target lately had.
const LEVEL_TTL: Duration = Duration::from_millis(100);
/// Fraction of the withstood rejections that may be used up: other senders may cause some too.
const USED_FRACTION: f64 = 0.8;
/// Fraction of the rejections withstood in a second that a single wave of requests may cause.
const WAVE_FRACTION: f64 = 0.25;
/// Bounds of the time after an unexpected rejection in which only half of the limit is used.
const CAUTION_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Bounds of the time between two raises of the limit.
const RAISE_BOUNDS: (f64, f64) = (0.5, 5.0);

/// Time in which rejections count towards the end of a target: a second, and until its end is noticed.
const FALL_WINDOW: Duration = Duration::from_millis(1_500);
/// Maximum number of rejections that are remembered.
const MAX_REJECTIONS: usize = 64;

/// A gateway's part of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Requests that it may have in flight there if the target has room for all that it announced.
    pub slots: f64,
    /// Rejections in a second that it may cause.
    pub withstands: f64,
}

impl Part {
    /// The part of one of `dispatchers` gateways that dispatch to the same target.
    pub fn of(slots: u32, withstands: u32, dispatchers: usize) -> Self {
        let dispatchers = dispatchers.max(1) as f64;
        Part {
            slots: (f64::from(slots) / dispatchers).max(1.0),
            withstands: f64::from(withstands) / dispatchers,
        }
    }

    fn usable_rejections(self) -> f64 {
        (self.withstands * USED_FRACTION).max(f64::MIN_POSITIVE)
    }

    /// Requests that may be on their way without it being known whether they are taken.
    fn wave(self) -> usize {
        ((self.withstands * WAVE_FRACTION) as usize).max(1)
    }

    /// How long to be cautious after a rejection, so that waves of rejections stay below what the target withstands.
    fn caution(self) -> Duration {
        let waves_per_s = self.usable_rejections() / self.wave() as f64 - 1.0;
        let seconds = if waves_per_s > 0.0 { 1.0 / waves_per_s } else { CAUTION_BOUNDS.1 };
        Duration::from_secs_f64(seconds.clamp(CAUTION_BOUNDS.0, CAUTION_BOUNDS.1))
    }

    /// Time between two raises, each of which may cause a wave of rejections.
    fn raise_interval(self) -> Duration {
        let seconds = 2.0 * self.wave() as f64 / self.usable_rejections();
        Duration::from_secs_f64(seconds.clamp(RAISE_BOUNDS.0, RAISE_BOUNDS.1))
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// Now; it counts as sent.
    Now,
    /// Not before it is known whether the target takes those before it.
    After(Duration),
    /// Not while so many are in flight.
    Full,
}

/// The limit that a target was found to have.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    requests: f64,
    /// By how much it is raised next.
    step: f64,
    raise_at: Duration,
}

/// What a gateway that dispatches to a target found out about its room. Times are since the start of the gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admission {
    /// `None` while the target seems to have room for all that it announced.
    limit: Option<Limit>,
    cautious_until: Duration,
    /// When requests that may still be rejected count as taken.
    unconfirmed: Vec<Duration>,
    /// Requests that the target lately had in flight, and until when that counts.
    level: (f64, Duration),
    /// When the target rejected requests for want of room in the last [`FALL_WINDOW`].
    rejections: VecDeque<Duration>,
}

impl Admission {
    /// Whether one more request may be sent while `in_flight` are at the target.
    pub fn admit(&mut self, now: Duration, in_flight: u32, part: Part) -> Admitted {
        let in_flight = f64::from(in_flight);
        if in_flight + 1.0 > self.allowed(now, part) && !self.raise(now, in_flight, part) {
            return Admitted::Full;
        }
        self.unconfirmed.retain(|taken_at| now < *taken_at);
        self.note_level(now, in_flight - self.unconfirmed.len() as f64);
        if let Some(first) = self.unconfirmed.iter().min()
            && self.unconfirmed.len() >= part.wave()
        {
            return Admitted::After(first.saturating_sub(now));
        }
        let rises = in_flight + 1.0 > self.level.0;
        self.unconfirmed.push(now + if rises { RISE_DELAY } else { STEADY_DELAY });
        Admitted::Now
    }

    /// Records that the target has taken `level` requests that are in flight now.
    fn note_level(&mut self, now: Duration, level: f64) {
        if level >= self.level.0 || now >= self.level.1 {
            self.level = (level, now + LEVEL_TTL);
        }
    }

    /// Records that the target had no room for a request while `others` more were in flight.
    pub fn note_rejected(&mut self, now: Duration, others: u32, part: Part) {
        self.rejections.retain(|earlier| now < *earlier + FALL_WINDOW);
        self.rejections.push_back(now);
        if self.rejections.len() > MAX_REJECTIONS {
            self.rejections.pop_front();
        }
        self.level = (0.0, now);
        if others == 0 {
            // An idle target does not reject for want of places.
            return;
        }
        let taken = f64::from(others);
        let probed = self.limit.is_some_and(|limit| taken + 1.0 > limit.requests - limit.step);
        let requests = self.limit.map_or(taken, |limit| limit.requests.min(taken)).min(part.slots);
        let raise_at = now + part.raise_interval() * 2;
        self.limit = Some(Limit { requests, step: first_step(part), raise_at });
        if !probed {
            self.cautious_until = now + part.caution();
        }
    }

    /// Requests that may be in flight at the target, as far as is known; `None` if it was never found full.
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.requests)
    }

    /// Whether the target rejected as many requests of this gateway lately as it withstands, so that these explain its
    /// end.
    pub fn explains_end(&self, now: Duration, withstands: u32) -> bool {
        let recent = self.rejections.iter().filter(|at| now < **at + FALL_WINDOW);
        recent.count() >= (withstands.max(1) as usize).min(MAX_REJECTIONS)
    }

    fn allowed(&self, now: Duration, part: Part) -> f64 {
        let limit = self.limit.map_or(part.slots, |limit| limit.requests.min(part.slots));
        if now < self.cautious_until { (limit / 2.0).floor().max(1.0) } else { limit }
    }

    /// Raises the limit if that is due, and returns whether one more request may be sent.
    fn raise(&mut self, now: Duration, in_flight: f64, part: Part) -> bool {
        let due = now >= self.cautious_until;
        let Some(limit) = self.limit.as_mut().filter(|limit| due && now >= limit.raise_at) else {
            return false;
        };
        limit.requests += limit.step;
        limit.step *= 2.0;
        limit.raise_at = now + part.raise_interval();
        let allowed = limit.requests.min(part.slots);
        if limit.requests >= part.slots {
            self.limit = None;
        }
        in_flight + 1.0 <= allowed
    }
}

/// First step by which a limit is raised.
fn first_step(part: Part) -> f64 {
    (part.slots / 16.0).max(1.0)
}
