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
const MIN_TRIAL_TARGETS: usize = 2;

/// Targets of a service that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGroup {
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
pub fn groups(stage: Option<Stage>, draw: f64, is_retry: bool) -> &'static [VersionGroup] {
    match stage {
        None => &[VersionGroup::Any],
        Some(part @ Stage::Part(_)) if !is_retry && draw < part.share() => {
            &[VersionGroup::Trial, VersionGroup::Old]
        }
        Some(Stage::Part(_) | Stage::RolledBack) => &[VersionGroup::Old],
        Some(Stage::Shifted) => &[VersionGroup::New, VersionGroup::Old],
        Some(Stage::Completed) => &[VersionGroup::New],
    }
}

/// How many targets of a new version get its part of the requests, so that each has as many as one of so many of the
/// old: some faults show under load only.
pub fn trial_size(share: f64, old: usize, new: usize) -> usize {
    let as_loaded = (old as f64 * share / (1.0 - share).max(f64::EPSILON)).ceil() as usize;
    as_loaded.max(MIN_TRIAL_TARGETS).min(new)
}

/// Targets of a service, told apart by a roll-out.
pub(super) struct Versions<'a> {
    of_service: &'a [Arc<Target>],
    rollout: Option<&'a RolloutTold>,
    /// Stage on the route of the request.
    stage: Option<Stage>,
    /// Place in the order of all gateways up to which new targets are on trial.
    trial_ranks_below: u64,
}

impl<'a> Versions<'a> {
    /// Of the service and route that a request is for.
    pub(super) fn new(now: Duration, known: &'a Targets, plan: &Plan) -> Self {
        let (of_service, rollout) = (known.of(&plan.service), known.rollout(&plan.service));
        let stage = rollout.map(|rollout| known.stage_on_route(now, rollout, &plan.route.name));
        let mut versions = Versions { of_service, rollout, stage, trial_ranks_below: 0 };
        if let Some(rollout) = rollout.filter(|rollout| matches!(rollout.stage, Stage::Part(_))) {
            versions.trial_ranks_below = versions.trial_end(rollout);
        }
        versions
    }

    fn trial_end(&self, rollout: &RolloutTold) -> u64 {
        let alive = self.of_service.iter().filter(|target| target.in_service());
        let (new, old): (Vec<_>, Vec<_>) = alive.partition(|target| self.is_new(target));
        let count = trial_size(rollout.stage.share(), old.len(), new.len());
        let mut places: Vec<u64> = new.iter().map(|target| trial_rank(rollout, target)).collect();
        places.sort_unstable();
        count.checked_sub(1).and_then(|last| places.get(last)).map_or(0, |last| last + 1)
    }

    /// Groups that a request goes to.
    pub(super) fn groups(&self, draw: f64, is_retry: bool) -> &'static [VersionGroup] {
        groups(self.stage, draw, is_retry)
    }

    /// Whether a target is in a group.
    pub(super) fn contains(&self, group: VersionGroup, target: &Target) -> bool {
        match group {
            VersionGroup::Any => true,
            VersionGroup::Old => !self.is_new(target),
            VersionGroup::New => self.is_new(target),
            VersionGroup::Trial => {
                let early = |rollout| trial_rank(rollout, target) < self.trial_ranks_below;
                self.is_new(target) && self.rollout.is_some_and(early)
            }
        }
    }

    fn is_new(&self, target: &Target) -> bool {
        self.rollout.is_some_and(|rollout| rollout.version == target.announcement.version)
    }
}

/// Place of a target in an order that is the same at all gateways, and another for each roll-out.
fn trial_rank(rollout: &RolloutTold, target: &Target) -> u64 {
    xxh3_64_with_seed(&target.key.to_le_bytes(), rollout.at) >> 1
}

impl Gateway {
    /// What outcomes of a request at a target are counted under; `None` where no roll-out is under way, or the target
    /// is slow for now because it has just started.
    pub(super) fn subject(&self, known: &Targets, plan: &Plan, target: &Target) -> Option<Subject> {
        let rollout = known.rollout(&plan.service).filter(|rollout| rollout.stage.under_way())?;
        let cold = self.cold_limit(&plan.service);
        if cold.is_some_and(|limit| limit.cold(self.now(), target)) {
            return None;
        }
        let new = rollout.version == target.announcement.version;
        let side = if new { Side::New } else { Side::Old };
        Some(Subject { rollout: rollout.at, route: RouteKey::of(&plan.route.name), side })
    }

    /// Whether a roll-out of its service allows a target to be sent anything.
    pub(super) fn version_may_receive(&self, target: &Target) -> bool {
        let known = read(&self.targets);
        let rollout = known.rollout(&target.announcement.service);
        rollout.is_none_or(|rollout| {
            rollout.stage.may_send(rollout.version == target.announcement.version)
        })
    }

    /// The request failed by its target's doing.
    pub(super) fn note_version_failure(&self, plan: &Plan) {
        if let Some((subject, _)) = plan.counted_under {
            lock(&self.tallies).note_failed(subject);
        }
    }

    /// The request's answer began, or is there.
    pub(super) fn note_version_answer(&self, plan: &Plan) {
        if let Some((subject, began)) = plan.counted_under {
            let took = Instant::now().saturating_duration_since(began);
            lock(&self.tallies).note_answered(subject, took);
        }
    }

    /// What was seen since the last word.
    pub(super) fn take_tallies(&self) -> Tallies {
        std::mem::take(&mut *lock(&self.tallies))
    }
}
