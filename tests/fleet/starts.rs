//! Gateway starts: a gateway gets its configuration from any member that responds.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::json;

use crate::harness::{Fleet, Process, eventually};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::Standin;

/// Members that accept connections but send nothing, like a frozen process.
const UNRESPONSIVE: usize = 5;
/// Head start of the request at the gateway over the start of the member.
const MEMBER_START_DELAY: Duration = Duration::from_millis(300);

#[tokio::test]
async fn a_gateway_that_starts_does_not_wait_for_members_that_say_nothing() {
    let mut fleet = Fleet::prepare(1, 1);
    let ports = fleet.addresses.ports;
    let mut members = vec![fleet.api_addr(0)];
    let mut unresponsive = Vec::new();
    for _ in 0..UNRESPONSIVE {
        let ip = fleet.addresses.host();
        unresponsive.push(TcpListener::bind((ip, ports.peer)).expect("an address of this test"));
        members.push(SocketAddr::new(ip, ports.control));
    }
    fleet.members[0].start();
    fleet.wait_for_leader().await;
    fleet.submit(0, &configuration(1)).await;
    fleet.gateways[0].set("members", json!(members));
    fleet.gateways[0].start();
    fleet.wait_for_configuration(0, 1).await;
    let log = fleet.gateways[0].log();
    assert!(!log.contains("event=members_lost"), "{log}");
}

/// When the whole fleet restarts, a request may reach a gateway before it has a configuration. The gateway must hold the
/// request until its configuration arrives and then forward it; clients would not repeat a refused one.
#[tokio::test]
async fn a_request_that_comes_before_the_first_configuration_is_served_when_that_comes() {
    let mut fleet = Fleet::start(1, 1).await;
    let _target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    let mut configuration = configuration(1);
    configuration["routes"].as_array_mut().expect("routes").iter_mut().for_each(|route| {
        route["timeout-ms"] = json!(60_000);
    });
    fleet.configure(&configuration).await;
    fleet.wait_for_targets(0, 1).await;
    fleet.gateways.iter_mut().chain(&mut fleet.members).for_each(Process::kill);
    // Long enough for the member to start on a busy machine.
    fleet.gateways[0].set("first_news_within_ms", json!(60_000));
    fleet.gateways[0].start();
    let front = fleet.gateway_addr(0);
    let answer_later = eventually("the gateway listens", async || {
        ClientRequest::new("/safe/x", "r-1").with("x-deadline-ms", "60000").send(front).await.ok()
    });
    let member = async {
        tokio::time::sleep(MEMBER_START_DELAY).await;
        fleet.members[0].start();
    };
    let (answer, ()) = tokio::join!(answer_later, member);
    assert_eq!(answer.status, 200);
}
