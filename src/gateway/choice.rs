//! Which target a request goes to, from what this gateway knows of each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use xxhash_rust::xxh3::xxh3_64;

use super::balance::{Affinity, Candidate, Wish, choose, expected_keeper};
use super::exchange::Plan;
use super::mechanism::Mechanism;
use super::refusal::Refusal;
use super::source::Search;
use super::target::Target;
use super::targets::Targets;
use super::versions::{Group, Versions};
use super::{ColdLimit, Gateway};
use crate::configuration::Route;
use crate::group::loads::{LoadKey, Loads, TargetLoad, loads_count_for};
use crate::rollout::tally::Subject;
use crate::store::Revision;
use crate::sync::read;

/// How long ago a target that the members do not hear must have answered to be trusted.
const ANSWERED_LATELY: Duration = Duration::from_secs(3);

/// Time over which callers come back that were refused because targets rest.
const BACK_FROM_REST_OVER: Duration = Duration::from_millis(300);

/// A target chosen for an attempt, and what the choice was made of.
pub(super) struct Choice {
    pub(super) target: Arc<Target>,
    /// Requests that it is thought to have.
    pub(super) load: f64,
    pub(super) candidates: usize,
    /// Whether it is slow after a start, or may be.
    pub(super) cold: bool,
    /// Candidates that are left alone if another will do.
    pub(super) doubtful: usize,
    /// Revision of the directory.
    pub(super) list_revision: Revision,
    /// Where the target may fetch what it lacks of the prompt.
    pub(super) fetch_from: Option<SocketAddr>,
    /// Whether the others take it to keep the prompt, without being told.
    pub(super) expected: bool,
    /// What the outcome is counted under while a roll-out is under way.
    pub(super) counted_under: Option<Subject>,
}

impl Gateway {
    /// What a request shares with others that came before: the last part of its prompt but one,
    /// since the last is its own.
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
    pub(super) fn choose(&self, plan: &Plan) -> Option<Choice> {
        let now = self.now();
        let known = read(&self.targets);
        let versions = Versions::of(now, &known, plan);
        let cold = self.cold_limit(&plan.service);
        let (group, targets) = self.usable(now, &known, &versions, plan, cold)?;
        let candidates = self.weigh(now, &targets);
        let in_group = known.of(&plan.service).iter().filter(|one| versions.holds(group, one));
        let wish = self.wish(now, plan, in_group);
        let at = choose(&candidates, wish, &mut rand::rng())?;
        let of_service = known.of(&plan.service);
        let affinity = plan.affinity.filter(|_| self.fetches(&plan.service));
        let fetch_from = affinity.and_then(|affinity| {
            let known = &known;
            let (targets, candidates) = (&targets, &candidates);
            let search =
                Search { now, known, of_service, targets, candidates, chosen: at, affinity };
            Some(self.source(&search)?.announcement.addr)
        });
        let all_homes = of_service.iter().map(|target| target.home());
        let expected = affinity
            .is_none_or(|affinity| expected_keeper(targets[at].home(), all_homes, affinity));
        Some(Choice {
            fetch_from,
            expected,
            counted_under: self.subject(&known, plan, targets[at]),
            target: targets[at].clone(),
            load: candidates[at].load,
            candidates: candidates.len(),
            cold: cold.is_some_and(|limit| limit.cold(now, targets[at])),
            doubtful: candidates.iter().filter(|candidate| candidate.doubtful).count(),
            list_revision: known.revision(),
        })
    }

    /// Targets that the request may go to now, of the first group that has any.
    fn usable<'a>(
        &self,
        now: Duration,
        known: &'a Targets,
        versions: &Versions<'_>,
        plan: &Plan,
        cold: Option<ColdLimit>,
    ) -> Option<(Group, Vec<&'a Arc<Target>>)> {
        let (body, room) = (plan.outgoing.body_bytes(), self.bodies_at_target());
        let usable = |target: &&Arc<Target>| {
            target.standing(now).takes_work()
                && self.region_allows(plan, target)
                && !plan.tried.contains(&target.key)
                && target.has_room(body, room)
                && cold.is_none_or(|limit| limit.may_ask(now, target))
        };
        let usable: Vec<&Arc<Target>> = known.of(&plan.service).iter().filter(usable).collect();
        let groups = versions.groups(plan.version_draw, !plan.tried.is_empty());
        if groups == [Group::Any] {
            return (!usable.is_empty()).then_some((Group::Any, usable));
        }
        let mut groups = groups.iter().map(|group| (*group, in_group(versions, *group, &usable)));
        groups.find(|(_, targets)| !targets.is_empty())
    }

    /// The targets as a choice weighs them.
    fn weigh(&self, now: Duration, targets: &[&Arc<Target>]) -> Vec<Candidate> {
        let usual = usual_others(targets, now);
        let gateways = self.gateways();
        let homes = self.uses(Mechanism::Homes);
        let near = self.uses(Mechanism::Near);
        let strains = self.uses(Mechanism::TargetStrain);
        let candidate = |target: &&Arc<Target>| Candidate {
            key: target.key,
            home: target.home().filter(|_| homes),
            load: target.load(now, usual, gateways),
            slots: target.announcement.slots,
            strain: if strains { target.strain(now) } else { 1.0 },
            near: near && target.announcement.data_hall == self.settings.data_hall,
            doubtful: self.doubtful(now, target),
        };
        targets.iter().map(candidate).collect()
    }

    /// What the choice depends on besides the candidates, which are of these targets.
    fn wish<'a>(
        &self,
        now: Duration,
        plan: &Plan,
        targets: impl Iterator<Item = &'a Arc<Target>>,
    ) -> Wish {
        // The others bear the work of those that are left alone: by a mean over all, all of them would be full.
        let left_alone = |target: &Arc<Target>| {
            let rests = target.standing(now).rest_left(now).is_some();
            rests || target.silent() || self.doubtful(now, target)
        };
        Wish {
            affinity: plan.affinity.map(|affinity| self.weighed(affinity)),
            load_bound: self.load_bound(),
            targets: targets.filter(|target| !left_alone(target)).count(),
        }
    }

    /// Whether targets of a service fetch what they lack of a prompt.
    fn fetches(&self, service: &str) -> bool {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(service));
        self.uses(Mechanism::Fetch) && service.is_some_and(|service| service.fetches)
    }

    /// Why no target can be chosen for the request.
    pub(super) fn why_no_choice(&self, plan: &Plan) -> Refusal {
        let now = self.now();
        let known = read(&self.targets);
        let there = self.suitable(&known, plan);
        let untried = there.iter().filter(|target| !plan.tried.contains(&target.key));
        let open = untried.clone().filter(|target| target.standing(now).takes_work());
        let (body, room) = (plan.outgoing.body_bytes(), self.bodies_at_target());
        if open.clone().any(|target| target.has_room(body, room)) {
            return Refusal::Cold;
        }
        if open.count() > 0 {
            return Refusal::NoRoom;
        }
        if there.iter().any(|target| target.standing(now).rest_left(now).is_some()) {
            return Refusal::BackingOff;
        }
        if untried.count() > 0 && plan.tried.is_empty() {
            return Refusal::Evacuated;
        }
        if plan.connect_cost > 0 { Refusal::ConnectFailed } else { Refusal::NoTarget }
    }

    /// Time until a target that rests can be asked, and some more, so that those who were refused do not come back
    /// all at once; `None` where none rests.
    pub(super) fn rest_left(&self, plan: &Plan) -> Option<Duration> {
        let now = self.now();
        let known = read(&self.targets);
        let there = self.suitable(&known, plan);
        let lefts = there.iter().filter_map(|target| target.standing(now).rest_left(now));
        let first = lefts.min()?;
        Some(first + BACK_FROM_REST_OVER.mul_f64(rand::random()))
    }

    /// Targets that may take the request by their version and region, and that do not leave.
    fn suitable<'a>(&self, known: &'a Targets, plan: &Plan) -> Vec<&'a Arc<Target>> {
        let versions = Versions::of(self.now(), known, plan);
        let groups = versions.groups(plan.version_draw, !plan.tried.is_empty());
        let suits = |target: &&Arc<Target>| {
            !target.leaving()
                && self.region_allows(plan, target)
                && groups.iter().any(|group| versions.holds(*group, target))
        };
        known.of(&plan.service).iter().filter(suits).collect()
    }

    /// Whether the regions of the request's route and team allow a target; one whose region is not known
    /// is allowed by none.
    fn region_allows(&self, plan: &Plan, target: &Target) -> bool {
        let of_team = plan.team.as_ref().map_or(&[][..], |team| &team.regions);
        let bound = [plan.route.regions.as_slice(), of_team];
        bound.into_iter().filter(|regions| !regions.is_empty()).all(|regions| {
            let region = self.settings.data_halls.get(&target.announcement.data_hall);
            region.is_some_and(|region| regions.contains(region))
        })
    }

    /// Counts a request that goes to a target now, if it is cold.
    pub(super) fn note_asked(&self, target: &Target) {
        if let Some(limit) = self.cold_limit(&target.announcement.service) {
            let now = self.now();
            let mut warmth = target.warmth();
            if warmth.cold(now, limit.cold_start) {
                self.metrics.asked_cold(&target.announcement.service);
                warmth.note_asked(now, limit.gap);
            }
        }
    }

    /// The affinity as it counts for the bound of loads.
    fn weighed(&self, affinity: Affinity) -> Affinity {
        match self.uses(Mechanism::CheapFirst) {
            true => affinity,
            false => Affinity { tokens: u64::MAX, ..affinity },
        }
    }

    /// Most that bodies of requests from this gateway have together at a target, in bytes.
    fn bodies_at_target(&self) -> usize {
        self.settings.bodies_at_target(self.gateways())
    }

    fn load_bound(&self) -> f64 {
        if self.uses(Mechanism::LoadBound) { self.settings.load_bound } else { f64::INFINITY }
    }

    /// What this gateway has in flight, noted as told to a member.
    pub(super) fn tell_loads(&self) -> Loads {
        let targets = read(&self.targets);
        let told = targets.all().map(|target| TargetLoad {
            target: LoadKey::of(target.key),
            requests: target.tell_in_flight(),
        });
        told.filter(|load| load.requests > 0).collect()
    }

    /// Takes what all gateways have in flight, this one as it last told.
    pub(super) fn take_loads(&self, loads: &Loads) {
        if !self.uses(Mechanism::MemberLoads) {
            return;
        }
        let now = self.now();
        let loads: HashMap<LoadKey, u32> =
            loads.all().iter().map(|load| (load.target, load.requests)).collect();
        let counts_for = loads_count_for(self.gateways(), loads.len());
        let targets = read(&self.targets);
        for target in targets.all() {
            target.note_total(
                now,
                loads.get(&LoadKey::of(target.key)).copied().unwrap_or(0),
                counts_for,
            );
        }
    }

    /// Whether a target should be left alone if another will do.
    fn doubtful(&self, now: Duration, target: &Target) -> bool {
        let health = target.health();
        let answered_lately = health.last_answer().is_some_and(|at| now < at + ANSWERED_LATELY);
        let on_trial_and_busy = health.on_trial(now) && target.in_flight() > 0;
        let paused = self.uses(Mechanism::Pauses) && (health.paused(now) || on_trial_and_busy);
        let comes_back = target.standing(now).hesitates(target.in_flight());
        paused || comes_back || (target.silent() && !answered_lately)
    }
}

/// Those of the targets that are in a group.
fn in_group<'a>(
    versions: &Versions<'_>,
    group: Group,
    targets: &[&'a Arc<Target>],
) -> Vec<&'a Arc<Target>> {
    targets.iter().copied().filter(|target| versions.holds(group, target)).collect()
}

/// Mean load that other gateways bring to the targets that told of it lately.
fn usual_others(targets: &[&Arc<Target>], now: Duration) -> f64 {
    let told: Vec<f64> = targets.iter().filter_map(|target| target.others(now)).collect();
    told.iter().sum::<f64>() / told.len().max(1) as f64
}
