//! Large configurations, which gateways pass on to each other.

use std::net::{SocketAddr, TcpListener};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::harness::{Fleet, Process, eventually, field};
use crate::member_api::configuration;

/// A configuration that is large however it is packed: so many more routes with random names.
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

/// Members on a narrow link, so that what gateways pass on comes first.
async fn narrow_fleet(gateways: usize) -> Fleet {
    let mut fleet = Fleet::prepare(1, gateways);
    fleet.members[0].set("link_mbps", json!(1));
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.wait_for_leader().await;
    fleet.configure(&configuration(1)).await;
    fleet
}

/// What a gateway logged when a configuration came into force there.
fn lines_in_force(gateway: &Process, version: u64) -> Vec<String> {
    let word = format!(" version={version} ");
    let log = gateway.log();
    let lines = log.lines().filter(|line| line.contains("event=configuration"));
    lines.filter(|line| format!(" {line} ").contains(&word)).map(str::to_owned).collect()
}

fn times_in_force(gateway: &Process, version: u64) -> usize {
    lines_in_force(gateway, version).len()
}

/// Where a gateway had a configuration from, the last time that it came into force there.
fn came_from(gateway: &Process, version: u64) -> String {
    let lines = lines_in_force(gateway, version);
    let line = lines.last().expect("in force");
    field(line, "from").expect("where it came from").to_owned()
}

#[tokio::test]
async fn a_large_configuration_comes_to_most_gateways_from_others() {
    let fleet = narrow_fleet(6).await;
    let configuration = large_configuration(2, 400);
    fleet.configure(&configuration).await;
    let member = fleet.members[0].ip.to_string();
    let from: Vec<String> = fleet.gateways.iter().map(|gateway| came_from(gateway, 2)).collect();
    let by_member = from.iter().filter(|from| from.starts_with(&format!("{member}:"))).count();
    assert!((1..6).contains(&by_member), "{from:?}");
    let line = eventually("the member's word that all gateways have it", async || {
        let log = fleet.members[0].log();
        let mut lines = log.lines().filter(|line| line.contains("event=configuration_everywhere"));
        lines.find(|line| line.contains(" version=2 ")).map(str::to_owned)
    })
    .await;
    assert!(line.contains("gateways=6") && line.contains("waited_ms="), "{line}");
}

#[tokio::test]
async fn a_gateway_that_does_not_pass_a_configuration_on_keeps_nobody_waiting_for_ever() {
    let fleet = narrow_fleet(6).await;
    // It stays connected to the member, takes nothing and answers nobody.
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

/// For example because a member runs on the same host.
#[tokio::test]
async fn a_gateway_whose_port_for_others_is_taken_gets_its_news_from_members() {
    let mut fleet = Fleet::prepare(1, 2);
    let taken = SocketAddr::new(fleet.gateways[0].ip, fleet.addresses.ports.peer);
    let _holder = TcpListener::bind(taken).expect("a free port");
    fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
    fleet.wait_for_leader().await;
    fleet.configure(&large_configuration(2, 400)).await;
    assert!(fleet.gateways[0].log().contains("event=passes_on_nothing"));
    assert!(came_from(&fleet.gateways[0], 2).starts_with(&fleet.members[0].ip.to_string()));
}

#[tokio::test]
async fn most_gateways_that_start_have_the_whole_configuration_from_others() {
    let mut fleet = narrow_fleet(5).await;
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
    let from: Vec<String> = fleet.gateways.iter().map(|gateway| came_from(gateway, 2)).collect();
    let by_member = from.iter().filter(|from| from.starts_with(&format!("{member}:"))).count();
    assert!((1..5).contains(&by_member), "{from:?}");
}
