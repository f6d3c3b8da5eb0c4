//! The part of the store that routers need, and its updates.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Revision;
use crate::template::{Policy, Template};

/// An update that brings a router's configuration to a newer revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision after applying this delta.
    pub revision: Revision,
    /// Templates changed since the router's revision.
    pub templates: Vec<Template>,
    /// All hosts and targets that get no new work; `None` if unchanged since the router's revision.
    pub closed: Option<BTreeSet<String>>,
}

/// The configuration in force at a router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    revision: Revision,
    templates: BTreeMap<String, Template>,
    policies: BTreeMap<String, Policy>,
    closed: BTreeSet<String>,
}

impl Config {
    /// Revision in force; 0 before the first update.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies a delta unless it is older than the revision in force; returns whether it was applied.
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

    /// Policy in force for `team`.
    pub fn policy(&self, team: &str) -> Option<&Policy> {
        self.policies.get(team)
    }

    /// Whether the host or target `name` gets no new work.
    pub fn closed(&self, name: &str) -> bool {
        self.closed.contains(name)
    }
}
