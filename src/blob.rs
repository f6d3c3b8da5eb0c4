//! Pieces of news that many gateways need alike, and pass on to each other.
//!
//! A member's link is small beside those of all its gateways together. So a member sends a large
//! piece to few, and tells the others its name and a gateway that has it. The name is a hash over the
//! bytes: what comes from a gateway is taken only if it is what the member named.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::document::PackedDocument;
use crate::group::listing::PackedDelta;
use crate::link::LinkError;

/// Length in bytes from which a parcel is worth fetching from another gateway, rather than to be sent
/// along with a sign of life: naming it takes some 30 bytes, fetching it a connection.
const LARGE_FROM: usize = 2_000;

/// Name of a parcel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BlobId(u128);

impl BlobId {
    /// The name of no parcel.
    pub const NONE: BlobId = BlobId(0);
}

/// What is in a parcel.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Content {
    /// A configuration.
    Document(PackedDocument),
    /// A change of targets, or all of them.
    Targets(PackedDelta),
}

/// A piece of news as it travels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blob {
    id: BlobId,
    bytes: Bytes,
}

impl Blob {
    /// Packs the content.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when it can't be encoded.
    pub fn pack(content: &Content) -> Result<Self, LinkError> {
        let bytes = postcard::to_stdvec(content).map_err(|_| LinkError::Garbled)?;
        Ok(Blob::new(bytes.into()))
    }

    /// The parcel that these bytes are.
    pub fn new(bytes: Bytes) -> Self {
        Blob { id: BlobId(xxh3_128(&bytes)), bytes }
    }

    /// Its name.
    pub fn id(&self) -> BlobId {
        self.id
    }

    /// Its bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Whether gateways pass it on.
    pub fn is_large(&self) -> bool {
        self.bytes.len() >= LARGE_FROM
    }

    /// Takes the content out.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when it can't be decoded.
    pub fn unpack(&self) -> Result<Content, LinkError> {
        postcard::from_bytes(&self.bytes).map_err(|_| LinkError::Garbled)
    }
}
