//! What may be put in the replicated log, and what the store answers.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Revision;
use crate::claims::{Claim, Release, Verdict};
use crate::compat::base;
use crate::compat::command::Encoded;
use crate::directory::{Announcement, Incarnation};
use crate::document::PackedDocument;
use crate::evacuations::{EvacuationOrder, OrderVerdict, WarmAgain};
use crate::jsonc::{Fault, Validate};
use crate::level::Level;
use crate::rollout::{RolloutOrder, RolloutStep, RolloutVerdict};
use crate::template::{Spec, Template, check_name};

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub enum Command {
    /// Submit or revise a template.
    Change(Box<Change>),
    /// Start or end the drain of a host or target.
    Drain(Drain),
    /// Start or end the move of an engine to another model.
    Move(Move),
    /// A router claims a request that must run at most once.
    Claim(Claim),
    /// A router gives a claim back.
    Release(Release),
    /// An operator sends a whole configuration.
    Configure(PackedDocument),
    /// Targets announce something new.
    Announce(Vec<Sight>),
    /// A target leaves for good, in the start that it names; in whichever it is where it names none.
    Remove(Incarnation),
    /// Targets have not been heard for long.
    Silence(Vec<Incarnation>),
    /// Targets have been there for a while.
    Settle(Vec<Incarnation>),
    /// An operator evacuates a data hall, or takes it back into use.
    Evacuate(EvacuationOrder),
    /// An operator wants the traffic of a service to move to another version.
    Rollout(RolloutOrder),
    /// A roll-out takes its next stage.
    RolloutStep(RolloutStep),
    /// Targets of data halls that were taken back into use are surely warm by now.
    WarmAgain(Vec<WarmAgain>),
    /// Every process of the group knows this level, which it may use from now on.
    Raise(Level),
}

impl Command {
    /// Level that a group must have before the command may stand in its log.
    pub fn level(&self) -> Level {
        let base = match self {
            Command::Change(_)
            | Command::Drain(_)
            | Command::Move(_)
            | Command::Claim(_)
            | Command::Release(_)
            | Command::Configure(_) => true,
            Command::Announce(sights) => {
                matches!(sights.as_slice(), [sight] if base::can_say(&sight.announcement))
            }
            Command::Remove(target) => base::can_name(target),
            Command::Silence(targets) | Command::Settle(targets) => {
                targets.iter().all(base::can_name)
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

/// Something new that a target announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// What it says.
    pub announcement: Announcement,
    /// Whether it gets a home now, rather than wait for one that somebody leaves.
    pub at_once: bool,
}

/// The move of an engine to another model, during which it gets no new work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// The engine.
    pub engine: String,
    /// What it is to load; `None` ends the move.
    pub to: Option<BTreeSet<Spec>>,
}

/// A move under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moving {
    /// Revision from which routers send the engine no new work.
    pub since: Revision,
    /// What it is to load.
    pub to: BTreeSet<Spec>,
}

/// A template submitted or revised by an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Change {
    /// Chosen by the operator's client; the same id is the same change.
    pub id: String,
    /// The version this change was based on; 0 for a template that does not exist yet.
    pub base: u64,
    /// Operator who made it, set by the member that takes the call.
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

/// The start or end of a drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Host or target, as the platform's list names it.
    pub name: String,
    /// True to drain, false to take back into use.
    pub on: bool,
}

/// The answer to a command, the same for every resend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// In force everywhere within the freshness lease.
    Accepted {
        /// Version of the template; 0 for a drain.
        version: u64,
        /// Revision of the configuration that has it.
        revision: Revision,
    },
    /// Based on a version that is not the one in force.
    Conflict {
        /// Version in force; 0 when the template does not exist.
        in_force: u64,
    },
    /// The content clashes with other templates in force.
    Rejected {
        /// What clashes.
        faults: Vec<Fault>,
    },
    /// The id was used before for a different change.
    IdReused,
    /// The verdict on a claim.
    Claim(Verdict),
    /// The claim was given back.
    Released,
    /// The configuration with this version, or a higher one, is held.
    Configured {
        /// Version held.
        held: u64,
    },
    /// The configuration came as a difference from a version that is not held; send it whole.
    WrongBase,
    /// The directory of targets holds it.
    Listed,
    /// What became of an order about a data hall.
    Evacuation(OrderVerdict),
    /// What became of an order to roll a version out.
    Rollout(RolloutVerdict),
}

impl Answer {
    /// One word for logs and metrics.
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
