//! Chooses the target for a request from what this gateway knows of each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use xxhash_rust::xxh3::xxh3_64;

use super::balance::{Affinity, Candidate, Preference, choose, is_expected_holder};
use super::dispatch::{self, Sending};
use super::exchange::RequestState;
use super::mechanism::Mechanism;
use super::prefix_source::PrefixSearch;
use super::refusal::Refusal;
use super::target::Target;
use super::targets::Targets;
use super::version_pin::VersionPin;
use super::versions::{VersionGroup, Versions};
use super::{ColdLimit, Gateway};
use crate::configuration::Route;
use crate::group::loads::{LoadKey, Loads, TargetLoad, loads_ttl};
use crate::rollout::tally::Subject;
use crate::store::Revision;
use crate::sync::read;

/// A target that is unresponsive to the members is still trusted if it answered this gateway within
/// this time.
const RECENT_ANSWER_WINDOW: Duration = Duration::from_secs(3);

/// Random extra time added to `Retry-After`, so that clients that were refused because targets back
/// off do not all return at once.
const BACKOFF_RETURN_SPREAD: Duration = Duration::from_millis(300);

/// A target chosen for an attempt, and what the choice was based on.
pub(super) struct Choice {
    pub(super) target: Arc<Target>,
    /// Estimated requests in flight at the target.
    pub(super) load: f64,
    pub(super) candidates: usize,
    /// Whether the target is or may be slow because it has just started.
    pub(super) cold: bool,
    /// Number of candidates that are used only if there is no other.
    pub(super) last_resort: usize,
    /// Revision of the directory.
    pub(super) list_revision: Revision,
    /// Address from which the target may fetch the cached part of the prompt that it lacks.
    pub(super) fetch_from: Option<SocketAddr>,
    /// Whether other gateways assume without a report that this target has the prompt cached.
    pub(super) expected_holder: bool,
    /// The roll-out, route and version that the outcome is counted under, while a roll-out is under
    /// way.
    pub(super) counted_under: Option<Subject>,
}

impl Gateway {
    /// The part of the prompt that the request shares with earlier ones: all but the last part,
    /// which belongs to this request alone. A single part counts as shared.
    pub(super) fn affinity(&self, route: &Route, headers: &HeaderMap) -> Option<Affinity> {
        if !route.sticky {
            return None;
        }
        let value = headers.get(&self.header_names().prompt)?.to_str().ok()?;
        let parts = self.dialect.prompt(value);
        let shared = &parts[..parts.len().saturating_sub(1).max(1).min(parts.len())];
        let hash = xxh3_64(shared.last()?.id.as_bytes());
        let tokens = shared.iter().fold(0_u64, |sum, part| sum.saturating_add(part.tokens));
        Some(Affinity { hash, tokens })
    }

    /// Chooses a target that the request has not tried.
    pub(super) fn choose(&self, state: &RequestState) -> Option<Choice> {
        let now = self.now();
        let known = read(&self.targets);
        let versions = Versions::new(now, &known, state);
        let cold = self.cold_limit(&state.service, state.sending);
        let (group, targets) = self.usable(now, &known, &versions, state, cold)?;
        let candidates = self.to_candidates(now, &targets);
        let in_group = |target: &&Arc<Target>| {
            self.pin_allows(now, state.pin, target) && versions.contains(group, target)
        };
        let in_group = known.of(&state.service).iter().filter(in_group);
        let preference = self.preference(now, state, in_group);
        let at = choose(&candidates, preference, &mut rand::rng())?;
        let of_service = known.of(&state.service);
        let affinity = state.affinity.filter(|_| self.can_fetch(&state.service));
        let fetch_from = affinity.and_then(|affinity| {
            let known = &known;
            let (targets, candidates) = (&targets, &candidates);
            let search =
                PrefixSearch { now, known, of_service, targets, candidates, chosen: at, affinity };
            Some(self.prefix_source(&search)?.announcement.addr)
        });
        let all_homes = of_service.iter().map(|target| target.home());
        let expected_holder = affinity
            .is_none_or(|affinity| is_expected_holder(targets[at].home(), all_homes, affinity));
        Some(Choice {
            fetch_from,
            expected_holder,
            counted_under: self.subject(&known, state, targets[at]),
            target: targets[at].clone(),
            load: candidates[at].load,
            candidates: candidates.len(),
            cold: cold.is_some_and(|limit| limit.cold(now, targets[at])),
            last_resort: candidates.iter().filter(|candidate| candidate.last_resort).count(),
            list_revision: known.revision(),
        })
    }

    /// Targets that may be sent the request now, from the first version group that has any.
    fn usable<'a>(
        &self,
        now: Duration,
        known: &'a Targets,
        versions: &Versions<'_>,
        state: &RequestState,
        cold: Option<ColdLimit>,
    ) -> Option<(VersionGroup, Vec<&'a Arc<Target>>)> {
        let (body, max_bytes) = (state.outgoing.body_bytes(), self.max_bodies_per_target());
        let max_connections = self.max_connections_to(&state.service);
        let withstands = self.withstands(&state.service);
        let may_send_dispatched = |target: &Target| {
            let dispatchers = dispatch::dispatchers_of(target, withstands);
            cold.is_none_or(|limit| limit.among(dispatchers).may_send(now, target))
        };
        let may_send = |target: &Arc<Target>| match state.sending {
            Sending::Direct => {
                target.has_room(body, max_bytes)
                    && target.has_connection(max_connections)
                    && self.has_room_if_brittle(now, target, withstands)
                    && cold.is_none_or(|limit| limit.may_send(now, target))
            }
            Sending::Dispatched => !state.full.contains(&target.key) && may_send_dispatched(target),
            Sending::Dispatching(key) => {
                target.key == key && target.has_room(body, max_bytes) && may_send_dispatched(target)
            }
        };
        let usable = |target: &&Arc<Target>| {
            target.eligibility(now).accepts_work()
                && self.pin_allows(now, state.pin, target)
                && self.region_allows(state, target)
                && !state.tried.contains(&target.key)
                && may_send(target)
        };
        let usable: Vec<&Arc<Target>> = known.of(&state.service).iter().filter(usable).collect();
        if let Sending::Dispatching(_) = state.sending {
            return (!usable.is_empty()).then_some((VersionGroup::Any, usable));
        }
        let groups = versions.groups(state.version_draw, !state.tried.is_empty());
        if state.pin != VersionPin::Free {
            let pinned = usable.into_iter().filter(|target| versions.may_receive(target));
            let pinned: Vec<&Arc<Target>> = pinned.collect();
            return (!pinned.is_empty()).then_some((VersionGroup::Any, pinned));
        }
        if groups == [VersionGroup::Any] {
            return (!usable.is_empty()).then_some((VersionGroup::Any, usable));
        }
        let mut groups =
            groups.iter().map(|group| (*group, filter_group(versions, *group, &usable)));
        groups.find(|(_, targets)| !targets.is_empty())
    }

    /// Converts targets to candidates for the choice.
    fn to_candidates(&self, now: Duration, targets: &[&Arc<Target>]) -> Vec<Candidate> {
        let usual = usual_others(targets, now);
        let gateways = self.gateways();
        let homes = self.uses(Mechanism::Homes);
        let near = self.uses(Mechanism::Near);
        let slowdowns = self.uses(Mechanism::TargetStrain);
        let candidate = |target: &&Arc<Target>| Candidate {
            key: target.key,
            home: target.home().filter(|_| homes),
            load: target.load(now, usual, gateways),
            slots: target.announcement.slots,
            slowdown: if slowdowns { target.slowdown(now) } else { 1.0 },
            near: near && target.announcement.data_hall == self.settings.data_hall,
            last_resort: self.is_last_resort(now, target),
        };
        targets.iter().map(candidate).collect()
    }

    /// Computes what the choice depends on besides the candidates. `targets` are those of the
    /// chosen version group.
    fn preference<'a>(
        &self,
        now: Duration,
        state: &RequestState,
        targets: impl Iterator<Item = &'a Arc<Target>>,
    ) -> Preference {
        // The other targets take over the work of the avoided ones. With a mean over all targets,
        // the others would all exceed the load bound.
        let avoided = |target: &Arc<Target>| {
            let backing_off = target.eligibility(now).backoff_left(now).is_some();
            backing_off || target.unresponsive() || self.is_last_resort(now, target)
        };
        Preference {
            affinity: state.affinity.map(|affinity| self.bound_affinity(affinity)),
            load_bound: self.load_bound(),
            targets: targets.filter(|target| !avoided(target)).count(),
        }
    }

    /// Whether targets of a service can fetch cached prompts from each other.
    fn can_fetch(&self, service: &str) -> bool {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(service));
        self.uses(Mechanism::Fetch) && service.is_some_and(|service| service.fetches)
    }

    /// Why no target can be chosen for the request.
    pub(super) fn why_no_choice(&self, state: &RequestState) -> Refusal {
        let now = self.now();
        let known = read(&self.targets);
        let mut suitable = self.suitable(&known, state);
        if state.pin != VersionPin::Free && !suitable.is_empty() {
            suitable.retain(|target| !target.may_have_restarted(now));
            if suitable.is_empty() {
                return Refusal::RestartSuspected;
            }
        }
        let untried = suitable.iter().filter(|target| !state.tried.contains(&target.key));
        let open = untried.clone().filter(|target| target.eligibility(now).accepts_work());
        let (body, max_bytes) = (state.outgoing.body_bytes(), self.max_bodies_per_target());
        let max_connections = self.max_connections_to(&state.service);
        let fitting = open.clone().filter(|target| {
            target.has_room(body, max_bytes) && target.has_connection(max_connections)
        });
        let withstands = self.withstands(&state.service);
        if fitting.clone().any(|target| self.has_room_if_brittle(now, target, withstands)) {
            return Refusal::Cold;
        }
        if fitting.count() > 0 {
            return Refusal::Full;
        }
        if open.count() > 0 {
            return Refusal::NoRoom;
        }
        if suitable.iter().any(|target| target.eligibility(now).backoff_left(now).is_some()) {
            return Refusal::BackingOff;
        }
        if untried.count() > 0 && state.tried.is_empty() {
            return Refusal::Evacuated;
        }
        if suitable.is_empty() && state.pin != VersionPin::Free {
            return Refusal::VersionGone;
        }
        if state.connect_cost > 0 { Refusal::ConnectFailed } else { Refusal::NoTarget }
    }

    /// What this gateway believes of the targets of a service, for logs; empty if they are not brittle.
    pub(super) fn brittle_summary(&self, service: &str) -> String {
        let Some(withstands) = self.withstands(service) else {
            return String::new();
        };
        let now = self.now();
        let known = read(&self.targets);
        let targets = known.of(service);
        let paused = targets.iter().filter(|one| one.belief(now).paused).count();
        let found_full =
            |one: &&Arc<Target>| one.belief(now).room.is_some() || one.admission_limit().is_some();
        let limited = targets.iter().filter(found_full).count();
        format!("{} withstand {withstands}, {paused} paused, {limited} found full", targets.len())
    }

    /// Whether a target may be sent one more request from here, if its service is brittle: `withstands` rejections in a
    /// second.
    fn has_room_if_brittle(&self, now: Duration, target: &Target, withstands: Option<u32>) -> bool {
        let host = &self.settings.host;
        withstands.is_none_or(|withstands| {
            target.has_room_if_brittle(now, withstands, self.gateways(), host)
        })
    }

    /// Time until the first target that backs off can be sent requests again, plus a random part of
    /// [`BACKOFF_RETURN_SPREAD`]; `None` if no target backs off.
    pub(super) fn backoff_left(&self, state: &RequestState) -> Option<Duration> {
        let now = self.now();
        let known = read(&self.targets);
        let suitable = self.suitable(&known, state);
        let remaining =
            suitable.iter().filter_map(|target| target.eligibility(now).backoff_left(now));
        let first = remaining.min()?;
        Some(first + BACKOFF_RETURN_SPREAD.mul_f64(rand::random()))
    }

    /// Targets that are not draining and whose version and region suit the request.
    fn suitable<'a>(&self, known: &'a Targets, state: &RequestState) -> Vec<&'a Arc<Target>> {
        let versions = Versions::new(self.now(), known, state);
        let groups = versions.groups(state.version_draw, !state.tried.is_empty());
        let is_suitable = |target: &&Arc<Target>| {
            !target.draining()
                && self.region_allows(state, target)
                && state.pin.allows(target)
                && match state.pin {
                    VersionPin::Free => {
                        groups.iter().any(|group| versions.contains(*group, target))
                    }
                    _ => versions.may_receive(target),
                }
        };
        known.of(&state.service).iter().filter(is_suitable).collect()
    }

    /// Whether the regions of the request's route and team allow a target. A target whose region is
    /// unknown is not allowed where regions are restricted.
    fn region_allows(&self, state: &RequestState, target: &Target) -> bool {
        let of_team = state.team.as_ref().map_or(&[][..], |team| &team.regions);
        let bound = [state.route.regions.as_slice(), of_team];
        bound.into_iter().filter(|regions| !regions.is_empty()).all(|regions| {
            let region = self.settings.data_halls.get(&target.announcement.data_hall);
            region.is_some_and(|region| regions.contains(region))
        })
    }

    /// Counts a request that is about to be sent to a target in this way, if the target is cold.
    pub(super) fn note_cold_request(&self, target: &Target, sending: Sending) {
        if let Some(limit) = self.cold_limit(&target.announcement.service, sending) {
            let now = self.now();
            let mut cold_state = target.cold_state();
            if cold_state.cold(now, limit.cold_start) {
                self.metrics.cold_attempt(&target.announcement.service);
                let withstands = self.withstands(&target.announcement.service);
                let limit = match sending {
                    Sending::Direct => limit,
                    _ => limit.among(dispatch::dispatchers_of(target, withstands)),
                };
                cold_state.note_sent(now, limit.gap);
            }
        }
    }

    /// The affinity as used for the load bound: without the `CheapFirst` mechanism every request
    /// gets the highest bound.
    fn bound_affinity(&self, affinity: Affinity) -> Affinity {
        match self.uses(Mechanism::CheapFirst) {
            true => affinity,
            false => Affinity { tokens: u64::MAX, ..affinity },
        }
    }

    /// Maximum total body size of this gateway's requests in flight at one target, in bytes.
    fn max_bodies_per_target(&self) -> usize {
        self.settings.max_target_body_bytes(self.gateways())
    }

    fn load_bound(&self) -> f64 {
        if self.uses(Mechanism::LoadBound) { self.settings.load_bound } else { f64::INFINITY }
    }

    /// Requests of this gateway in flight at each target, remembered as reported to a member.
    pub(super) fn report_loads(&self) -> Loads {
        let targets = read(&self.targets);
        let loads = targets.all().map(|target| TargetLoad {
            target: LoadKey::of(target.key),
            requests: target.report_in_flight(),
        });
        loads.filter(|load| load.requests > 0).collect()
    }

    /// Applies the requests in flight from all gateways, which include those that this gateway last
    /// reported.
    pub(super) fn receive_loads(&self, loads: &Loads) {
        if !self.uses(Mechanism::MemberLoads) {
            return;
        }
        let now = self.now();
        let loads: HashMap<LoadKey, u32> =
            loads.all().iter().map(|load| (load.target, load.requests)).collect();
        let ttl = loads_ttl(self.gateways(), loads.len());
        let targets = read(&self.targets);
        for target in targets.all() {
            target.note_total_in_flight(
                now,
                loads.get(&LoadKey::of(target.key)).copied().unwrap_or(0),
                ttl,
            );
        }
    }

    /// Whether a target should be used only if there is no other.
    fn is_last_resort(&self, now: Duration, target: &Target) -> bool {
        let health = target.health();
        let answered_recently =
            health.last_answer().is_some_and(|at| now < at + RECENT_ANSWER_WINDOW);
        let on_probation_and_busy = health.on_probation(now) && target.in_flight() > 0;
        let ejected =
            self.uses(Mechanism::Pauses) && (health.ejected(now) || on_probation_and_busy);
        let over_return_limit = target.eligibility(now).over_return_limit(target.in_flight());
        ejected || over_return_limit || (target.unresponsive() && !answered_recently)
    }
}

/// Filters the targets of a version group.
fn filter_group<'a>(
    versions: &Versions<'_>,
    group: VersionGroup,
    targets: &[&'a Arc<Target>],
) -> Vec<&'a Arc<Target>> {
    targets.iter().copied().filter(|target| versions.contains(group, target)).collect()
}

/// Mean load from other gateways, over the targets for which it is known.
fn usual_others(targets: &[&Arc<Target>], now: Duration) -> f64 {
    let loads: Vec<f64> = targets.iter().filter_map(|target| target.others_load(now)).collect();
    loads.iter().sum::<f64>() / loads.len().max(1) as f64
}
