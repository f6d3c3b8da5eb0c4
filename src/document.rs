//! The configuration document as operators sent it, and how it travels: as the difference from a
//! version that the receiver holds.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Compression level: the cheapest, since documents change often and links are wide enough then.
const LEVEL: i32 = 1;
/// Largest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// A configuration document, byte for byte as it was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version that it carries; higher ones take the place of lower ones.
    pub version: u64,
    /// Its bytes.
    pub bytes: Bytes,
}

/// A document packed for the way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// Version of the document.
    pub version: u64,
    /// Version that the receiver must hold, if this is a difference.
    pub base: Option<u64>,
    /// Length of the document, in bytes.
    pub len: u32,
    /// Compressed bytes.
    pub bytes: Bytes,
}

/// A document can't be packed or unpacked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PackError {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the document has more than {MAX_DOCUMENT_BYTES} bytes")]
    TooLarge,
    /// It is a difference from a version that is not at hand.
    #[error("the document is a difference from version {base}, which is not at hand")]
    WrongBase {
        /// Version needed.
        base: u64,
    },
    /// The bytes are damaged.
    #[error("the packed document is damaged")]
    Damaged,
}

impl Document {
    /// Packs this document as a difference from `base`, or whole without one.
    ///
    /// # Errors
    /// [`PackError::TooLarge`].
    pub fn pack(&self, base: Option<&Document>) -> Result<Packed, PackError> {
        if self.bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(PackError::TooLarge);
        }
        let known: &[u8] = base.map_or(&[], |base| &base.bytes);
        let mut compressor = zstd::bulk::Compressor::with_dictionary(LEVEL, known)
            .map_err(|_| PackError::Damaged)?;
        let packed = compressor.compress(&self.bytes).map_err(|_| PackError::Damaged)?;
        Ok(Packed {
            version: self.version,
            base: base.map(|base| base.version),
            len: self.bytes.len() as u32,
            bytes: packed.into(),
        })
    }
}

impl Packed {
    /// Unpacks the document, given the one that the receiver holds.
    ///
    /// # Errors
    /// [`PackError`] when it is a difference from another version, or damaged.
    pub fn unpack(&self, held: Option<&Document>) -> Result<Document, PackError> {
        let len = self.len as usize;
        if len > MAX_DOCUMENT_BYTES {
            return Err(PackError::TooLarge);
        }
        let base = match self.base {
            None => None,
            Some(base) => {
                let held = held.filter(|held| held.version == base);
                Some(held.ok_or(PackError::WrongBase { base })?)
            }
        };
        let known: &[u8] = base.map_or(&[], |base| &base.bytes);
        let mut decompressor =
            zstd::bulk::Decompressor::with_dictionary(known).map_err(|_| PackError::Damaged)?;
        let bytes = decompressor.decompress(&self.bytes, len).map_err(|_| PackError::Damaged)?;
        if bytes.len() != len {
            return Err(PackError::Damaged);
        }
        Ok(Document { version: self.version, bytes: bytes.into() })
    }
}
