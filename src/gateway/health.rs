//! What a gateway has itself seen of a target, and whether to leave it alone for a while.

use std::time::Duration;

use crate::group::evidence::Evidence;

/// First time that a failing target is left alone.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Longest time that a failing target is left alone.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Part of what a tally holds that is kept at the next outcome, so that it holds some eight.
const DECAY_PER_OUTCOME: f64 = 0.88;
/// How long a tally counts after its last outcome.
const TALLY_TTL: Duration = Duration::from_secs(3);
/// Failure rate that is taken as usual at least, since some failures have no cause in the target.
const MIN_EXPECTED_RATE: f64 = 0.05;
/// Failures beyond the usual from which a target does worse, besides the deviations.
const FAILURE_MARGIN: f64 = 1.0;
/// Standard deviations beyond the usual from which a target does worse: with fewer, targets that
/// all fail alike are often taken for worse than each other.
const STD_DEVIATIONS: f64 = 2.5;

/// Failure rate below which an answer ends a pause.
const RECOVERED_FAILURE_RATE: f64 = 0.35;

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
        self.failures = self.failures * DECAY_PER_OUTCOME + failure;
        self.outcomes = self.outcomes * DECAY_PER_OUTCOME + 1.0;
        self.newest = now;
    }

    /// What still counts: nothing, when there was no outcome for long.
    pub fn as_of(self, now: Duration) -> Tally {
        if now < self.newest + TALLY_TTL { self } else { Tally::default() }
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
        let expected_rate = better_half_rate(others).clamp(MIN_EXPECTED_RATE, 1.0);
        let expected = expected_rate * self.outcomes;
        let deviation = (expected * (1.0 - expected_rate)).sqrt();
        self.failures >= expected + FAILURE_MARGIN + STD_DEVIATIONS * deviation
    }
}

/// Failure rate of the better half of those that have any outcomes: work would go to them.
fn better_half_rate(others: &[Tally]) -> f64 {
    let mut with_outcomes: Vec<&Tally> =
        others.iter().filter(|tally| tally.outcomes > 0.0).collect();
    with_outcomes.sort_by(|a, b| a.failure_rate().total_cmp(&b.failure_rate()));
    let better = &with_outcomes[..with_outcomes.len().div_ceil(2)];
    let failures: f64 = better.iter().map(|tally| tally.failures).sum();
    let outcomes: f64 = better.iter().map(|tally| tally.outcomes).sum();
    if outcomes > 0.0 { failures / outcomes } else { 0.0 }
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    tally: Tally,
    /// Pauses in a row.
    ejections: u32,
    ejected_until: Option<Duration>,
    /// Whether the last pause came of requests that it turned away.
    rejected_work: bool,
    last_answer: Option<Duration>,
    /// When it was last left because of what all gateways saw, and what that was.
    ejected_on: Option<(Duration, Evidence)>,
}

impl Health {
    /// Notes an outcome; tells whether the target is now left alone because of it.
    ///
    /// `others` are the targets that could take its work.
    pub fn note(&mut self, now: Duration, outcome: AttemptOutcome, others: &[Tally]) -> bool {
        self.tally.note(now, outcome);
        let ejected_before = self.ejected(now);
        let ejected = self.judge(now, outcome, others);
        if ejected && !ejected_before {
            self.rejected_work = outcome == AttemptOutcome::TurnedAway;
        }
        ejected
    }

    fn judge(&mut self, now: Duration, outcome: AttemptOutcome, others: &[Tally]) -> bool {
        match outcome {
            AttemptOutcome::Answered => {
                self.last_answer = Some(now);
                if self.tally.failure_rate() < RECOVERED_FAILURE_RATE {
                    self.ejections = 0;
                    self.ejected_until = None;
                }
                false
            }
            AttemptOutcome::Unreachable => self.eject(now),
            // A target that turns away at once has nothing in flight, and would look idle for all it refuses.
            AttemptOutcome::Failed | AttemptOutcome::TurnedAway => {
                self.tally.worse_than(others) && self.eject(now)
            }
        }
    }

    /// What all gateways saw since the target was left because of that, if it was.
    pub fn evidence_since_ejection(&self, now: Duration, evidence: &Evidence) -> Evidence {
        match &self.ejected_on {
            Some((at, then)) => evidence.since(then, now.saturating_sub(*at)),
            None => *evidence,
        }
    }

    /// Leaves the target because of what all gateways saw; tells whether it was not left before.
    ///
    /// The gateways come back at times that `chance`, from 0 to 1, spreads over `spread`: what the first of
    /// them meet the others are told.
    pub fn eject_on_evidence(
        &mut self,
        now: Duration,
        evidence: &Evidence,
        spread: Duration,
        chance: f64,
    ) -> bool {
        let on_evidence_before = self.ejected_on.replace((now, *evidence)).is_some();
        if on_evidence_before && self.ejected(now) {
            // What was under way when it was left fails now; the pause is as long as it was.
            return false;
        }
        let doubled = MIN_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        let until = now + doubled.min(MAX_EJECTION) + spread.mul_f64(chance);
        self.ejected_until = self.ejected_until.max(Some(until));
        self.ejections += 1;
        // What others met there may be worse than being turned away.
        self.rejected_work = false;
        true
    }

    /// Comes back to a target that was left because of what all gateways saw, since others are answered
    /// there; tells whether it was left.
    pub fn restore_on_evidence(&mut self, now: Duration) -> bool {
        let ejected = self.ejected_on.take().is_some() && self.ejected(now);
        if ejected {
            self.ejected_until = None;
            self.ejections = 0;
        }
        ejected
    }

    fn eject(&mut self, now: Duration) -> bool {
        if self.ejected(now) {
            return false;
        }
        let doubled = MIN_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + doubled.min(MAX_EJECTION));
        self.ejections += 1;
        true
    }

    /// Whether the target is left alone now.
    pub fn ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the target is left alone because it turns requests away: it lives, and keeps what it has read.
    pub fn rejects_work(&self, now: Duration) -> bool {
        self.rejected_work && (self.ejected(now) || self.on_probation(now))
    }

    /// Whether the target comes back from a pause and has not answered since.
    pub fn on_probation(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
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
