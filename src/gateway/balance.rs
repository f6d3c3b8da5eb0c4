//! Which target a request goes to.
//!
//! Requests with an affinity go to the target that is first in an order that depends on the affinity
//! and the target's home alone (rendezvous hashing), so that every gateway chooses the same one
//! without shared state; when that target is at its bound, to the next in the order. Others go to
//! the less loaded of two drawn at random, those in the same data hall first.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in common with earlier requests from which a request is worth the most to its home.
const FULL_WEIGHT_TOKENS: f64 = 4_096.0;
/// Part of the bound that the cheapest and the dearest requests use: what is known of loads is some
/// hundred milliseconds old, and the room beyond the first part is kept for dear ones.
const BOUND_FRACTIONS: (f64, f64) = (0.6, 0.95);
/// Requests by which a target may exceed that part, so that a fleet at rest can begin to grow.
const BOUND_SLACK_REQUESTS: (f64, f64) = (1.0, 2.0);

/// A target that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of its identity.
    pub key: u64,
    /// Number that affinities are hashed to, if it has one.
    pub home: Option<u32>,
    /// Requests that it is thought to have, from all gateways.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work takes there now, as a multiple of what is usual.
    pub slowdown: f64,
    /// Whether it stands in the gateway's data hall.
    pub near: bool,
    /// Whether it should be left alone if another will do.
    pub last_resort: bool,
}

/// What a request shares with others that came before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Affinity {
    /// Hash of the last part of the prompt that is shared.
    pub hash: u64,
    /// Tokens up to there, which need not be read again where they were read before.
    pub tokens: u64,
}

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Preference {
    /// What the request shares with others, if it does.
    pub affinity: Option<Affinity>,
    /// No target gets more than this multiple of the mean load, and some.
    pub load_bound: f64,
    /// Targets of the service over which the mean is taken, those included that take no new work.
    pub targets: usize,
}

/// Chooses a candidate; `None` when there is none.
///
/// Doubtful ones are chosen only when no other is there.
pub fn choose(
    candidates: &[Candidate],
    preference: Preference,
    rng: &mut impl Rng,
) -> Option<usize> {
    let preferred: Vec<usize> =
        (0..candidates.len()).filter(|at| !candidates[*at].last_resort).collect();
    let all: Vec<usize> = (0..candidates.len()).collect();
    let usable = if preferred.is_empty() { all } else { preferred };
    match preference.affinity {
        Some(affinity) => by_affinity(candidates, &usable, affinity, preference),
        None => by_load(candidates, &usable, rng),
    }
}

fn by_affinity(
    candidates: &[Candidate],
    usable: &[usize],
    affinity: Affinity,
    preference: Preference,
) -> Option<usize> {
    let total: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = (total + 1.0) / preference.targets.max(1) as f64;
    let bound = bound(preference.load_bound, mean, affinity.tokens);
    let fits = |candidate: &Candidate| {
        (candidate.load + 1.0) * candidate.slowdown <= bound.min(f64::from(candidate.slots.max(1)))
    };
    let ranking = Ranking::of(candidates, affinity);
    let fitting = usable.iter().filter(|at| fits(&candidates[**at]));
    let scored = fitting.filter_map(|at| Some((ranking.score(&candidates[*at])?, at)));
    let first = scored.max_by_key(|(score, _)| *score);
    first.map(|(_, at)| at).or_else(|| least_loaded(candidates, usable)).copied()
}

/// Order of an affinity over candidates, the highest place first.
#[derive(Clone, Copy, Debug)]
struct Ranking {
    affinity: Affinity,
    /// Whether places follow from homes; else from identities, while most have no home yet: the few
    /// that have one must not get the work of all.
    by_home: bool,
}

impl Ranking {
    fn of(candidates: &[Candidate], affinity: Affinity) -> Self {
        let homed = candidates.iter().filter(|candidate| candidate.home.is_some()).count();
        Ranking { affinity, by_home: 2 * homed >= candidates.len() }
    }

    /// Place of a candidate, if it has one.
    fn score(self, candidate: &Candidate) -> Option<u64> {
        let seed = self.affinity.hash;
        if self.by_home {
            return Some(xxh3_64_with_seed(&candidate.home?.to_le_bytes(), seed));
        }
        Some(xxh3_64_with_seed(&candidate.key.to_le_bytes(), seed))
    }
}

/// The candidate besides the chosen one that most likely keeps what a request shares with others: the
/// first in the order of its affinity.
pub fn likely_holder(candidates: &[Candidate], chosen: usize, affinity: Affinity) -> Option<usize> {
    let ranking = Ranking::of(candidates, affinity);
    let others = (0..candidates.len()).filter(|at| *at != chosen && !candidates[*at].last_resort);
    let scored = others.filter_map(|at| Some((ranking.score(&candidates[at])?, at)));
    scored.max_by_key(|(score, _)| *score).map(|(_, at)| at)
}

/// Which of the targets that may not be chosen comes before all candidates in the order of an affinity, if
/// one does: it has served that affinity so far.
pub fn earlier_home(
    candidates: &[Candidate],
    ineligible: &[Candidate],
    affinity: Affinity,
) -> Option<usize> {
    let ranking = Ranking::of(candidates, affinity);
    let scored =
        ineligible.iter().enumerate().filter_map(|(at, one)| Some((ranking.score(one)?, at)));
    let (score, at) = scored.max()?;
    let first = candidates.iter().filter_map(|candidate| ranking.score(candidate)).max();
    (Some(score) > first).then_some(at)
}

/// Whether a candidate is the first in the order of an affinity, among all.
pub fn is_first_home(candidates: &[Candidate], chosen: usize, affinity: Affinity) -> bool {
    let ranking = Ranking::of(candidates, affinity);
    let first = candidates.iter().filter_map(|candidate| ranking.score(candidate)).max();
    first.is_some() && ranking.score(&candidates[chosen]) == first
}

/// Whether a target with this home is the first in the order of an affinity among targets with such homes, so
/// that everybody expects it to keep what the affinity shares.
pub fn is_expected_holder(
    home: Option<u32>,
    homes: impl Iterator<Item = Option<u32>>,
    affinity: Affinity,
) -> bool {
    let score = |home: u32| xxh3_64_with_seed(&home.to_le_bytes(), affinity.hash);
    let Some(own) = home.map(score) else {
        return false;
    };
    homes.flatten().map(score).all(|other| other <= own)
}

/// Load that a target may have with one more request, which shares so many tokens with others.
///
/// Where a target is nearly full, cheap requests leave it first: elsewhere they cost little.
fn bound(load_bound: f64, mean: f64, tokens: u64) -> f64 {
    let weight = (tokens as f64 / FULL_WEIGHT_TOKENS).min(1.0);
    let between = |(lowest, highest): (f64, f64)| lowest + weight * (highest - lowest);
    (load_bound * between(BOUND_FRACTIONS)).max(1.0) * mean + between(BOUND_SLACK_REQUESTS)
}

fn least_loaded<'a>(candidates: &[Candidate], usable: &'a [usize]) -> Option<&'a usize> {
    usable.iter().min_by(|a, b| candidates[**a].load.total_cmp(&candidates[**b].load))
}

fn by_load(candidates: &[Candidate], usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let near: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|at| candidates[*at].near && has_free_slot(&candidates[*at]))
        .collect();
    if let Some(at) = better_of_two(candidates, &near, rng) {
        return Some(at);
    }
    better_of_two(candidates, usable, rng)
}

/// Whether the target has a free slot, as far as is known.
fn has_free_slot(candidate: &Candidate) -> bool {
    candidate.load + 1.0 <= f64::from(candidate.slots) / 2.0
}

fn better_of_two(candidates: &[Candidate], among: &[usize], rng: &mut impl Rng) -> Option<usize> {
    if among.is_empty() {
        return None;
    }
    let one = among[rng.random_range(0..among.len())];
    let other = among[rng.random_range(0..among.len())];
    let utilization = |at: usize| {
        let Candidate { load, slots, slowdown, .. } = candidates[at];
        (load + 1.0) * slowdown / f64::from(slots.max(1))
    };
    Some(if utilization(other) < utilization(one) { other } else { one })
}
