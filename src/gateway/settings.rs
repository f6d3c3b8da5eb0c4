//! Settings of a gateway.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::mechanism::Mechanism;
use crate::checks::Checks;
use crate::jsonc::{Fault, Validate};
use crate::serving::ledger::Bounds;

/// Bytes in a KiB.
const KIB: usize = 1_024;
/// Percentage of the process's memory that may be used for clients: their connections, requests and answers. Without any
/// of them, a gateway with 9,999 targets uses 14 MB of 160.
const CLIENT_MEMORY_PERCENT: usize = 35;
/// Percentage of the process's memory that may be used for requests of other gateways.
const PEER_MEMORY_PERCENT: usize = 10;
/// One in so many descriptors is for clients; most others are for targets.
const CLIENT_DESCRIPTORS: usize = 2;
/// Lower limit of `memory_mb`, in MiB.
const MIN_MEMORY_MB: usize = 32;

/// What a gateway does when it has had no update of a member with contact to a leader for `stale_after_ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnStale {
    /// Refuse requests, so that every gateway that serves requests has applied all accepted changes.
    #[default]
    Refuse,
    /// Continue to serve with the last known state.
    Serve,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewaySettings {
    /// Name of this host.
    pub host: String,
    /// Data hall of this host.
    pub data_hall: String,
    /// Data halls of the system, with their regions.
    pub data_halls: BTreeMap<String, String>,
    /// Address on which clients connect.
    pub listen: Option<SocketAddr>,
    /// Source address of outgoing connections, where the operating system would choose a wrong one.
    pub source: Option<IpAddr>,
    /// Address of the readiness endpoint for the load balancer.
    pub ready_listen: Option<SocketAddr>,
    /// Address on which metrics are served; none without one.
    pub metrics_listen: Option<SocketAddr>,
    /// API addresses of some members, the same that operators use.
    pub members: Vec<SocketAddr>,
    /// Port on which members take connections of gateways, and gateways those of each other; the same on every host.
    pub peer_port: u16,
    /// What to do without updates.
    pub on_stale: OnStale,
    /// Time without updates after which the gateway's state counts as stale.
    pub stale_after_ms: u64,
    /// Retry budget: retries allowed per request to a service.
    pub retry_ratio: f64,
    /// Length of the retry budget's window, in seconds.
    pub retry_window_s: f64,
    /// Retries allowed to a service per window in addition to the ratio, for all gateways together.
    pub retry_slack: f64,
    /// Bounded-load factor: an engine gets at most this multiple of the mean load, plus a small constant.
    pub load_bound: f64,
    /// A cold target may get this multiple of its service's `cold_per_s` from all gateways together.
    pub cold_over: f64,
    /// Requests in any second that a cold target may get in addition to that multiple.
    pub cold_slack: f64,
    /// Timeout for connections to targets.
    pub connect_timeout_ms: u64,
    /// A connection to a target fails when sent bytes stay unacknowledged for this long.
    pub unacknowledged_ms: u64,
    /// Time after its start within which a gateway expects its first configuration. Until then requests wait for the
    /// configuration, afterwards they are refused at once; with 0 they never wait. When 65 gateways started together
    /// after a power failure, their configurations arrived after 0.2 to 0.7 s.
    pub first_news_within_ms: u64,
    /// Upper limit for the duration of a planned stop.
    pub stop_within_ms: u64,
    /// File descriptors that the process may use.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB. 35 percent of it are for clients: their connections, the requests that
    /// they send and the answers that they read.
    pub memory_mb: usize,
    /// Buffer for the answer to a client that reads slowly, in KiB, so that its target can finish earlier.
    pub client_buffer_kb: usize,
    /// A client whose buffer is full and that reads nothing for this long is disconnected, in milliseconds. Its target
    /// waits meanwhile, and would time out after some seconds.
    pub client_unread_ms: u64,
    /// Upper limit for the bodies of all requests in flight at one target, from all gateways together, in KiB.
    pub target_bodies_kb: usize,
    /// Mechanisms that are switched off, to measure the effect of each; empty in production.
    pub without: Vec<Mechanism>,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            host: String::new(),
            data_hall: String::new(),
            data_halls: BTreeMap::new(),
            listen: None,
            source: None,
            ready_listen: None,
            metrics_listen: None,
            members: Vec::new(),
            peer_port: 0,
            on_stale: OnStale::Refuse,
            stale_after_ms: 6_000,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
            load_bound: 1.25,
            cold_over: 1.0,
            cold_slack: 0.0,
            connect_timeout_ms: 300,
            unacknowledged_ms: 500,
            first_news_within_ms: 1_000,
            stop_within_ms: 10_000,
            max_descriptors: 4_096,
            memory_mb: 160,
            client_buffer_kb: 256,
            client_unread_ms: 2_000,
            target_bodies_kb: 16_384,
            without: Vec::new(),
        }
    }
}

impl GatewaySettings {
    /// Addresses of the members in the settings for connections of gateways.
    pub fn member_peers(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| SocketAddr::new(member.ip(), self.peer_port)).collect()
    }

    /// Address on which other gateways fetch blobs from this one.
    pub fn peer_listen(&self) -> Option<SocketAddr> {
        self.listen.map(|listen| SocketAddr::new(listen.ip(), self.peer_port))
    }

    /// Bounds for all clients.
    pub fn client_bounds(&self) -> Bounds {
        let max_connections = self.max_descriptors / CLIENT_DESCRIPTORS;
        Bounds::of_memory(self.memory_mb, CLIENT_MEMORY_PERCENT, max_connections)
    }

    /// Bounds for other gateways, which may open this many connections.
    pub(super) fn peer_bounds(&self, max_connections: usize) -> Bounds {
        Bounds::of_memory(self.memory_mb, PEER_MEMORY_PERCENT, max_connections)
    }

    /// Limit for the buffered part of the answer to one client, in bytes.
    pub fn client_buffer_bytes(&self) -> usize {
        self.client_buffer_kb.saturating_mul(KIB)
    }

    /// This gateway's share of the limit for bodies of requests in flight at one target, in bytes, when there are
    /// `gateways` of them.
    pub fn max_target_body_bytes(&self, gateways: u32) -> usize {
        self.target_bodies_kb.saturating_mul(KIB) / (gateways.max(1) as usize)
    }

    /// Whether the mechanism is in use.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    /// Timeout for connections to targets.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }
}

impl Validate for GatewaySettings {
    fn faults(&self) -> Vec<Fault> {
        let mut checks = Checks::default();
        checks.require(!self.host.is_empty(), "host", "must name this host");
        let listens = self.listen.is_some();
        checks.require(listens, "listen", "must be an address such as 10.0.0.4:8080");
        checks.require(!self.members.is_empty(), "members", "must name at least one member");
        checks.require(self.peer_port > 0, "peer_port", "must be a port above 0");
        let ratio = (0.0..=10.0).contains(&self.retry_ratio);
        checks.require(ratio, "retry_ratio", "must be from 0 to 10");
        checks.positive("retry_window_s", self.retry_window_s);
        checks.require(self.retry_slack >= 0.0, "retry_slack", "must be at least 0");
        checks.require(self.load_bound >= 1.0, "load_bound", "must be at least 1");
        checks.require(self.cold_over >= 0.0, "cold_over", "must be at least 0");
        checks.require(self.cold_slack >= 0.0, "cold_slack", "must be at least 0");
        checks.require(self.memory_mb >= MIN_MEMORY_MB, "memory_mb", "must be at least 32");
        checks.require(self.client_buffer_kb > 0, "client_buffer_kb", "must be above 0");
        let buffer_fits = self.client_buffer_bytes() <= self.client_bounds().max_bytes;
        let message = "must fit into 35 percent of memory_mb, which are for clients";
        checks.require(buffer_fits, "client_buffer_kb", message);
        checks.require(self.target_bodies_kb > 0, "target_bodies_kb", "must be above 0");
        checks.above_zero(&[
            ("client_unread_ms", self.client_unread_ms),
            ("stale_after_ms", self.stale_after_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("unacknowledged_ms", self.unacknowledged_ms),
            ("stop_within_ms", self.stop_within_ms),
        ]);
        checks.require(self.max_descriptors >= 64, "max_descriptors", "must be at least 64");
        checks.faults()
    }
}
