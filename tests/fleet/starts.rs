//! Starts: a gateway has its configuration from whichever member is up.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::json;

use crate::doors::configuration;
use crate::harness::{Fleet, Process, eventually};
use crate::refusals::ClientRequest;
use crate::standin::Standin;

/// Members that are up but say nothing, as a frozen one does.
const SILENT: usize = 5;
/// Time for a request to reach a gateway before its member starts.
const ASKED_BEFORE: Duration = Duration::from_millis(300);

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

/// All power is lost and comes back: a client that reaches a gateway before that knows anything is answered by a target,
/// though nobody who refused it would see it again.
#[tokio::test]
async fn a_request_that_comes_before_the_first_configuration_is_served_when_that_comes() {
    let mut fleet = Fleet::start(1, 1).await;
    let _target = Standin::start("i-1", "s", fleet.doors()).await;
    let mut patient = configuration(1);
    patient["routes"].as_array_mut().expect("routes").iter_mut().for_each(|route| {
        route["timeout-ms"] = json!(60_000);
    });
    fleet.configure(&patient).await;
    fleet.knows_targets(0, 1).await;
    fleet.gateways.iter_mut().chain(&mut fleet.members).for_each(Process::kill);
    // As long as it takes on a busy machine until the member is up.
    fleet.gateways[0].set("first_news_within_ms", json!(60_000));
    fleet.gateways[0].start();
    let front = fleet.front(0);
    let asked = eventually("the gateway listens", async || {
        ClientRequest::new("/safe/x", "r-1").with("x-deadline-ms", "60000").send(front).await.ok()
    });
    let member = async {
        tokio::time::sleep(ASKED_BEFORE).await;
        fleet.members[0].start();
    };
    let (answer, ()) = tokio::join!(asked, member);
    assert_eq!(answer.status, 200);
}
