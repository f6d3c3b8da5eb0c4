//! Team templates: operators submit and revise them, and routers serve requests by them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::jsonc::{Fault, Validate};

/// Highest priority a template may ask for; 0 is the lowest.
pub const MAX_PRIORITY: u8 = 9;
/// Maximum length of a name, such as that of a template, team, model, adapter or host.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of teams in one template.
pub const MAX_TEAMS: usize = 1_000;

/// A template for one kind of requests, with parameters for each team that sends them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Template {
    /// Name, unique within the partner.
    pub name: String,
    /// Model that serves the chats of these teams.
    pub model: String,
    /// Adapter on top of the model; empty for none.
    pub adapter: String,
    /// Version of the model and adapter.
    pub version: String,
    /// Priority of teams that set none of their own, from 0 to [`MAX_PRIORITY`].
    pub priority: u8,
    /// Which requests may be run more than once.
    pub repeatable: Repeatable,
    /// The teams and their parameters.
    pub teams: BTreeMap<String, Team>,
}

/// Which requests may be run more than once; all others run at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Repeatable {
    /// Whether a chat completion may be run again.
    pub chat: bool,
    /// Plain services whose calls may be run again.
    pub services: BTreeSet<String>,
}

/// Parameters of one team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Team {
    /// Guaranteed share of the partner's capacity, in percent; idle capacity may be used beyond it.
    pub share_percent: f64,
    /// Overrides the template's priority.
    pub priority: Option<u8>,
    /// Overrides the template's adapter.
    pub adapter: Option<String>,
    /// Overrides the template's repeatable requests.
    pub repeatable: Option<Repeatable>,
}

impl Validate for Template {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_name(&mut faults, "name", &self.name);
        check_name(&mut faults, "model", &self.model);
        check_name(&mut faults, "version", &self.version);
        if !self.adapter.is_empty() {
            check_name(&mut faults, "adapter", &self.adapter);
        }
        check_priority(&mut faults, "priority", self.priority);
        self.check_teams(&mut faults);
        faults
    }
}

impl Template {
    fn check_teams(&self, faults: &mut Vec<Fault>) {
        if self.teams.is_empty() || self.teams.len() > MAX_TEAMS {
            let message = format!("a template needs 1 to {MAX_TEAMS} teams");
            faults.push(Fault::new("teams", message));
        }
        for (name, team) in &self.teams {
            let path = format!("teams.{name}");
            check_name(faults, &path, name);
            if !(team.share_percent > 0.0 && team.share_percent <= 100.0) {
                let message = "must be above 0 and at most 100";
                faults.push(Fault::new(format!("{path}.share_percent"), message));
            }
            if let Some(priority) = team.priority {
                check_priority(faults, &format!("{path}.priority"), priority);
            }
        }
        if self.share_percent() > 100.0 {
            let message = format!("shares add up to {} %, above 100", self.share_percent());
            faults.push(Fault::new("teams", message));
        }
    }

    /// Sum of the shares of all teams, in percent.
    pub fn share_percent(&self) -> f64 {
        self.teams.values().map(|team| team.share_percent).sum()
    }

    /// The parameters for `team`, with the template's defaults filled in; `None` if the template does not cover the
    /// team.
    pub fn policy(&self, team: &str) -> Option<Policy> {
        let own = self.teams.get(team)?;
        Some(Policy {
            spec: Spec {
                model: self.model.clone(),
                version: self.version.clone(),
                adapter: own.adapter.clone().unwrap_or_else(|| self.adapter.clone()),
            },
            priority: own.priority.unwrap_or(self.priority),
            share_percent: own.share_percent,
            repeatable: own.repeatable.clone().unwrap_or_else(|| self.repeatable.clone()),
        })
    }
}

/// A model that an engine has loaded or is to load, written as `MODEL@VERSION` or `MODEL@VERSION+ADAPTER`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Spec {
    /// Model.
    pub model: String,
    /// Version of model and adapter.
    pub version: String,
    /// Adapter on top of the model; empty for none.
    pub adapter: String,
}

impl Spec {
    /// The same model and version, without the adapter.
    pub fn base(&self) -> Spec {
        Spec { adapter: String::new(), ..self.clone() }
    }
}

impl fmt::Display for Spec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        if !self.adapter.is_empty() {
            write!(f, "+{}", self.adapter)?;
        }
        Ok(())
    }
}

impl From<Spec> for String {
    fn from(spec: Spec) -> Self {
        spec.to_string()
    }
}

/// Error for a text that is not a valid [`Spec`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not MODEL@VERSION or MODEL@VERSION+ADAPTER")]
pub struct ParseSpecError(String);

impl TryFrom<String> for Spec {
    type Error = ParseSpecError;

    fn try_from(text: String) -> Result<Self, ParseSpecError> {
        let (model, rest) = text.split_once('@').ok_or_else(|| ParseSpecError(text.clone()))?;
        let (version, adapter) = rest.split_once('+').unwrap_or((rest, ""));
        if model.is_empty() || version.is_empty() {
            return Err(ParseSpecError(text));
        }
        let (model, version, adapter) = (model.to_owned(), version.to_owned(), adapter.to_owned());
        Ok(Spec { model, version, adapter })
    }
}

/// The parameters that a router applies to the requests of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Model, version and adapter that serve the requests.
    pub spec: Spec,
    /// Priority, 0 to [`MAX_PRIORITY`].
    pub priority: u8,
    /// Share of the partner's capacity, in percent.
    pub share_percent: f64,
    /// Which requests may be run more than once.
    pub repeatable: Repeatable,
}

/// Adds a fault unless `name` is 1 to [`MAX_NAME_BYTES`] of `a-z A-Z 0-9 . _ -`.
pub fn check_name(faults: &mut Vec<Fault>, path: &str, name: &str) {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        let message = format!(
            "must be given: 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores"
        );
        faults.push(Fault::new(path, message));
    }
}

fn check_priority(faults: &mut Vec<Fault>, path: &str, priority: u8) {
    if priority > MAX_PRIORITY {
        let message = format!("must be 0 to {MAX_PRIORITY}");
        faults.push(Fault::new(path, message));
    }
}
