//! All targets that the gateway knows, indexed by identity, service and home, with the evacuations
//! and roll-outs that apply to them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::remembered_reports::RememberedReports;
use super::target::Target;
use super::version_history::VersionHistory;
use crate::clock::Instant;
use crate::directory::{DirectoryDelta, Listed, Moved, TargetState};
use crate::group::message::{Evacuation, EvacuationsUpdate};
use crate::group::stream_origins::VersionKey;
use crate::rollout::route_mix::RolloutMix;
use crate::rollout::tally::RouteKey;
use crate::rollout::{RolloutState, RolloutsUpdate, Stage};
use crate::store::Revision;

/// How long the shares of the routes in a service's requests are used for a roll-out. Without
/// current shares the new version gets the same fraction of each route.
const ROUTE_MIX_TTL: Duration = Duration::from_secs(5);
/// For how long a target that was given a home is assumed to lack the prompts that the home's
/// previous owner has cached.
const NEW_HOME_WINDOW: Duration = Duration::from_secs(20);

/// The previous owner of a home that was given to another target.
struct FormerOwner {
    /// `None` if the home is new.
    target: Option<Arc<Target>>,
    since: Instant,
}

/// All targets that the gateway knows.
#[derive(Default)]
pub(super) struct Targets {
    revision: Revision,
    /// Evacuations of data halls; `None` before the first update.
    evacuations: Option<EvacuationsUpdate>,
    /// Roll-outs of services; `None` before the first update.
    rollouts: Option<RolloutsUpdate>,
    /// Share of each route in a service's requests, for roll-outs under way, and when it was
    /// received.
    mixes: (Duration, Vec<RolloutMix>),
    /// When data halls were last returned to use: the revision that withdrew the evacuation, and
    /// the time since the gateway started.
    returned: HashMap<String, (Revision, Duration)>,
    /// Current owner of each home of each service.
    homes: HashMap<(String, u32), Arc<Target>>,
    former_owners: HashMap<(String, u32), FormerOwner>,
    by_id: HashMap<String, Arc<Target>>,
    by_key: HashMap<u64, Arc<Target>>,
    by_service: HashMap<String, Vec<Arc<Target>>>,
    versions: VersionHistory,
    /// What targets that are no longer listed reported about themselves.
    remembered: RememberedReports,
}

impl Targets {
    /// Revision of the directory that the targets come from.
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.by_id.values()
    }

    /// Revision of the evacuations in force; `None` before the first update.
    pub(super) fn evacuations_revision(&self) -> Option<Revision> {
        self.evacuations.as_ref().map(|halls| halls.revision)
    }

    /// Revision of the roll-outs in force; `None` before the first update.
    pub(super) fn rollouts_revision(&self) -> Option<Revision> {
        self.rollouts.as_ref().map(|update| update.revision)
    }

    /// The last roll-out of each service that ever had one.
    pub(super) fn rollouts(&self) -> impl Iterator<Item = &RolloutState> {
        self.rollouts.iter().flat_map(|update| &update.rollouts)
    }

    /// The last roll-out of a service, if it ever had one.
    pub(super) fn rollout(&self, service: &str) -> Option<&RolloutState> {
        self.rollouts().find(|rollout| rollout.service == service)
    }

    /// Stores the shares of the routes in the requests of services.
    pub(super) fn set_route_mixes(&mut self, now: Duration, mixes: Vec<RolloutMix>) {
        self.mixes = (now, mixes);
    }

    /// Stage of a roll-out on one route.
    pub(super) fn stage_on_route(
        &self,
        now: Duration,
        rollout: &RolloutState,
        route: &str,
    ) -> Stage {
        let (received_at, mixes) = &self.mixes;
        let mix = mixes.iter().find(|mix| mix.rollout == rollout.at);
        match mix.filter(|_| now < *received_at + ROUTE_MIX_TTL) {
            Some(mix) => mix.mix.stage_on_route(RouteKey::of(route), rollout.stage),
            None => rollout.stage,
        }
    }

    /// Applies an update of roll-outs if it is newer than the known one, and returns whether it
    /// did.
    pub(super) fn apply_rollouts(&mut self, update: RolloutsUpdate) -> bool {
        let newer = self.rollouts_revision().is_none_or(|known| known < update.revision);
        if newer {
            self.rollouts = Some(update);
        }
        newer
    }

    /// Applies an update of evacuations unless it is older than the known one, and returns whether
    /// it did.
    pub(super) fn apply_evacuations(&mut self, now: Duration, update: EvacuationsUpdate) -> bool {
        if self.evacuations_revision().is_some_and(|known| update.revision < known) {
            return false;
        }
        for hall in &update.halls {
            let known = self.returned.get(&hall.data_hall);
            let known = known.is_some_and(|(since, _)| *since == hall.since);
            if let Evacuation::Withdrawn { for_ms } = hall.state
                && !known
            {
                let at = now.saturating_sub(Duration::from_millis(for_ms));
                self.returned.insert(hall.data_hall.clone(), (hall.since, at));
            }
        }
        self.evacuations = Some(update);
        self.by_id.values().for_each(|target| self.apply_hall_state(target));
        true
    }

    /// Applies the evacuation state of its data hall to a target.
    fn apply_hall_state(&self, target: &Target) {
        let data_hall = &target.announcement.data_hall;
        target.set_evacuated(self.hall_evacuated(data_hall));
        if let Some((_, at)) = self.returned.get(data_hall) {
            target.cold_state().note_returned(*at);
        }
    }

    fn hall_evacuated(&self, data_hall: &str) -> bool {
        let mut halls = self.evacuations.iter().flat_map(|update| &update.halls);
        let hall = halls.find(|hall| hall.data_hall == data_hall);
        hall.is_some_and(|hall| hall.state == Evacuation::InForce)
    }

    /// Number of targets.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The target with this key.
    pub(super) fn by_key(&self, key: u64) -> Option<&Arc<Target>> {
        self.by_key.get(&key)
    }

    /// Targets of a service.
    pub(super) fn of(&self, service: &str) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The version of a service's software, if no other has been listed for `window`.
    pub(super) fn only_version(
        &self,
        now: Duration,
        service: &str,
        window: Duration,
    ) -> Option<VersionKey> {
        let listed = self.of(service).iter().map(|target| target.version);
        self.versions.only(now, service, window, listed)
    }

    /// `None` unless the target was given its home within [`NEW_HOME_WINDOW`]; then the home's
    /// previous owner, if that is still listed.
    pub(super) fn former_home_owner(&self, target: &Target) -> Option<Option<&Arc<Target>>> {
        let former_owner =
            self.former_owners.get(&(target.announcement.service.clone(), target.home()?))?;
        let recent = former_owner.since.elapsed() < NEW_HOME_WINDOW;
        let still_listed = |target: &&Arc<Target>| self.by_key.contains_key(&target.key);
        recent.then(|| former_owner.target.as_ref().filter(still_listed))
    }

    /// Applies a directory update if it is newer than the known directory, and returns whether it
    /// did.
    pub(super) fn apply(&mut self, now: Duration, delta: DirectoryDelta) -> bool {
        if delta.revision <= self.revision {
            return false;
        }
        self.revision = delta.revision;
        self.versions.note_directory(now);
        // In the gateway's first directory no home has changed its owner.
        let initial = self.homes.is_empty();
        let listed: HashSet<&str> =
            delta.changed.iter().map(|changed| changed.announcement.id.as_str()).collect();
        if delta.whole {
            let known = self.by_id.keys();
            let unlisted: Vec<String> =
                known.filter(|id| !listed.contains(id.as_str())).cloned().collect();
            unlisted.iter().for_each(|id| self.remove(now, id));
        }
        // A target that restarted is in both lists. Its next incarnation inherits from it, so it must still be known then.
        let gone = delta.removed.iter().filter(|id| !listed.contains(id.as_str()));
        gone.for_each(|id| self.remove(now, id));
        for listed in delta.changed {
            let cold_left = listed.announcement.cold_left;
            let target = self.change(now, listed);
            target.cold_state().note_cold_left(now, cold_left);
            self.note_home(&target, initial);
        }
        for Moved { target, state, cold_left, home, .. } in delta.moved {
            if let Some(target) = self.by_key.get(&target).cloned() {
                target.cold_state().note_cold_left(now, cold_left);
                if target.unresponsive() && state == TargetState::Ready {
                    // It may have restarted while it was unresponsive, and the heartbeat that ended
                    // this may have been sent before the restart.
                    target.cold_state().note_returned(now);
                }
                target.set_state(state);
                target.set_home(home);
                self.note_home(&target, initial);
            }
        }
        self.former_owners.retain(|_, former_owner| former_owner.since.elapsed() < NEW_HOME_WINDOW);
        true
    }

    /// Records the owner of a home, and the previous owner if it changed. `initial` is set for the
    /// first directory, in which no owner counts as new.
    fn note_home(&mut self, target: &Arc<Target>, initial: bool) {
        let Some(home) = target.home() else {
            return;
        };
        let key = (target.announcement.service.clone(), home);
        let before = self.homes.insert(key.clone(), target.clone());
        let unchanged = before.as_ref().is_some_and(|before| before.key == target.key);
        if !unchanged && !initial {
            self.former_owners.insert(key, FormerOwner { target: before, since: Instant::now() });
        }
    }

    fn remove(&mut self, now: Duration, id: &str) {
        let Some(target) = self.by_id.remove(id) else {
            return;
        };
        if let Some(report) = target.own_report() {
            self.remembered.keep(now, target.key, report);
        }
        self.by_key.remove(&target.key);
        self.versions.note_gone(now, &target.announcement.service, target.version);
        // Requests in flight still hold a reference to the target and must not keep its connections
        // open.
        target.set_state(TargetState::Draining);
        if let Some(of_service) = self.by_service.get_mut(&target.announcement.service)
            && let Ok(at) = position(of_service, id)
        {
            of_service.remove(at);
        }
    }

    fn insert(&mut self, target: Arc<Target>) {
        let announcement = &target.announcement;
        self.apply_hall_state(&target);
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

    /// Inserts or updates a target, and returns it.
    fn change(&mut self, now: Duration, listed: Listed) -> Arc<Target> {
        let Listed { announcement, home } = listed;
        if let Some(known) = self.by_id.get(&announcement.id)
            && known.announcement.born == announcement.born
            && known.announcement.addr == announcement.addr
            && known.announcement.service == announcement.service
            && known.announcement.version == announcement.version
        {
            known.set_state(announcement.state);
            known.set_home(home);
            return known.clone();
        }
        let known = self.by_id.get(&announcement.id);
        let inherited_report = known.and_then(|known| known.next_incarnation_report(now));
        self.remove(now, &announcement.id);
        let target = Arc::new(Target::new(announcement));
        let report = self.remembered.take(now, target.key);
        report.into_iter().chain(inherited_report).for_each(|report| target.restore_report(report));
        target.set_home(home);
        self.insert(target.clone());
        target
    }
}

/// Index of a target in the list of its service, which is sorted by identity, or the index at which
/// to insert it.
fn position(of_service: &[Arc<Target>], id: &str) -> Result<usize, usize> {
    of_service.binary_search_by(|target| target.announcement.id.as_str().cmp(id))
}
