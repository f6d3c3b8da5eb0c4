//! Tells the story of one request from the logs of several processes.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::logline::LogLine;

/// Events by which a process tells what it believes, and what each belief is about.
const BELIEFS: [(&str, &str); 13] = [
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

/// Events with which a process starts.
const STARTS: [&str; 2] = ["gateway_started", "member_started"];

/// What a process believed of a matter at some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Belief {
    /// The matter.
    pub matter: &'static str,
    /// How long before the decision it was last told, in milliseconds.
    pub age_ms: u64,
    /// What was told.
    pub told: String,
}

/// One decision on the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Time of day, in milliseconds since 1970.
    pub at_ms: u64,
    /// Host that decided.
    pub host: String,
    /// What happened.
    pub event: String,
    /// What it was decided on, and how it went.
    pub details: BTreeMap<String, String>,
    /// What the host believed then.
    pub beliefs: Vec<Belief>,
}

/// The story of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Story {
    /// The request.
    pub id: String,
    /// Its decisions, by time.
    pub steps: Vec<Step>,
}

impl Story {
    /// Picks the story of `id` out of log lines of any processes, in any order.
    pub fn of<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Story {
        let mut parsed: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
        parsed.sort_by_key(LogLine::at_ms);
        let mut known: BTreeMap<(String, String), &LogLine> = BTreeMap::new();
        let mut steps = Vec::new();
        for line in &parsed {
            if line.get("id") == Some(id) {
                steps.push(step(line, &known));
            }
            if STARTS.contains(&line.event()) {
                // A process that starts believes nothing yet.
                known.retain(|(host, _), _| host != line.host());
            }
            if let Some(matter) = matter(line) {
                let about = line.get("target").unwrap_or("");
                known.insert((line.host().to_owned(), format!("{matter} {about}")), line);
            }
        }
        Story { id: id.to_owned(), steps }
    }
}

fn matter(line: &LogLine) -> Option<&'static str> {
    BELIEFS.iter().find(|(event, _)| *event == line.event()).map(|(_, matter)| *matter)
}

fn step(line: &LogLine, known: &BTreeMap<(String, String), &LogLine>) -> Step {
    let at_ms = line.at_ms().unwrap_or(0);
    let target = line.get("target");
    let here = known.iter().filter(|((host, _), _)| host == line.host());
    let concerns = here.filter(|(_, told)| told.get("target").is_none_or(|t| Some(t) == target));
    let beliefs = concerns.filter_map(|(_, told)| {
        Some(Belief {
            matter: matter(told)?,
            age_ms: at_ms.saturating_sub(told.at_ms()?),
            told: join(told.details()),
        })
    });
    Step {
        at_ms,
        host: line.host().to_owned(),
        event: line.event().to_owned(),
        details: line.details().map(|(key, value)| (key.to_owned(), value.to_owned())).collect(),
        beliefs: beliefs.collect(),
    }
}

fn join<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let words: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
    words.join(" ")
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.steps.first() else {
            return write!(f, "no line tells of request {}", self.id);
        };
        write!(f, "request {}", self.id)?;
        for step in &self.steps {
            let after = step.at_ms - first.at_ms;
            let details = step.details.iter().map(|(key, value)| (key.as_str(), value.as_str()));
            write!(f, "\n+{after:>6} ms  {}  {}: {}", step.host, step.event, join(details))?;
            for belief in &step.beliefs {
                let Belief { matter, age_ms, told } = belief;
                write!(f, "\n            believed, told {age_ms} ms before: {matter}: {told}")?;
            }
        }
        Ok(())
    }
}
