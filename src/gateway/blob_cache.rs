//! Recent large blobs, which other gateways fetch from this one.

use std::collections::VecDeque;

use crate::blob::{Blob, BlobId};

/// Maximum number of blobs. Members refer other gateways to a blob for some seconds only.
const MAX_BLOBS: usize = 8;
/// Maximum total size, unless the newest blob alone is larger.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Blobs in the order in which they were inserted.
#[derive(Debug, Default)]
pub struct BlobCache(VecDeque<Blob>);

impl BlobCache {
    /// Inserts a blob as the newest, and evicts the oldest ones beyond the limits.
    pub fn insert(&mut self, blob: Blob) {
        self.0.retain(|cached| cached.id() != blob.id());
        self.0.push_back(blob);
        while self.0.len() > MAX_BLOBS || (self.0.len() > 1 && self.total_bytes() > MAX_BYTES) {
            self.0.pop_front();
        }
    }

    /// The cached blob with this id.
    pub fn get(&self, id: BlobId) -> Option<&Blob> {
        self.0.iter().find(|cached| cached.id() == id)
    }

    fn total_bytes(&self) -> usize {
        self.0.iter().map(|cached| cached.bytes().len()).sum()
    }
}
