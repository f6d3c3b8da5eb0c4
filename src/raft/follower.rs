//! The follower: appends entries and installs snapshots that its leader sends.

use super::node::Node;
use super::{AppendResult, Entry, Index, Position, Snapshot, Write};

impl Node {
    /// Appends entries if the log matches the leader's at `prev`, and advances the commit index.
    pub(super) fn on_append(
        &mut self,
        prev: Position,
        entries: Vec<Entry>,
        commit: Index,
    ) -> AppendResult {
        let covered = self.log.snapshot().at.index;
        if prev.index >= covered && self.log.term_at(prev.index) != Some(prev.term) {
            let hint = self.log.last().index.min(prev.index.saturating_sub(1));
            return AppendResult::Rejected { hint };
        }
        let matched = prev.index + entries.len() as Index;
        for entry in entries {
            self.append_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        AppendResult::Matched(matched)
    }

    /// Appends an entry of the leader unless the log has it; removes entries that conflict with it.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().at.index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(
                    entry.index > self.commit,
                    "an entry from the leader conflicts with a committed one"
                );
                self.log.truncate(entry.index);
                self.ready.writes.push(Write::Truncate(entry.index));
            }
            None => {}
        }
        self.log.push(entry.clone());
        self.ready.writes.push(Write::Append(entry));
    }

    /// Installs a snapshot unless it covers only entries that are committed here.
    pub(super) fn on_install(&mut self, snapshot: Snapshot) -> AppendResult {
        let index = snapshot.at.index;
        if index > self.commit {
            self.restore(snapshot);
        }
        AppendResult::Matched(index)
    }

    /// Replaces the store, and the log up to there, by `snapshot`.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot.clone());
        self.commit = snapshot.at.index;
        self.delivered = self.commit;
        let snapshot = Box::new(snapshot);
        self.ready.writes.push(Write::Snapshot(snapshot.clone()));
        self.ready.restore = Some(snapshot);
    }
}
