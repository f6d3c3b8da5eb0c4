//! One router's part in granting slots: owner of some targets, holder at all others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::owner::Met;
use super::{
    Ask, Bounds, Datagram, Decision, Holder, Message, Owner, Peer, Place, Pool, RouterId, Shares,
    Statement, TeamId, Ticket, Verdict, owner,
};
use crate::choice::NameHash;

/// What came of asking for a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    /// This router owns the target and has decided.
    Decided(Decision),
    /// The owner has to be asked.
    Send {
        /// The owner.
        to: RouterId,
        /// What to ask it.
        ask: Ask,
    },
}

/// What is to be done with a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Opened {
    /// Nothing: it comes of a process that has ended.
    Void,
    /// It comes of a router's present process.
    Valid {
        /// Whether nothing was heard of this process before, so that it can't have what was sent to that router.
        new: bool,
        /// What to answer instead of taking its messages, if it is not for this process.
        answer: Option<Message>,
    },
}

/// Slots granted by and to one router.
#[derive(Clone, Debug)]
pub struct Table {
    me: Peer,
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
        live.insert(self.me.router);
        if live.iter().eq(self.routers.iter()) && *pools == self.pools {
            return false;
        }
        self.routers = live.iter().copied().collect();
        self.pools.clone_from(pools);
        let owned = pools.keys().filter(|target| self.owner_of(**target) == Some(self.me.router));
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
        let owner = ask.targets.first().and_then(|target| self.owner_of(*target));
        let Some(to) = owner else {
            return Asked::Decided(Decision::Undecided);
        };
        ask.targets.retain(|target| self.owner_of(*target) == owner);
        self.holders.entry(to).or_default().ask(&mut ask);
        if to != self.me.router {
            return Asked::Send { to, ask };
        }
        let verdict = self.decide(now, self.me.router, &ask, bounds);
        Asked::Decided(self.answered(to, ask.ticket, verdict))
    }

    /// Decides on an ask for a target owned here: by the team's share, then by the bound.
    fn decide(&mut self, now: Duration, from: RouterId, ask: &Ask, bounds: &Bounds) -> Verdict {
        let pool = ask.targets.first().and_then(|target| self.pools.get(target));
        let Some(name) = pool.copied() else {
            return Verdict::Undecided;
        };
        if let Some(known) = self.owner.known(from, ask) {
            return known;
        }
        let (mut pool, used) = self.pool(name, ask.team);
        // Targets that take no work carry none either, and would only lower the mean.
        pool.targets = pool.targets.min(usize::from(ask.usable));
        let capacity = pool.targets * bounds.engine_slots;
        let shares = self.shares.entry(name).or_default();
        let admitted = shares.admit(now, ask.team, ask.share, used, pool.load, capacity);
        if admitted { self.owner.decide(from, ask, pool, bounds) } else { Verdict::Full }
    }

    /// Takes the answer of an owner.
    pub fn answered(&mut self, from: RouterId, ticket: Ticket, verdict: Verdict) -> Decision {
        let holder = self.holders.get_mut(&from);
        holder.map_or(Decision::Undecided, |holder| holder.answered(ticket, verdict))
    }

    /// Gives up an ask whose answer did not come.
    pub fn give_up(&mut self, to: RouterId, ticket: Ticket) {
        if let Some(holder) = self.holders.get_mut(&to) {
            holder.give_up(ticket);
        }
    }

    /// Gives a slot back; returns its present owner, if that is another router, and the sequence to send it.
    pub fn give(&mut self, place: Place) -> Option<(RouterId, u32)> {
        let to = self.owner_of(place.target)?;
        let at = self.holders.entry(to).or_default().give(place);
        if to == self.me.router {
            self.owner.give(self.me.router, at, place);
            return None;
        }
        Some((to, at))
    }

    /// What this router holds, for every other owner; its own part is noted at once.
    pub fn statements(&mut self) -> Vec<(RouterId, Message)> {
        let mut due = Vec::new();
        for to in self.routers.clone() {
            let statement = self.statement(to);
            if to == self.me.router {
                self.owner.take_statement(self.me.router, &statement);
            } else {
                due.push((to, Message::Statement(statement)));
            }
        }
        due
    }

    /// The process of a router that datagrams to it are for.
    pub fn present(&self, router: RouterId) -> Option<u64> {
        self.owner.present(router)
    }

    /// Looks at whom a datagram is from and for. One for a former process of this router proves nothing: what it says
    /// was said before its sender knew that this one has forgotten all.
    pub fn open(&mut self, now: Duration, datagram: &Datagram) -> Opened {
        let met = self.owner.meet(now, datagram.from);
        if met == Met::Former {
            return Opened::Void;
        }
        let answer = datagram.to != Some(self.me.incarnation);
        let answer = answer.then(|| Message::Statement(self.statement(datagram.from.router)));
        Opened::Valid { new: met == Met::New, answer }
    }

    /// What this router holds, for those that have not told it what they hold.
    pub fn statements_to_unheard(&mut self) -> Vec<(RouterId, Message)> {
        let others = self.routers.iter().filter(|router| **router != self.me.router);
        let unheard: Vec<RouterId> =
            others.filter(|router| !self.owner.heard(**router)).copied().collect();
        let statement = |to| (to, Message::Statement(self.statement(to)));
        unheard.into_iter().map(statement).collect()
    }

    fn statement(&mut self, to: RouterId) -> Statement {
        let heard = self.owner.heard(to);
        self.holders.entry(to).or_default().statement(heard)
    }

    /// Whether all that is owned here can be granted.
    pub fn knows_all(&self) -> bool {
        self.owner.knows_all()
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
                let verdict = self.decide(now, from, ask, bounds);
                return Some(Message::Answer { ticket: ask.ticket, verdict });
            }
            Message::Give { at, place } => self.owner.give(from, *at, *place),
            Message::Statement(statement) => {
                self.owner.take_statement(from, statement);
                let lacks = !statement.heard && self.routers.contains(&from);
                return lacks.then(|| Message::Statement(self.statement(from)));
            }
            Message::Answer { .. } => {}
        }
        None
    }
}
