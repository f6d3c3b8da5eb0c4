//! Settings of a gateway.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::mechanism::Mechanism;
use crate::checks::Checks;
use crate::jsonc::{Fault, Validate};

/// Bytes of a KiB and a MiB.
const KIB: usize = 1_024;
const MIB: usize = 1_024 * KIB;
/// Tenths of the memory that may be held for clients; buffers of connections come on top. With a list of 9,999 targets a
/// gateway takes 14 MB of 160 without any.
const HELD_MEMORY_TENTHS: usize = 4;
/// Least memory that a gateway runs in, in MiB.
const MIN_MEMORY_MB: usize = 32;

/// What a gateway does when it has long heard no member that hears a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnStale {
    /// Refuse requests, so that an accepted change is in force wherever requests are served.
    #[default]
    Refuse,
    /// Serve on what was last known.
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
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// Address that this host connects from, when the system's choice is not right.
    pub source: Option<IpAddr>,
    /// Where the balancer asks whether this gateway is ready.
    pub ready_listen: Option<SocketAddr>,
    /// Where metrics are served, if anywhere.
    pub metrics_listen: Option<SocketAddr>,
    /// Addresses of some members, as operators reach them.
    pub members: Vec<SocketAddr>,
    /// Port of members for gateways, and of gateways for each other, the same on every host.
    pub peer_port: u16,
    /// What to do without news.
    pub on_stale: OnStale,
    /// Time without news from which the gateway's beliefs are stale.
    pub stale_after_ms: u64,
    /// Further arrivals at a service, as a part of the requests for it.
    pub retry_ratio: f64,
    /// Length of the window that the budget of retries holds for, in seconds.
    pub retry_window_s: f64,
    /// Further arrivals at a service in a window beyond the ratio, for all gateways together.
    pub retry_slack: f64,
    /// No engine gets more than this multiple of the mean load, and some.
    pub load_bound: f64,
    /// Multiple of the stated rate that a target may get from all gateways while it is slow after its start.
    pub cold_over: f64,
    /// Requests beyond that multiple in any second.
    pub cold_slack: f64,
    /// Longest time to connect to a target.
    pub connect_timeout_ms: u64,
    /// Longest time that bytes sent to a target stay unacknowledged.
    pub unacknowledged_ms: u64,
    /// Time after its start within which a gateway expects its first configuration; requests that come before that
    /// wait for it, afterwards they are refused at once. 0: they never wait. After a loss of all power configurations came
    /// 0.2 to 0.7 s after the start of 65 gateways.
    pub first_news_within_ms: u64,
    /// Longest time that a planned stop takes.
    pub stop_within_ms: u64,
    /// Descriptors that the process may use.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB; four tenths of it are for bodies of requests and answers that clients
    /// send or read slowly.
    pub memory_mb: usize,
    /// Most of an answer that is kept for a client that reads it slowly, in KiB, so that its target is done meanwhile.
    pub client_buffer_kb: usize,
    /// Longest time that a client with a full buffer reads nothing before its connection is cut, in milliseconds: its
    /// target waits as well, and gives up after some seconds.
    pub client_unread_ms: u64,
    /// Most that bodies of requests under way at one target have together, from all gateways, in KiB.
    pub target_bodies_kb: usize,
    /// Mechanisms that are left out, to see what each is worth; none in service.
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
    /// Where the members in the settings are reached by gateways.
    pub fn member_peers(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| SocketAddr::new(member.ip(), self.peer_port)).collect()
    }

    /// Where other gateways fetch news from this one.
    pub fn peer_listen(&self) -> Option<SocketAddr> {
        self.listen.map(|listen| SocketAddr::new(listen.ip(), self.peer_port))
    }

    /// Most that is held for clients, in bytes.
    pub fn max_held_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(MIB) / 10 * HELD_MEMORY_TENTHS
    }

    /// Most of an answer that is kept for one client, in bytes.
    pub fn client_buffer_bytes(&self) -> usize {
        self.client_buffer_kb.saturating_mul(KIB)
    }

    /// Most that bodies of requests of one of so many gateways have together at a target, in bytes.
    pub fn max_target_body_bytes(&self, gateways: u32) -> usize {
        self.target_bodies_kb.saturating_mul(KIB) / (gateways.max(1) as usize)
    }

    /// Whether the mechanism is in use.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    /// Longest time to connect to a target.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }
}

impl Validate for GatewaySettings {
    fn faults(&self) -> Vec<Fault> {
        let mut checks = Checks::default();
        checks.demand(!self.host.is_empty(), "host", "must name this host");
        let listens = self.listen.is_some();
        checks.demand(listens, "listen", "must be an address such as 10.0.0.4:8080");
        checks.demand(!self.members.is_empty(), "members", "must name at least one member");
        checks.demand(self.peer_port > 0, "peer_port", "must be a port above 0");
        let ratio = (0.0..=10.0).contains(&self.retry_ratio);
        checks.demand(ratio, "retry_ratio", "must be from 0 to 10");
        checks.positive("retry_window_s", self.retry_window_s);
        checks.demand(self.retry_slack >= 0.0, "retry_slack", "must be at least 0");
        checks.demand(self.load_bound >= 1.0, "load_bound", "must be at least 1");
        checks.demand(self.cold_over >= 0.0, "cold_over", "must be at least 0");
        checks.demand(self.cold_slack >= 0.0, "cold_slack", "must be at least 0");
        checks.demand(self.memory_mb >= MIN_MEMORY_MB, "memory_mb", "must be at least 32");
        checks.demand(self.client_buffer_kb > 0, "client_buffer_kb", "must be above 0");
        checks.demand(self.target_bodies_kb > 0, "target_bodies_kb", "must be above 0");
        checks.above_zero(&[
            ("client_unread_ms", self.client_unread_ms),
            ("stale_after_ms", self.stale_after_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("unacknowledged_ms", self.unacknowledged_ms),
            ("stop_within_ms", self.stop_within_ms),
        ]);
        checks.demand(self.max_descriptors >= 64, "max_descriptors", "must be at least 64");
        checks.faults()
    }
}
