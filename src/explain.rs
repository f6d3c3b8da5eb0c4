//! Reconstructs the timeline of one request from the logs of several processes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::logline::LogLine;

/// Events that report state which a process bases its decisions on, and the topic of each.
const STATE_EVENTS: [(&str, &str); 13] = [
    ("configuration", "configuration"),
    ("targets", "targets"),
    ("gateways", "gateways"),
    ("member_followed", "member"),
    ("member_left", "member"),
    ("members_lost", "members"),
    ("members_found", "members"),
    ("target_paused", "paused target"),
    ("target_leaving", "leaving target"),
    ("target_rests", "resting target"),
    ("settings_in_force", "settings"),
    ("stop", "stop"),
    ("gateway_started", "start"),
];

/// Events that a process logs at its start.
const START_EVENTS: [&str; 2] = ["gateway_started", "member_started"];

/// Event that says which request began the stream that a request resumes.
const RESUMPTION_EVENT: &str = "taken_up";

/// State of one topic that the process had last logged at the time of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KnownState {
    /// The topic, from `STATE_EVENTS`.
    #[serde(rename = "matter")]
    pub topic: &'static str,
    /// How long before the decision it was logged, in milliseconds.
    pub age_ms: u64,
    /// The logged keys and values.
    #[serde(rename = "told")]
    pub state: String,
}

/// One decision on the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Time of day, in milliseconds since 1970.
    pub at_ms: u64,
    /// Host whose process made the decision.
    pub host: String,
    /// The `event` of the log line.
    pub event: String,
    /// The other keys and values of the line: what the decision was based on, and its outcome.
    pub details: BTreeMap<String, String>,
    /// The state that the process had logged before.
    #[serde(rename = "beliefs")]
    pub known_state: Vec<KnownState>,
}

/// The timeline of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// Id of the request.
    pub id: String,
    /// The decisions on it, by time.
    pub steps: Vec<Step>,
}

impl Timeline {
    /// Builds the timeline of request `id` from log lines of any processes, in any order. If the request resumes a
    /// stream, the timeline begins with the requests that came before it.
    pub fn of<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Timeline {
        let mut parsed: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
        parsed.sort_by_key(LogLine::at_ms);
        let ids = with_earlier(id, &parsed);
        let mut known: BTreeMap<(String, String), &LogLine> = BTreeMap::new();
        let mut steps = Vec::new();
        for line in &parsed {
            if line.get("id").is_some_and(|id| ids.contains(id)) {
                steps.push(step(line, &known));
            }
            if START_EVENTS.contains(&line.event()) {
                // A restarted process has lost the state of its predecessor.
                known.retain(|(host, _), _| host != line.host());
            }
            if let Some(topic) = topic(line) {
                let target = line.get("target").unwrap_or("");
                known.insert((line.host().to_owned(), format!("{topic} {target}")), line);
            }
        }
        Timeline { id: id.to_owned(), steps }
    }
}

/// The request `id`, and the requests that began the stream that it resumes.
fn with_earlier<'a>(id: &'a str, lines: &'a [LogLine]) -> BTreeSet<&'a str> {
    let mut ids = BTreeSet::new();
    let mut next = Some(id);
    while let Some(id) = next.filter(|id| !id.is_empty() && ids.insert(*id)) {
        let taken_up = lines
            .iter()
            .find(|line| line.event() == RESUMPTION_EVENT && line.get("id") == Some(id));
        next = taken_up.and_then(|line| line.get("began_as"));
    }
    ids
}

fn topic(line: &LogLine) -> Option<&'static str> {
    STATE_EVENTS.iter().find(|(event, _)| *event == line.event()).map(|(_, topic)| *topic)
}

fn step(line: &LogLine, known: &BTreeMap<(String, String), &LogLine>) -> Step {
    let at_ms = line.at_ms().unwrap_or(0);
    let target = line.get("target");
    let of_host = known.iter().filter(|((host, _), _)| host == line.host());
    let relevant =
        of_host.filter(|(_, state)| state.get("target").is_none_or(|t| Some(t) == target));
    let known_state = relevant.filter_map(|(_, state)| {
        Some(KnownState {
            topic: topic(state)?,
            age_ms: at_ms.saturating_sub(state.at_ms()?),
            state: join(state.details()),
        })
    });
    Step {
        at_ms,
        host: line.host().to_owned(),
        event: line.event().to_owned(),
        details: line.details().map(|(key, value)| (key.to_owned(), value.to_owned())).collect(),
        known_state: known_state.collect(),
    }
}

fn join<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
    pairs.join(" ")
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.steps.first() else {
            return write!(f, "no line tells of request {}", self.id);
        };
        write!(f, "request {}", self.id)?;
        for step in &self.steps {
            let after = step.at_ms - first.at_ms;
            let details = step.details.iter().map(|(key, value)| (key.as_str(), value.as_str()));
            write!(f, "\n+{after:>6} ms  {}  {}: {}", step.host, step.event, join(details))?;
            for known in &step.known_state {
                let KnownState { topic, age_ms, state } = known;
                write!(f, "\n            believed, told {age_ms} ms before: {topic}: {state}")?;
            }
        }
        Ok(())
    }
}
