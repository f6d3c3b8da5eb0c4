//! One target (back end) as the gateway knows it: what it announced, and what the gateway has
//! observed itself.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::brittle::{Belief, Brittle, Load, Position};
use super::cold::ColdState;
use super::connection::IdleConnection;
use super::dispatch::admission::{Admission, Admitted, Part};
use super::dispatch::ranking::Role;
use super::health::Health;
use super::incarnation_check::IncarnationCheck;
use super::slowdown::Slowdown;
use crate::availability::{Availability, Eligibility, OwnReport};
use crate::dialect::TargetLoad;
use crate::directory::{Announcement, TargetState, key};
use crate::group::evidence::Outcomes;
use crate::group::loads::LoadKey;
use crate::group::stream_origins::VersionKey;
use crate::retry_after::RetryAfter;
use crate::sync::lock;

/// Age from which a load that the target reported itself is ignored.
const REPORTED_LOAD_TTL: Duration = Duration::from_secs(3);
/// Value of `Target::home` while the target has no home.
const NO_HOME: u32 = u32::MAX;
/// How long a load from the members takes precedence over one from the target itself: the target's
/// figure is a snapshot of a single moment.
const MEMBER_LOAD_PREFERENCE_WINDOW: Duration = Duration::from_secs(1);
/// Number of totals from members over which the steady part of other gateways' requests is taken.
const RECENT_OTHERS_LEN: usize = 4;
/// Weight of the newest reported load in the moving average.
const NEWEST_LOAD_WEIGHT: f64 = 0.5;

/// Requests that all other gateways together have in flight at a target.
#[derive(Clone, Copy, Debug)]
struct OthersLoad {
    /// When it was received.
    received_at: Duration,
    /// When it stops being used.
    expires_at: Duration,
    requests: f64,
}

/// A target, shared by all requests of the gateway.
pub(super) struct Target {
    /// What the target announced to the members.
    pub(super) announcement: Announcement,
    /// Hash of its identity.
    pub(super) key: u64,
    /// Hash of its data hall's name.
    pub(super) hall_key: u64,
    /// The version of its service's software.
    pub(super) version: VersionKey,
    /// Whether it may be sent requests.
    availability: Mutex<Availability>,
    /// Its home (hash slot), or [`NO_HOME`].
    home: AtomicU32,
    unresponsive: AtomicBool,
    in_flight: AtomicU32,
    /// Total body size of this gateway's requests in flight there, in bytes.
    body_bytes: AtomicUsize,
    /// Connections that are open or being made.
    pub(super) connections: AtomicU32,
    pub(super) idle: Mutex<Vec<IdleConnection>>,
    health: Mutex<Health>,
    cold_state: Mutex<ColdState>,
    /// Failed and answered attempts of this gateway that are not yet reported to a member.
    pending_outcomes: Mutex<(u32, u32)>,
    /// Failures that may not be the target's own, and are not counted in `pending_outcomes`.
    held_failures: AtomicU32,
    /// Requests in flight from this gateway as last reported to a member.
    reported_in_flight: AtomicU32,
    /// Load from other gateways, as the members report it.
    others_from_members: Mutex<Option<OthersLoad>>,
    /// The last totals from which that load was computed, oldest first.
    recent_others: Mutex<VecDeque<u32>>,
    /// Load from other gateways, computed from what the target reports.
    others_from_target: Mutex<Option<OthersLoad>>,
    /// How much slower than usual the target works, as it reports itself.
    slowdown: Mutex<Slowdown>,
    /// What was found out about its room, for the time while its service is brittle.
    brittle: Mutex<Brittle>,
    /// Whether its last answer said that it is brittle.
    states_brittleness: AtomicBool,
    /// What this gateway found out about its room by dispatching to it.
    admission: Mutex<Admission>,
    /// Evidence on whether it still runs as the listed incarnation.
    incarnation_check: Mutex<IncarnationCheck>,
    /// Held while the target is asked for its incarnation.
    pub(super) question: tokio::sync::Mutex<()>,
}

impl Target {
    pub(super) fn new(announcement: Announcement) -> Self {
        let target = Target {
            key: announcement.key(),
            hall_key: key(&announcement.data_hall),
            version: VersionKey::of(&announcement.service, &announcement.version),
            availability: Mutex::default(),
            home: AtomicU32::new(NO_HOME),
            unresponsive: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            body_bytes: AtomicUsize::new(0),
            connections: AtomicU32::new(0),
            idle: Mutex::default(),
            health: Mutex::default(),
            cold_state: Mutex::default(),
            pending_outcomes: Mutex::default(),
            held_failures: AtomicU32::new(0),
            reported_in_flight: AtomicU32::new(0),
            others_from_members: Mutex::default(),
            recent_others: Mutex::default(),
            others_from_target: Mutex::default(),
            slowdown: Mutex::default(),
            brittle: Mutex::default(),
            states_brittleness: AtomicBool::new(false),
            admission: Mutex::default(),
            incarnation_check: Mutex::default(),
            question: tokio::sync::Mutex::default(),
            announcement,
        };
        target.set_state(target.announcement.state);
        target
    }

    /// Whether a request could be sent there over a connection that is idle or may be opened.
    pub(super) fn has_connection(&self, max_connections: u32) -> bool {
        self.connections.load(Ordering::Relaxed) < max_connections || !lock(&self.idle).is_empty()
    }

    /// Closes idle connections. Each of them holds a reference to its target.
    fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    pub(super) fn set_state(&self, state: TargetState) {
        if state == TargetState::Draining {
            lock(&self.availability).record_listed_draining();
        }
        self.unresponsive.store(state == TargetState::Silent, Ordering::Relaxed);
        if state != TargetState::Ready {
            self.close_idle();
        }
    }

    /// Hash slot to which affinities are mapped, if the target has one.
    pub(super) fn home(&self) -> Option<u32> {
        let home = self.home.load(Ordering::Relaxed);
        (home != NO_HOME).then_some(home)
    }

    pub(super) fn set_home(&self, home: Option<u32>) {
        self.home.store(home.unwrap_or(NO_HOME), Ordering::Relaxed);
    }

    /// Records whether its data hall is evacuated.
    pub(super) fn set_evacuated(&self, evacuated: bool) {
        lock(&self.availability).set_evacuated(evacuated);
        if evacuated {
            self.close_idle();
        }
    }

    /// Records that the target said in an answer that it is shutting down. Returns whether this is
    /// the first such answer.
    pub(super) fn note_draining(&self) -> bool {
        let first = lock(&self.availability).record_shutdown();
        if first {
            self.close_idle();
        }
        first
    }

    /// Records that the target asked for a pause with `Retry-After`. This gateway resumes sending
    /// at a random time within `spread` after the pause.
    pub(super) fn note_backoff(&self, now: Duration, retry_after: RetryAfter, spread: Duration) {
        lock(&self.availability).back_off(now, retry_after, spread, rand::random());
    }

    /// Records that the target answered a request without rejecting it.
    pub(super) fn note_answered(&self, now: Duration) {
        lock(&self.availability).record_answer(now);
    }

    /// Which requests the target may be sent now.
    pub(super) fn eligibility(&self, now: Duration) -> Eligibility {
        lock(&self.availability).eligibility(now)
    }

    /// Whether the target is neither draining nor in an evacuated data hall. It may be backing off.
    pub(super) fn in_service(&self) -> bool {
        lock(&self.availability).in_service()
    }

    /// Whether the target takes no new requests because it shuts down, according to the members or
    /// to its own answers.
    pub(super) fn draining(&self) -> bool {
        lock(&self.availability).shutting_down()
    }

    /// What the target reported about itself in its answers, if anything.
    pub(super) fn own_report(&self) -> Option<OwnReport> {
        lock(&self.availability).own_report()
    }

    /// The part of the target's own report that may come from the next process under the same
    /// identity.
    pub(super) fn next_incarnation_report(&self, now: Duration) -> Option<OwnReport> {
        lock(&self.availability).next_incarnation_report(now)
    }

    /// Applies what the same process of the target reported about itself under an earlier listing.
    pub(super) fn restore_report(&self, report: OwnReport) {
        lock(&self.availability).restore(report);
    }

    /// Whether the members have had no heartbeat from it within the timeout.
    pub(super) fn unresponsive(&self) -> bool {
        self.unresponsive.load(Ordering::Relaxed)
    }

    /// Requests in flight from this gateway.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Failure history as observed by this gateway.
    pub(super) fn health(&self) -> MutexGuard<'_, Health> {
        lock(&self.health)
    }

    /// What is known of the target's last start.
    pub(super) fn cold_state(&self) -> MutexGuard<'_, ColdState> {
        lock(&self.cold_state)
    }

    /// Evidence on whether it still runs as the listed incarnation.
    pub(super) fn incarnation_check(&self) -> MutexGuard<'_, IncarnationCheck> {
        lock(&self.incarnation_check)
    }

    /// Whether its next incarnation may have the same identity. A target that reports no start time has a new identity
    /// after each start, and rejects requests that are meant for another one.
    pub(super) fn may_restart_unseen(&self) -> bool {
        self.announcement.born.0.is_some()
    }

    /// Whether it may run as another incarnation than the listed one.
    pub(super) fn may_have_restarted(&self, now: Duration) -> bool {
        self.may_restart_unseen() && self.incarnation_check().suspected(now, self.unresponsive())
    }

    /// Counts the outcome of an attempt for the next report to a member.
    pub(super) fn count_outcome(&self, failed: bool) {
        let mut pending_outcomes = lock(&self.pending_outcomes);
        let count = if failed { &mut pending_outcomes.0 } else { &mut pending_outcomes.1 };
        *count = count.saturating_add(1);
    }

    /// Holds back a failure that may not be the target's own.
    pub(super) fn hold_failure(&self) {
        self.held_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the failures held back: they were the target's own.
    pub(super) fn confirm_failures(&self) {
        let held = self.held_failures.swap(0, Ordering::Relaxed);
        let mut pending_outcomes = lock(&self.pending_outcomes);
        pending_outcomes.0 = pending_outcomes.0.saturating_add(held);
    }

    /// Forgets the failures held back and the ejection that followed from them: this gateway could not reach the target.
    /// A target that refused connections still counts as cold when it is found again, since it may have restarted.
    pub(super) fn forget_failures(&self) {
        self.held_failures.store(0, Ordering::Relaxed);
        self.health().forget_failures();
    }

    /// Takes the outcomes that are not yet reported to a member, if there are any.
    pub(super) fn take_outcomes(&self) -> Option<Outcomes> {
        let (failed, answered) = std::mem::take(&mut *lock(&self.pending_outcomes));
        let target = LoadKey::of(self.key);
        (failed + answered > 0).then_some(Outcomes { target, failed, answered })
    }

    /// Counts a request with a body of `body` bytes as in flight until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>, body: usize) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.body_bytes.fetch_add(body, Ordering::Relaxed);
        InFlight { target: self.clone(), body }
    }

    /// Whether a body of `body` bytes fits: the bodies in flight from this gateway may have `max`
    /// bytes in total, since they occupy the target's memory. A single body always fits.
    pub(super) fn has_room(&self, body: usize, max: usize) -> bool {
        let body_bytes = self.body_bytes.load(Ordering::Relaxed);
        body_bytes == 0 || body_bytes.saturating_add(body) <= max
    }

    /// Records the load that the target reported in an answer.
    pub(super) fn note_reported_load(&self, now: Duration, load: TargetLoad) {
        let reported = f64::from(load.running) + f64::from(load.waiting);
        let newest = (reported - f64::from(self.in_flight())).max(0.0);
        let mut others = lock(&self.others_from_target);
        let requests = match *others {
            Some(known) if now < known.expires_at => {
                known.requests + NEWEST_LOAD_WEIGHT * (newest - known.requests)
            }
            _ => newest,
        };
        *others =
            Some(OthersLoad { received_at: now, expires_at: now + REPORTED_LOAD_TTL, requests });
        drop(others);
        if let Some(percent) = load.slowdown_percent {
            lock(&self.slowdown).note(now, percent);
        }
    }

    /// Records whether an answer says that the target is brittle. Returns whether it became so or ceased to be.
    pub(super) fn note_states_brittleness(&self, states: bool) -> bool {
        self.states_brittleness.swap(states, Ordering::Relaxed) != states
    }

    /// Records an answer while its service is brittle: `full` if it rejected the request for want of room.
    pub(super) fn note_answered_brittle(
        &self,
        now: Duration,
        withstands: u32,
        full: bool,
        gateways: u32,
    ) {
        let load = self.load(now, 0.0, gateways);
        let mut brittle = lock(&self.brittle);
        brittle.note_stated(now, Some(withstands));
        match full {
            true => brittle.note_rejected(now, load - 1.0, gateways, rand::random()),
            false => brittle.note_taken(now, self.announcement.slots),
        }
    }

    /// Forgets the room that its share of the places was bounded by.
    pub(super) fn forget_room(&self) {
        *lock(&self.brittle) = Brittle::default();
    }

    /// Whether this gateway, which dispatches to the target, may send it one more request.
    pub(super) fn admit(&self, now: Duration, part: Part, role: Role) -> Admitted {
        let in_flight = self.in_flight() + self.others_beside(now, role);
        lock(&self.admission).admit(now, in_flight, part)
    }

    /// Records that the target had no room for a request that is still counted as in flight.
    pub(super) fn note_rejected(&self, now: Duration, part: Part, role: Role) {
        let others = (self.in_flight() + self.others_beside(now, role)).saturating_sub(1);
        lock(&self.admission).note_rejected(now, others, part);
    }

    /// Whether the target, which withstands so many rejections in a second, fell over under those of this gateway.
    pub(super) fn fell_over(&self, now: Duration, withstands: u32) -> bool {
        lock(&self.admission).explains_end(now, withstands)
    }

    /// Requests that this gateway, which dispatches to the target, believes it has room for; `None` if it was never
    /// found full.
    pub(super) fn admission_limit(&self) -> Option<f64> {
        lock(&self.admission).limit()
    }

    /// What this gateway believes of the target's room.
    pub(super) fn belief(&self, now: Duration) -> Belief {
        lock(&self.brittle).belief(now)
    }

    /// Whether the target, whose service is brittle, has room for one more request, as far as that has to be known before
    /// it is sent: it must not have to reject many. `host` is the name of this gateway's host.
    pub(super) fn has_room_if_brittle(
        &self,
        now: Duration,
        withstands: u32,
        gateways: u32,
        host: &str,
    ) -> bool {
        let hash = xxh3_64_with_seed(host.as_bytes(), self.key);
        let position = Position { gateways, draw: hash as f64 / u64::MAX as f64 };
        let load = Load { total: self.load(now, 0.0, gateways), own: self.in_flight() };
        let mut brittle = lock(&self.brittle);
        brittle.note_stated(now, Some(withstands));
        brittle.may_send(now, load, self.announcement.slots, position)
    }

    /// Processing time at the target, as a multiple of the usual time.
    pub(super) fn slowdown(&self, now: Duration) -> f64 {
        lock(&self.slowdown).multiple(now)
    }

    /// Estimated number of requests in flight at the target, from all gateways.
    ///
    /// Without a recent figure for the other gateways, the larger of two estimates is used:
    /// `usual_others`, or this gateway's own requests for each of them. `usual_others` does not
    /// apply to a target without a home, which gets little work from any gateway.
    pub(super) fn load(&self, now: Duration, usual_others: f64, gateways: u32) -> f64 {
        let own = f64::from(self.in_flight());
        let same_as_own = own * f64::from(gateways.saturating_sub(1));
        let usual = if self.home().is_some() { usual_others } else { 0.0 };
        own + self.others_load(now).unwrap_or(usual.max(same_as_own))
    }

    /// Returns the requests in flight from this gateway and remembers the number as reported to a
    /// member.
    pub(super) fn report_in_flight(&self) -> u32 {
        let in_flight = self.in_flight();
        self.reported_in_flight.store(in_flight, Ordering::Relaxed);
        in_flight
    }

    /// Records the requests in flight from all gateways, as the members report them.
    pub(super) fn note_total_in_flight(&self, now: Duration, total: u32, ttl: Duration) {
        let others = total.saturating_sub(self.reported_in_flight.load(Ordering::Relaxed));
        let mut recent = lock(&self.recent_others);
        recent.push_back(others);
        if recent.len() > RECENT_OTHERS_LEN {
            recent.pop_front();
        }
        drop(recent);
        *lock(&self.others_from_members) = Some(OthersLoad {
            received_at: now,
            expires_at: now + ttl,
            requests: f64::from(others),
        });
    }

    /// Requests that other gateways have in flight beside this one, which dispatches to the target.
    ///
    /// A total may be older than this gateway's own report in it, so a single one may count requests of this gateway as
    /// those of others. Where the others should have none, only what they have had for some time counts.
    fn others_beside(&self, now: Duration, role: Role) -> u32 {
        if !lock(&self.others_from_members).is_some_and(|load| now < load.expires_at) {
            return 0;
        }
        let recent = lock(&self.recent_others);
        let others = match role {
            Role::Appointed => recent.iter().min(),
            Role::Substitute => recent.iter().max(),
        };
        others.copied().unwrap_or(0)
    }

    /// Estimated requests in flight from other gateways, or `None` without a recent figure.
    ///
    /// A figure from the members is preferred while it is younger than
    /// [`MEMBER_LOAD_PREFERENCE_WINDOW`], after that whichever of the two is newer.
    pub(super) fn others_load(&self, now: Duration) -> Option<f64> {
        let live = |load: &OthersLoad| now < load.expires_at;
        let from_members = lock(&self.others_from_members).filter(live);
        let from_target = lock(&self.others_from_target).filter(live);
        let newest = match (from_members, from_target) {
            (Some(members), Some(target))
                if now >= members.received_at + MEMBER_LOAD_PREFERENCE_WINDOW =>
            {
                if target.received_at > members.received_at { Some(target) } else { Some(members) }
            }
            (members, target) => members.or(target),
        };
        newest.map(|load| load.requests)
    }
}

/// Counts a request as in flight at a target until dropped.
pub(super) struct InFlight {
    target: Arc<Target>,
    body: usize,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.target.body_bytes.fetch_sub(self.body, Ordering::Relaxed);
    }
}
