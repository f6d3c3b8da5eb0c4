//! Whether a new version does worse than the old one, from outcomes on each route.
//!
//! Both versions are compared route by route, since some faults show on one only, and over all routes, since few
//! outcomes of each may add up; and slice of time by slice of time, since the new version gets more of the later
//! requests, so that trouble of both would look like its own. A version is bad when its failures, or its answers that
//! took far longer than is usual for the old one, are more than chance explains.

use super::tally::{Compared, Times};

/// Rate of failures or slow answers that is taken as usual at least: the old version may have had none by luck.
const LEAST_USUAL: f64 = 0.02;
/// What proves that a version is worse: single failures prove nothing, and the test is made several times a second on
/// every route.
const PROOF: Margin = Margin { beyond: 2.5, deviations: 4.5 };
/// What hints at it.
const HINT: Margin = Margin { beyond: 0.5, deviations: 3.5 };
/// Part of its answers that the mildest fault to be found fails beyond the usual.
const MILDEST_FAULT: f64 = 0.25;
/// Largest rate of failures that is taken as usual where health is to be proven, so that such a fault still shows.
const MOST_USUAL: f64 = 0.65;
/// Chance that a version with such a fault passes for healthy on a route.
const MISS: f64 = 0.001;
/// Part of the old version's answers within which a time is usual.
const USUAL_PART: f64 = 0.75;
/// Buckets of times beyond that from which an answer is slow: twice as long.
const SLOWER_BY: usize = 2;
/// Outcomes of the old version without which a slice does not tell what is usual.
const LEAST_OLD: u32 = 10;
/// Outcomes that the rate over all slices counts for in that of one.
const PRIOR: f64 = 5.0;
/// Where the old version has no outcomes to compare with, this is added to the rate that it had last: only what is far
/// worse counts there.
const ALONE: f64 = 0.1;
/// Slices that are judged by themselves as well, so that a fault that begins late shows soon.
const RECENT: usize = 3;

/// How far beyond the usual something must lie.
#[derive(Clone, Copy, Debug)]
struct Margin {
    /// Outcomes.
    beyond: f64,
    /// Standard deviations, besides.
    deviations: f64,
}

/// What shows that a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What it does worse.
    pub kind: FaultKind,
    /// Outcomes of that kind.
    pub seen: u32,
    /// Outcomes in all.
    pub of: u32,
    /// Outcomes of that kind that are usual among so many.
    pub usual: f64,
}

/// What a bad version does worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// It fails.
    Fails,
    /// It answers late.
    Slow,
}

/// Judges one route by its slices; `None` where nothing shows that the new version is worse.
pub fn judge(slices: &[Compared]) -> Option<Fault> {
    fails(slices).or_else(|| worse(FaultKind::Slow, &slow(slices)))
}

/// Judges every route, and all together.
pub fn judge_all(routes: &[Vec<Compared>]) -> Option<Fault> {
    if let Some(fault) = routes.iter().find_map(|slices| judge(slices)) {
        return Some(fault);
    }
    let mut all: Vec<Compared> = Vec::new();
    for slices in routes {
        all.resize(all.len().max(slices.len()), Compared::default());
        all.iter_mut().zip(slices).for_each(|(sum, slice)| sum.add(slice));
    }
    // Times of different routes are not alike, and the versions get different mixes of them.
    fails(&all)
}

/// Whether one route alone hints at a fault that is not proved yet: more is to be seen before the version gets more.
pub fn suspected(slices: &[Compared]) -> bool {
    let hints = |shares: &[Shares]| {
        beyond_chance(FaultKind::Fails, HINT, shares, &usual_rates(shares, ALONE)).is_some()
    };
    hints(&failures(slices)) || hints(&slow(slices))
}

/// Whether the outcomes of one route prove that the new version is healthy there: under the usual rates they are so much
/// likelier than under the mildest fault to be found (Wald's sequential probability ratio test).
pub fn proven_healthy(slices: &[Compared]) -> bool {
    let enough = -MISS.ln();
    health_evidence(&failures(slices)) >= enough && health_evidence(&slow(slices)) >= enough
}

/// Logarithm of how much likelier the new version's outcomes are if it is healthy than with the mildest fault.
fn health_evidence(slices: &[Shares]) -> f64 {
    // Where the old version has no outcomes to compare with, a higher rate would excuse failures.
    let rates = usual_rates(slices, 0.0);
    let evidence = slices.iter().zip(rates).map(|(slice, rate)| {
        let usual = rate.clamp(LEAST_USUAL, MOST_USUAL);
        let faulty = usual + MILDEST_FAULT;
        let of_kind = f64::from(slice.new.seen);
        let others = f64::from(slice.new.of.saturating_sub(slice.new.seen));
        of_kind * (usual / faulty).ln() + others * ((1.0 - usual) / (1.0 - faulty)).ln()
    });
    evidence.sum()
}

/// How many outcomes of a kind there are among how many.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    seen: u32,
    of: u32,
}

impl Share {
    fn rate(self) -> f64 {
        f64::from(self.seen) / f64::from(self.of.max(1))
    }
}

/// Shares of both versions in one slice.
#[derive(Clone, Copy, Debug, Default)]
struct Shares {
    old: Share,
    new: Share,
}

impl Share {
    fn add(&mut self, other: Share) {
        self.seen = self.seen.saturating_add(other.seen);
        self.of = self.of.saturating_add(other.of);
    }
}

impl Shares {
    fn add(&mut self, other: Shares) {
        self.old.add(other.old);
        self.new.add(other.new);
    }
}

fn fails(slices: &[Compared]) -> Option<Fault> {
    worse(FaultKind::Fails, &failures(slices))
}

fn failures(slices: &[Compared]) -> Vec<Shares> {
    let share = |failed, of| Share { seen: failed, of };
    let shares = slices.iter().map(|slice| Shares {
        old: share(slice.old.failed, slice.old.count()),
        new: share(slice.new.failed, slice.new.count()),
    });
    coalesced(shares)
}

/// Joins slices that follow each other until each tells what is usual: of a rare route single ones never would.
fn coalesced(slices: impl Iterator<Item = Shares>) -> Vec<Shares> {
    let mut joined: Vec<Shares> = Vec::new();
    for slice in slices {
        match joined.last_mut() {
            Some(last) if last.old.of < LEAST_OLD => last.add(slice),
            _ => joined.push(slice),
        }
    }
    if let [.., before, last] = joined.as_mut_slice()
        && last.old.of < LEAST_OLD
    {
        before.add(*last);
        joined.pop();
    }
    joined
}

fn slow(slices: &[Compared]) -> Vec<Shares> {
    let mut all = Times::default();
    slices.iter().for_each(|slice| all.add(&slice.old.times));
    let shares = slices.iter().filter_map(|slice| {
        let old = &slice.old.times;
        let usual = if old.count() >= LEAST_OLD { old } else { &all };
        let from = usual.quantile(USUAL_PART)? + 1 + SLOWER_BY;
        let share = |times: &Times| Share { seen: times.from_bucket(from), of: times.count() };
        Some(Shares { old: share(old), new: share(&slice.new.times) })
    });
    coalesced(shares)
}

fn worse(kind: FaultKind, slices: &[Shares]) -> Option<Fault> {
    let rates = usual_rates(slices, ALONE);
    let recent = slices.len().saturating_sub(RECENT);
    beyond_chance(kind, PROOF, slices, &rates)
        .or_else(|| beyond_chance(kind, PROOF, &slices[recent..], &rates[recent..]))
}

/// The rate that is usual in each slice; `alone` is added where the old version does not tell.
fn usual_rates(slices: &[Shares], alone: f64) -> Vec<f64> {
    let overall = overall(slices);
    let mut last = overall;
    let rates = slices.iter().map(|slice| {
        if slice.old.of < LEAST_OLD {
            return last.max(overall) + alone;
        }
        let old = slice.old;
        last = (f64::from(old.seen) + PRIOR * overall) / (f64::from(old.of) + PRIOR);
        last
    });
    rates.collect()
}

/// Rate of the old version over all slices.
fn overall(slices: &[Shares]) -> f64 {
    let sum = |sum: Share, slice: &Shares| Share {
        seen: sum.seen.saturating_add(slice.old.seen),
        of: sum.of.saturating_add(slice.old.of),
    };
    slices.iter().fold(Share::default(), sum).rate()
}

/// Outcomes of a kind that are to be expected of the new version.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    /// All its outcomes.
    of: f64,
    /// Those of the kind at the usual rates.
    usual: f64,
    variance: f64,
}

impl Expected {
    /// Of these slices, with the rate that is usual in each.
    fn of(slices: &[Shares], rates: &[f64]) -> Self {
        let mut expected = Expected::default();
        for (slice, rate) in slices.iter().zip(rates) {
            let rate = rate.clamp(LEAST_USUAL, 1.0);
            let of = f64::from(slice.new.of);
            expected.of += of;
            expected.usual += rate * of;
            // The rate of the old version is itself known from some outcomes only.
            let unsure = of * of / (f64::from(slice.old.of) + PRIOR);
            expected.variance += rate * (1.0 - rate) * (of + unsure);
        }
        expected
    }

    /// Most that are within a margin.
    fn most(self, margin: Margin) -> f64 {
        self.usual + margin.beyond + margin.deviations * self.variance.sqrt()
    }
}

/// Whether the new version has more outcomes of a kind than chance makes of the rates that are usual in each slice.
fn beyond_chance(
    kind: FaultKind,
    margin: Margin,
    slices: &[Shares],
    rates: &[f64],
) -> Option<Fault> {
    let expected = Expected::of(slices, rates);
    let seen = slices.iter().fold(0, |sum: u32, slice| sum.saturating_add(slice.new.seen));
    let of = slices.iter().fold(0, |sum: u32, slice| sum.saturating_add(slice.new.of));
    let beyond = f64::from(seen) >= expected.most(margin);
    beyond.then_some(Fault { kind, seen, of, usual: expected.usual })
}
