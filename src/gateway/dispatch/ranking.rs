//! Which gateways dispatch to a brittle target: rendezvous hashing over the gateways that members named, so that all
//! gateways agree without asking each other.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Places of a target for each gateway that dispatches to it.
const PLACES_PER_DISPATCHER: u32 = 16;
/// Rejections withstood in a second for each gateway that dispatches to a target.
const REJECTIONS_PER_DISPATCHER: u32 = 4;

/// In what capacity a gateway dispatches to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// By the ranking.
    Appointed,
    /// For one that some gateways can't reach, and that may go on serving others.
    Substitute,
}

/// Number of gateways that dispatch to one target. With few places or rejections one gateway must know of all requests.
pub fn dispatchers_of(slots: u32, withstands: u32) -> usize {
    let places = slots / PLACES_PER_DISPATCHER;
    let rejections = withstands / REJECTIONS_PER_DISPATCHER;
    places.min(rejections).max(1) as usize
}

/// The gateways in the order in which they dispatch to the target with this key.
pub fn rank(gateways: &[SocketAddr], target: u64) -> Vec<SocketAddr> {
    let mut ranked = gateways.to_vec();
    ranked.sort_by_cached_key(|addr| {
        (std::cmp::Reverse(xxh3_64_with_seed(addr.to_string().as_bytes(), target)), *addr)
    });
    ranked
}
