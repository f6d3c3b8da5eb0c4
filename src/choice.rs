//! Chooses a target by rendezvous hashing with bounded loads.
//!
//! The order of targets for a chat depends only on the chat and the targets' names. So any router sends a returning
//! chat to the target that has its prefix cached, and a target that is added or removed moves only its own chats. A
//! target that has reached its load bound is skipped for the next in the order.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a chat or request, which determines the order of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// The key of a chat of a team.
    pub fn chat(team: &str, chat: &[u8]) -> Self {
        Key(xxh3_64_with_seed(chat, xxh3_64(team.as_bytes())))
    }
}

/// Hash of a target's name, computed once per target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Hash of `name`.
    pub fn new(name: &str) -> Self {
        NameHash(xxh3_64(name.as_bytes()))
    }
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of its name.
    pub name: NameHash,
    /// Number of requests in flight at it.
    pub load: usize,
}

/// Score of a target for a key; the target with the highest score is first in the order.
pub fn score(key: Key, name: NameHash) -> u64 {
    // The finalizer of SplitMix64, in which every bit of the input affects every bit of the score.
    let mut mixed = key.0 ^ name.0;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maximum number of requests in flight at each of `targets` targets when `total` are in flight at all of them,
/// including the new one. `bound` is the allowed multiple of the mean.
pub fn cap(total: usize, targets: usize, bound: f64) -> usize {
    if targets == 0 {
        return 0;
    }
    let mean = total as f64 / targets as f64;
    (mean * bound).ceil() as usize
}

/// Index of the first candidate in the key's order whose load is below `cap`.
pub fn choose(key: Key, candidates: &[Candidate], cap: usize) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.load < cap)
        .max_by_key(|(_, candidate)| score(key, candidate.name))
        .map(|(at, _)| at)
}
