//! Slots over UDP: asks the owners of pools, answers for the pools owned here.
//!
//! A datagram is 8 bytes of a keyed hash and, in postcard, the sender and the message. A lost one
//! costs a wait of [`ASK_TIMEOUT`] at most; statements mend what it left wrong.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prometheus::IntCounter;
use sha2::{Digest, Sha256};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::{Shared, lock};
use crate::choice::NameHash;
use crate::rpc::LiveRouters;
use crate::slots::{Ask, Asked, Bounds, Message, Place, RouterId, Table, Ticket};

/// Longest wait for an owner's answer; between data halls it takes 3 ms.
const ASK_TIMEOUT: Duration = Duration::from_millis(50);
/// Between two statements to every owner.
const STATE_EVERY: Duration = Duration::from_secs(2);
/// How long after a change of the live routers or targets statements come more often.
const UNSETTLED: Duration = Duration::from_secs(2);
/// Between two statements meanwhile.
const STATE_UNSETTLED: Duration = Duration::from_millis(200);
const TAG_BYTES: usize = 8;
const MAX_DATAGRAM: usize = 64 * 1024;

/// A router's part in granting slots, with the socket.
pub(super) struct Slots {
    me: RouterId,
    key: String,
    socket: UdpSocket,
    bounds: Bounds,
    sent_bytes: IntCounter,
    state: std::sync::Mutex<State>,
}

struct State {
    table: Table,
    routers: LiveRouters,
    addrs: BTreeMap<RouterId, SocketAddr>,
    waiting: BTreeMap<(RouterId, Ticket), oneshot::Sender<bool>>,
    changed_at: Duration,
}

fn id(host: &str) -> RouterId {
    RouterId(NameHash::new(host).0)
}

impl Slots {
    /// Binds the socket at `addr`.
    pub(super) fn bind(
        host: &str,
        key: &str,
        addr: SocketAddr,
        bounds: Bounds,
        sent_bytes: IntCounter,
    ) -> std::io::Result<Self> {
        let socket = std::net::UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        let state = State {
            table: Table::new(id(host)),
            routers: LiveRouters::default(),
            addrs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            changed_at: Duration::ZERO,
        };
        Ok(Slots {
            me: id(host),
            key: key.to_owned(),
            socket: UdpSocket::from_std(socket)?,
            bounds,
            sent_bytes,
            state: std::sync::Mutex::new(state),
        })
    }

    /// Digest of the live routers known here.
    pub(super) fn routers_known(&self) -> u64 {
        let state = lock(&self.state);
        if state.table.has_view() { state.routers.digest() } else { 0 }
    }

    /// Whether the live routers are known, so that slots can be asked for.
    pub(super) fn ready(&self) -> bool {
        lock(&self.state).table.has_view()
    }

    /// Takes the live routers and the pools of all engines; `None` where they did not change.
    pub(super) fn set_view(
        &self,
        now: Duration,
        routers: Option<LiveRouters>,
        pools: &BTreeMap<NameHash, NameHash>,
    ) {
        let mut state = lock(&self.state);
        if routers.is_none() && !state.table.has_view() {
            return;
        }
        if let Some(routers) = routers {
            state.addrs = routers.0.iter().map(|(host, addr)| (id(host), *addr)).collect();
            state.routers = routers;
        }
        let live = state.addrs.keys().copied().collect();
        if state.table.set_view(&live, pools) {
            state.changed_at = now;
            let due = state.table.statements();
            drop(state);
            due.into_iter().for_each(|(to, message)| self.send(to, message));
        }
    }

    /// Asks for one slot; tells whether it is held now.
    pub(super) async fn ask(&self, now: Duration, ask: Ask) -> bool {
        let mut pending = match self.begin_ask(now, ask) {
            Ok(decided) => return decided,
            Err(pending) => pending,
        };
        let answered = tokio::time::timeout(ASK_TIMEOUT, &mut pending.answer).await;
        matches!(answered, Ok(Ok(true)))
    }

    /// Decides at once for a target owned here, else sends the ask to its owner.
    fn begin_ask(&self, now: Duration, ask: Ask) -> Result<bool, Pending<'_>> {
        let mut state = lock(&self.state);
        let (to, ticket, message) = match state.table.ask(now, ask, &self.bounds) {
            Asked::Decided(granted) => return Ok(granted),
            Asked::Send { to, ticket, message } => (to, ticket, message),
        };
        let (sender, answer) = oneshot::channel();
        state.waiting.insert((to, ticket), sender);
        drop(state);
        self.send(to, message);
        Err(Pending { slots: self, to, ticket, place: ask.place, answer })
    }

    /// Gives a slot back.
    pub(super) fn give(&self, place: Place) {
        let given = lock(&self.state).table.give(place);
        if let Some((to, message)) = given {
            self.send(to, message);
        }
    }

    fn send(&self, to: RouterId, message: Message) {
        let Some(addr) = lock(&self.state).addrs.get(&to).copied() else {
            return;
        };
        let Ok(payload) = postcard::to_stdvec(&(self.me, message)) else {
            return;
        };
        let mut datagram = self.tag(&payload).to_vec();
        datagram.extend(payload);
        self.sent_bytes.inc_by(datagram.len() as u64);
        // A full socket buffer loses the datagram, as the network may.
        let _ = self.socket.try_send_to(&datagram, addr);
    }

    fn tag(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let digest = Sha256::new().chain_update(&self.key).chain_update(payload).finalize();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    /// Handles one datagram; one that this partner's key did not tag is dropped.
    fn receive(&self, now: Duration, datagram: &[u8]) {
        let Some((tag, payload)) = datagram.split_at_checked(TAG_BYTES) else {
            return;
        };
        if tag != self.tag(payload) {
            return;
        }
        let Ok((from, message)) = postcard::from_bytes::<(RouterId, Message)>(payload) else {
            return;
        };
        let mut state = lock(&self.state);
        if let Message::Answer { ticket, granted } = message {
            // Decided here, so that a slot granted to an ask given up meanwhile is not held.
            let held = state.table.answered(from, ticket, granted);
            if let Some(waiting) = state.waiting.remove(&(from, ticket)) {
                let _ = waiting.send(held);
            }
            return;
        }
        let reply = state.table.receive(now, from, &message, &self.bounds);
        drop(state);
        if let Some(reply) = reply {
            self.send(from, reply);
        }
    }
}

/// An ask under way, whose caller may leave at any time.
struct Pending<'a> {
    slots: &'a Slots,
    to: RouterId,
    ticket: Ticket,
    place: Place,
    answer: oneshot::Receiver<bool>,
}

impl Drop for Pending<'_> {
    /// Gives up an ask without an answer, and gives back a slot that no one has taken.
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        if state.waiting.remove(&(self.to, self.ticket)).is_some() {
            state.table.give_up(self.to, self.ticket);
            return;
        }
        drop(state);
        if let Ok(true) = self.answer.try_recv() {
            self.slots.give(self.place);
        }
    }
}

/// Receives datagrams for ever.
pub(super) async fn receive(shared: Arc<Shared>) {
    let mut datagram = vec![0; MAX_DATAGRAM];
    loop {
        match shared.slots.socket.recv_from(&mut datagram).await {
            Ok((len, _)) => {
                shared.metrics.count_control("slots", 0, len);
                shared.slots.receive(shared.now(), &datagram[..len]);
            }
            Err(error) => {
                warn!(shared.log, "datagram lost"; "event" => "slots_failed", "error" => %error);
                tokio::time::sleep(ASK_TIMEOUT).await;
            }
        }
    }
}

/// States what is held to every owner, for ever.
pub(super) async fn state(shared: Arc<Shared>) {
    loop {
        let (due, settled) = {
            let mut state = lock(&shared.slots.state);
            let settled = shared.now() > state.changed_at + UNSETTLED;
            (state.table.statements(), settled)
        };
        due.into_iter().for_each(|(to, message)| shared.slots.send(to, message));
        tokio::time::sleep(if settled { STATE_EVERY } else { STATE_UNSETTLED }).await;
    }
}

impl Shared {
    /// Takes what control and the platform say of routers and engines.
    pub(super) fn update_slots(&self, routers: Option<LiveRouters>) {
        if let Some(routers) = &routers {
            info!(self.log, "live routers"; "event" => "routers", "count" => routers.0.len());
        }
        let pools = lock(&self.targets).pools();
        self.slots.set_view(self.now(), routers, &pools);
    }
}
