//! The granting side: counts and grants the slots of the targets that a router owns.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Ask, Bounds, ChatTurn, Peer, Place, PoolLoad, Recent, RouterId, Statement, TeamId, Ticket,
    Verdict,
};
use crate::choice::{NameHash, cap};

/// Slots that one router holds for one team at one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Held {
    /// Slots in the router's last statement, less those it released since.
    reported: usize,
    /// Grants that the last statement does not include yet.
    granted: BTreeSet<Ticket>,
}

impl Held {
    fn count(&self) -> usize {
        self.reported + self.granted.len()
    }

    /// Applies the router's newest statement, which includes the grants for all asks up to `closed_up_to`.
    fn apply_report(&mut self, closed_up_to: Ticket, count: usize) {
        self.reported = count;
        self.granted.retain(|ticket| *ticket > closed_up_to);
    }

    fn release(&mut self) {
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
    /// Sum of the slots in `held`.
    load: usize,
    /// The same by team.
    by_team: BTreeMap<TeamId, usize>,
    /// Routers that have sent a statement since this router became the target's owner.
    reported: BTreeSet<RouterId>,
    /// Chats that were last granted a slot here.
    recent: Recent,
}

impl Target {
    /// Changes the slots that a router holds for a team, and updates the sums.
    fn change(&mut self, router: RouterId, team: TeamId, change: impl FnOnce(&mut Held)) {
        let held = self.held.entry((router, team)).or_default();
        let before = held.count();
        change(held);
        let after = held.count();
        self.load = self.load - before + after;
        let of_team = self.by_team.entry(team).or_default();
        *of_team = *of_team - before + after;
    }

    fn retain_routers(&mut self, live: &BTreeSet<RouterId>) {
        self.held.retain(|(router, _), _| live.contains(router));
        self.reported.retain(|router| live.contains(router));
        self.recompute_sums();
    }

    /// Frees all slots of a router whose process has been replaced by a new one.
    fn free_slots_of(&mut self, router: RouterId) {
        self.held.retain(|(of, _), _| *of != router);
        self.recompute_sums();
    }

    fn recompute_sums(&mut self) {
        self.load = self.held.values().map(Held::count).sum();
        self.by_team.clear();
        for ((_, team), held) in &self.held {
            *self.by_team.entry(*team).or_default() += held.count();
        }
    }

    /// Applies a router's statement; `by_team` has its slots at this target.
    fn apply_statement(&mut self, router: RouterId, statement: &Statement, by_team: &ByTeam) {
        let known = self.held.range((router, TeamId::MIN)..=(router, TeamId::MAX));
        let mut teams: BTreeSet<TeamId> = known.map(|((_, team), _)| *team).collect();
        teams.extend(by_team.keys());
        for team in teams {
            let count = *by_team.get(&team).unwrap_or(&0);
            self.change(router, team, |held| {
                held.apply_report(statement.closed_up_to, count);
            });
        }
        self.held.retain(|_, held| held.count() > 0);
        self.reported.insert(router);
    }
}

type ByTeam = BTreeMap<TeamId, usize>;

/// Time after which no datagram of an ended process arrives any more. Incarnations count from the boot of the host, so
/// that a process after a reboot may seem older than its predecessor. It is accepted once nothing has arrived from the
/// predecessor for this time.
const MAX_DATAGRAM_DELAY: Duration = Duration::from_secs(10);

/// The current process of a router.
#[derive(Clone, Copy, Debug)]
struct Process {
    incarnation: u64,
    /// When its last datagram arrived.
    received_at: Duration,
}

/// Which process of a router sent a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStatus {
    /// A process that has ended; its datagrams are ignored.
    Former,
    /// The current process.
    Current,
    /// A process from which nothing was received before.
    New,
}

/// The slots of the targets that one router owns.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    live: BTreeSet<RouterId>,
    targets: BTreeMap<NameHash, Target>,
    /// Sequence number of each router's newest statement.
    newest_statements: BTreeMap<RouterId, u32>,
    processes: BTreeMap<RouterId, Process>,
}

impl Owner {
    /// Sets the routers that are live and the targets that this router owns.
    ///
    /// Slots of routers that are no longer live become free. At a target that is new here no slot is granted until
    /// every live router has sent a statement.
    pub fn set_view(&mut self, live: BTreeSet<RouterId>, targets: &BTreeSet<NameHash>) {
        self.targets.retain(|target, _| targets.contains(target));
        for target in targets {
            self.targets.entry(*target).or_default().retain_routers(&live);
        }
        self.newest_statements.retain(|router, _| live.contains(router));
        self.processes.retain(|router, _| live.contains(router));
        self.live = live;
    }

    /// Incarnation of a router's current process; `None` if nothing has been received from it.
    pub fn current_incarnation(&self, router: RouterId) -> Option<u64> {
        self.processes.get(&router).map(|process| process.incarnation)
    }

    /// Records that a datagram of a router's process has arrived.
    ///
    /// A new process holds no slots, so that those of its predecessor become free.
    pub fn observe_process(&mut self, now: Duration, peer: Peer) -> ProcessStatus {
        let known = self.processes.contains_key(&peer.router);
        let this = Process { incarnation: peer.incarnation, received_at: now };
        let current = self.processes.entry(peer.router).or_insert(this);
        let ended = now > current.received_at + MAX_DATAGRAM_DELAY;
        if peer.incarnation < current.incarnation && !ended {
            return ProcessStatus::Former;
        }
        let former = std::mem::replace(current, this);
        if former.incarnation == peer.incarnation {
            return if known { ProcessStatus::Current } else { ProcessStatus::New };
        }
        self.newest_statements.remove(&peer.router);
        self.targets.values_mut().for_each(|target| target.free_slots_of(peer.router));
        ProcessStatus::New
    }

    /// Whether a router has sent a statement that covers every target owned here.
    pub fn has_statement_of(&self, router: RouterId) -> bool {
        self.targets.values().all(|target| target.reported.contains(&router))
    }

    /// Whether every live router has sent a statement that covers every target owned here.
    pub fn has_all_statements(&self) -> bool {
        self.targets.keys().all(|target| self.all_reported(*target))
    }

    /// Requests in flight at `target`, that is slots held there by all routers; 0 for a target of another owner.
    pub fn load(&self, target: NameHash) -> usize {
        self.targets.get(&target).map_or(0, |target| target.load)
    }

    /// Requests of `team` in flight at `target`.
    pub fn load_of(&self, target: NameHash, team: TeamId) -> usize {
        let target = self.targets.get(&target);
        target.and_then(|target| target.by_team.get(&team)).copied().unwrap_or(0)
    }

    /// Whether every live router has sent a statement that covers `target`.
    pub fn all_reported(&self, target: NameHash) -> bool {
        let target = self.targets.get(&target);
        target.is_some_and(|target| self.live.is_subset(&target.reported))
    }

    /// The verdict that needs no new decision: on an ask that has been granted and is resent since the answer was lost,
    /// or on one from a router that is not live.
    pub fn existing_verdict(&self, router: RouterId, ask: &Ask) -> Option<Verdict> {
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

    /// Answers an ask for a slot, without regard to the team's share of the pool.
    pub fn ask(&mut self, router: RouterId, ask: &Ask, pool: PoolLoad, bounds: &Bounds) -> Verdict {
        self.existing_verdict(router, ask).unwrap_or_else(|| self.decide(router, ask, pool, bounds))
    }

    /// Decides on an ask without an [`existing_verdict`](Owner::existing_verdict).
    pub(super) fn decide(
        &mut self,
        router: RouterId,
        ask: &Ask,
        pool: PoolLoad,
        bounds: &Bounds,
    ) -> Verdict {
        let Some(index) = self.find_room(ask, pool, bounds) else {
            let all_known = ask.targets.iter().all(|target| self.all_reported(*target));
            return if all_known { Verdict::Full } else { Verdict::Undecided };
        };
        if let Some(target) = self.targets.get_mut(&ask.targets[index]) {
            target.recent.touch(ask.chat, bounds.cached_chats);
            target.change(router, ask.team, |held| {
                held.granted.insert(ask.ticket);
            });
        }
        Verdict::Granted(index as u8)
    }

    /// Index of the first target below its bound: among those whose cache holds the chat's prefix, else among all.
    fn find_room(&self, ask: &Ask, pool: PoolLoad, bounds: &Bounds) -> Option<usize> {
        let multiple = match ask.turn {
            ChatTurn::FirstTurn => bounds.first_turn,
            ChatTurn::Returning => bounds.returning,
        };
        let max_load = cap(pool.load + 1, pool.targets, multiple).min(bounds.engine_slots);
        let has_room = |name: &NameHash| {
            let target = self.targets.get(name).filter(|target| target.load < max_load);
            target.filter(|_| self.all_reported(*name))
        };
        let mut prefix_candidates = ask.targets.iter().take(usize::from(ask.prefix_candidates));
        let cached = |name: &NameHash| has_room(name).is_some_and(|t| t.recent.contains(ask.chat));
        prefix_candidates
            .position(cached)
            .or_else(|| ask.targets.iter().position(|t| has_room(t).is_some()))
    }

    /// Frees one slot, unless a later statement already includes the release.
    pub fn release(&mut self, router: RouterId, sequence: u32, place: Place) {
        if self.newest_statements.get(&router).is_some_and(|newest| sequence < *newest) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&place.target) {
            target.change(router, place.team, Held::release);
        }
    }

    /// Applies a router's statement to every target owned here, unless a newer one has been applied.
    pub fn apply_statement(&mut self, router: RouterId, statement: &Statement) {
        let newest =
            self.newest_statements.get(&router).is_none_or(|newest| statement.sequence >= *newest);
        if !newest || !self.live.contains(&router) {
            return;
        }
        self.newest_statements.insert(router, statement.sequence);
        let mut held: BTreeMap<NameHash, ByTeam> = BTreeMap::new();
        for (place, count) in &statement.held {
            held.entry(place.target).or_default().insert(place.team, *count);
        }
        let none = ByTeam::new();
        for (name, target) in &mut self.targets {
            target.apply_statement(router, statement, held.get(name).unwrap_or(&none));
        }
    }
}
