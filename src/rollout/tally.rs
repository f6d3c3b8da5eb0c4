//! Outcomes of requests to both versions of a service during a roll-out, as counted by gateways and summed by members.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// Number of latency buckets. The bounds grow by half an octave per bucket; the last bucket starts at 46 s.
const BUCKETS: usize = 32;
/// Number of buckets in which the latency doubles.
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// One of the two versions of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that served before the roll-out.
    Old,
    /// The version that is rolled out.
    New,
}

/// A route, identified by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteKey(u32);

impl RouteKey {
    /// The key of the route with this name.
    pub fn of(name: &str) -> Self {
        RouteKey((xxhash_rust::xxh3::xxh3_64(name.as_bytes()) >> 32) as u32)
    }
}

/// Histogram of the times until answers began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram(Vec<u32>);

impl LatencyHistogram {
    /// Counts one latency.
    pub fn record(&mut self, time: Duration) {
        let at = bucket(time);
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        self.0[at] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &LatencyHistogram) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        self.0.iter_mut().zip(&other.0).for_each(|(sum, more)| *sum = sum.saturating_add(*more));
    }

    /// The counts that were added since `before`.
    fn since(&self, before: &LatencyHistogram) -> LatencyHistogram {
        let before = before.0.iter().chain(std::iter::repeat(&0));
        LatencyHistogram(
            self.0.iter().zip(before).map(|(now, then)| now.saturating_sub(*then)).collect(),
        )
    }

    /// Number of latencies counted.
    pub fn count(&self) -> u32 {
        self.0.iter().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Number of latencies in this bucket and all later ones.
    pub fn from_bucket(&self, bucket: usize) -> u32 {
        self.0.iter().skip(bucket).fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Smallest latency of a bucket.
    pub fn bucket_start(bucket: usize) -> Duration {
        let octaves = bucket as f64 / BUCKETS_PER_OCTAVE;
        Duration::from_secs_f64((octaves.exp2() - 1.0) / 1_000.0)
    }

    /// Index of the bucket that contains this quantile (from 0 to 1); `None` if nothing was counted.
    pub fn quantile(&self, quantile: f64) -> Option<usize> {
        let wanted = f64::from(self.count()) * quantile;
        let mut sum = 0.0;
        self.0.iter().position(|count| {
            sum += f64::from(*count);
            sum > 0.0 && sum >= wanted
        })
    }
}

/// Index of the bucket for a latency.
fn bucket(time: Duration) -> usize {
    let octaves = (time.as_secs_f64() * 1_000.0 + 1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

/// Outcomes of attempts at one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Attempts that failed because of the target.
    pub failed: u32,
    /// Times until answers began, of the attempts that were answered.
    pub latencies: LatencyHistogram,
}

impl Outcomes {
    /// Number of attempts.
    pub fn count(&self) -> u32 {
        self.failed.saturating_add(self.latencies.count())
    }

    /// Adds other outcomes.
    pub fn add(&mut self, other: &Outcomes) {
        self.failed = self.failed.saturating_add(other.failed);
        self.latencies.add(&other.latencies);
    }
}

impl Outcomes {
    fn since(&self, before: &Outcomes) -> Outcomes {
        Outcomes {
            failed: self.failed.saturating_sub(before.failed),
            latencies: self.latencies.since(&before.latencies),
        }
    }
}

/// What outcomes are counted for: one version on one route during one roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Revision of the roll-out's order.
    pub rollout: Revision,
    /// The route.
    pub route: RouteKey,
    /// The version.
    pub side: Side,
}

/// Outcomes of attempts for each roll-out, route and version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tallies(BTreeMap<Subject, Outcomes>);

/// Maximum number of subjects in one report. Outcomes on further routes are not counted.
const MAX_SUBJECTS: usize = 64;

impl Tallies {
    /// Whether no outcome was counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the maximum number of subjects is reached, so that some outcomes may not have been counted.
    pub fn full(&self) -> bool {
        self.0.len() >= MAX_SUBJECTS
    }

    /// The roll-out of each subject, with repetitions.
    pub fn rollouts(&self) -> impl Iterator<Item = Revision> {
        self.0.keys().map(|subject| subject.rollout)
    }

    /// Counts a failed attempt.
    pub fn record_failure(&mut self, subject: Subject) {
        if let Some(outcomes) = self.entry(subject) {
            outcomes.failed = outcomes.failed.saturating_add(1);
        }
    }

    /// Counts an answer that began after the time `took`.
    pub fn record_answer(&mut self, subject: Subject, took: Duration) {
        if let Some(outcomes) = self.entry(subject) {
            outcomes.latencies.record(took);
        }
    }

    /// The outcomes of a subject; `None` if it is new and [`MAX_SUBJECTS`] is reached.
    fn entry(&mut self, subject: Subject) -> Option<&mut Outcomes> {
        let has_room = self.0.len() < MAX_SUBJECTS || self.0.contains_key(&subject);
        has_room.then(|| self.0.entry(subject).or_default())
    }

    /// Adds the outcomes of other tallies.
    pub fn add(&mut self, others: &Tallies) {
        for (subject, outcomes) in &others.0 {
            if let Some(sum) = self.entry(*subject) {
                sum.add(outcomes);
            }
        }
    }

    /// Removes the outcomes of all other roll-outs.
    pub fn keep_only(&mut self, rollouts: &[Revision]) {
        self.0.retain(|subject, _| rollouts.contains(&subject.rollout));
    }

    /// Outcomes of both versions during a roll-out, by route.
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
    /// Outcomes of the old version.
    pub old: Outcomes,
    /// Outcomes of the new version.
    pub new: Outcomes,
}

impl Compared {
    /// Adds other outcomes.
    pub fn add(&mut self, other: &Compared) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// The outcomes that were added since `before`.
    pub fn since(&self, before: &Compared) -> Compared {
        Compared { old: self.old.since(&before.old), new: self.new.since(&before.new) }
    }
}
