//! What a member does by itself: sends what the agreement wants sent, joins the group, tells the
//! others of its gateways, and looks after targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::Shared;
use super::loads::{loads_interval, loads_ttl, member_loads_interval};
use super::message::{Call, Reply, ToMember};
use super::prefix_holders::ReadPosition;
use crate::clock::Instant;
use crate::control::member::Outbox;
use crate::level::Level;
use crate::raft::{Envelope, Members, StoreId};
use crate::store::Command;
use crate::sync::lock;

/// Between two looks at whether this member belongs to the group.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a leader after which a member asks to be taken in again.
const LOST_AFTER: Duration = Duration::from_millis(1_500);
/// Longest time for one request to be taken in.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two words about which gateways are connected here.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Most targets that one command gives homes to.
const SETTLED_AT_ONCE: usize = 100;
/// Between two looks at the targets.
const TARGETS_INTERVAL: Duration = Duration::from_millis(400);

/// Sends the messages of the agreement.
pub(super) async fn dispatch(shared: Arc<Shared>, mut outbox: Outbox) {
    while let Some(messages) = outbox.recv().await {
        let members = shared.published().members;
        let mut batches: Vec<(SocketAddr, Vec<Envelope>)> = Vec::new();
        for message in messages {
            let Some(addr) = address(&shared, &members, message.to) else {
                continue;
            };
            match batches.iter_mut().find(|(to, _)| *to == addr) {
                Some((_, batch)) => batch.push(message),
                None => batches.push((addr, vec![message])),
            }
        }
        for (addr, messages) in batches {
            let (from, knows) = (shared.own_addr, shared.supported_level());
            shared.peers.send(addr, ToMember::Agreement { from, messages, knows });
        }
    }
}

/// Where `id` is reached, by the members or else by its own word.
fn address(shared: &Shared, members: &Members, id: StoreId) -> Option<SocketAddr> {
    let known = members.get(id).map(|member| member.addr);
    known.or_else(|| lock(&shared.store_addrs).get(&id).copied())
}

/// Asks to be taken in while this store is no member, or has heard no leader for long.
pub(super) async fn join(shared: Arc<Shared>) {
    let mut heard = Instant::now();
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        let now = Instant::now();
        if shared.member.standing().fresh(now) {
            heard = now;
        }
        let member = shared.published().members.get(shared.store).is_some();
        if member && now < heard + LOST_AFTER {
            continue;
        }
        ask_to_join(&shared).await;
    }
}

async fn ask_to_join(shared: &Shared) {
    let mut asked: Vec<SocketAddr> = vec![shared.own_addr];
    let mut waiting = shared.known_members();
    while let Some(addr) = waiting.pop() {
        if asked.contains(&addr) {
            continue;
        }
        asked.push(addr);
        let (store, own) = (shared.store, shared.own_addr);
        let call = Call::Join { store, addr: own, knows: Level::NEWEST };
        match shared.peers.call(addr, call, JOIN_TIMEOUT).await {
            Ok(Reply::Done) => return,
            Ok(Reply::NotLeader(Some(leader))) => waiting.push(leader),
            _ => {}
        }
    }
}

/// Tells the others which gateways are connected here.
pub(super) async fn tell_presence(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PRESENCE_INTERVAL).await;
        let gateways = lock(&shared.presence).connected();
        if !gateways.is_empty() {
            shared.broadcast(&ToMember::Presence(gateways));
        }
    }
}

/// Tells the others what the gateways connected here have in flight.
pub(super) async fn tell_loads(shared: Arc<Shared>) {
    let mut told = ReadPosition::default();
    loop {
        let busy = lock(&shared.load_totals).busy();
        tokio::time::sleep(member_loads_interval(shared.gateways_alive(), busy)).await;
        let longest = shared.loads_ttl();
        let loads = lock(&shared.load_totals).local(shared.now(), longest);
        if lock(&shared.presence).any_connected() {
            let evidence = lock(&shared.evidence).local(shared.now());
            let keepers = lock(&shared.prefix_holders).next_for_members(shared.now(), &mut told);
            let (from, tallies) = (shared.own_addr, lock(&shared.rollouts).local());
            let word = ToMember::MemberLoads { from, loads, evidence, keepers, tallies };
            shared.broadcast(&word);
        }
    }
}

impl Shared {
    /// Sends a frame to every other member that is known.
    pub(super) fn broadcast(&self, frame: &ToMember) {
        let others = self.known_members().into_iter().filter(|addr| *addr != self.own_addr);
        others.for_each(|addr| self.peers.send(addr, frame.clone()));
    }

    /// Time between two words about loads to a gateway.
    pub(super) fn loads_interval(&self) -> Duration {
        loads_interval(self.gateways_alive(), lock(&self.load_totals).busy())
    }

    /// How long a word about loads counts.
    pub(super) fn loads_ttl(&self) -> Duration {
        loads_ttl(self.gateways_alive(), lock(&self.load_totals).busy())
    }

    /// Gateways that are connected to any member.
    pub(super) fn gateways_alive(&self) -> u32 {
        lock(&self.presence).alive(self.run_clock.ran())
    }
}

/// While this member leads, marks targets that have become silent, settles new ones, and notes halls whose targets are
/// warm again.
pub(super) async fn watch_targets(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(TARGETS_INTERVAL).await;
        let (now, leads) = (shared.run_clock.ran(), shared.leads());
        let directory = shared.published().directory;
        let silent = lock(&shared.liveness).unresponsive(now, leads, &directory);
        let due = lock(&shared.liveness).due_for_home(now, leads, &directory);
        if !due.is_empty() {
            info!(shared.log, "targets settled"; "event" => "targets_settled", "ids" => ?due);
            for due in due.chunks(SETTLED_AT_ONCE) {
                shared.propose_here(Command::Settle(due.to_vec())).await;
            }
        }
        let warm = if leads { shared.halls_warm_again() } else { Vec::new() };
        if !warm.is_empty() {
            let told = format!("{warm:?}");
            // Not before: a member that ends here would have said what is in no log.
            if let Reply::Answer(_) = shared.propose_here(Command::WarmAgain(warm)).await {
                info!(shared.log, "halls warm again"; "event" => "halls_warm", "halls" => told);
            }
        }
        if !silent.is_empty() {
            info!(shared.log, "targets silent"; "event" => "targets_silent", "ids" => ?silent);
            shared.propose_here(Command::Silence(silent)).await;
        }
    }
}

/// Logs what the member believes of the group and of the configuration, when that changes.
pub(super) async fn log_beliefs(shared: Arc<Shared>) {
    let mut published = shared.member.published();
    let mut version = 0;
    let mut led = 0;
    let mut members = Members::default();
    let mut orders = 0;
    while published.changed().await.is_ok() {
        let now = published.borrow_and_update().clone();
        let standing = shared.member.standing();
        let term = standing.term;
        if standing.leads && term != led {
            led = term;
            shared.metrics.elections.inc();
        }
        if now.evacuations.revision() != orders {
            orders = now.evacuations.revision();
            shared.record_orders(&now.evacuations);
        }
        let newest = now.version();
        if newest != version {
            version = newest;
            lock(&shared.propagation).hold(shared.now(), version);
            info!(shared.log, "configuration held"; "event" => "configuration",
                "version" => version, "index" => now.applied, "term" => term);
        }
        if now.members != members {
            members = now.members;
            let list: Vec<String> = members
                .0
                .iter()
                .map(|member| format!("{}={:?}", member.addr, member.standing))
                .collect();
            info!(shared.log, "members changed"; "event" => "members",
                "members" => list.join(","), "term" => term);
        }
    }
}
