//! Retries: decide whether and when a request is attempted again.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::reason::{Outcome, Reason};

/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Number of retries that a budget starts with, and the maximum that it accumulates.
const BUDGET_CAPACITY: f64 = 10.0;
const BACKOFF_BASE: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Limits retries to a share of the successes, so that retries can't amplify an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a budget of `percent` retries per hundred successes.
    pub fn new(percent: f64) -> Self {
        Budget { share: percent / 100.0, tokens: BUDGET_CAPACITY }
    }

    /// Adds the share of a retry that a success allows.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(BUDGET_CAPACITY);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.share > 0.0 && self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// What to do after an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Attempt the request again after this delay.
    Retry(Duration),
    /// Answer now with this reason.
    GiveUp(Reason),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeatable: bool,
    deadline: Duration,
    made: u32,
    /// The first reason after which a target may have run the request.
    may_have_run: Option<Reason>,
}

impl Attempts {
    /// Creates the state of a request that must be answered by `deadline`. `repeatable` is whether it may run twice.
    pub fn new(repeatable: bool, deadline: Duration) -> Self {
        Attempts { repeatable, deadline, made: 0, may_have_run: None }
    }

    /// Decides what to do after an attempt failed with `reason` at `now`.
    ///
    /// A request that may have run is attempted again only if it is repeatable. Once it may have run, its final answer
    /// never says that it did not.
    pub fn failed(
        &mut self,
        now: Duration,
        reason: Reason,
        budget: &mut Budget,
        rng: &mut impl Rng,
    ) -> Next {
        self.made += 1;
        if reason.outcome() != Outcome::NotRun {
            self.may_have_run = self.may_have_run.or(Some(reason));
        }
        let wait = backoff(self.made, rng);
        // The targets asked for a back-off, so a retry before its end would fail too.
        let allowed = (self.may_have_run.is_none() || self.repeatable) && reason != Reason::Resting;
        let in_time = now + wait < self.deadline;
        if allowed && in_time && self.made < MAX_ATTEMPTS && budget.spend() {
            return Next::Retry(wait);
        }
        Next::GiveUp(self.final_reason(reason))
    }

    /// The reason to answer with when the last attempt failed with `reason`.
    pub fn final_reason(&self, reason: Reason) -> Reason {
        match reason.outcome() {
            Outcome::NotRun => self.may_have_run.unwrap_or(reason),
            Outcome::Ran | Outcome::Unknown => reason,
        }
    }
}

/// Exponential back-off with full jitter, after `made` attempts.
fn backoff(made: u32, rng: &mut impl Rng) -> Duration {
    let longest = BACKOFF_BASE * 2u32.saturating_pow(made.saturating_sub(1).min(10));
    longest.min(BACKOFF_MAX).mul_f64(rng.random_range(0.0..1.0))
}
