//! Wire encoding of the messages of the group. Builds of different age talk to each other during an upgrade.
//!
//! A frame is a message of `compat::base`, as the first build in production encodes it, followed by tagged parts that
//! later builds added and earlier ones skip. A message that the first build does not have is sent as a part behind one
//! that the first build ignores: from a gateway, a failed fetch of a blob that does not exist; from a member, an empty
//! list of Raft messages.

mod from_member;
mod to_member;

use serde::Serialize;

use super::message::{FromPeer, ToPeer};
use crate::compat::parts;
use crate::link::{LinkError, Message};

/// Encodes a message followed by one part.
fn encode_with_part(
    message: &impl Serialize,
    tag: u8,
    content: &impl Serialize,
) -> Result<Vec<u8>, LinkError> {
    let mut bytes = parts::encode(message)?;
    parts::add(&mut bytes, tag, content)?;
    Ok(bytes)
}

impl Message for ToPeer {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        parts::encode(self)
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        parts::decode(bytes).map(|(message, _)| message)
    }
}

impl Message for FromPeer {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        parts::encode(self)
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        parts::decode(bytes).map(|(message, _)| message)
    }
}
