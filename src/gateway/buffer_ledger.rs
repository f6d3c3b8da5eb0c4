//! Accounting of the bytes buffered for each client's connection, and the choice of connections to
//! cut when the limit is reached.
//!
//! Connections are cut in the order of buffered bytes times waiting time, and only if they have
//! kept the gateway waiting: a client that sends and reads at a normal pace is never cut for
//! others.

use std::collections::HashMap;
use std::time::Duration;

/// How long a client must have kept the gateway waiting before it may be cut for others. Protects
/// clients that read at once but suffer from packet loss and retransmission.
const MIN_WAIT_BEFORE_CUT: Duration = Duration::from_secs(1);

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

/// Account of one connection.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Buffered bytes.
    held: usize,
    /// Since when the gateway has been waiting for the client to send or read, if it is.
    waiting_since: Option<Duration>,
}

/// Result of a request for space.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are counted. The listed connections must be cut for them; their bytes are no
    /// longer counted.
    Granted(Vec<ClientId>),
    /// There is no space, and the bytes are not counted.
    Refused,
}

/// Counts the bytes buffered for all connections.
#[derive(Debug)]
pub struct BufferLedger {
    /// Maximum bytes in total.
    max_bytes: usize,
    held: usize,
    accounts: HashMap<ClientId, Account>,
    opened: u64,
}

impl BufferLedger {
    /// Creates an empty ledger with a limit of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        BufferLedger { max_bytes, held: 0, accounts: HashMap::new(), opened: 0 }
    }

    /// Bytes buffered in total.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Opens an account for a new connection.
    pub fn open(&mut self) -> ClientId {
        self.opened += 1;
        let id = ClientId(self.opened);
        self.accounts.insert(id, Account::default());
        id
    }

    /// Closes the account of a connection, and releases its bytes.
    pub fn close(&mut self, id: ClientId) {
        if let Some(account) = self.accounts.remove(&id) {
            self.held -= account.held;
        }
    }

    /// Records that the gateway waits for the client; no effect if it already does.
    pub fn start_waiting(&mut self, now: Duration, id: ClientId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waiting_since.get_or_insert(now);
        }
    }

    /// Records that the gateway no longer waits for the client.
    pub fn stop_waiting(&mut self, id: ClientId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waiting_since = None;
        }
    }

    /// Counts `bytes` more for a connection, if they fit or if cutting other connections makes them
    /// fit.
    pub fn reserve(&mut self, now: Duration, id: ClientId, bytes: usize) -> Reservation {
        let missing = self.held.saturating_add(bytes).saturating_sub(self.max_bytes);
        if !self.accounts.contains_key(&id) {
            return Reservation::Refused;
        }
        let Some(cut) = self.clients_to_cut(now, id, missing) else {
            return Reservation::Refused;
        };
        cut.iter().for_each(|slow| self.close(*slow));
        self.held += bytes;
        if let Some(account) = self.accounts.get_mut(&id) {
            account.held += bytes;
        }
        Reservation::Granted(cut)
    }

    /// The connections to cut to free `missing` bytes; `None` if all that may be cut hold less.
    fn clients_to_cut(
        &self,
        now: Duration,
        except: ClientId,
        missing: usize,
    ) -> Option<Vec<ClientId>> {
        if missing == 0 {
            return Some(Vec::new());
        }
        let slow = self.accounts.iter().filter_map(|(id, account)| {
            let waited = now.saturating_sub(account.waiting_since?);
            let may_cut = *id != except && account.held > 0 && waited >= MIN_WAIT_BEFORE_CUT;
            may_cut.then_some((account.held as f64 * waited.as_secs_f64(), *id, account.held))
        });
        let mut slow: Vec<(f64, ClientId, usize)> = slow.collect();
        slow.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut freed = 0;
        let mut cut = Vec::new();
        for (_, id, held) in slow {
            if freed >= missing {
                break;
            }
            freed += held;
            cut.push(id);
        }
        (freed >= missing).then_some(cut)
    }

    /// Releases bytes of a connection.
    pub fn release(&mut self, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            let bytes = bytes.min(account.held);
            account.held -= bytes;
            self.held -= bytes;
        }
    }
}
