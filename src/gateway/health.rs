//! What a gateway has itself seen of a target, and whether to leave it alone for a while.

use std::time::Duration;

/// First time that a failing target is left alone.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a failing target is left alone.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the failure rate.
const NEWEST: f64 = 0.2;
/// Failure rate from which a target is left alone.
const FAILING: f64 = 0.35;
/// Outcomes that a rate needs before it counts.
const ENOUGH: u32 = 4;

/// How an attempt at a target went, as far as the target is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It could not be connected to, broke off, or said nothing.
    Unreachable,
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    outcomes: u32,
    /// Pauses in a row.
    pauses: u32,
    paused_until: Option<Duration>,
    last_answer: Option<Duration>,
}

impl Health {
    /// Notes an outcome; tells whether the target is now left alone because of it.
    pub fn note(&mut self, now: Duration, outcome: AttemptOutcome) -> bool {
        self.outcomes = self.outcomes.saturating_add(1);
        let failure = if outcome == AttemptOutcome::Answered { 0.0 } else { 1.0 };
        self.failure_rate += NEWEST * (failure - self.failure_rate);
        match outcome {
            AttemptOutcome::Answered => {
                self.last_answer = Some(now);
                if self.failure_rate < FAILING {
                    self.pauses = 0;
                    self.paused_until = None;
                }
                false
            }
            AttemptOutcome::Unreachable => self.pause(now),
            AttemptOutcome::Failed => {
                let failing = self.outcomes >= ENOUGH && self.failure_rate >= FAILING;
                failing && self.pause(now)
            }
        }
    }

    fn pause(&mut self, now: Duration) -> bool {
        if self.paused(now) {
            return false;
        }
        let longer = FIRST_PAUSE * 2u32.saturating_pow(self.pauses.min(8));
        self.paused_until = Some(now + longer.min(LONGEST_PAUSE));
        self.pauses += 1;
        true
    }

    /// Whether the target is left alone now.
    pub fn paused(&self, now: Duration) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether the target comes back from a pause and has not answered since.
    pub fn on_trial(&self, now: Duration) -> bool {
        self.paused_until.is_some_and(|until| now >= until)
    }

    /// When the target last answered.
    pub fn last_answer(&self) -> Option<Duration> {
        self.last_answer
    }

    /// Part of the latest attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
