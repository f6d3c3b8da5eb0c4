//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one breaks the stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is too long")]
pub struct EventTooLong;

/// Bytes of a stream that do not make a whole event yet.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes and returns all whole events that are there now; empty when there is none.
    ///
    /// # Errors
    /// [`EventTooLong`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        // An end may straddle what was there and what came.
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_end(&self.pending[from..]) else {
            return if self.pending.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(Bytes::new())
            };
        };
        let whole = self.pending.split_to(from + end).freeze();
        if let Some(id) = newest_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// Id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether nothing is left that began an event.
    pub fn at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Forgets an event that did not become whole.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// Where the last blank line ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let ends = |at: &usize| bytes[..*at].ends_with(b"\n\n") || bytes[..*at].ends_with(b"\n\r\n");
    (2..=bytes.len()).rev().find(ends)
}

fn newest_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = values.into_iter().next()?;
    Some(String::from_utf8_lossy(value.trim_ascii()).into_owned())
}
