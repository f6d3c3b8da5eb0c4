//! Retries: what may be tried again, how often, and when.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::reason::{Outcome, Reason};

/// Most attempts of one request, the first counted.
pub const MAX_ATTEMPTS: u32 = 3;
/// Retries that a budget holds at the start and at most saves up.
const BUDGET_CAPACITY: f64 = 10.0;
const BACKOFF_BASE: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Retries allowed as a share of recent successes, so that retries can't amplify an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// A budget of `percent` retries for each hundred successes.
    pub fn new(percent: f64) -> Self {
        Budget { share: percent / 100.0, tokens: BUDGET_CAPACITY }
    }

    /// Notes a success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(BUDGET_CAPACITY);
    }

    /// Takes one retry, if there is one.
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
    /// Try again after this wait.
    Retry(Duration),
    /// Answer with this reason, now.
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
    /// A request that must end by `deadline`.
    pub fn new(repeatable: bool, deadline: Duration) -> Self {
        Attempts { repeatable, deadline, made: 0, may_have_run: None }
    }

    /// Decides after an attempt ended for `reason` at `now`.
    ///
    /// A request that may have run is tried again only when it is repeatable, and once it may have
    /// run its final answer never says that it did not.
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
        // Nothing changes before the rest ends.
        let allowed = (self.may_have_run.is_none() || self.repeatable) && reason != Reason::Resting;
        let in_time = now + wait < self.deadline;
        if allowed && in_time && self.made < MAX_ATTEMPTS && budget.spend() {
            return Next::Retry(wait);
        }
        Next::GiveUp(self.final_reason(reason))
    }

    /// The reason to give when the request ends for `reason`.
    pub fn final_reason(&self, reason: Reason) -> Reason {
        match reason.outcome() {
            Outcome::NotRun => self.may_have_run.unwrap_or(reason),
            Outcome::Ran | Outcome::Unknown => reason,
        }
    }
}

/// Exponential wait with full jitter before the attempt after `made` ones.
fn backoff(made: u32, rng: &mut impl Rng) -> Duration {
    let longest = BACKOFF_BASE * 2u32.saturating_pow(made.saturating_sub(1).min(10));
    longest.min(BACKOFF_MAX).mul_f64(rng.random_range(0.0..1.0))
}
