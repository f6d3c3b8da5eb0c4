//! What each connection of a client has a gateway hold, and who makes room when there is none.
//!
//! The connections that have occupied the most for the longest make room, and only those that have kept the gateway
//! waiting: whoever sends and reads at an ordinary pace is never cut for others.

use std::collections::HashMap;
use std::time::Duration;

/// Time for which a client must have kept the gateway waiting before it is cut for others: guards those that read at once
/// and whose packets are lost and sent again.
const MIN_WAIT_BEFORE_CUT: Duration = Duration::from_secs(1);

/// A connection of a client, as the ledger knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

/// What one connection has the gateway hold.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// In bytes.
    held: usize,
    /// Since when the gateway waits for the client to send or to read, if it does.
    waiting_since: Option<Duration>,
}

/// Whether there is room for more bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// They are counted. These connections are to be cut for them; what they hold is not counted any more.
    Granted(Vec<ClientId>),
    /// There is none, and they are not counted.
    Refused,
}

/// Counts what all connections of clients have a gateway hold.
#[derive(Debug)]
pub struct BufferLedger {
    /// Most bytes in all.
    max_bytes: usize,
    held: usize,
    accounts: HashMap<ClientId, Account>,
    opened: u64,
}

impl BufferLedger {
    /// Nothing held yet, of so many bytes at most.
    pub fn new(max_bytes: usize) -> Self {
        BufferLedger { max_bytes, held: 0, accounts: HashMap::new(), opened: 0 }
    }

    /// Bytes held in all.
    pub fn held(&self) -> usize {
        self.held
    }

    /// A client connected.
    pub fn open(&mut self) -> ClientId {
        self.opened += 1;
        let id = ClientId(self.opened);
        self.accounts.insert(id, Account::default());
        id
    }

    /// Its connection ended, and nothing is held for it any more.
    pub fn close(&mut self, id: ClientId) {
        if let Some(account) = self.accounts.remove(&id) {
            self.held -= account.held;
        }
    }

    /// The gateway begins to wait for the client, or goes on to.
    pub fn start_waiting(&mut self, now: Duration, id: ClientId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waiting_since.get_or_insert(now);
        }
    }

    /// The gateway does not wait for the client any more.
    pub fn stop_waiting(&mut self, id: ClientId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waiting_since = None;
        }
    }

    /// Has more bytes held for a connection, if there is room or others can make it.
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

    /// The connections to cut for so many bytes; `None` where all that may be cut hold less.
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

    /// Bytes of a connection are held no longer.
    pub fn release(&mut self, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            let bytes = bytes.min(account.held);
            account.held -= bytes;
            self.held -= bytes;
        }
    }
}
