//! Peer-to-peer distribution: gateways fetch large configurations from each other instead of from members.

use std::net::{SocketAddr, TcpListener};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::harness::{Fleet, Process, eventually, field};
use crate::member_api::configuration;

/// A configuration with `routes` more routes, whose names are random so that compression does not make it small.
fn large_configuration(version: u64, routes: u64) -> Value {
    let mut configuration = configuration(version);
    let first = configuration["routes"][0].clone();
    let more = configuration["routes"].as_array_mut().expect("routes");
    for at in 0..routes {
        let name = xxhash_rust::xxh3::xxh3_128(&(version * 10_000 + at).to_le_bytes());
        let mut route = first.clone();
        route["name"] = json!(format!("r{name:x}"));
        route["path-prefix"] = json!(format!("/r{name:x}/"));
        more.push(route);
    }
    configuration
}

/// A fleet whose member limits itself to 1 Mbit/s, so that blobs arrive sooner from peer gateways.
async fn slow_link_fleet(gateways: usize) -> Fleet {
    let mut fleet = Fleet::prepare(1, gateways);
    fleet.members[0].set("link_mbps", json!(1));
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.wait_for_leader().await;
    fleet.configure(&configuration(1)).await;
    fleet
}

/// The lines that a gateway logged when it began to use this version of the configuration.
fn lines_in_force(gateway: &Process, version: u64) -> Vec<String> {
    let expected = format!(" version={version} ");
    let log = gateway.log();
    let lines = log.lines().filter(|line| line.contains("event=configuration"));
    lines.filter(|line| format!(" {line} ").contains(&expected)).map(str::to_owned).collect()
}

fn times_in_force(gateway: &Process, version: u64) -> usize {
    lines_in_force(gateway, version).len()
}

/// The address from which a gateway fetched this version the last time that it began to use it.
fn source_of(gateway: &Process, version: u64) -> String {
    let lines = lines_in_force(gateway, version);
    let line = lines.last().expect("the version is in force");
    field(line, "from").expect("the source address").to_owned()
}

#[tokio::test]
async fn most_gateways_fetch_a_large_configuration_from_other_gateways() {
    let fleet = slow_link_fleet(6).await;
    let configuration = large_configuration(2, 400);
    fleet.configure(&configuration).await;
    let member = fleet.members[0].ip.to_string();
    let sources: Vec<String> = fleet.gateways.iter().map(|gateway| source_of(gateway, 2)).collect();
    let from_member =
        sources.iter().filter(|source| source.starts_with(&format!("{member}:"))).count();
    assert!((1..6).contains(&from_member), "{sources:?}");
    let line = eventually("the member logs that all gateways have the version", async || {
        let log = fleet.members[0].log();
        let mut lines = log.lines().filter(|line| line.contains("event=configuration_everywhere"));
        lines.find(|line| line.contains(" version=2 ")).map(str::to_owned)
    })
    .await;
    assert!(line.contains("gateways=6") && line.contains("waited_ms="), "{line}");
}

#[tokio::test]
async fn a_gateway_that_does_not_serve_a_configuration_does_not_block_others() {
    let fleet = slow_link_fleet(6).await;
    // A paused gateway stays connected to the member, but neither reads updates nor serves its peers.
    fleet.gateways[0].signal(Signal::SIGSTOP);
    fleet.submit(0, &large_configuration(2, 400)).await;
    for gateway in 1..6 {
        fleet.wait_for_configuration(gateway, 2).await;
    }
    fleet.gateways[1].signal(Signal::SIGSTOP);
    fleet.submit(0, &large_configuration(3, 500)).await;
    for gateway in 2..6 {
        fleet.wait_for_configuration(gateway, 3).await;
    }
    for gateway in [0, 1] {
        fleet.gateways[gateway].signal(Signal::SIGCONT);
        fleet.wait_for_configuration(gateway, 3).await;
    }
}

/// The port may be in use because a member runs on the same host.
#[tokio::test]
async fn a_gateway_whose_peer_port_is_taken_gets_updates_from_members() {
    let mut fleet = Fleet::prepare(1, 2);
    let peer_addr = SocketAddr::new(fleet.gateways[0].ip, fleet.addresses.ports.peer);
    let _listener = TcpListener::bind(peer_addr).expect("a free port");
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.wait_for_leader().await;
    fleet.configure(&large_configuration(2, 400)).await;
    assert!(fleet.gateways[0].log().contains("event=passes_on_nothing"));
    assert!(source_of(&fleet.gateways[0], 2).starts_with(&fleet.members[0].ip.to_string()));
}

#[tokio::test]
async fn most_gateways_that_start_fetch_the_configuration_from_other_gateways() {
    let mut fleet = slow_link_fleet(5).await;
    fleet.configure(&large_configuration(2, 400)).await;
    fleet.gateways.iter_mut().for_each(Process::kill);
    fleet.gateways.iter_mut().for_each(Process::start);
    for gateway in &fleet.gateways {
        eventually("the configuration after the start", async || {
            (times_in_force(gateway, 2) == 2).then_some(())
        })
        .await;
    }
    let member = fleet.members[0].ip.to_string();
    let sources: Vec<String> = fleet.gateways.iter().map(|gateway| source_of(gateway, 2)).collect();
    let from_member =
        sources.iter().filter(|source| source.starts_with(&format!("{member}:"))).count();
    assert!((1..5).contains(&from_member), "{sources:?}");
}
