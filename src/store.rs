//! The replicated state of a partner: templates in force, their history, drains, and the first
//! answer to every recent change.
//!
//! Applying a command is deterministic: equal logs give equal stores on every member.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::claims::{Claim, Claims, Release, Verdict};
use crate::directory::{Announcement, Directory};
use crate::document::{Document, Packed};
use crate::jsonc::{Fault, Validate};
use crate::template::{Policy, Spec, Template, check_name};

/// Versions kept for each template.
pub const HISTORY_LEN: usize = 50;
/// First answers kept; at 2,400 changes a day this covers four days of resends.
pub const ANSWERS_LEN: usize = 10_000;
/// Most templates of a partner.
pub const MAX_TEMPLATES: usize = 1_000;

/// Position in the log of the last change to the configuration. Grows only.
pub type Revision = u64;

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    Configure(Packed),
    /// A target announces something new.
    Announce(Announcement),
    /// A target leaves for good.
    Remove(String),
    /// Targets have not been heard for long.
    Silence(Vec<String>),
    /// Targets have been there for a while.
    Settle(Vec<String>),
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
        }
    }
}

/// A template in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Counts from 1 with each accepted change.
    pub version: u64,
    /// Revision that brought this version.
    pub revision: Revision,
    /// The content.
    pub template: Template,
    /// Past and present versions, oldest first, at most [`HISTORY_LEN`].
    pub history: VecDeque<Version>,
}

/// One entry of a template's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Version number.
    pub version: u64,
    /// Revision that brought it.
    pub revision: Revision,
    /// Who made the change.
    pub author: String,
    /// Id of the change.
    pub change: String,
    /// The content.
    pub template: Template,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct FirstAnswer {
    change: Change,
    answer: Answer,
}

/// All templates of one partner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    revision: Revision,
    templates: BTreeMap<String, Stored>,
    drains: BTreeSet<String>,
    moving: BTreeMap<String, Moving>,
    /// Revision that last changed `drains` or `moving`.
    closed_revision: Revision,
    answers: BTreeMap<String, FirstAnswer>,
    answer_order: VecDeque<String>,
    claims: Claims,
    document: Option<Document>,
    directory: Directory,
}

impl Store {
    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every template, by name.
    pub fn templates(&self) -> &BTreeMap<String, Stored> {
        &self.templates
    }

    /// Hosts and targets being drained.
    pub fn drains(&self) -> &BTreeSet<String> {
        &self.drains
    }

    /// The configuration document held.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Targets that announced themselves.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Claims on request keys.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Engines on their way to another model.
    pub fn moving(&self) -> &BTreeMap<String, Moving> {
        &self.moving
    }

    /// Applies the command at log position `index`.
    pub fn apply(&mut self, index: u64, command: Command) -> Answer {
        match command {
            Command::Change(change) => self.apply_change(index, *change),
            Command::Drain(drain) => self.apply_drain(index, drain),
            Command::Move(step) => self.apply_move(index, step),
            Command::Claim(claim) => Answer::Claim(self.claims.claim(claim)),
            Command::Release(release) => {
                self.claims.release(release);
                Answer::Released
            }
            Command::Configure(packed) => self.apply_document(index, &packed),
            Command::Announce(announcement) => {
                self.directory.announce(index, announcement);
                self.listed()
            }
            Command::Remove(id) => {
                self.directory.remove(index, &id);
                self.listed()
            }
            Command::Settle(ids) => {
                self.directory.settle(index, &ids);
                self.listed()
            }
            Command::Silence(ids) => {
                self.directory.silence(index, &ids);
                self.listed()
            }
        }
    }

    fn listed(&mut self) -> Answer {
        self.revision = self.revision.max(self.directory.revision());
        Answer::Listed
    }

    /// The highest version holds; the first content that came under a version is its content.
    fn apply_document(&mut self, index: u64, packed: &Packed) -> Answer {
        let held = self.document.as_ref().map_or(0, |held| held.version);
        if packed.version <= held {
            return Answer::Configured { held };
        }
        match packed.unpack(self.document.as_ref()) {
            Ok(document) => {
                self.document = Some(document);
                self.revision = index;
                Answer::Configured { held: packed.version }
            }
            Err(_) => Answer::WrongBase,
        }
    }

    fn apply_move(&mut self, index: u64, step: Move) -> Answer {
        match step.to {
            Some(to) => self.moving.insert(step.engine, Moving { since: index, to }),
            None => self.moving.remove(&step.engine),
        };
        self.revision = index;
        self.closed_revision = index;
        Answer::Accepted { version: 0, revision: index }
    }

    fn apply_drain(&mut self, index: u64, drain: Drain) -> Answer {
        let changed =
            if drain.on { self.drains.insert(drain.name) } else { self.drains.remove(&drain.name) };
        if changed {
            self.revision = index;
            self.closed_revision = index;
        }
        Answer::Accepted { version: 0, revision: self.revision }
    }

    fn apply_change(&mut self, index: u64, change: Change) -> Answer {
        if let Some(first) = self.answers.get(&change.id) {
            return if first.change == change { first.answer.clone() } else { Answer::IdReused };
        }
        let answer = self.decide(index, &change);
        if matches!(answer, Answer::Accepted { .. }) {
            self.put(index, change.clone());
        }
        self.remember(change, answer.clone());
        answer
    }

    fn decide(&self, index: u64, change: &Change) -> Answer {
        let name = &change.template.name;
        let in_force = self.templates.get(name).map_or(0, |stored| stored.version);
        if change.base != in_force {
            return Answer::Conflict { in_force };
        }
        let faults = self.clashes(&change.template);
        if !faults.is_empty() {
            return Answer::Rejected { faults };
        }
        Answer::Accepted { version: in_force + 1, revision: index }
    }

    /// What `template` would break among the other templates in force.
    fn clashes(&self, template: &Template) -> Vec<Fault> {
        let mut faults = Vec::new();
        let others = || {
            self.templates
                .values()
                .map(|stored| &stored.template)
                .filter(|other| other.name != template.name)
        };
        if others().count() >= MAX_TEMPLATES {
            faults.push(Fault::new(
                "name",
                format!("a partner has at most {MAX_TEMPLATES} templates"),
            ));
        }
        for team in template.teams.keys() {
            if let Some(other) = others().find(|other| other.teams.contains_key(team)) {
                let message = format!("team is in template {} already", other.name);
                faults.push(Fault::new(format!("teams.{team}"), message));
            }
        }
        let used: f64 = others().map(Template::share_percent).sum();
        let total = used + template.share_percent();
        if total > 100.0 {
            let message = format!("shares of all templates would add up to {total} %, above 100");
            faults.push(Fault::new("teams", message));
        }
        faults
    }

    fn put(&mut self, index: u64, change: Change) {
        let name = change.template.name.clone();
        let stored = self.templates.entry(name).or_insert_with(|| Stored {
            version: 0,
            revision: 0,
            template: Template::default(),
            history: VecDeque::new(),
        });
        stored.version += 1;
        stored.revision = index;
        stored.template = change.template.clone();
        stored.history.push_back(Version {
            version: stored.version,
            revision: index,
            author: change.author,
            change: change.id,
            template: change.template,
        });
        if stored.history.len() > HISTORY_LEN {
            stored.history.pop_front();
        }
        self.revision = index;
    }

    fn remember(&mut self, change: Change, answer: Answer) {
        let id = change.id.clone();
        self.answers.insert(id.clone(), FirstAnswer { change, answer });
        self.answer_order.push_back(id);
        if self.answer_order.len() > ANSWERS_LEN
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// What a router at revision `known` still lacks.
    pub fn since(&self, known: Revision) -> Delta {
        let templates = self
            .templates
            .values()
            .filter(|stored| stored.revision > known)
            .map(|stored| stored.template.clone())
            .collect();
        let closed = || self.drains.iter().chain(self.moving.keys()).cloned().collect();
        let closed = (self.closed_revision > known).then(closed);
        Delta { revision: self.revision, templates, closed }
    }
}

/// The part of the configuration that a router lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision after applying this delta.
    pub revision: Revision,
    /// Templates changed since the router's revision.
    pub templates: Vec<Template>,
    /// All hosts and targets that get no new work, when they changed since.
    pub closed: Option<BTreeSet<String>>,
}

/// The configuration in force at a router: what it needs of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    revision: Revision,
    templates: BTreeMap<String, Template>,
    policies: BTreeMap<String, Policy>,
    closed: BTreeSet<String>,
}

impl Config {
    /// Revision in force here; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes a delta unless it is older than what is in force; tells whether it was taken.
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.revision < self.revision {
            return false;
        }
        self.revision = delta.revision;
        for template in delta.templates {
            self.templates.insert(template.name.clone(), template);
        }
        if let Some(closed) = delta.closed {
            self.closed = closed;
        }
        self.policies = self
            .templates
            .values()
            .flat_map(|template| {
                let teams = template.teams.keys();
                teams.filter_map(|team| Some((team.clone(), template.policy(team)?)))
            })
            .collect();
        true
    }

    /// What is in force for `team`.
    pub fn policy(&self, team: &str) -> Option<&Policy> {
        self.policies.get(team)
    }

    /// Whether the host or target `name` gets no new work.
    pub fn closed(&self, name: &str) -> bool {
        self.closed.contains(name)
    }
}
