//! How attempts at a target went lately, as it is told to the other gateways.
//!
//! Where many gateways share many targets, each sends a target a request only now and then, and would
//! need long to find by itself that it fails. What all of them see tells within a second.

use std::time::Duration;

use super::health::FAILING;

/// Time in which what was seen comes to count half.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Parts that counts are told in.
const TOLD_PARTS: f64 = 10.0;
/// Failures that a fleet must have seen before a target is left alone by all.
const ENOUGH: f64 = 4.0;

/// Counts of one gateway, which fade.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    failed: f64,
    answered: f64,
    at: Duration,
}

/// Counts of one or more gateways, in tenths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToldOutcomes {
    /// Attempts that failed.
    pub failed: u32,
    /// Attempts that were answered.
    pub answered: u32,
}

impl Outcomes {
    /// Notes how an attempt went.
    pub fn note(&mut self, now: Duration, failed: bool) {
        self.fade(now);
        let count = if failed { &mut self.failed } else { &mut self.answered };
        *count += 1.0;
    }

    /// The counts as they are now.
    pub fn told(&mut self, now: Duration) -> ToldOutcomes {
        self.fade(now);
        let parts = |count: f64| (count * TOLD_PARTS).round() as u32;
        ToldOutcomes { failed: parts(self.failed), answered: parts(self.answered) }
    }

    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = 0.5f64.powf(passed);
        self.failed *= left;
        self.answered *= left;
        self.at = now;
    }
}

impl ToldOutcomes {
    /// Whether the target fails so often, for all gateways together, that it is best left alone.
    pub fn failing(self) -> bool {
        let failed = f64::from(self.failed) / TOLD_PARTS;
        let all = failed + f64::from(self.answered) / TOLD_PARTS;
        failed >= ENOUGH && failed >= FAILING * all
    }
}
