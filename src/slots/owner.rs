//! The owner's side: counts and grants the slots of its targets.

use std::collections::{BTreeMap, BTreeSet};

use super::{Ask, Bounds, Place, Pool, Recent, RouterId, Statement, TeamId, Ticket, Wish};
use crate::choice::{NameHash, cap};

/// Slots of one router and team at one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Held {
    /// As the router last reported it, less what it gave back since.
    reported: usize,
    /// Grants that the report does not cover yet.
    granted: BTreeSet<Ticket>,
}

impl Held {
    fn count(&self) -> usize {
        self.reported + self.granted.len()
    }

    /// Takes the newest statement.
    fn take_report(&mut self, settled: Ticket, count: usize) {
        self.reported = count;
        self.granted.retain(|ticket| *ticket > settled);
    }

    fn give(&mut self) {
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
    held: BTreeMap<(RouterId, TeamId), Held>,
    /// Sum of all that is held, and by team.
    load: usize,
    by_team: BTreeMap<TeamId, usize>,
    /// Routers that have reported since this target is owned here.
    reported: BTreeSet<RouterId>,
    /// Chats that it saw last.
    recent: Recent,
}

impl Target {
    /// Changes what a router holds for a team and keeps the sums right.
    fn change(&mut self, router: RouterId, team: TeamId, change: impl FnOnce(&mut Held)) {
        let held = self.held.entry((router, team)).or_default();
        let before = held.count();
        change(held);
        let after = held.count();
        self.load = self.load - before + after;
        let of_team = self.by_team.entry(team).or_default();
        *of_team = *of_team - before + after;
    }

    fn keep_only(&mut self, live: &BTreeSet<RouterId>) {
        self.held.retain(|(router, _), _| live.contains(router));
        self.reported.retain(|router| live.contains(router));
        self.load = self.held.values().map(Held::count).sum();
        self.by_team.clear();
        for ((_, team), held) in &self.held {
            *self.by_team.entry(*team).or_default() += held.count();
        }
    }

    /// Takes a router's complete statement: its slots here by team.
    fn take_statement(&mut self, router: RouterId, statement: &Statement, by_team: &ByTeam) {
        let known = self.held.range((router, TeamId::MIN)..=(router, TeamId::MAX));
        let mut teams: BTreeSet<TeamId> = known.map(|((_, team), _)| *team).collect();
        teams.extend(by_team.keys());
        for team in teams {
            let count = *by_team.get(&team).unwrap_or(&0);
            self.change(router, team, |held| {
                held.take_report(statement.settled, count);
            });
        }
        self.held.retain(|_, held| held.count() > 0);
        self.reported.insert(router);
    }
}

type ByTeam = BTreeMap<TeamId, usize>;

/// The slots of the targets that one router owns.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    live: BTreeSet<RouterId>,
    targets: BTreeMap<NameHash, Target>,
    /// Sequence of each router's newest statement.
    stated: BTreeMap<RouterId, u32>,
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
        self.stated.retain(|router, _| live.contains(router));
        self.live = live;
    }

    /// Requests in flight at `target`, by all slots held; 0 for a target of another owner.
    pub fn load(&self, target: NameHash) -> usize {
        self.targets.get(&target).map_or(0, |target| target.load)
    }

    /// The part of them that belongs to `team`.
    pub fn load_of(&self, target: NameHash, team: TeamId) -> usize {
        let target = self.targets.get(&target);
        target.and_then(|target| target.by_team.get(&team)).copied().unwrap_or(0)
    }

    /// Whether every live router has said what it holds at `target`.
    pub fn knows(&self, target: NameHash) -> bool {
        let target = self.targets.get(&target);
        target.is_some_and(|target| self.live.is_subset(&target.reported))
    }

    /// Grants or refuses a slot for a chat.
    pub fn ask(&mut self, router: RouterId, ask: &Ask, pool: Pool, bounds: &Bounds) -> bool {
        if !self.knows(ask.place.target) || !self.live.contains(&router) {
            return false;
        }
        let Some(target) = self.targets.get_mut(&ask.place.target) else {
            return false;
        };
        let multiple = match ask.wish {
            Wish::FirstTurn => bounds.first_turn,
            Wish::Cached | Wish::Returning => bounds.returning,
        };
        let cached = ask.wish != Wish::Cached || target.recent.contains(ask.chat);
        let most = cap(pool.load + 1, pool.targets, multiple).min(bounds.engine_slots);
        if !cached || target.load >= most {
            return false;
        }
        target.recent.touch(ask.chat, bounds.cached_chats);
        target.change(router, ask.place.team, |held| {
            held.granted.insert(ask.ticket);
        });
        true
    }

    /// Takes one slot back, unless a later statement covers that already.
    pub fn give(&mut self, router: RouterId, at: u32, place: Place) {
        if self.stated.get(&router).is_some_and(|stated| at < *stated) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&place.target) {
            target.change(router, place.team, Held::give);
        }
    }

    /// Takes a router's complete statement about every target owned here, unless it is an old one.
    pub fn take_statement(&mut self, router: RouterId, statement: &Statement) {
        let newest = self.stated.get(&router).is_none_or(|at| statement.at >= *at);
        if !newest || !self.live.contains(&router) {
            return;
        }
        self.stated.insert(router, statement.at);
        let mut held: BTreeMap<NameHash, ByTeam> = BTreeMap::new();
        for (place, count) in &statement.held {
            held.entry(place.target).or_default().insert(place.team, *count);
        }
        let none = ByTeam::new();
        for (name, target) in &mut self.targets {
            target.take_statement(router, statement, held.get(name).unwrap_or(&none));
        }
    }
}
