//! Background tasks of a member: sends Raft messages, joins the group, reports its gateways and their loads to the
//! other members, and maintains the targets in the directory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::Shared;
use super::liveness::Overdue;
use super::loads::{loads_interval, loads_ttl, member_loads_interval};
use super::message::{Call, Reply, ToMember};
use super::prefix_holders::ReadPosition;
use super::stream_origins::MAX_PER_MEMBER_REPORT;
use crate::clock::Instant;
use crate::control::member::Outbox;
use crate::level::Level;
use crate::raft::{Envelope, Members, StoreId};
use crate::store::Command;
use crate::sync::lock;

/// Interval at which the member checks whether it has to join the group.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without contact with a leader after which a member joins again.
const LEADER_LOST_AFTER: Duration = Duration::from_millis(1_500);
/// Timeout of one join call to one member.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the reports to the other members on which gateways are connected here.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of targets that one command assigns homes to.
const MAX_SETTLE_BATCH: usize = 100;
/// Interval at which the leader checks the targets.
const TARGETS_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Sends the Raft messages in the outbox, those to one address together in one frame.
pub(super) async fn send_raft_messages(shared: Arc<Shared>, mut outbox: Outbox) {
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
            shared.peers.send(addr, ToMember::Raft { from, messages, supported_level: knows });
        }
    }
}

/// Address of a store: that in the group's list of members, or else the one that the store itself reported.
fn address(shared: &Shared, members: &Members, id: StoreId) -> Option<SocketAddr> {
    let known = members.get(id).map(|member| member.addr);
    known.or_else(|| lock(&shared.store_addrs).get(&id).copied())
}

/// Sends join calls while this store is not a member of the group, or has had no contact with a leader for
/// [`LEADER_LOST_AFTER`].
pub(super) async fn keep_joined(shared: Arc<Shared>) {
    let mut last_contact = Instant::now();
    loop {
        tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
        let now = Instant::now();
        if shared.member.leadership().fresh(now) {
            last_contact = now;
        }
        let member = shared.published().members.get(shared.store).is_some();
        if member && now < last_contact + LEADER_LOST_AFTER {
            continue;
        }
        join(&shared).await;
    }
}

/// Calls one known member after the other, and leaders that they name, until a leader accepts this store.
async fn join(shared: &Shared) {
    let mut called: Vec<SocketAddr> = vec![shared.own_addr];
    let mut candidates = shared.known_members();
    while let Some(addr) = candidates.pop() {
        if called.contains(&addr) {
            continue;
        }
        called.push(addr);
        let (store, own_addr) = (shared.store, shared.own_addr);
        let call = Call::Join { store, addr: own_addr, supported_level: Level::NEWEST };
        match shared.peers.call(addr, call, JOIN_TIMEOUT).await {
            Ok(Reply::Done) => return,
            Ok(Reply::NotLeader(Some(leader))) => candidates.push(leader),
            _ => {}
        }
    }
}

/// Reports to the other members which gateways are connected here, and which of them send requests on behalf of others.
pub(super) async fn send_presence(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PRESENCE_INTERVAL).await;
        let gateways = lock(&shared.presence).connected();
        if !gateways.is_empty() {
            shared.broadcast(&ToMember::Presence(gateways));
        }
        let (from, peers) = (shared.own_addr, lock(&shared.relay_peers).local());
        if !peers.is_empty() {
            shared.broadcast(&ToMember::MemberRelayPeers { from, peers });
        }
    }
}

/// Reports to the other members what the gateways connected here have reported: requests in flight, outcomes of
/// attempts, prefix holders, and tallies of roll-outs.
pub(super) async fn send_loads(shared: Arc<Shared>) {
    let mut position = ReadPosition::default();
    let mut streams_position = ReadPosition::default();
    loop {
        let busy = lock(&shared.load_totals).busy_targets();
        tokio::time::sleep(member_loads_interval(shared.gateways_alive(), busy)).await;
        let ttl = shared.loads_ttl();
        let loads = lock(&shared.load_totals).local(shared.now(), ttl);
        let streams = lock(&shared.streams).next_local(
            shared.now(),
            &mut streams_position,
            MAX_PER_MEMBER_REPORT,
        );
        // The last report of a gateway that has died is passed on even if no other is connected here.
        if lock(&shared.presence).any_connected() || !streams.is_empty() {
            let evidence = lock(&shared.evidence).local(shared.now());
            let prefix_holders =
                lock(&shared.prefix_holders).next_for_members(shared.now(), &mut position);
            let (from, tallies) = (shared.own_addr, lock(&shared.rollouts).local());
            let frame =
                ToMember::MemberLoads { from, loads, evidence, prefix_holders, tallies, streams };
            shared.broadcast(&frame);
            let gateways = shared.gateways_alive();
            let services = lock(&shared.brittle).local(shared.now(), gateways);
            if !services.is_empty() {
                let from = shared.own_addr;
                shared.broadcast(&ToMember::MemberBrittle { from, services });
            }
        }
    }
}

impl Shared {
    /// Sends a frame to all other known members.
    pub(super) fn broadcast(&self, frame: &ToMember) {
        let others = self.known_members().into_iter().filter(|addr| *addr != self.own_addr);
        others.for_each(|addr| self.peers.send(addr, frame.clone()));
    }

    /// Time between two load reports to a gateway.
    pub(super) fn loads_interval(&self) -> Duration {
        loads_interval(self.gateways_alive(), lock(&self.load_totals).busy_targets())
    }

    /// How long a load report counts.
    pub(super) fn loads_ttl(&self) -> Duration {
        loads_ttl(self.gateways_alive(), lock(&self.load_totals).busy_targets())
    }

    /// Number of gateways connected to any member.
    pub(super) fn gateways_alive(&self) -> u32 {
        lock(&self.presence).alive(self.run_clock.ran())
    }
}

impl Shared {
    /// Marks overdue targets as unresponsive, and removes those that were draining.
    async fn apply_overdue(&self, overdue: Overdue) {
        let Overdue { unresponsive, drained } = overdue;
        if !unresponsive.is_empty() {
            info!(self.log, "targets unresponsive"; "event" => "targets_silent", "ids" => ?unresponsive);
            self.propose_here(Command::Silence(unresponsive)).await;
        }
        if drained.is_empty() {
            return;
        }
        info!(self.log, "draining targets unresponsive, removed"; "event" => "targets_drained", "ids" => ?drained);
        for target in drained {
            self.propose_here(Command::Remove(target)).await;
        }
    }
}

/// While this member leads, marks unresponsive targets, assigns homes to new ones, and records which data halls are
/// warm again after an evacuation.
pub(super) async fn watch_targets(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(TARGETS_CHECK_INTERVAL).await;
        let (now, leads) = (shared.run_clock.ran(), shared.leads());
        if shared.member.leadership().fresh(Instant::now()) {
            shared.led_since.get_or_init(|| now);
        }
        let directory = shared.published().directory;
        let overdue = lock(&shared.liveness).overdue(now, leads, &directory);
        let due = lock(&shared.liveness).due_for_home(now, leads, &directory);
        if !due.is_empty() {
            info!(shared.log, "homes assigned to new targets"; "event" => "targets_settled", "ids" => ?due);
            for due in due.chunks(MAX_SETTLE_BATCH) {
                shared.propose_here(Command::Settle(due.to_vec())).await;
            }
        }
        let warm = if leads { shared.halls_warm_again() } else { Vec::new() };
        if !warm.is_empty() {
            let halls = format!("{warm:?}");
            // Logged only afterwards: a member that crashes before the proposal is committed must not have reported it.
            if let Reply::Answer(_) = shared.propose_here(Command::WarmAgain(warm)).await {
                info!(shared.log, "data halls warm again after an evacuation"; "event" => "halls_warm", "halls" => halls);
            }
        }
        shared.apply_overdue(overdue).await;
    }
}

/// Follows the published state: counts elections won, records applied evacuation orders and configurations, and logs
/// changes of the configuration and of the members.
pub(super) async fn follow_published(shared: Arc<Shared>) {
    let mut published = shared.member.published();
    let mut version = 0;
    let mut last_led_term = 0;
    let mut members = Members::default();
    let mut evacuations = 0;
    while published.changed().await.is_ok() {
        let now = published.borrow_and_update().clone();
        let leadership = shared.member.leadership();
        let term = leadership.term;
        if leadership.leads && term != last_led_term {
            last_led_term = term;
            shared.metrics.elections.inc();
        }
        if now.evacuations.revision() != evacuations {
            evacuations = now.evacuations.revision();
            shared.record_orders(&now.evacuations);
        }
        let newest = now.version();
        if newest != version {
            version = newest;
            lock(&shared.propagation).add_version(shared.now(), version);
            info!(shared.log, "configuration held"; "event" => "configuration",
                "version" => version, "index" => now.applied, "term" => term);
        }
        if now.members != members {
            members = now.members;
            let list: Vec<String> = members
                .0
                .iter()
                .map(|member| format!("{}={:?}", member.addr, member.kind))
                .collect();
            info!(shared.log, "members changed"; "event" => "members",
                "members" => list.join(","), "term" => term);
        }
    }
}
