//! The load-balancing algorithm.
//!
//! A request with an affinity goes to the target that ranks first for it by rendezvous hashing over
//! the targets' homes, so that all gateways choose the same one without shared state. If that
//! target has reached its load bound, the next in the ranking is used. Other requests go to the
//! less loaded of two targets drawn at random, preferably in the gateway's own data hall.

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of shared tokens from which a request gets the highest load bound at its home.
const FULL_WEIGHT_TOKENS: f64 = 4_096.0;
/// Fraction of the load bound that requests with no and with many shared tokens may use. The known
/// loads are some hundred milliseconds old, and the room above the first fraction is reserved for
/// requests that share many tokens.
const BOUND_FRACTIONS: (f64, f64) = (0.6, 0.95);
/// Requests by which a target may exceed that fraction, so that load can build up from zero.
const BOUND_SLACK_REQUESTS: (f64, f64) = (1.0, 2.0);

/// A target that the request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of its identity.
    pub key: u64,
    /// Hash slot to which affinities are mapped, if the target has one.
    pub home: Option<u32>,
    /// Estimated requests in flight, from all gateways.
    pub load: f64,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Processing time as a multiple of the usual time.
    pub slowdown: f64,
    /// Whether it is in the gateway's data hall.
    pub near: bool,
    /// Whether it should be used only if there is no other.
    pub last_resort: bool,
}

/// The prompt prefix that a request shares with earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Affinity {
    /// Hash of the last shared part of the prompt.
    pub hash: u64,
    /// Tokens up to there. A target that has them cached need not process them again.
    pub tokens: u64,
}

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Preference {
    /// The prefix that the request shares with others, if any.
    pub affinity: Option<Affinity>,
    /// Maximum load of a target, as a multiple of the mean load.
    pub load_bound: f64,
    /// Number of targets over which the mean is taken, including those that take no new requests.
    pub targets: usize,
}

/// Chooses a candidate and returns its index; `None` if there are no candidates.
///
/// Candidates of last resort are chosen only if there is no other.
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

/// Rendezvous hashing: the ranking of candidates for an affinity, highest score first.
#[derive(Clone, Copy, Debug)]
struct Ranking {
    affinity: Affinity,
    /// Whether scores are computed from homes. They are computed from identities while most
    /// candidates have no home: otherwise the few that have one would get all requests.
    by_home: bool,
}

impl Ranking {
    fn of(candidates: &[Candidate], affinity: Affinity) -> Self {
        let homed = candidates.iter().filter(|candidate| candidate.home.is_some()).count();
        Ranking { affinity, by_home: 2 * homed >= candidates.len() }
    }

    /// Score of a candidate; `None` if it has no home and scores are computed from homes.
    fn score(self, candidate: &Candidate) -> Option<u64> {
        let seed = self.affinity.hash;
        if self.by_home {
            return Some(xxh3_64_with_seed(&candidate.home?.to_le_bytes(), seed));
        }
        Some(xxh3_64_with_seed(&candidate.key.to_le_bytes(), seed))
    }
}

/// The candidate other than the chosen one that most likely has the shared prefix cached: the one
/// with the highest score.
pub fn likely_holder(candidates: &[Candidate], chosen: usize, affinity: Affinity) -> Option<usize> {
    let ranking = Ranking::of(candidates, affinity);
    let others = (0..candidates.len()).filter(|at| *at != chosen && !candidates[*at].last_resort);
    let scored = others.filter_map(|at| Some((ranking.score(&candidates[at])?, at)));
    scored.max_by_key(|(score, _)| *score).map(|(_, at)| at)
}

/// The ineligible target that ranks above all candidates for an affinity, if there is one: it has
/// served the affinity so far.
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

/// Whether the chosen candidate ranks first of all candidates for an affinity.
pub fn is_first_home(candidates: &[Candidate], chosen: usize, affinity: Affinity) -> bool {
    let ranking = Ranking::of(candidates, affinity);
    let first = candidates.iter().filter_map(|candidate| ranking.score(candidate)).max();
    first.is_some() && ranking.score(&candidates[chosen]) == first
}

/// Whether a target with this home ranks first among `homes` for an affinity. Every gateway then
/// assumes that it has the shared prefix cached.
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

/// Maximum load of a target including the new request, which shares `tokens` tokens with others.
///
/// The bound is lower for requests that share few tokens: as a target fills up, they move elsewhere
/// first, where they cost little extra.
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

/// Whether the target is estimated to have a free slot.
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
