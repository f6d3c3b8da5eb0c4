//! The owner's side: counts and grants the slots of its targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Ask, Bounds, Peer, Place, Pool, Recent, RouterId, Statement, TeamId, Ticket, Verdict, Wish,
};
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
        self.add_up();
    }

    /// A router's process has ended, and another that holds nothing is in its place.
    fn forget(&mut self, router: RouterId) {
        self.held.retain(|(of, _), _| *of != router);
        self.add_up();
    }

    fn add_up(&mut self) {
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

/// Time after which nothing comes any more of a process that has ended. A process on a host that started anew seems
/// older than its former one, and counts once that was not heard for so long.
const FORMER_LATE: Duration = Duration::from_secs(10);

/// The present process of a router.
#[derive(Clone, Copy, Debug)]
struct Present {
    incarnation: u64,
    heard_at: Duration,
}

/// Which process of a router something comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// One that has ended; its words count no more.
    Former,
    /// The present one.
    Present,
    /// One that was not heard before.
    New,
}

/// The slots of the targets that one router owns.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    live: BTreeSet<RouterId>,
    targets: BTreeMap<NameHash, Target>,
    /// Sequence of each router's newest statement.
    stated: BTreeMap<RouterId, u32>,
    processes: BTreeMap<RouterId, Present>,
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
        self.processes.retain(|router, _| live.contains(router));
        self.live = live;
    }

    /// The present process of a router, as far as was heard of one.
    pub fn present(&self, router: RouterId) -> Option<u64> {
        self.processes.get(&router).map(|present| present.incarnation)
    }

    /// Takes note of a router's process.
    ///
    /// A new process holds nothing: what its former one held is free.
    pub fn meet(&mut self, now: Duration, peer: Peer) -> Met {
        let known = self.processes.contains_key(&peer.router);
        let this = Present { incarnation: peer.incarnation, heard_at: now };
        let present = self.processes.entry(peer.router).or_insert(this);
        let ended = now > present.heard_at + FORMER_LATE;
        if peer.incarnation < present.incarnation && !ended {
            return Met::Former;
        }
        let former = std::mem::replace(present, this);
        if former.incarnation == peer.incarnation {
            return if known { Met::Present } else { Met::New };
        }
        self.stated.remove(&peer.router);
        self.targets.values_mut().for_each(|target| target.forget(peer.router));
        Met::New
    }

    /// Whether a router has said what it holds at every target owned here.
    pub fn heard(&self, router: RouterId) -> bool {
        self.targets.values().all(|target| target.reported.contains(&router))
    }

    /// Whether every live router has said what it holds at every target.
    pub fn knows_all(&self) -> bool {
        self.targets.keys().all(|target| self.knows(*target))
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

    /// The verdict on an ask that was granted before, and is sent again since the answer was lost; or on one of a router
    /// that does not count among the live ones.
    pub fn known(&self, router: RouterId, ask: &Ask) -> Option<Verdict> {
        if !self.live.contains(&router) {
            return Some(Verdict::Undecided);
        }
        let granted = ask.targets.iter().position(|target| {
            let target = self.targets.get(target);
            let held = target.and_then(|target| target.held.get(&(router, ask.team)));
            held.is_some_and(|held| held.granted.contains(&ask.ticket))
        })?;
        Some(Verdict::Granted(granted as u8))
    }

    /// Grants or refuses a slot for a chat.
    pub fn ask(&mut self, router: RouterId, ask: &Ask, pool: Pool, bounds: &Bounds) -> Verdict {
        self.known(router, ask).unwrap_or_else(|| self.decide(router, ask, pool, bounds))
    }

    /// Decides on an ask that is not [`known`](Owner::known).
    pub(super) fn decide(
        &mut self,
        router: RouterId,
        ask: &Ask,
        pool: Pool,
        bounds: &Bounds,
    ) -> Verdict {
        let Some(at) = self.find_room(ask, pool, bounds) else {
            let all_known = ask.targets.iter().all(|target| self.knows(*target));
            return if all_known { Verdict::Full } else { Verdict::Undecided };
        };
        if let Some(target) = self.targets.get_mut(&ask.targets[at]) {
            target.recent.touch(ask.chat, bounds.cached_chats);
            target.change(router, ask.team, |held| {
                held.granted.insert(ask.ticket);
            });
        }
        Verdict::Granted(at as u8)
    }

    /// The first target below its bound: of those that have the chat's prefix, else of all.
    fn find_room(&self, ask: &Ask, pool: Pool, bounds: &Bounds) -> Option<usize> {
        let multiple = match ask.wish {
            Wish::FirstTurn => bounds.first_turn,
            Wish::Returning => bounds.returning,
        };
        let most = cap(pool.load + 1, pool.targets, multiple).min(bounds.engine_slots);
        let has_room = |name: &NameHash| {
            let target = self.targets.get(name).filter(|target| target.load < most);
            target.filter(|_| self.knows(*name))
        };
        let mut homes = ask.targets.iter().take(usize::from(ask.homes));
        let cached = |name: &NameHash| has_room(name).is_some_and(|t| t.recent.contains(ask.chat));
        homes.position(cached).or_else(|| ask.targets.iter().position(|t| has_room(t).is_some()))
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
