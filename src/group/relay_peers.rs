//! Gateways that send requests to targets on behalf of others which can't reach them.
//!
//! Each member tells the other members which of its gateways do, and each of its gateways the addresses of a few.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of gateways that a member names to the others.
const MAX_PER_MEMBER: usize = 64;
/// Maximum number of gateways of its own data hall that a gateway is told, and the same for other data halls.
const MAX_PER_GATEWAY: usize = 8;
/// Maximum number of gateways that dispatch to brittle targets.
const MAX_DISPATCHERS: usize = 64;
/// How long another member's list counts.
const LIST_TTL: Duration = Duration::from_millis(2_500);
/// Shortest time between two selections for one gateway.
const MIN_SELECTION_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two selections for each known gateway: a selection goes through all of them.
const SELECTION_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(5);

/// A gateway that sends requests on behalf of others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RelayPeer {
    /// Address where it takes connections of other gateways.
    pub addr: SocketAddr,
    /// Its data hall.
    pub data_hall: String,
}

/// The gateways of this member, and those that other members named.
#[derive(Debug, Default)]
pub struct RelayPeers {
    /// With the number of connections of each; a gateway may have two for a moment.
    connected: BTreeMap<RelayPeer, usize>,
    /// By the address of the member that named them, with the time at which it did.
    remote: HashMap<SocketAddr, (Duration, Vec<RelayPeer>)>,
}

impl RelayPeers {
    /// Adds a gateway's connection to this member.
    pub fn connect(&mut self, peer: &RelayPeer) {
        *self.connected.entry(peer.clone()).or_default() += 1;
    }

    /// Removes a gateway's connection to this member.
    pub fn disconnect(&mut self, peer: &RelayPeer) {
        if let Some(connections) = self.connected.get_mut(peer) {
            *connections -= 1;
            if *connections == 0 {
                self.connected.remove(peer);
            }
        }
    }

    /// Records the gateways that another member names.
    pub fn record_member(&mut self, now: Duration, member: SocketAddr, peers: Vec<RelayPeer>) {
        self.remote.insert(member, (now, peers));
        self.remote.retain(|_, (at, _)| now < *at + LIST_TTL);
    }

    /// The gateways that this member names to the others.
    pub fn local(&self) -> Vec<RelayPeer> {
        self.connected.keys().take(MAX_PER_MEMBER).cloned().collect()
    }

    /// The gateways that one gateway is told: some of its data hall and some of others, in an order of its own, so that
    /// the gateways are spread over each other.
    pub fn select(&self, now: Duration, gateway: &RelayPeer) -> Vec<RelayPeer> {
        let remote = self.remote.values().filter(|(at, _)| now < *at + LIST_TTL);
        let all = self.connected.keys().chain(remote.flat_map(|(_, peers)| peers));
        let mut others: Vec<&RelayPeer> = all.filter(|peer| peer.addr != gateway.addr).collect();
        let seed = xxh3_64_with_seed(gateway.addr.to_string().as_bytes(), 0);
        others.sort_by_cached_key(|peer| {
            (xxh3_64_with_seed(peer.addr.to_string().as_bytes(), seed), peer.addr)
        });
        others.dedup_by_key(|peer| peer.addr);
        let (near, far): (Vec<&RelayPeer>, Vec<&RelayPeer>) =
            others.into_iter().partition(|peer| peer.data_hall == gateway.data_hall);
        let selected = near.into_iter().take(MAX_PER_GATEWAY);
        selected.chain(far.into_iter().take(MAX_PER_GATEWAY)).cloned().collect()
    }

    /// The gateways that dispatch to brittle targets: the same ones by the word of every member.
    pub fn dispatchers(&self, now: Duration) -> Vec<SocketAddr> {
        let remote = self.remote.values().filter(|(at, _)| now < *at + LIST_TTL);
        let all = self.connected.keys().chain(remote.flat_map(|(_, peers)| peers));
        let mut addrs: Vec<SocketAddr> = all.map(|peer| peer.addr).collect();
        addrs.sort_by_cached_key(|addr| (xxh3_64(addr.to_string().as_bytes()), *addr));
        addrs.dedup();
        addrs.truncate(MAX_DISPATCHERS);
        addrs
    }

    /// Time until the next selection for the same gateway.
    pub fn selection_interval(&self) -> Duration {
        let remote = self.remote.values().map(|(_, peers)| peers.len()).sum::<usize>();
        let known = (self.connected.len() + remote) as u32;
        MIN_SELECTION_INTERVAL.max(SELECTION_INTERVAL_PER_GATEWAY * known)
    }
}
