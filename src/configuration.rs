//! A whole configuration: routes, services, limits and teams, checked before it is accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::jsonc::{Fault, Validate};
use crate::millis;

/// What may happen to a request when its outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// It may run more than once.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// It is answered by a stream of events and may run at most once.
    Stream,
    /// It is answered by a stream that another target can go on with.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its part, against the sum of all weights of the route.
    pub weight: u64,
}

/// Where requests of a host below a path prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may happen to its requests.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    #[serde(with = "millis", rename = "timeout_ms")]
    pub timeout: Duration,
    /// Time within which an answer, or the first event of one, is worth most.
    #[serde(with = "millis", rename = "goal_ms")]
    pub goal: Duration,
    /// Longest pause between events for which a stream is in time.
    #[serde(with = "millis::option", rename = "gap_goal_ms", default)]
    pub gap_goal: Option<Duration>,
    /// Rank of its requests, 0 first; counts after the team's.
    #[serde(default)]
    pub priority: u32,
    /// Services, with weights that add up to more than 0.
    pub services: Vec<WeightedService>,
    /// Most targets that a request is sent to.
    pub max_attempts: u32,
    /// Regions whose targets may get its requests; any without one.
    #[serde(default)]
    pub regions: Vec<String>,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// Whether requests are best served by a target that has seen the beginning of their prompt.
    #[serde(default)]
    pub sticky: bool,
}

impl Route {
    /// Sum of its services' weights.
    pub fn total_weight(&self) -> u64 {
        let weights = self.services.iter().map(|weighted| weighted.weight);
        weights.fold(0, u64::saturating_add)
    }
}

/// A group of targets that do the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Most connections to one target from all routers together.
    #[serde(default)]
    pub max_connections: Option<u32>,
    /// Requests that one target works on at once, where the service states it.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Whether its targets serve models.
    #[serde(default)]
    pub engine: bool,
    /// Whether its targets can fetch what they keep of a prompt from each other.
    #[serde(default)]
    pub fetches: bool,
    /// How long a target may stay slow after its start.
    #[serde(with = "millis", rename = "cold_start_ms", default)]
    pub cold_start: Duration,
    /// Requests a second that a target bears while it is slow after its start; 0 where none is stated.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// What a client may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the head.
    #[serde(with = "millis", rename = "header_timeout_ms")]
    pub header_timeout: Duration,
    /// Longest time that a connection is idle.
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

/// Callers that share keys and a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests, 0 first.
    #[serde(default)]
    pub priority: u32,
    /// Regions whose targets may get its requests; any without one. Those of a route bind besides.
    #[serde(default)]
    pub regions: Vec<String>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Higher ones take the place of lower ones.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for clients.
    #[serde(default)]
    pub limits: ClientLimits,
    /// All teams; `None` when requests need no key.
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
        let mut places = BTreeMap::new();
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
            if let Some(other) = places.insert((&route.host, &route.prefix), at) {
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
