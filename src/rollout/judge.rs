//! Judges from the outcomes on each route whether a new version does worse than the old one.
//!
//! The versions are compared on each route, since some faults show on one route only, and over all routes together,
//! since few outcomes of each may add up. They are also compared within slices of time: the new version gets more of
//! the later requests, so trouble of both versions would otherwise look like its own. A version is bad if it has more
//! failures, or more answers that take much longer than is usual for the old one, than chance explains.

use std::time::Duration;

use super::history::RouteHistory;
use super::ratio::{Margin, Ratio, RatioPair, beyond_chance};
use super::shifted::{failing_after_shift, judge_shifted};
use super::tally::{Compared, LatencyHistogram};

/// Margin above the baseline that proves a version worse. It is wide because single failures prove nothing, and because
/// the test is repeated several times a second on every route.
pub(super) const PROOF_MARGIN: Margin = Margin { outcomes: 2.5, deviations: 4.5 };
/// Margin above the baseline that makes a version suspected.
pub(super) const SUSPICION_MARGIN: Margin = Margin { outcomes: 0.5, deviations: 3.5 };
/// Probability that a version with the mildest fault is judged healthy on a route.
const MISS_PROBABILITY: f64 = 0.001;
/// Quantile of the old version's latencies up to which an answer is not slow.
const USUAL_QUANTILE: f64 = 0.75;
/// Number of latency buckets above that quantile from which an answer is slow: it takes twice as long.
const SLOW_BUCKETS: usize = 2;
/// Minimum number of outcomes of the old version for a slice to have a baseline of its own.
pub(super) const MIN_OLD_OUTCOMES: u32 = 10;
/// Added to the last known baseline rate in slices where the old version has too few outcomes, so that only a far worse
/// rate counts there.
const NO_BASELINE_ALLOWANCE: f64 = 0.1;
/// Number of latest slices that are also judged on their own, so that a fault that begins late is detected soon.
const RECENT_SLICES: usize = 3;

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
    /// Time from which an answer is slow by what is usual for the old version; `None` for failures.
    pub slow_from: Option<Duration>,
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
    judge_failures(slices).or_else(|| {
        let fault = proven_worse(FaultKind::Slow, &slow(slices))?;
        let slow_from = slow_bucket(&old_latencies(slices)).map(LatencyHistogram::bucket_start);
        Some(Fault { slow_from, ..fault })
    })
}

/// Judges each route, and then all routes together.
pub fn judge_all(routes: &[RouteHistory]) -> Option<Fault> {
    let judge_route =
        |route: &RouteHistory| judge(&route.compared).or_else(|| judge_shifted(route));
    if let Some(fault) = routes.iter().find_map(judge_route) {
        return Some(fault);
    }
    let mut all = RouteHistory::default();
    routes.iter().for_each(|route| all.add(route));
    // Latencies are not compared here: they differ between routes, and the versions get different mixes of routes.
    judge_failures(&all.compared).or_else(|| failing_after_shift(&all, PROOF_MARGIN))
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
    slices.iter().zip(rates).map(|(slice, rate)| slice.new.health_evidence(rate)).sum()
}

fn judge_failures(slices: &[Compared]) -> Option<Fault> {
    proven_worse(FaultKind::Fails, &failures(slices))
}

/// The failures among all outcomes in each slice.
pub(super) fn failures(slices: &[Compared]) -> Vec<RatioPair> {
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
    let all = old_latencies(slices);
    let pairs = slices.iter().filter_map(|slice| {
        let old = &slice.old.latencies;
        let baseline = if old.count() >= MIN_OLD_OUTCOMES { old } else { &all };
        let from = slow_bucket(baseline)?;
        let new = slow_ratio(&slice.new.latencies, from);
        Some(RatioPair { old: slow_ratio(old, from), new })
    });
    merge_sparse(pairs)
}

/// The old version's latencies in all slices.
pub(super) fn old_latencies(slices: &[Compared]) -> LatencyHistogram {
    let mut all = LatencyHistogram::default();
    slices.iter().for_each(|slice| all.add(&slice.old.latencies));
    all
}

/// Latency bucket from which an answer is slow, if these latencies are usual; `None` if there are none.
pub(super) fn slow_bucket(usual: &LatencyHistogram) -> Option<usize> {
    Some(usual.quantile(USUAL_QUANTILE)? + 1 + SLOW_BUCKETS)
}

/// The answers from this latency bucket on, among all.
pub(super) fn slow_ratio(latencies: &LatencyHistogram, from: usize) -> Ratio {
    Ratio { of_kind: latencies.from_bucket(from), total: latencies.count() }
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
        last = slice.old.smoothed_rate(overall);
        last
    });
    rates.collect()
}

/// Rate of the old version over all slices.
fn overall_rate(slices: &[RatioPair]) -> f64 {
    slices.iter().map(|slice| slice.old).fold(Ratio::default(), Ratio::plus).rate()
}
