//! Exchange of slots over UDP: requests slots from the owners of target pools and decides for the pools owned here.
//!
//! A datagram is 8 bytes of a keyed hash and a [`Datagram`] in postcard. [`Rounds`] sends lost slot requests again;
//! statements, which list all slots that a router holds, correct what other losses left wrong. An owner that does not
//! answer has not refused: the request waits, and when its time is over it fails with reason `owner_silent`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use prometheus::{IntCounter, IntCounterVec};
use sha2::{Digest, Sha256};
use slog::info;
use tokio::sync::{Notify, oneshot};

use super::{Shared, lock};
use crate::choice::NameHash;
use crate::clock::Instant;
use crate::rpc::LiveRouters;
use crate::slots::{
    Ask, AskOutcome, Bounds, Datagram, DatagramCheck, Decision, Due, Message, Peer, Place, Rounds,
    RouterId, Table, Ticket,
};

/// Interval of statements to every owner.
pub(super) const STATEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// For this time after a change of the live routers or targets, statements to every owner are sent more often.
const VIEW_CHANGE_WINDOW: Duration = Duration::from_secs(2);
/// Bytes of the keyed hash at the start of a datagram.
const TAG_BYTES: usize = 8;

/// This router's side of the slot exchange: slots requested and granted, with the UDP socket.
pub(super) struct Slots {
    local: Peer,
    /// Secret of the partner, which authenticates datagrams.
    key: String,
    started: Instant,
    /// Sends here; the thread that receives has a clone.
    pub(super) socket: UdpSocket,
    bounds: Bounds,
    counters: SlotCounters,
    state: std::sync::Mutex<State>,
    /// Wakes the task that sends due messages when one is due before `State::next_send_at`.
    pub(super) due_earlier: Notify,
}

/// Metrics of the slot exchange.
pub(super) struct SlotCounters {
    /// Bytes sent in datagrams.
    pub(super) sent_bytes: IntCounter,
    /// Slot requests, by outcome.
    pub(super) asks: IntCounterVec,
    /// Datagrams with slot requests that were sent again.
    pub(super) resent: IntCounter,
}

struct State {
    table: Table,
    routers: LiveRouters,
    addrs: BTreeMap<RouterId, SocketAddr>,
    /// Slot requests without an answer.
    waiting: BTreeMap<(RouterId, Ticket), oneshot::Sender<Decision>>,
    /// Messages queued for or on their way to each owner.
    rounds: BTreeMap<RouterId, Rounds>,
    /// When each owner last answered any slot request.
    answered_at: BTreeMap<RouterId, Duration>,
    /// When the task that sends due messages runs next.
    next_send_at: Option<Duration>,
    /// When the live routers or the pools last changed.
    view_changed_at: Duration,
}

fn router_id(host: &str) -> RouterId {
    RouterId(NameHash::new(host).0)
}

impl Slots {
    /// Binds the socket at `addr`.
    pub(super) fn bind(
        host: &str,
        key: &str,
        addr: SocketAddr,
        bounds: Bounds,
        started: Instant,
        counters: SlotCounters,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        let local =
            Peer { router: router_id(host), incarnation: started.since_boot().as_nanos() as u64 };
        let state = State {
            table: Table::new(local),
            routers: LiveRouters::default(),
            addrs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            rounds: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            next_send_at: None,
            view_changed_at: Duration::ZERO,
        };
        Ok(Slots {
            local,
            key: key.to_owned(),
            started,
            socket,
            bounds,
            counters,
            due_earlier: Notify::new(),
            state: std::sync::Mutex::new(state),
        })
    }

    /// Digest of the live routers known here; 0 before any are known.
    pub(super) fn routers_known(&self) -> u64 {
        let state = lock(&self.state);
        if state.table.has_view() { state.routers.digest() } else { 0 }
    }

    /// Whether the live routers are known, so that slots can be requested.
    pub(super) fn ready(&self) -> bool {
        lock(&self.state).table.has_view()
    }

    /// Sets the live routers, if they changed, and the pool of each engine. If the owners may have changed, pending
    /// slot requests end undecided and statements are sent at once.
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
            state.addrs = routers.0.iter().map(|(host, addr)| (router_id(host), *addr)).collect();
            state.routers = routers;
        }
        let live = state.addrs.keys().copied().collect();
        if state.table.set_view(&live, pools) {
            state.view_changed_at = now;
            // From here on other owners may be the ones to grant: requests are repeated to the new owners.
            state.rounds.clear();
            state.answered_at.clear();
            for (_, asker) in std::mem::take(&mut state.waiting) {
                let _ = asker.send(Decision::Undecided);
            }
            let due = state.table.statements();
            drop(state);
            due.into_iter().for_each(|(to, message)| self.send(to, vec![message]));
        }
    }

    /// Requests one slot; `None` when its owner has answered no request at all for `owner_timeout`, or not this one
    /// until `deadline`.
    pub(super) async fn ask(
        &self,
        now: Duration,
        ask: Ask,
        owner_timeout: Duration,
        deadline: Duration,
    ) -> Option<Decision> {
        let answered = match self.begin_ask(now, ask) {
            Ok(decided) => Some(decided),
            Err(mut pending) => {
                let left = deadline.saturating_sub(now);
                let answer = self.await_answer(&mut pending, now, owner_timeout);
                tokio::time::timeout(left, answer).await.ok().flatten()
            }
        };
        let outcome = answered.map_or("silent", outcome_label);
        self.counters.asks.with_label_values(&[outcome]).inc();
        answered
    }

    /// Waits for the answer to a slot request; gives up when its owner has answered no request at all for
    /// `owner_timeout`.
    async fn await_answer(
        &self,
        pending: &mut PendingAsk<'_>,
        asked_at: Duration,
        owner_timeout: Duration,
    ) -> Option<Decision> {
        let mut unresponsive_since = asked_at;
        loop {
            let left = (unresponsive_since + owner_timeout).saturating_sub(self.now());
            if let Ok(answered) = tokio::time::timeout(left, &mut pending.answer).await {
                return answered.ok();
            }
            let answered_at = lock(&self.state).answered_at.get(&pending.to).copied();
            unresponsive_since =
                answered_at.filter(|answered_at| *answered_at > unresponsive_since)?;
        }
    }

    /// Decides at once for targets owned here, otherwise queues the request for their owner.
    fn begin_ask(&self, now: Duration, ask: Ask) -> Result<Decision, PendingAsk<'_>> {
        let mut state = lock(&self.state);
        let (to, ticket, ask) = match state.table.ask(now, ask, &self.bounds) {
            AskOutcome::Decided(decision) => return Ok(decision),
            AskOutcome::Send { to, ask } => (to, ask.ticket, ask),
        };
        let (sender, answer) = oneshot::channel();
        state.waiting.insert((to, ticket), sender);
        state.rounds.entry(to).or_default().ask(ask);
        drop(state);
        self.send_due(now, to);
        Err(PendingAsk { slots: self, to, ticket, answer })
    }

    /// Returns a slot to its owner.
    pub(super) fn release(&self, now: Duration, place: Place) {
        let to = {
            let mut state = lock(&self.state);
            let Some((to, at)) = state.table.release(place) else {
                return;
            };
            state.rounds.entry(to).or_default().release(at, place);
            to
        };
        self.send_due(now, to);
    }

    /// Sends what is due to one owner and schedules what is due later.
    fn send_due(&self, now: Duration, to: RouterId) {
        let Some(due_at) = self.send_due_now(now, to) else {
            return;
        };
        let mut state = lock(&self.state);
        if state.next_send_at.is_none_or(|next_send_at| due_at < next_send_at) {
            state.next_send_at = Some(due_at);
            self.due_earlier.notify_one();
        }
    }

    /// Sends what is due to one owner; returns when something is due to it next.
    fn send_due_now(&self, now: Duration, to: RouterId) -> Option<Duration> {
        let (Due { messages, resent }, due_at) = {
            let mut state = lock(&self.state);
            let rounds = state.rounds.get_mut(&to)?;
            (rounds.due(now), rounds.due_at())
        };
        if !messages.is_empty() {
            self.counters.resent.inc_by(u64::from(resent));
            self.send(to, messages);
        }
        due_at
    }

    /// Sends what is due to all owners; returns when something is due next.
    pub(super) fn send_all_due(&self, now: Duration) -> Option<Duration> {
        let owners: Vec<RouterId> = lock(&self.state).rounds.keys().copied().collect();
        let next = owners.into_iter().filter_map(|to| self.send_due_now(now, to)).min();
        lock(&self.state).next_send_at = next;
        next
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn send(&self, to: RouterId, messages: Vec<Message>) {
        let (addr, incarnation) = {
            let state = lock(&self.state);
            (state.addrs.get(&to).copied(), state.table.current_incarnation(to))
        };
        let Some(addr) = addr else {
            return;
        };
        let datagram = Datagram { from: self.local, to: incarnation, messages };
        let Ok(payload) = postcard::to_stdvec(&datagram) else {
            return;
        };
        let mut datagram = self.tag(&payload).to_vec();
        datagram.extend(payload);
        self.counters.sent_bytes.inc_by(datagram.len() as u64);
        // An error, as of a full socket buffer, is treated like a datagram lost in the network.
        let _ = self.socket.send_to(&datagram, addr);
    }

    /// Keyed hash of a datagram's payload.
    fn tag(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let digest = Sha256::new().chain_update(&self.key).chain_update(payload).finalize();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    /// Sends statements of the slots held: to every owner when that is due, otherwise to the routers that have not sent
    /// theirs. `last_full` is when statements last went to every owner. Returns whether the view is stable: no recent
    /// change, and every live router has stated what it holds at the targets owned here.
    pub(super) fn send_statements(&self, now: Duration, last_full: &mut Duration) -> bool {
        let (due, stable) = {
            let mut state = lock(&self.state);
            let recently_changed = now <= state.view_changed_at + VIEW_CHANGE_WINDOW;
            let due = if recently_changed || now >= *last_full + STATEMENT_INTERVAL {
                *last_full = now;
                state.table.statements()
            } else {
                state.table.statements_to_unreported()
            };
            (due, !recently_changed && state.table.has_all_statements())
        };
        due.into_iter().for_each(|(to, message)| self.send(to, vec![message]));
        stable
    }

    /// Handles one datagram; drops it if it is not authenticated with the partner's key.
    pub(super) fn receive(&self, now: Duration, datagram: &[u8]) {
        let Some((tag, payload)) = datagram.split_at_checked(TAG_BYTES) else {
            return;
        };
        if tag != self.tag(payload) {
            return;
        }
        let Ok(datagram) = postcard::from_bytes::<Datagram>(payload) else {
            return;
        };
        let from = datagram.from.router;
        let replies = {
            let mut state = lock(&self.state);
            match state.table.check_datagram(now, &datagram) {
                DatagramCheck::Stale => return,
                DatagramCheck::Current { new_process, reply } => {
                    if let Some(rounds) = state.rounds.get_mut(&from).filter(|_| new_process) {
                        rounds.requeue();
                    }
                    reply.map_or_else(
                        || self.handle_all(&mut state, now, &datagram),
                        |answer| vec![answer],
                    )
                }
            }
        };
        if !replies.is_empty() {
            self.send(from, replies);
        }
        self.send_due(now, from);
    }

    /// Handles the messages of one datagram; returns the replies.
    fn handle_all(&self, state: &mut State, now: Duration, datagram: &Datagram) -> Vec<Message> {
        let (from, messages) = (datagram.from.router, datagram.messages.iter());
        messages.filter_map(|message| self.handle(state, now, from, message)).collect()
    }

    /// Handles one message; returns the reply, if any.
    fn handle(
        &self,
        state: &mut State,
        now: Duration,
        from: RouterId,
        message: &Message,
    ) -> Option<Message> {
        let Message::Answer { ticket, verdict } = *message else {
            return state.table.receive(now, from, message, &self.bounds);
        };
        state.answered_at.insert(from, now);
        // Recorded here rather than by the waiting request, so that a slot granted to a request that was given up
        // meanwhile does not count as held.
        let decision = state.table.record_answer(from, ticket, verdict);
        if let Some(rounds) = state.rounds.get_mut(&from) {
            rounds.record_answer(now, ticket);
        }
        if let Some(waiting) = state.waiting.remove(&(from, ticket)) {
            let _ = waiting.send(decision);
        }
        None
    }
}

/// Value of the metrics label `outcome`.
fn outcome_label(decision: Decision) -> &'static str {
    match decision {
        Decision::Granted(_) => "granted",
        Decision::Full => "full",
        Decision::Undecided => "undecided",
    }
}

/// A slot request without an answer; dropped at any time if the client disconnects.
struct PendingAsk<'a> {
    slots: &'a Slots,
    to: RouterId,
    ticket: Ticket,
    answer: oneshot::Receiver<Decision>,
}

impl Drop for PendingAsk<'_> {
    /// Gives up the request if it was not answered, and returns a slot that was granted but not received.
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        if state.waiting.remove(&(self.to, self.ticket)).is_some() {
            state.table.give_up(self.to, self.ticket);
            if let Some(rounds) = state.rounds.get_mut(&self.to) {
                rounds.give_up(self.ticket);
            }
            drop(state);
            // This may have been the last open request of its round, in which case the next round is due.
            self.slots.send_due(self.slots.now(), self.to);
            return;
        }
        drop(state);
        if let Ok(Decision::Granted(place)) = self.answer.try_recv() {
            self.slots.release(self.slots.now(), place);
        }
    }
}

impl Shared {
    /// Updates the view of the slots with the live routers from the control group, if they changed, and the pools from
    /// the platform's list.
    pub(super) fn update_slots(&self, routers: Option<LiveRouters>) {
        if let Some(routers) = &routers {
            info!(self.log, "live routers changed"; "event" => "routers", "count" => routers.0.len());
        }
        let pools = lock(&self.targets).pools();
        self.slots.set_view(self.now(), routers, &pools);
    }
}
