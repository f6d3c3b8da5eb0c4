//! Which target a request goes to.
//!
//! Requests with an affinity go to the target that is first in an order that depends on the affinity
//! and the target's home alone (rendezvous hashing), so that every gateway chooses the same one
//! without shared state; when that target is at its bound, to the next in the order. Others go to
//! the less loaded of two drawn at random, those in the same data hall first.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests by which a target may exceed its bound, so that a fleet at rest can begin to grow.
const BOUND_SLACK: f64 = 1.5;
/// Part of the bound that is used, since what is known of loads is some hundred milliseconds old.
const BOUND_PART: f64 = 0.9;

/// A target that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Number that affinities are hashed to, if it has one.
    pub home: Option<u32>,
    /// Requests that it is thought to have, from all gateways.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it stands in the gateway's data hall.
    pub near: bool,
    /// Whether it should be left alone if another will do.
    pub doubtful: bool,
}

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wish {
    /// Hash of what the request shares with others, if it does.
    pub affinity: Option<u64>,
    /// No target gets more than this multiple of the mean load, and some.
    pub load_bound: f64,
    /// Targets of the service over which the mean is taken, those included that take no new work.
    pub targets: usize,
}

/// Chooses a candidate; `None` when there is none.
///
/// Doubtful ones are chosen only when no other is there.
pub fn choose(candidates: &[Candidate], wish: Wish, rng: &mut impl Rng) -> Option<usize> {
    let sound: Vec<usize> = (0..candidates.len()).filter(|at| !candidates[*at].doubtful).collect();
    let all: Vec<usize> = (0..candidates.len()).collect();
    let usable = if sound.is_empty() { all } else { sound };
    match wish.affinity {
        Some(affinity) => by_affinity(candidates, &usable, affinity, wish),
        None => by_load(candidates, &usable, rng),
    }
}

fn by_affinity(
    candidates: &[Candidate],
    usable: &[usize],
    affinity: u64,
    wish: Wish,
) -> Option<usize> {
    let total: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = (total + 1.0) / wish.targets.max(1) as f64;
    let bound = (wish.load_bound * BOUND_PART).max(1.0) * mean + BOUND_SLACK;
    let rank = |home: u32| xxh3_64_with_seed(&home.to_le_bytes(), affinity);
    let fits = |candidate: &Candidate| {
        candidate.load + 1.0 <= bound.min(f64::from(candidate.slots.max(1)))
    };
    let homes = usable.iter().filter_map(|at| Some((candidates[*at].home?, at)));
    let first = homes.filter(|(_, at)| fits(&candidates[**at])).max_by_key(|(home, _)| rank(*home));
    first.map(|(_, at)| at).or_else(|| least_loaded(candidates, usable)).copied()
}

fn least_loaded<'a>(candidates: &[Candidate], usable: &'a [usize]) -> Option<&'a usize> {
    usable.iter().min_by(|a, b| candidates[**a].load.total_cmp(&candidates[**b].load))
}

fn by_load(candidates: &[Candidate], usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let near: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|at| candidates[*at].near && spare(&candidates[*at]))
        .collect();
    if let Some(at) = better_of_two(candidates, &near, rng) {
        return Some(at);
    }
    better_of_two(candidates, usable, rng)
}

/// Whether the target has a free slot, as far as is known.
fn spare(candidate: &Candidate) -> bool {
    candidate.load + 1.0 <= f64::from(candidate.slots) / 2.0
}

fn better_of_two(candidates: &[Candidate], among: &[usize], rng: &mut impl Rng) -> Option<usize> {
    if among.is_empty() {
        return None;
    }
    let one = among[rng.random_range(0..among.len())];
    let other = among[rng.random_range(0..among.len())];
    let part = |at: usize| candidates[at].load / f64::from(candidates[at].slots.max(1));
    Some(if part(other) < part(one) { other } else { one })
}
