//! During the roll-out of a new version of a service: which version a request goes to, and the
//! outcomes that this gateway observes of both.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Gateway;
use super::exchange::RequestState;
use super::target::Target;
use super::targets::Targets;
use crate::clock::Instant;
use crate::rollout::tally::{RouteKey, Side, Subject, Tallies};
use crate::rollout::{RolloutState, Stage};
use crate::sync::{lock, read};

/// Minimum number of trial targets, so that the failure of a single one does not decide about the
/// version.
const MIN_TRIAL_TARGETS: usize = 2;

/// A group of targets of a service, by version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGroup {
    /// Targets of any version.
    Any,
    /// Targets of any version except the new one.
    Old,
    /// Some targets of the new version, each of which gets as many requests as one of the old.
    Trial,
    /// Targets of the new version.
    New,
}

/// The groups that a request may go to; the first with a usable target is taken. `draw` is a random
/// number from 0 to 1 for the request. A retry never goes to a version on trial.
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

/// Number of trial targets for a share of the requests, such that each gets as many requests as a
/// target of the old version: some faults only show under load.
pub fn trial_size(share: f64, old: usize, new: usize) -> usize {
    let as_loaded = (old as f64 * share / (1.0 - share).max(f64::EPSILON)).ceil() as usize;
    as_loaded.max(MIN_TRIAL_TARGETS).min(new)
}

/// The targets of a service, with the roll-out that divides them by version.
pub(super) struct Versions<'a> {
    of_service: &'a [Arc<Target>],
    rollout: Option<&'a RolloutState>,
    /// Stage of the roll-out on the request's route.
    stage: Option<Stage>,
    /// New targets with a trial rank below this one are on trial.
    trial_ranks_below: u64,
}

impl<'a> Versions<'a> {
    /// The targets of the request's service, and the stage on its route.
    pub(super) fn new(now: Duration, known: &'a Targets, state: &RequestState) -> Self {
        let (of_service, rollout) = (known.of(&state.service), known.rollout(&state.service));
        let stage = rollout.map(|rollout| known.stage_on_route(now, rollout, &state.route.name));
        let mut versions = Versions { of_service, rollout, stage, trial_ranks_below: 0 };
        if let Some(rollout) = rollout.filter(|rollout| matches!(rollout.stage, Stage::Part(_))) {
            versions.trial_ranks_below = versions.trial_end(rollout);
        }
        versions
    }

    fn trial_end(&self, rollout: &RolloutState) -> u64 {
        let alive = self.of_service.iter().filter(|target| target.in_service());
        let (new, old): (Vec<_>, Vec<_>) = alive.partition(|target| self.is_new(target));
        let count = trial_size(rollout.stage.share(), old.len(), new.len());
        let mut ranks: Vec<u64> = new.iter().map(|target| trial_rank(rollout, target)).collect();
        ranks.sort_unstable();
        count.checked_sub(1).and_then(|last| ranks.get(last)).map_or(0, |last| last + 1)
    }

    /// The groups that a request may go to, in order of preference.
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
                let on_trial = |rollout| trial_rank(rollout, target) < self.trial_ranks_below;
                self.is_new(target) && self.rollout.is_some_and(on_trial)
            }
        }
    }

    /// Whether the roll-out allows sending requests to a target, whatever group they belong to.
    pub(super) fn may_receive(&self, target: &Target) -> bool {
        self.rollout.is_none_or(|rollout| rollout.stage.may_send(is_new(rollout, target)))
    }

    fn is_new(&self, target: &Target) -> bool {
        self.rollout.is_some_and(|rollout| is_new(rollout, target))
    }
}

/// Rank of a target among the candidates for the trial: the same at all gateways, different for
/// each roll-out.
fn trial_rank(rollout: &RolloutState, target: &Target) -> u64 {
    xxh3_64_with_seed(&target.key.to_le_bytes(), rollout.at) >> 1
}

/// Whether the target runs the new version of the roll-out.
fn is_new(rollout: &RolloutState, target: &Target) -> bool {
    rollout.version == target.announcement.version
}

impl Targets {
    /// Requests of this gateway that are in flight at targets to which it may send none any more, because of their
    /// version.
    pub(super) fn in_flight_at_forbidden_versions(&self) -> u32 {
        let of_rollout = |rollout: &RolloutState| -> u32 {
            let targets = self.of(&rollout.service).iter();
            let forbidden =
                targets.filter(|target| !rollout.stage.may_send(is_new(rollout, target)));
            forbidden.map(|target| target.in_flight()).sum()
        };
        self.rollouts().map(of_rollout).sum()
    }
}

impl Gateway {
    /// What outcomes of a request at a target are counted under. `None` if no roll-out is under
    /// way, or if the target is cold and therefore slow.
    pub(super) fn subject(
        &self,
        known: &Targets,
        state: &RequestState,
        target: &Target,
    ) -> Option<Subject> {
        let rollout = known.rollout(&state.service).filter(|rollout| rollout.stage.under_way())?;
        let cold = self.cold_limit(&state.service, state.sending);
        if cold.is_some_and(|limit| limit.cold(self.now(), target)) {
            return None;
        }
        let side = if is_new(rollout, target) { Side::New } else { Side::Old };
        Some(Subject { rollout: rollout.at, route: RouteKey::of(&state.route.name), side })
    }

    /// Whether the roll-out of its service allows sending requests to a target.
    pub(super) fn version_may_receive(&self, target: &Target) -> bool {
        let known = read(&self.targets);
        let rollout = known.rollout(&target.announcement.service);
        rollout.is_none_or(|rollout| rollout.stage.may_send(is_new(rollout, target)))
    }

    /// Counts a request that failed because of its target.
    pub(super) fn note_version_failure(&self, state: &RequestState) {
        if let Some((subject, _)) = state.counted_under {
            lock(&self.tallies).record_failure(subject);
        }
    }

    /// Counts a request whose answer has begun or is complete, with the time it took.
    pub(super) fn note_version_answer(&self, state: &RequestState) {
        if let Some((subject, began)) = state.counted_under {
            let took = Instant::now().saturating_duration_since(began);
            lock(&self.tallies).record_answer(subject, took);
        }
    }

    /// Takes the outcomes that are not yet reported to a member.
    pub(super) fn take_tallies(&self) -> Tallies {
        std::mem::take(&mut *lock(&self.tallies))
    }
}
