//! A gateway that gets most of the clients for a while: its part of the connections to targets is used up, while those of
//! the other gateways are idle.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::harness::{Fleet, eventually, field};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

const GATEWAYS: usize = 3;
const TARGETS: usize = 12;
/// Connections to a target from all gateways together.
const MAX_CONNECTIONS: usize = 12;
/// Requests in progress at a time, more than a gateway's part of the connections and far fewer than all.
const IN_PROGRESS: usize = 86;
/// Requests that each client sends, one after the other, each on a connection of its own.
const PER_CLIENT: usize = 6;
/// Time in which a target answers.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// How long peers stand still: longer than a gateway waits for a connection to one.
const STANDSTILL: Duration = Duration::from_millis(400);
/// Share of the requests that must be served at the first attempt.
const MIN_SHARE: f64 = 0.75;

/// What became of the requests that one gateway got.
struct Outcome {
    served: usize,
    /// Most connections that were open to one target.
    most_connections: usize,
}

impl Outcome {
    fn check(&self) {
        let (served, all) = (self.served, IN_PROGRESS * PER_CLIENT);
        assert!(served as f64 >= MIN_SHARE * all as f64, "{served} of {all} requests served");
        assert!(self.most_connections <= MAX_CONNECTIONS, "more connections than allowed");
    }
}

/// Starts gateways that know each other, and slow targets with a limit on connections.
async fn start() -> (Fleet, Vec<Standin>) {
    let fleet = Fleet::start(1, GATEWAYS).await;
    let mut standins = Vec::new();
    for number in 0..TARGETS {
        let standin = Standin::start(&format!("i-{number}"), "s", fleet.api_addrs()).await;
        standin.behave(Behaviour::Slow(ANSWER_TIME));
        standins.push(standin);
    }
    let mut limited = configuration(1);
    limited["services"][0]["max-conns"] = MAX_CONNECTIONS.into();
    fleet.configure(&limited).await;
    for gateway in 0..GATEWAYS {
        fleet.wait_for_targets(gateway, TARGETS).await;
    }
    let gateway = &fleet.gateways[0];
    eventually("the gateway knows its peers", async || {
        let log = gateway.log();
        let told = log.lines().rev().find(|line| line.contains("event=relay_peers"))?;
        (field(told, "peers")? == (GATEWAYS - 1).to_string()).then_some(())
    })
    .await;
    (fleet, standins)
}

/// Sends all requests to the first gateway.
async fn crowd(fleet: &Fleet, standins: &[Standin]) -> Outcome {
    let front = fleet.gateway_addr(0);
    let served = AtomicUsize::new(0);
    let most_connections = AtomicUsize::new(0);
    let client = async |client: usize| {
        for number in 0..PER_CLIENT {
            let id = format!("c-{client}-{number}");
            let path = ["/safe/x", "/unsafe/x"][client % 2];
            let answer = ClientRequest::new(path, &id).send(front).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                served.fetch_add(1, Ordering::Relaxed);
            }
            let open = standins.iter().map(Standin::open_connections).max().unwrap_or(0);
            most_connections.fetch_max(open, Ordering::Relaxed);
        }
    };
    futures_util::future::join_all((0..IN_PROGRESS).map(client)).await;
    Outcome { served: served.into_inner(), most_connections: most_connections.into_inner() }
}

#[tokio::test]
async fn a_gateway_that_gets_most_clients_serves_them_over_the_connections_of_the_others() {
    let (fleet, standins) = start().await;
    crowd(&fleet, &standins).await.check();
}

#[tokio::test]
async fn peers_that_stood_still_for_a_moment_serve_a_crowded_gateway_again_at_once() {
    let (fleet, standins) = start().await;
    let pause = async {
        fleet.gateways[1..].iter().for_each(|peer| peer.signal(Signal::SIGSTOP));
        tokio::time::sleep(STANDSTILL).await;
        fleet.gateways[1..].iter().for_each(|peer| peer.signal(Signal::SIGCONT));
    };
    let (_, outcome) = tokio::join!(pause, crowd(&fleet, &standins));
    outcome.check();
}
