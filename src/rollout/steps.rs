//! When a roll-out takes its next stage.
//!
//! The new version gets little until over half of the time is over, since some faults show late; then more by steps,
//! each only once enough answers of the step before are in. A roll-out that can't be completed in time for want of
//! evidence is rolled back: the old version still serves, while a completed roll-out can't be undone.

use std::time::Duration;

use super::Stage;
use super::judge::{Fault, judge_all, proven_healthy, suspected};
use super::tally::Compared;

/// Part of a roll-out's time for which the new version is on trial: what it gets counts from the order on when it turns
/// bad later.
const TRIAL_PART: f64 = 0.55;
/// Part of its time between two later steps.
const STEP_PART: f64 = 0.07;
/// Multiples of the first part that the new version gets step by step, before it gets all.
const RAMP: [f64; 2] = [2.5, 7.0];
/// Part of its time from which a roll-out that is not shifted yet can't be completed with care.
const LATEST_SHIFT_PART: f64 = 0.9;
/// Part of its time at which it is completed, whatever the old version still has in flight.
const COMPLETED_PART: f64 = 0.96;
/// All requests, in thousandths.
const WHOLE: u16 = 1_000;
/// Answers of the new version in a stage without which the next is not taken.
const ANSWERS_OF_STEP: u32 = 30;
/// Outcomes of the new version on each route without which it gets no more: some faults show on one route only.
const OUTCOMES_OF_ROUTE: u32 = 8;
/// Part of all outcomes from which a route counts for that; a version that is bad on a rarer one harms few.
const LEAST_ROUTE: f64 = 0.005;

/// What is known of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    /// How far it is.
    pub stage: Stage,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the stage began.
    pub in_stage: Duration,
    /// Time until it is to be completed, from the order on.
    pub lasts: Duration,
    /// Part of the requests that the new version got at first, in thousandths.
    pub trial_permille: u16,
    /// Outcomes of each route since the order, by slices of time.
    pub routes: &'a [Vec<Compared>],
    /// Whether there are more routes than outcomes are counted of.
    pub unjudged: bool,
    /// Answers of the new version when the stage began.
    pub answers_before: u32,
    /// Requests in flight at the old version, as far as gateways told.
    pub old_in_flight: u32,
}

/// The next stage, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The stage.
    pub stage: Stage,
    /// StepReason.
    pub why: StepReason,
}

/// StepReason a stage is taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StepReason {
    /// The new version is worse.
    Worse(Fault),
    /// It is no worse, and enough answers show so.
    NoWorse,
    /// The time is nearly over, and some routes have not shown enough.
    Unproven,
    /// The old version has nothing in flight any more.
    OldIdle,
    /// The time is nearly over.
    TimeUp,
}

/// The next stage, if it is time for that.
pub fn next_step(progress: &Progress<'_>) -> Option<Step> {
    if !progress.stage.under_way() {
        return None;
    }
    if let Some(fault) = judge_all(progress.routes) {
        return Some(Step { stage: Stage::RolledBack, why: StepReason::Worse(fault) });
    }
    let part = progress.part();
    if progress.stage == Stage::Shifted {
        return shifted(progress, part);
    }
    if part >= LATEST_SHIFT_PART {
        return Some(Step { stage: Stage::RolledBack, why: StepReason::Unproven });
    }
    let Stage::Part(permille) = progress.stage else {
        return None;
    };
    let stage = following(permille, progress.trial_permille);
    let long = match permille > progress.trial_permille {
        true => progress.in_stage >= progress.lasts.mul_f64(STEP_PART),
        false => part >= TRIAL_PART,
    };
    let enough = progress.answers() >= progress.answers_before + ANSWERS_OF_STEP;
    let proven = || !progress.unjudged && progress.unproven().next().is_none();
    (long && enough && proven()).then_some(Step { stage, why: StepReason::NoWorse })
}

fn shifted(progress: &Progress<'_>, part: f64) -> Option<Step> {
    let long = progress.in_stage >= progress.lasts.mul_f64(STEP_PART);
    if part >= COMPLETED_PART {
        return Some(Step { stage: Stage::Completed, why: StepReason::TimeUp });
    }
    let idle = long && progress.old_in_flight == 0;
    idle.then_some(Step { stage: Stage::Completed, why: StepReason::OldIdle })
}

/// The stage after one in which both versions get requests.
fn following(permille: u16, trial_permille: u16) -> Stage {
    let parts = RAMP.map(|times| (f64::from(trial_permille) * times) as u16);
    let more = parts.into_iter().find(|part| *part > permille && *part < WHOLE);
    more.map_or(Stage::Shifted, Stage::Part)
}

impl Progress<'_> {
    /// Part of the time that is over.
    fn part(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.lasts.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Routes, by their place, on which the new version has not shown enough to get more, or hints at a fault.
    pub fn unproven(&self) -> impl Iterator<Item = usize> {
        let all: u32 = self.routes.iter().map(|slices| outcomes(slices)).sum();
        let least = LEAST_ROUTE * f64::from(all);
        let routes = self.routes.iter().enumerate();
        let counts = routes.filter(move |(_, slices)| f64::from(outcomes(slices)) >= least);
        counts.filter(|(_, slices)| !self.proven(slices)).map(|(at, _)| at)
    }

    /// Whether a route has shown enough for the next stage. At first a few outcomes do, since little more is risked by
    /// the next part, which tells more.
    fn proven(&self, slices: &[Compared]) -> bool {
        let new: u32 = slices.iter().map(|slice| slice.new.count()).sum();
        let at_first = self.stage == Stage::Part(self.trial_permille);
        new >= OUTCOMES_OF_ROUTE && (at_first || proven_healthy(slices)) && !suspected(slices)
    }

    /// Answers of the new version.
    pub fn answers(&self) -> u32 {
        self.routes.iter().flatten().map(|slice| slice.new.times.count()).sum()
    }
}

/// Outcomes of both versions.
fn outcomes(slices: &[Compared]) -> u32 {
    slices.iter().map(|slice| slice.old.count().saturating_add(slice.new.count())).sum()
}
