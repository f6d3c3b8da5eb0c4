//! Incarnations of targets that may have ended without the members knowing.
//!
//! A target may restart under its identity, also as another version of its software. Until a member has a heartbeat of
//! the new incarnation, which a partition can delay, the directory lists the old one. Gateways notice that connections
//! to a target break or are refused. They report that to their member at once, and the members tell each other and all
//! gateways, so that also a gateway without a connection to the target knows.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::stream_origins::ReportedBy;

/// How long a suspicion counts. If the incarnation had ended, the members would have missed its heartbeats or received
/// those of the next one by then.
pub const SUSPICION_TTL: Duration = Duration::from_secs(30);
/// A suspicion is not passed on if an earlier one of the same incarnation is younger than this.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of suspicions in a message, about 12 bytes each.
pub const MAX_PER_MESSAGE: usize = 512;
/// Maximum number of incarnations that are retained, about 50 bytes each.
const MAX_RETAINED: usize = 16_384;

/// An incarnation of a target that may have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedRestart {
    /// Hash of the incarnation, as of [`Announcement::key`](crate::directory::Announcement::key).
    pub target: u64,
    /// How long ago a connection to it last broke or was refused, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Duration,
    by: ReportedBy,
    /// Number of the change that recorded it.
    change: u64,
}

/// The suspicions that one process knows.
#[derive(Debug, Default)]
pub struct SuspectedRestarts {
    entries: HashMap<u64, Entry>,
    /// Number of the last change.
    newest: u64,
}

impl SuspectedRestarts {
    /// Records a suspicion. Returns whether it is new, so that others are to be told.
    pub fn record(&mut self, now: Duration, by: ReportedBy, suspicion: SuspectedRestart) -> bool {
        let at = now.saturating_sub(Duration::from_millis(suspicion.age_ms.into()));
        let known = self.entries.get(&suspicion.target);
        let repeats = known.is_some_and(|known| at < known.at + MIN_INTERVAL);
        if repeats || now >= at + SUSPICION_TTL {
            return false;
        }
        if known.is_none() && self.entries.len() >= MAX_RETAINED {
            self.make_room(now);
        }
        self.newest += 1;
        self.entries.insert(suspicion.target, Entry { at, by, change: self.newest });
        true
    }

    /// Number of the last change.
    pub fn newest_change(&self) -> u64 {
        self.newest
    }

    /// The suspicions recorded after change `after`, oldest first and at most [`MAX_PER_MESSAGE`], and the change up to
    /// which they go.
    pub fn changes_after(&self, now: Duration, after: u64) -> (Vec<SuspectedRestart>, u64) {
        self.select(now, after, |_| true)
    }

    /// Those among them that this process passes on.
    pub fn local_changes_after(&self, now: Duration, after: u64) -> (Vec<SuspectedRestart>, u64) {
        self.select(now, after, |entry| entry.by == ReportedBy::Local)
    }

    fn select(
        &self,
        now: Duration,
        after: u64,
        wanted: impl Fn(&Entry) -> bool,
    ) -> (Vec<SuspectedRestart>, u64) {
        let counts = |entry: &Entry| entry.change > after && now < entry.at + SUSPICION_TTL;
        let mut changed: Vec<(u64, &Entry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| counts(entry) && wanted(entry))
            .map(|(target, entry)| (*target, entry))
            .collect();
        changed.sort_unstable_by_key(|(_, entry)| entry.change);
        let upto = match changed.get(MAX_PER_MESSAGE) {
            Some(_) => changed[MAX_PER_MESSAGE - 1].1.change,
            None => self.newest,
        };
        changed.truncate(MAX_PER_MESSAGE);
        let suspicion = |(target, entry): (u64, &Entry)| SuspectedRestart {
            target,
            age_ms: now.saturating_sub(entry.at).as_millis().try_into().unwrap_or(u32::MAX),
        };
        (changed.into_iter().map(suspicion).collect(), upto)
    }

    /// Drops what no longer counts, and the oldest entry if nothing was dropped.
    fn make_room(&mut self, now: Duration) {
        self.entries.retain(|_, entry| now < entry.at + SUSPICION_TTL);
        if self.entries.len() < MAX_RETAINED {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.change);
        if let Some(oldest) = oldest.map(|(target, _)| *target) {
            self.entries.remove(&oldest);
        }
    }
}
