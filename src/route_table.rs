//! Look-up of a request's route and team in the configuration in force.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::configuration::{ClientLimits, Configuration, Route, RouteKind, Service, Team};

/// A configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: ClientLimits,
    /// Routes by host name, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    services: HashMap<String, Service>,
    /// Services whose streams can be resumed.
    resumable: HashSet<String>,
    /// Teams by API key; `None` if requests need no key.
    teams: Option<HashMap<String, Arc<Team>>>,
    teams_by_name: HashMap<String, Arc<Team>>,
}

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Unauthenticated, where no key is needed.
    Anyone,
    /// The team that has the key.
    Team(Arc<Team>),
    /// Rejected: the key is missing or unknown.
    Unknown,
}

impl Caller {
    /// Name of the team that the caller belongs to.
    pub fn team(&self) -> Option<&str> {
        match self {
            Caller::Team(team) => Some(&team.name),
            Caller::Anyone | Caller::Unknown => None,
        }
    }
}

impl RouteTable {
    /// Indexes a configuration that has passed its checks.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let resumable = resumable_services(&configuration.routes);
        for route in configuration.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let by_name = |service: Service| (service.name.clone(), service);
        let teams: Option<Vec<Arc<Team>>> =
            configuration.teams.map(|teams| teams.into_iter().map(Arc::new).collect());
        let named = teams.iter().flatten().map(|team| (team.name.clone(), team.clone()));
        let teams_by_name = named.collect();
        let by_key = |teams: Vec<Arc<Team>>| {
            let keys = teams.into_iter().flat_map(|team| {
                team.keys.iter().map(|key| (key.clone(), team.clone())).collect::<Vec<_>>()
            });
            keys.collect()
        };
        RouteTable {
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            resumable,
            services: configuration.services.into_iter().map(by_name).collect(),
            teams: teams.map(by_key),
            teams_by_name,
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits for clients.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether streams of a service can be resumed.
    pub fn resumes_streams(&self, service: &str) -> bool {
        self.resumable.contains(service)
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The team with this name.
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams_by_name.get(name)
    }

    /// The sender of a request on this route, by its API key.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(teams) = &self.teams else {
            return Caller::Anyone;
        };
        let team = key.and_then(|key| teams.get(key));
        match team {
            Some(team) => Caller::Team(team.clone()),
            None if route.public => Caller::Anyone,
            None => Caller::Unknown,
        }
    }
}

/// Services whose streams can be resumed on any route.
fn resumable_services(routes: &[Route]) -> HashSet<String> {
    let resumable = routes.iter().filter(|route| route.kind == RouteKind::ResumableStream);
    resumable.flat_map(|route| &route.services).map(|one| one.service.clone()).collect()
}

/// The host name without the port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
