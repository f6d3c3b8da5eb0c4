//! Starts: a gateway has its configuration from whichever member is up.

use std::net::{SocketAddr, TcpListener};

use serde_json::json;

use crate::doors::configuration;
use crate::harness::Fleet;

/// Members that are up but say nothing, as a frozen one does.
const SILENT: usize = 5;

#[tokio::test]
async fn a_gateway_that_starts_does_not_wait_for_members_that_say_nothing() {
    let mut fleet = Fleet::prepare(1, 1);
    let ports = fleet.addresses.ports;
    let mut members = vec![fleet.door(0)];
    let mut silent = Vec::new();
    for _ in 0..SILENT {
        let ip = fleet.addresses.host();
        silent.push(TcpListener::bind((ip, ports.peer)).expect("an address of this test"));
        members.push(SocketAddr::new(ip, ports.control));
    }
    fleet.members[0].start();
    fleet.settled().await;
    fleet.submit(0, &configuration(1)).await;
    fleet.gateways[0].set("members", json!(members));
    fleet.gateways[0].start();
    fleet.in_force(0, 1).await;
    let log = fleet.gateways[0].log();
    assert!(!log.contains("event=members_lost"), "{log}");
}
