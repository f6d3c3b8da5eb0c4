//! Accounting of the memory held for each connection of a listener, and the choice of connections to close when memory
//! or connections are used up.
//!
//! Only connections that have kept the process waiting may be closed for others: a client that sends and reads at a
//! normal pace never is. For memory, those go first whose bytes times waiting time are largest; for a connection, those
//! that have had no answer yet, the longest waiting first.

use std::collections::HashMap;
use std::time::Duration;

/// Up to this many bytes, a connection may use all of the memory; a larger one leaves [`SMALL_SHARE`] of it to others.
pub const SMALL_BYTES: usize = 64 * 1024;
/// One in so many bytes is left to connections that hold no more than [`SMALL_BYTES`].
const SMALL_SHARE: usize = 10;

/// Bytes in a MiB.
const MIB: usize = 1024 * 1024;
/// How long a client must have kept the process waiting before its connection may be closed for others.
const MIN_WAIT_BEFORE_CLOSE: Duration = Duration::from_secs(1);
/// Memory counts as spacious while at most one in so many bytes is held.
const SPACIOUS_SHARE: usize = 4;
/// Time in which a connection that is being closed normally closes. One that takes longer, since its request is answered
/// first, does not keep others from being closed.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// A connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

/// What the process waits for a client to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitFor {
    /// To send the head of its next request.
    Request,
    /// To send the rest of its body.
    Body,
    /// To read its answer.
    Read,
}

/// Bounds of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum bytes held for all connections.
    pub max_bytes: usize,
    /// Maximum open connections.
    pub max_connections: usize,
    /// How long a client must have kept the process waiting before its connection may be closed for others. Protects
    /// clients that answer at once but suffer from packet loss and retransmission.
    pub min_wait: Duration,
}

impl Bounds {
    /// Bounds of a listener that may use `percent` of the `memory_mb` MiB of its process.
    pub fn of_memory(memory_mb: usize, percent: usize, max_connections: usize) -> Self {
        Bounds {
            max_bytes: memory_mb.saturating_mul(MIB) / 100 * percent,
            max_connections,
            min_wait: MIN_WAIT_BEFORE_CLOSE,
        }
    }

    /// The most that one connection can hold.
    pub fn largest_bytes(&self) -> usize {
        self.max_bytes - self.max_bytes / SMALL_SHARE
    }
}

/// Account of one connection.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Bytes held.
    held: usize,
    /// Since when the process has been waiting, by [`WaitFor`].
    waiting_since: [Option<Duration>; 3],
    /// Whether the client has had an answer on this connection.
    answered: bool,
    /// Since when the connection is being closed for others, if it is. Its bytes count until it is closed.
    closing_since: Option<Duration>,
}

impl Account {
    /// How long the process has been waiting for the client, if it is.
    fn waited(&self, now: Duration) -> Option<Duration> {
        let first = self.waiting_since.iter().flatten().min()?;
        Some(now.saturating_sub(*first))
    }
}

/// Result of a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are counted.
    Granted,
    /// The bytes are not counted yet: there will be memory once the listed connections, and those that are being closed
    /// already, are closed.
    Pending(Vec<ClientId>),
    /// There is no memory.
    Refused,
}

/// Result of a request to let in a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is let in, and its account is open.
    Admitted(ClientId),
    /// There will be room once the listed connections, and those that are being closed already, are closed.
    Pending(Vec<ClientId>),
    /// There is no room, and no connection may be closed for it yet.
    Full,
}

/// Counts the memory held for all connections of a listener.
#[derive(Debug)]
pub struct BufferLedger {
    bounds: Bounds,
    held: usize,
    /// The part of `held` that belongs to connections that are being closed.
    closing: usize,
    accounts: HashMap<ClientId, Account>,
    opened: u64,
}

impl BufferLedger {
    /// Creates an empty ledger.
    pub fn new(bounds: Bounds) -> Self {
        BufferLedger { bounds, held: 0, closing: 0, accounts: HashMap::new(), opened: 0 }
    }

    /// Bytes held in total.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether most of the memory is free.
    pub fn is_spacious(&self) -> bool {
        self.held <= self.bounds.max_bytes / SPACIOUS_SHARE
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.accounts.len()
    }

    /// Lets in a connection, which takes `bytes` of memory, if there is room for it.
    pub fn admit(&mut self, now: Duration, bytes: usize) -> Admission {
        if self.accounts.len() >= self.bounds.max_connections {
            return self.make_room(now);
        }
        match self.find_memory(now, None, bytes) {
            Reservation::Granted => Admission::Admitted(self.open(now, bytes)),
            Reservation::Pending(close) => Admission::Pending(close),
            Reservation::Refused => Admission::Full,
        }
    }

    /// Opens the account of a connection, from which a request is expected.
    fn open(&mut self, now: Duration, bytes: usize) -> ClientId {
        self.opened += 1;
        let id = ClientId(self.opened);
        let mut account = Account { held: bytes, ..Account::default() };
        account.waiting_since[WaitFor::Request as usize] = Some(now);
        self.accounts.insert(id, account);
        self.held += bytes;
        id
    }

    /// Chooses the connection to close for a new one.
    fn make_room(&mut self, now: Duration) -> Admission {
        let closes_soon = |account: &Account| {
            account.closing_since.is_some_and(|since| now.saturating_sub(since) < CLOSE_TIME)
        };
        if self.accounts.values().any(closes_soon) {
            return Admission::Pending(Vec::new());
        }
        let open = self.accounts.iter().filter(|(_, account)| account.closing_since.is_none());
        let waiting = open.filter_map(|(id, account)| {
            let waited = account.waited(now)?;
            (waited >= self.bounds.min_wait).then_some((!account.answered, waited, *id))
        });
        let longest = waiting.max_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(b.2.cmp(&a.2)));
        let Some((_, _, id)) = longest else {
            return Admission::Full;
        };
        self.mark_closing(now, &[id]);
        Admission::Pending(vec![id])
    }

    /// Closes the account of a connection, and releases its bytes.
    pub fn close(&mut self, id: ClientId) {
        if let Some(account) = self.accounts.remove(&id) {
            self.held -= account.held;
            if account.closing_since.is_some() {
                self.closing -= account.held;
            }
        }
    }

    /// Records that the process waits for the client; no effect if it already does.
    pub fn start_waiting(&mut self, now: Duration, id: ClientId, wait: WaitFor) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waiting_since[wait as usize].get_or_insert(now);
        }
    }

    /// Records that the process no longer waits for the client.
    pub fn stop_waiting(&mut self, id: ClientId, wait: WaitFor) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waiting_since[wait as usize] = None;
        }
    }

    /// Records that the client has its answer, and that its next request is expected.
    pub fn record_answer(&mut self, now: Duration, id: ClientId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.answered = true;
            account.waiting_since[WaitFor::Request as usize].get_or_insert(now);
        }
    }

    /// Counts `bytes` more for a connection, if there is memory for them or will be once slow connections are closed.
    pub fn reserve(&mut self, now: Duration, id: ClientId, bytes: usize) -> Reservation {
        let found = self.find_memory(now, Some(id), bytes);
        if found == Reservation::Granted {
            self.count(id, bytes);
        }
        found
    }

    /// Counts `bytes` more for a connection if there is memory for them as it is. Returns whether there is.
    pub fn reserve_free(&mut self, id: ClientId, bytes: usize) -> bool {
        let free = self.missing(Some(id), bytes) == Some(0);
        if free {
            self.count(id, bytes);
        }
        free
    }

    fn count(&mut self, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.held += bytes;
            self.held += bytes;
        }
    }

    /// Bytes that must be freed before `bytes` more fit; `None` if the connection is closed or being closed.
    fn missing(&self, id: Option<ClientId>, bytes: usize) -> Option<usize> {
        let held = match id {
            Some(id) => {
                self.accounts.get(&id).filter(|account| account.closing_since.is_none())?.held
            }
            None => 0,
        };
        let small = held.saturating_add(bytes) <= SMALL_BYTES;
        let limit = if small { self.bounds.max_bytes } else { self.bounds.largest_bytes() };
        Some(self.held.saturating_add(bytes).saturating_sub(limit))
    }

    /// Finds memory for `bytes` more, and marks the connections that must be closed for it.
    fn find_memory(&mut self, now: Duration, id: Option<ClientId>, bytes: usize) -> Reservation {
        let Some(missing) = self.missing(id, bytes) else {
            return Reservation::Refused;
        };
        if missing == 0 {
            return Reservation::Granted;
        }
        let missing = missing.saturating_sub(self.closing);
        match self.slow_connections(now, id, missing) {
            Some(close) => {
                self.mark_closing(now, &close);
                Reservation::Pending(close)
            }
            None => Reservation::Refused,
        }
    }

    /// The connections to close to free `missing` bytes; `None` if all that may be closed hold less.
    fn slow_connections(
        &self,
        now: Duration,
        except: Option<ClientId>,
        missing: usize,
    ) -> Option<Vec<ClientId>> {
        let slow = self.accounts.iter().filter_map(|(id, account)| {
            let waited = account.waited(now)?;
            let others = Some(*id) != except && account.closing_since.is_none();
            let may_close = others && account.held > 0 && waited >= self.bounds.min_wait;
            may_close.then_some((account.held as f64 * waited.as_secs_f64(), *id, account.held))
        });
        let mut slow: Vec<(f64, ClientId, usize)> = slow.collect();
        slow.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut freed = 0;
        let mut close = Vec::new();
        for (_, id, held) in slow {
            if freed >= missing {
                break;
            }
            freed += held;
            close.push(id);
        }
        (freed >= missing).then_some(close)
    }

    fn mark_closing(&mut self, now: Duration, ids: &[ClientId]) {
        for id in ids {
            if let Some(account) = self.accounts.get_mut(id) {
                account.closing_since = Some(now);
                self.closing += account.held;
            }
        }
    }

    /// Releases bytes of a connection.
    pub fn release(&mut self, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            let bytes = bytes.min(account.held);
            account.held -= bytes;
            self.held -= bytes;
            if account.closing_since.is_some() {
                self.closing -= bytes;
            }
        }
    }
}
