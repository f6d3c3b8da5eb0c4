//! Tests of the leader's registry of routers.

use std::time::Duration;

use super::Registry;
use crate::rpc::{Report, SyncRequest};

const LEASE: Duration = Duration::from_secs(6);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn sync_request(router: &str) -> SyncRequest {
    SyncRequest {
        router: router.into(),
        addr: Some(([10, 0, 0, 1], 1).into()),
        routers_known: 0,
        group: Default::default(),
        known: 0,
        wait_ms: 0,
        report: Report::default(),
    }
}

/// A registry that recorded one call, at second `when`.
fn registry_with(router: &str, when: u64, revision: u64) -> Registry {
    let mut registry = Registry::new(LEASE);
    registry.record(at(when), revision, sync_request(router));
    registry
}

#[test]
fn a_router_heard_after_the_clock_was_read_is_heard_just_now() {
    let status = registry_with("r", 10, 1).status(at(9));
    assert_eq!(status[0].heard_ms_ago, 0);
}

#[test]
fn a_revision_is_in_force_only_when_no_live_router_is_behind() {
    let mut registry = registry_with("behind", 10, 1);
    registry.record(at(10), 2, sync_request("ready"));
    let reply = registry.in_force(at(11), at(0), 2);
    assert!(!reply.in_force);
    assert_eq!((reply.behind, reply.ready), (vec!["behind".into()], vec!["ready".into()]));
    assert!(registry.in_force(at(11), at(0), 1).in_force);
    // The lease of the router that is behind has run out, so it has stopped admitting requests.
    registry.record(at(15), 2, sync_request("ready"));
    assert!(registry.in_force(at(17), at(0), 2).in_force);
}

#[test]
fn a_new_leader_waits_for_a_lease_before_it_knows_every_router() {
    let registry = registry_with("ready", 10, 2);
    assert!(!registry.in_force(at(11), at(8), 2).in_force);
    assert!(registry.in_force(at(14), at(8), 2).in_force);
}

#[test]
fn the_live_routers_are_told_only_when_they_are_surely_known() {
    let registry = registry_with("ready", 10, 2);
    assert!(registry.live(at(11), at(8)).is_none());
    assert_eq!(registry.live(at(14), at(8)).expect("known").0.len(), 1);
    assert_eq!(registry.live(at(17), at(8)).expect("known").0.len(), 0);
}
