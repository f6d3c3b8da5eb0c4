//! Settings of a member of a self-forming control group.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::checks::Checks;
use crate::jsonc::{Fault, Validate};
use crate::raft::{MembershipRules, Timing};
use crate::serving::ledger::Bounds;

/// Percentage of the process's memory that may be used for calls of operators and targets. The largest configuration
/// fits at the lowest `memory_mb`.
const API_MEMORY_PERCENT: usize = 30;
/// Percentage of it that may be used for frames of members and gateways.
const PEER_MEMORY_PERCENT: usize = 30;
/// One in so many descriptors is for operators and targets: all targets may call the few members that are left.
const API_DESCRIPTORS: usize = 2;
/// One in so many descriptors is for connections from members and gateways. The rest is for files, connections to other
/// members, and metrics.
const PEER_DESCRIPTORS: usize = 4;
/// Lower limit of `memory_mb`, in MiB.
const MIN_MEMORY_MB: usize = 64;
/// Lower limit of `max_descriptors`.
const MIN_DESCRIPTORS: usize = 64;
/// Maximum value of `bear_losses`.
const MAX_LOSSES: usize = 4;

/// Settings of a member of a self-forming control group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberSettings {
    /// Name of this host.
    pub host: String,
    /// Data halls of the system by name, with the region of each.
    pub data_halls: BTreeMap<String, String>,
    /// Address of the API for operators and targets.
    pub listen: Option<SocketAddr>,
    /// IP address at which others reach this host, if it differs from that of `listen`.
    pub advertise: Option<IpAddr>,
    /// IP address that outgoing connections are bound to; by default the operating system chooses.
    pub source: Option<IpAddr>,
    /// Port on which members accept other members and gateways, the same on every host.
    pub peer_port: u16,
    /// Address that serves metrics, if any.
    pub metrics_listen: Option<SocketAddr>,
    /// API addresses of some members, through which this one finds the group.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds form a new group, as at the first start of the whole system.
    pub found: bool,
    /// Folder of the durable state.
    pub data_dir: PathBuf,
    /// Number of members that the group can lose at the same time; it keeps `2 * bear_losses + 1` voters.
    pub bear_losses: usize,
    /// Interval of the leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Minimum election timeout, counted from the leader's last message.
    pub election_min_ms: u64,
    /// Maximum election timeout.
    pub election_max_ms: u64,
    /// Time without an answer after which a voter is replaced by a standby member.
    pub replace_after_ms: u64,
    /// Number of log entries after which the log is compacted into a snapshot.
    pub compact_after_entries: usize,
    /// Interval of each target's heartbeats.
    pub target_heartbeat_ms: u64,
    /// Bandwidth of this host's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Maximum fraction of a service's requests that a faulty version may get during its roll-out, from 0 to 1.
    pub expose_share: f64,
    /// Timeout for answering a call of an operator or a target.
    pub answer_within_ms: u64,
    /// File descriptors that the process may use.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB. Three tenths of it are for calls of operators and targets, and as much
    /// for frames of members and gateways.
    pub memory_mb: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            host: String::new(),
            data_halls: BTreeMap::new(),
            listen: None,
            advertise: None,
            source: None,
            peer_port: 0,
            metrics_listen: None,
            seeds: Vec::new(),
            found: false,
            data_dir: PathBuf::new(),
            bear_losses: 2,
            heartbeat_ms: 100,
            election_min_ms: 500,
            election_max_ms: 1_000,
            replace_after_ms: 1_500,
            compact_after_entries: 300,
            target_heartbeat_ms: 1_000,
            link_mbps: 1_000.0,
            expose_share: 0.1,
            answer_within_ms: 900,
            max_descriptors: 4_096,
            memory_mb: 256,
        }
    }
}

impl MemberSettings {
    /// Intervals and timeouts of Raft.
    pub fn timing(&self) -> Timing {
        Timing {
            heartbeat: Duration::from_millis(self.heartbeat_ms),
            election_min: Duration::from_millis(self.election_min_ms),
            election_max: Duration::from_millis(self.election_max_ms),
        }
    }

    /// Rules by which the leader maintains the number of voters.
    pub fn membership_rules(&self) -> MembershipRules {
        MembershipRules {
            voters: 2 * self.bear_losses + 1,
            unresponsive_after: Duration::from_millis(self.replace_after_ms),
            remove_after: Duration::from_millis(self.replace_after_ms) * 20,
        }
    }

    /// Address at which other members reach this one.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        let ip = self.advertise.or(self.listen.map(|listen| listen.ip()))?;
        Some(SocketAddr::new(ip, self.peer_port))
    }

    /// Address on which this member listens for other members.
    pub fn peer_listen(&self) -> Option<SocketAddr> {
        self.listen.map(|listen| SocketAddr::new(listen.ip(), self.peer_port))
    }

    /// Bounds for operators and targets.
    pub(super) fn api_bounds(&self) -> Bounds {
        let max_connections = self.max_descriptors / API_DESCRIPTORS;
        Bounds::of_memory(self.memory_mb, API_MEMORY_PERCENT, max_connections)
    }

    /// Bounds for connections from members and gateways.
    pub(super) fn peer_bounds(&self) -> Bounds {
        let max_connections = self.max_descriptors / PEER_DESCRIPTORS;
        Bounds::of_memory(self.memory_mb, PEER_MEMORY_PERCENT, max_connections)
    }

    /// Addresses at which members reach the seeds.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_port)).collect()
    }
}

impl Validate for MemberSettings {
    fn faults(&self) -> Vec<Fault> {
        let mut checks = Checks::default();
        checks.require(!self.host.is_empty(), "host", "must name this host");
        let listens = self.listen.is_some();
        checks.require(listens, "listen", "must be an address such as 10.0.0.4:8229");
        checks.require(self.peer_port > 0, "peer_port", "must be a port above 0");
        checks.require(!self.seeds.is_empty(), "seeds", "must name at least one member");
        let folder = !self.data_dir.as_os_str().is_empty();
        checks.require(folder, "data_dir", "must name a folder");
        checks.require(self.bear_losses <= MAX_LOSSES, "bear_losses", "must be at most 4");
        checks.above_zero(&[("heartbeat_ms", self.heartbeat_ms)]);
        let apart = self.election_min_ms >= 2 * self.heartbeat_ms;
        checks.require(apart, "election_min_ms", "must be at least twice heartbeat_ms");
        let ordered = self.election_max_ms > self.election_min_ms;
        checks.require(ordered, "election_max_ms", "must be above election_min_ms");
        let after_election = self.replace_after_ms >= self.election_max_ms;
        checks.require(after_election, "replace_after_ms", "must be at least election_max_ms");
        checks.above_zero(&[
            ("compact_after_entries", self.compact_after_entries as u64),
            ("target_heartbeat_ms", self.target_heartbeat_ms),
            ("answer_within_ms", self.answer_within_ms),
        ]);
        checks.positive("link_mbps", self.link_mbps);
        checks.require(self.memory_mb >= MIN_MEMORY_MB, "memory_mb", "must be at least 64");
        let descriptors = self.max_descriptors >= MIN_DESCRIPTORS;
        checks.require(descriptors, "max_descriptors", "must be at least 64");
        let share = self.expose_share > 0.0 && self.expose_share <= 1.0;
        checks.require(share, "expose_share", "must be above 0 and at most 1");
        checks.faults()
    }
}
