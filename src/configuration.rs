//! The configuration of routes, services, client limits and teams, and the checks that it must pass to be accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::jsonc::{Fault, Validate};
use crate::millis;

/// Whether a request may be repeated, and whether its answer is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// Not idempotent: a request may run at most once.
    Unsafe,
    /// Answered by a stream of events; a request may run at most once.
    Stream,
    /// Answered by a stream of events that another target can resume.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be repeated.
    pub fn idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service with its share of a route's requests.
// Serde's errors, which callers see, name this type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weighted {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: u64,
}

/// Rules for requests to a host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host name of the requests, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and whether answers are streamed.
    pub kind: RouteKind,
    /// Deadline of a request, from its arrival.
    #[serde(with = "millis", rename = "timeout_ms")]
    pub timeout: Duration,
    /// Target latency of an answer, for streams of the first event.
    #[serde(with = "millis", rename = "goal_ms")]
    pub goal: Duration,
    /// Target for the longest pause between events of a stream.
    #[serde(with = "millis::option", rename = "gap_goal_ms", default)]
    pub gap_goal: Option<Duration>,
    /// Priority of its requests, 0 being the highest; the team's priority takes precedence.
    #[serde(default)]
    pub priority: u32,
    /// Services to which requests are distributed; the weights add up to more than 0.
    pub services: Vec<Weighted>,
    /// Maximum number of targets that a request is sent to.
    pub max_attempts: u32,
    /// Regions whose targets may get its requests; empty for all.
    #[serde(default)]
    pub regions: Vec<String>,
    /// Whether requests without a key are accepted.
    #[serde(default)]
    pub public: bool,
    /// Whether requests prefer targets that have the prefix of their prompt cached.
    #[serde(default)]
    pub sticky: bool,
}

impl Route {
    /// Sum of the weights of its services.
    pub fn total_weight(&self) -> u64 {
        let weights = self.services.iter().map(|weighted| weighted.weight);
        weights.fold(0, u64::saturating_add)
    }
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Maximum number of connections to one target from all gateways together.
    #[serde(default)]
    pub max_connections: Option<u32>,
    /// Number of requests that one target processes concurrently, if known.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Path at which its targets answer health checks, if known.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Whether its targets serve models.
    #[serde(default)]
    pub engine: bool,
    /// Whether its targets can fetch cached prompt prefixes from each other.
    #[serde(default)]
    pub fetches: bool,
    /// How long a target may be cold after its start.
    #[serde(with = "millis", rename = "cold_start_ms", default)]
    pub cold_start: Duration,
    /// Requests per second that a cold target can handle; 0 if not known.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// Limits on what clients send, and on the time that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the head.
    #[serde(with = "millis", rename = "header_timeout_ms")]
    pub header_timeout: Duration,
    /// Timeout for idle connections.
    #[serde(with = "millis", rename = "idle_timeout_ms")]
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A tenant: callers with common keys and a common priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 being the highest.
    #[serde(default)]
    pub priority: u32,
    /// Regions whose targets may get its requests; empty for all. The regions of the route apply as well.
    #[serde(default)]
    pub regions: Vec<String>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; a configuration replaces those with lower versions.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for clients.
    #[serde(default)]
    pub limits: ClientLimits,
    /// All teams; `None` if requests need no key.
    #[serde(default)]
    pub teams: Option<Vec<Team>>,
}

impl Validate for Configuration {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.check_routes(&mut faults);
        self.check_services(&mut faults);
        self.check_teams(&mut faults);
        faults
    }
}

impl Configuration {
    fn check_routes(&self, faults: &mut Vec<Fault>) {
        let services: BTreeSet<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        let mut by_prefix = BTreeMap::new();
        for (at, route) in self.routes.iter().enumerate() {
            for weighted in &route.services {
                if !services.contains(weighted.service.as_str()) {
                    let message = format!("names the unknown service {:?}", weighted.service);
                    faults.push(Fault::new(format!("routes[{at}].service"), message));
                }
            }
            if route.total_weight() == 0 {
                let message = "the weights of its services add up to 0";
                faults.push(Fault::new(format!("routes[{at}].service"), message));
            }
            if route.timeout.is_zero() {
                faults.push(Fault::new(format!("routes[{at}].timeout_ms"), "must be above 0"));
            }
            if let Some(other) = by_prefix.insert((&route.host, &route.prefix), at) {
                let message = format!("has the host and prefix of routes[{other}]");
                faults.push(Fault::new(format!("routes[{at}].prefix"), message));
            }
        }
    }

    fn check_services(&self, faults: &mut Vec<Fault>) {
        for (at, service) in self.services.iter().enumerate() {
            if !service.cold_per_s.is_finite() || service.cold_per_s < 0.0 {
                let message = "must be a number of at least 0";
                faults.push(Fault::new(format!("services[{at}].cold_per_s"), message));
            }
        }
    }

    fn check_teams(&self, faults: &mut Vec<Fault>) {
        let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
        for (at, team) in self.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                match holders.insert(key, &team.name) {
                    Some(other) if other != team.name => {
                        let message = format!("holds a key of team {other:?} too");
                        faults.push(Fault::new(format!("teams[{at}].keys"), message));
                    }
                    _ => {}
                }
            }
        }
    }
}
