//! Roll-outs: the traffic of a service moves to targets of another version, unless that version proves to be bad.
//!
//! An operator's order stands in the log, and so does each stage of it. The leader takes the next stage by what all
//! gateways saw of both versions ([`judge`]); gateways send the new version what its stage allows ([`Stage::share`]).
//! That is a part of each gateway's own requests, so that the whole fleet keeps it whatever the number of gateways, and
//! whether or not members are out of reach. A gateway that has not heard of a stage is at an earlier one, which allows
//! less. Before an order nothing is told apart by versions.

pub mod judge;
pub mod route_mix;
pub mod steps;
pub mod tally;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// Version that its traffic is to move to.
    pub version: String,
    /// Time until that is to be done, in milliseconds.
    pub lasts_ms: u64,
    /// Part of the requests that the new version gets at first, in thousandths.
    pub trial_permille: u16,
    /// Whether it came so soon after the last equal one that it may be that one again, whose acknowledgement was lost.
    pub soon: bool,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets this part of the requests, in thousandths, on few targets, each as loaded as those of the
    /// old one.
    Part(u16),
    /// The new version gets all; what the old one has in flight ends.
    Shifted,
    /// The old version is no longer needed, and may be stopped.
    Completed,
    /// The new version gets nothing.
    RolledBack,
}

impl Stage {
    /// Whether another stage follows.
    pub fn under_way(self) -> bool {
        !matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Part of the requests that the new version gets, from 0 to 1.
    pub fn share(self) -> f64 {
        match self {
            Stage::Part(permille) => f64::from(permille) / 1_000.0,
            Stage::Shifted | Stage::Completed => 1.0,
            Stage::RolledBack => 0.0,
        }
    }

    /// Whether a target may be sent a request, by whether it runs the new version.
    pub fn may_send(self, new: bool) -> bool {
        match self {
            Stage::Part(_) | Stage::Shifted => true,
            Stage::Completed => new,
            Stage::RolledBack => !new,
        }
    }

    /// One word for logs and answers.
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
    /// Revision of the order, which tells roll-outs apart.
    pub at: Revision,
    /// How far it is.
    pub stage: Stage,
    /// Time that had passed since the order when a leader last noted it, in milliseconds: the log has no clock, and a
    /// member that starts knows of no time before that.
    pub elapsed_ms: u64,
}

/// The next stage of a roll-out, or the same one and the time.
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

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutVerdict {
    /// The order, or an equal one before it, is in the log.
    Taken,
    /// Another roll-out of the service is under way.
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

    /// Applies an order that stands in the log at `index`.
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

    /// Applies a stage that stands in the log at `index`; one of a roll-out that is over, or an earlier stage, is void.
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
    /// Whether an order is this one again. While it is under way, or once it is completed, an equal one has nothing
    /// left to do; after a roll-back it is a new one unless it comes so soon that it must be a repetition.
    fn repeated_by(&self, order: &RolloutOrder) -> bool {
        let equal = self.order.version == order.version;
        match self.stage {
            Stage::RolledBack => equal && order.soon,
            _ => equal,
        }
    }

    /// Time until it is to be completed, from the order on.
    pub fn lasts(&self) -> Duration {
        Duration::from_millis(self.order.lasts_ms)
    }
}

/// Roll-outs, as gateways are told of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsUpdate {
    /// Revision that last changed anything; 0 before the first order.
    pub revision: Revision,
    /// The last roll-out of each service.
    pub rollouts: Vec<RolloutState>,
}

/// A roll-out, as gateways are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The service.
    pub service: String,
    /// Its new version.
    pub version: String,
    /// Revision of the order.
    pub at: Revision,
    /// How far it is.
    pub stage: Stage,
}

impl Rollouts {
    /// All of them, for gateways.
    pub fn update(&self) -> RolloutsUpdate {
        let told = self.by_service.values().map(|rollout| RolloutState {
            service: rollout.order.service.clone(),
            version: rollout.order.version.clone(),
            at: rollout.at,
            stage: rollout.stage,
        });
        RolloutsUpdate { revision: self.revision, rollouts: told.collect() }
    }
}
