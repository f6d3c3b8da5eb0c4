//! Recent configuration documents, kept to send gateways the difference to the one they have.

use std::collections::{HashMap, VecDeque};

use super::cursor::{MissingBlob, Progress};
use crate::blob::{Blob, Content};
use crate::document::Document;
use crate::link::LinkError;

/// Documents kept. At four changes a second, a gateway that was unreachable for 8 s still gets a difference of some
/// hundred bytes, where the whole document takes some thousand.
const MAX_DOCUMENTS: usize = 32;
/// Total size of the documents kept; the newest is kept whatever its size.
const MAX_DOCUMENTS_BYTES: usize = 16 * 1024 * 1024;

/// Recent documents, and the blobs packed from them, by the version that the receiving gateway has.
#[derive(Debug, Default)]
pub(super) struct Archive {
    documents: VecDeque<Document>,
    packed: HashMap<u64, MissingBlob>,
}

impl Archive {
    /// Packs `newest` for a gateway that has version `known`, 0 for none; `None` if the gateway lacks nothing.
    ///
    /// A large blob is reused for all gateways that have the same version, even when there is a newer document: peers
    /// distribute it already, and the gateways get a small difference from there.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be packed.
    pub(super) fn pack(
        &mut self,
        newest: &Document,
        known: u64,
    ) -> Result<Option<MissingBlob>, LinkError> {
        if known >= newest.version {
            return Ok(None);
        }
        self.keep(newest);
        if let Some(packed) = self.packed.get(&known) {
            return Ok(Some(packed.clone()));
        }
        let base = self.documents.iter().find(|document| document.version == known);
        let packed = newest.pack(base).map_err(|_| LinkError::Garbled)?;
        let blob = Blob::pack(&Content::Document(packed))?;
        let missing = MissingBlob { blob, advances_to: Progress::Version(newest.version) };
        self.packed.insert(known, missing.clone());
        Ok(Some(missing))
    }

    /// Adds a new document, and drops the oldest beyond the limits and the blobs that are no longer of use.
    fn keep(&mut self, newest: &Document) {
        if self.documents.back().is_some_and(|last| last.version >= newest.version) {
            return;
        }
        self.documents.push_back(newest.clone());
        let bytes = |documents: &VecDeque<Document>| -> usize {
            documents.iter().map(|document| document.bytes.len()).sum()
        };
        while self.documents.len() > MAX_DOCUMENTS
            || (self.documents.len() > 1 && bytes(&self.documents) > MAX_DOCUMENTS_BYTES)
        {
            self.documents.pop_front();
        }
        let oldest = self.documents.front().map_or(0, |oldest| oldest.version);
        let held = |progress| matches!(progress, Progress::Version(version) if version >= oldest);
        self.packed.retain(|_, missing| missing.blob.is_large() && held(missing.advances_to));
    }
}
