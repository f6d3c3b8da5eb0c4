//! A group in memory: replicas, their disks, and a network that loses, doubles and reorders.

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

use crate::disk::FakeDisk;
use crate::orders::{Call, Orders};
use crate::promises::Promises;

pub const MEMBERS: usize = 5;
pub const TEMPLATES: usize = 3;
const COMPACT_AFTER: usize = 8;
/// Calls that members may still repeat.
const LATEST_CALLS: usize = 6;
const STEP: Duration = Duration::from_millis(10);
/// Clocks run at 95 to 105 % of true time.
const MAX_DRIFT: f64 = 0.05;

/// Voters of a group that keeps their number up by itself; the other members stand by.
const UPKEEP_VOTERS: usize = 3;

/// Rules of a group that keeps its number of voters up by itself.
fn upkeep() -> MembershipRules {
    MembershipRules {
        voters: UPKEEP_VOTERS,
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

/// A change of template number `name`, based on version `base`.
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
    /// Starting time of the process, and the rate of its clock.
    started: Duration,
    rate: f64,
    frozen: bool,
    /// Since when it is frozen, where its clock stands still meanwhile.
    stands_since: Option<Duration>,
    cut: bool,
    /// Member whose messages do not reach this one.
    deaf_to: Option<usize>,
    /// Proposals made here whose answer is awaited.
    proposed: BTreeMap<Position, Change>,
    /// The same for calls about data halls.
    called: BTreeMap<Position, Call>,
}

impl Host {
    fn now(&self, time: Duration) -> Duration {
        let time = self.stands_since.unwrap_or(time);
        (time - self.started).mul_f64(self.rate)
    }
}

/// The whole group and what it has promised so far.
pub struct Group {
    hosts: Vec<Host>,
    network: Vec<(Duration, Envelope)>,
    time: Duration,
    rng: StdRng,
    next_id: u64,
    lossy: bool,
    /// Everything ever proposed, by its place in a leader's log.
    proposals: BTreeMap<Position, Change>,
    promises: Promises,
    /// Calls about data halls ever proposed, by their place in a leader's log.
    calls: BTreeMap<Position, Call>,
    orders: Orders,
    leaders: BTreeMap<Term, StoreId>,
    /// Rules by which the group keeps its number of voters up by itself, if it does.
    rules: Option<MembershipRules>,
}

impl Group {
    pub fn new(seed: u64) -> Self {
        Self::with(seed, None)
    }

    /// A group of which three members found it, and which keeps three voters by itself.
    pub fn with_upkeep(seed: u64) -> Self {
        Self::with(seed, Some(upkeep()))
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
            promises: Promises::default(),
            calls: BTreeMap::new(),
            orders: Orders::default(),
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
                stands_since: None,
                cut: false,
                deaf_to: None,
                proposed: BTreeMap::new(),
                called: BTreeMap::new(),
            });
            group.start(number);
        }
        let member = |host: &Host| Member { id: host.id, addr: host.addr, kind: Standing::Voter };
        let founders = if rules.is_some() { UPKEEP_VOTERS } else { MEMBERS };
        let members = Members(group.hosts.iter().take(founders).map(member).collect());
        // Members that found by themselves all found the same group.
        let forming = if rules.is_some() { founders } else { 1 };
        for number in 0..forming {
            group.replica(number).form(GroupId(1), members.clone());
            group.flush(number);
        }
        group
    }

    fn replica(&mut self, number: usize) -> &mut Replica<FakeDisk> {
        self.hosts[number].replica.as_mut().expect("a running member")
    }

    fn runs(&self, number: usize) -> bool {
        let host = &self.hosts[number];
        host.replica.is_some() && !host.frozen
    }

    /// Starts the member; on an empty disk it gets a new identity.
    pub fn start(&mut self, number: usize) {
        let fresh = StoreId(self.next_id);
        self.next_id += 1;
        let seed = self.rng.random();
        let drift = self.rng.random_range(-MAX_DRIFT..MAX_DRIFT);
        let host = &mut self.hosts[number];
        host.started = self.time;
        host.rate = 1.0 + drift;
        host.frozen = false;
        host.stands_since = None;
        let disk = host.disk.clone();
        let opened = Replica::open(disk, fresh, timing(), COMPACT_AFTER, Duration::ZERO, seed);
        let mut replica = opened.unwrap_or_else(|error| panic!("member {number}: {error}"));
        if let Some(rules) = self.rules {
            replica.set_membership_rules(rules);
        }
        host.id = replica.node().id();
        host.replica = Some(replica);
    }

    /// Ends the member; of what was not synced at most `torn` bytes stay.
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

    /// Empties the disk of a member and starts it; only while all others are voters in good
    /// standing, for no protocol survives the loss of a quorum of disks.
    pub fn lose_disk(&mut self, number: usize) {
        if !self.whole() || !self.may_lose_one() {
            return;
        }
        self.crash(number, 0);
        self.hosts[number].disk = FakeDisk::default();
        self.start(number);
    }

    /// Whether the newest members are just the present stores, all of them voters that count
    /// from a log on their own disk.
    fn whole(&self) -> bool {
        let newest = self.hosts.iter().filter_map(|host| host.replica.as_ref());
        let newest = newest.max_by_key(|replica| replica.node().commit());
        let Some(node) = newest.map(Replica::node) else {
            return false;
        };
        let settled = node.log().members().1 <= node.commit();
        let ids: BTreeSet<StoreId> = self.hosts.iter().map(|host| host.id).collect();
        let voters: BTreeSet<StoreId> = node.members().voters().collect();
        match self.rules {
            None => settled && voters == ids,
            Some(rules) => settled && voters.len() == rules.voters && voters.is_subset(&ids),
        }
    }

    /// Whether a disk may go: five voters bear two losses, but three bear only one, so that there no
    /// other member may be out of reach.
    fn may_lose_one(&self) -> bool {
        let in_reach = |host: &Host| {
            host.replica.is_some() && !host.frozen && !host.cut && host.deaf_to.is_none()
        };
        self.rules.is_none() || self.hosts.iter().all(in_reach)
    }

    pub fn freeze(&mut self, number: usize, frozen: bool) {
        self.hosts[number].frozen = frozen;
    }

    /// Suspends a host whose clock stands still meanwhile, or wakes it.
    pub fn suspend_with_clock(&mut self, number: usize, suspended: bool) {
        self.freeze(number, suspended);
        let (time, host) = (self.time, &mut self.hosts[number]);
        match host.stands_since.take() {
            Some(since) if !suspended => host.started += time - since,
            _ => host.stands_since = suspended.then_some(time),
        }
    }

    /// Members that could answer reads by their lease now.
    pub fn lease_holders(&self) -> Vec<usize> {
        let holds = |host: &Host| {
            let now = host.now(self.time);
            host.replica.as_ref().is_some_and(|replica| replica.node().lease_valid(now))
        };
        (0..MEMBERS).filter(|number| holds(&self.hosts[*number])).collect()
    }

    pub fn cut(&mut self, number: usize, cut: bool) {
        self.hosts[number].cut = cut;
    }

    /// Lets nothing of `from` reach the member, one way only.
    pub fn deafen(&mut self, number: usize, from: Option<usize>) {
        self.hosts[number].deaf_to = from;
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.lossy = false;
        for number in 0..MEMBERS {
            if !self.running(number) {
                self.start(number);
            }
            self.freeze(number, false);
            self.cut(number, false);
            self.deafen(number, None);
        }
    }

    /// Proposes a change at a member, if it thinks that it leads; with `base` off by `skew`.
    pub fn propose(&mut self, number: usize, name: usize, skew: u64) {
        if !self.runs(number) {
            return;
        }
        self.next_id += 1;
        let id = format!("c{}", self.next_id);
        let store = self.replica(number).store();
        let stored = store.templates().get(&format!("t{name}"));
        let base = stored.map_or(0, |stored| stored.version) + skew;
        self.send_change(number, change(&id, name, base));
    }

    /// Resends a change whose answer was acknowledged before.
    pub fn resend(&mut self, number: usize) {
        let known: Vec<Change> = self.promises.changes().cloned().collect();
        if known.is_empty() || !self.runs(number) {
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

    /// The operator of a data hall calls a member: with its next order, or with the last one again.
    ///
    /// The member reads at the leader which order was the hall's last, and proposes, unless it is held
    /// up before.
    pub fn order(&mut self, number: usize, hall: usize, next: bool, held_up: bool) {
        let leader = self.leader().filter(|_| self.runs(number));
        let Some(leader) = leader else {
            return;
        };
        let after = self.replica(leader).store().evacuations().last_order(&Orders::name(hall));
        let call = self.orders.call(hall, next, after);
        if let Some(call) = call.filter(|_| !held_up) {
            self.send_call(number, leader, call);
        }
    }

    /// A member repeats one of the latest calls by itself, or goes on with one that was held up.
    pub fn repeat_call(&mut self, number: usize, pick: usize) {
        let mut latest = self.orders.made().iter().rev().take(LATEST_CALLS).cloned();
        if let Some(call) = latest.nth(pick % LATEST_CALLS)
            && self.runs(number)
        {
            let leader = self.leader().unwrap_or(number);
            self.send_call(number, leader, call);
        }
    }

    fn send_call(&mut self, number: usize, leader: usize, call: Call) {
        if !self.runs(leader) {
            return;
        }
        let now = self.hosts[leader].now(self.time);
        let command = Command::Evacuate(call.order.clone());
        if let Ok(at) = self.replica(leader).propose(now, command) {
            self.calls.insert(at, call.clone());
            // Whoever waits for the answer waits at the leader.
            let heard = if self.hosts[number].cut { None } else { Some(call) };
            heard.into_iter().for_each(|call| {
                self.hosts[leader].called.insert(at, call);
            });
        }
        self.flush(leader);
    }

    /// Lets `millis` pass.
    pub fn pass(&mut self, millis: u64) {
        let until = self.time + Duration::from_millis(millis);
        while self.time < until {
            self.time += STEP;
            for number in 0..MEMBERS {
                if self.runs(number) {
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

    /// Every member that does not count asks every other to bring it in.
    fn join(&mut self) {
        for newcomer in 0..MEMBERS {
            let Some(replica) = &self.hosts[newcomer].replica else {
                continue;
            };
            let node = replica.node();
            let (id, addr) = (node.id(), self.hosts[newcomer].addr);
            let counts = node.members().voters().any(|voter| voter == id);
            // A member that was forgotten while it was cut off still takes itself for a voter, but
            // hears no leader; it asks too.
            let asks = !counts || (self.rules.is_some() && node.leader().is_none());
            if !asks || self.hosts[newcomer].cut {
                continue;
            }
            for number in 0..MEMBERS {
                if self.runs(number) && !self.hosts[number].cut {
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
            let deaf = self.hosts[to].deaf_to == Some(from);
            if deaf || self.hosts[to].cut || self.hosts[from].cut || !self.running(to) {
                continue;
            }
            if self.hosts[to].frozen {
                // Waits in the socket until the process goes on.
                self.network.push((self.time + STEP, message));
                continue;
            }
            let now = self.hosts[to].now(self.time);
            self.replica(to).receive(now, message);
            self.flush(to);
        }
    }

    fn flush(&mut self, number: usize) {
        let (messages, answers) = self.replica(number).flush().expect("a sound disk");
        if self.rng.random_bool(0.2) {
            self.replica(number).persist_commit().expect("a sound disk");
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
                let longest = if slow { 300 } else { 15 };
                let delay = Duration::from_millis(self.rng.random_range(0..longest));
                self.network.push((self.time + delay, message.clone()));
            }
        }
        for answered in answers {
            self.check_committed(number, answered.at, answered.answer);
        }
        self.check_leader(number);
    }

    /// Holds an answer against the naive model.
    fn check_committed(&mut self, number: usize, at: Position, answer: Answer) {
        if let Answer::Evacuation(verdict) = answer {
            self.orders.commit(at.index, &self.calls[&at], verdict);
            if let Some(call) = self.hosts[number].called.remove(&at) {
                self.orders.answer(&call, verdict);
            }
            return;
        }
        let proposed = &self.proposals;
        self.promises.commit(number, at.index, || proposed[&at].clone(), &answer);
        if let Some(change) = self.hosts[number].proposed.remove(&at)
            && let Answer::Accepted { revision, .. } = answer
        {
            self.promises.acknowledge(change.id, revision);
        }
    }

    fn check_leader(&mut self, number: usize) {
        let node = self.hosts[number].replica.as_ref().expect("a running member").node();
        if node.role() == Role::Leader {
            let (term, id) = (node.hard().term, node.id());
            let leader = *self.leaders.entry(term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {term}");
        }
    }

    /// Whoever holds a lease holds it alone and has all that was acknowledged.
    fn check_leases(&self) {
        if self.hosts.iter().any(|host| host.stands_since.is_some()) {
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
        assert!(holders.len() <= 1, "two leases hold at {:?}", self.time);
        for host in holders {
            let revision = host.replica.as_ref().expect("a holder").store().revision();
            let newest = self.promises.newest();
            assert!(revision >= newest, "a lease holder lacks an acknowledged change");
        }
    }

    /// Heals, waits for a leader that has all, and compares every store with the naive model.
    pub fn settle(&mut self) {
        self.heal();
        for _ in 0..60 {
            self.pass(500);
            let leads = |host: &Host| {
                let now = host.now(self.time);
                host.replica.as_ref().is_some_and(|replica| replica.node().lease_valid(now))
            };
            let commits: BTreeSet<u64> = self.stores().map(|(commit, _)| commit).collect();
            if commits.len() == 1 && self.hosts.iter().any(leads) && self.whole() {
                self.check_stores();
                return;
            }
        }
        panic!("the group does not settle after every fault has ended");
    }

    fn stores(&self) -> impl Iterator<Item = (u64, &Store)> {
        let running = self.hosts.iter().filter_map(|host| host.replica.as_ref());
        running.map(|replica| (replica.node().commit(), replica.store()))
    }

    fn check_stores(&self) {
        self.stores().for_each(|(_, store)| {
            self.promises.check(store);
            self.orders.check(store);
        });
    }

    /// Orders about data halls whose answer reached their operator.
    pub fn orders_acknowledged(&self) -> usize {
        self.orders.acknowledged()
    }

    /// Changes acknowledged as accepted.
    pub fn acknowledged(&self) -> usize {
        self.promises.acknowledged()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| {
            let now = host.now(self.time);
            host.replica.as_ref().is_some_and(|replica| replica.node().lease_valid(now))
        };
        self.hosts.iter().position(leads)
    }
}
