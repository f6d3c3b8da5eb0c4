//! One router's part in granting slots: owner of some targets, holder at all others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Ask, Bounds, Holder, Message, Owner, Place, Pool, RouterId, Shares, TeamId, Ticket, owner,
};
use crate::choice::NameHash;

/// What came of asking for a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    /// This router owns the target and has decided.
    Decided(bool),
    /// The owner has to be asked.
    Send {
        /// The owner.
        to: RouterId,
        /// Number of the ask.
        ticket: Ticket,
        /// What to send.
        message: Message,
    },
}

/// Slots granted by and to one router.
#[derive(Clone, Debug)]
pub struct Table {
    me: RouterId,
    routers: Vec<RouterId>,
    /// Pool of each target.
    pools: BTreeMap<NameHash, NameHash>,
    owner: Owner,
    /// What is held at each owner, this router included.
    holders: BTreeMap<RouterId, Holder>,
    /// Which teams lack slots, in each pool owned here.
    shares: BTreeMap<NameHash, Shares>,
}

impl Table {
    /// The table of the router `me`, which knows no others yet.
    pub fn new(me: RouterId) -> Self {
        Table {
            me,
            routers: Vec::new(),
            pools: BTreeMap::new(),
            owner: Owner::default(),
            holders: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Whether the live routers are known.
    pub fn has_view(&self) -> bool {
        !self.routers.is_empty()
    }

    /// Requests in flight at `target` by all slots, if this router owns it.
    pub fn load(&self, target: NameHash) -> usize {
        self.owner.load(target)
    }

    /// Takes the live routers and the pool of each known target; tells whether anything changed,
    /// after which [`statements`](Table::statements) are due at once.
    pub fn set_view(
        &mut self,
        routers: &BTreeSet<RouterId>,
        pools: &BTreeMap<NameHash, NameHash>,
    ) -> bool {
        let mut live = routers.clone();
        live.insert(self.me);
        if live.iter().eq(self.routers.iter()) && *pools == self.pools {
            return false;
        }
        self.routers = live.iter().copied().collect();
        self.pools.clone_from(pools);
        let owned = pools.keys().filter(|target| self.owner_of(**target) == Some(self.me));
        self.owner.set_view(live, &owned.copied().collect());
        self.move_held();
        true
    }

    fn owner_of(&self, target: NameHash) -> Option<RouterId> {
        owner(*self.pools.get(&target)?, &self.routers)
    }

    /// Load of a pool that this router owns, and the part of it that belongs to `team`.
    fn pool(&self, name: NameHash, team: TeamId) -> (Pool, usize) {
        let members = self.pools.iter().filter(|(_, of)| **of == name);
        let (mut pool, mut of_team) = (Pool::default(), 0);
        for (target, _) in members {
            pool.load += self.owner.load(*target);
            pool.targets += 1;
            of_team += self.owner.load_of(*target, team);
        }
        (pool, of_team)
    }

    /// Slots held at a target go on under its present owner; asks under way are given up.
    fn move_held(&mut self) {
        let held: Vec<_> = self.holders.values_mut().flat_map(Holder::take_held).collect();
        for (place, count) in held {
            if let Some(owner) = self.owner_of(place.target) {
                self.holders.entry(owner).or_default().add_held(place, count);
            }
        }
    }

    /// Asks for a slot; `ask` needs no ticket yet.
    pub fn ask(&mut self, now: Duration, mut ask: Ask, bounds: &Bounds) -> Asked {
        let Some(to) = self.owner_of(ask.place.target) else {
            return Asked::Decided(false);
        };
        ask.ticket = self.holders.entry(to).or_default().ask(ask.place);
        if to != self.me {
            return Asked::Send { to, ticket: ask.ticket, message: Message::Ask(ask) };
        }
        let granted = self.decide(now, self.me, &ask, bounds);
        Asked::Decided(self.answered(to, ask.ticket, granted))
    }

    /// Decides on an ask for a target owned here: by the team's share, then by the bound.
    fn decide(&mut self, now: Duration, from: RouterId, ask: &Ask, bounds: &Bounds) -> bool {
        let Some(name) = self.pools.get(&ask.place.target).copied() else {
            return false;
        };
        let (mut pool, used) = self.pool(name, ask.place.team);
        // Targets that take no work carry none either, and would only lower the mean.
        pool.targets = pool.targets.min(usize::from(ask.usable));
        let capacity = pool.targets * bounds.engine_slots;
        let shares = self.shares.entry(name).or_default();
        let admitted = shares.admit(now, ask.place.team, ask.share, used, pool.load, capacity);
        admitted && self.owner.ask(from, ask, pool, bounds)
    }

    /// Takes the answer of an owner; tells whether a slot is held now.
    pub fn answered(&mut self, from: RouterId, ticket: Ticket, granted: bool) -> bool {
        let holder = self.holders.get_mut(&from);
        holder.is_some_and(|holder| holder.answered(ticket, granted))
    }

    /// Gives up an ask whose answer did not come.
    pub fn give_up(&mut self, to: RouterId, ticket: Ticket) {
        if let Some(holder) = self.holders.get_mut(&to) {
            holder.give_up(ticket);
        }
    }

    /// Gives a slot back; returns what to send to its present owner.
    pub fn give(&mut self, place: Place) -> Option<(RouterId, Message)> {
        let to = self.owner_of(place.target)?;
        let at = self.holders.entry(to).or_default().give(place);
        if to == self.me {
            self.owner.give(self.me, at, place);
            return None;
        }
        Some((to, Message::Give { at, place }))
    }

    /// What this router holds, for every other owner; its own part is noted at once.
    pub fn statements(&mut self) -> Vec<(RouterId, Message)> {
        let mut due = Vec::new();
        for to in self.routers.clone() {
            let statement = self.holders.entry(to).or_default().statement();
            if to == self.me {
                self.owner.take_statement(self.me, &statement);
            } else {
                due.push((to, Message::Statement(statement)));
            }
        }
        due
    }

    /// Takes a message that an owner handles; returns the answer to send.
    pub fn receive(
        &mut self,
        now: Duration,
        from: RouterId,
        message: &Message,
        bounds: &Bounds,
    ) -> Option<Message> {
        match message {
            Message::Ask(ask) => {
                let granted = self.decide(now, from, ask, bounds);
                return Some(Message::Answer { ticket: ask.ticket, granted });
            }
            Message::Give { at, place } => self.owner.give(from, *at, *place),
            Message::Statement(statement) => self.owner.take_statement(from, statement),
            Message::Answer { .. } => {}
        }
        None
    }
}
