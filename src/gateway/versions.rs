//! Which version of a service a request goes to while one takes the place of another, and what this gateway saw of both.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Gateway;
use super::exchange::Plan;
use super::target::Target;
use super::targets::Targets;
use crate::clock::Instant;
use crate::rollout::tally::{RouteKey, Side, Subject, Tallies};
use crate::rollout::{RolloutTold, Stage};
use crate::sync::{lock, read};

/// Least targets of a version on trial that get work, so that one that ends shows nothing of the others.
const LEAST_ON_TRIAL: usize = 2;

/// Targets of a service that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Those of either version.
    Any,
    /// Those of any version but the new one.
    Old,
    /// A few of the new version, each of which gets as much as one of the old.
    Trial,
    /// Those of the new version.
    New,
}

/// The groups that a request goes to, the first that has a target for it. `lot` is drawn from 0 to 1 for the request;
/// one that was sent before, `again`, goes to what has served so far.
pub fn groups(stage: Option<Stage>, lot: f64, again: bool) -> &'static [Group] {
    match stage {
        None => &[Group::Any],
        Some(part @ Stage::Part(_)) if !again && lot < part.share() => &[Group::Trial, Group::Old],
        Some(Stage::Part(_) | Stage::RolledBack) => &[Group::Old],
        Some(Stage::Shifted) => &[Group::New, Group::Old],
        Some(Stage::Completed) => &[Group::New],
    }
}

/// How many targets of a new version get its part of the requests, so that each has as many as one of so many of the
/// old: some faults show under load only.
pub fn on_trial(share: f64, old: usize, new: usize) -> usize {
    let as_loaded = (old as f64 * share / (1.0 - share).max(f64::EPSILON)).ceil() as usize;
    as_loaded.max(LEAST_ON_TRIAL).min(new)
}

/// Targets of a service, told apart by a roll-out.
pub(super) struct Versions<'a> {
    of_service: &'a [Arc<Target>],
    told: Option<&'a RolloutTold>,
    /// Stage on the route of the request.
    stage: Option<Stage>,
    /// Place in the order of all gateways up to which new targets are on trial.
    trial_below: u64,
}

impl<'a> Versions<'a> {
    /// Of the service and route that a request is for.
    pub(super) fn of(now: Duration, known: &'a Targets, plan: &Plan) -> Self {
        let (of_service, told) = (known.of(&plan.service), known.rollout(&plan.service));
        let stage = told.map(|told| known.stage_on_route(now, told, &plan.route.name));
        let mut versions = Versions { of_service, told, stage, trial_below: 0 };
        if let Some(told) = told.filter(|told| matches!(told.stage, Stage::Part(_))) {
            versions.trial_below = versions.trial_end(told);
        }
        versions
    }

    fn trial_end(&self, told: &RolloutTold) -> u64 {
        let alive = self.of_service.iter().filter(|target| target.in_service());
        let (new, old): (Vec<_>, Vec<_>) = alive.partition(|target| self.is_new(target));
        let count = on_trial(told.stage.share(), old.len(), new.len());
        let mut places: Vec<u64> = new.iter().map(|target| place(told, target)).collect();
        places.sort_unstable();
        count.checked_sub(1).and_then(|last| places.get(last)).map_or(0, |last| last + 1)
    }

    /// Groups that a request goes to.
    pub(super) fn groups(&self, lot: f64, again: bool) -> &'static [Group] {
        groups(self.stage, lot, again)
    }

    /// Whether a target is in a group.
    pub(super) fn holds(&self, group: Group, target: &Target) -> bool {
        match group {
            Group::Any => true,
            Group::Old => !self.is_new(target),
            Group::New => self.is_new(target),
            Group::Trial => {
                let early = |told| place(told, target) < self.trial_below;
                self.is_new(target) && self.told.is_some_and(early)
            }
        }
    }

    fn is_new(&self, target: &Target) -> bool {
        self.told.is_some_and(|told| told.version == target.announcement.version)
    }
}

/// Place of a target in an order that is the same at all gateways, and another for each roll-out.
fn place(told: &RolloutTold, target: &Target) -> u64 {
    xxh3_64_with_seed(&target.key.to_le_bytes(), told.at) >> 1
}

impl Gateway {
    /// What outcomes of a request at a target are counted under; `None` where no roll-out is under way, or the target
    /// is slow for now because it has just started.
    pub(super) fn subject(&self, known: &Targets, plan: &Plan, target: &Target) -> Option<Subject> {
        let told = known.rollout(&plan.service).filter(|told| told.stage.under_way())?;
        let cold = self.cold_limit(&plan.service);
        if cold.is_some_and(|limit| limit.cold(self.now(), target)) {
            return None;
        }
        let new = told.version == target.announcement.version;
        let side = if new { Side::New } else { Side::Old };
        Some(Subject { rollout: told.at, route: RouteKey::of(&plan.route.name), side })
    }

    /// Whether a roll-out of its service allows a target to be sent anything.
    pub(super) fn version_serves(&self, target: &Target) -> bool {
        let known = read(&self.targets);
        let told = known.rollout(&target.announcement.service);
        told.is_none_or(|told| told.stage.may_send(told.version == target.announcement.version))
    }

    /// The request failed by its target's doing.
    pub(super) fn note_version_failed(&self, plan: &Plan) {
        if let Some((subject, _)) = plan.counted_under {
            lock(&self.tallies).note_failed(subject);
        }
    }

    /// The request's answer began, or is there.
    pub(super) fn note_version_answered(&self, plan: &Plan) {
        if let Some((subject, began)) = plan.counted_under {
            let took = Instant::now().saturating_duration_since(began);
            lock(&self.tallies).note_answered(subject, took);
        }
    }

    /// What was seen since the last word.
    pub(super) fn tell_tallies(&self) -> Tallies {
        std::mem::take(&mut *lock(&self.tallies))
    }
}
