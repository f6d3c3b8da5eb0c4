//! Prefix holders: targets whose cache holds a prompt prefix although they are not the prompt's first home.
//!
//! The first home of a prompt follows from its hash, so every gateway can compute it. When that target is full, ejected
//! or has just joined, another target processes the prompt, and only the gateway that sent it there knows. Gateways
//! report such targets to their member along with their loads; members relay the reports to each other and to all
//! gateways. A gateway can then name a target to fetch the cached prefix from instead of having the prompt processed
//! again. A wrong or late report costs a fetch that finds nothing.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::loads::LoadKey;

/// Bits of a prompt's hash that are sent: of 3,000 prompts in use, about one in a hundred shares them with another.
const PROMPT_BITS: u32 = 24;
/// Maximum number of entries in a message, eight bytes each: with 300 gateways over five members and three messages a
/// second to each, 6% of a member's link of 6 Mbit/s (by computation).
pub const MAX_HOLDERS_PER_MESSAGE: usize = 32;
/// Maximum number of entries that a member retains for readers that do not have them yet: 32 messages, more than a
/// member sends within [`RETENTION`] when there are many gateways.
const MAX_RETAINED: usize = 1_024;
/// How long a member retains an entry. A reader that has not received it by then gets the report of the next request
/// for the prompt.
const RETENTION: Duration = Duration::from_secs(5);

/// The part of a prompt's hash that identifies the prompt in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptKey(u32);

impl PromptKey {
    /// The key of a prompt whose shared prefix has this hash.
    pub fn of(hash: u64) -> Self {
        PromptKey((hash >> (u64::BITS - PROMPT_BITS)) as u32)
    }
}

/// A target whose cache holds the shared prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHolder {
    /// The prompt.
    pub prompt: PromptKey,
    /// The target.
    pub target: LoadKey,
}

/// Who reported an entry to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedBy {
    /// A gateway connected to this member.
    Gateway,
    /// Another member.
    Member,
}

/// How far a reader has read the log: the number of entries that it has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadPosition(u64);

impl ReadPosition {
    /// The position after the first `read` of the entries that are left after `dropped` were dropped.
    pub(super) fn after(dropped: u64, read: usize) -> Self {
        ReadPosition(dropped + read as u64)
    }

    /// Number of entries passed, of those that are left after `dropped` were dropped.
    pub(super) fn passed(self, dropped: u64) -> usize {
        self.0.saturating_sub(dropped) as usize
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Duration,
    by: ReportedBy,
    holder: PrefixHolder,
}

/// Recent reports to a member in the order of arrival. Each reader follows with a [`ReadPosition`] of its own.
#[derive(Debug, Default)]
pub struct PrefixHolderLog {
    /// Number of entries dropped so far, all of them before the first in `entries`.
    dropped: u64,
    entries: VecDeque<Entry>,
}

impl PrefixHolderLog {
    /// Appends the entries of a message, except those that are in the log already.
    pub fn record(&mut self, now: Duration, by: ReportedBy, holders: &[PrefixHolder]) {
        self.drop_expired(now);
        for holder in holders.iter().take(MAX_HOLDERS_PER_MESSAGE) {
            if self.entries.iter().any(|entry| entry.holder == *holder) {
                continue;
            }
            self.entries.push_back(Entry { at: now, by, holder: *holder });
        }
        while self.entries.len() > MAX_RETAINED {
            self.drop_first();
        }
    }

    /// The next entries for a gateway, at most one message.
    pub fn next_for_gateway(
        &mut self,
        now: Duration,
        position: &mut ReadPosition,
    ) -> Vec<PrefixHolder> {
        self.next(now, position, |_| true)
    }

    /// The next entries for the other members, at most one message: only those that gateways reported here.
    pub fn next_for_members(
        &mut self,
        now: Duration,
        position: &mut ReadPosition,
    ) -> Vec<PrefixHolder> {
        self.next(now, position, |by| by == ReportedBy::Gateway)
    }

    fn next(
        &mut self,
        now: Duration,
        position: &mut ReadPosition,
        wanted: fn(ReportedBy) -> bool,
    ) -> Vec<PrefixHolder> {
        self.drop_expired(now);
        let from = position.passed(self.dropped);
        let mut holders = Vec::new();
        let mut end = from;
        for entry in self.entries.iter().skip(from) {
            if holders.len() == MAX_HOLDERS_PER_MESSAGE {
                break;
            }
            end += 1;
            if wanted(entry.by) {
                holders.push(entry.holder);
            }
        }
        *position = ReadPosition::after(self.dropped, end);
        holders
    }

    fn drop_expired(&mut self, now: Duration) {
        while self.entries.front().is_some_and(|entry| now >= entry.at + RETENTION) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if self.entries.pop_front().is_some() {
            self.dropped += 1;
        }
    }
}
