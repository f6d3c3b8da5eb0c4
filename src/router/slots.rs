//! Slots over UDP: asks the owners of pools, answers for the pools owned here.
//!
//! A datagram is 8 bytes of a keyed hash and a [`Datagram`] in postcard. An ask that is lost is sent again, as
//! [`Rounds`] say; statements mend what other losses left wrong. An owner that stays silent is no refusal: the request
//! waits, and is told so when its time is over.

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

/// Between two statements to every owner.
pub(super) const STATE_EVERY: Duration = Duration::from_secs(2);
/// How long after a change of the live routers or targets statements come more often.
const UNSETTLED: Duration = Duration::from_secs(2);
const TAG_BYTES: usize = 8;

/// A router's part in granting slots, with the socket.
pub(super) struct Slots {
    me: Peer,
    key: String,
    started: Instant,
    /// Shared with the thread that receives.
    pub(super) socket: UdpSocket,
    bounds: Bounds,
    counters: SlotCounters,
    state: std::sync::Mutex<State>,
    /// Wakes the task that sends again, when something is due sooner than it knows.
    pub(super) due_sooner: Notify,
}

/// What is counted of asks for slots.
pub(super) struct SlotCounters {
    /// Bytes sent.
    pub(super) sent_bytes: IntCounter,
    /// Asks by what came of them.
    pub(super) asks: IntCounterVec,
    /// Datagrams with asks that were sent again.
    pub(super) resent: IntCounter,
}

struct State {
    table: Table,
    routers: LiveRouters,
    addrs: BTreeMap<RouterId, SocketAddr>,
    waiting: BTreeMap<(RouterId, Ticket), oneshot::Sender<Decision>>,
    /// What is on its way to each owner.
    rounds: BTreeMap<RouterId, Rounds>,
    /// When each owner answered last.
    heard_at: BTreeMap<RouterId, Duration>,
    /// When the task that sends again looks next.
    look_at: Option<Duration>,
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
        started: Instant,
        counters: SlotCounters,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        let me = Peer { router: id(host), incarnation: started.since_boot().as_nanos() as u64 };
        let state = State {
            table: Table::new(me),
            routers: LiveRouters::default(),
            addrs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            rounds: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            look_at: None,
            changed_at: Duration::ZERO,
        };
        Ok(Slots {
            me,
            key: key.to_owned(),
            started,
            socket,
            bounds,
            counters,
            due_sooner: Notify::new(),
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
            // Other owners may grant from here on; what was asked is asked anew.
            state.rounds.clear();
            state.heard_at.clear();
            for (_, asker) in std::mem::take(&mut state.waiting) {
                let _ = asker.send(Decision::Undecided);
            }
            let due = state.table.statements();
            drop(state);
            due.into_iter().for_each(|(to, message)| self.send(to, vec![message]));
        }
    }

    /// Asks for one slot; `None` when its owner has answered nothing for `longest`, or not this until `deadline`.
    pub(super) async fn ask(
        &self,
        now: Duration,
        ask: Ask,
        longest: Duration,
        deadline: Duration,
    ) -> Option<Decision> {
        let answered = match self.begin_ask(now, ask) {
            Ok(decided) => Some(decided),
            Err(mut pending) => {
                let left = deadline.saturating_sub(now);
                let answer = self.await_answer(&mut pending, now, longest);
                tokio::time::timeout(left, answer).await.ok().flatten()
            }
        };
        let outcome = answered.map_or("silent", label);
        self.counters.asks.with_label_values(&[outcome]).inc();
        answered
    }

    /// Waits for the answer to an ask as long as its owner answers others.
    async fn await_answer(
        &self,
        pending: &mut Pending<'_>,
        asked_at: Duration,
        longest: Duration,
    ) -> Option<Decision> {
        let mut silent_since = asked_at;
        loop {
            let left = (silent_since + longest).saturating_sub(self.now());
            if let Ok(answered) = tokio::time::timeout(left, &mut pending.answer).await {
                return answered.ok();
            }
            let heard_at = lock(&self.state).heard_at.get(&pending.to).copied();
            silent_since = heard_at.filter(|heard_at| *heard_at > silent_since)?;
        }
    }

    /// Decides at once for a target owned here, else sends the ask to its owner.
    fn begin_ask(&self, now: Duration, ask: Ask) -> Result<Decision, Pending<'_>> {
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
        Err(Pending { slots: self, to, ticket, answer })
    }

    /// Gives a slot back.
    pub(super) fn give(&self, now: Duration, place: Place) {
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

    /// Sends what is due to one owner, and has the rest sent in time.
    fn send_due(&self, now: Duration, to: RouterId) {
        let Some(due_at) = self.send_due_now(now, to) else {
            return;
        };
        let mut state = lock(&self.state);
        if state.look_at.is_none_or(|look_at| due_at < look_at) {
            state.look_at = Some(due_at);
            self.due_sooner.notify_one();
        }
    }

    /// Sends what is due to one owner now; tells when something is due to it next.
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

    /// Sends all that is due; tells when something is due next.
    pub(super) fn send_all_due(&self, now: Duration) -> Option<Duration> {
        let owners: Vec<RouterId> = lock(&self.state).rounds.keys().copied().collect();
        let next = owners.into_iter().filter_map(|to| self.send_due_now(now, to)).min();
        lock(&self.state).look_at = next;
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
        let datagram = Datagram { from: self.me, to: incarnation, messages };
        let Ok(payload) = postcard::to_stdvec(&datagram) else {
            return;
        };
        let mut datagram = self.tag(&payload).to_vec();
        datagram.extend(payload);
        self.counters.sent_bytes.inc_by(datagram.len() as u64);
        // A full socket buffer loses the datagram, as the network may.
        let _ = self.socket.send_to(&datagram, addr);
    }

    fn tag(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let digest = Sha256::new().chain_update(&self.key).chain_update(payload).finalize();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    /// States what is held: to every owner when that is due, else to those that have not stated what they hold. Tells
    /// whether all is settled. `all_at` is when every owner was last told.
    pub(super) fn state(&self, now: Duration, all_at: &mut Duration) -> bool {
        let (due, settled) = {
            let mut state = lock(&self.state);
            let changed_lately = now <= state.changed_at + UNSETTLED;
            let due = if changed_lately || now >= *all_at + STATE_EVERY {
                *all_at = now;
                state.table.statements()
            } else {
                state.table.statements_to_unreported()
            };
            (due, !changed_lately && state.table.has_all_statements())
        };
        due.into_iter().for_each(|(to, message)| self.send(to, vec![message]));
        settled
    }

    /// Handles one datagram; one that this partner's key did not tag is dropped.
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
                        || self.take_all(&mut state, now, &datagram),
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

    fn take_all(&self, state: &mut State, now: Duration, datagram: &Datagram) -> Vec<Message> {
        let (from, messages) = (datagram.from.router, datagram.messages.iter());
        messages.filter_map(|message| self.take(state, now, from, message)).collect()
    }

    /// Takes one message; returns what to answer.
    fn take(
        &self,
        state: &mut State,
        now: Duration,
        from: RouterId,
        message: &Message,
    ) -> Option<Message> {
        let Message::Answer { ticket, verdict } = *message else {
            return state.table.receive(now, from, message, &self.bounds);
        };
        state.heard_at.insert(from, now);
        // Decided here, so that a slot granted to an ask given up meanwhile is not held.
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

fn label(decision: Decision) -> &'static str {
    match decision {
        Decision::Granted(_) => "granted",
        Decision::Full => "full",
        Decision::Undecided => "undecided",
    }
}

/// An ask under way, whose caller may leave at any time.
struct Pending<'a> {
    slots: &'a Slots,
    to: RouterId,
    ticket: Ticket,
    answer: oneshot::Receiver<Decision>,
}

impl Drop for Pending<'_> {
    /// Gives up an ask without an answer, and gives back a slot that no one has taken.
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        if state.waiting.remove(&(self.to, self.ticket)).is_some() {
            state.table.give_up(self.to, self.ticket);
            if let Some(rounds) = state.rounds.get_mut(&self.to) {
                rounds.give_up(self.ticket);
            }
            drop(state);
            // It may have been the last that kept others waiting for the next round.
            self.slots.send_due(self.slots.now(), self.to);
            return;
        }
        drop(state);
        if let Ok(Decision::Granted(place)) = self.answer.try_recv() {
            self.slots.give(self.slots.now(), place);
        }
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
