//! One target as a gateway knows it, with what the gateway has itself seen of it.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use super::cold::Warmth;
use super::connection::IdleConnection;
use super::health::Health;
use super::strain::Strain;
use crate::availability::{Availability, OwnWord, Standing};
use crate::dialect::TargetLoad;
use crate::directory::{Announcement, TargetState, key};
use crate::group::evidence::Outcomes;
use crate::group::loads::LoadKey;
use crate::retry_after::RetryAfter;
use crate::sync::lock;

/// Age from which a target's own word about its load is not used any more.
const LOAD_HOLDS_FOR: Duration = Duration::from_secs(3);
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
    /// Hash of the data hall that it stands in.
    pub(super) hall: u64,
    /// Whether it may be sent anything.
    availability: Mutex<Availability>,
    /// Its home, or [`NO_HOME`].
    home: AtomicU32,
    silent: AtomicBool,
    in_flight: AtomicU32,
    /// Bytes of bodies of the requests in flight from this gateway.
    bodies: AtomicUsize,
    /// Connections open or being made.
    pub(super) connections: AtomicU32,
    pub(super) idle: Mutex<Vec<IdleConnection>>,
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
    /// How long work takes there, by its own word.
    strain: Mutex<Strain>,
}

impl Target {
    pub(super) fn new(announcement: Announcement) -> Self {
        let target = Target {
            key: announcement.key(),
            hall: key(&announcement.data_hall),
            availability: Mutex::default(),
            home: AtomicU32::new(NO_HOME),
            silent: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            bodies: AtomicUsize::new(0),
            connections: AtomicU32::new(0),
            idle: Mutex::default(),
            health: Mutex::default(),
            warmth: Mutex::default(),
            untold: Mutex::default(),
            told: AtomicU32::new(0),
            others_by_members: Mutex::default(),
            others_by_target: Mutex::default(),
            strain: Mutex::default(),
            announcement,
        };
        target.set_state(target.announcement.state);
        target
    }

    /// Closes idle connections; each of them holds on to its target.
    fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    pub(super) fn set_state(&self, state: TargetState) {
        lock(&self.availability).list(state == TargetState::Draining);
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

    pub(super) fn set_home(&self, home: Option<u32>) {
        self.home.store(home.unwrap_or(NO_HOME), Ordering::Relaxed);
    }

    /// Notes whether its data hall is evacuated.
    pub(super) fn set_evacuated(&self, evacuated: bool) {
        lock(&self.availability).evacuate(evacuated);
        if evacuated {
            self.close_idle();
        }
    }

    /// Notes that an answer of its own says that it leaves; tells whether that is the first.
    pub(super) fn says_leaving(&self) -> bool {
        let first = lock(&self.availability).says_leaving();
        if first {
            self.close_idle();
        }
        first
    }

    /// Notes that it wants nothing for a while; its return begins a part of `spread` later.
    pub(super) fn rests(&self, now: Duration, rest: RetryAfter, spread: Duration) {
        lock(&self.availability).rests(now, rest, spread, rand::random());
    }

    /// Notes that it has answered a request that it did not turn away.
    pub(super) fn answered(&self, now: Duration) {
        lock(&self.availability).answered(now);
    }

    /// What it may be sent now.
    pub(super) fn standing(&self, now: Duration) -> Standing {
        lock(&self.availability).standing(now)
    }

    /// Whether it serves, be it that it rests now.
    pub(super) fn in_service(&self) -> bool {
        lock(&self.availability).in_service()
    }

    /// Whether it takes no new work any more, as the members or its own answers say.
    pub(super) fn leaving(&self) -> bool {
        lock(&self.availability).leaving()
    }

    /// What it has said of itself in its answers, if anything.
    pub(super) fn own_word(&self) -> Option<OwnWord> {
        lock(&self.availability).own_word()
    }

    /// What may be the word of the next start under its identity.
    pub(super) fn word_of_next_start(&self, now: Duration) -> Option<OwnWord> {
        lock(&self.availability).word_of_next_start(now)
    }

    /// Takes what the same start has said of itself under an earlier listing.
    pub(super) fn recall(&self, said: OwnWord) {
        lock(&self.availability).recall(said);
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

    /// Counts a request with a body of so many bytes until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>, body: usize) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.bodies.fetch_add(body, Ordering::Relaxed);
        InFlight { target: self.clone(), body }
    }

    /// Whether a body of so many bytes may go there, where those in flight from this gateway have `most` together:
    /// what a target holds counts against its memory. One alone may always go.
    pub(super) fn has_room(&self, body: usize, most: usize) -> bool {
        let bodies = self.bodies.load(Ordering::Relaxed);
        bodies == 0 || bodies.saturating_add(body) <= most
    }

    /// Notes the load that the target told of itself.
    pub(super) fn note_load(&self, now: Duration, load: TargetLoad) {
        let told = f64::from(load.running) + f64::from(load.waiting);
        let newest = (told - f64::from(self.in_flight())).max(0.0);
        let mut others = lock(&self.others_by_target);
        let requests = match *others {
            Some(known) if now < known.until => known.requests + NEWEST * (newest - known.requests),
            _ => newest,
        };
        *others = Some(OthersLoad { at: now, until: now + LOAD_HOLDS_FOR, requests });
        drop(others);
        if let Some(percent) = load.strain_percent {
            lock(&self.strain).note(now, percent);
        }
    }

    /// How long work takes there now, as a multiple of what is usual.
    pub(super) fn strain(&self, now: Duration) -> f64 {
        lock(&self.strain).multiple(now)
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
pub(super) struct InFlight {
    target: Arc<Target>,
    body: usize,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.target.bodies.fetch_sub(self.body, Ordering::Relaxed);
    }
}
