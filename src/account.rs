//! A day's requests by how they ended, from the logs of the gateways.
//!
//! Reads line by line, so that logs of any length take little memory. Lines that others wrote, or that
//! were cut off, are counted and passed over.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead};

use serde::Serialize;

use crate::logline::LogLine;

/// Most rows that are kept apart; what would make more is counted without its second.
const MAX_ROWS: usize = 50_000;
/// Most ends that are kept apart; clients choose paths, so that there may be any number.
const MAX_ENDS: usize = 2_000;
/// Stands for the routes and paths beyond those.
const OTHER_ROUTES: &str = "others";
/// Routes of a reason that the text shows, those with most requests.
const MAX_ROUTES_SHOWN: usize = 8;
/// Seconds that the text shows, those with most requests that were not answered.
const MAX_SECONDS_SHOWN: usize = 12;
/// Milliseconds of a second.
const SECOND_MS: u64 = 1_000;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct End {
    /// What happened: `answered`, or the event of a refusal, a failure or a client that left.
    pub event: String,
    /// Its reason; the status of an answer.
    pub reason: String,
    /// The route; for a request without one, its path up to the second slash.
    pub route: String,
}

/// Requests of one kind of end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// How they ended.
    #[serde(flatten)]
    pub end: End,
    /// Second of the day, counted from the first line; none where there are too many rows.
    pub second: Option<u64>,
    /// Requests.
    pub requests: u64,
}

/// Requests by how they ended.
#[derive(Clone, Debug, Default)]
pub struct Account {
    ended: BTreeMap<End, BTreeMap<Option<u64>, u64>>,
    rows: usize,
    first_ms: Option<u64>,
    /// Lines read.
    lines: u64,
    /// Lines that tell of nothing that can be read.
    unparsed: u64,
}

/// The account as JSON.
#[derive(Serialize)]
struct Report {
    requests: u64,
    lines: u64,
    foreign_lines: u64,
    rows: Vec<Row>,
}

impl Account {
    /// Takes all lines of a log.
    ///
    /// # Errors
    /// When the log can't be read; bytes that are no text are no error.
    pub fn read(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut line = Vec::new();
        while log.read_until(b'\n', &mut line)? > 0 {
            self.add_line(&String::from_utf8_lossy(&line));
            line.clear();
        }
        Ok(())
    }

    /// Takes one line.
    pub fn add_line(&mut self, line: &str) {
        self.lines += 1;
        let Some(line) = LogLine::parse(line) else {
            self.unparsed += u64::from(!line.trim().is_empty());
            return;
        };
        let at_ms = line.at_ms().unwrap_or(0);
        let first_ms = *self.first_ms.get_or_insert(at_ms);
        if let Some(end) = end(&line) {
            let stands_for = line.get("stands_for").and_then(|count| count.parse().ok());
            let second = at_ms.saturating_sub(first_ms) / SECOND_MS;
            self.count(end, second, stands_for.unwrap_or(1));
        }
    }

    fn count(&mut self, mut end: End, second: u64, requests: u64) {
        if self.ended.len() >= MAX_ENDS && !self.ended.contains_key(&end) {
            end.route = OTHER_ROUTES.to_owned();
        }
        let seconds = self.ended.entry(end).or_default();
        let second = Some(second)
            .filter(|second| self.rows < MAX_ROWS || seconds.contains_key(&Some(*second)));
        let before = seconds.len();
        *seconds.entry(second).or_default() += requests;
        self.rows += seconds.len() - before;
    }

    /// Requests in all.
    pub fn requests(&self) -> u64 {
        self.ended.values().flat_map(BTreeMap::values).sum()
    }

    /// Lines that could not be read.
    pub fn unparsed(&self) -> u64 {
        self.unparsed
    }

    /// All rows, by how the requests ended and then by second.
    pub fn rows(&self) -> Vec<Row> {
        let row = |(end, seconds): (&End, &BTreeMap<Option<u64>, u64>)| {
            let end = end.clone();
            let rows = seconds.iter().map(move |(second, requests)| Row {
                end: end.clone(),
                second: *second,
                requests: *requests,
            });
            rows.collect::<Vec<Row>>()
        };
        self.ended.iter().flat_map(row).collect()
    }

    /// The account as JSON.
    ///
    /// # Errors
    /// Those of the JSON library.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        let report = Report {
            requests: self.requests(),
            lines: self.lines,
            foreign_lines: self.unparsed,
            rows: self.rows(),
        };
        serde_json::to_string_pretty(&report)
    }

    /// Requests by event and reason, the most first.
    fn reasons(&self) -> Vec<(String, BTreeMap<&str, u64>)> {
        let mut reasons: BTreeMap<String, BTreeMap<&str, u64>> = BTreeMap::new();
        for (end, seconds) in &self.ended {
            let routes = reasons.entry(format!("{} {}", end.event, end.reason)).or_default();
            *routes.entry(&end.route).or_default() += seconds.values().sum::<u64>();
        }
        let mut reasons: Vec<_> = reasons.into_iter().collect();
        reasons.sort_by_key(|(_, routes)| std::cmp::Reverse(routes.values().sum::<u64>()));
        reasons
    }

    /// Seconds by requests that were not answered, the most first.
    fn worst_seconds(&self) -> Vec<(u64, u64)> {
        let mut seconds: BTreeMap<u64, u64> = BTreeMap::new();
        for row in self.rows().into_iter().filter(|row| row.end.event != ANSWERED) {
            if let Some(second) = row.second {
                *seconds.entry(second).or_default() += row.requests;
            }
        }
        let mut seconds: Vec<_> = seconds.into_iter().collect();
        seconds.sort_by_key(|(second, requests)| (std::cmp::Reverse(*requests), *second));
        seconds.truncate(MAX_SECONDS_SHOWN);
        seconds
    }
}

/// The event of an answer.
const ANSWERED: &str = "answered";

/// How the request of a line ended, if the line is the last that tells of one.
fn end(line: &LogLine) -> Option<End> {
    let reason = match line.event() {
        ANSWERED => line.get("status")?,
        "refused" | "given_up" | "stream_cut" => line.get("reason")?,
        "client_left" => "client_left",
        _ => return None,
    };
    let route = line.get("route").map(str::to_owned);
    let route = route.or_else(|| line.get("path").map(first_segment)).unwrap_or_default();
    Some(End { event: line.event().to_owned(), reason: reason.to_owned(), route })
}

/// A path up to its second slash.
fn first_segment(path: &str) -> String {
    let second = path.match_indices('/').nth(1).map_or(path.len(), |(at, _)| at);
    path[..second].to_owned()
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = self.requests();
        let share = |requests: u64| 100.0 * requests as f64 / all.max(1) as f64;
        write!(f, "{all} requests, {} lines, {} of them not ours", self.lines, self.unparsed)?;
        for (reason, routes) in self.reasons() {
            let requests = routes.values().sum();
            write!(f, "\n{requests:>9} {:>7.3} %  {reason}", share(requests))?;
            let mut routes: Vec<(&str, u64)> = routes.into_iter().collect();
            routes.sort_by_key(|(_, requests)| std::cmp::Reverse(*requests));
            for (route, requests) in routes.into_iter().take(MAX_ROUTES_SHOWN) {
                write!(f, "\n{requests:>9} {:>7.3} %      {route}", share(requests))?;
            }
        }
        for (second, requests) in self.worst_seconds() {
            write!(f, "\nsecond {second}: {requests} not answered")?;
        }
        Ok(())
    }
}
