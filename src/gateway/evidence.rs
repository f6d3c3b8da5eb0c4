//! What all gateways together saw of targets: which of them to leave, and to come back to.

use std::collections::HashMap;
use std::time::Duration;

use slog::info;

use super::Gateway;
use super::health::Tally;
use super::mechanism::Mechanism;
use super::target::Target;
use crate::group::evidence::{Evidence, Outcomes};
use crate::group::loads::LoadKey;
use crate::sync::read;

/// Gateways that must have met failures at a target: one alone may be cut off itself.
const REPORTERS: u16 = 2;
/// Outcomes that a target without failures is thought to have had.
const OUTCOMES_OF_SOUND: f64 = 8.0;
/// Failure rate below which others are answered at a target.
const CALM: f64 = 0.35;
/// Answers that show so.
const ANSWERS: f32 = 1.5;
/// Failure rate from which a target that keeps prompts is left: at another one they are read again, so that one
/// which fails less is better kept. Where eleven of 18 engines lose 0.4 of their answers for 4 s, and every clear
/// difference is a reason to leave, they are left and used again by turns: 1.11 million tokens are read again in a day
/// rather than 0.75, while as many requests are served (docs/design/shifted-work.md).
const BAD_KEEPER: f64 = 0.5;
/// Time for each gateway alive over which they come back to a target that they left together: so ten a second
/// try it, and those that fail are told of before many more do.
const SPREAD_EACH: Duration = Duration::from_millis(100);
/// Longest such time.
const LONGEST_SPREAD: Duration = Duration::from_secs(4);

/// What evidence of a target calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// To leave it: it does worse than the others.
    Leave,
    /// To come back, if it was left: others are answered there.
    Return,
    /// Nothing.
    Stay,
}

/// How attempts at a target went, as all gateways tell.
pub fn tally(now: Duration, evidence: Option<&Evidence>) -> Tally {
    let Some(evidence) = evidence else {
        return Tally::of(now, 0.0, OUTCOMES_OF_SOUND);
    };
    let failed = f64::from(evidence.failed);
    Tally::of(now, failed, failed + f64::from(evidence.answered))
}

/// Judges a target beside the others of its service, which keep prompts or do not.
pub fn judge(now: Duration, evidence: &Evidence, others: &[Tally], keeps_prompts: bool) -> Verdict {
    let tally = tally(now, Some(evidence));
    let bad = !keeps_prompts || tally.failure_rate() >= BAD_KEEPER;
    if evidence.reporters >= REPORTERS && bad && tally.worse_than(others) {
        return Verdict::Leave;
    }
    match tally.failure_rate() < CALM && evidence.answered >= ANSWERS {
        true => Verdict::Return,
        false => Verdict::Stay,
    }
}

/// Time over which so many gateways come back to a target that they left together.
pub fn spread(gateways: u32) -> Duration {
    (SPREAD_EACH * gateways).min(LONGEST_SPREAD)
}

impl Gateway {
    /// How attempts went since the last word.
    pub(super) fn tell_outcomes(&self) -> Vec<Outcomes> {
        read(&self.targets).all().filter_map(|target| target.tell_outcomes()).collect()
    }

    /// Takes what all gateways saw of the targets at which attempts failed.
    pub(super) fn take_evidence(&self, word: &[Evidence]) {
        if word.is_empty() || !self.uses(Mechanism::Evidence) {
            return;
        }
        let now = self.now();
        let told: HashMap<LoadKey, &Evidence> =
            word.iter().map(|evidence| (evidence.target, evidence)).collect();
        let targets = read(&self.targets);
        for target in targets.all() {
            let Some(evidence) = told.get(&LoadKey::of(target.key)) else {
                continue;
            };
            let of_service = targets.of(&target.announcement.service).iter();
            let others = of_service.filter(|other| other.key != target.key && other.in_service());
            let others: Vec<Tally> = others
                .map(|other| tally(now, told.get(&LoadKey::of(other.key)).copied()))
                .collect();
            let since_left = target.health().since_left(now, evidence);
            match judge(now, &since_left, &others, self.keeps_prompts(target)) {
                Verdict::Leave => self.leave_together(now, target, evidence),
                Verdict::Return => {
                    target.health().return_together(now);
                }
                Verdict::Stay => {}
            }
        }
    }

    /// Whether targets of its service keep what they have read of prompts.
    fn keeps_prompts(&self, target: &Target) -> bool {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(&target.announcement.service));
        service.is_some_and(|service| service.engine)
    }

    fn leave_together(&self, now: Duration, target: &Target, evidence: &Evidence) {
        let spread = spread(self.gateways());
        if target.health().leave_together(now, evidence, spread, rand::random()) {
            self.metrics.ejected_by_fleet(&target.announcement.service);
            info!(self.log, "target left by all"; "event" => "target_left_by_all",
                "target" => &target.announcement.id, "service" => &target.announcement.service,
                "evidence" => ?evidence);
        }
    }
}
