//! Ratios of one kind of outcome among all, and how far those of a new version are from the old one's.

use super::judge::{Fault, FaultKind};

/// Minimum baseline rate of failures or slow answers, since the old version may have had none by chance.
const MIN_BASELINE_RATE: f64 = 0.02;
/// Rate of failures above the baseline that the mildest fault to be detected causes.
const MIN_FAULT_RATE: f64 = 0.25;
/// Maximum baseline rate when health is to be proven, so that a fault of [`MIN_FAULT_RATE`] remains detectable.
const MAX_BASELINE_RATE: f64 = 0.65;
/// Weight of the rate over all slices in the baseline of one slice, as a number of outcomes.
const PRIOR_OUTCOMES: f64 = 5.0;

/// How far a number of outcomes must exceed the expected one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Margin {
    /// Number of outcomes.
    pub(super) outcomes: f64,
    /// Standard deviations, added to `outcomes`.
    pub(super) deviations: f64,
}

/// Number of outcomes of one kind among all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ratio {
    pub(super) of_kind: u32,
    pub(super) total: u32,
}

impl Ratio {
    pub(super) fn plus(self, other: Ratio) -> Ratio {
        Ratio {
            of_kind: self.of_kind.saturating_add(other.of_kind),
            total: self.total.saturating_add(other.total),
        }
    }

    pub(super) fn rate(self) -> f64 {
        f64::from(self.of_kind) / f64::from(self.total.max(1))
    }

    /// The rate, drawn towards `prior` where the outcomes are few.
    pub(super) fn smoothed_rate(self, prior: f64) -> f64 {
        (f64::from(self.of_kind) + PRIOR_OUTCOMES * prior)
            / (f64::from(self.total) + PRIOR_OUTCOMES)
    }

    /// Log-likelihood ratio: healthy, at this baseline rate, against the mildest fault.
    pub(super) fn health_evidence(self, baseline: f64) -> f64 {
        let baseline = baseline.clamp(MIN_BASELINE_RATE, MAX_BASELINE_RATE);
        let faulty = baseline + MIN_FAULT_RATE;
        let of_kind = f64::from(self.of_kind);
        let others = f64::from(self.total.saturating_sub(self.of_kind));
        of_kind * (baseline / faulty).ln() + others * ((1.0 - baseline) / (1.0 - faulty)).ln()
    }
}

/// Ratios of both versions in one slice.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RatioPair {
    pub(super) old: Ratio,
    pub(super) new: Ratio,
}

impl RatioPair {
    pub(super) fn add(&mut self, other: RatioPair) {
        self.old = self.old.plus(other.old);
        self.new = self.new.plus(other.new);
    }
}

/// Expected outcomes of one kind of the new version if it is as good as the old one.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    /// Expected number of the kind at the baseline rates.
    mean: f64,
    variance: f64,
}

impl Expected {
    /// The expectation for these slices, with the baseline rate of each.
    fn of(slices: &[RatioPair], rates: &[f64]) -> Self {
        let mut expected = Expected::default();
        for (slice, rate) in slices.iter().zip(rates) {
            let rate = rate.clamp(MIN_BASELINE_RATE, 1.0);
            let total = f64::from(slice.new.total);
            expected.mean += rate * total;
            // The baseline rate is itself estimated from a limited number of outcomes.
            let uncertainty = total * total / (f64::from(slice.old.total) + PRIOR_OUTCOMES);
            expected.variance += rate * (1.0 - rate) * (total + uncertainty);
        }
        expected
    }

    /// Upper limit of the expected number with a margin.
    fn upper_limit(self, margin: Margin) -> f64 {
        self.mean + margin.outcomes + margin.deviations * self.variance.sqrt()
    }
}

/// Returns a fault if the new version has more outcomes of a kind than the baseline rates and the margin allow.
pub(super) fn beyond_chance(
    kind: FaultKind,
    margin: Margin,
    slices: &[RatioPair],
    rates: &[f64],
) -> Option<Fault> {
    let expected = Expected::of(slices, rates);
    let new = slices.iter().map(|slice| slice.new).fold(Ratio::default(), Ratio::plus);
    let Ratio { of_kind: seen, total: of } = new;
    let beyond = f64::from(seen) >= expected.upper_limit(margin);
    beyond.then_some(Fault { kind, seen, of, usual: expected.mean, slow_from: None })
}
