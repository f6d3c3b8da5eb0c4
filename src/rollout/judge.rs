//! Judges from the outcomes on each route whether a new version does worse than the old one.
//!
//! The versions are compared on each route, since some faults show on one route only, and over all routes together,
//! since few outcomes of each may add up. They are also compared within slices of time: the new version gets more of
//! the later requests, so trouble of both versions would otherwise look like its own. A version is bad if it has more
//! failures, or more answers that take much longer than is usual for the old one, than chance explains.

use super::tally::{Compared, LatencyHistogram};

/// Minimum baseline rate of failures or slow answers, since the old version may have had none by chance.
const MIN_BASELINE_RATE: f64 = 0.02;
/// Margin above the baseline that proves a version worse. It is wide because single failures prove nothing, and because
/// the test is repeated several times a second on every route.
const PROOF_MARGIN: Margin = Margin { outcomes: 2.5, deviations: 4.5 };
/// Margin above the baseline that makes a version suspected.
const SUSPICION_MARGIN: Margin = Margin { outcomes: 0.5, deviations: 3.5 };
/// Rate of failures above the baseline that the mildest fault to be detected causes.
const MIN_FAULT_RATE: f64 = 0.25;
/// Maximum baseline rate when health is to be proven, so that a fault of [`MIN_FAULT_RATE`] remains detectable.
const MAX_BASELINE_RATE: f64 = 0.65;
/// Probability that a version with the mildest fault is judged healthy on a route.
const MISS_PROBABILITY: f64 = 0.001;
/// Quantile of the old version's latencies up to which an answer is not slow.
const USUAL_QUANTILE: f64 = 0.75;
/// Number of latency buckets above that quantile from which an answer is slow: it takes twice as long.
const SLOW_BUCKETS: usize = 2;
/// Minimum number of outcomes of the old version for a slice to have a baseline of its own.
const MIN_OLD_OUTCOMES: u32 = 10;
/// Weight of the rate over all slices in the baseline of one slice, as a number of outcomes.
const PRIOR_OUTCOMES: f64 = 5.0;
/// Added to the last known baseline rate in slices where the old version has too few outcomes, so that only a far worse
/// rate counts there.
const NO_BASELINE_ALLOWANCE: f64 = 0.1;
/// Number of latest slices that are also judged on their own, so that a fault that begins late is detected soon.
const RECENT_SLICES: usize = 3;

/// How far a number of outcomes must exceed the expected one.
#[derive(Clone, Copy, Debug)]
struct Margin {
    /// Number of outcomes.
    outcomes: f64,
    /// Standard deviations, added to `outcomes`.
    deviations: f64,
}

/// Evidence that a version is worse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// In what it is worse.
    pub kind: FaultKind,
    /// Number of its outcomes of that kind.
    pub seen: u32,
    /// Number of all its outcomes.
    pub of: u32,
    /// Expected number of outcomes of that kind at the baseline rate.
    pub usual: f64,
}

/// In what a version is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// It fails more often.
    Fails,
    /// It answers slowly more often.
    Slow,
}

/// Judges one route by its slices; `None` if nothing proves that the new version is worse.
pub fn judge(slices: &[Compared]) -> Option<Fault> {
    judge_failures(slices).or_else(|| proven_worse(FaultKind::Slow, &slow(slices)))
}

/// Judges each route, and then all routes together.
pub fn judge_all(routes: &[Vec<Compared>]) -> Option<Fault> {
    if let Some(fault) = routes.iter().find_map(|slices| judge(slices)) {
        return Some(fault);
    }
    let mut all: Vec<Compared> = Vec::new();
    for slices in routes {
        all.resize(all.len().max(slices.len()), Compared::default());
        all.iter_mut().zip(slices).for_each(|(sum, slice)| sum.add(slice));
    }
    // Latencies are not compared here: they differ between routes, and the versions get different mixes of routes.
    judge_failures(&all)
}

/// Whether the outcomes on one route make a fault likely without proving it. The new version then gets no more requests
/// until there is more evidence.
pub fn suspected(slices: &[Compared]) -> bool {
    let suspect = |pairs: &[RatioPair]| {
        beyond_chance(
            FaultKind::Fails,
            SUSPICION_MARGIN,
            pairs,
            &baseline_rates(pairs, NO_BASELINE_ALLOWANCE),
        )
        .is_some()
    };
    suspect(&failures(slices)) || suspect(&slow(slices))
}

/// Whether the outcomes on one route prove that the new version is healthy there: they are sufficiently more likely at
/// the baseline rates than with the mildest fault to be detected (Wald's sequential probability ratio test).
pub fn proven_healthy(slices: &[Compared]) -> bool {
    let threshold = -MISS_PROBABILITY.ln();
    health_evidence(&failures(slices)) >= threshold && health_evidence(&slow(slices)) >= threshold
}

/// Log-likelihood ratio of the new version's outcomes: healthy against the mildest fault.
fn health_evidence(slices: &[RatioPair]) -> f64 {
    // No allowance here: where the old version has too few outcomes, a higher baseline would excuse failures.
    let rates = baseline_rates(slices, 0.0);
    let evidence = slices.iter().zip(rates).map(|(slice, rate)| {
        let baseline = rate.clamp(MIN_BASELINE_RATE, MAX_BASELINE_RATE);
        let faulty = baseline + MIN_FAULT_RATE;
        let of_kind = f64::from(slice.new.of_kind);
        let others = f64::from(slice.new.total.saturating_sub(slice.new.of_kind));
        of_kind * (baseline / faulty).ln() + others * ((1.0 - baseline) / (1.0 - faulty)).ln()
    });
    evidence.sum()
}

/// Number of outcomes of one kind among all.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    of_kind: u32,
    total: u32,
}

impl Ratio {
    fn rate(self) -> f64 {
        f64::from(self.of_kind) / f64::from(self.total.max(1))
    }
}

/// Ratios of both versions in one slice.
#[derive(Clone, Copy, Debug, Default)]
struct RatioPair {
    old: Ratio,
    new: Ratio,
}

impl Ratio {
    fn add(&mut self, other: Ratio) {
        self.of_kind = self.of_kind.saturating_add(other.of_kind);
        self.total = self.total.saturating_add(other.total);
    }
}

impl RatioPair {
    fn add(&mut self, other: RatioPair) {
        self.old.add(other.old);
        self.new.add(other.new);
    }
}

fn judge_failures(slices: &[Compared]) -> Option<Fault> {
    proven_worse(FaultKind::Fails, &failures(slices))
}

/// The failures among all outcomes in each slice.
fn failures(slices: &[Compared]) -> Vec<RatioPair> {
    let ratio = |failed, total| Ratio { of_kind: failed, total };
    let pairs = slices.iter().map(|slice| RatioPair {
        old: ratio(slice.old.failed, slice.old.count()),
        new: ratio(slice.new.failed, slice.new.count()),
    });
    merge_sparse(pairs)
}

/// Merges consecutive slices until each has enough outcomes of the old version for a baseline. On a rare route single
/// slices never would.
fn merge_sparse(slices: impl Iterator<Item = RatioPair>) -> Vec<RatioPair> {
    let mut merged: Vec<RatioPair> = Vec::new();
    for slice in slices {
        match merged.last_mut() {
            Some(last) if last.old.total < MIN_OLD_OUTCOMES => last.add(slice),
            _ => merged.push(slice),
        }
    }
    if let [.., before, last] = merged.as_mut_slice()
        && last.old.total < MIN_OLD_OUTCOMES
    {
        before.add(*last);
        merged.pop();
    }
    merged
}

/// The slow answers among all answers in each slice.
fn slow(slices: &[Compared]) -> Vec<RatioPair> {
    let mut all = LatencyHistogram::default();
    slices.iter().for_each(|slice| all.add(&slice.old.latencies));
    let pairs = slices.iter().filter_map(|slice| {
        let old = &slice.old.latencies;
        let baseline = if old.count() >= MIN_OLD_OUTCOMES { old } else { &all };
        let from = baseline.quantile(USUAL_QUANTILE)? + 1 + SLOW_BUCKETS;
        let ratio = |latencies: &LatencyHistogram| Ratio {
            of_kind: latencies.from_bucket(from),
            total: latencies.count(),
        };
        Some(RatioPair { old: ratio(old), new: ratio(&slice.new.latencies) })
    });
    merge_sparse(pairs)
}

/// Whether the new version is proven worse in one kind of outcome, over all slices or over the latest ones.
fn proven_worse(kind: FaultKind, slices: &[RatioPair]) -> Option<Fault> {
    let rates = baseline_rates(slices, NO_BASELINE_ALLOWANCE);
    let recent = slices.len().saturating_sub(RECENT_SLICES);
    beyond_chance(kind, PROOF_MARGIN, slices, &rates)
        .or_else(|| beyond_chance(kind, PROOF_MARGIN, &slices[recent..], &rates[recent..]))
}

/// The baseline rate in each slice. `allowance` is added where the old version has too few outcomes.
fn baseline_rates(slices: &[RatioPair], allowance: f64) -> Vec<f64> {
    let overall = overall_rate(slices);
    let mut last = overall;
    let rates = slices.iter().map(|slice| {
        if slice.old.total < MIN_OLD_OUTCOMES {
            return last.max(overall) + allowance;
        }
        let old = slice.old;
        last = (f64::from(old.of_kind) + PRIOR_OUTCOMES * overall)
            / (f64::from(old.total) + PRIOR_OUTCOMES);
        last
    });
    rates.collect()
}

/// Rate of the old version over all slices.
fn overall_rate(slices: &[RatioPair]) -> f64 {
    let sum = |sum: Ratio, slice: &RatioPair| Ratio {
        of_kind: sum.of_kind.saturating_add(slice.old.of_kind),
        total: sum.total.saturating_add(slice.old.total),
    };
    slices.iter().fold(Ratio::default(), sum).rate()
}

/// Expected outcomes of one kind of the new version if it is as good as the old one.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    /// Number of all its outcomes.
    total: f64,
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
            expected.total += total;
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
fn beyond_chance(
    kind: FaultKind,
    margin: Margin,
    slices: &[RatioPair],
    rates: &[f64],
) -> Option<Fault> {
    let expected = Expected::of(slices, rates);
    let seen = slices.iter().fold(0, |sum: u32, slice| sum.saturating_add(slice.new.of_kind));
    let of = slices.iter().fold(0, |sum: u32, slice| sum.saturating_add(slice.new.total));
    let beyond = f64::from(seen) >= expected.upper_limit(margin);
    beyond.then_some(Fault { kind, seen, of, usual: expected.mean })
}
