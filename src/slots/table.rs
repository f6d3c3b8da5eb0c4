//! Slots as seen by one router: it is the [`Owner`] of some pools, and a [`Holder`] of slots at the targets of every
//! owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::owner::ProcessStatus;
use super::{
    Ask, Bounds, Datagram, Decision, Holder, Message, Owner, Peer, Place, PoolLoad, RouterId,
    Shares, Statement, TeamId, Ticket, Verdict, owner,
};
use crate::choice::NameHash;

/// Result of [`Table::ask`].
#[derive(Clone, Debug, PartialEq)]
pub enum AskOutcome {
    /// The ask is decided: this router owns the targets, or no owner is known.
    Decided(Decision),
    /// The ask has to be sent to the owner.
    Send {
        /// Owner of the targets.
        to: RouterId,
        /// The ask, with its ticket and only the targets of this owner.
        ask: Ask,
    },
}

/// Whether the messages of a datagram may be handled.
#[derive(Clone, Debug, PartialEq)]
pub enum DatagramCheck {
    /// No: the sending process has ended.
    Stale,
    /// The datagram was sent by the current process of a router.
    Current {
        /// Whether nothing was received from this process before. What was sent to that router until now did not reach
        /// it.
        new_process: bool,
        /// Set if the datagram is not addressed to this process: the reply to send instead of handling the messages.
        reply: Option<Message>,
    },
}

/// Slots that one router grants and holds.
#[derive(Clone, Debug)]
pub struct Table {
    me: Peer,
    routers: Vec<RouterId>,
    /// Pool of each known target.
    pools: BTreeMap<NameHash, NameHash>,
    owner: Owner,
    /// Slots that this router holds, by owner (itself included).
    holders: BTreeMap<RouterId, Holder>,
    /// Guaranteed shares, by pool owned here.
    shares: BTreeMap<NameHash, Shares>,
}

impl Table {
    /// Creates the table of a router process that knows no other routers yet.
    pub fn new(me: Peer) -> Self {
        Table {
            me,
            routers: Vec::new(),
            pools: BTreeMap::new(),
            owner: Owner::default(),
            holders: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Whether the set of live routers is known.
    pub fn has_view(&self) -> bool {
        !self.routers.is_empty()
    }

    /// Requests in flight at `target` from all routers; 0 if this router does not own it.
    pub fn load(&self, target: NameHash) -> usize {
        self.owner.load(target)
    }

    /// Sets the live routers and the pool of each known target. Returns whether anything changed; the caller then has
    /// to send [`statements`](Table::statements) at once.
    pub fn set_view(
        &mut self,
        routers: &BTreeSet<RouterId>,
        pools: &BTreeMap<NameHash, NameHash>,
    ) -> bool {
        let mut live = routers.clone();
        live.insert(self.me.router);
        if live.iter().eq(self.routers.iter()) && *pools == self.pools {
            return false;
        }
        self.routers = live.iter().copied().collect();
        self.pools.clone_from(pools);
        let owned = pools.keys().filter(|target| self.owner_of(**target) == Some(self.me.router));
        self.owner.set_view(live, &owned.copied().collect());
        self.reassign_held();
        true
    }

    fn owner_of(&self, target: NameHash) -> Option<RouterId> {
        owner(*self.pools.get(&target)?, &self.routers)
    }

    /// Load of a pool that this router owns, and the number of requests of `team` in it.
    fn pool(&self, name: NameHash, team: TeamId) -> (PoolLoad, usize) {
        let members = self.pools.iter().filter(|(_, of)| **of == name);
        let (mut pool, mut of_team) = (PoolLoad::default(), 0);
        for (target, _) in members {
            pool.load += self.owner.load(*target);
            pool.targets += 1;
            of_team += self.owner.load_of(*target, team);
        }
        (pool, of_team)
    }

    /// Transfers the slots held by this router to the present owners of their targets, and gives up all open asks.
    fn reassign_held(&mut self) {
        let held: Vec<_> = self.holders.values_mut().flat_map(Holder::take_held).collect();
        for (place, count) in held {
            if let Some(owner) = self.owner_of(place.target) {
                self.holders.entry(owner).or_default().add_held(place, count);
            }
        }
    }

    /// Asks the owner of the first target for a slot. The ticket of `ask` is set here.
    pub fn ask(&mut self, now: Duration, mut ask: Ask, bounds: &Bounds) -> AskOutcome {
        let owner = ask.targets.first().and_then(|target| self.owner_of(*target));
        let Some(to) = owner else {
            return AskOutcome::Decided(Decision::Undecided);
        };
        ask.targets.retain(|target| self.owner_of(*target) == owner);
        self.holders.entry(to).or_default().ask(&mut ask);
        if to != self.me.router {
            return AskOutcome::Send { to, ask };
        }
        let verdict = self.decide(now, self.me.router, &ask, bounds);
        AskOutcome::Decided(self.record_answer(to, ask.ticket, verdict))
    }

    /// Decides on an ask for targets owned here: checks the team's share of the pool, then the targets' bounds.
    fn decide(&mut self, now: Duration, from: RouterId, ask: &Ask, bounds: &Bounds) -> Verdict {
        let pool = ask.targets.first().and_then(|target| self.pools.get(target));
        let Some(name) = pool.copied() else {
            return Verdict::Undecided;
        };
        if let Some(verdict) = self.owner.existing_verdict(from, ask) {
            return verdict;
        }
        let (mut pool, used) = self.pool(name, ask.team);
        // Targets that take no requests would only lower the mean load.
        pool.targets = pool.targets.min(usize::from(ask.usable));
        let capacity = pool.targets * bounds.engine_slots;
        let shares = self.shares.entry(name).or_default();
        let admitted = shares.admit(now, ask.team, ask.share, used, pool.load, capacity);
        if admitted { self.owner.decide(from, ask, pool, bounds) } else { Verdict::Full }
    }

    /// Applies an owner's answer to an ask.
    pub fn record_answer(&mut self, from: RouterId, ticket: Ticket, verdict: Verdict) -> Decision {
        let holder = self.holders.get_mut(&from);
        holder.map_or(Decision::Undecided, |holder| holder.record_answer(ticket, verdict))
    }

    /// Gives up an ask that has not been answered.
    pub fn give_up(&mut self, to: RouterId, ticket: Ticket) {
        if let Some(holder) = self.holders.get_mut(&to) {
            holder.give_up(ticket);
        }
    }

    /// Releases a slot. If another router owns the target, returns that owner and the sequence number of the release to
    /// send to it.
    pub fn release(&mut self, place: Place) -> Option<(RouterId, u32)> {
        let to = self.owner_of(place.target)?;
        let sequence = self.holders.entry(to).or_default().release(place);
        if to == self.me.router {
            self.owner.release(self.me.router, sequence, place);
            return None;
        }
        Some((to, sequence))
    }

    /// The statements to all other routers. The statement of this router to itself is applied at once.
    pub fn statements(&mut self) -> Vec<(RouterId, Message)> {
        let mut due = Vec::new();
        for to in self.routers.clone() {
            let statement = self.statement(to);
            if to == self.me.router {
                self.owner.apply_statement(self.me.router, &statement);
            } else {
                due.push((to, Message::Statement(statement)));
            }
        }
        due
    }

    /// Incarnation of a router's current process, to which datagrams are addressed; `None` if nothing has been received
    /// from it.
    pub fn current_incarnation(&self, router: RouterId) -> Option<u64> {
        self.owner.current_incarnation(router)
    }

    /// Checks by which process a datagram was sent, and for which.
    ///
    /// The messages of a datagram that is not addressed to this process must not be handled: the sender did not know
    /// yet that this router has lost the state of its former process.
    pub fn check_datagram(&mut self, now: Duration, datagram: &Datagram) -> DatagramCheck {
        let sender = self.owner.observe_process(now, datagram.from);
        if sender == ProcessStatus::Former {
            return DatagramCheck::Stale;
        }
        let misaddressed = datagram.to != Some(self.me.incarnation);
        let reply = misaddressed.then(|| Message::Statement(self.statement(datagram.from.router)));
        DatagramCheck::Current { new_process: sender == ProcessStatus::New, reply }
    }

    /// The statements to the routers from which this one lacks a statement.
    pub fn statements_to_unreported(&mut self) -> Vec<(RouterId, Message)> {
        let others = self.routers.iter().filter(|router| **router != self.me.router);
        let unreported: Vec<RouterId> =
            others.filter(|router| !self.owner.has_statement_of(**router)).copied().collect();
        let statement = |to| (to, Message::Statement(self.statement(to)));
        unreported.into_iter().map(statement).collect()
    }

    fn statement(&mut self, to: RouterId) -> Statement {
        let receiver_reported = self.owner.has_statement_of(to);
        self.holders.entry(to).or_default().statement(receiver_reported)
    }

    /// Whether every live router has sent a statement that covers all targets owned here, so that slots can be granted
    /// at each of them.
    pub fn has_all_statements(&self) -> bool {
        self.owner.has_all_statements()
    }

    /// Handles a message to this router as an owner, and returns the reply to send.
    pub fn receive(
        &mut self,
        now: Duration,
        from: RouterId,
        message: &Message,
        bounds: &Bounds,
    ) -> Option<Message> {
        match message {
            Message::Ask(ask) => {
                let verdict = self.decide(now, from, ask, bounds);
                return Some(Message::Answer { ticket: ask.ticket, verdict });
            }
            Message::Release { sequence, place } => self.owner.release(from, *sequence, *place),
            Message::Statement(statement) => {
                self.owner.apply_statement(from, statement);
                let wants_statement = !statement.receiver_reported && self.routers.contains(&from);
                return wants_statement.then(|| Message::Statement(self.statement(from)));
            }
            Message::Answer { .. } => {}
        }
        None
    }
}
