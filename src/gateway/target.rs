//! The targets that a gateway knows, with what it has itself seen of each.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::cold::Warmth;
use super::connection::Idle;
use super::health::Health;
use crate::dialect::TargetLoad;
use crate::directory::{Announcement, DirectoryDelta, Listed, Moved, TargetState, key};
use crate::group::evidence::Outcomes;
use crate::group::loads::LoadKey;
use crate::group::message::{Evacuation, HallNews};
use crate::store::Revision;
use crate::sync::lock;

/// Age from which a target's own word about its load is not used any more.
const LOAD_HOLDS_FOR: Duration = Duration::from_secs(3);
/// How long after it got a home a target is thought to lack what its predecessor kept.
const MOVED_IN_FOR: Duration = Duration::from_secs(20);
/// Stands for no home.
const NO_HOME: u32 = u32::MAX;
/// How long the members' word goes before the target's own, which is about one moment only.
const MEMBERS_FIRST_FOR: Duration = Duration::from_secs(1);
/// Weight of the newest word about the load.
const NEWEST: f64 = 0.5;

/// Load that other gateways bring to a target.
#[derive(Clone, Copy, Debug)]
struct OthersLoad {
    /// When it was told.
    at: Duration,
    /// Until when this counts.
    until: Duration,
    requests: f64,
}

/// One target.
pub(super) struct Target {
    /// What it announced.
    pub(super) announcement: Announcement,
    /// Hash of its identity.
    pub(super) key: u64,
    draining: AtomicBool,
    /// Whether its data hall is evacuated.
    evacuated: AtomicBool,
    /// Its home, or [`NO_HOME`].
    home: AtomicU32,
    silent: AtomicBool,
    in_flight: AtomicU32,
    /// Connections open or being made.
    pub(super) connections: AtomicU32,
    pub(super) idle: Mutex<Vec<Idle>>,
    health: Mutex<Health>,
    warmth: Mutex<Warmth>,
    /// Attempts of this gateway that failed and that were answered, not told to a member yet.
    untold: Mutex<(u32, u32)>,
    /// Requests in flight from this gateway as last told to a member.
    told: AtomicU32,
    /// What others have in flight, from the members.
    others_by_members: Mutex<Option<OthersLoad>>,
    /// What others have in flight, from the target.
    others_by_target: Mutex<Option<OthersLoad>>,
}

impl Target {
    fn new(announcement: Announcement) -> Self {
        let target = Target {
            key: key(&announcement.id),
            draining: AtomicBool::new(false),
            evacuated: AtomicBool::new(false),
            home: AtomicU32::new(NO_HOME),
            silent: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            idle: Mutex::default(),
            health: Mutex::default(),
            warmth: Mutex::default(),
            untold: Mutex::default(),
            told: AtomicU32::new(0),
            others_by_members: Mutex::default(),
            others_by_target: Mutex::default(),
            announcement,
        };
        target.set_state(target.announcement.state);
        target
    }

    /// Closes idle connections; each of them holds on to its target.
    fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    fn set_state(&self, state: TargetState) {
        self.draining.store(state == TargetState::Draining, Ordering::Relaxed);
        self.silent.store(state == TargetState::Silent, Ordering::Relaxed);
        if state != TargetState::Ready {
            self.close_idle();
        }
    }

    /// Number that affinities are hashed to, if it has one.
    pub(super) fn home(&self) -> Option<u32> {
        let home = self.home.load(Ordering::Relaxed);
        (home != NO_HOME).then_some(home)
    }

    fn set_home(&self, home: Option<u32>) {
        self.home.store(home.unwrap_or(NO_HOME), Ordering::Relaxed);
    }

    /// Whether it is to be sent nothing more, because its data hall is evacuated.
    pub(super) fn evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Relaxed)
    }

    fn set_evacuated(&self, evacuated: bool) {
        self.evacuated.store(evacuated, Ordering::Relaxed);
        if evacuated {
            self.close_idle();
        }
    }

    /// Whether it is to be sent new work.
    pub(super) fn open_to_work(&self) -> bool {
        !self.draining() && !self.evacuated()
    }

    /// Whether it takes no new work.
    pub(super) fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether it has not been heard for long by the members.
    pub(super) fn silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Requests in flight from this gateway.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Health as this gateway has seen it.
    pub(super) fn health(&self) -> MutexGuard<'_, Health> {
        lock(&self.health)
    }

    /// What is known of its start.
    pub(super) fn warmth(&self) -> MutexGuard<'_, Warmth> {
        lock(&self.warmth)
    }

    /// Counts an outcome for the next word to a member.
    pub(super) fn count_outcome(&self, failed: bool) {
        let mut untold = lock(&self.untold);
        let count = if failed { &mut untold.0 } else { &mut untold.1 };
        *count = count.saturating_add(1);
    }

    /// Outcomes since the last word, if there were any; told from now on.
    pub(super) fn tell_outcomes(&self) -> Option<Outcomes> {
        let (failed, answered) = std::mem::take(&mut *lock(&self.untold));
        let target = LoadKey::of(self.key);
        (failed + answered > 0).then_some(Outcomes { target, failed, answered })
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Notes the load that the target told of itself.
    pub(super) fn note_load(&self, now: Duration, load: TargetLoad) {
        let told = f64::from(load.running + load.waiting);
        let newest = (told - f64::from(self.in_flight())).max(0.0);
        let mut others = lock(&self.others_by_target);
        let requests = match *others {
            Some(known) if now < known.until => known.requests + NEWEST * (newest - known.requests),
            _ => newest,
        };
        *others = Some(OthersLoad { at: now, until: now + LOAD_HOLDS_FOR, requests });
    }

    /// Requests that the target is thought to have. Where it has not told lately, the other gateways
    /// are taken to have as many as usual there, or as many as this one each; a target without a home
    /// gets little work from anybody.
    pub(super) fn load(&self, now: Duration, usual_others: f64, gateways: u32) -> f64 {
        let own = f64::from(self.in_flight());
        let as_this_one = own * f64::from(gateways.saturating_sub(1));
        let usual = if self.home().is_some() { usual_others } else { 0.0 };
        own + self.others(now).unwrap_or(usual.max(as_this_one))
    }

    /// Requests in flight from this gateway, noted as told to a member.
    pub(super) fn tell_in_flight(&self) -> u32 {
        let in_flight = self.in_flight();
        self.told.store(in_flight, Ordering::Relaxed);
        in_flight
    }

    /// Notes what all gateways have in flight, as the members tell.
    pub(super) fn note_total(&self, now: Duration, total: u32, counts_for: Duration) {
        let others = total.saturating_sub(self.told.load(Ordering::Relaxed));
        *lock(&self.others_by_members) =
            Some(OthersLoad { at: now, until: now + counts_for, requests: f64::from(others) });
    }

    /// Requests that other gateways are thought to have at the target: by the members if they told
    /// just now, else by whoever told last; `None` when neither did lately.
    pub(super) fn others(&self, now: Duration) -> Option<f64> {
        let counts = |told: &OthersLoad| now < told.until;
        let by_members = lock(&self.others_by_members).filter(counts);
        let by_target = lock(&self.others_by_target).filter(counts);
        let newest = match (by_members, by_target) {
            (Some(members), Some(target)) if now >= members.at + MEMBERS_FIRST_FOR => {
                if target.at > members.at { Some(target) } else { Some(members) }
            }
            (members, target) => members.or(target),
        };
        newest.map(|told| told.requests)
    }
}

/// A request in flight at a target.
pub(super) struct InFlight(Arc<Target>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A home that changed hands.
struct Former {
    /// Who had it before; nobody if it is a new one.
    target: Option<Arc<Target>>,
    since: Instant,
}

/// All targets that a gateway knows.
#[derive(Default)]
pub(super) struct Targets {
    revision: Revision,
    /// Orders about data halls; `None` before any word of them.
    halls: Option<HallNews>,
    /// When data halls were taken back into use, by the revision that did so and the time since the start
    /// of the gateway.
    returned: HashMap<String, (Revision, Duration)>,
    /// Who has each home of each service, and who had it before.
    homes: HashMap<(String, u32), Arc<Target>>,
    former: HashMap<(String, u32), Former>,
    by_id: HashMap<String, Arc<Target>>,
    by_key: HashMap<u64, Arc<Target>>,
    by_service: HashMap<String, Vec<Arc<Target>>>,
}

impl Targets {
    /// Revision of the directory that these are from.
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    /// Every target.
    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.by_id.values()
    }

    /// Revision of the orders about data halls that are obeyed; `None` before any word of them.
    pub(super) fn halls_revision(&self) -> Option<Revision> {
        self.halls.as_ref().map(|halls| halls.revision)
    }

    /// Takes orders about data halls, unless they are older than those that are obeyed; tells whether they
    /// were taken.
    pub(super) fn obey(&mut self, now: Duration, news: HallNews) -> bool {
        if self.halls_revision().is_some_and(|known| news.revision < known) {
            return false;
        }
        for hall in &news.halls {
            let known = self.returned.get(&hall.data_hall);
            let known = known.is_some_and(|(since, _)| *since == hall.since);
            if let Evacuation::Withdrawn { for_ms } = hall.state
                && !known
            {
                let at = now.saturating_sub(Duration::from_millis(for_ms));
                self.returned.insert(hall.data_hall.clone(), (hall.since, at));
            }
        }
        self.halls = Some(news);
        self.by_id.values().for_each(|target| self.tell_of_hall(target));
        true
    }

    /// Has a target follow the orders about its data hall.
    fn tell_of_hall(&self, target: &Target) {
        let data_hall = &target.announcement.data_hall;
        target.set_evacuated(self.hall_evacuated(data_hall));
        if let Some((_, at)) = self.returned.get(data_hall) {
            target.warmth().returned(*at);
        }
    }

    fn hall_evacuated(&self, data_hall: &str) -> bool {
        let mut halls = self.halls.iter().flat_map(|news| &news.halls);
        let hall = halls.find(|hall| hall.data_hall == data_hall);
        hall.is_some_and(|hall| hall.state == Evacuation::InForce)
    }

    /// Number of targets.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Targets of a service.
    pub(super) fn of(&self, service: &str) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a target has had its home for a short time only, and who had it before if that one
    /// is still there.
    pub(super) fn moved_in_lately(&self, target: &Target) -> Option<Option<&Arc<Target>>> {
        let former = self.former.get(&(target.announcement.service.clone(), target.home()?))?;
        let lately = former.since.elapsed() < MOVED_IN_FOR;
        let there = |target: &&Arc<Target>| self.by_id.contains_key(&target.announcement.id);
        lately.then(|| former.target.as_ref().filter(there))
    }

    /// Takes news, unless they are older than what is known; tells whether they were taken.
    pub(super) fn apply(&mut self, now: Duration, delta: DirectoryDelta) -> bool {
        if delta.revision <= self.revision {
            return false;
        }
        self.revision = delta.revision;
        // What was there when the gateway started has not just come.
        let first = self.homes.is_empty();
        if delta.whole {
            let kept: HashSet<&str> =
                delta.changed.iter().map(|changed| changed.announcement.id.as_str()).collect();
            let known = self.by_id.keys();
            let gone: Vec<String> =
                known.filter(|id| !kept.contains(id.as_str())).cloned().collect();
            gone.iter().for_each(|id| self.remove(id));
        }
        delta.removed.iter().for_each(|id| self.remove(id));
        for listed in delta.changed {
            let cold_left = listed.announcement.cold_left;
            let target = self.change(listed);
            target.warmth().told(now, cold_left);
            self.note_home(&target, first);
        }
        for Moved { target, state, cold_left, home } in delta.moved {
            if let Some(target) = self.by_key.get(&target).cloned() {
                target.warmth().told(now, cold_left);
                if target.silent() && state == TargetState::Ready {
                    // It may have turned cold unheard, and the word that ends its silence may be an old one.
                    target.warmth().returned(now);
                }
                target.set_state(state);
                target.set_home(home);
                self.note_home(&target, first);
            }
        }
        self.former.retain(|_, former| former.since.elapsed() < MOVED_IN_FOR);
        true
    }

    /// Notes who has a home now, and who had it before.
    fn note_home(&mut self, target: &Arc<Target>, first: bool) {
        let Some(home) = target.home() else {
            return;
        };
        let place = (target.announcement.service.clone(), home);
        let before = self.homes.insert(place.clone(), target.clone());
        let same = before.as_ref().is_some_and(|before| before.key == target.key);
        if !same && !first {
            self.former.insert(place, Former { target: before, since: Instant::now() });
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(target) = self.by_id.remove(id) else {
            return;
        };
        self.by_key.remove(&target.key);
        // Requests that hold the target must not keep its connections.
        target.set_state(TargetState::Draining);
        if let Some(of_service) = self.by_service.get_mut(&target.announcement.service)
            && let Ok(at) = position(of_service, id)
        {
            of_service.remove(at);
        }
    }

    fn insert(&mut self, target: Arc<Target>) {
        let announcement = &target.announcement;
        self.tell_of_hall(&target);
        if !self.by_service.contains_key(&announcement.service) {
            self.by_service.insert(announcement.service.clone(), Vec::new());
        }
        if let Some(of_service) = self.by_service.get_mut(&announcement.service)
            && let Err(at) = position(of_service, &announcement.id)
        {
            of_service.insert(at, target.clone());
        }
        self.by_key.insert(target.key, target.clone());
        self.by_id.insert(announcement.id.clone(), target);
    }

    /// Takes what is now known of a target, and returns the target.
    fn change(&mut self, listed: Listed) -> Arc<Target> {
        let Listed { announcement, home } = listed;
        if let Some(known) = self.by_id.get(&announcement.id)
            && known.announcement.addr == announcement.addr
            && known.announcement.service == announcement.service
        {
            known.set_state(announcement.state);
            known.set_home(home);
            return known.clone();
        }
        self.remove(&announcement.id);
        let target = Arc::new(Target::new(announcement));
        target.set_home(home);
        self.insert(target.clone());
        target
    }
}

/// Where a target stands among those of its service, or where it belongs.
fn position(of_service: &[Arc<Target>], id: &str) -> Result<usize, usize> {
    of_service.binary_search_by(|target| target.announcement.id.as_str().cmp(id))
}
