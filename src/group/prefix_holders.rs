//! Which targets keep the shared parts of prompts, where that is not the one that everybody expects.
//!
//! The first home of a prompt follows from its hash and is known to all. When that one is full, left alone or just
//! came, another target reads the prompt, and only the gateway that sent it there knows. Gateways tell their members
//! of it with the loads; members pass it on to each other and to all gateways, which then can name a target to fetch
//! the memory from rather than have the prompt read anew. A word that is wrong or late costs a fetch that brings
//! nothing.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::loads::LoadKey;

/// Bits of a prompt's hash that travel: of 3,000 prompts in use some hundredth shares them with another.
const PROMPT_BITS: u32 = 24;
/// Most entries in a word, eight bytes each: at 300 gateways over five members, each told three times a second, 6% of a
/// member's link of 6 Mbit/s (by computation).
pub const MAX_HOLDERS_PER_MESSAGE: usize = 32;
/// Most entries that a member holds for those that it has not told yet: 32 words, more than go out in the time for which
/// entries are held where gateways are many.
const MOST_HELD: usize = 1_024;
/// How long it holds them: who has not been told by then hears of the next request for the prompt.
const HELD_FOR: Duration = Duration::from_secs(5);

/// The part of a prompt's hash by which words name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptKey(u32);

impl PromptKey {
    /// Of a prompt whose shared parts have this hash.
    pub fn of(hash: u64) -> Self {
        PromptKey((hash >> (u64::BITS - PROMPT_BITS)) as u32)
    }
}

/// A target that keeps the shared parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHolder {
    /// The prompt.
    pub prompt: PromptKey,
    /// The target.
    pub target: LoadKey,
}

/// Who told a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedBy {
    /// A gateway that is connected to it.
    Gateway,
    /// Another member.
    Member,
}

/// Up to where a reader has been told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadPosition(u64);

/// An entry, and how it came.
#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Duration,
    by: ReportedBy,
    keeper: PrefixHolder,
}

/// What a member was told lately, in the order in which it came.
#[derive(Debug, Default)]
pub struct PrefixHolderLog {
    /// Entries that were dropped before the first that is held.
    dropped: u64,
    entries: VecDeque<Entry>,
}

impl PrefixHolderLog {
    /// Takes entries; those that are held already are left out.
    pub fn record(&mut self, now: Duration, by: ReportedBy, word: &[PrefixHolder]) {
        self.drop_old(now);
        for keeper in word.iter().take(MAX_HOLDERS_PER_MESSAGE) {
            if self.entries.iter().any(|entry| entry.keeper == *keeper) {
                continue;
            }
            self.entries.push_back(Entry { at: now, by, keeper: *keeper });
        }
        while self.entries.len() > MOST_HELD {
            self.drop_first();
        }
    }

    /// The next word for a gateway.
    pub fn next_for_gateway(
        &mut self,
        now: Duration,
        told: &mut ReadPosition,
    ) -> Vec<PrefixHolder> {
        self.next(now, told, |_| true)
    }

    /// The next word for other members: what gateways told here.
    pub fn next_for_members(
        &mut self,
        now: Duration,
        told: &mut ReadPosition,
    ) -> Vec<PrefixHolder> {
        self.next(now, told, |by| by == ReportedBy::Gateway)
    }

    fn next(
        &mut self,
        now: Duration,
        told: &mut ReadPosition,
        wanted: fn(ReportedBy) -> bool,
    ) -> Vec<PrefixHolder> {
        self.drop_old(now);
        let from = told.0.saturating_sub(self.dropped) as usize;
        let mut word = Vec::new();
        let mut passed = from;
        for entry in self.entries.iter().skip(from) {
            if word.len() == MAX_HOLDERS_PER_MESSAGE {
                break;
            }
            passed += 1;
            if wanted(entry.by) {
                word.push(entry.keeper);
            }
        }
        told.0 = self.dropped + passed as u64;
        word
    }

    fn drop_old(&mut self, now: Duration) {
        while self.entries.front().is_some_and(|entry| now >= entry.at + HELD_FOR) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if self.entries.pop_front().is_some() {
            self.dropped += 1;
        }
    }
}
