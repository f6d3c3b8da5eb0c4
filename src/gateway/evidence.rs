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
const MIN_REPORTERS: u16 = 2;
/// Outcomes that a target without failures is thought to have had.
const OUTCOMES_WITHOUT_FAILURES: f64 = 8.0;
/// Failure rate below which others are answered at a target.
const RECOVERED_FAILURE_RATE: f64 = 0.35;
/// Answers that show so.
const MIN_ANSWERS: f32 = 1.5;
/// Failure rate from which a target that keeps prompts is left: at another one they are read again, so that one
/// which fails less is better kept. Where eleven of 18 engines lose 0.4 of their answers for 4 s, and every clear
/// difference is a reason to leave, they are left and used again by turns: 1.11 million tokens are read again in a day
/// rather than 0.75, while as many requests are served (docs/design/shifted-work.md).
const MIN_FAILURE_RATE_WITH_PROMPTS: f64 = 0.5;
/// Time for each gateway alive over which they come back to a target that they left together: so ten a second
/// try it, and those that fail are told of before many more do.
const RETURN_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(100);
/// Longest such time.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(4);

/// What evidence of a target calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// To leave it: it does worse than the others.
    Eject,
    /// To come back, if it was left: others are answered there.
    Restore,
    /// Nothing.
    Keep,
}

/// How attempts at a target went, as all gateways tell.
pub fn tally(now: Duration, evidence: Option<&Evidence>) -> Tally {
    let Some(evidence) = evidence else {
        return Tally::of(now, 0.0, OUTCOMES_WITHOUT_FAILURES);
    };
    let failed = f64::from(evidence.failed);
    Tally::of(now, failed, failed + f64::from(evidence.answered))
}

/// Judges a target beside the others of its service, which keep prompts or do not.
pub fn judge(now: Duration, evidence: &Evidence, others: &[Tally], keeps_prompts: bool) -> Verdict {
    let tally = tally(now, Some(evidence));
    let may_eject = !keeps_prompts || tally.failure_rate() >= MIN_FAILURE_RATE_WITH_PROMPTS;
    if evidence.reporters >= MIN_REPORTERS && may_eject && tally.worse_than(others) {
        return Verdict::Eject;
    }
    match tally.failure_rate() < RECOVERED_FAILURE_RATE && evidence.answered >= MIN_ANSWERS {
        true => Verdict::Restore,
        false => Verdict::Keep,
    }
}

/// Time over which so many gateways come back to a target that they left together.
pub fn return_spread(gateways: u32) -> Duration {
    (RETURN_SPREAD_PER_GATEWAY * gateways).min(MAX_RETURN_SPREAD)
}

impl Gateway {
    /// How attempts went since the last word.
    pub(super) fn take_outcomes(&self) -> Vec<Outcomes> {
        read(&self.targets).all().filter_map(|target| target.take_outcomes()).collect()
    }

    /// Takes what all gateways saw of the targets at which attempts failed.
    pub(super) fn apply_evidence(&self, reports: &[Evidence]) {
        if reports.is_empty() || !self.uses(Mechanism::Evidence) {
            return;
        }
        let now = self.now();
        let by_target: HashMap<LoadKey, &Evidence> =
            reports.iter().map(|evidence| (evidence.target, evidence)).collect();
        let targets = read(&self.targets);
        for target in targets.all() {
            let Some(evidence) = by_target.get(&LoadKey::of(target.key)) else {
                continue;
            };
            let of_service = targets.of(&target.announcement.service).iter();
            let others = of_service.filter(|other| other.key != target.key && other.in_service());
            let others: Vec<Tally> = others
                .map(|other| tally(now, by_target.get(&LoadKey::of(other.key)).copied()))
                .collect();
            let evidence_since_ejection = target.health().evidence_since_ejection(now, evidence);
            match judge(now, &evidence_since_ejection, &others, self.keeps_prompts(target)) {
                Verdict::Eject => self.eject_on_evidence(now, target, evidence),
                Verdict::Restore => {
                    target.health().restore_on_evidence(now);
                }
                Verdict::Keep => {}
            }
        }
    }

    /// Whether targets of its service keep what they have read of prompts.
    fn keeps_prompts(&self, target: &Target) -> bool {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(&target.announcement.service));
        service.is_some_and(|service| service.engine)
    }

    fn eject_on_evidence(&self, now: Duration, target: &Target, evidence: &Evidence) {
        let return_spread = return_spread(self.gateways());
        if target.health().eject_on_evidence(now, evidence, return_spread, rand::random()) {
            self.metrics.left_together(&target.announcement.service);
            info!(self.log, "target left by all"; "event" => "target_left_by_all",
                "target" => &target.announcement.id, "service" => &target.announcement.service,
                "evidence" => ?evidence);
        }
    }
}
