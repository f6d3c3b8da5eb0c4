//! A small fleet for a crowd: one member, one gateway and one target.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::client::Split;
use crate::harness::{Fleet, Process, call, eventually};
use crate::process::{Bounds, wait_until_settled};
use crate::standin::Standin;

/// Memory that a process may use, in MiB.
pub const MEMORY_MB: usize = 64;
/// Descriptors that a process may use where a test is not about them.
pub const DESCRIPTORS: usize = 4_096;
/// Descriptors that a process may use where a test is about them.
pub const FEW_DESCRIPTORS: usize = 256;
/// Largest body that a client may send, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// Largest head that a client may send, in bytes.
pub const MAX_HEADER_BYTES: usize = 16 * 1_024;

/// The processes under test and the target behind them.
pub struct Small {
    pub fleet: Fleet,
    pub target: Standin,
    pub bounds: Bounds,
    metrics_port: u16,
}

impl Small {
    /// Starts a fleet whose processes may use this many descriptors.
    pub async fn start(max_descriptors: usize) -> Small {
        Small::start_with(MEMORY_MB, max_descriptors).await
    }

    /// Like [`Small::start`], with another bound on memory.
    pub async fn start_with(memory_mb: usize, max_descriptors: usize) -> Small {
        let mut fleet = Fleet::prepare(1, 1);
        let free = std::net::TcpListener::bind((fleet.gateways[0].ip, 0)).expect("a free port");
        let metrics_port = free.local_addr().expect("bound").port();
        drop(free);
        for process in fleet.members.iter_mut().chain(&mut fleet.gateways) {
            process.set("memory_mb", json!(memory_mb));
            process.set("max_descriptors", json!(max_descriptors));
            process.set("metrics_listen", json!(SocketAddr::new(process.ip, metrics_port)));
        }
        fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
        fleet.wait_for_leader().await;
        let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
        fleet.configure(&configuration(1)).await;
        fleet.wait_for_targets(0, 1).await;
        let bounds = Bounds { memory_mib: memory_mb as f64, descriptors: max_descriptors };
        Small { fleet, target, bounds, metrics_port }
    }

    /// Where the gateway takes requests of clients.
    pub fn clients(&self) -> SocketAddr {
        self.fleet.gateway_addr(0)
    }

    /// Where the gateway answers readiness checks.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.fleet.gateways[0].ip, self.fleet.addresses.ports.ready)
    }

    /// Where the gateway takes connections of other gateways.
    pub fn gateway_peers(&self) -> SocketAddr {
        SocketAddr::new(self.fleet.gateways[0].ip, self.fleet.addresses.ports.peer)
    }

    /// Where the gateway serves its metrics.
    pub fn gateway_metrics(&self) -> SocketAddr {
        SocketAddr::new(self.fleet.gateways[0].ip, self.metrics_port)
    }

    /// Where the member takes calls.
    pub fn api(&self) -> SocketAddr {
        self.fleet.api_addr(0)
    }

    /// Where the member takes connections of members and gateways.
    pub fn member_peers(&self) -> SocketAddr {
        SocketAddr::new(self.fleet.members[0].ip, self.fleet.addresses.ports.peer)
    }

    /// Where the member serves its metrics.
    pub fn member_metrics(&self) -> SocketAddr {
        SocketAddr::new(self.fleet.members[0].ip, self.metrics_port)
    }

    /// Checks the gateway: an ordinary request is answered, and the bounds hold.
    pub async fn check_gateway(&mut self) {
        wait_until_settled(self.fleet.gateways[0].id()).await;
        let url = format!("http://{}/safe/x", self.clients());
        let mut number = 0;
        eventually("an ordinary request is answered", async || {
            number += 1;
            let request = reqwest::Client::new().post(&url).body("an ordinary body");
            let request = request
                .timeout(std::time::Duration::from_secs(5))
                .header("host", "h.example")
                .header("x-request-id", format!("ordinary-{number}"))
                .header("x-credential", "key-a")
                .header("x-deadline-ms", "4000");
            let answer = request.send().await.ok()?;
            (answer.status() == 200).then_some(())
        })
        .await;
        assert!(!self.fleet.gateways[0].has_exited(), "the gateway has ended");
        self.bounds.check(self.fleet.gateways[0].id());
    }

    /// Checks the member: an ordinary change is accepted, and the bounds hold.
    pub async fn check_member(&mut self) {
        wait_until_settled(self.fleet.members[0].id()).await;
        let change = configuration(2).to_string();
        eventually("an ordinary change is acknowledged", async || {
            let answer = call(self.api(), "PUT", "/config", &change).await?;
            (answer.status == 200).then_some(())
        })
        .await;
        self.fleet.wait_for_configuration(0, 2).await;
        assert!(!self.fleet.members[0].has_exited(), "the member has ended");
        self.bounds.check(self.fleet.members[0].id());
    }
}

/// A configuration with one route to the service `s`. Idle connections may stay longer than any test lasts.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "safe", "host": "h.example", "path-prefix": "/safe/", "route-type": "safe",
            "timeout-ms": 60_000, "goal-ms": 300, "priority": 0, "service": "s",
            "max-attempts": 3, "public": false, "sticky": false, "resumable": false,
            "gap-aim-ms": 200,
        }],
        "services": [{"name": "s", "health-path": "/health", "max-conns": 100,
            "engine": {"slots": 8, "moves": true}}],
        "limits": {"max-header-bytes": MAX_HEADER_BYTES, "max-body-bytes": MAX_BODY_BYTES,
            "header-timeout-ms": 60_000, "idle-timeout-ms": 120_000},
        "tenants": [{"name": "tenant-a", "api-keys": ["key-a"], "priority": 1}],
    })
}

/// The head of a request with a body.
pub fn head(id: &str, split: Split, length: usize) -> Vec<u8> {
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nx-credential: key-a\r\n\
         x-deadline-ms: 60000\r\n{}\r\n",
        split.header(length)
    );
    head.into_bytes()
}
