//! Chooses the peers that a request is offered to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::group::relay_peers::RelayPeer;

/// Maximum number of peers that one request is offered to.
pub const MAX_OFFERS: usize = 6;
/// How long a peer that can't be reached is left out.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);
/// How long a peer that refused a request for its own reasons is left out for the same service.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Weight of peers in this gateway's data hall: they get a larger part, since bytes between halls cost more, but not
/// all, since their own clients need them too.
const NEAR_WEIGHT: f64 = 2.0;

/// The peers that send requests on behalf of this gateway, and what it knows of them.
#[derive(Clone, Debug, Default)]
pub struct PeerSelection {
    peers: Vec<RelayPeer>,
    /// Until when a peer is left out.
    unreachable: HashMap<SocketAddr, Duration>,
    /// Until when a peer is left out for a service.
    refused: HashMap<(SocketAddr, String), Duration>,
}

impl PeerSelection {
    /// Replaces the peers by those that a member named.
    pub fn set_peers(&mut self, peers: Vec<RelayPeer>) {
        self.peers = peers;
    }

    /// Whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Peers to offer a request for the service to, one after the other. `draw` returns numbers from 0 to 1.
    pub fn order(
        &self,
        now: Duration,
        service: &str,
        data_hall: &str,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<SocketAddr> {
        let usable = self.peers.iter().filter(|peer| self.usable(now, peer.addr, service));
        let mut drawn: Vec<(f64, SocketAddr)> = usable
            .map(|peer| {
                let weight = if peer.data_hall == data_hall { NEAR_WEIGHT } else { 1.0 };
                (draw().powf(1.0 / weight), peer.addr)
            })
            .collect();
        drawn.sort_by(|a, b| b.0.total_cmp(&a.0));
        drawn.into_iter().take(MAX_OFFERS).map(|(_, addr)| addr).collect()
    }

    /// Records that a peer could not be reached.
    pub fn note_unreachable(&mut self, now: Duration, peer: SocketAddr) {
        self.unreachable.retain(|_, until| now < *until);
        self.unreachable.insert(peer, now + UNREACHABLE_PAUSE);
    }

    /// Records that a peer was reached after all.
    pub fn note_reachable(&mut self, peer: SocketAddr) {
        self.unreachable.remove(&peer);
    }

    /// Records that a peer refused a request for the service for its own reasons.
    pub fn note_refused(&mut self, now: Duration, peer: SocketAddr, service: &str) {
        self.refused.retain(|_, until| now < *until);
        self.refused.insert((peer, service.to_owned()), now + REFUSED_PAUSE);
    }

    /// Whether a peer is not left out for the service.
    pub fn usable(&self, now: Duration, peer: SocketAddr, service: &str) -> bool {
        let reachable = self.unreachable.get(&peer).is_none_or(|until| now >= *until);
        let refused = self.refused.get(&(peer, service.to_owned()));
        reachable && refused.is_none_or(|until| now >= *until)
    }
}
