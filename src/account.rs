//! Counts a day's requests by how they ended, from the logs of the gateways.
//!
//! Logs are read line by line and the number of rows is bounded, so that logs of any length take little memory.
//! Lines in another format and truncated lines are counted and skipped.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead};

use serde::Serialize;

use crate::logline::LogLine;

/// Maximum number of rows. Beyond it, requests are counted without the second they ended in.
const MAX_ROWS: usize = 50_000;
/// Maximum number of distinct ends. Clients choose the paths, so their number is not bounded otherwise.
const MAX_ENDS: usize = 2_000;
/// Route of the requests beyond [`MAX_ENDS`].
const OTHER_ROUTES: &str = "others";
/// Maximum number of routes shown for each reason in the text output, those with the most requests.
const MAX_ROUTES_SHOWN: usize = 8;
/// Maximum number of seconds shown in the text output, those with the most unanswered requests.
const MAX_SECONDS_SHOWN: usize = 12;
const SECOND_MS: u64 = 1_000;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct End {
    /// Event of the log line: `answered`, `refused`, `given_up`, `stream_cut` or `client_left`.
    pub event: String,
    /// The logged reason; for `answered`, the HTTP status.
    pub reason: String,
    /// The route; for a request without one, the first segment of its path.
    pub route: String,
}

/// Number of requests that ended in one way, in one second.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// How the requests ended.
    #[serde(flatten)]
    pub end: End,
    /// Second, counted from the time of the first line; `None` for requests beyond `MAX_ROWS`.
    pub second: Option<u64>,
    /// Number of requests.
    pub requests: u64,
}

/// Counts of requests by how they ended and in which second.
#[derive(Clone, Debug, Default)]
pub struct Account {
    ended: BTreeMap<End, BTreeMap<Option<u64>, u64>>,
    rows: usize,
    first_ms: Option<u64>,
    /// Number of lines read.
    lines: u64,
    /// Number of lines that are not empty and could not be parsed.
    unparsed: u64,
}

/// The counts as written to JSON.
#[derive(Serialize)]
struct Report {
    requests: u64,
    lines: u64,
    foreign_lines: u64,
    rows: Vec<Row>,
}

impl Account {
    /// Counts the requests in all lines of a log.
    ///
    /// # Errors
    /// When reading fails; invalid UTF-8 is not an error.
    pub fn read(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut line = Vec::new();
        while log.read_until(b'\n', &mut line)? > 0 {
            self.add_line(&String::from_utf8_lossy(&line));
            line.clear();
        }
        Ok(())
    }

    /// Counts the request whose end a line reports, if it reports one.
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

    /// Total number of requests.
    pub fn requests(&self) -> u64 {
        self.ended.values().flat_map(BTreeMap::values).sum()
    }

    /// Number of lines that are not empty and could not be parsed.
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

    /// Formats the counts as JSON.
    ///
    /// # Errors
    /// When `serde_json` fails to serialize them.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        let report = Report {
            requests: self.requests(),
            lines: self.lines,
            foreign_lines: self.unparsed,
            rows: self.rows(),
        };
        serde_json::to_string_pretty(&report)
    }

    /// Requests by event and reason, each with its routes, in descending order of requests.
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

    /// The seconds with the most requests that were not answered, in descending order.
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

/// Event of a request that was answered.
const ANSWERED: &str = "answered";

/// How a request ended, if the event of the line is one that ends a request.
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

/// The path up to its second slash.
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
