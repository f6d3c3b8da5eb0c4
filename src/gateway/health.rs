//! Outlier detection: a target that fails more often than the other targets of its service is
//! ejected, that is, used only if there is no other, for a while.

use std::time::Duration;

use crate::group::evidence::Evidence;

/// Length of the first ejection. Each further ejection in a row doubles it.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum length of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Weight that a tally keeps at each new outcome. The weights add up to about eight outcomes.
const DECAY_PER_OUTCOME: f64 = 0.88;
/// How long a tally is used after its last outcome.
const TALLY_TTL: Duration = Duration::from_secs(3);
/// Minimum failure rate assumed for the other targets, since some failures are not caused by the
/// target.
const MIN_EXPECTED_RATE: f64 = 0.05;
/// Failures above the expected number at which a target counts as worse, in addition to the
/// standard deviations.
const FAILURE_MARGIN: f64 = 1.0;
/// Standard deviations above the expected number of failures at which a target counts as worse.
/// With fewer, targets that all fail at the same rate are often judged worse than each other.
const STD_DEVIATIONS: f64 = 2.5;

/// Failure rate below which an answer ends an ejection.
const RECOVERED_FAILURE_RATE: f64 = 0.35;

/// Outcome of an attempt as far as the target is responsible for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target answered with a server error, broke off the answer, or did not answer in time.
    Failed,
    /// The target said that it did not run the request.
    TurnedAway,
    /// The target could not be connected to.
    Unreachable,
}

/// Exponentially decaying counts of failed attempts and of all attempts at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    failures: f64,
    outcomes: f64,
    newest: Duration,
}

impl Tally {
    /// A tally of `failures` among `outcomes` attempts, up to date at `now`.
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

    /// The tally, or an empty one if the last outcome is older than `TALLY_TTL`.
    pub fn as_of(self, now: Duration) -> Tally {
        if now < self.newest + TALLY_TTL { self } else { Tally::default() }
    }

    /// Fraction of the attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        if self.outcomes > 0.0 { self.failures / self.outcomes } else { 0.0 }
    }

    /// Whether the failures are significantly more than those of the other targets, which would
    /// take over the work.
    ///
    /// Where all targets fail alike, ejecting one gains nothing, and the prompts it has cached
    /// would have to be processed again elsewhere.
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

/// Failure rate of the better half of the targets that have any outcomes, since these would take
/// over the work.
fn better_half_rate(others: &[Tally]) -> f64 {
    let mut with_outcomes: Vec<&Tally> =
        others.iter().filter(|tally| tally.outcomes > 0.0).collect();
    with_outcomes.sort_by(|a, b| a.failure_rate().total_cmp(&b.failure_rate()));
    let better = &with_outcomes[..with_outcomes.len().div_ceil(2)];
    let failures: f64 = better.iter().map(|tally| tally.failures).sum();
    let outcomes: f64 = better.iter().map(|tally| tally.outcomes).sum();
    if outcomes > 0.0 { failures / outcomes } else { 0.0 }
}

/// Failure history and ejection state of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    tally: Tally,
    /// Ejections in a row.
    ejections: u32,
    ejected_until: Option<Duration>,
    /// Whether the last ejection was caused by requests that the target rejected without running
    /// them.
    rejected_work: bool,
    last_answer: Option<Duration>,
    /// When the target was last ejected on the evidence of all gateways, and that evidence.
    ejected_on: Option<(Duration, Evidence)>,
}

impl Health {
    /// Counts an outcome and returns whether the target is ejected because of it.
    ///
    /// `others` are the targets that could take over its work.
    pub fn note(&mut self, now: Duration, outcome: AttemptOutcome, others: &[Tally]) -> bool {
        self.tally.note(now, outcome);
        let ejected_before = self.ejected(now);
        let ejected = self.judge(now, outcome, others);
        if ejected && !ejected_before {
            self.rejected_work = outcome == AttemptOutcome::TurnedAway;
        }
        ejected
    }

    /// Forgets the failures and ends the ejection that they led to: the gateway itself could not reach the target.
    pub fn forget_failures(&mut self) {
        self.tally = Tally::default();
        self.ejections = 0;
        self.ejected_until = None;
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
            // A target that rejects requests at once has nothing in flight and would seem idle, so
            // that it would attract more and more of them.
            AttemptOutcome::Failed | AttemptOutcome::TurnedAway => {
                self.tally.worse_than(others) && self.eject(now)
            }
        }
    }

    /// The evidence of all gateways since the target was ejected on it; all of it if it never was.
    pub fn evidence_since_ejection(&self, now: Duration, evidence: &Evidence) -> Evidence {
        match &self.ejected_on {
            Some((at, then)) => evidence.since(then, now.saturating_sub(*at)),
            None => *evidence,
        }
    }

    /// Ejects the target on the evidence of all gateways. Returns false if it is still ejected on
    /// earlier evidence.
    ///
    /// `chance`, from 0 to 1, places the end of this gateway's ejection within `spread`, so that
    /// the gateways return one after the other and the later ones learn the first ones' outcomes
    /// before.
    pub fn eject_on_evidence(
        &mut self,
        now: Duration,
        evidence: &Evidence,
        spread: Duration,
        chance: f64,
    ) -> bool {
        let on_evidence_before = self.ejected_on.replace((now, *evidence)).is_some();
        if on_evidence_before && self.ejected(now) {
            // These failures are of requests that were in flight at the ejection: it is not
            // prolonged.
            return false;
        }
        let doubled = MIN_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        let until = now + doubled.min(MAX_EJECTION) + spread.mul_f64(chance);
        self.ejected_until = self.ejected_until.max(Some(until));
        self.ejections += 1;
        // Failures at other gateways may be worse than rejected requests.
        self.rejected_work = false;
        true
    }

    /// Ends an ejection on the evidence of all gateways, since other gateways' requests are
    /// answered. Returns whether the target was ejected.
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

    /// Whether the target is ejected now.
    pub fn ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the target was ejected for rejecting requests: it is running, and its prompt cache
    /// is intact.
    pub fn rejects_work(&self, now: Duration) -> bool {
        self.rejected_work && (self.ejected(now) || self.on_probation(now))
    }

    /// Whether an ejection has ended and the failure rate has not recovered since.
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
