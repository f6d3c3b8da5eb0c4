//! The replicated state of a partner: templates in force and their history, drains and moves, answers
//! to recent changes, claims, the configuration document, the target directory, evacuations and
//! roll-outs.
//!
//! Applying a command is deterministic: equal logs give equal stores on every member.

mod command;
mod config;
mod saved;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::claims::Claims;
use crate::directory::Directory;
use crate::document::{Document, Packed};
use crate::evacuations::Evacuations;
use crate::jsonc::Fault;
use crate::level::Level;
use crate::rollout::Rollouts;
use crate::template::Template;

pub use self::command::{Answer, Change, Command, Drain, Move, Moving, Sight};
pub use self::config::{Config, Delta};
pub(crate) use self::saved::Format5 as StoreFormat5;

/// Maximum number of versions kept in the history of a template.
pub const MAX_HISTORY_VERSIONS: usize = 50;
/// Maximum number of answers kept for resent changes; at 2,400 changes a day they cover four days.
pub const MAX_SAVED_ANSWERS: usize = 10_000;
/// Maximum number of templates of a partner.
pub const MAX_TEMPLATES: usize = 1_000;

/// Log index of the last change to the configuration; never decreases.
pub type Revision = u64;

/// A template in force.
// Serde's errors, which callers see, name this type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Counts from 1 with each accepted change.
    pub version: u64,
    /// Revision in which this version came into force.
    pub revision: Revision,
    /// The content.
    pub template: Template,
    /// Past versions and the current one, oldest first, at most [`MAX_HISTORY_VERSIONS`].
    pub history: VecDeque<Version>,
}

/// One entry of a template's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Version number.
    pub version: u64,
    /// Revision in which it came into force.
    pub revision: Revision,
    /// Who made the change.
    pub author: String,
    /// Id of the change.
    pub change: String,
    /// The content.
    pub template: Template,
}

/// A change and the answer to it, which a resend of the change gets again.
// Serde's errors, which callers see, name this type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct FirstAnswer {
    change: Change,
    answer: Answer,
}

/// The replicated state of one partner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Store {
    level: Level,
    revision: Revision,
    templates: BTreeMap<String, Stored>,
    drains: BTreeSet<String>,
    moving: BTreeMap<String, Moving>,
    /// Revision that last changed `drains` or `moving`.
    closed_revision: Revision,
    /// Answers to recent changes, by id of the change.
    answers: BTreeMap<String, FirstAnswer>,
    /// Ids in `answers`, oldest first.
    answer_order: VecDeque<String>,
    claims: Claims,
    document: Option<Document>,
    directory: Directory,
    evacuations: Evacuations,
    rollouts: Rollouts,
}

impl Store {
    /// Feature level of the group.
    pub fn level(&self) -> Level {
        self.level
    }

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

    /// The current configuration document, if any.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Directory of the targets that announced themselves.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Orders about data halls.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Roll-outs of services.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Claims on request keys.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Engines that are moving to another model, by name.
    pub fn moving(&self) -> &BTreeMap<String, Moving> {
        &self.moving
    }

    /// Applies the command at log position `index`. A command that needs a higher level than the store's
    /// raises it, since it is proposed only in a group that has that level.
    pub fn apply(&mut self, index: u64, command: Command) -> Answer {
        self.raise(command.level());
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
            Command::Announce(announcements) => {
                for Sight { announcement, at_once } in announcements {
                    let target = announcement.incarnation();
                    self.directory.announce(index, announcement);
                    if at_once {
                        self.directory.assign_homes(index, &[target]);
                    }
                }
                self.listed()
            }
            Command::Remove(target) => {
                self.directory.remove(index, &target.id, target.born);
                self.listed()
            }
            Command::Settle(targets) => {
                self.directory.assign_homes(index, &targets);
                self.listed()
            }
            Command::Silence(targets) => {
                self.directory.mark_unresponsive(index, &targets);
                self.listed()
            }
            Command::WarmAgain(halls) => {
                self.evacuations.mark_warm(&halls);
                self.listed()
            }
            Command::Rollout(order) => {
                let verdict = self.rollouts.apply_order(index, order);
                self.revision = self.revision.max(self.rollouts.revision());
                Answer::Rollout(verdict)
            }
            Command::RolloutStep(step) => {
                self.rollouts.apply_step(index, &step);
                self.revision = self.revision.max(self.rollouts.revision());
                Answer::Listed
            }
            Command::Raise(level) => {
                self.raise(level);
                self.listed()
            }
            Command::Evacuate(order) => {
                let verdict = self.evacuations.apply(index, order);
                self.revision = self.revision.max(self.evacuations.revision());
                Answer::Evacuation(verdict)
            }
        }
    }

    /// Raises the level. At [`Level::INCARNATIONS`], the directory then expects the known targets to report their
    /// start times with their next announcement, which the base level could not hold.
    fn raise(&mut self, level: Level) {
        if self.level < Level::INCARNATIONS && level >= Level::INCARNATIONS {
            self.directory.expect_start_times();
        }
        self.level = self.level.max(level);
    }

    /// Advances the revision to that of the directory.
    fn listed(&mut self) -> Answer {
        self.revision = self.revision.max(self.directory.revision());
        Answer::Listed
    }

    /// Keeps the document with the highest version; of two with the same version, the first.
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
            self.put_template(index, change.clone());
        }
        self.save_answer(change, answer.clone());
        answer
    }

    /// The answer to a change that was not seen before.
    fn decide(&self, index: u64, change: &Change) -> Answer {
        let name = &change.template.name;
        let in_force = self.templates.get(name).map_or(0, |stored| stored.version);
        if change.base != in_force {
            return Answer::Conflict { in_force };
        }
        let faults = self.conflicts(&change.template);
        if !faults.is_empty() {
            return Answer::Rejected { faults };
        }
        Answer::Accepted { version: in_force + 1, revision: index }
    }

    /// Conflicts of `template` with the other templates in force.
    fn conflicts(&self, template: &Template) -> Vec<Fault> {
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

    fn put_template(&mut self, index: u64, change: Change) {
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
        if stored.history.len() > MAX_HISTORY_VERSIONS {
            stored.history.pop_front();
        }
        self.revision = index;
    }

    fn save_answer(&mut self, change: Change, answer: Answer) {
        let id = change.id.clone();
        self.answers.insert(id.clone(), FirstAnswer { change, answer });
        self.answer_order.push_back(id);
        if self.answer_order.len() > MAX_SAVED_ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// Update for a router that has revision `known`.
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
