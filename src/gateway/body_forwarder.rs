//! Forwards the body of an answer from the target to the client, with a bounded buffer between the two.
//!
//! The buffer lets the target finish early when its client reads slowly. Once it is full, nothing more is read from the
//! target. A client that then reads nothing for too long is disconnected before the target would close its side.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use tokio::sync::mpsc;

use super::answer::AnswerAborted;
use super::exchange::RequestState;
use super::refusal::Refusal;
use super::trace;
use super::{Gateway, OpenRequest};
use crate::clock::Instant;
use crate::serving::buffers::ClientBuffer;

/// How often a waiting answer checks whether other clients have freed memory.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The answer of a target, as a source of chunks.
pub(super) trait BodySource: Send + 'static {
    /// The next chunk, or `None` at the end of the answer.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, Refusal>> + Send;

    /// Called when the answer has been forwarded completely.
    fn end(self);

    /// Called after each chunk with the time for which it had to wait for room in the client's buffer.
    fn note_client_delay(&mut self, delay: Duration);

    /// Called when the answer is aborted.
    fn abort(&mut self, why: Refusal);
}

/// Message from the forwarding task to the body of the client's response.
enum Message {
    /// A chunk of the answer.
    Chunk(Bytes),
    /// The answer is complete.
    End,
}

/// The first piece of an answer.
pub(super) enum First {
    /// It is counted as buffered for the client already.
    Held(Bytes),
    /// It is not counted yet.
    New(Bytes),
}

/// Forwards the body of one answer to one client.
pub(super) struct BodyForwarder {
    gateway: Arc<Gateway>,
    client_buffer: Arc<ClientBuffer>,
    deadline: Instant,
}

impl BodyForwarder {
    pub(super) fn new(gateway: &Arc<Gateway>, state: &RequestState) -> Self {
        let (gateway, client_buffer) = (gateway.clone(), state.client_buffer.clone());
        BodyForwarder { gateway, client_buffer, deadline: state.outgoing.deadline }
    }

    /// Starts a task that forwards the piece `first` and all that follow from `source`, and returns the body of the
    /// client's response. The request counts as open until the client's connection has taken the last chunk; some of it
    /// may not be sent by then.
    pub(super) fn start(
        self,
        first: First,
        source: impl BodySource,
        open: Option<OpenRequest>,
    ) -> BoxStream<'static, Result<Bytes, AnswerAborted>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(self.forward(first, source, sender));
        let chunks = futures_util::stream::unfold(Some((receiver, open)), |state| async move {
            let (mut receiver, open) = state?;
            match receiver.recv().await {
                Some(Message::Chunk(chunk)) => Some((Ok(chunk), Some((receiver, open)))),
                Some(Message::End) => None,
                None => Some((Err(AnswerAborted), None)),
            }
        });
        chunks.boxed()
    }

    /// Forwards chunks until the end of the answer, or until the target or the client is gone.
    async fn forward(
        self,
        first: First,
        mut source: impl BodySource,
        sender: mpsc::UnboundedSender<Message>,
    ) {
        let mut piece = first;
        loop {
            let sent = match piece {
                First::New(chunk) => self.send_chunk(chunk, &mut source, &sender).await,
                First::Held(chunk) => sender.send(Message::Chunk(chunk)).is_ok(),
            };
            if !sent {
                return;
            }
            let next = tokio::select! {
                next = source.next() => next,
                () = sender.closed() => return,
            };
            match next {
                Ok(Some(next)) => piece = First::New(next),
                Ok(None) => {
                    source.end();
                    // Fails if the client has disconnected, which does not matter any more.
                    let _ = sender.send(Message::End);
                    return;
                }
                Err(why) => {
                    source.abort(why);
                    return;
                }
            }
        }
    }

    /// Sends a chunk as soon as there is room for it. Returns false if the answer can't go on: the client has
    /// disconnected, has read nothing for too long, or the deadline has passed.
    async fn send_chunk(
        &self,
        mut chunk: Bytes,
        source: &mut impl BodySource,
        sender: &mpsc::UnboundedSender<Message>,
    ) -> bool {
        let timeout = Duration::from_millis(self.gateway.settings.client_unread_ms);
        let clock = &self.gateway.run_clock;
        let began = clock.ran();
        let mut read_at = began;
        loop {
            if self.fits(&chunk) {
                match self.client_buffer.hold_unread(chunk) {
                    Ok(held) => {
                        source.note_client_delay(clock.ran().saturating_sub(began));
                        return sender.send(Message::Chunk(held)).is_ok();
                    }
                    Err(back) => chunk = back,
                }
            }
            if clock.ran() >= read_at + timeout || clock.is_past(self.deadline) {
                trace::client_cut(&self.gateway, self.client_buffer.unread());
                source.abort(Refusal::AnswerLate);
                return false;
            }
            tokio::select! {
                biased;
                () = self.client_buffer.wait_for_read() => read_at = clock.ran(),
                () = sender.closed() => return false,
                () = tokio::time::sleep(ROOM_CHECK_INTERVAL) => {}
            }
        }
    }

    /// Whether the client's buffer has room for a chunk. A chunk larger than the buffer is accepted when it is empty.
    fn fits(&self, chunk: &Bytes) -> bool {
        let unread = self.client_buffer.unread();
        unread == 0 || unread + chunk.len() <= self.gateway.settings.client_buffer_bytes()
    }
}
