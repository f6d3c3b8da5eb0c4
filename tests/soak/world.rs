//! The fleet of one run: processes, the networks before them, targets, callers and an operator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::caller::{Caller, repeat_poison};
use crate::harness::{Fleet, call, eventually, this_build};
use crate::ledger::Ledger;
use crate::proxy::Network;
use crate::target::{COLD_FOR, Target};

/// How many of each take part.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub members: usize,
    pub gateways: usize,
    pub targets: usize,
    pub callers: usize,
    /// Requests that end each target that runs them, repeated all the while.
    pub poison: usize,
    /// Whether of each second target that leaves only its answers tell, until it is gone.
    pub unheard: bool,
    /// Length of the time with faults.
    pub length: Duration,
}

/// Longest time in which an operator sends an order again.
const ORDER_FOR: Duration = Duration::from_secs(4);
/// Between two processes that are replaced.
const BETWEEN_REPLACED: Duration = Duration::from_millis(1_500);
/// Routes that make a configuration a large one.
const LARGE_BY: u64 = 200;
/// Data halls that targets come to in turn. The first is never evacuated nor lost.
pub const HALLS: [&str; 4] = ["hall-a", "hall-b", "hall-a", "hall-c"];
/// Requests a second that a cold target bears, the multiple of that which does no harm, and requests beyond.
pub const COLD: (f64, f64, f64) = (4.0, 1.5, 8.0);
/// Everything that takes part in one run.
pub struct World {
    pub fleet: Fleet,
    pub ledger: Ledger,
    pub rng: StdRng,
    pub member_networks: Vec<Network>,
    pub gateway_networks: Vec<Network>,
    /// Targets with the networks before them.
    pub targets: Vec<(Target, Network)>,
    pub doors: Vec<SocketAddr>,
    pub version: u64,
    fronts: Vec<SocketAddr>,
    next_target: usize,
    /// Targets that have left, or are about to.
    leaving: usize,
    unheard: bool,
    /// The build that all begin with, in runs that replace it.
    pub earlier: Option<PathBuf>,
    callers: Vec<JoinHandle<()>>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.callers.iter().for_each(JoinHandle::abort);
        self.member_networks.iter().chain(&self.gateway_networks).for_each(Network::stop);
        self.targets.iter().for_each(|(_, network)| network.stop());
    }
}

impl World {
    /// Starts everything and waits until all gateways serve.
    pub async fn start(size: Size, seed: u64, earlier: Option<PathBuf>) -> Self {
        let mut fleet = Fleet::prepare(size.members, size.gateways);
        let ports = fleet.addresses.ports;
        let ledger = Ledger::new();
        let mut member_networks = Vec::new();
        let mut member_ips = Vec::new();
        for member in 0..size.members {
            let private = fleet.members[member].ip;
            let public = fleet.addresses.host();
            let network = Network::new();
            for port in [ports.control, ports.peer] {
                let (public, private) =
                    (SocketAddr::new(public, port), SocketAddr::new(private, port));
                network.proxy(public, private).await;
            }
            member_networks.push(network);
            member_ips.push(public);
        }
        let doors: Vec<SocketAddr> =
            member_ips.iter().map(|ip| SocketAddr::new(*ip, ports.control)).collect();
        let seeds: Vec<SocketAddr> = doors.iter().take(3).copied().collect();
        for (member, public) in member_ips.iter().enumerate() {
            let process = &mut fleet.members[member];
            process.set("advertise", json!(public));
            process.set("source", json!(process.ip));
            process.set("seeds", json!(seeds));
        }
        let mut gateway_networks = Vec::new();
        let mut fronts = Vec::new();
        for gateway in 0..size.gateways {
            let public = SocketAddr::new(fleet.addresses.host(), ports.client);
            let network = Network::new();
            network.proxy(public, fleet.gateway_addr(gateway)).await;
            let process = &mut fleet.gateways[gateway];
            process.set("source", json!(process.ip));
            process.set("members", json!(seeds));
            process.set("retry_slack", json!(200));
            process.set("cold_over", json!(COLD.1));
            process.set("cold_slack", json!(COLD.2));
            gateway_networks.push(network);
            fronts.push(public);
        }
        for process in fleet.members.iter_mut().chain(&mut fleet.gateways) {
            if let Some(earlier) = &earlier {
                process.use_build(earlier);
            }
            process.start();
        }
        let mut world = World {
            fleet,
            ledger,
            rng: StdRng::seed_from_u64(seed),
            member_networks,
            gateway_networks,
            targets: Vec::new(),
            doors,
            version: 0,
            fronts,
            next_target: 0,
            leaving: 0,
            unheard: size.unheard,
            earlier,
            callers: Vec::new(),
        };
        for _ in 0..size.targets {
            world.add_target().await;
        }
        world.configure_until_acknowledged().await;
        for gateway in 0..size.gateways {
            world.fleet.wait_for_configuration(gateway, world.version).await;
            world.fleet.wait_for_targets(gateway, size.targets).await;
        }
        for number in 0..size.callers {
            let caller = Caller {
                number,
                fronts: world.fronts.iter().copied().enumerate().collect(),
                ledger: world.ledger.clone(),
                seed: world.rng.random(),
            };
            world.callers.push(tokio::spawn(caller.run()));
        }
        let seed = world.rng.random();
        let reading = keep_reading(world.ledger.clone(), world.doors.clone(), seed);
        world.callers.push(tokio::spawn(reading));
        world.ledger.book().gateway_starts = size.gateways;
        world.ledger.book().gateways = world.fleet.gateways.iter().map(|one| one.ip).collect();
        for number in 0..size.poison {
            let seed = world.rng.random();
            let repeating = repeat_poison(number, world.fronts.clone(), seed);
            world.callers.push(tokio::spawn(repeating));
        }
        world
    }

    /// Draws the build that a process runs from its next start on, where builds are replaced. The first member keeps the
    /// earlier one, so that there is always a way back.
    pub fn draw_build(&mut self, member: Option<usize>) -> Option<PathBuf> {
        let earlier = self.earlier.clone()?;
        let replaced = member != Some(0) && self.rng.random_bool(0.6);
        Some(if replaced { this_build() } else { earlier })
    }

    /// Replaces the build of all processes that still run the earlier one, one after the other.
    pub async fn replace_builds(&mut self) {
        if self.earlier.is_none() {
            return;
        }
        for process in self.fleet.members.iter_mut().chain(&mut self.fleet.gateways) {
            process.signal(Signal::SIGTERM);
            process.wait_or_kill();
            process.use_build(&this_build());
            process.start();
            tokio::time::sleep(BETWEEN_REPLACED).await;
        }
        self.ledger.book().gateway_starts += self.fleet.gateways.len();
    }

    /// Starts one more caller for each gateway, that asks there alone.
    pub fn add_caller_at_each_gateway(&mut self) {
        for (gateway, front) in self.fronts.clone().into_iter().enumerate() {
            let caller = Caller {
                number: 1_000 + gateway,
                fronts: vec![(gateway, front)],
                ledger: self.ledger.clone(),
                seed: self.rng.random(),
            };
            self.callers.push(tokio::spawn(caller.run()));
        }
    }

    /// Whether only its answers tell of the next target that leaves.
    pub fn next_leaves_unheard(&mut self) -> bool {
        self.leaving += 1;
        self.unheard && self.leaving.is_multiple_of(2)
    }

    /// Lets callers ask no more.
    pub fn stop_callers(&mut self) {
        self.callers.drain(..).for_each(|caller| caller.abort());
    }

    /// Starts one more target, at an address of its own.
    pub async fn add_target(&mut self) {
        let port = self.fleet.addresses.ports.client;
        let private = SocketAddr::new(self.fleet.addresses.host(), port);
        let public = SocketAddr::new(self.fleet.addresses.host(), port);
        let network = Network::new();
        self.next_target += 1;
        let id = format!("i-{}", self.next_target);
        let (doors, ledger) = (self.doors.clone(), self.ledger.clone());
        let seed = self.rng.random();
        let data_hall = HALLS[self.next_target % HALLS.len()];
        let addrs = (private, public);
        let target =
            Target::start(id, data_hall, addrs, network.clone(), doors, ledger, seed).await;
        self.targets.push((target, network));
    }

    /// A configuration with the routes of all kinds, and one more for each version so far. Every third
    /// version has many others, so that gateways pass it on to each other.
    fn configuration(version: u64) -> Value {
        let route = |prefix: String, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": prefix, "host": "h.example", "path-prefix": prefix, "route-type": kind,
                "timeout-ms": 4_000, "goal-ms": 300, "priority": 0, "service": "s",
                "max-attempts": attempts, "public": false, "sticky": false,
                "resumable": resumable,
            })
        };
        let mut routes = vec![
            route("/safe/".into(), "safe", 3, false),
            route("/unsafe/".into(), "unsafe", 2, false),
            route("/stream/".into(), "streaming", 1, false),
            route("/resumable/".into(), "streaming", 3, true),
        ];
        routes.extend((1..=version).map(|at| route(format!("/v{at}/"), "safe", 1, false)));
        let others = if version.is_multiple_of(3) { LARGE_BY } else { 0 };
        routes.extend((0..others).map(|at| {
            let name = xxhash_rust::xxh3::xxh3_128(&(version * LARGE_BY + at).to_le_bytes());
            route(format!("/n{name:x}/"), "safe", 1, false)
        }));
        json!({
            "version": version, "routes": routes,
            "services": [{"name": "s", "health-path": "/health", "max-conns": 400,
                "cold-start-s": COLD_FOR.as_secs_f64(), "cold-per-s": COLD.0}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
            "tenants": [{"name": "tenant-a", "api-keys": ["key-a"], "priority": 1}],
        })
    }

    /// Draws the next version and writes it down as sent.
    pub fn next_configuration(&mut self) -> (u64, String) {
        self.version += self.rng.random_range(1..4);
        let text = Self::configuration(self.version).to_string();
        self.ledger.book().configurations.insert(self.version, text.clone());
        (self.version, text)
    }

    /// Sends a new configuration until some member acknowledges it.
    pub async fn configure_until_acknowledged(&mut self) {
        let (version, text) = self.next_configuration();
        let (doors, ledger) = (self.doors.clone(), self.ledger.clone());
        let mut at = 0;
        eventually(&format!("version {version} is acknowledged"), async || {
            at += 1;
            put(&ledger, doors[at % doors.len()], version, &text).await.then_some(())
        })
        .await;
    }
}

/// Reads the configuration at any member, again and again: no answer may be older than what was acknowledged before the
/// read was sent, whoever was frozen, cut off or lost meanwhile.
async fn keep_reading(ledger: Ledger, doors: Vec<SocketAddr>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..150))).await;
        let acknowledged = ledger.book().acknowledged.keys().max().copied().unwrap_or(0);
        let door = doors[rng.random_range(0..doors.len())];
        let Some(answer) = call(door, "GET", "/config", "").await else {
            continue;
        };
        if answer.status != 200 {
            continue;
        }
        let read: Value = serde_json::from_str(&answer.body).expect("JSON");
        let version = read["version"].as_u64().expect("a version");
        ledger.book().reads += 1;
        if version < acknowledged {
            ledger.broken(format!("CONFIG: read {version} at {door}, acknowledged {acknowledged}"));
        }
    }
}

/// Sends a configuration once, and writes an acknowledgement down.
pub async fn put(ledger: &Ledger, door: SocketAddr, version: u64, text: &str) -> bool {
    let calling = call(door, "PUT", "/config", text);
    let answer = tokio::time::timeout(Duration::from_secs(1), calling).await;
    let Ok(Some(answer)) = answer else {
        return false;
    };
    if (400..500).contains(&answer.status) {
        ledger.broken(format!("CONFIG: version {version} is valid and was answered {answer:?}"));
    }
    if answer.status == 200 {
        let now = ledger.now();
        ledger.book().acknowledged.entry(version).or_insert(now);
    }
    answer.status == 200
}

/// Sends an order about a data hall to one door after the other until it is acknowledged, and once more after
/// that where `twice`; gives up after some seconds, as the pages say.
pub async fn order(ledger: &Ledger, doors: &[SocketAddr], at: usize, evacuate: bool, twice: bool) {
    let method = if evacuate { "POST" } else { "DELETE" };
    let mut sent = 0;
    let started = ledger.now();
    let number = ledger.book().orders.len() - 1;
    let data_hall = ledger.book().orders[number].data_hall.clone();
    while ledger.now() < started + ORDER_FOR {
        let door = doors[(at + sent) % doors.len()];
        sent += 1;
        let path = format!("/evacuations/{data_hall}");
        let calling = call(door, method, &path, "");
        let answer = tokio::time::timeout(Duration::from_secs(1), calling).await;
        let Ok(Some(answer)) = answer else {
            continue;
        };
        if (400..500).contains(&answer.status) {
            ledger.broken(format!("EVAC: {method} {data_hall} was answered {answer:?}"));
        }
        if answer.status != 200 {
            continue;
        }
        let now = ledger.now();
        let again = ledger.book().orders[number].acknowledged.replace(now).is_some();
        if again || !twice {
            return;
        }
    }
}
