//! Content-addressed blobs: configurations and target lists that many gateways need, and that they
//! distribute peer-to-peer.
//!
//! A member's link has far less bandwidth than those of all its gateways together. So a member sends a large
//! blob to a few gateways only; the others get its id and the address of a gateway to fetch it from. The id
//! is a hash of the bytes, so a blob from a gateway is accepted only if it is the one that the member announced.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::document::Packed;
use crate::group::listing::PackedDelta;
use crate::link::LinkError;

/// Blobs of at least this size are distributed peer-to-peer; smaller ones are sent with a heartbeat.
/// Announcing a blob takes about 30 bytes, fetching it from a peer a connection of its own.
const LARGE_BLOB_MIN_BYTES: usize = 2_000;

/// Hash of a blob's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BlobId(u128);

impl BlobId {
    /// The id that means "no blob".
    pub const NONE: BlobId = BlobId(0);
}

/// The decoded content of a blob.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Content {
    /// A configuration.
    Document(Packed),
    /// A change to the list of targets, or the whole list.
    Targets(PackedDelta),
}

/// An encoded [`Content`] with its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blob {
    id: BlobId,
    bytes: Bytes,
}

impl Blob {
    /// Encodes the content.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when it can't be encoded.
    pub fn pack(content: &Content) -> Result<Self, LinkError> {
        let bytes = postcard::to_stdvec(content).map_err(|_| LinkError::Garbled)?;
        Ok(Blob::new(bytes.into()))
    }

    /// Wraps encoded bytes, as received from a member or a gateway.
    pub fn new(bytes: Bytes) -> Self {
        Blob { id: BlobId(xxh3_128(&bytes)), bytes }
    }

    /// Hash of the bytes.
    pub fn id(&self) -> BlobId {
        self.id
    }

    /// The encoded content.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Whether gateways distribute the blob peer-to-peer.
    pub fn is_large(&self) -> bool {
        self.bytes.len() >= LARGE_BLOB_MIN_BYTES
    }

    /// Decodes the content.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when it can't be decoded.
    pub fn unpack(&self) -> Result<Content, LinkError> {
        postcard::from_bytes(&self.bytes).map_err(|_| LinkError::Garbled)
    }
}
