//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one is treated as a broken stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is longer than `MAX_EVENT_BYTES`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("server-sent event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the bytes of a stream until they make complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now; empty if there are none.
    ///
    /// # Errors
    /// [`EventTooLong`] if an incomplete event exceeds `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        // The blank line that ends an event may have begun in the last 3 bytes of what was pending.
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending[from..]) else {
            return if self.pending.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(Bytes::new())
            };
        };
        let events = self.pending.split_to(from + end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the bytes so far end with a complete event.
    pub fn at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards the bytes of an incomplete event.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// Position after the last blank line, which ends an event.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let ends = |at: &usize| bytes[..*at].ends_with(b"\n\n") || bytes[..*at].ends_with(b"\n\r\n");
    (2..=bytes.len()).rev().find(ends)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = values.into_iter().next()?;
    Some(String::from_utf8_lossy(value.trim_ascii()).into_owned())
}
