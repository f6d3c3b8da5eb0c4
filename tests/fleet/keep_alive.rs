//! Planned stops of gateways whose clients keep their connections alive.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::net::TcpStream;

use crate::harness::pauses::{PausePlan, Paused};
use crate::harness::{Fleet, WAIT_TIMEOUT, call, eventually};
use crate::member_api::configuration;
use crate::standin::{Behaviour, Standin};

/// A client that reuses one connection until it is closed, and then connects to the next gateway.
struct Client {
    gateways: Vec<SocketAddr>,
    /// Index of the present gateway, modulo their number.
    at: usize,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Client {
    fn new(gateways: &[SocketAddr], at: usize) -> Self {
        Client { gateways: gateways.to_vec(), at, connection: None }
    }

    /// Sends a request once, over the present connection if there is one; `None` if no answer comes.
    async fn send(&mut self, path: &str, id: &str) -> Option<(StatusCode, Bytes)> {
        let gateway = self.gateways[self.at % self.gateways.len()];
        if self.connection.is_none() {
            let stream = TcpStream::connect(gateway).await.ok()?;
            let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
            let (connection, driver) = handshake.ok()?;
            tokio::spawn(driver);
            self.connection = Some(connection);
        }
        let request = Request::post(path)
            .header("host", "h.example")
            .header("x-request-id", id)
            .header("x-credential", "key-a")
            .header("x-deadline-ms", "4000")
            .body(Full::new(Bytes::from_static(b"body")))
            .expect("a request");
        let connection = self.connection.as_mut()?;
        let answer = connection.send_request(request).await.ok()?;
        let closes = answer.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body =
            body.unwrap_or_else(|error| panic!("{id} at {gateway}: answer incomplete: {error:?}"));
        let body = body.to_bytes();
        if closes {
            self.connection = None;
        }
        Some((status, body))
    }

    /// Sends the request to one gateway after the other until there is an answer, as clients do if the connection
    /// is closed before any byte of an answer.
    async fn send_until_answered(&mut self, path: &str, id: &str) -> (StatusCode, Bytes) {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some(answer) = self.send(path, id).await {
                return answer;
            }
            self.connection = None;
            self.at += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{id}: no answer within {WAIT_TIMEOUT:?}");
    }
}

async fn fleet_with_target(gateways: usize) -> (Fleet, Standin) {
    let fleet = Fleet::start(1, gateways).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    fleet.configure(&configuration(1)).await;
    for gateway in 0..gateways {
        fleet.wait_for_targets(gateway, 1).await;
    }
    (fleet, target)
}

#[tokio::test]
async fn an_idle_connection_is_closed_at_a_planned_stop_and_nothing_is_refused_on_it() {
    let (fleet, target) = fleet_with_target(1).await;
    let gateway = fleet.gateway_addr(0);
    let mut idle = Client::new(&[gateway], 0);
    assert_eq!(idle.send_until_answered("/safe/x", "r-1").await.0, StatusCode::OK);
    target.behave(Behaviour::NeverAnswer);
    let busy =
        tokio::spawn(async move { Client::new(&[gateway], 0).send("/unsafe/x", "r-2").await });
    eventually("a request is in progress", async || target.arrivals().get(1).map(|_| ())).await;
    fleet.gateways[0].signal(Signal::SIGTERM);
    eventually("no new connection is accepted", async || {
        TcpStream::connect(gateway).await.is_err().then_some(())
    })
    .await;
    assert_eq!(idle.send("/safe/x", "r-3").await, None);
    busy.abort();
}

#[tokio::test]
async fn restarts_in_turn_refuse_and_lose_nothing_of_clients_that_keep_connections() {
    restarts_in_turn_lose_nothing(None).await;
}

/// While processes were paused, gateways closed streams although the rest was ready to be read, and a gateway
/// accepted connections before it had a configuration.
#[rstest]
#[case::gateways(Paused::Gateways, 12)]
#[case::members(Paused::Members, 12)]
#[tokio::test]
async fn restarts_in_turn_lose_nothing_while_processes_stand_still(
    #[case] paused: Paused,
    #[case] seed: u64,
) {
    let max_pause = Duration::from_millis(2_500);
    restarts_in_turn_lose_nothing(Some(PausePlan { seed, paused, max_pause })).await;
}

async fn restarts_in_turn_lose_nothing(pauses: Option<PausePlan>) {
    let (mut fleet, target) = fleet_with_target(2).await;
    pauses.into_iter().for_each(|plan| fleet.pause(plan));
    target.behave(Behaviour::Stream(150));
    let gateways = [fleet.gateway_addr(0), fleet.gateway_addr(1)];
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..24_u64 {
        let mut connected = Client::new(&gateways, client as usize);
        clients.spawn(async move {
            tokio::time::sleep(Duration::from_millis(137) * client as u32).await;
            for ask in 0..4 {
                let id = format!("r-{client}-{ask}");
                let (status, body) = connected.send_until_answered("/stream/x", &id).await;
                assert_eq!(status, StatusCode::OK, "{id}: {}", String::from_utf8_lossy(&body));
                tokio::time::sleep(Duration::from_secs(3)).await;
            }
        });
    }
    for gateway in 0..2 {
        fleet.gateways[gateway].signal(Signal::SIGTERM);
        assert!(fleet.gateways[gateway].wait_for_exit().await);
        fleet.gateways[gateway].start();
        let ready = SocketAddr::new(fleet.gateways[gateway].ip, fleet.addresses.ports.ready);
        eventually("the gateway is ready", async || {
            let answer = call(ready, "GET", "/ready", "").await?;
            (answer.status == 200).then_some(())
        })
        .await;
        fleet.wait_for_targets(gateway, 1).await;
    }
    while let Some(ended) = clients.join_next().await {
        if let Err(error) = ended {
            let message = error.into_panic().downcast::<String>().expect("a message");
            let id = message.split([' ', ':']).next().expect("an id");
            panic!("{message}\n{}", fleet.log_lines_of(id));
        }
    }
    let twice: HashMap<_, _> =
        target.arrival_counts().into_iter().filter(|(_, count)| *count > 1).collect();
    assert!(twice.is_empty(), "answers lost after the requests were forwarded: {twice:?}");
}
