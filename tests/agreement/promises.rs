//! What a group has promised, by a naive model: every committed change in order, applied to a plain
//! map of versions.

use std::collections::BTreeMap;

use latchmount::store::{Answer, Change, Store};

/// Changes that were committed, and those whose answer reached their operator.
#[derive(Default)]
pub struct Promises {
    /// Committed changes with their answers, by index.
    committed: BTreeMap<u64, (Change, Answer)>,
    versions: BTreeMap<String, u64>,
    /// First answers, by id of the change.
    answered: BTreeMap<String, Answer>,
    /// Changes whose answer reached their operator as accepted, with their revision.
    acknowledged: BTreeMap<String, u64>,
    /// Newest revision acknowledged so far.
    newest: u64,
}

impl Promises {
    /// Takes the answer of a member to what is committed at `index`; every member must give the same,
    /// and the one that the model gives.
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
        assert_eq!(*answer, expected, "index {index} against the naive model");
        self.committed.insert(index, (change, expected));
    }

    /// An operator gets the answer that a change was accepted.
    pub fn acknowledge(&mut self, id: String, revision: u64) {
        let first = *self.acknowledged.entry(id.clone()).or_insert(revision);
        assert_eq!(first, revision, "change {id} was answered twice, differently");
        self.newest = self.newest.max(revision);
    }

    /// A plain map with a version for each name.
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

    /// Holds a store against the model.
    pub fn check(&self, store: &Store) {
        let versions: BTreeMap<String, u64> =
            store.templates().iter().map(|(name, stored)| (name.clone(), stored.version)).collect();
        let expected = self.versions.iter().filter(|(_, version)| **version > 0);
        assert!(versions.iter().eq(expected), "a store differs from the naive model");
        assert!(store.revision() >= self.newest, "an acknowledged change is lost");
    }

    /// Committed changes, in order.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.committed.values().map(|(change, _)| change)
    }

    /// Newest revision acknowledged so far.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Number of changes acknowledged as accepted.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }
}
