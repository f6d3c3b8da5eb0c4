//! What follows a message that an earlier build reads to its end, and no further.
//!
//! A part is a tag, its length as a little-endian `u32`, and its content in postcard. A reader takes the parts that it
//! knows and passes over the others.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::link::LinkError;

/// Bytes before a part's content.
const HEADER_BYTES: usize = 5;

/// Encodes a message that earlier builds know.
///
/// # Errors
/// [`LinkError::Garbled`] when it can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, LinkError> {
    postcard::to_stdvec(message).map_err(|_| LinkError::Garbled)
}

/// Adds a part behind a message.
///
/// # Errors
/// [`LinkError::Garbled`] when it can't be encoded.
pub fn add(bytes: &mut Vec<u8>, tag: u8, content: &impl Serialize) -> Result<(), LinkError> {
    let content = encode(content)?;
    let len = u32::try_from(content.len()).map_err(|_| LinkError::Garbled)?;
    bytes.reserve(HEADER_BYTES + content.len());
    bytes.push(tag);
    bytes.extend(len.to_le_bytes());
    bytes.extend(content);
    Ok(())
}

/// What follows a message.
#[derive(Clone, Copy, Debug)]
pub struct Parts<'a>(&'a [u8]);

/// Decodes a message that earlier builds know; what follows it are its parts.
///
/// # Errors
/// [`LinkError::Garbled`] when it can't be decoded.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, Parts<'_>), LinkError> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(|_| LinkError::Garbled)?;
    Ok((message, Parts(rest)))
}

impl Parts<'_> {
    /// The part with this tag, if it is there.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] when the parts are cut short, or this one can't be decoded.
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
