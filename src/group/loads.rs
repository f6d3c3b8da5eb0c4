//! Reports of requests in flight at targets: their encoding, and how often they are sent.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Minimum time between two load reports.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time for which a load report counts.
const MIN_TTL: Duration = Duration::from_millis(2_500);
/// Time between two load reports of a member to a gateway, per gateway alive.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(4);
/// Number of busy targets up to which [`INTERVAL_PER_GATEWAY`] is enough; beyond, it grows in proportion.
const MAX_TARGETS_PER_INTERVAL: usize = 750;
/// Minimum fraction of that interval when few targets are busy, since each report also costs the handling of a frame.
const MIN_INTERVAL_FRACTION: f64 = 0.3;
/// Time between two reports of a gateway on its own requests, per gateway alive. Shorter than
/// [`INTERVAL_PER_GATEWAY`], since such a report names few targets.
const OWN_INTERVAL_PER_GATEWAY: Duration = Duration::from_micros(500);
/// Bits of a target's hash that are sent. In 2 of 100 fleets two of 800 targets share them; each is then
/// assumed to have the load of both.
const KEY_BITS: u32 = 24;

/// The part of a target's hash that identifies the target in load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadKey(u32);

impl LoadKey {
    /// The key of a target with this hash.
    pub fn of(hash: u64) -> Self {
        LoadKey((hash >> (u64::BITS - KEY_BITS)) as u32)
    }
}

/// Requests in flight at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: LoadKey,
    /// Number of requests.
    pub requests: u32,
}

/// Requests in flight at targets that have any.
///
/// Encoded in the order of the targets' keys, each key as the difference from the previous one: about
/// four bytes a target among 150, where hashes and counts would take twelve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<EncodedLoad>", into = "Vec<EncodedLoad>")]
pub struct Loads(Vec<TargetLoad>);

/// The encoded form of a [`TargetLoad`].
#[derive(Clone, Copy, Serialize, Deserialize)]
struct EncodedLoad {
    /// Difference from the previous key.
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

impl From<Loads> for Vec<EncodedLoad> {
    fn from(loads: Loads) -> Self {
        let mut previous = 0;
        let encode = |load: TargetLoad| {
            let gap = load.target.0 - previous;
            previous = load.target.0;
            EncodedLoad { gap, requests: load.requests }
        };
        loads.0.into_iter().map(encode).collect()
    }
}

impl From<Vec<EncodedLoad>> for Loads {
    fn from(encoded: Vec<EncodedLoad>) -> Self {
        let mut key = 0_u32;
        let decode = |encoded: EncodedLoad| {
            key = key.saturating_add(encoded.gap);
            TargetLoad { target: LoadKey(key), requests: encoded.requests }
        };
        Loads(encoded.into_iter().map(decode).collect())
    }
}

/// Time between two load reports of a member to a gateway, for the numbers of gateways alive and of
/// busy targets.
///
/// Every gateway receives the loads of all targets, so the bytes on a member's link would grow with
/// the product of the two numbers. The interval grows with it to keep them about constant.
pub fn loads_interval(gateways: u32, targets: usize) -> Duration {
    let factor = (targets as f64 / MAX_TARGETS_PER_INTERVAL as f64).max(MIN_INTERVAL_FRACTION);
    MIN_INTERVAL.max((INTERVAL_PER_GATEWAY * gateways).mul_f64(factor))
}

/// Time between two load reports of a gateway to its member.
pub fn own_loads_interval(gateways: u32) -> Duration {
    MIN_INTERVAL.max(OWN_INTERVAL_PER_GATEWAY * gateways)
}

/// Time between two load reports of a member to the other members: they are few, but each report is sent to all.
pub fn member_loads_interval(gateways: u32, targets: usize) -> Duration {
    own_loads_interval(gateways).max(loads_interval(gateways, targets) / 3)
}

/// How long a load report counts, for the same numbers.
pub fn loads_ttl(gateways: u32, targets: usize) -> Duration {
    MIN_TTL.max(loads_interval(gateways, targets) * 3)
}
