//! Keeps a connection that always has data from keeping all other tasks waiting.
//!
//! A parser that consumes bytes without any result, such as interim answers, goes on reading as long as bytes arrive.

use std::task::{Context, Poll};

/// Bytes that a connection reads before other tasks have their turn.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// What a connection has read in its current turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct FairRead {
    read: usize,
}

impl FairRead {
    /// Ready if the connection may read on; otherwise its task is woken after the others.
    pub fn poll_turn(&mut self, context: &Context<'_>) -> Poll<()> {
        if self.read < MAX_BYTES_PER_TURN {
            return Poll::Ready(());
        }
        self.read = 0;
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Counts bytes that were read.
    pub fn note_read(&mut self, bytes: usize) {
        self.read += bytes;
    }

    /// Records that no data was there, which ends the turn.
    pub fn note_empty(&mut self) {
        self.read = 0;
    }
}
