//! The owner's side: counts and grants the slots of its targets.

use std::collections::{BTreeMap, BTreeSet};

use super::{Ask, Bounds, Pool, Recent, RouterId, Statement, Ticket, Wish};
use crate::choice::{NameHash, cap};

/// Slots of one router at one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Held {
    /// As the router last reported it, less what it gave back since.
    reported: usize,
    /// Sequence of that report.
    at: u32,
    /// Grants that the report does not cover yet.
    granted: BTreeSet<Ticket>,
}

impl Held {
    fn count(&self) -> usize {
        self.reported + self.granted.len()
    }

    /// Takes a report unless a newer one is known; tells whether it was taken.
    fn take_report(&mut self, at: u32, settled: Ticket, count: usize) -> bool {
        if at < self.at {
            return false;
        }
        self.at = at;
        self.reported = count;
        self.granted.retain(|ticket| *ticket > settled);
        true
    }

    fn give(&mut self, at: u32) {
        if at < self.at {
            return;
        }
        if self.reported > 0 {
            self.reported -= 1;
        } else {
            self.granted.pop_first();
        }
    }
}

/// Slots at one target.
#[derive(Clone, Debug, Default)]
struct Target {
    held: BTreeMap<RouterId, Held>,
    /// Sum of all that is held.
    load: usize,
    /// Routers that have reported since this target is owned here.
    reported: BTreeSet<RouterId>,
    /// Chats that it saw last.
    recent: Recent,
}

impl Target {
    /// Changes what a router holds and keeps the sum right.
    fn change<T>(&mut self, router: RouterId, change: impl FnOnce(&mut Held) -> T) -> T {
        let held = self.held.entry(router).or_default();
        let before = held.count();
        let result = change(held);
        self.load = self.load - before + held.count();
        result
    }

    fn keep_only(&mut self, live: &BTreeSet<RouterId>) {
        self.held.retain(|router, _| live.contains(router));
        self.reported.retain(|router| live.contains(router));
        self.load = self.held.values().map(Held::count).sum();
    }
}

/// The slots of the targets that one router owns.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    live: BTreeSet<RouterId>,
    targets: BTreeMap<NameHash, Target>,
}

impl Owner {
    /// Takes the routers that live now and the targets that this one owns among them.
    ///
    /// The slots of a router that is gone are free; a target that is new here starts unknown.
    pub fn set_view(&mut self, live: BTreeSet<RouterId>, targets: &BTreeSet<NameHash>) {
        self.targets.retain(|target, _| targets.contains(target));
        for target in targets {
            self.targets.entry(*target).or_default().keep_only(&live);
        }
        self.live = live;
    }

    /// Requests in flight at `target`, by all slots held; 0 for a target of another owner.
    pub fn load(&self, target: NameHash) -> usize {
        self.targets.get(&target).map_or(0, |target| target.load)
    }

    /// Whether every live router has said what it holds at `target`.
    pub fn knows(&self, target: NameHash) -> bool {
        let target = self.targets.get(&target);
        target.is_some_and(|target| self.live.is_subset(&target.reported))
    }

    /// Grants or refuses a slot for a chat.
    pub fn ask(&mut self, router: RouterId, ask: &Ask, pool: Pool, bounds: &Bounds) -> bool {
        if !self.knows(ask.target) || !self.live.contains(&router) {
            return false;
        }
        let Some(target) = self.targets.get_mut(&ask.target) else {
            return false;
        };
        let multiple = match ask.wish {
            Wish::FirstTurn => bounds.first_turn,
            Wish::Cached | Wish::Returning => bounds.returning,
        };
        let cached = ask.wish != Wish::Cached || target.recent.contains(ask.chat);
        if !cached || target.load >= cap(pool.load + 1, pool.targets, multiple) {
            return false;
        }
        target.recent.touch(ask.chat, bounds.cached_chats);
        target.change(router, |held| held.granted.insert(ask.ticket));
        true
    }

    /// Takes a router's complete statement: `count` slots held at `target` when every ask up to
    /// the ticket `settled` had been answered or given up.
    pub fn report(
        &mut self,
        router: RouterId,
        at: u32,
        settled: Ticket,
        target: NameHash,
        count: usize,
    ) {
        if !self.live.contains(&router) {
            return;
        }
        let Some(target) = self.targets.get_mut(&target) else {
            return;
        };
        let newest = target.change(router, |held| held.take_report(at, settled, count));
        if newest {
            target.reported.insert(router);
        }
    }

    /// Takes one slot back, unless a later report covers that already.
    pub fn give(&mut self, router: RouterId, at: u32, target: NameHash) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.change(router, |held| held.give(at));
        }
    }

    /// Takes a router's complete statement about every target owned here.
    pub fn take_statement(&mut self, router: RouterId, statement: &Statement) {
        let held: BTreeMap<NameHash, usize> = statement.held.iter().copied().collect();
        let targets: Vec<NameHash> = self.targets.keys().copied().collect();
        for target in targets {
            let count = *held.get(&target).unwrap_or(&0);
            self.report(router, statement.at, statement.settled, target, count);
        }
    }
}
