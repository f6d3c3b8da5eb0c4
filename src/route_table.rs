//! Finds the route and the team of a request in the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{ClientLimits, Configuration, Route, Service, Team};

/// A configuration, made ready for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: ClientLimits,
    /// Routes by host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Service>,
    teams: Option<HashMap<String, Arc<Team>>>,
}

/// Who sends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// No key is needed.
    Anyone,
    /// The holder of the key.
    Team(Arc<Team>),
    /// The key is missing or unknown.
    Unknown,
}

impl RouteTable {
    /// Makes a checked configuration ready.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in configuration.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let named = |service: Service| (service.name.clone(), service);
        let by_key = |teams: Vec<Team>| {
            let teams = teams.into_iter().map(Arc::new);
            let keys = teams.flat_map(|team| {
                team.keys.iter().map(|key| (key.clone(), team.clone())).collect::<Vec<_>>()
            });
            keys.collect()
        };
        RouteTable {
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            services: configuration.services.into_iter().map(named).collect(),
            teams: configuration.teams.map(by_key),
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

    /// The route of a host whose prefix is the longest that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host_name(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Who sends a request with this key on this route.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(teams) = &self.teams else {
            return Caller::Anyone;
        };
        let holder = key.and_then(|key| teams.get(key));
        match holder {
            Some(team) => Caller::Team(team.clone()),
            None if route.public => Caller::Anyone,
            None => Caller::Unknown,
        }
    }
}

/// The host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
