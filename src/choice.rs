//! Choice of a target: rendezvous hashing with bounded load.
//!
//! The order of targets for a chat depends on nothing but the chat and the targets' names, so a
//! returning chat meets its cached prefix through any router, and a target that joins or leaves
//! moves only its own chats. A target at its bound is passed over for the next in the order.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a chat or request, the key of the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// The key of a chat of a team.
    pub fn chat(team: &str, chat: &[u8]) -> Self {
        Key(xxh3_64_with_seed(chat, xxh3_64(team.as_bytes())))
    }
}

/// Hash of a target's name, worked out once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Hash of `name`.
    pub fn new(name: &str) -> Self {
        NameHash(xxh3_64(name.as_bytes()))
    }
}

/// What the choice needs to know of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of its name.
    pub name: NameHash,
    /// Requests in flight there.
    pub load: usize,
}

/// Score of a target for a key; the highest comes first in the order.
pub fn score(key: Key, name: NameHash) -> u64 {
    // The finalizer of SplitMix64: every bit of the input moves every bit of the score.
    let mut mixed = key.0 ^ name.0;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Most requests that one of `targets` may carry when `total` are in flight, the new one counted.
pub fn cap(total: usize, targets: usize, bound: f64) -> usize {
    if targets == 0 {
        return 0;
    }
    let mean = total as f64 / targets as f64;
    (mean * bound).ceil() as usize
}

/// Index of the first candidate in the key's order that is below `cap`.
pub fn choose(key: Key, candidates: &[Candidate], cap: usize) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.load < cap)
        .max_by_key(|(_, candidate)| score(key, candidate.name))
        .map(|(at, _)| at)
}
