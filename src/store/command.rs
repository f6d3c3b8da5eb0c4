//! Commands in the replicated log, and the store's answers to them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Revision;
use crate::claims::{Claim, Release, Verdict};
use crate::compat::base;
use crate::compat::command::Encoded;
use crate::directory::{Announcement, Incarnation};
use crate::document::Packed;
use crate::evacuations::{EvacuationOrder, OrderVerdict, WarmAgain};
use crate::jsonc::{Fault, Validate};
use crate::level::Level;
use crate::rollout::{RolloutOrder, RolloutStep, RolloutVerdict};
use crate::template::{Spec, Template, check_name};

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub enum Command {
    /// Submits or revises a template.
    Change(Box<Change>),
    /// Starts or ends the drain of a host or target.
    Drain(Drain),
    /// Starts or ends the move of an engine to another model.
    Move(Move),
    /// A router claims a request that must run at most once, before it runs it.
    Claim(Claim),
    /// A router releases a claim.
    Release(Release),
    /// An operator sends a configuration document, whole or as a difference.
    Configure(Packed),
    /// Targets announced something that the directory does not hold yet.
    Announce(Vec<Sight>),
    /// A target was removed for good: the incarnation with the start time given, or the current one if
    /// none is given.
    Remove(Incarnation),
    /// Targets have sent no heartbeat for a long time.
    Silence(Vec<Incarnation>),
    /// Targets have been present long enough to get a home of their own.
    Settle(Vec<Incarnation>),
    /// An operator evacuates a data hall, or returns it to use.
    Evacuate(EvacuationOrder),
    /// An operator orders a roll-out: traffic of a service moves to another version in stages.
    Rollout(RolloutOrder),
    /// A roll-out enters its next stage.
    RolloutStep(RolloutStep),
    /// Targets of data halls that were returned to use have had enough time to warm up.
    WarmAgain(Vec<WarmAgain>),
    /// Raises the level of the group, since all its processes support the new one.
    Raise(Level),
}

impl Command {
    /// Level that a group must have before the command may be in its log.
    pub fn level(&self) -> Level {
        let base = match self {
            Command::Change(_)
            | Command::Drain(_)
            | Command::Move(_)
            | Command::Claim(_)
            | Command::Release(_)
            | Command::Configure(_) => true,
            Command::Announce(announcements) => {
                matches!(announcements.as_slice(), [one] if base::can_encode_announcement(&one.announcement))
            }
            Command::Remove(target) => base::can_encode_target(target),
            Command::Silence(targets) | Command::Settle(targets) => {
                targets.iter().all(base::can_encode_target)
            }
            Command::Evacuate(_)
            | Command::Rollout(_)
            | Command::RolloutStep(_)
            | Command::WarmAgain(_)
            | Command::Raise(_) => false,
        };
        if base { Level::BASE } else { Level::INCARNATIONS }
    }
}

/// An announcement of a target that changes the directory.
// Serde's errors, which callers see, name this type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// The announcement.
    pub announcement: Announcement,
    /// Whether the target gets a new home at once, rather than wait to inherit one from a target that
    /// ends.
    pub at_once: bool,
}

/// Starts or ends the move of an engine to another model, during which it gets no new work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// Name of the engine.
    pub engine: String,
    /// Models to load; `None` ends the move.
    pub to: Option<BTreeSet<Spec>>,
}

/// A move under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moving {
    /// Revision from which routers send the engine no new work.
    pub since: Revision,
    /// Models to load.
    pub to: BTreeSet<Spec>,
}

/// A template submitted or revised by an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Change {
    /// Chosen by the operator's client; a resent change has the same id.
    pub id: String,
    /// The version this change was based on; 0 for a template that does not exist yet.
    pub base: u64,
    /// Operator who made the change; set by the member that receives it.
    pub author: String,
    /// The new content.
    pub template: Template,
}

impl Validate for Change {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_name(&mut faults, "id", &self.id);
        for fault in self.template.faults() {
            faults.push(Fault::new(format!("template.{}", fault.path), fault.message));
        }
        faults
    }
}

/// Starts or ends a drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Name of the host or target in the platform's list.
    pub name: String,
    /// True to drain, false to end the drain.
    pub on: bool,
}

/// The answer to a command; a resent change gets the first answer again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Accepted; in force at every router within the freshness lease.
    Accepted {
        /// Version of the template; 0 for a drain or a move.
        version: u64,
        /// First revision of the configuration that contains the change.
        revision: Revision,
    },
    /// Based on a version that is not the one in force.
    Conflict {
        /// Version in force; 0 when the template does not exist.
        in_force: u64,
    },
    /// The content conflicts with other templates in force.
    Rejected {
        /// The conflicts.
        faults: Vec<Fault>,
    },
    /// The id was already used for a different change.
    IdReused,
    /// The verdict on a claim.
    Claim(Verdict),
    /// The claim was released.
    Released,
    /// The store holds this version of the configuration or a higher one.
    Configured {
        /// Version held.
        held: u64,
    },
    /// The configuration was sent as a difference from a version that the store does not hold; it must be
    /// sent whole.
    WrongBase,
    /// The command was applied; the answer carries nothing else.
    Listed,
    /// The verdict on an order about a data hall.
    Evacuation(OrderVerdict),
    /// The verdict on a roll-out order.
    Rollout(RolloutVerdict),
}

impl Answer {
    /// Label for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Answer::Accepted { .. } => "accepted",
            Answer::Conflict { .. } => "conflict",
            Answer::Rejected { .. } => "rejected",
            Answer::IdReused => "id_reused",
            Answer::Claim(_) => "claim",
            Answer::Released => "released",
            Answer::Configured { .. } => "configured",
            Answer::WrongBase => "wrong_base",
            Answer::Listed => "listed",
            Answer::Evacuation(_) => "evacuation",
            Answer::Rollout(_) => "rollout",
        }
    }
}
