//! Large parcels of news that this gateway has, for other gateways to fetch.

use std::collections::VecDeque;

use crate::blob::{Blob, BlobId};

/// Parcels kept: the members name them to others for some seconds.
const KEPT: usize = 8;
/// Bytes kept, beyond the newest parcel.
const KEPT_BYTES: usize = 2 * 1024 * 1024;

/// Parcels, the newest last.
#[derive(Debug, Default)]
pub struct BlobCache(VecDeque<Blob>);

impl BlobCache {
    /// Keeps a parcel, and drops the oldest beyond what is kept.
    pub fn keep(&mut self, parcel: Blob) {
        self.0.retain(|kept| kept.id() != parcel.id());
        self.0.push_back(parcel);
        while self.0.len() > KEPT || (self.0.len() > 1 && self.bytes() > KEPT_BYTES) {
            self.0.pop_front();
        }
    }

    /// A parcel that is kept.
    pub fn get(&self, id: BlobId) -> Option<&Blob> {
        self.0.iter().find(|kept| kept.id() == id)
    }

    fn bytes(&self) -> usize {
        self.0.iter().map(|kept| kept.bytes().len()).sum()
    }
}
