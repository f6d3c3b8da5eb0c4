//! Decides when a roll-out moves to its next stage.
//!
//! The new version gets few requests until more than half of the time has passed, since some faults show late. Then it
//! gets more in steps, each only once the step before has given enough answers. A roll-out that can't be completed in
//! time for lack of evidence is rolled back, since the old version still serves, while a completed roll-out can't be
//! undone.

use std::time::Duration;

use super::Stage;
use super::history::RouteHistory;
use super::judge::{Fault, judge_all, proven_healthy, suspected};
use super::shifted::suspected_after_shift;
use super::tally::Compared;

/// Fraction of a roll-out's time for which the new version stays in the first stage. If it turns bad later, all
/// requests that it got since the order count as harm, so it gets few until then.
const TRIAL_FRACTION: f64 = 0.55;
/// Minimum time between two later steps, as a fraction of the roll-out's time.
const STEP_FRACTION: f64 = 0.07;
/// Fractions of the requests in the steps between the first stage and all requests, as multiples of the first.
const RAMP: [f64; 2] = [2.5, 7.0];
/// Fraction of its time from which a roll-out that has not reached [`Stage::Shifted`] is rolled back: too little time
/// remains to complete it safely.
const LATEST_SHIFT_FRACTION: f64 = 0.9;
/// Minimum time between the shift and completion: outcomes of all gateways under the whole load arrive only after some
/// reports.
const MIN_SHIFTED: Duration = Duration::from_secs(2);
/// Fraction of its time at which a shifted roll-out is completed, even if the old version has requests in flight.
const COMPLETION_FRACTION: f64 = 0.96;
/// All requests, in thousandths.
const ALL_PERMILLE: u16 = 1_000;
/// Minimum number of answers of the new version in a stage before the next one.
const MIN_STEP_ANSWERS: u32 = 30;
/// Minimum number of outcomes of the new version on each route before the next stage, since some faults show on one
/// route only.
const MIN_ROUTE_OUTCOMES: u32 = 8;
/// Minimum fraction of all outcomes for a route to be required to prove healthy; a version that is bad on a rarer route
/// does little harm.
const MIN_ROUTE_FRACTION: f64 = 0.005;

/// State of a roll-out from which its next stage is decided.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    /// Its present stage.
    pub stage: Stage,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the stage began.
    pub in_stage: Duration,
    /// Time from the order within which it must be completed.
    pub lasts: Duration,
    /// Fraction of the requests for the new version in the first stage, in thousandths.
    pub trial_permille: u16,
    /// Outcomes on each route since the order.
    pub routes: &'a [RouteHistory],
    /// Whether some routes may be missing because there are more than can be counted.
    pub unjudged: bool,
    /// Number of answers of the new version when the stage began.
    pub answers_before: u32,
    /// Requests in flight at the old version, as reported by gateways.
    pub old_in_flight: u32,
}

/// The next stage and its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The next stage.
    pub stage: Stage,
    /// Why it follows.
    pub why: StepReason,
}

/// Why a roll-out moves to its next stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StepReason {
    /// The new version is worse than the old one.
    Worse(Fault),
    /// Enough answers show that the new version is no worse.
    NoWorse,
    /// The time is nearly over, and the new version is not proven healthy on all routes.
    Unproven,
    /// The old version has no request in flight any more.
    OldIdle,
    /// The time is nearly over.
    TimeUp,
}

/// Returns the next stage if the roll-out should move to it now.
pub fn next_step(progress: &Progress<'_>) -> Option<Step> {
    if !progress.stage.under_way() {
        return None;
    }
    if let Some(fault) = judge_all(progress.routes) {
        return Some(Step { stage: Stage::RolledBack, why: StepReason::Worse(fault) });
    }
    let fraction = progress.time_fraction();
    if progress.stage == Stage::Shifted {
        return after_shift(progress, fraction);
    }
    if fraction >= LATEST_SHIFT_FRACTION {
        return Some(Step { stage: Stage::RolledBack, why: StepReason::Unproven });
    }
    let Stage::Part(permille) = progress.stage else {
        return None;
    };
    let stage = stage_after(permille, progress.trial_permille);
    let long_enough = match permille > progress.trial_permille {
        true => progress.in_stage >= progress.lasts.mul_f64(STEP_FRACTION),
        false => fraction >= TRIAL_FRACTION,
    };
    let enough_answers = progress.answers() >= progress.answers_before + MIN_STEP_ANSWERS;
    let proven = || !progress.unjudged && progress.unproven().next().is_none();
    (long_enough && enough_answers && proven()).then_some(Step { stage, why: StepReason::NoWorse })
}

/// The stage after [`Stage::Shifted`], once the old version is idle or the time is nearly over. A version that is
/// suspected of a fault is not completed.
fn after_shift(progress: &Progress<'_>, time_fraction: f64) -> Option<Step> {
    let suspected = progress.routes.iter().any(suspected_after_shift);
    if time_fraction >= COMPLETION_FRACTION {
        return Some(match suspected {
            true => Step { stage: Stage::RolledBack, why: StepReason::Unproven },
            false => Step { stage: Stage::Completed, why: StepReason::TimeUp },
        });
    }
    let min_shifted = progress.lasts.mul_f64(STEP_FRACTION).max(MIN_SHIFTED);
    let idle = progress.in_stage >= min_shifted && progress.old_in_flight == 0;
    (idle && !suspected).then_some(Step { stage: Stage::Completed, why: StepReason::OldIdle })
}

/// The stage after one in which the new version gets `permille` thousandths of the requests.
fn stage_after(permille: u16, trial_permille: u16) -> Stage {
    let ramp = RAMP.map(|multiple| (f64::from(trial_permille) * multiple) as u16);
    let next = ramp.into_iter().find(|step| *step > permille && *step < ALL_PERMILLE);
    next.map_or(Stage::Shifted, Stage::Part)
}

impl Progress<'_> {
    /// Fraction of the roll-out's time that has passed.
    fn time_fraction(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.lasts.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Indices of the routes on which the new version has not proven healthy or is suspected of a fault.
    pub fn unproven(&self) -> impl Iterator<Item = usize> {
        let all: u32 = self.routes.iter().map(outcomes).sum();
        let min_outcomes = MIN_ROUTE_FRACTION * f64::from(all);
        let routes = self.routes.iter().enumerate();
        let required = routes.filter(move |(_, route)| f64::from(outcomes(route)) >= min_outcomes);
        required.filter(|(_, route)| !self.proven(route)).map(|(at, _)| at)
    }

    /// Whether the outcomes on a route allow the next stage. In the first stage a few outcomes are enough, since the
    /// second one risks little more and gives more evidence.
    fn proven(&self, route: &RouteHistory) -> bool {
        let compared = &route.compared;
        let new: u32 = compared.iter().map(|slice| slice.new.count()).sum();
        let first_stage = self.stage == Stage::Part(self.trial_permille);
        let healthy = first_stage || proven_healthy(compared);
        let suspected = suspected(compared) || suspected_after_shift(route);
        new >= MIN_ROUTE_OUTCOMES && healthy && !suspected
    }

    /// Number of answers of the new version from the order until the shift.
    pub fn answers(&self) -> u32 {
        let slices = self.routes.iter().flat_map(|route| &route.compared);
        slices.map(|slice| slice.new.latencies.count()).sum()
    }
}

/// Number of outcomes of both versions until the shift.
fn outcomes(route: &RouteHistory) -> u32 {
    let of_both = |slice: &Compared| slice.old.count().saturating_add(slice.new.count());
    route.compared.iter().map(of_both).sum()
}
