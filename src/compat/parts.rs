//! Tagged parts that are appended to a message. An earlier build decodes the message and ignores the bytes after it.
//!
//! A part is a one-byte tag, the length of its content as a little-endian `u32`, and the content in postcard. A reader
//! skips parts with unknown tags.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::link::LinkError;

/// Length of the tag and the length field before a part's content.
const HEADER_BYTES: usize = 5;

/// Encodes a message, to which parts may be appended.
///
/// # Errors
/// [`LinkError::Garbled`] when it can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, LinkError> {
    postcard::to_stdvec(message).map_err(|_| LinkError::Garbled)
}

/// Appends a part to an encoded message.
///
/// # Errors
/// [`LinkError::Garbled`] when it can't be encoded, or its length does not fit into a `u32`.
pub fn add(bytes: &mut Vec<u8>, tag: u8, content: &impl Serialize) -> Result<(), LinkError> {
    let content = encode(content)?;
    let len = u32::try_from(content.len()).map_err(|_| LinkError::Garbled)?;
    bytes.reserve(HEADER_BYTES + content.len());
    bytes.push(tag);
    bytes.extend(len.to_le_bytes());
    bytes.extend(content);
    Ok(())
}

/// The encoded parts after a message.
#[derive(Clone, Copy, Debug)]
pub struct Parts<'a>(&'a [u8]);

/// Decodes a message, and returns it with the parts after it.
///
/// # Errors
/// [`LinkError::Garbled`] when it can't be decoded.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, Parts<'_>), LinkError> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(|_| LinkError::Garbled)?;
    Ok((message, Parts(rest)))
}

impl Parts<'_> {
    /// Decodes the first part with this tag; `None` if there is none.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when a part up to this one is truncated, or this one can't be decoded.
    pub fn get<T: DeserializeOwned>(&self, tag: u8) -> Result<Option<T>, LinkError> {
        let mut rest = self.0;
        while !rest.is_empty() {
            let (header, after) = rest.split_at_checked(HEADER_BYTES).ok_or(LinkError::Garbled)?;
            let len = [header[1], header[2], header[3], header[4]];
            let len = u32::from_le_bytes(len) as usize;
            let (content, after) = after.split_at_checked(len).ok_or(LinkError::Garbled)?;
            if header[0] == tag {
                return postcard::from_bytes(content).map(Some).map_err(|_| LinkError::Garbled);
            }
            rest = after;
        }
        Ok(None)
    }
}
