//! What a follower does: takes entries and snapshots of its leader.

use super::node::Node;
use super::{AppendResult, Entry, Index, Position, Snapshot, Write};

impl Node {
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

    /// Adds an entry of the leader unless it is there; what stands in its place goes.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().at.index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(entry.index > self.commit, "a committed entry would be replaced");
                self.log.truncate(entry.index);
                self.ready.writes.push(Write::Truncate(entry.index));
            }
            None => {}
        }
        self.log.push(entry.clone());
        self.ready.writes.push(Write::Append(entry));
    }

    pub(super) fn on_install(&mut self, snapshot: Snapshot) -> AppendResult {
        let index = snapshot.at.index;
        if index > self.commit {
            self.restore(snapshot);
        }
        AppendResult::Matched(index)
    }

    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot.clone());
        self.commit = snapshot.at.index;
        self.delivered = self.commit;
        let snapshot = Box::new(snapshot);
        self.ready.writes.push(Write::Snapshot(snapshot.clone()));
        self.ready.restore = Some(snapshot);
    }
}
