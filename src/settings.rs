//! Settings of a router or control member, read from JSON with comments and validated before anything starts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::jsonc::{self, Fault, Validate};
use crate::raft::Timing;
use crate::serving::ledger::Bounds as ConnectionBounds;
use crate::slots::Bounds;
use crate::template::check_name;

/// Minimum length of the secret shared by the hosts of a partner.
const MIN_KEY_BYTES: usize = 16;
/// Number of hex digits of a SHA-256 hash.
const SHA256_HEX_LEN: usize = 64;
/// Maximum freshness lease. An accepted change is in force at every router when the lease has passed.
const MAX_LEASE_MS: u64 = 19_000;
/// Lower limit of `memory_mb`, in MiB.
const MIN_MEMORY_MB: usize = 64;
/// Percentage of the process's memory that may be used for connections and for what is sent on them.
const CLIENT_MEMORY_PERCENT: usize = 35;
/// Maximum of open connections of a control member, from members, routers and operators, sized for 340 routers.
const MAX_CONTROL_CONNECTIONS: usize = 4_096;
/// Maximum of all other intervals: a day.
const MAX_INTERVAL_MS: u64 = 86_400_000;

/// Error reading a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file has faults. The message names the first of them; `latchmount check` prints them all.
    #[error("{path} has {} fault(s); run `latchmount check` on it: {}", .faults.len(), .faults[0])]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All faults.
        faults: Vec<Fault>,
    },
}

/// Settings of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Name of this host, as the platform's list has it.
    pub host: String,
    /// Data hall of this host.
    pub data_hall: String,
    /// Partner that this host belongs to: one of the organizations that share the capacity. Each partner has its own
    /// control group.
    pub partner: String,
    /// Secret with which the hosts of a partner authenticate to each other, at least 16 bytes.
    pub key: String,
    /// Base URL of the platform, which publishes its list of hosts and targets under `/targets`.
    pub platform_url: String,
    /// Settings of the router, if this process runs one.
    pub router: Option<RouterSettings>,
    /// Settings of the control member, if this process runs one.
    pub control: Option<ControlSettings>,
}

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouterSettings {
    /// Address to listen on for clients; also serves `/healthz` and `/metrics`.
    pub listen: Option<SocketAddr>,
    /// Address at which other routers reach this one, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of the partner's control members.
    pub control: Vec<SocketAddr>,
    /// Interval between reads of the platform's list.
    pub list_poll_ms: u64,
    /// Age beyond which the list is no longer proof that a target is alive.
    pub list_max_age_ms: u64,
    /// Timeout for connecting to a target.
    pub connect_timeout_ms: u64,
    /// Deadline of a request that sets none.
    pub default_deadline_ms: u64,
    /// Timeout for receiving the body of a request.
    pub body_timeout_ms: u64,
    /// Maximum size of the body of a request.
    pub max_body_kib: usize,
    /// Maximum number of connections from clients.
    pub max_connections: usize,
    /// Memory that the process may use, in MiB. 35 percent of it are for clients: their connections, and the requests
    /// that they send.
    pub memory_mb: usize,
    /// Maximum load of an engine, as a multiple of the mean load.
    pub load_bound: f64,
    /// The same for the first turn of a chat; lower than `load_bound`, to keep slots free for returning chats.
    pub first_turn_bound: f64,
    /// Maximum number of requests in flight at one engine from all routers. The teams' shares divide the sum over all
    /// engines.
    pub engine_slots: usize,
    /// Number of chats whose prefixes fit into the cache of one engine.
    pub cached_chats: usize,
    /// Maximum number of requests in flight at one target from this router.
    pub max_in_flight_per_target: usize,
    /// Maximum number of requests queued while every target is at its bound.
    pub queue_len: usize,
    /// Maximum time that a request is queued.
    pub queue_wait_ms: u64,
    /// Retries allowed, as a percentage of recent successes.
    pub retry_percent: f64,
    /// Maximum time that an orderly stop waits for requests in flight.
    pub stop_timeout_ms: u64,
    /// How long the health check fails at the start of an orderly stop before new requests are refused.
    pub stop_notice_ms: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        RouterSettings {
            listen: None,
            advertise: None,
            control: Vec::new(),
            list_poll_ms: 1_000,
            list_max_age_ms: 10_000,
            connect_timeout_ms: 1_000,
            default_deadline_ms: 120_000,
            body_timeout_ms: 10_000,
            max_body_kib: 1_024,
            max_connections: 10_000,
            memory_mb: 1_024,
            load_bound: 1.25,
            first_turn_bound: 1.1,
            engine_slots: 256,
            cached_chats: 1_500,
            max_in_flight_per_target: 256,
            queue_len: 64,
            queue_wait_ms: 1_000,
            retry_percent: 10.0,
            stop_timeout_ms: 600_000,
            stop_notice_ms: 2_000,
        }
    }
}

/// Settings of a control member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ControlSettings {
    /// Address to listen on for other members, routers and operators.
    pub listen: Option<SocketAddr>,
    /// Address at which the others reach this member, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses at which the members reach each other, including that of this one.
    pub peers: Vec<SocketAddr>,
    /// Folder for the state kept on disk.
    pub data_dir: PathBuf,
    /// Operators of the partner.
    pub operators: Vec<Operator>,
    /// Interval between heartbeats of the leader.
    pub heartbeat_ms: u64,
    /// Minimum time without a heartbeat from the leader before an election.
    pub election_min_ms: u64,
    /// Maximum time without a heartbeat from the leader before an election.
    pub election_max_ms: u64,
    /// How long a router may use a configuration after a leader has confirmed that it is in force.
    pub freshness_lease_ms: u64,
    /// Number of log entries at which they are replaced by a snapshot.
    pub compact_after_entries: usize,
    /// Number of model loads per minute that the weight store allows.
    pub loads_per_minute: u32,
    /// Memory that the process may use, in MiB. 35 percent of it are for the connections and calls of members, routers
    /// and operators.
    pub memory_mb: usize,
}

impl Default for ControlSettings {
    fn default() -> Self {
        ControlSettings {
            listen: None,
            advertise: None,
            peers: Vec::new(),
            data_dir: PathBuf::new(),
            operators: Vec::new(),
            heartbeat_ms: 100,
            election_min_ms: 600,
            election_max_ms: 1_200,
            freshness_lease_ms: 6_000,
            compact_after_entries: 1_000,
            loads_per_minute: 30,
            memory_mb: 2_048,
        }
    }
}

/// An operator who may see and change the partner's templates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Operator {
    /// Name under which the history records the operator's changes.
    pub name: String,
    /// SHA-256 of the bearer token, in hex.
    pub token_sha256: String,
}

fn check_memory(faults: &mut Vec<Fault>, path: &str, memory_mb: usize) {
    if memory_mb < MIN_MEMORY_MB {
        faults.push(Fault::new(path, "must be at least 64"));
    }
}

impl ControlSettings {
    /// Bounds on the connections of members, routers and operators.
    pub(crate) fn connection_bounds(&self) -> ConnectionBounds {
        ConnectionBounds::of_memory(self.memory_mb, CLIENT_MEMORY_PERCENT, MAX_CONTROL_CONNECTIONS)
    }

    /// Address at which the others reach this member.
    pub fn advertised_addr(&self) -> Option<SocketAddr> {
        self.advertise.or(self.listen)
    }

    /// Heartbeat and election timing of Raft.
    pub fn timing(&self) -> Timing {
        Timing {
            heartbeat: Duration::from_millis(self.heartbeat_ms),
            election_min: Duration::from_millis(self.election_min_ms),
            election_max: Duration::from_millis(self.election_max_ms),
        }
    }

    /// How long a router may use a configuration after a leader has confirmed that it is in force.
    pub fn freshness_lease(&self) -> Duration {
        Duration::from_millis(self.freshness_lease_ms)
    }

    fn check(&self, faults: &mut Vec<Fault>) {
        check_listen(faults, "control.listen", self.listen);
        check_addrs(faults, "control.peers", &self.peers);
        let own = self.advertised_addr();
        if own.is_some_and(|own| !self.peers.is_empty() && !self.peers.contains(&own)) {
            let message = "must contain this member's own address";
            faults.push(Fault::new("control.peers", message));
        }
        if self.data_dir.as_os_str().is_empty() {
            faults.push(Fault::new("control.data_dir", "must name a folder"));
        }
        check_operators(faults, &self.operators);
        check_interval(faults, "control.heartbeat_ms", self.heartbeat_ms);
        check_interval(faults, "control.election_max_ms", self.election_max_ms);
        if self.election_min_ms < 2 * self.heartbeat_ms {
            let message = "must be at least twice control.heartbeat_ms";
            faults.push(Fault::new("control.election_min_ms", message));
        }
        if self.election_max_ms <= self.election_min_ms {
            let message = "must be above control.election_min_ms";
            faults.push(Fault::new("control.election_max_ms", message));
        }
        if self.freshness_lease_ms < 2 * self.election_max_ms
            || self.freshness_lease_ms > MAX_LEASE_MS
        {
            let message = format!(
                "must be at least twice control.election_max_ms, so that an election stops no \
                 router, and at most {MAX_LEASE_MS}"
            );
            faults.push(Fault::new("control.freshness_lease_ms", message));
        }
        check_memory(faults, "control.memory_mb", self.memory_mb);
        if self.compact_after_entries == 0 {
            faults.push(Fault::new("control.compact_after_entries", "must be above 0"));
        }
    }
}

impl RouterSettings {
    /// Bounds on the connections of clients.
    pub(crate) fn connection_bounds(&self) -> ConnectionBounds {
        ConnectionBounds::of_memory(self.memory_mb, CLIENT_MEMORY_PERCENT, self.max_connections)
    }

    /// Load limits of the engines.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            returning: self.load_bound,
            first_turn: self.first_turn_bound,
            engine_slots: self.engine_slots,
            cached_chats: self.cached_chats,
        }
    }

    /// Address at which other routers reach this one.
    pub fn advertised_addr(&self) -> Option<SocketAddr> {
        self.advertise.or(self.listen)
    }

    fn check(&self, faults: &mut Vec<Fault>) {
        check_listen(faults, "router.listen", self.listen);
        check_addrs(faults, "router.control", &self.control);
        let intervals = [
            ("router.list_poll_ms", self.list_poll_ms),
            ("router.list_max_age_ms", self.list_max_age_ms),
            ("router.connect_timeout_ms", self.connect_timeout_ms),
            ("router.default_deadline_ms", self.default_deadline_ms),
            ("router.body_timeout_ms", self.body_timeout_ms),
            ("router.queue_wait_ms", self.queue_wait_ms),
            ("router.stop_timeout_ms", self.stop_timeout_ms),
        ];
        for (path, value) in intervals {
            check_interval(faults, path, value);
        }
        if self.list_max_age_ms <= self.list_poll_ms {
            let message = "must be above router.list_poll_ms";
            faults.push(Fault::new("router.list_max_age_ms", message));
        }
        let counts = [
            ("router.max_body_kib", self.max_body_kib),
            ("router.max_connections", self.max_connections),
            ("router.engine_slots", self.engine_slots),
            ("router.cached_chats", self.cached_chats),
            ("router.max_in_flight_per_target", self.max_in_flight_per_target),
        ];
        for (path, value) in counts {
            if value == 0 {
                faults.push(Fault::new(path, "must be above 0"));
            }
        }
        check_memory(faults, "router.memory_mb", self.memory_mb);
        let most = self.connection_bounds().largest_bytes() / 1_024;
        if self.max_body_kib > most {
            let message = format!("must be at most {most}, the clients' part of router.memory_mb");
            faults.push(Fault::new("router.max_body_kib", message));
        }
        if !(self.load_bound >= 1.0 && self.load_bound <= 10.0) {
            faults.push(Fault::new("router.load_bound", "must be 1 to 10 times the mean"));
        } else if !(self.first_turn_bound >= 1.0 && self.first_turn_bound <= self.load_bound) {
            let message = "must be 1 to router.load_bound";
            faults.push(Fault::new("router.first_turn_bound", message));
        }
        if !(0.0..=100.0).contains(&self.retry_percent) {
            faults.push(Fault::new("router.retry_percent", "must be 0 to 100"));
        }
    }
}

impl Settings {
    /// Reads and validates the settings in `path`.
    ///
    /// # Errors
    /// [`SettingsError`] when the file can't be read or has faults.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        jsonc::from_str(&text)
            .map_err(|faults| SettingsError::Invalid { path: path.to_owned(), faults })
    }
}

impl Validate for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_name(&mut faults, "host", &self.host);
        check_name(&mut faults, "data_hall", &self.data_hall);
        check_name(&mut faults, "partner", &self.partner);
        if self.key.len() < MIN_KEY_BYTES {
            let message = format!("must have at least {MIN_KEY_BYTES} bytes");
            faults.push(Fault::new("key", message));
        }
        if !self.platform_url.starts_with("http://") {
            let message = "must be a URL that starts with http://";
            faults.push(Fault::new("platform_url", message));
        }
        if let Some(router) = &self.router {
            router.check(&mut faults);
        }
        if let Some(control) = &self.control {
            control.check(&mut faults);
        }
        if self.router.is_none() && self.control.is_none() {
            faults.push(Fault::new("", "needs a `router` section, a `control` section or both"));
        }
        faults
    }
}

fn check_listen(faults: &mut Vec<Fault>, path: &str, listen: Option<SocketAddr>) {
    if listen.is_none() {
        faults.push(Fault::new(path, "must be an address with a port, such as 10.0.0.1:7000"));
    }
}

fn check_addrs(faults: &mut Vec<Fault>, path: &str, addrs: &[SocketAddr]) {
    if addrs.is_empty() {
        faults.push(Fault::new(path, "must name at least one address"));
    }
    let mut seen = BTreeSet::new();
    for (at, addr) in addrs.iter().enumerate() {
        if !seen.insert(addr) {
            faults.push(Fault::new(format!("{path}[{at}]"), format!("{addr} is listed twice")));
        }
    }
}

fn check_interval(faults: &mut Vec<Fault>, path: &str, millis: u64) {
    if millis == 0 || millis > MAX_INTERVAL_MS {
        let message = format!("must be 1 to {MAX_INTERVAL_MS} milliseconds");
        faults.push(Fault::new(path, message));
    }
}

fn check_operators(faults: &mut Vec<Fault>, operators: &[Operator]) {
    let mut seen = BTreeSet::new();
    for (at, operator) in operators.iter().enumerate() {
        let path = format!("control.operators[{at}]");
        check_name(faults, &format!("{path}.name"), &operator.name);
        if !seen.insert(&operator.name) {
            faults.push(Fault::new(format!("{path}.name"), "is the name of an earlier operator"));
        }
        let hex = operator.token_sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hex || operator.token_sha256.len() != SHA256_HEX_LEN {
            let message = "must be the SHA-256 of the token, 64 hex digits";
            faults.push(Fault::new(format!("{path}.token_sha256"), message));
        }
    }
}
