//! Judges a new version after the shift, when it gets all requests.
//!
//! Only the old version's earlier outcomes are left to compare with. A moment of overload slows all answers then,
//! whatever their version, so slow answers prove a fault only if they last. Failures prove one at once.

use std::time::Duration;

use super::history::RouteHistory;
use super::judge::{
    Fault, FaultKind, MIN_OLD_OUTCOMES, PROOF_MARGIN, SUSPICION_MARGIN, failures, old_latencies,
    slow_bucket, slow_ratio,
};
use super::ratio::{Margin, Ratio, RatioPair, beyond_chance};
use super::tally::{LatencyHistogram, Outcomes};

/// Probability that the evidence of lasting slow answers is due to chance.
const FALSE_ALARM_PROBABILITY: f64 = 0.001;
/// Number of slices after the shift that must each have slow answers to prove a fault: a stall of 3.5 s is over before.
const MIN_SLOW_SLICES: f64 = 8.0;
/// Number of such slices that make a version suspected.
const SUSPECT_SLOW_SLICES: f64 = 2.0;
/// Number of latest slices after the shift in which failures are also judged on their own.
const RECENT_SHIFTED_SLICES: usize = 6;

/// Judges one route by its outcomes after the shift.
pub(super) fn judge_shifted(route: &RouteHistory) -> Option<Fault> {
    failing_after_shift(route, PROOF_MARGIN).or_else(|| slow_after_shift(route))
}

/// Whether the outcomes on one route after the shift make a fault likely without proving it.
pub fn suspected_after_shift(route: &RouteHistory) -> bool {
    let slow = Slowness::after_shift(route);
    failing_after_shift(route, SUSPICION_MARGIN).is_some()
        || slow.is_some_and(|slow| slow.slices >= SUSPECT_SLOW_SLICES)
}

/// Returns a fault if the new version fails more often after the shift than the old one did before.
pub(super) fn failing_after_shift(route: &RouteHistory, margin: Margin) -> Option<Fault> {
    if route.shifted.is_empty() {
        return None;
    }
    let baselines = baselines(failures(&route.compared).iter().map(|pair| pair.old));
    let beyond = |slices: &[Outcomes]| {
        let new = slices.iter().map(|slice| Ratio { of_kind: slice.failed, total: slice.count() });
        let new = new.fold(Ratio::default(), Ratio::plus);
        let faults = baselines.iter().map(|old| {
            let pair = RatioPair { old: *old, new };
            beyond_chance(FaultKind::Fails, margin, &[pair], &[old.rate()])
        });
        let faults: Option<Vec<Fault>> = faults.collect();
        faults?.into_iter().max_by(|one, other| one.usual.total_cmp(&other.usual))
    };
    let recent = route.shifted.len().saturating_sub(RECENT_SHIFTED_SLICES);
    beyond(&route.shifted).or_else(|| beyond(&route.shifted[recent..]))
}

/// Returns a fault if the new version's answers have been slow for long after the shift.
fn slow_after_shift(route: &RouteHistory) -> Option<Fault> {
    let slow = Slowness::after_shift(route).filter(|slow| slow.slices >= MIN_SLOW_SLICES)?;
    let usual = slow.baseline * f64::from(slow.seen.total);
    let Ratio { of_kind: seen, total: of } = slow.seen;
    let slow_from = Some(slow.slow_from);
    Some(Fault { kind: FaultKind::Slow, seen, of, usual, slow_from })
}

/// Slow answers of the new version up to now, after the shift.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    /// Evidence for a fault, as the number of slices of slow answers that it amounts to.
    slices: f64,
    /// The outcomes since that evidence began.
    seen: Ratio,
    /// Rate of the old version's answers that were as slow.
    baseline: f64,
    /// Time from which an answer is slow.
    slow_from: Duration,
}

impl Slowness {
    /// Sums up the likelihood ratios of the slices, from the latest moment at which they spoke for health on the whole
    /// (CUSUM). One slice counts as one at most, however many answers it has: in a stall all are slow. `None` if the old
    /// version had too few answers to tell what is slow, or there was no shift.
    fn after_shift(route: &RouteHistory) -> Option<Self> {
        if route.shifted.is_empty() {
            return None;
        }
        let from = slow_bucket(&old_latencies(&route.compared))?;
        let old = route.compared.iter().map(|slice| slow_ratio(&slice.old.latencies, from));
        let baselines = baselines(old);
        let overall = baselines.last()?.rate();
        let rates = baselines.iter().map(|old| old.smoothed_rate(overall));
        let baseline = rates.fold(0.0, f64::max);
        let one_slice = -FALSE_ALARM_PROBABILITY.ln() / MIN_SLOW_SLICES;
        let slow_from = LatencyHistogram::bucket_start(from);
        let none = Slowness { slices: 0.0, seen: Ratio::default(), baseline, slow_from };
        let mut slowness = none;
        for slice in &route.shifted {
            let ratio = slow_ratio(&slice.latencies, from);
            slowness.slices += (-ratio.health_evidence(baseline) / one_slice).min(1.0);
            slowness.seen = slowness.seen.plus(ratio);
            if slowness.slices <= 0.0 {
                slowness = none;
            }
        }
        Some(slowness)
    }
}

/// The old version's ratios over its latest slices, from few of them to all, since trouble of both versions may have
/// begun at any time. Empty if it has too few outcomes.
fn baselines(old: impl DoubleEndedIterator<Item = Ratio>) -> Vec<Ratio> {
    let sums = old.rev().scan(Ratio::default(), |sum, slice| {
        *sum = sum.plus(slice);
        Some(*sum)
    });
    sums.filter(|sum| sum.total >= MIN_OLD_OUTCOMES).collect()
}
