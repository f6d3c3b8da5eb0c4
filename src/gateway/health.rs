//! What a gateway has itself seen of a target, and whether to leave it alone for a while.

use std::time::Duration;

use crate::group::evidence::Evidence;

/// First time that a failing target is left alone.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a failing target is left alone.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Part of what a tally holds that is kept at the next outcome, so that it holds some eight.
const KEPT: f64 = 0.88;
/// How long a tally counts after its last outcome.
const TALLY_HOLDS_FOR: Duration = Duration::from_secs(3);
/// Failure rate that is taken as usual at least, since some failures have no cause in the target.
const LEAST_USUAL: f64 = 0.05;
/// Failures beyond the usual from which a target does worse, besides the deviations.
const BEYOND: f64 = 1.0;
/// Standard deviations beyond the usual from which a target does worse: with fewer, targets that
/// all fail alike are often taken for worse than each other.
const DEVIATIONS: f64 = 2.5;

/// Failure rate below which an answer ends a pause.
const CALM: f64 = 0.35;

/// How an attempt at a target went, as far as the target is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own, broke off, or said nothing.
    Failed,
    /// It did not run the request, and said so.
    TurnedAway,
    /// It could not be connected to.
    Unreachable,
}

/// How the latest attempts at a target went, the newest counting most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    failures: f64,
    outcomes: f64,
    newest: Duration,
}

impl Tally {
    /// So many failures among so many outcomes, told just now.
    pub fn of(now: Duration, failures: f64, outcomes: f64) -> Self {
        Tally { failures, outcomes, newest: now }
    }

    /// Counts an outcome.
    pub fn note(&mut self, now: Duration, outcome: AttemptOutcome) {
        *self = self.as_of(now);
        let failure = if outcome == AttemptOutcome::Answered { 0.0 } else { 1.0 };
        self.failures = self.failures * KEPT + failure;
        self.outcomes = self.outcomes * KEPT + 1.0;
        self.newest = now;
    }

    /// What still counts: nothing, when there was no outcome for long.
    pub fn as_of(self, now: Duration) -> Tally {
        if now < self.newest + TALLY_HOLDS_FOR { self } else { Tally::default() }
    }

    /// Part of the attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        if self.outcomes > 0.0 { self.failures / self.outcomes } else { 0.0 }
    }

    /// Whether failures are clearly more than those of the others, to which work would go instead.
    ///
    /// Where all fail alike nothing is won by leaving one alone, and what it keeps of prompts would
    /// have to be read again elsewhere.
    pub fn worse_than(&self, others: &[Tally]) -> bool {
        if others.is_empty() {
            return false;
        }
        let usual = usual_rate(others).clamp(LEAST_USUAL, 1.0);
        let expected = usual * self.outcomes;
        let deviation = (expected * (1.0 - usual)).sqrt();
        self.failures >= expected + BEYOND + DEVIATIONS * deviation
    }
}

/// Failure rate of the better half of those that have any outcomes: work would go to them.
fn usual_rate(others: &[Tally]) -> f64 {
    let mut tried: Vec<&Tally> = others.iter().filter(|tally| tally.outcomes > 0.0).collect();
    tried.sort_by(|a, b| a.failure_rate().total_cmp(&b.failure_rate()));
    let better = &tried[..tried.len().div_ceil(2)];
    let failures: f64 = better.iter().map(|tally| tally.failures).sum();
    let outcomes: f64 = better.iter().map(|tally| tally.outcomes).sum();
    if outcomes > 0.0 { failures / outcomes } else { 0.0 }
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    tally: Tally,
    /// Pauses in a row.
    pauses: u32,
    paused_until: Option<Duration>,
    /// Whether the last pause came of requests that it turned away.
    turned_away: bool,
    last_answer: Option<Duration>,
    /// When it was last left because of what all gateways saw, and what that was.
    left_together: Option<(Duration, Evidence)>,
}

impl Health {
    /// Notes an outcome; tells whether the target is now left alone because of it.
    ///
    /// `others` are the targets that could take its work.
    pub fn note(&mut self, now: Duration, outcome: AttemptOutcome, others: &[Tally]) -> bool {
        self.tally.note(now, outcome);
        let paused_before = self.paused(now);
        let paused = self.judge(now, outcome, others);
        if paused && !paused_before {
            self.turned_away = outcome == AttemptOutcome::TurnedAway;
        }
        paused
    }

    fn judge(&mut self, now: Duration, outcome: AttemptOutcome, others: &[Tally]) -> bool {
        match outcome {
            AttemptOutcome::Answered => {
                self.last_answer = Some(now);
                if self.tally.failure_rate() < CALM {
                    self.pauses = 0;
                    self.paused_until = None;
                }
                false
            }
            AttemptOutcome::Unreachable => self.pause(now),
            // A target that turns away at once has nothing in flight, and would look idle for all it refuses.
            AttemptOutcome::Failed | AttemptOutcome::TurnedAway => {
                self.tally.worse_than(others) && self.pause(now)
            }
        }
    }

    /// What all gateways saw since the target was left because of that, if it was.
    pub fn since_left(&self, now: Duration, evidence: &Evidence) -> Evidence {
        match &self.left_together {
            Some((at, then)) => evidence.since(then, now.saturating_sub(*at)),
            None => *evidence,
        }
    }

    /// Leaves the target because of what all gateways saw; tells whether it was not left before.
    ///
    /// The gateways come back at times that `chance`, from 0 to 1, spreads over `spread`: what the first of
    /// them meet the others are told.
    pub fn leave_together(
        &mut self,
        now: Duration,
        evidence: &Evidence,
        spread: Duration,
        chance: f64,
    ) -> bool {
        let left_before = self.left_together.replace((now, *evidence)).is_some();
        if left_before && self.paused(now) {
            // What was under way when it was left fails now; the pause is as long as it was.
            return false;
        }
        let longer = FIRST_PAUSE * 2u32.saturating_pow(self.pauses.min(8));
        let until = now + longer.min(LONGEST_PAUSE) + spread.mul_f64(chance);
        self.paused_until = self.paused_until.max(Some(until));
        self.pauses += 1;
        // What others met there may be worse than being turned away.
        self.turned_away = false;
        true
    }

    /// Comes back to a target that was left because of what all gateways saw, since others are answered
    /// there; tells whether it was left.
    pub fn return_together(&mut self, now: Duration) -> bool {
        let left = self.left_together.take().is_some() && self.paused(now);
        if left {
            self.paused_until = None;
            self.pauses = 0;
        }
        left
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

    /// Whether the target is left alone because it turns requests away: it lives, and keeps what it has read.
    pub fn turns_away(&self, now: Duration) -> bool {
        self.turned_away && (self.paused(now) || self.on_trial(now))
    }

    /// Whether the target comes back from a pause and has not answered since.
    pub fn on_trial(&self, now: Duration) -> bool {
        self.paused_until.is_some_and(|until| now >= until)
    }

    /// When the target last answered.
    pub fn last_answer(&self) -> Option<Duration> {
        self.last_answer
    }

    /// How the latest attempts went.
    pub fn tally(&self, now: Duration) -> Tally {
        self.tally.as_of(now)
    }
}
