//! The Raft log in memory: a snapshot and the entries after it.

use super::{Entry, Index, Members, Payload, Position, Snapshot, Term};

/// A snapshot and the entries after it, without gaps.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Index of the last entry that changes the membership.
    members_at: Option<Index>,
}

impl Log {
    /// A log that starts after `snapshot`.
    pub fn new(snapshot: Snapshot) -> Self {
        Log { snapshot, entries: Vec::new(), members_at: None }
    }

    /// The snapshot before the first entry.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Position of the last entry.
    pub fn last(&self) -> Position {
        self.entries
            .last()
            .map_or(self.snapshot.at, |entry| Position { term: entry.term, index: entry.index })
    }

    /// Entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Term of the entry at `index`, if it is in the log or the last one that the snapshot covers.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.at.index {
            return Some(self.snapshot.at.term);
        }
        self.offset(index).map(|at| self.entries[at].term)
    }

    /// Entries from `index` on.
    pub fn from(&self, index: Index) -> &[Entry] {
        let first = self.snapshot.at.index + 1;
        let skip = index.saturating_sub(first) as usize;
        &self.entries[skip.min(self.entries.len())..]
    }

    /// Appends an entry.
    ///
    /// # Panics
    /// If its index does not follow the last one, which is a bug of the caller.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last().index + 1, "log entry out of order");
        if matches!(entry.payload, Payload::Members(_)) {
            self.members_at = Some(entry.index);
        }
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: Index) {
        if let Some(at) = self.offset(index) {
            self.entries.truncate(at);
            self.find_members();
        }
    }

    /// Replaces the entries that `snapshot` covers; all entries if the log has none at its position with
    /// the same term.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let agrees = self.term_at(snapshot.at.index) == Some(snapshot.at.term);
        let kept = if agrees { self.from(snapshot.at.index + 1).to_vec() } else { Vec::new() };
        self.snapshot = snapshot;
        self.entries = kept;
        self.find_members();
    }

    /// Membership as of the last entry, and the index of the entry that set it.
    pub fn members(&self) -> (&Members, Index) {
        self.members_at
            .and_then(|index| self.members_in(index))
            .unwrap_or((&self.snapshot.members, self.snapshot.at.index))
    }

    /// Membership as of the entry at `index`.
    pub fn members_as_of(&self, index: Index) -> &Members {
        let earlier = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let latest = earlier.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            _ => None,
        });
        latest.into_iter().next().unwrap_or(&self.snapshot.members)
    }

    fn members_in(&self, index: Index) -> Option<(&Members, Index)> {
        match &self.entries[self.offset(index)?].payload {
            Payload::Members(members) => Some((members, index)),
            _ => None,
        }
    }

    fn find_members(&mut self) {
        let mut newest_first = self.entries.iter().rev();
        let latest = newest_first.find(|entry| matches!(entry.payload, Payload::Members(_)));
        self.members_at = latest.map(|entry| entry.index);
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let at = index.checked_sub(self.snapshot.at.index + 1)? as usize;
        (at < self.entries.len()).then_some(at)
    }
}
