//! Memory that a listener holds for its clients, limited in total, and the signals that make connections close.
//!
//! A client that sends its request or reads its answer slowly keeps its memory for that long. [`BufferLedger`] counts it
//! and picks the connections to close when others need the memory or the connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use prometheus::IntCounter;
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::body_buffer::{self, BodyBuffer, BodyError};
use super::ledger::{Admission, Bounds, BufferLedger, ClientId, Reservation, WaitFor};
use crate::clock::Instant;
use crate::sampler::Sampler;
use crate::sync::lock;

/// Memory of a connection, in bytes: its task, the state of a request, and a read buffer of 8 KiB.
pub(crate) const CONNECTION_BYTES: usize = 32 * 1024;
/// Memory of a piece of an answer in addition to its bytes.
const PIECE_BYTES: usize = 256;
/// Largest piece of memory that is kept for the next large body, in bytes.
const MAX_SPARE_BYTES: usize = 4 * 1024 * 1024;
/// How long a new connection waits before it asks for room again.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// How long a client waits before it asks for memory again that is being freed.
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for memory that is being freed.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after `accept` fails, e.g. for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The accounting of a listener.
pub(crate) struct ClientBuffers {
    /// Name of the listener in logs.
    port: &'static str,
    ledger: Mutex<BufferLedger>,
    close_signals: Mutex<HashMap<ClientId, Arc<CloseSignal>>>,
    /// Memory that a large body has left, for the next one. It does not count, and is given up as soon as memory is
    /// short.
    spare: Mutex<Vec<u8>>,
    /// Notified when memory is released or a connection is closed.
    freed: Notify,
    /// Counts the connections that are closed for others.
    closed: IntCounter,
    /// Limits the log lines about them.
    closed_lines: Mutex<Sampler>,
    started: Instant,
    log: Logger,
}

/// Signals the task of a connection to close it.
#[derive(Default)]
struct CloseSignal {
    done: AtomicBool,
    wake: Notify,
}

impl ClientBuffers {
    /// Creates an empty accounting for the listener that logs call `port`; `closed` counts the connections that it
    /// closes for others.
    pub(crate) fn new(
        port: &'static str,
        bounds: Bounds,
        closed: IntCounter,
        log: &Logger,
    ) -> Arc<Self> {
        Arc::new(ClientBuffers {
            port,
            ledger: Mutex::new(BufferLedger::new(bounds)),
            close_signals: Mutex::default(),
            spare: Mutex::default(),
            freed: Notify::new(),
            closed,
            closed_lines: Mutex::default(),
            started: Instant::now(),
            log: log.clone(),
        })
    }

    /// Bytes held in total.
    pub(crate) fn held(&self) -> usize {
        self.ledger().held()
    }

    /// Number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.ledger().connections()
    }

    /// Accepts the next connection, once there is room for it.
    pub(crate) async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
    ) -> (TcpStream, Arc<ClientBuffer>) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                return (stream, self.admit().await);
            }
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }

    /// Opens the account of a connection, once there is room for it.
    pub(crate) async fn admit(self: &Arc<Self>) -> Arc<ClientBuffer> {
        loop {
            let freed = self.freed.notified();
            let admission = self.ledger().admit(self.now(), CONNECTION_BYTES);
            match admission {
                Admission::Admitted(id) => return self.open(id),
                Admission::Pending(close) => self.signal(&close),
                Admission::Full => {}
            }
            let _ = tokio::time::timeout(ADMISSION_INTERVAL, freed).await;
        }
    }

    fn open(self: &Arc<Self>, id: ClientId) -> Arc<ClientBuffer> {
        let close = Arc::new(CloseSignal::default());
        lock(&self.close_signals).insert(id, close.clone());
        Arc::new(ClientBuffer {
            buffers: self.clone(),
            id,
            close,
            unread: AtomicUsize::new(0),
            read: Notify::new(),
            requests: AtomicU32::new(0),
            in_request: AtomicBool::new(false),
        })
    }

    /// Makes these connections close.
    fn signal(&self, close: &[ClientId]) {
        if close.is_empty() {
            return;
        }
        let close_signals = lock(&self.close_signals);
        for signal in close.iter().filter_map(|id| close_signals.get(id)) {
            signal.done.store(true, Ordering::Relaxed);
            signal.wake.notify_waiters();
        }
    }

    /// Counts and logs a connection that is closed for others.
    fn record_closed(&self, client: &ClientBuffer) {
        self.closed.inc();
        if let Some(stands_for) = lock(&self.closed_lines).sample(self.now()) {
            info!(self.log, "connection closed to make room for others"; "event" => "client_cut",
                "why" => "no_room", "port" => self.port, "in_request" => client.in_request(),
                "unread_bytes" => client.unread(), "held_bytes" => self.held(),
                "connections" => self.connections(), "stands_for" => stands_for);
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn ledger(&self) -> MutexGuard<'_, BufferLedger> {
        lock(&self.ledger)
    }
}

/// Memory held for one client's connection.
pub(crate) struct ClientBuffer {
    buffers: Arc<ClientBuffers>,
    id: ClientId,
    close: Arc<CloseSignal>,
    /// Bytes of answers that the client has not read yet.
    unread: AtomicUsize,
    /// Notified when the client has read some of them.
    read: Notify,
    /// Requests that arrived on the connection.
    requests: AtomicU32,
    /// Whether a request is in progress: its head has arrived, and its answer is not sent yet.
    in_request: AtomicBool,
}

impl Drop for ClientBuffer {
    fn drop(&mut self) {
        lock(&self.buffers.close_signals).remove(&self.id);
        self.buffers.ledger().close(self.id);
        self.buffers.freed.notify_waiters();
    }
}

impl ClientBuffer {
    /// Records that the head of a request has arrived. Its answer is sent when the guard is dropped.
    pub(super) fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.in_request.store(true, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.buffers.ledger().stop_waiting(self.id, WaitFor::Request);
        RequestGuard(self.clone())
    }

    /// Records that a frame has arrived on a connection that carries frames in place of requests.
    pub(crate) fn record_frame(&self) {
        let mut ledger = self.buffers.ledger();
        ledger.stop_waiting(self.id, WaitFor::Request);
        ledger.record_answer(self.buffers.now(), self.id);
    }

    /// Whether a request is in progress.
    pub(super) fn in_request(&self) -> bool {
        self.in_request.load(Ordering::Relaxed)
    }

    /// Number of requests that arrived on the connection so far.
    pub(crate) fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Counts `bytes` more, and has slow connections closed if there is no memory. Waits until they are closed; returns
    /// false if there is no memory even then.
    pub(crate) async fn reserve(&self, bytes: usize) -> bool {
        let give_up_at = Instant::now() + MEMORY_TIMEOUT;
        loop {
            let freed = self.buffers.freed.notified();
            match self.ask(bytes) {
                Reservation::Granted => return true,
                Reservation::Refused => return false,
                Reservation::Pending(_) if Instant::now() >= give_up_at => return false,
                Reservation::Pending(_) => {}
            }
            let _ = tokio::time::timeout(MEMORY_INTERVAL, freed).await;
        }
    }

    /// Counts `bytes` more if there is memory; else has slow connections closed, and returns false.
    pub(crate) fn try_reserve(&self, bytes: usize) -> bool {
        self.ask(bytes) == Reservation::Granted
    }

    /// Counts `bytes` more if there is memory as it is. Returns whether there is.
    pub(super) fn reserve_free(&self, bytes: usize) -> bool {
        self.buffers.ledger().reserve_free(self.id, bytes)
    }

    fn ask(&self, bytes: usize) -> Reservation {
        let reservation = self.buffers.ledger().reserve(self.buffers.now(), self.id, bytes);
        if reservation != Reservation::Granted {
            *lock(&self.buffers.spare) = Vec::new();
        }
        if let Reservation::Pending(close) = &reservation {
            self.buffers.signal(close);
        }
        reservation
    }

    /// Takes the memory that a large body has left, if it has room for `least` bytes.
    pub(super) fn take_spare(&self, least: usize) -> Option<Vec<u8>> {
        let mut spare = lock(&self.buffers.spare);
        (spare.capacity() >= least).then(|| std::mem::take(&mut *spare))
    }

    /// Keeps the memory of a body that is not needed any more for the next large one, while memory is spacious.
    pub(super) fn keep_spare(&self, mut bytes: Vec<u8>) {
        if self.buffers.ledger().is_spacious() && bytes.capacity() <= MAX_SPARE_BYTES {
            bytes.clear();
            *lock(&self.buffers.spare) = bytes;
        }
    }

    /// Releases bytes that were counted.
    pub(crate) fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.buffers.ledger().release(self.id, bytes);
            self.buffers.freed.notify_waiters();
        }
    }

    /// Creates a buffer for a body that arrives in pieces, of `announced` bytes where that is known.
    pub(crate) fn new_body(self: &Arc<Self>, announced: Option<usize>) -> BodyBuffer {
        BodyBuffer::new(self.clone(), announced)
    }

    /// Like [`Self::read_body`], within `timeout`.
    pub(crate) async fn read_body_within<B>(
        self: &Arc<Self>,
        timeout: Duration,
        body: B,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let read = tokio::time::timeout(timeout, self.read_body(body, max_bytes)).await;
        read.unwrap_or(Err(BodyError::TooSlow))
    }

    /// Reads the body of a request, of at most `max_bytes`. Bounds its memory, but not its time.
    ///
    /// # Errors
    /// [`BodyError`] when it is too large or breaks off, or there is no memory for it.
    pub(crate) async fn read_body<B>(
        self: &Arc<Self>,
        body: B,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        body_buffer::read(self, body, max_bytes).await
    }

    /// Records that the process waits for the client to send, until the guard is dropped.
    pub(super) fn start_waiting(&self) -> WaitGuard<'_> {
        self.buffers.ledger().start_waiting(self.buffers.now(), self.id, WaitFor::Body);
        WaitGuard(self)
    }

    /// Whether the connection is to be closed to make room for others.
    fn is_closing(&self) -> bool {
        self.close.done.load(Ordering::Relaxed)
    }

    /// Waits until the connection is to be closed to make room for others.
    pub(super) async fn wait_for_close(&self) {
        let woken = self.close.wake.notified();
        if !self.is_closing() {
            woken.await;
        }
    }

    /// Counts and logs that the connection is closed for others.
    pub(super) fn record_closed(&self) {
        self.buffers.record_closed(self);
    }

    /// Runs `serving` to its end, or until the connection is to be closed to make room for others; `None` then.
    pub(crate) async fn unless_closed<T>(&self, serving: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            ended = serving => Some(ended),
            () = self.wait_for_close() => {
                self.record_closed();
                None
            }
        }
    }

    /// Bytes of answers that the client has not read yet.
    pub(crate) fn unread(&self) -> usize {
        self.unread.load(Ordering::Relaxed)
    }

    /// Waits until the client has read some of its unread bytes.
    pub(crate) async fn wait_for_read(&self) {
        self.read.notified().await;
    }

    /// Counts a piece of an answer until the client has read it. Returns the piece as an error if there is no memory.
    pub(crate) fn hold_unread(self: &Arc<Self>, piece: Bytes) -> Result<Bytes, Bytes> {
        let bytes = piece.len() + PIECE_BYTES;
        if self.try_reserve(bytes) { Ok(self.wrap_unread(piece, bytes)) } else { Err(piece) }
    }

    /// Like [`Self::hold_unread`], for bytes of which `counted` are already counted.
    pub(super) fn wrap_unread(self: &Arc<Self>, piece: Bytes, counted: usize) -> Bytes {
        if self.unread.fetch_add(piece.len(), Ordering::Relaxed) == 0 {
            self.buffers.ledger().start_waiting(self.buffers.now(), self.id, WaitFor::Read);
        }
        Bytes::from_owner(UnreadPiece { piece, counted, client: self.clone() })
    }
}

/// Marks a request as in progress.
pub(super) struct RequestGuard(Arc<ClientBuffer>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let client = &self.0;
        client.in_request.store(false, Ordering::Relaxed);
        client.buffers.ledger().record_answer(client.buffers.now(), client.id);
    }
}

/// Marks the process as waiting for a client to send.
pub(super) struct WaitGuard<'a>(&'a ClientBuffer);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.buffers.ledger().stop_waiting(self.0.id, WaitFor::Body);
    }
}

/// A piece of an answer that the client has not read yet, counted until dropped.
struct UnreadPiece {
    piece: Bytes,
    counted: usize,
    client: Arc<ClientBuffer>,
}

impl AsRef<[u8]> for UnreadPiece {
    fn as_ref(&self) -> &[u8] {
        &self.piece
    }
}

impl Drop for UnreadPiece {
    fn drop(&mut self) {
        let length = std::mem::take(&mut self.piece).len();
        let client = &self.client;
        client.release(self.counted);
        if client.unread.fetch_sub(length, Ordering::Relaxed) == length {
            client.buffers.ledger().stop_waiting(client.id, WaitFor::Read);
        }
        client.read.notify_one();
    }
}
