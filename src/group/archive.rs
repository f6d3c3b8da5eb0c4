//! Recent configuration documents, so that gateways get differences.

use std::collections::{HashMap, VecDeque};

use crate::document::{Document, Packed};

/// Documents kept.
const KEPT: usize = 8;
/// Bytes of documents kept, beyond the newest.
const KEPT_BYTES: usize = 16 * 1024 * 1024;

/// Recent documents, and how the newest was packed against each.
#[derive(Debug, Default)]
pub(super) struct Archive {
    documents: VecDeque<Document>,
    packed: HashMap<u64, Packed>,
}

impl Archive {
    /// Packs `newest` for a gateway that has version `known`.
    pub(super) fn pack(&mut self, newest: &Document, known: u64) -> Option<Packed> {
        if known >= newest.version {
            return None;
        }
        self.keep(newest);
        if let Some(packed) = self.packed.get(&known) {
            return Some(packed.clone());
        }
        let base = self.documents.iter().find(|document| document.version == known);
        let packed = newest.pack(base).ok()?;
        self.packed.insert(known, packed.clone());
        Some(packed)
    }

    fn keep(&mut self, newest: &Document) {
        if self.documents.back().is_some_and(|last| last.version >= newest.version) {
            return;
        }
        self.packed.clear();
        self.documents.push_back(newest.clone());
        let bytes = |documents: &VecDeque<Document>| -> usize {
            documents.iter().map(|document| document.bytes.len()).sum()
        };
        while self.documents.len() > KEPT
            || (self.documents.len() > 1 && bytes(&self.documents) > KEPT_BYTES)
        {
            self.documents.pop_front();
        }
    }
}
