//! Bytes that a gateway holds for clients and targets, bounded in all.
//!
//! A client that sends its request slowly, or reads its answer slowly, has the gateway hold bytes for as long as it
//! takes. [`Ledger`] counts them, and says which connections to cut for others.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use tokio::sync::Notify;

use super::buffer_ledger::{BufferLedger, ClientId, Reservation};
use crate::clock::Instant;
use crate::sync::lock;

/// The ledger of a gateway, and how connections that are cut learn of it.
pub(super) struct ClientBuffers {
    ledger: Mutex<BufferLedger>,
    cut_signals: Mutex<HashMap<ClientId, Arc<CutSignal>>>,
    started: Instant,
}

/// Tells a connection that it is cut.
#[derive(Default)]
struct CutSignal {
    done: AtomicBool,
    wake: Notify,
}

impl ClientBuffers {
    /// Nothing held yet, of so many bytes at most.
    pub(super) fn new(max_bytes: usize) -> Arc<Self> {
        let (ledger, started) = (Mutex::new(BufferLedger::new(max_bytes)), Instant::now());
        Arc::new(ClientBuffers { ledger, cut_signals: Mutex::default(), started })
    }

    /// Bytes held in all.
    pub(super) fn held(&self) -> usize {
        self.ledger().held()
    }

    /// A client connected.
    pub(super) fn open(self: &Arc<Self>) -> Arc<ClientBuffer> {
        let id = self.ledger().open();
        let cut = Arc::new(CutSignal::default());
        lock(&self.cut_signals).insert(id, cut.clone());
        let (buffers, unread) = (self.clone(), AtomicUsize::new(0));
        Arc::new(ClientBuffer { buffers, id, cut, unread, read: Notify::new() })
    }

    fn ledger(&self) -> MutexGuard<'_, BufferLedger> {
        lock(&self.ledger)
    }
}

/// One connection of a client.
pub(super) struct ClientBuffer {
    buffers: Arc<ClientBuffers>,
    id: ClientId,
    cut: Arc<CutSignal>,
    /// Bytes of answers that the client has not taken yet.
    unread: AtomicUsize,
    /// Wakes when it has taken some.
    read: Notify,
}

impl Drop for ClientBuffer {
    fn drop(&mut self) {
        lock(&self.buffers.cut_signals).remove(&self.id);
        self.buffers.ledger().close(self.id);
    }
}

impl ClientBuffer {
    /// Holds so many bytes more; false where there is no room.
    pub(super) fn reserve(&self, bytes: usize) -> bool {
        let now = self.buffers.started.elapsed();
        let Reservation::Granted(cut) = self.buffers.ledger().reserve(now, self.id, bytes) else {
            return false;
        };
        if !cut.is_empty() {
            let cut_signals = lock(&self.buffers.cut_signals);
            for slow in cut.iter().filter_map(|id| cut_signals.get(id)) {
                slow.done.store(true, Ordering::Relaxed);
                slow.wake.notify_waiters();
            }
        }
        true
    }

    fn release(&self, bytes: usize) {
        self.buffers.ledger().release(self.id, bytes);
    }

    /// Begins to hold what comes in pieces.
    pub(super) fn new_body(self: &Arc<Self>) -> BodyBuffer {
        BodyBuffer { client: self.clone(), chunks: Vec::new(), length: 0 }
    }

    /// The gateway waits for the client to send, until that is dropped.
    pub(super) fn start_waiting(&self) -> WaitGuard<'_> {
        self.buffers.ledger().start_waiting(self.buffers.started.elapsed(), self.id);
        WaitGuard(self)
    }

    /// Whether the connection was cut so that others find room.
    pub(super) fn is_cut(&self) -> bool {
        self.cut.done.load(Ordering::Relaxed)
    }

    /// Waits until the connection is cut so that others find room.
    pub(super) async fn wait_for_cut(&self) {
        let woken = self.cut.wake.notified();
        if !self.is_cut() {
            woken.await;
        }
    }

    /// Bytes of answers that the client has not taken yet.
    pub(super) fn unread(&self) -> usize {
        self.unread.load(Ordering::Relaxed)
    }

    /// Waits until the client has taken some of what is unread.
    pub(super) async fn wait_for_read(&self) {
        self.read.notified().await;
    }

    /// A piece of an answer on its way to the client, which is held until the client takes it; gives the piece back
    /// where there is no room.
    pub(super) fn hold_unread(self: &Arc<Self>, chunk: Bytes) -> Result<Bytes, Bytes> {
        if self.reserve(chunk.len()) { Ok(self.wrap_unread(chunk)) } else { Err(chunk) }
    }

    /// The same for bytes that are held already.
    fn wrap_unread(self: &Arc<Self>, chunk: Bytes) -> Bytes {
        if self.unread.fetch_add(chunk.len(), Ordering::Relaxed) == 0 {
            self.buffers.ledger().start_waiting(self.buffers.started.elapsed(), self.id);
        }
        Bytes::from_owner(UnreadChunk { chunk, client: self.clone() })
    }
}

/// Pieces of a body that are held while the rest of it comes.
pub(super) struct BodyBuffer {
    client: Arc<ClientBuffer>,
    chunks: Vec<Bytes>,
    length: usize,
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.client.release(self.length);
    }
}

impl BodyBuffer {
    /// Takes a piece; gives it back where there is no room.
    pub(super) fn push(&mut self, chunk: Bytes) -> Result<(), Bytes> {
        if !self.client.reserve(chunk.len()) {
            return Err(chunk);
        }
        self.length += chunk.len();
        self.chunks.push(chunk);
        Ok(())
    }

    /// Bytes that have come.
    pub(super) fn length(&self) -> usize {
        self.length
    }

    /// All of it in one; counted no longer.
    fn join(&mut self) -> Bytes {
        let mut chunks = std::mem::take(&mut self.chunks);
        self.length = 0;
        if chunks.len() <= 1 {
            return chunks.pop().unwrap_or_default();
        }
        Bytes::from(chunks.concat())
    }

    /// The body of a request, held until it is sent nowhere any more.
    pub(super) fn into_body(mut self) -> Bytes {
        let body = self.join();
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(CountedBody { length: body.len(), body, client: self.client.clone() })
    }

    /// What has come, with a piece for which there was no room; not held any more.
    pub(super) fn into_bytes(mut self, beyond: Option<Bytes>) -> Bytes {
        self.chunks.extend(beyond);
        Bytes::from(self.chunks.concat())
    }

    /// An answer on its way to the client, held until the client takes it.
    pub(super) fn into_answer(mut self) -> Bytes {
        let answer = self.join();
        if answer.is_empty() { answer } else { self.client.wrap_unread(answer) }
    }
}

/// The gateway waits for a client to send.
pub(super) struct WaitGuard<'a>(&'a ClientBuffer);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.buffers.ledger().stop_waiting(self.0.id);
    }
}

/// A request's body, held until it is sent nowhere any more.
struct CountedBody {
    body: Bytes,
    length: usize,
    client: Arc<ClientBuffer>,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.client.release(self.length);
    }
}

/// A piece of an answer that the client has not taken yet.
struct UnreadChunk {
    chunk: Bytes,
    client: Arc<ClientBuffer>,
}

impl AsRef<[u8]> for UnreadChunk {
    fn as_ref(&self) -> &[u8] {
        &self.chunk
    }
}

impl Drop for UnreadChunk {
    fn drop(&mut self) {
        let (client, length) = (&self.client, self.chunk.len());
        client.release(length);
        if client.unread.fetch_sub(length, Ordering::Relaxed) == length {
            client.buffers.ledger().stop_waiting(client.id);
        }
        client.read.notify_one();
    }
}
