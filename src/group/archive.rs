//! Recent configuration documents, so that gateways get differences.

use std::collections::{HashMap, VecDeque};

use super::cursor::{Brings, Piece};
use crate::blob::{Blob, Content};
use crate::document::Document;
use crate::link::LinkError;

/// Documents kept: at four changes a second, a gateway that was out of reach for 8 s still gets a
/// difference of some hundred bytes, where the whole document takes some thousand.
const KEPT: usize = 32;
/// Bytes of documents kept, beyond the newest.
const KEPT_BYTES: usize = 16 * 1024 * 1024;

/// Recent documents, and how they were packed for gateways by the version that those have.
#[derive(Debug, Default)]
pub(super) struct Archive {
    documents: VecDeque<Document>,
    packed: HashMap<u64, Piece>,
}

impl Archive {
    /// Packs `newest` for a gateway that has version `known`.
    ///
    /// A large parcel stays the one for all that have the same, also when there is a newer document:
    /// gateways pass it on already, and get the rest as a small difference from there.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be packed.
    pub(super) fn pack(
        &mut self,
        newest: &Document,
        known: u64,
    ) -> Result<Option<Piece>, LinkError> {
        if known >= newest.version {
            return Ok(None);
        }
        self.keep(newest);
        if let Some(packed) = self.packed.get(&known) {
            return Ok(Some(packed.clone()));
        }
        let base = self.documents.iter().find(|document| document.version == known);
        let packed = newest.pack(base).map_err(|_| LinkError::Garbled)?;
        let parcel = Blob::pack(&Content::Document(packed))?;
        let piece = Piece { parcel, brings: Brings::Version(newest.version) };
        self.packed.insert(known, piece.clone());
        Ok(Some(piece))
    }

    fn keep(&mut self, newest: &Document) {
        if self.documents.back().is_some_and(|last| last.version >= newest.version) {
            return;
        }
        self.documents.push_back(newest.clone());
        let bytes = |documents: &VecDeque<Document>| -> usize {
            documents.iter().map(|document| document.bytes.len()).sum()
        };
        while self.documents.len() > KEPT
            || (self.documents.len() > 1 && bytes(&self.documents) > KEPT_BYTES)
        {
            self.documents.pop_front();
        }
        let oldest = self.documents.front().map_or(0, |oldest| oldest.version);
        let held = |brings| matches!(brings, Brings::Version(version) if version >= oldest);
        self.packed.retain(|_, piece| piece.parcel.is_large() && held(piece.brings));
    }
}
