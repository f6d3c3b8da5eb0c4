//! The group of members forms by itself and repairs itself; gateways keep serving with the state they have.

use nix::sys::signal::Signal;
use serde_json::json;

use crate::harness::{Fleet, Process, call, eventually};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::Standin;

/// Waits until one of the members logs this number of voters.
async fn wait_for_voters(fleet: &Fleet, expected: usize) {
    eventually(&format!("{expected} voters"), async || {
        let shown = fleet.members.iter().any(|member| {
            let log = member.log();
            let last = log.lines().rev().find(|line| line.contains("event=members"));
            last.is_some_and(|line| line.matches("=Voter").count() == expected)
        });
        shown.then_some(())
    })
    .await;
}

/// Waits until a member returns this version of the configuration.
async fn wait_for_version(fleet: &Fleet, member: usize, version: u64) {
    let text = configuration(version).to_string();
    eventually(&format!("member {member} returns version {version}"), async || {
        let answer = call(fleet.api_addr(member), "GET", "/config", "").await?;
        (answer.status == 200 && answer.body == text).then_some(())
    })
    .await;
}

#[tokio::test]
async fn five_members_of_which_three_are_seeds_become_five_voters() {
    let fleet = Fleet::start(5, 0).await;
    wait_for_voters(&fleet, 5).await;
    fleet.submit(4, &configuration(2)).await;
    for member in 0..5 {
        wait_for_version(&fleet, member, 2).await;
    }
}

#[tokio::test]
async fn two_lost_disks_of_five_lose_nothing_and_their_members_vote_again() {
    let mut fleet = Fleet::start(5, 0).await;
    wait_for_voters(&fleet, 5).await;
    fleet.submit(0, &configuration(2)).await;
    for member in [0, 3] {
        fleet.members[member].kill();
        fleet.members[member].lose_disk();
    }
    fleet.members[0].start();
    fleet.members[3].start();
    wait_for_version(&fleet, 0, 2).await;
    wait_for_version(&fleet, 3, 2).await;
    wait_for_voters(&fleet, 5).await;
    fleet.submit(3, &configuration(4)).await;
    for member in 0..5 {
        wait_for_version(&fleet, member, 4).await;
    }
}

#[tokio::test]
async fn a_member_at_another_address_replaces_one_that_is_gone() {
    let mut fleet = Fleet::start(5, 0).await;
    wait_for_voters(&fleet, 5).await;
    fleet.submit(0, &configuration(2)).await;
    fleet.members[1].kill();
    let ip = fleet.addresses.host();
    fleet.add_member(ip, false);
    fleet.members[5].start();
    wait_for_version(&fleet, 5, 2).await;
    eventually("the new member is a voter", async || {
        let log = fleet.members[0].log();
        let last = log.lines().rev().find(|line| line.contains("event=members"))?;
        last.contains(&format!("{ip}:{}=Voter", fleet.addresses.ports.peer)).then_some(())
    })
    .await;
    // Without the vote of the new member there would be no quorum now.
    fleet.members[0].kill();
    fleet.members[2].kill();
    fleet.submit(5, &configuration(3)).await;
}

#[tokio::test]
async fn every_member_killed_at_once_comes_back_with_all_that_was_acknowledged() {
    let mut fleet = Fleet::start(5, 1).await;
    wait_for_voters(&fleet, 5).await;
    fleet.configure(&configuration(2)).await;
    fleet.members.iter_mut().for_each(Process::kill);
    fleet.members.iter_mut().for_each(Process::start);
    wait_for_version(&fleet, 2, 2).await;
    fleet.configure(&configuration(3)).await;
}

#[tokio::test]
async fn a_gateway_serves_on_without_members_and_a_new_one_starts_from_a_member_without_a_leader() {
    let mut fleet = Fleet::start(5, 2).await;
    wait_for_voters(&fleet, 5).await;
    let _target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    fleet.configure(&configuration(2)).await;
    fleet.wait_for_targets(0, 1).await;
    fleet.wait_for_targets(1, 1).await;
    fleet.members.iter_mut().for_each(Process::kill);
    fleet.gateways[1].kill();
    let answer =
        ClientRequest::new("/safe/x", "r-1").send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!(answer.status, 200);
    // One member of five can't elect a leader, but knows what was committed.
    fleet.members[2].start();
    fleet.gateways[1].start();
    let gateway = fleet.gateway_addr(1);
    eventually("the new gateway serves", async || {
        let answer = ClientRequest::new("/safe/x", "r-2").send(gateway).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    let answer = call(fleet.api_addr(2), "GET", "/config", "").await.expect("an answer");
    assert_eq!(
        answer.status, 503,
        "a member without a leader can't know whether its configuration is the newest"
    );
}

#[tokio::test]
async fn a_gateway_that_must_not_serve_with_stale_state_refuses() {
    let mut fleet = Fleet::prepare(1, 1);
    fleet.gateways[0].set("on_stale", json!("refuse"));
    fleet.gateways[0].set("stale_after_ms", json!(500));
    fleet.members[0].start();
    fleet.gateways[0].start();
    let _target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    fleet.configure(&configuration(2)).await;
    fleet.wait_for_targets(0, 1).await;
    let gateway = fleet.gateway_addr(0);
    let wait_for_status = async |id: &str, status: u16| {
        eventually("an answer with the expected status", async || {
            let answer = ClientRequest::new("/safe/x", id).send(gateway).await.ok()?;
            (answer.status == status).then_some(())
        })
        .await;
    };
    wait_for_status("r-1", 200).await;
    fleet.members[0].signal(Signal::SIGSTOP);
    wait_for_status("r-2", 503).await;
    fleet.members[0].signal(Signal::SIGCONT);
    wait_for_status("r-3", 200).await;
}

#[tokio::test]
async fn members_and_gateways_expose_metrics() {
    let mut fleet = Fleet::prepare(1, 1);
    let (member, gateway) = (fleet.members[0].ip, fleet.gateways[0].ip);
    let port = fleet.addresses.ports.ready;
    fleet.members[0].set("metrics_listen", json!(format!("{member}:{port}")));
    let listener = std::net::TcpListener::bind((gateway, 0)).expect("a free port");
    let gateway_metrics = listener.local_addr().expect("bound");
    drop(listener);
    fleet.gateways[0].set("metrics_listen", json!(gateway_metrics));
    fleet.members[0].start();
    fleet.gateways[0].start();
    let _target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    fleet.configure(&configuration(6)).await;
    fleet.wait_for_targets(0, 1).await;
    ClientRequest::new("/safe/x", "r-1").send(fleet.gateway_addr(0)).await.expect("an answer");
    ClientRequest::new("/none/x", "r-2").send(fleet.gateway_addr(0)).await.expect("an answer");
    let member_metrics = std::net::SocketAddr::new(member, port);
    fleet.configure(&configuration(7)).await;
    let text = eventually("the member has a report that the gateway uses version 7", async || {
        let text = call(member_metrics, "GET", "/metrics", "").await?.body;
        text.contains("latchmount_member_in_force_seconds_count 1").then_some(text)
    })
    .await;
    for line in [
        "latchmount_member_leads 1",
        "latchmount_member_elections_won_total 1",
        "latchmount_member_configuration_version 7",
        "latchmount_member_targets 1",
        "latchmount_member_gateways 1",
        "latchmount_member_followers 1",
        "latchmount_member_calls_total{call=\"put_configuration\",outcome=\"200\"}",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    for count in ["latchmount_member_sync_seconds_count", "latchmount_member_commit_seconds_count"]
    {
        assert!(!text.contains(&format!("{count} 0")) && text.contains(count), "{count} in {text}");
    }
    let text = call(gateway_metrics, "GET", "/metrics", "").await.expect("an answer").body;
    for line in [
        "latchmount_gateway_configuration_version 7",
        "latchmount_gateway_configuration_told 7",
        "latchmount_gateway_in_force_seconds_count 2",
        "latchmount_gateway_requests_total{service=\"s\"} 1",
        "latchmount_gateway_answers_total{status=\"200\"} 1",
        "latchmount_gateway_refused_total{reason=\"no_route\"} 1",
        "latchmount_gateway_answer_seconds_count{service=\"s\"} 1",
        "latchmount_gateway_whole_answer_seconds_count{service=\"s\"} 1",
        "latchmount_gateway_connect_seconds_count{outcome=\"open\"} 1",
        "latchmount_gateway_attempts_total{outcome=\"200\",service=\"s\"} 1",
        "latchmount_gateway_news_age_seconds 0",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}
