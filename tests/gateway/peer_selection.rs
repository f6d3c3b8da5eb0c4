//! Which peer gateways a request is offered to, and which gateways a member names to another.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use latchmount::gateway::via_peer::selection::{MAX_OFFERS, PeerSelection};
use latchmount::group::relay_peers::{RelayPeer, RelayPeers};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeds::seed;

fn addr(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    ([10, 0, high, low], 7420).into()
}

fn peer(number: u16, data_hall: &str) -> RelayPeer {
    RelayPeer { addr: addr(number), data_hall: data_hall.into() }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_peer_that_refused_or_was_not_reached_is_left_out_for_a_while() {
    let mut selection = PeerSelection::default();
    assert!(selection.is_empty());
    selection.set_peers(vec![peer(1, "a"), peer(2, "a"), peer(3, "b")]);
    selection.note_unreachable(at(0), addr(1));
    selection.note_refused(at(0), addr(2), "s");
    let offered = |now, service| -> BTreeSet<SocketAddr> {
        selection.order(at(now), service, "a", || 0.5).into_iter().collect()
    };
    assert_eq!(offered(10, "s"), [addr(3)].into());
    assert_eq!(offered(10, "other"), [addr(2), addr(3)].into());
    assert_eq!(offered(600, "s"), [addr(2), addr(3)].into());
    assert_eq!(offered(1_100, "s"), [addr(1), addr(2), addr(3)].into());
}

#[test]
fn a_peer_that_was_reached_after_all_is_not_left_out_any_more() {
    let mut selection = PeerSelection::default();
    selection.set_peers(vec![peer(1, "a")]);
    selection.note_unreachable(at(0), addr(1));
    assert!(!selection.usable(at(100), addr(1), "s"));
    selection.note_reachable(addr(1));
    assert!(selection.usable(at(100), addr(1), "s"));
}

#[test]
fn requests_are_spread_over_all_peers_and_those_nearby_get_more() {
    let mut rng = StdRng::seed_from_u64(seed());
    let mut selection = PeerSelection::default();
    let near = (0..4).map(|number| peer(number, "a"));
    selection.set_peers(near.chain((4..12).map(|number| peer(number, "b"))).collect());
    let mut firsts: HashMap<SocketAddr, u32> = HashMap::new();
    for _ in 0..12_000 {
        let order = selection.order(at(0), "s", "a", || rng.random());
        assert_eq!(order.len(), MAX_OFFERS);
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), MAX_OFFERS, "{order:?}");
        *firsts.entry(order[0]).or_default() += 1;
    }
    assert_eq!(firsts.len(), 12);
    // Weights 2 and 1: each of the four near ones is expected to get 1,500, each of the others 750.
    for (peer, count) in firsts {
        let expected = if peer.ip() < addr(4).ip() { 1_500 } else { 750 };
        assert!(count.abs_diff(expected) < 250, "{peer}: {count}");
    }
}

#[test]
fn a_gateway_is_told_some_gateways_of_its_hall_and_some_of_others_but_not_itself() {
    let mut peers = RelayPeers::default();
    (0..20).for_each(|number| peers.connect(&peer(number, "a")));
    let remote = (100..160).map(|number| peer(number, if number < 120 { "a" } else { "b" }));
    peers.record_member(at(0), addr(9_000), remote.collect());
    let told = peers.select(at(10), &peer(7, "a"));
    assert_eq!(told.len(), 16);
    assert_eq!(told.iter().filter(|peer| peer.data_hall == "a").count(), 8);
    assert!(!told.contains(&peer(7, "a")));
    assert_eq!(told, peers.select(at(20), &peer(7, "a")));
}

#[test]
fn no_gateway_is_named_to_far_more_others_than_the_rest() {
    let mut peers = RelayPeers::default();
    (0..340).for_each(|number| peers.connect(&peer(number, ["a", "b", "c"][number as usize % 3])));
    let mut named: HashMap<SocketAddr, u32> = HashMap::new();
    for number in 0..340 {
        let gateway = peer(number, ["a", "b", "c"][number as usize % 3]);
        for told in peers.select(at(0), &gateway) {
            *named.entry(told.addr).or_default() += 1;
        }
    }
    assert_eq!(named.len(), 340);
    // Each is named to 16 others on average.
    assert!(named.values().all(|count| *count <= 48), "{:?}", named.values().max());
}

#[test]
fn gateways_that_left_or_whose_member_fell_silent_are_not_named() {
    let mut peers = RelayPeers::default();
    peers.connect(&peer(1, "a"));
    peers.connect(&peer(1, "a"));
    peers.record_member(at(0), addr(9_000), vec![peer(2, "a")]);
    let gateway = peer(5, "a");
    let mut told = peers.select(at(100), &gateway);
    told.sort();
    assert_eq!(told, [peer(1, "a"), peer(2, "a")]);
    assert_eq!(peers.select(at(2_500), &gateway), [peer(1, "a")]);
    peers.disconnect(&peer(1, "a"));
    assert_eq!(peers.local(), [peer(1, "a")]);
    peers.disconnect(&peer(1, "a"));
    assert!(peers.select(at(2_500), &gateway).is_empty());
}
