//! An in-memory consensus group: replicas, their disks, and a network that drops, duplicates and reorders messages.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use latchmount::raft::{
    Envelope, GroupId, Member, Members, MembershipRules, Position, Replica, Role, Standing,
    StoreId, Term, Timing,
};
use latchmount::store::{Answer, Change, Command, Store};
use latchmount::template::{Team, Template};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::change_model::ChangeModel;
use crate::disk::FakeDisk;
use crate::order_model::{Call, OrderModel};

pub const MEMBERS: usize = 5;
pub const TEMPLATES: usize = 3;
const COMPACT_AFTER: usize = 8;
/// Number of most recent calls that members may still repeat.
const MAX_REPEATABLE_CALLS: usize = 6;
const STEP: Duration = Duration::from_millis(10);
/// Clocks run at 95 to 105 % of simulated time.
const MAX_DRIFT: f64 = 0.05;

/// Voters of a group that maintains their number itself; the other members are learners.
const MAINTAINED_VOTERS: usize = 3;

/// Rules of a group that replaces unresponsive voters itself.
fn membership_rules() -> MembershipRules {
    MembershipRules {
        voters: MAINTAINED_VOTERS,
        unresponsive_after: Duration::from_millis(900),
        remove_after: Duration::from_secs(5),
    }
}

pub fn timing() -> Timing {
    Timing {
        heartbeat: Duration::from_millis(50),
        election_min: Duration::from_millis(300),
        election_max: Duration::from_millis(600),
    }
}

/// A change to the template numbered `name`, based on version `base`.
pub fn change(id: &str, name: usize, base: u64) -> Change {
    let team = Team { share_percent: 10.0, ..Team::default() };
    let template = Template {
        name: format!("t{name}"),
        model: "m".into(),
        version: id.into(),
        teams: [(format!("team{name}"), team)].into(),
        ..Template::default()
    };
    Change { id: id.into(), base, author: "a".into(), template }
}

struct Host {
    addr: SocketAddr,
    disk: FakeDisk,
    replica: Option<Replica<FakeDisk>>,
    id: StoreId,
    /// Start time of the process, and the rate of its clock.
    started: Duration,
    rate: f64,
    frozen: bool,
    /// When the host was suspended together with its clock, if it is now.
    clock_stopped_at: Option<Duration>,
    partitioned: bool,
    /// Member whose messages to this one are dropped.
    drops_from: Option<usize>,
    /// Changes proposed at this member whose answer is pending, by log position.
    proposed: BTreeMap<Position, Change>,
    /// The same for evacuation orders.
    called: BTreeMap<Position, Call>,
}

impl Host {
    fn now(&self, time: Duration) -> Duration {
        let time = self.clock_stopped_at.unwrap_or(time);
        (time - self.started).mul_f64(self.rate)
    }
}

/// The whole group, and models of what it must hold.
pub struct Group {
    hosts: Vec<Host>,
    /// Messages in transit, with the time of their delivery.
    network: Vec<(Duration, Envelope)>,
    time: Duration,
    rng: StdRng,
    next_id: u64,
    /// Whether the network drops, duplicates and delays messages.
    lossy: bool,
    /// Every change ever proposed, by its position in a leader's log.
    proposals: BTreeMap<Position, Change>,
    change_model: ChangeModel,
    /// Every evacuation order ever proposed, by its position in a leader's log.
    calls: BTreeMap<Position, Call>,
    order_model: OrderModel,
    /// The leader of each term.
    leaders: BTreeMap<Term, StoreId>,
    /// Rules by which the group maintains its number of voters itself, if it does.
    rules: Option<MembershipRules>,
}

impl Group {
    pub fn new(seed: u64) -> Self {
        Self::with(seed, None)
    }

    /// A group that three members form and that maintains three voters itself.
    pub fn with_membership_rules(seed: u64) -> Self {
        Self::with(seed, Some(membership_rules()))
    }

    fn with(seed: u64, rules: Option<MembershipRules>) -> Self {
        let mut group = Group {
            rules,
            hosts: Vec::new(),
            network: Vec::new(),
            time: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            next_id: 1,
            lossy: true,
            proposals: BTreeMap::new(),
            change_model: ChangeModel::default(),
            calls: BTreeMap::new(),
            order_model: OrderModel::default(),
            leaders: BTreeMap::new(),
        };
        for number in 0..MEMBERS {
            group.hosts.push(Host {
                addr: ([10, 0, 0, number as u8], 7000).into(),
                disk: FakeDisk::default(),
                replica: None,
                id: StoreId(0),
                started: Duration::ZERO,
                rate: 1.0,
                frozen: false,
                clock_stopped_at: None,
                partitioned: false,
                drops_from: None,
                proposed: BTreeMap::new(),
                called: BTreeMap::new(),
            });
            group.start(number);
        }
        let member = |host: &Host| Member { id: host.id, addr: host.addr, kind: Standing::Voter };
        let founders = if rules.is_some() { MAINTAINED_VOTERS } else { MEMBERS };
        let members = Members(group.hosts.iter().take(founders).map(member).collect());
        // Without an operator all founders form the same group.
        let forming = if rules.is_some() { founders } else { 1 };
        for number in 0..forming {
            group.replica(number).form(GroupId(1), members.clone());
            group.flush(number);
        }
        group
    }

    fn replica(&mut self, number: usize) -> &mut Replica<FakeDisk> {
        self.hosts[number].replica.as_mut().expect("the member runs")
    }

    fn responsive(&self, number: usize) -> bool {
        let host = &self.hosts[number];
        host.replica.is_some() && !host.frozen
    }

    /// Starts the member; on an empty disk it gets a new store ID.
    pub fn start(&mut self, number: usize) {
        let fresh = StoreId(self.next_id);
        self.next_id += 1;
        let seed = self.rng.random();
        let drift = self.rng.random_range(-MAX_DRIFT..MAX_DRIFT);
        let host = &mut self.hosts[number];
        host.started = self.time;
        host.rate = 1.0 + drift;
        host.frozen = false;
        host.clock_stopped_at = None;
        let disk = host.disk.clone();
        let opened = Replica::open(disk, fresh, timing(), COMPACT_AFTER, Duration::ZERO, seed);
        let mut replica = opened.unwrap_or_else(|error| panic!("member {number}: {error}"));
        if let Some(rules) = self.rules {
            replica.set_membership_rules(rules);
        }
        host.id = replica.node().id();
        host.replica = Some(replica);
    }

    /// Kills the member; at most `torn` bytes of its unsynced data survive.
    pub fn crash(&mut self, number: usize, torn: usize) {
        let host = &mut self.hosts[number];
        host.replica = None;
        host.proposed.clear();
        host.called.clear();
        host.disk.crash(torn);
    }

    pub fn running(&self, number: usize) -> bool {
        self.hosts[number].replica.is_some()
    }

    /// Empties the disk of a member and restarts it, but only while the membership is complete: no
    /// protocol survives the loss of a quorum of disks.
    pub fn lose_disk(&mut self, number: usize) {
        if !self.membership_complete() || !self.can_lose_a_disk() {
            return;
        }
        self.crash(number, 0);
        self.hosts[number].disk = FakeDisk::default();
        self.start(number);
    }

    /// Whether the newest membership is committed and its voters are stores that exist now: all of
    /// them, or as many as the rules ask for.
    fn membership_complete(&self) -> bool {
        let newest = self.hosts.iter().filter_map(|host| host.replica.as_ref());
        let newest = newest.max_by_key(|replica| replica.node().commit());
        let Some(node) = newest.map(Replica::node) else {
            return false;
        };
        let committed = node.log().members().1 <= node.commit();
        let ids: BTreeSet<StoreId> = self.hosts.iter().map(|host| host.id).collect();
        let voters: BTreeSet<StoreId> = node.members().voters().collect();
        match self.rules {
            None => committed && voters == ids,
            Some(rules) => committed && voters.len() == rules.voters && voters.is_subset(&ids),
        }
    }

    /// Whether a disk may be emptied: five voters tolerate two losses, but three tolerate only one, so
    /// that with three no other member may be unreachable.
    fn can_lose_a_disk(&self) -> bool {
        let in_reach = |host: &Host| {
            host.replica.is_some() && !host.frozen && !host.partitioned && host.drops_from.is_none()
        };
        self.rules.is_none() || self.hosts.iter().all(in_reach)
    }

    pub fn freeze(&mut self, number: usize, frozen: bool) {
        self.hosts[number].frozen = frozen;
    }

    /// Suspends a host together with its clock, or resumes it.
    pub fn suspend_with_clock(&mut self, number: usize, suspended: bool) {
        self.freeze(number, suspended);
        let (time, host) = (self.time, &mut self.hosts[number]);
        match host.clock_stopped_at.take() {
            Some(since) if !suspended => host.started += time - since,
            _ => host.clock_stopped_at = suspended.then_some(time),
        }
    }

    /// Members whose lease lets them answer reads now.
    pub fn lease_holders(&self) -> Vec<usize> {
        let holds = |host: &Host| {
            let now = host.now(self.time);
            host.replica.as_ref().is_some_and(|replica| replica.node().lease_valid(now))
        };
        (0..MEMBERS).filter(|number| holds(&self.hosts[*number])).collect()
    }

    pub fn partition(&mut self, number: usize, partitioned: bool) {
        self.hosts[number].partitioned = partitioned;
    }

    /// Drops all messages from `from` to the member, in this direction only.
    pub fn drop_messages_from(&mut self, number: usize, from: Option<usize>) {
        self.hosts[number].drops_from = from;
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.lossy = false;
        for number in 0..MEMBERS {
            if !self.running(number) {
                self.start(number);
            }
            self.freeze(number, false);
            self.partition(number, false);
            self.drop_messages_from(number, None);
        }
    }

    /// Proposes a change at a member if it considers itself leader; `skew` is added to its base version.
    pub fn propose(&mut self, number: usize, name: usize, skew: u64) {
        if !self.responsive(number) {
            return;
        }
        self.next_id += 1;
        let id = format!("c{}", self.next_id);
        let store = self.replica(number).store();
        let stored = store.templates().get(&format!("t{name}"));
        let base = stored.map_or(0, |stored| stored.version) + skew;
        self.send_change(number, change(&id, name, base));
    }

    /// Proposes a committed change again under the same id.
    pub fn resend(&mut self, number: usize) {
        let known: Vec<Change> = self.change_model.changes().cloned().collect();
        if known.is_empty() || !self.responsive(number) {
            return;
        }
        let pick = self.rng.random_range(0..known.len());
        self.send_change(number, known[pick].clone());
    }

    fn send_change(&mut self, number: usize, change: Change) {
        let now = self.hosts[number].now(self.time);
        let command = Command::Change(Box::new(change.clone()));
        if let Ok(at) = self.replica(number).propose(now, command) {
            self.proposals.insert(at, change.clone());
            self.hosts[number].proposed.insert(at, change);
        }
        self.flush(number);
    }

    /// The operator of a data hall sends a member its next order, or the last one again.
    ///
    /// The member reads the hall's last order at the leader and then proposes; if `delayed`, it stops
    /// before the proposal, which [`Group::repeat_call`] may make later.
    pub fn order(&mut self, number: usize, hall: usize, next: bool, delayed: bool) {
        let leader = self.leader().filter(|_| self.responsive(number));
        let Some(leader) = leader else {
            return;
        };
        let after = self.replica(leader).store().evacuations().last_order(&OrderModel::name(hall));
        let call = self.order_model.call(hall, next, after);
        if let Some(call) = call.filter(|_| !delayed) {
            self.send_call(number, leader, call);
        }
    }

    /// A member repeats one of the latest calls by itself, or proposes one that was delayed.
    pub fn repeat_call(&mut self, number: usize, pick: usize) {
        let mut latest = self.order_model.made().iter().rev().take(MAX_REPEATABLE_CALLS).cloned();
        if let Some(call) = latest.nth(pick % MAX_REPEATABLE_CALLS)
            && self.responsive(number)
        {
            let leader = self.leader().unwrap_or(number);
            self.send_call(number, leader, call);
        }
    }

    fn send_call(&mut self, number: usize, leader: usize, call: Call) {
        if !self.responsive(leader) {
            return;
        }
        let now = self.hosts[leader].now(self.time);
        let command = Command::Evacuate(call.order.clone());
        if let Ok(at) = self.replica(leader).propose(now, command) {
            self.calls.insert(at, call.clone());
            // The answer is awaited at the leader; a partitioned member does not get it.
            let answered = if self.hosts[number].partitioned { None } else { Some(call) };
            answered.into_iter().for_each(|call| {
                self.hosts[leader].called.insert(at, call);
            });
        }
        self.flush(leader);
    }

    /// Advances simulated time by `millis`.
    pub fn advance(&mut self, millis: u64) {
        let until = self.time + Duration::from_millis(millis);
        while self.time < until {
            self.time += STEP;
            for number in 0..MEMBERS {
                if self.responsive(number) {
                    let now = self.hosts[number].now(self.time);
                    self.replica(number).tick(now);
                    self.flush(number);
                }
            }
            self.join();
            self.deliver();
            self.check_leases();
        }
    }

    /// Every member that is no voter asks every other to add it.
    fn join(&mut self) {
        for newcomer in 0..MEMBERS {
            let Some(replica) = &self.hosts[newcomer].replica else {
                continue;
            };
            let node = replica.node();
            let (id, addr) = (node.id(), self.hosts[newcomer].addr);
            let is_voter = node.members().voters().any(|voter| voter == id);
            // A member that was removed while partitioned still considers itself a voter but has no
            // leader; it asks too.
            let asks = !is_voter || (self.rules.is_some() && node.leader().is_none());
            if !asks || self.hosts[newcomer].partitioned {
                continue;
            }
            for number in 0..MEMBERS {
                if self.responsive(number) && !self.hosts[number].partitioned {
                    let now = self.hosts[number].now(self.time);
                    match self.rules {
                        None => self.replica(number).admit(now, id, addr),
                        Some(_) => self.replica(number).join(now, id, addr),
                    }
                    self.flush(number);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.network).into_iter().partition(|(at, _)| *at <= self.time);
        self.network = later;
        let due: Vec<(Duration, Envelope)> = due;
        for (_, message) in due {
            let to = self.hosts.iter().position(|host| host.id == message.to);
            let from = self.hosts.iter().position(|host| host.id == message.from);
            let (Some(to), Some(from)) = (to, from) else {
                continue;
            };
            let dropped = self.hosts[to].drops_from == Some(from);
            if dropped
                || self.hosts[to].partitioned
                || self.hosts[from].partitioned
                || !self.running(to)
            {
                continue;
            }
            if self.hosts[to].frozen {
                // The message stays in the socket buffer until the process resumes.
                self.network.push((self.time + STEP, message));
                continue;
            }
            let now = self.hosts[to].now(self.time);
            self.replica(to).receive(now, message);
            self.flush(to);
        }
    }

    fn flush(&mut self, number: usize) {
        let (messages, answers) = self.replica(number).flush().expect("no disk error");
        if self.rng.random_bool(0.2) {
            self.replica(number).persist_commit().expect("no disk error");
        }
        for message in messages {
            let copies = match self.rng.random_range(0..100) {
                _ if !self.lossy => 1,
                0..8 => 0,
                8..14 => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let slow = self.lossy && self.rng.random_bool(0.1);
                let max_delay_ms = if slow { 300 } else { 15 };
                let delay = Duration::from_millis(self.rng.random_range(0..max_delay_ms));
                self.network.push((self.time + delay, message.clone()));
            }
        }
        for answered in answers {
            self.check_committed(number, answered.at, answered.answer);
        }
        self.check_leader(number);
    }

    /// Checks an answer against the models, and passes it on if the caller still waits.
    fn check_committed(&mut self, number: usize, at: Position, answer: Answer) {
        if let Answer::Evacuation(verdict) = answer {
            self.order_model.commit(at.index, &self.calls[&at], verdict);
            if let Some(call) = self.hosts[number].called.remove(&at) {
                self.order_model.answer(&call, verdict);
            }
            return;
        }
        let proposed = &self.proposals;
        self.change_model.commit(number, at.index, || proposed[&at].clone(), &answer);
        if let Some(change) = self.hosts[number].proposed.remove(&at)
            && let Answer::Accepted { revision, .. } = answer
        {
            self.change_model.acknowledge(change.id, revision);
        }
    }

    fn check_leader(&mut self, number: usize) {
        let node = self.hosts[number].replica.as_ref().expect("the member runs").node();
        if node.role() == Role::Leader {
            let (term, id) = (node.hard().term, node.id());
            let leader = *self.leaders.entry(term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {term}");
        }
    }

    /// At most one member holds a lease, and its store has every acknowledged change.
    fn check_leases(&self) {
        if self.hosts.iter().any(|host| host.clock_stopped_at.is_some()) {
            return;
        }
        let holders: Vec<&Host> = self
            .hosts
            .iter()
            .filter(|host| {
                let now = host.now(self.time);
                host.replica.as_ref().is_some_and(|replica| replica.node().lease_valid(now))
            })
            .collect();
        assert!(holders.len() <= 1, "two members hold a lease at {:?}", self.time);
        for host in holders {
            let revision = host.replica.as_ref().expect("a lease holder runs").store().revision();
            let newest = self.change_model.newest();
            assert!(revision >= newest, "a lease holder lacks an acknowledged change");
        }
    }

    /// Ends every fault, waits until all members have the same commit index and a leader holds its lease, and compares every
    /// store with the models.
    pub fn heal_and_check(&mut self) {
        self.heal();
        for _ in 0..60 {
            self.advance(500);
            let leads = |host: &Host| {
                let now = host.now(self.time);
                host.replica.as_ref().is_some_and(|replica| replica.node().lease_valid(now))
            };
            let commits: BTreeSet<u64> = self.stores().map(|(commit, _)| commit).collect();
            if commits.len() == 1 && self.hosts.iter().any(leads) && self.membership_complete() {
                self.check_stores();
                return;
            }
        }
        panic!("the group does not converge within 30 s after all faults ended");
    }

    fn stores(&self) -> impl Iterator<Item = (u64, &Store)> {
        let running = self.hosts.iter().filter_map(|host| host.replica.as_ref());
        running.map(|replica| (replica.node().commit(), replica.store()))
    }

    fn check_stores(&self) {
        self.stores().for_each(|(_, store)| {
            self.change_model.check(store);
            self.order_model.check(store);
        });
    }

    /// Number of evacuation orders whose answer reached their operator.
    pub fn orders_acknowledged(&self) -> usize {
        self.order_model.acknowledged()
    }

    /// Number of changes acknowledged as accepted.
    pub fn acknowledged(&self) -> usize {
        self.change_model.acknowledged()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| {
            let now = host.now(self.time);
            host.replica.as_ref().is_some_and(|replica| replica.node().lease_valid(now))
        };
        self.hosts.iter().position(leads)
    }
}
