//! Words about what targets have in flight: how they travel, and how often.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Shortest time between two words about loads.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time that a word about loads counts.
const SHORTEST_COUNT: Duration = Duration::from_millis(2_500);
/// Time between two words of a member to a gateway, for each gateway alive.
const INTERVAL_EACH: Duration = Duration::from_millis(4);
/// Targets up to which that time is enough.
const TARGETS_OF_ONE_WORD: usize = 750;
/// Part of that time that words take at least, since each is a frame to be handled.
const LEAST_PART: f64 = 0.3;
/// Time between two words of a gateway about its own requests, for each gateway alive: such a word
/// names few targets.
const OWN_INTERVAL_EACH: Duration = Duration::from_micros(500);
/// Bits of a target's hash that travel: two of 800 targets share them in 2 of 100 fleets, and are then
/// thought to have the load of both.
const KEY_BITS: u32 = 24;

/// The part of a target's hash by which loads name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadKey(u32);

impl LoadKey {
    /// Of a target with this hash.
    pub fn of(hash: u64) -> Self {
        LoadKey((hash >> (u64::BITS - KEY_BITS)) as u32)
    }
}

/// Requests in flight at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: LoadKey,
    /// Requests.
    pub requests: u32,
}

/// Requests in flight at targets that have any.
///
/// Travels in the order of the targets' keys, each as the distance from the one before: some four
/// bytes a target among 150, where hashes and counts would take twelve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Step>", into = "Vec<Step>")]
pub struct Loads(Vec<TargetLoad>);

/// A load on its way.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Step {
    /// Distance from the key before.
    gap: u32,
    requests: u32,
}

impl Loads {
    /// The loads, in the order of the targets.
    pub fn all(&self) -> &[TargetLoad] {
        &self.0
    }

    /// Whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of targets that have anything in flight.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl FromIterator<TargetLoad> for Loads {
    fn from_iter<I: IntoIterator<Item = TargetLoad>>(loads: I) -> Self {
        let mut loads: Vec<TargetLoad> = loads.into_iter().collect();
        loads.sort_unstable_by_key(|load| load.target);
        Loads(loads)
    }
}

impl From<Loads> for Vec<Step> {
    fn from(loads: Loads) -> Self {
        let mut before = 0;
        let step = |load: TargetLoad| {
            let gap = load.target.0 - before;
            before = load.target.0;
            Step { gap, requests: load.requests }
        };
        loads.0.into_iter().map(step).collect()
    }
}

impl From<Vec<Step>> for Loads {
    fn from(steps: Vec<Step>) -> Self {
        let mut key = 0_u32;
        let load = |step: Step| {
            key = key.saturating_add(step.gap);
            TargetLoad { target: LoadKey(key), requests: step.requests }
        };
        Loads(steps.into_iter().map(load).collect())
    }
}

/// Between two words of a member to a gateway, while so many gateways are alive and so many targets
/// are busy.
///
/// Every gateway hears the loads of all targets, so that the bytes on a member's link grow with the
/// product; this keeps them about the same.
pub fn loads_interval(gateways: u32, targets: usize) -> Duration {
    let longer = (targets as f64 / TARGETS_OF_ONE_WORD as f64).max(LEAST_PART);
    SHORTEST_INTERVAL.max((INTERVAL_EACH * gateways).mul_f64(longer))
}

/// Between two words of a gateway to its member.
pub fn own_loads_interval(gateways: u32) -> Duration {
    SHORTEST_INTERVAL.max(OWN_INTERVAL_EACH * gateways)
}

/// Between two words of a member to the others: there are few of them, but each word goes to all.
pub fn member_loads_interval(gateways: u32, targets: usize) -> Duration {
    own_loads_interval(gateways).max(loads_interval(gateways, targets) / 3)
}

/// How long a word about loads counts, under the same circumstances.
pub fn loads_ttl(gateways: u32, targets: usize) -> Duration {
    SHORTEST_COUNT.max(loads_interval(gateways, targets) * 3)
}
