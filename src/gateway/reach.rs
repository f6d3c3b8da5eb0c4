//! Whether this gateway can reach the targets of a service at all.
//!
//! Targets fail one by one all the time. If attempts at several of them fail and none succeeds in between, the gateway
//! itself has likely lost its network path to them, while other gateways still reach them.

use std::collections::HashMap;
use std::time::Duration;

/// Minimum number of targets that must have failed, where a service has that many.
const MIN_FAILED_TARGETS: usize = 3;
/// Number of failed targets that is enough for a service of any size. For smaller ones it is half of the targets, since
/// targets of one data hall or rack crash together.
const MAX_FAILED_TARGETS: usize = 8;
/// How long a failure is counted.
const FAILURE_TTL: Duration = Duration::from_secs(3);

/// What an attempt or a probe showed about the path to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The target answered, whatever the answer.
    Answered,
    /// No connection could be opened, or it broke before an answer.
    Unreachable,
    /// It accepted the request and sent nothing within the stall timeout.
    Silent,
}

/// A change of the gateway's view of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What changed.
    pub kind: ChangeKind,
    /// Keys of the targets that failed without an answer in between, in ascending order.
    pub failed: Vec<u64>,
}

/// What an attempt changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The targets can't be reached any more, so their failures may not be their own.
    Lost,
    /// A target answered again.
    Regained {
        /// How long the targets could not be reached.
        after: Duration,
    },
    /// A target answered, so the failures of the others were their own.
    Confirmed,
}

/// Why the targets of a service can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOff {
    /// No connection can be opened, so nothing sent to them would arrive.
    Unreachable,
    /// Some accept requests and send nothing. They may be slow, and still answer.
    Silent,
}

/// Contacts with the targets of one service. Times are since the start of the gateway.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Targets that failed since the last answer of any, with the last failure of each.
    failures: HashMap<u64, (Duration, Contact)>,
    lost_at: Option<Duration>,
}

impl Reach {
    /// Records a contact with a target, and returns the change that it makes. `known` is the number of targets that
    /// take requests and whose heartbeats the members receive.
    pub fn record(
        &mut self,
        now: Duration,
        target: u64,
        contact: Contact,
        known: usize,
    ) -> Option<Change> {
        if contact == Contact::Answered {
            let failed = sorted_keys(&std::mem::take(&mut self.failures));
            let kind = match self.lost_at.take() {
                Some(lost_at) => ChangeKind::Regained { after: now.saturating_sub(lost_at) },
                None => ChangeKind::Confirmed,
            };
            return (!failed.is_empty()).then_some(Change { kind, failed });
        }
        self.failures.insert(target, (now, contact));
        if self.lost_at.is_some() {
            return None;
        }
        self.failures.retain(|_, (at, _)| now < *at + FAILURE_TTL);
        if known == 0 || self.failures.len() < needed_failures(known) {
            return None;
        }
        self.lost_at = Some(now);
        Some(Change { kind: ChangeKind::Lost, failed: sorted_keys(&self.failures) })
    }

    /// Why the targets can't be reached; `None` if they can, as far as is known.
    pub fn cut_off(&self) -> Option<CutOff> {
        self.lost_at?;
        let silent = self.failures.values().any(|(_, contact)| *contact == Contact::Silent);
        Some(if silent { CutOff::Silent } else { CutOff::Unreachable })
    }

    /// Whether any target failed since the last answer.
    pub fn in_doubt(&self) -> bool {
        !self.failures.is_empty()
    }

    /// Whether this target failed, and no target answered since: the failure may not be its own.
    pub fn doubts(&self, target: u64) -> bool {
        self.failures.contains_key(&target)
    }
}

fn sorted_keys(failures: &HashMap<u64, (Duration, Contact)>) -> Vec<u64> {
    let mut keys: Vec<u64> = failures.keys().copied().collect();
    keys.sort_unstable();
    keys
}

/// Number of failed targets from which the path to all `known` ones counts as lost.
fn needed_failures(known: usize) -> usize {
    let half = known.div_ceil(2);
    half.clamp(MIN_FAILED_TARGETS, MAX_FAILED_TARGETS).min(known)
}
