//! Naive model of configuration changes: every committed change in order, applied to a plain map of
//! versions.

use std::collections::BTreeMap;

use latchmount::store::{Answer, Change, Store};

/// Committed changes, and those acknowledged to their operator.
#[derive(Default)]
pub struct ChangeModel {
    /// Committed changes with their answers, by log index.
    committed: BTreeMap<u64, (Change, Answer)>,
    versions: BTreeMap<String, u64>,
    /// The first answer to each change, by its id.
    answered: BTreeMap<String, Answer>,
    /// Revisions of changes acknowledged as accepted, by id.
    acknowledged: BTreeMap<String, u64>,
    /// The newest acknowledged revision.
    newest: u64,
}

impl ChangeModel {
    /// Checks a member's answer to the change committed at `index`: every member must give the same
    /// answer as the model.
    pub fn commit(
        &mut self,
        member: usize,
        index: u64,
        proposed: impl FnOnce() -> Change,
        answer: &Answer,
    ) {
        if let Some((_, first)) = self.committed.get(&index) {
            assert_eq!(first, answer, "index {index} differs at member {member}");
            return;
        }
        let change = proposed();
        let expected = self.answer(index, &change);
        assert_eq!(*answer, expected, "index {index} differs from the model");
        self.committed.insert(index, (change, expected));
    }

    /// Records that an operator received the answer that its change was accepted.
    pub fn acknowledge(&mut self, id: String, revision: u64) {
        let first = *self.acknowledged.entry(id.clone()).or_insert(revision);
        assert_eq!(first, revision, "change {id} was acknowledged with two revisions");
        self.newest = self.newest.max(revision);
    }

    /// The model's answer: a change is accepted if its base is the template's version, and a repeated id gets the first answer.
    fn answer(&mut self, index: u64, change: &Change) -> Answer {
        if let Some(answer) = self.answered.get(&change.id) {
            return answer.clone();
        }
        let version = self.versions.entry(change.template.name.clone()).or_default();
        let answer = if *version == change.base {
            *version += 1;
            Answer::Accepted { version: *version, revision: index }
        } else {
            Answer::Conflict { in_force: *version }
        };
        self.answered.insert(change.id.clone(), answer.clone());
        answer
    }

    /// Checks a store against the model.
    pub fn check(&self, store: &Store) {
        let versions: BTreeMap<String, u64> =
            store.templates().iter().map(|(name, stored)| (name.clone(), stored.version)).collect();
        let expected = self.versions.iter().filter(|(_, version)| **version > 0);
        assert!(versions.iter().eq(expected), "a store differs from the model");
        assert!(store.revision() >= self.newest, "an acknowledged change is lost");
    }

    /// Committed changes, in order.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.committed.values().map(|(change, _)| change)
    }

    /// The newest acknowledged revision.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Number of changes acknowledged as accepted.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }
}
