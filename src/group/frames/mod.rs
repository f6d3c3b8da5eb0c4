//! Frames as they travel: a message that every build reads, and behind it what later builds added.
//!
//! What the first build has no message for goes behind one that it passes over: a gateway's word of a parcel that does
//! not exist, a member's word of no messages.

mod from_member;
mod to_member;

use serde::Serialize;

use super::message::{FromPeer, ToPeer};
use crate::compat::parts;
use crate::link::{LinkError, Message};

/// A message with a part behind it.
fn with(message: &impl Serialize, tag: u8, content: &impl Serialize) -> Result<Vec<u8>, LinkError> {
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
