//! The environment of one run: processes, the proxies in front of them, targets, callers and operators.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::caller::{Caller, repeat_poison, send_poison_part};
use crate::harness::{Fleet, call, eventually, this_build};
use crate::proxy::Network;
use crate::recorder::Recorder;
use crate::target::{COLD_PERIOD, Endpoint, Target, TargetKind, Versions};

/// Sizes and duration of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub members: usize,
    pub gateways: usize,
    pub targets: usize,
    pub callers: usize,
    /// Number of poison requests, which end each target that runs them and are repeated during the run.
    pub poison: usize,
    /// Number of poison parts of prompts.
    pub poison_parts: usize,
    /// Versions of the targets' software.
    pub versions: Versions,
    /// Whether targets are brittle, with room that shrinks without a word.
    pub brittle: bool,
    /// Whether every second target that shuts down announces this only in response headers.
    pub header_only_shutdowns: bool,
    /// Whether gateways are cut off from all targets, besides the other faults.
    pub cut_off: bool,
    /// Whether targets are cut off from the members, and crash, leave or go on meanwhile, besides the other faults.
    pub unheard: bool,
    /// Whether crowds of clients leave requests open at gateways and members, besides the other faults.
    pub crowds: bool,
    /// Whether all processes are killed at once now and then, besides the other faults.
    pub power_losses: bool,
    /// Whether some streams of targets pause.
    pub pauses: bool,
    /// How long faults are injected.
    pub length: Duration,
}

/// Memory that a gateway and a member may use by default, in MiB.
const GATEWAY_MEMORY_MIB: f64 = 160.0;
const MEMBER_MEMORY_MIB: f64 = 256.0;
/// Time within which an operator repeats an order until it is acknowledged.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between the replacements of two processes' builds.
const REPLACE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Number of additional routes in a large configuration.
const EXTRA_ROUTES: u64 = 200;
/// Data halls to which targets are assigned in turn. hall-a is never evacuated nor lost.
pub const HALLS: [&str; 4] = ["hall-a", "hall-b", "hall-a", "hall-c"];
/// Limits on the requests to a cold target: the requests per second that it serves (`cold-per-s`), the
/// tolerated multiple of these (`cold_over`), and a number of requests beyond (`cold_slack`).
pub const COLD_LIMITS: (f64, f64, f64) = (4.0, 1.5, 8.0);

/// All participants of one run.
pub struct World {
    pub fleet: Fleet,
    pub recorder: Recorder,
    /// Source of all random choices of the run, or of the seeds of others.
    pub rng: StdRng,
    pub member_networks: Vec<Network>,
    pub gateway_networks: Vec<Network>,
    /// Targets with the proxies in front of them.
    pub targets: Vec<(Target, Network)>,
    /// Addresses of the members' API, through their proxies.
    pub member_addrs: Vec<SocketAddr>,
    /// Version of the last configuration that was drawn.
    pub version: u64,
    gateway_addrs: Vec<SocketAddr>,
    next_target: usize,
    /// Number of targets that have shut down or are about to.
    shutdowns: usize,
    header_only_shutdowns: bool,
    /// The binary that all processes start with in runs that replace builds.
    pub earlier_build: Option<PathBuf>,
    target_kind: TargetKind,
    /// Source of the random choices about cuts, so that the other faults of a seed stay the same; `None` without cuts.
    pub cuts: Option<StdRng>,
    /// The same for cuts between targets and members.
    pub unheard: Option<StdRng>,
    /// Source of the crowds, if there are any.
    pub crowds: Option<StdRng>,
    /// Source of the losses of all processes, if there are any.
    pub power_losses: Option<StdRng>,
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
    /// Checks the largest memory of the processes that run, since the start of each, against the bounds in their
    /// settings, which are the defaults.
    pub fn check_memory(&mut self) {
        let fleet = &mut self.fleet;
        let gateways = fleet.gateways.iter_mut().zip(std::iter::repeat(GATEWAY_MEMORY_MIB));
        let members = fleet.members.iter_mut().zip(std::iter::repeat(MEMBER_MEMORY_MIB));
        for (process, most) in gateways.chain(members) {
            let peak = process.peak_mib();
            assert!(peak <= most, "{} used {peak:.0} MiB of {most:.0}", process.name);
        }
    }

    /// Starts everything; callers start when all gateways have the configuration and know all targets.
    pub async fn start(size: Size, seed: u64, earlier_build: Option<PathBuf>) -> Self {
        let mut fleet = Fleet::prepare(size.members, size.gateways);
        let ports = fleet.addresses.ports;
        let recorder = Recorder::new();
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
        let member_addrs: Vec<SocketAddr> =
            member_ips.iter().map(|ip| SocketAddr::new(*ip, ports.control)).collect();
        let seeds: Vec<SocketAddr> = member_addrs.iter().take(3).copied().collect();
        for (member, public) in member_ips.iter().enumerate() {
            let process = &mut fleet.members[member];
            process.set("advertise", json!(public));
            process.set("source", json!(process.ip));
            process.set("seeds", json!(seeds));
        }
        let mut gateway_networks = Vec::new();
        let mut gateway_addrs = Vec::new();
        for gateway in 0..size.gateways {
            let public = SocketAddr::new(fleet.addresses.host(), ports.client);
            let network = Network::new();
            network.proxy(public, fleet.gateway_addr(gateway)).await;
            let process = &mut fleet.gateways[gateway];
            process.set("source", json!(process.ip));
            process.set("members", json!(seeds));
            process.set("retry_slack", json!(200));
            process.set("cold_over", json!(COLD_LIMITS.1));
            process.set("cold_slack", json!(COLD_LIMITS.2));
            gateway_networks.push(network);
            gateway_addrs.push(public);
        }
        for process in fleet.members.iter_mut().chain(&mut fleet.gateways) {
            if let Some(earlier_build) = &earlier_build {
                process.use_build(earlier_build);
            }
            process.start();
        }
        // Earlier builds mix versions.
        let versions = if earlier_build.is_some() { Versions::One } else { size.versions };
        let mut world = World {
            fleet,
            recorder,
            rng: StdRng::seed_from_u64(seed),
            member_networks,
            gateway_networks,
            targets: Vec::new(),
            member_addrs,
            version: 0,
            gateway_addrs,
            next_target: 0,
            shutdowns: 0,
            header_only_shutdowns: size.header_only_shutdowns,
            earlier_build,
            target_kind: TargetKind { versions, brittle: size.brittle, pauses: size.pauses },
            cuts: size.cut_off.then(|| StdRng::seed_from_u64(!seed)),
            unheard: size.unheard.then(|| StdRng::seed_from_u64(seed.rotate_left(32))),
            power_losses: size.power_losses.then(|| StdRng::seed_from_u64(seed.rotate_left(24))),
            crowds: size.crowds.then(|| StdRng::seed_from_u64(seed.rotate_left(16))),
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
                gateways: world.gateway_addrs.iter().copied().enumerate().collect(),
                recorder: world.recorder.clone(),
                seed: world.rng.random(),
            };
            world.callers.push(tokio::spawn(caller.run()));
        }
        let seed = world.rng.random();
        let reader = read_configurations(world.recorder.clone(), world.member_addrs.clone(), seed);
        world.callers.push(tokio::spawn(reader));
        world.recorder.lock().gateway_starts = size.gateways;
        world.recorder.lock().gateways = world.fleet.gateways.iter().map(|one| one.ip).collect();
        for number in 0..size.poison {
            let seed = world.rng.random();
            let repeater = repeat_poison(number, world.gateway_addrs.clone(), seed);
            world.callers.push(tokio::spawn(repeater));
        }
        for number in 0..size.poison_parts {
            let seed = world.rng.random();
            let sender = send_poison_part(number, world.gateway_addrs.clone(), seed);
            world.callers.push(tokio::spawn(sender));
        }
        world
    }

    /// Draws the build that a process runs from its next start on, in runs that replace builds. The first
    /// member keeps the earlier build, so that other processes can always go back to it.
    pub fn draw_build(&mut self, member: Option<usize>) -> Option<PathBuf> {
        let earlier_build = self.earlier_build.clone()?;
        let replaced = member != Some(0) && self.rng.random_bool(0.6);
        Some(if replaced { this_build() } else { earlier_build })
    }

    /// Restarts all processes with this build one after the other, in runs that replace builds.
    pub async fn replace_builds(&mut self) {
        if self.earlier_build.is_none() {
            return;
        }
        for process in self.fleet.members.iter_mut().chain(&mut self.fleet.gateways) {
            process.signal(Signal::SIGTERM);
            process.wait_or_kill();
            process.use_build(&this_build());
            process.start();
            tokio::time::sleep(REPLACE_INTERVAL).await;
        }
        self.recorder.lock().gateway_starts += self.fleet.gateways.len();
    }

    /// Starts one more caller for each gateway, which sends only to that gateway.
    pub fn add_caller_at_each_gateway(&mut self) {
        for (gateway, addr) in self.gateway_addrs.clone().into_iter().enumerate() {
            let caller = Caller {
                number: 1_000 + gateway,
                gateways: vec![(gateway, addr)],
                recorder: self.recorder.clone(),
                seed: self.rng.random(),
            };
            self.callers.push(tokio::spawn(caller.run()));
        }
    }

    /// Whether the next target that shuts down announces this only in response headers.
    pub fn next_shutdown_is_header_only(&mut self) -> bool {
        self.shutdowns += 1;
        self.header_only_shutdowns && self.shutdowns.is_multiple_of(2)
    }

    /// Stops all callers, also those that repeat poison requests or read the configuration.
    pub fn stop_callers(&mut self) {
        self.callers.drain(..).for_each(|caller| caller.abort());
    }

    /// Starts one more target at a new address.
    pub async fn add_target(&mut self) {
        let port = self.fleet.addresses.ports.client;
        let private = SocketAddr::new(self.fleet.addresses.host(), port);
        let public = SocketAddr::new(self.fleet.addresses.host(), port);
        let network = Network::new();
        self.next_target += 1;
        let id = format!("i-{}", self.next_target);
        let (member_addrs, recorder) = (self.member_addrs.clone(), self.recorder.clone());
        let seed = self.rng.random();
        let data_hall = HALLS[self.next_target % HALLS.len()];
        let endpoint = Endpoint { private, public, network: network.clone() };
        let kind = self.target_kind;
        let target =
            Target::start(id, data_hall, endpoint, member_addrs, recorder, kind, seed).await;
        self.targets.push((target, network));
    }

    /// A configuration with one route of each kind, and one more for each version up to this one. Every third
    /// version is large (`EXTRA_ROUTES` more), so that gateways fetch it from each other.
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
        let others = if version.is_multiple_of(3) { EXTRA_ROUTES } else { 0 };
        routes.extend((0..others).map(|at| {
            let name = xxhash_rust::xxh3::xxh3_128(&(version * EXTRA_ROUTES + at).to_le_bytes());
            route(format!("/n{name:x}/"), "safe", 1, false)
        }));
        json!({
            "version": version, "routes": routes,
            "services": [{"name": "s", "health-path": "/health", "max-conns": 400, "engine": {},
                "cold-start-s": COLD_PERIOD.as_secs_f64(), "cold-per-s": COLD_LIMITS.0}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
            "tenants": [{"name": "tenant-a", "api-keys": ["key-a"], "priority": 1}],
        })
    }

    /// Draws the next version and records its configuration as sent.
    pub fn next_configuration(&mut self) -> (u64, String) {
        self.version += self.rng.random_range(1..4);
        let text = Self::configuration(self.version).to_string();
        self.recorder.lock().configurations.insert(self.version, text.clone());
        (self.version, text)
    }

    /// Sends a new configuration to the members in turn until one acknowledges it.
    pub async fn configure_until_acknowledged(&mut self) {
        let (version, text) = self.next_configuration();
        let (member_addrs, recorder) = (self.member_addrs.clone(), self.recorder.clone());
        let mut at = 0;
        eventually(&format!("version {version} is acknowledged"), async || {
            at += 1;
            put_configuration(&recorder, member_addrs[at % member_addrs.len()], version, &text)
                .await
                .then_some(())
        })
        .await;
    }
}

/// Reads the configuration from random members until aborted. No answer may be older than the newest version that was
/// acknowledged before the read was sent, even if members were paused, cut off or lost meanwhile.
async fn read_configurations(recorder: Recorder, member_addrs: Vec<SocketAddr>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..150))).await;
        let acknowledged = recorder.lock().acknowledged.keys().max().copied().unwrap_or(0);
        let addr = member_addrs[rng.random_range(0..member_addrs.len())];
        let Some(answer) = call(addr, "GET", "/config", "").await else {
            continue;
        };
        if answer.status != 200 {
            continue;
        }
        let read: Value = serde_json::from_str(&answer.body).expect("a JSON body");
        let version = read["version"].as_u64().expect("a version");
        recorder.lock().reads += 1;
        if version < acknowledged {
            recorder.record_violation(format!(
                "CONFIG: read {version} at {addr}, acknowledged {acknowledged}"
            ));
        }
    }
}

/// Sends a configuration once and records an acknowledgement; returns whether there was one.
pub async fn put_configuration(
    recorder: &Recorder,
    addr: SocketAddr,
    version: u64,
    text: &str,
) -> bool {
    let request = call(addr, "PUT", "/config", text);
    let answer = tokio::time::timeout(Duration::from_secs(1), request).await;
    let Ok(Some(answer)) = answer else {
        return false;
    };
    if (400..500).contains(&answer.status) {
        recorder.record_violation(format!(
            "CONFIG: version {version} is valid and was answered {answer:?}"
        ));
    }
    if answer.status == 200 {
        let now = recorder.now();
        recorder.lock().acknowledged.entry(version).or_insert(now);
    }
    answer.status == 200
}

/// Sends the last recorded order to the members in turn until one acknowledges it, or with `twice` until a second
/// acknowledgement. Gives up after `ORDER_TIMEOUT`, as the documentation allows.
pub async fn send_order(
    recorder: &Recorder,
    member_addrs: &[SocketAddr],
    at: usize,
    evacuate: bool,
    twice: bool,
) {
    let method = if evacuate { "POST" } else { "DELETE" };
    let mut sent = 0;
    let started = recorder.now();
    let number = recorder.lock().orders.len() - 1;
    let data_hall = recorder.lock().orders[number].data_hall.clone();
    while recorder.now() < started + ORDER_TIMEOUT {
        let addr = member_addrs[(at + sent) % member_addrs.len()];
        sent += 1;
        let path = format!("/evacuations/{data_hall}");
        let request = call(addr, method, &path, "");
        let answer = tokio::time::timeout(Duration::from_secs(1), request).await;
        let Ok(Some(answer)) = answer else {
            continue;
        };
        if (400..500).contains(&answer.status) {
            recorder
                .record_violation(format!("EVAC: {method} {data_hall} was answered {answer:?}"));
        }
        if answer.status != 200 {
            continue;
        }
        let now = recorder.now();
        let again = recorder.lock().orders[number].acknowledged.replace(now).is_some();
        if again || !twice {
            return;
        }
    }
}
