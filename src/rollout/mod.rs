//! Roll-outs: the traffic of a service is moved to targets of another version, unless that version proves to be worse.
//!
//! An operator's order is an entry of the replicated log, and so is each stage of it. The leader decides on the next
//! stage from the outcomes that all gateways observed of both versions ([`judge`], [`steps`]). Gateways send the new
//! version the fraction of requests that its stage allows ([`Stage::share`]). Each gateway applies that fraction to its
//! own requests, so the whole fleet keeps it whatever the number of gateways, and also while no member is reachable. A
//! gateway that has not yet received a stage applies an earlier one, which allows less. Without an order, versions are
//! not distinguished.

pub mod history;
pub mod judge;
mod ratio;
pub mod route_mix;
pub mod shifted;
pub mod steps;
pub mod tally;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// An operator's order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// Version to which its traffic is moved.
    pub version: String,
    /// Time within which the roll-out must be completed, in milliseconds.
    pub lasts_ms: u64,
    /// Fraction of the requests for the new version in the first stage, in thousandths.
    pub trial_permille: u16,
    /// Whether it came so soon after the last equal order that it may be a repetition whose acknowledgement was lost.
    pub soon: bool,
}

/// Progress of a roll-out; later stages are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets this fraction of the requests, in thousandths. They go to so few of its targets that each
    /// is as loaded as those of the old version.
    Part(u16),
    /// The new version gets all requests, while those in flight at the old one finish.
    Shifted,
    /// The old version gets no more requests and may be stopped.
    Completed,
    /// The new version proved worse, or could not be judged in time, and gets no requests.
    RolledBack,
}

impl Stage {
    /// Whether the roll-out is neither completed nor rolled back.
    pub fn under_way(self) -> bool {
        !matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Fraction of the requests for the new version, from 0 to 1.
    pub fn share(self) -> f64 {
        match self {
            Stage::Part(permille) => f64::from(permille) / 1_000.0,
            Stage::Shifted | Stage::Completed => 1.0,
            Stage::RolledBack => 0.0,
        }
    }

    /// Whether a target may be sent requests; `new` is whether it runs the new version.
    pub fn may_send(self, new: bool) -> bool {
        match self {
            Stage::Part(_) | Stage::Shifted => true,
            Stage::Completed => new,
            Stage::RolledBack => !new,
        }
    }

    /// Name of the stage in logs and API responses.
    pub fn label(self) -> &'static str {
        match self {
            Stage::Part(_) => "part",
            Stage::Shifted => "shifted",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled_back",
        }
    }
}

/// The last roll-out of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// Revision of the order, which identifies the roll-out.
    pub at: Revision,
    /// Its present stage.
    pub stage: Stage,
    /// Time since the order when a leader last wrote it to the log, in milliseconds. The log has no clock, so a member
    /// that restarts can't know how much time passed before.
    pub elapsed_ms: u64,
}

/// Log entry that moves a roll-out to its next stage, or only updates the elapsed time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The service.
    pub service: String,
    /// Revision of the order.
    pub at: Revision,
    /// The stage.
    pub stage: Stage,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
}

/// Result of applying an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutVerdict {
    /// The order was accepted now, or an equal one was before.
    Taken,
    /// It was refused, since another roll-out of the service is under way.
    UnderWay,
}

/// The last roll-out of each service that ever had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    revision: Revision,
    by_service: BTreeMap<String, Rollout>,
}

impl Rollouts {
    /// Revision that last changed anything; 0 before the first order.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every service's last roll-out, by service.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// The last roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Applies the order of the log entry at `index`.
    pub fn apply_order(&mut self, index: Revision, order: RolloutOrder) -> RolloutVerdict {
        if let Some(last) = self.by_service.get(&order.service) {
            if last.repeated_by(&order) {
                return RolloutVerdict::Taken;
            }
            if last.stage.under_way() {
                return RolloutVerdict::UnderWay;
            }
        }
        self.revision = index;
        let (service, stage) = (order.service.clone(), Stage::Part(order.trial_permille));
        let rollout = Rollout { order, at: index, stage, elapsed_ms: 0 };
        self.by_service.insert(service, rollout);
        RolloutVerdict::Taken
    }

    /// Applies the step of the log entry at `index`. A step of another or a finished roll-out is ignored, and so is an
    /// earlier stage.
    pub fn apply_step(&mut self, index: Revision, step: &RolloutStep) {
        let Some(rollout) = self.by_service.get_mut(&step.service) else {
            return;
        };
        if rollout.at != step.at || !rollout.stage.under_way() {
            return;
        }
        rollout.elapsed_ms = rollout.elapsed_ms.max(step.elapsed_ms);
        if step.stage > rollout.stage {
            rollout.stage = step.stage;
            self.revision = index;
        }
    }
}

impl Rollout {
    /// Whether an order repeats this one. An order of the same version has no effect while the roll-out is under way
    /// and once it is completed. After a roll-back it starts a new roll-out, unless it came so soon that it counts as a
    /// repetition.
    fn repeated_by(&self, order: &RolloutOrder) -> bool {
        let same_version = self.order.version == order.version;
        match self.stage {
            Stage::RolledBack => same_version && order.soon,
            _ => same_version,
        }
    }

    /// Time from the order within which it must be completed.
    pub fn lasts(&self) -> Duration {
        Duration::from_millis(self.order.lasts_ms)
    }
}

/// The state of all roll-outs, as members send it to gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsUpdate {
    /// Revision that last changed anything; 0 before the first order.
    pub revision: Revision,
    /// The last roll-out of each service.
    pub rollouts: Vec<RolloutState>,
}

/// The state of one roll-out, as members send it to gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The service.
    pub service: String,
    /// Its new version.
    pub version: String,
    /// Revision of the order.
    pub at: Revision,
    /// Its present stage.
    pub stage: Stage,
}

impl Rollouts {
    /// The update for gateways.
    pub fn update(&self) -> RolloutsUpdate {
        let rollouts = self.by_service.values().map(|rollout| RolloutState {
            service: rollout.order.service.clone(),
            version: rollout.order.version.clone(),
            at: rollout.at,
            stage: rollout.stage,
        });
        RolloutsUpdate { revision: self.revision, rollouts: rollouts.collect() }
    }
}
