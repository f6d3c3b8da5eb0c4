//! What gateways saw of both versions of a service while one takes the place of the other.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route_mix::{RouteMix, RouteShare};
use crate::store::Revision;

/// Buckets of times; each holds times up to half an octave longer than the one before, the last from 46 s on.
const BUCKETS: usize = 32;
/// Buckets in which times double.
const BUCKETS_AN_OCTAVE: f64 = 2.0;

/// Which of the two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// What served so far.
    Old,
    /// What is to take its place.
    New,
}

/// A route, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Of a route with this name.
    pub fn of(name: &str) -> Self {
        RouteKey((xxhash_rust::xxh3::xxh3_64(name.as_bytes()) >> 32) as u32)
    }
}

/// How long answers took, counted in buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Times(Vec<u32>);

impl Times {
    /// Counts a time.
    pub fn note(&mut self, time: Duration) {
        let at = bucket(time);
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        self.0[at] += 1;
    }

    /// Adds others.
    pub fn add(&mut self, other: &Times) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        self.0.iter_mut().zip(&other.0).for_each(|(sum, more)| *sum = sum.saturating_add(*more));
    }

    /// Those that were not there before.
    fn since(&self, before: &Times) -> Times {
        let before = before.0.iter().chain(std::iter::repeat(&0));
        Times(self.0.iter().zip(before).map(|(now, then)| now.saturating_sub(*then)).collect())
    }

    /// Times counted.
    pub fn count(&self) -> u32 {
        self.0.iter().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Number of times from this bucket on.
    pub fn from_bucket(&self, bucket: usize) -> u32 {
        self.0.iter().skip(bucket).fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// The bucket within which this part of the times lies; `None` without any.
    pub fn quantile(&self, part: f64) -> Option<usize> {
        let wanted = f64::from(self.count()) * part;
        let mut sum = 0.0;
        self.0.iter().position(|count| {
            sum += f64::from(*count);
            sum > 0.0 && sum >= wanted
        })
    }
}

/// The bucket of a time.
fn bucket(time: Duration) -> usize {
    let octaves = (time.as_secs_f64() * 1_000.0 + 1.0).log2();
    ((octaves * BUCKETS_AN_OCTAVE) as usize).min(BUCKETS - 1)
}

/// Outcomes of attempts at one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Attempts that failed by the target's doing.
    pub failed: u32,
    /// How long answers took to begin.
    pub times: Times,
}

impl Outcomes {
    /// All attempts.
    pub fn count(&self) -> u32 {
        self.failed.saturating_add(self.times.count())
    }

    /// Adds others.
    pub fn add(&mut self, other: &Outcomes) {
        self.failed = self.failed.saturating_add(other.failed);
        self.times.add(&other.times);
    }
}

impl Outcomes {
    fn since(&self, before: &Outcomes) -> Outcomes {
        Outcomes {
            failed: self.failed.saturating_sub(before.failed),
            times: self.times.since(&before.times),
        }
    }
}

/// What a tally is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Revision of the roll-out's order.
    pub rollout: Revision,
    /// The route.
    pub route: RouteKey,
    /// The version.
    pub side: Side,
}

/// Outcomes of attempts, for each roll-out, route and version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tallies(BTreeMap<Subject, Outcomes>);

/// Most subjects of one word; what is seen of more routes is not counted.
const MOST_SUBJECTS: usize = 64;

impl Tallies {
    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether there may be outcomes for which there was no room.
    pub fn full(&self) -> bool {
        self.0.len() >= MOST_SUBJECTS
    }

    /// The roll-outs that these are of.
    pub fn rollouts(&self) -> impl Iterator<Item = Revision> {
        self.0.keys().map(|subject| subject.rollout)
    }

    /// Counts an attempt that failed.
    pub fn record_failure(&mut self, subject: Subject) {
        if let Some(outcomes) = self.of_subject(subject) {
            outcomes.failed = outcomes.failed.saturating_add(1);
        }
    }

    /// Counts an answer that began after so long.
    pub fn record_answer(&mut self, subject: Subject, took: Duration) {
        if let Some(outcomes) = self.of_subject(subject) {
            outcomes.times.note(took);
        }
    }

    fn of_subject(&mut self, subject: Subject) -> Option<&mut Outcomes> {
        let room = self.0.len() < MOST_SUBJECTS || self.0.contains_key(&subject);
        room.then(|| self.0.entry(subject).or_default())
    }

    /// Adds others.
    pub fn add(&mut self, others: &Tallies) {
        for (subject, outcomes) in &others.0 {
            if let Some(sum) = self.of_subject(*subject) {
                sum.add(outcomes);
            }
        }
    }

    /// Forgets all but these roll-outs.
    pub fn keep_only(&mut self, rollouts: &[Revision]) {
        self.0.retain(|subject, _| rollouts.contains(&subject.rollout));
    }

    /// Outcomes of a roll-out by route, those of the old version first.
    pub fn by_route(&self, rollout: Revision) -> BTreeMap<RouteKey, Compared> {
        let mut by_route: BTreeMap<RouteKey, Compared> = BTreeMap::new();
        for (subject, outcomes) in self.0.iter().filter(|(subject, _)| subject.rollout == rollout) {
            let compared = by_route.entry(subject.route).or_default();
            match subject.side {
                Side::Old => compared.old.add(outcomes),
                Side::New => compared.new.add(outcomes),
            }
        }
        by_route
    }
}

/// Outcomes of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compared {
    /// Of what served so far.
    pub old: Outcomes,
    /// Of what is to take its place.
    pub new: Outcomes,
}

impl Compared {
    /// Adds others.
    pub fn add(&mut self, other: &Compared) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    fn since(&self, before: &Compared) -> Compared {
        Compared { old: self.old.since(&before.old), new: self.new.since(&before.new) }
    }
}

/// Length of a slice at first.
const SLICE: Duration = Duration::from_secs(1);
/// Slices that tell of a route that has more requests than before.
const LATEST: usize = 3;
/// Standard deviations that the latest requests of a route must be above the others to count.
const LATEST_DEVIATIONS: f64 = 2.0;
/// Most slices of a route; where there are more, two become one.
const MOST_SLICES: usize = 128;

/// Outcomes on each route, cut in slices of time: versions are compared with each other at the same time only.
#[derive(Debug)]
pub struct History {
    length: Duration,
    /// When the slice under way began.
    began: Duration,
    /// All outcomes then.
    before: BTreeMap<RouteKey, Compared>,
    /// Slices, the last one under way.
    slices: BTreeMap<RouteKey, Vec<Compared>>,
    /// Slices that are over.
    over: usize,
}

/// Attempts in these slices.
fn attempts(slices: &[Compared]) -> f64 {
    let attempts = |slice: &Compared| f64::from(slice.old.count()) + f64::from(slice.new.count());
    slices.iter().map(attempts).sum()
}

fn attempts_from(slices: &[Compared], from: usize) -> f64 {
    slices.get(from..).map_or(0.0, attempts)
}

impl Default for History {
    fn default() -> Self {
        let (before, slices) = (BTreeMap::new(), BTreeMap::new());
        History { length: SLICE, began: Duration::ZERO, before, slices, over: 0 }
    }
}

impl History {
    /// Takes all outcomes so far.
    pub fn note(&mut self, now: Duration, total: &BTreeMap<RouteKey, Compared>) {
        for (route, outcomes) in total {
            let slices = self.slices.entry(*route).or_default();
            slices.resize(self.over + 1, Compared::default());
            let before = self.before.get(route).cloned().unwrap_or_default();
            slices[self.over] = outcomes.since(&before);
        }
        if now >= self.began + self.length {
            self.began = now;
            self.before.clone_from(total);
            self.over += 1;
            self.shorten();
        }
    }

    fn shorten(&mut self) {
        if self.over < MOST_SLICES {
            return;
        }
        self.length *= 2;
        self.over /= 2;
        for slices in self.slices.values_mut() {
            let merged = slices.chunks(2).map(|pair| {
                let mut sum = pair[0].clone();
                pair.iter().skip(1).for_each(|other| sum.add(other));
                sum
            });
            *slices = merged.collect();
        }
    }

    /// What part of all requests each route has: of all since the order, or of the latest where that is clearly more.
    pub fn mix(&self) -> RouteMix {
        let from = self.over.saturating_sub(LATEST);
        let all: f64 = self.slices.values().map(|slices| attempts(slices)).sum();
        let latest: f64 = self.slices.values().map(|slices| attempts_from(slices, from)).sum();
        let share = |(route, slices): (&RouteKey, &Vec<Compared>)| {
            let late = attempts_from(slices, from);
            let since_order = (attempts(slices) + 1.0) / (all + 1.0);
            let lately = (late - LATEST_DEVIATIONS * late.sqrt()) / latest.max(1.0);
            RouteShare { route: *route, share: since_order.max(lately) as f32 }
        };
        RouteMix(self.slices.iter().map(share).collect())
    }

    /// The routes, in the order of [`routes`](History::routes).
    pub fn keys(&self) -> impl Iterator<Item = RouteKey> {
        self.slices.keys().copied()
    }

    /// Slices of each route.
    pub fn routes(&self) -> Vec<Vec<Compared>> {
        self.slices.values().cloned().collect()
    }
}
