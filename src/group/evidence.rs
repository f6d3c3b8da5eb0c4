//! Outcomes of attempts at each target, summed over all gateways.
//!
//! With a hundred targets, a gateway sends to each of them only once in many seconds. By itself it would notice a
//! failing target late, and by failed attempts of its own, while other gateways have seen the failures already.
//! Gateways report the outcomes of their attempts to their member along with their loads; members sum them, exchange
//! the sums, and send gateways those of the targets at which attempts failed. The weight of a single gateway is
//! bounded, since it may itself be cut off from the targets or report wrong numbers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::loads::LoadKey;

/// Time after which an outcome counts half: at seven requests a second for a target, about ten outcomes count.
const HALF_LIFE: Duration = Duration::from_millis(700);
/// Maximum number of failures at a target that count from one gateway.
const MAX_FAILURES_PER_GATEWAY: f64 = 3.0;
/// Decayed number of failures below which a target is no longer reported.
const MIN_COUNT: f64 = 0.1;
/// Maximum number of targets in a message, about 10 bytes each. When more fail, the cause is common to many of them,
/// and avoiding some targets gains nothing.
const MAX_TARGETS: usize = 64;
/// How long the last report of another member counts.
const MEMBER_REPORT_TTL: Duration = Duration::from_millis(2_000);

/// Outcomes of a gateway's attempts at a target since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// The target.
    pub target: LoadKey,
    /// Attempts that failed.
    pub failed: u32,
    /// Attempts that the target answered.
    pub answered: u32,
}

/// Recent outcomes of attempts at a target, summed over gateways and decayed by age.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The target.
    pub target: LoadKey,
    /// Attempts that failed, decayed with `HALF_LIFE`.
    pub failed: f32,
    /// Attempts that the target answered, decayed likewise.
    pub answered: f32,
    /// Number of gateways whose attempts failed recently.
    pub reporters: u16,
}

/// Evidence on the targets at which attempts failed, as a member sends it; empty when more than `MAX_TARGETS` fail.
pub type EvidenceList = Vec<Evidence>;

/// Decayed outcomes of one gateway at one target.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    at: Duration,
    failed: f64,
    answered: f64,
}

impl Tally {
    fn decayed_to(self, now: Duration) -> Tally {
        let factor = decay(now.saturating_sub(self.at));
        Tally { at: now, failed: self.failed * factor, answered: self.answered * factor }
    }
}

/// Fraction of an outcome that still counts at this age.
fn decay(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// Outcomes at one target, as the gateways connected to this member reported them.
#[derive(Debug, Default)]
struct Record {
    by_gateway: HashMap<String, Tally>,
}

/// Outcomes of attempts as reported by the gateways connected here and by the other members.
#[derive(Debug, Default)]
pub struct EvidenceTotals {
    local: HashMap<LoadKey, Record>,
    members: HashMap<SocketAddr, (Duration, EvidenceList)>,
    /// The last total and its time, reused for gateways that are sent one shortly after.
    cached_total: Option<(Duration, EvidenceList)>,
}

impl EvidenceTotals {
    /// Adds a report of a gateway that is connected here.
    pub fn record_gateway(&mut self, now: Duration, gateway: &str, outcomes: &[Outcomes]) {
        for outcome in outcomes {
            let record = self.local.entry(outcome.target).or_default();
            let tally = record.by_gateway.entry(gateway.to_owned()).or_default();
            *tally = tally.decayed_to(now);
            tally.failed = (tally.failed + f64::from(outcome.failed)).min(MAX_FAILURES_PER_GATEWAY);
            tally.answered += f64::from(outcome.answered);
        }
    }

    /// Replaces the last report of another member, which covers the gateways connected to it.
    pub fn record_member(&mut self, now: Duration, member: SocketAddr, evidence: EvidenceList) {
        self.members.insert(member, (now, evidence));
    }

    /// Evidence of the gateways connected here on the targets at which attempts failed. Where more than `MAX_TARGETS`
    /// fail, the list has one target more than that, so that the other members see that there are too many.
    pub fn local(&mut self, now: Duration) -> EvidenceList {
        self.local.retain(|_, record| {
            record.by_gateway.retain(|_, tally| {
                let tally = tally.decayed_to(now);
                tally.failed + tally.answered >= MIN_COUNT
            });
            !record.by_gateway.is_empty()
        });
        let failing =
            self.local.iter().filter_map(|(target, record)| record.evidence(now, *target));
        failing.take(MAX_TARGETS + 1).collect()
    }

    /// The same over all gateways, at most `max_age` old; empty when more than `MAX_TARGETS` targets fail.
    pub fn total(&mut self, now: Duration, max_age: Duration) -> EvidenceList {
        if let Some((_, total)) = self.cached_total.as_ref().filter(|(at, _)| now < *at + max_age) {
            return total.clone();
        }
        let total = self.sum(now);
        self.cached_total = Some((now, total.clone()));
        total
    }

    fn sum(&mut self, now: Duration) -> EvidenceList {
        self.members.retain(|_, (at, _)| now < *at + MEMBER_REPORT_TTL);
        let mut sums: HashMap<LoadKey, Evidence> =
            self.local(now).into_iter().map(|evidence| (evidence.target, evidence)).collect();
        for evidence in self.members.values().flat_map(|(_, reported)| reported) {
            sums.entry(evidence.target).and_modify(|sum| sum.add(evidence)).or_insert(*evidence);
        }
        let mut total: EvidenceList = sums.into_values().collect();
        if total.len() > MAX_TARGETS {
            total.clear();
        }
        total.sort_by_key(|evidence| evidence.target);
        total
    }
}

impl Record {
    fn evidence(&self, now: Duration, target: LoadKey) -> Option<Evidence> {
        let tallies: Vec<Tally> =
            self.by_gateway.values().map(|tally| tally.decayed_to(now)).collect();
        let failed: f64 = tallies.iter().map(|tally| tally.failed).sum();
        if failed < MIN_COUNT {
            return None;
        }
        let answered: f64 = tallies.iter().map(|tally| tally.answered).sum();
        let reporters = tallies.iter().filter(|tally| tally.failed >= MIN_COUNT).count();
        Some(Evidence {
            target,
            failed: failed as f32,
            answered: answered as f32,
            reporters: u16::try_from(reporters).unwrap_or(u16::MAX),
        })
    }
}

impl Evidence {
    /// What was added since this was `before`, the time `ago`.
    pub fn since(&self, before: &Evidence, ago: Duration) -> Evidence {
        let factor = decay(ago) as f32;
        Evidence {
            failed: (self.failed - before.failed * factor).max(0.0),
            answered: (self.answered - before.answered * factor).max(0.0),
            ..*self
        }
    }

    fn add(&mut self, other: &Evidence) {
        self.failed += other.failed;
        self.answered += other.answered;
        self.reporters = self.reporters.saturating_add(other.reporters);
    }
}
