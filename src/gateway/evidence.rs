//! Ejects and restores targets on the evidence of all gateways, as the members report it.

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

/// Minimum number of gateways that must report failures: a single one may itself have lost its
/// network connection.
const MIN_REPORTERS: u16 = 2;
/// Number of outcomes assumed for a target that the members do not list because it has no failures.
const OUTCOMES_WITHOUT_FAILURES: f64 = 8.0;
/// Failure rate below which a target counts as recovered.
const RECOVERED_FAILURE_RATE: f64 = 0.35;
/// Minimum number of answers for a target to count as recovered.
const MIN_ANSWERS: f32 = 1.5;
/// Minimum failure rate to eject a target that caches prompts. Elsewhere its prompts would have to
/// be processed again, so that a target with fewer failures is better kept.
///
/// Simulated with eleven of 18 engines that lose 40% of their answers for 4 s: if every significant
/// difference led to an ejection, targets would be ejected and restored in turns, and 1.11 million
/// tokens a day would be processed again instead of 0.75 million, with the same number of requests
/// served (docs/design/shifted-work.md).
const MIN_FAILURE_RATE_WITH_PROMPTS: f64 = 0.5;
/// Time for each gateway over which the gateways return to an ejected target: ten gateways a second
/// try it, and their failures are reported before many more do.
const RETURN_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(100);
/// Maximum of that time in total.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(4);

/// What to do with a target on the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Eject it: it fails more often than the others.
    Eject,
    /// Restore it, if it is ejected: requests of other gateways are answered.
    Restore,
    /// Leave its state as it is.
    Keep,
}

/// How attempts at a target went at all gateways.
pub fn tally(now: Duration, evidence: Option<&Evidence>) -> Tally {
    let Some(evidence) = evidence else {
        return Tally::of(now, 0.0, OUTCOMES_WITHOUT_FAILURES);
    };
    let failed = f64::from(evidence.failed);
    Tally::of(now, failed, failed + f64::from(evidence.answered))
}

/// Compares a target with the others of its service. `keeps_prompts` is whether these cache
/// prompts.
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

/// Time over which the gateways return to a target that all of them ejected.
pub fn return_spread(gateways: u32) -> Duration {
    (RETURN_SPREAD_PER_GATEWAY * gateways).min(MAX_RETURN_SPREAD)
}

impl Gateway {
    /// Takes the outcomes of attempts that are not yet reported to a member.
    pub(super) fn take_outcomes(&self) -> Vec<Outcomes> {
        read(&self.targets).all().filter_map(|target| target.take_outcomes()).collect()
    }

    /// Applies the evidence of all gateways about the targets at which attempts failed.
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

    /// Whether the targets of its service cache processed prompts.
    fn keeps_prompts(&self, target: &Target) -> bool {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(&target.announcement.service));
        service.is_some_and(|service| service.engine)
    }

    fn eject_on_evidence(&self, now: Duration, target: &Target, evidence: &Evidence) {
        let return_spread = return_spread(self.gateways());
        if target.health().eject_on_evidence(now, evidence, return_spread, rand::random()) {
            self.metrics.ejected_by_fleet(&target.announcement.service);
            info!(self.log, "target ejected on the evidence of all gateways"; "event" => "target_left_by_all",
                "target" => &target.announcement.id, "service" => &target.announcement.service,
                "evidence" => ?evidence);
        }
    }
}
