//! Starts, stops and calls the processes of one test fleet. Every process has a loopback address of its own.

#![allow(dead_code)]

#[path = "pauses.rs"]
pub mod pauses;

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::usage;
use pauses::{Pausable, PauseInjector, PausePlan, Paused};

/// How long a test waits for something that must happen before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of lines at the end of each process log that a failing test prints.
const LOG_LINES_SHOWN: usize = 15;

/// Polls `done` until it returns a value. Panics with `what` after [`WAIT_TIMEOUT`].
pub async fn eventually<T>(what: &str, mut done: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if let Some(value) = done().await {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what}: not within {WAIT_TIMEOUT:?}");
}

/// Ports of a fleet. All processes use the same ports, each at its own address.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Members: API for operators and targets.
    pub control: u16,
    /// Members and gateways: connections within the fleet.
    pub peer: u16,
    /// Gateways: requests of clients.
    pub client: u16,
    /// Gateways: readiness check.
    pub ready: u16,
}

/// Allocates loopback addresses in a /24 network that no other test uses.
pub struct Addresses {
    second_byte: u8,
    third_byte: u8,
    next_host: u8,
    pub ports: Ports,
}

impl Addresses {
    /// Derives the network from the process id and a counter, and picks ports that are free there.
    fn allocate() -> Self {
        static FLEETS: AtomicU8 = AtomicU8::new(1);
        let [low, third_byte, ..] = std::process::id().to_le_bytes();
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let (second_byte, third_byte) = (1 + (low ^ fleet) % 250, third_byte.wrapping_add(fleet));
        let ip = Ipv4Addr::new(127, second_byte, third_byte, 254);
        let listen = || TcpListener::bind((ip, 0)).expect("a free port");
        let listeners = [listen(), listen(), listen(), listen()];
        let port = |at: usize| listeners[at].local_addr().expect("bound").port();
        let ports = Ports { control: port(0), peer: port(1), client: port(2), ready: port(3) };
        Addresses { second_byte, third_byte, next_host: 1, ports }
    }

    /// The address of one more host.
    pub fn host(&mut self) -> IpAddr {
        let ip = Ipv4Addr::new(127, self.second_byte, self.third_byte, self.next_host);
        self.next_host += 1;
        ip.into()
    }
}

/// The binary under test.
pub fn this_build() -> PathBuf {
    env!("CARGO_BIN_EXE_latchmount").into()
}

/// A member or gateway with its settings and data, running or not. Killed when dropped.
pub struct Process {
    pub name: String,
    pub ip: IpAddr,
    /// Subcommand of the binary: `member` or `gateway`.
    role: &'static str,
    /// Holds `settings.json`, `log` (the output of the process) and `data`.
    folder: PathBuf,
    settings: Value,
    /// Names of settings that an earlier build does not accept, left out of its settings file.
    unsupported: Vec<String>,
    binary: PathBuf,
    child: Option<Child>,
    pausable: Pausable,
}

impl Process {
    fn new(name: String, ip: IpAddr, role: &'static str, folder: PathBuf, settings: Value) -> Self {
        let (unsupported, binary) = (Vec::new(), this_build());
        let pausable = Pausable::default();
        Process { name, ip, role, folder, settings, unsupported, binary, child: None, pausable }
    }

    /// Starts the process. Panics if it is already running.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} is already running", self.name);
        std::fs::create_dir_all(&self.folder).expect("a directory for the process");
        self.write_settings(&self.supported_settings().to_string());
        let log = File::options().append(true).create(true).open(self.log_path());
        let log = log.expect("a log file");
        let child = Command::new(&self.binary)
            .args([self.role, "--dialect", "platform", "--settings"])
            .arg(self.folder.join("settings.json"))
            .stdout(log.try_clone().expect("a second handle of the log file"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        let child = child.expect("the binary starts");
        self.pausable.set_running(Some(child.id()));
        self.child = Some(child);
    }

    /// Removes and returns the running child, so that it can be killed or waited for. Ends a pause.
    fn take_child(&mut self) -> Option<Child> {
        self.pausable.set_running(None);
        let child = self.child.take()?;
        // It may be paused, and a stopped process does not act on SIGTERM.
        let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGCONT);
        Some(child)
    }

    /// Uses another build from the next start on. Its `check` command reports which settings it does not
    /// support; these are left out of its settings file.
    pub fn use_build(&mut self, binary: &Path) {
        self.binary = binary.to_owned();
        self.unsupported.clear();
        std::fs::create_dir_all(&self.folder).expect("a directory for the process");
        self.write_settings(&self.settings.to_string());
        let mut check = Command::new(binary);
        check.arg("check").arg(self.folder.join("settings.json"));
        let output = check.output().expect("the binary starts");
        let report = String::from_utf8_lossy(&output.stderr).into_owned();
        let unknown = report.lines().filter_map(|line| line.strip_suffix(": unknown field"));
        let field = |line: &str| line.rsplit(": ").next().map(str::to_owned);
        self.unsupported = unknown.filter_map(field).collect();
    }

    /// The settings without those that the build does not support.
    fn supported_settings(&self) -> Value {
        let mut settings = self.settings.clone();
        if let Some(fields) = settings.as_object_mut() {
            fields.retain(|field, _| !self.unsupported.contains(field));
        }
        settings
    }

    /// Copies the Raft log and the commit file from `from` into the data directory.
    pub fn copy_data_from(&self, from: &Path) {
        let data = self.folder.join("data");
        std::fs::create_dir_all(&data).expect("a data directory");
        for file in ["log", "commit"] {
            std::fs::copy(from.join(file), data.join(file)).expect("a copy of the file");
        }
    }

    /// Replaces the content of the settings file.
    pub fn write_settings(&self, text: &str) {
        std::fs::write(self.folder.join("settings.json"), text).expect("a writable directory");
    }

    /// Changes a setting from the next start on.
    pub fn set(&mut self, field: &str, value: Value) {
        self.settings[field] = value;
    }

    pub fn setting(&self, field: &str) -> Value {
        self.settings[field].clone()
    }

    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("a running process");
        kill(Pid::from_raw(child.id() as i32), signal).expect("a process of this test");
    }

    /// Kills the process with SIGKILL, if it is running.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.take_child() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process, which was sent a signal to stop, has exited; kills it after [`WAIT_TIMEOUT`].
    pub fn wait_or_kill(&mut self) {
        if let Some(mut child) = self.take_child() {
            let started = Instant::now();
            while started.elapsed() < WAIT_TIMEOUT && child.try_wait().expect("a child").is_none() {
                std::thread::sleep(Duration::from_millis(5));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Appends an incomplete record to the Raft log, as a power loss during a write leaves it.
    pub fn tear_log(&self) {
        use std::io::Write;
        let log = File::options().append(true).open(self.folder.join("data/log"));
        if let Ok(mut log) = log {
            log.write_all(&[9, 0, 0, 0, 1, 2, 3, 4, 5]).expect("a writable directory");
        }
    }

    /// Writes an incomplete `log.new` next to the Raft log, as a power loss during a snapshot leaves it.
    pub fn leave_partial_snapshot(&self) {
        let log = std::fs::read(self.folder.join("data/log")).unwrap_or_default();
        let half = &log[..log.len() / 2];
        std::fs::write(self.folder.join("data/log.new"), half).expect("a writable directory");
    }

    /// Overwrites the file that stores the commit index. Members must tolerate the loss of this file.
    pub fn corrupt_commit_file(&self) {
        std::fs::write(self.folder.join("data/commit"), [0xff; 12]).expect("a writable directory");
    }

    /// Waits until the process has exited by itself; returns whether its exit status is success.
    pub async fn wait_for_exit(&mut self) -> bool {
        let mut child = self.take_child().expect("a running process");
        let what = format!("{} exits", self.name);
        let status = eventually(&what, async || child.try_wait().expect("a child")).await;
        status.success()
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("a running process").id()
    }

    /// Largest resident memory since the start, in MiB; 0 if the process does not run.
    pub fn peak_mib(&mut self) -> f64 {
        if self.child.is_none() || self.has_exited() {
            return 0.0;
        }
        usage::peak_mib(self.id())
    }

    /// Whether the process was started and has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().expect("a child").is_some())
    }

    /// Deletes the data directory, as the loss of a disk does. After that the process must not found a group.
    pub fn lose_disk(&mut self) {
        assert!(self.child.is_none(), "{} is running", self.name);
        let _ = std::fs::remove_dir_all(self.folder.join("data"));
        self.settings["found"] = json!(false);
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..];
            eprintln!("--- {}\n{}", self.name, last.join("\n"));
        }
        self.kill();
    }
}

/// The members and gateways of a test.
pub struct Fleet {
    pub members: Vec<Process>,
    pub gateways: Vec<Process>,
    pub addresses: Addresses,
    /// API addresses of the first three members, which all processes have in their settings.
    seeds: Vec<SocketAddr>,
    folder: TempDir,
    /// Pauses processes while it is set.
    pauses: Option<PauseInjector>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Stops the pauses before the processes are killed: their ids may be reused by other processes.
        self.pauses = None;
    }
}

impl Fleet {
    /// Starts the given numbers of members and gateways, and waits until the group has a leader.
    pub async fn start(members: usize, gateways: usize) -> Self {
        let mut fleet = Fleet::prepare(members, gateways);
        fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
        fleet.wait_for_leader().await;
        fleet
    }

    /// Pauses processes from now on, at random times drawn from the seed of the plan.
    pub fn pause(&mut self, plan: PausePlan) {
        let members = self.members.iter().filter(|_| plan.paused != Paused::Gateways);
        let gateways = self.gateways.iter().filter(|_| plan.paused != Paused::Members);
        let processes = members.chain(gateways).map(|process| process.pausable.clone());
        self.pauses = Some(PauseInjector::start(plan, processes.collect()));
    }

    /// Ends the pauses; all processes run again.
    pub fn stop_pauses(&mut self) {
        self.pauses = None;
    }

    /// Sets up the processes without starting them.
    pub fn prepare(members: usize, gateways: usize) -> Self {
        let mut addresses = Addresses::allocate();
        let ips: Vec<IpAddr> = (0..members).map(|_| addresses.host()).collect();
        let control = addresses.ports.control;
        let seeds = ips.iter().take(3).map(|ip| SocketAddr::new(*ip, control)).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let mut fleet = Fleet {
            members: Vec::new(),
            gateways: Vec::new(),
            addresses,
            seeds,
            folder,
            pauses: None,
        };
        for ip in ips {
            fleet.add_member(ip, true);
        }
        for _ in 0..gateways {
            fleet.add_gateway();
        }
        if let Some(plan) = PausePlan::from_env() {
            fleet.pause(plan);
        }
        fleet
    }

    /// Sets up one more member without starting it. `found`: whether it may found a new group.
    pub fn add_member(&mut self, ip: IpAddr, found: bool) {
        let name = format!("member-{ip}");
        let folder = self.folder.path().join(&name);
        let ports = self.addresses.ports;
        let settings = json!({
            "host": name,
            "data_halls": { "hall-a": "north", "hall-b": "north", "hall-c": "south" },
            "listen": SocketAddr::new(ip, ports.control),
            "peer_port": ports.peer,
            "seeds": self.seeds,
            "found": found,
            "data_dir": folder.join("data"),
            "bear_losses": 2,
            "target_heartbeat_ms": 300,
        });
        let role = "member";
        self.members.push(Process::new(name, ip, role, folder, settings));
    }

    /// Sets up one more gateway without starting it.
    pub fn add_gateway(&mut self) {
        let ip = self.addresses.host();
        let name = format!("gateway-{ip}");
        let folder = self.folder.path().join(&name);
        let ports = self.addresses.ports;
        let settings = json!({
            "host": name,
            "data_hall": "hall-a",
            "data_halls": { "hall-a": "north", "hall-b": "north", "hall-c": "south" },
            "listen": SocketAddr::new(ip, ports.client),
            "ready_listen": SocketAddr::new(ip, ports.ready),
            "members": self.seeds,
            "peer_port": ports.peer,
            "on_stale": "serve",
            "retry_ratio": 0.2,
            "retry_slack": 1_000,
            "load_bound": 2,
            "stop_within_ms": 8_000,
        });
        let role = "gateway";
        self.gateways.push(Process::new(name, ip, role, folder, settings));
    }

    /// The address at which a gateway accepts requests of clients.
    pub fn gateway_addr(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(self.gateways[gateway].ip, self.addresses.ports.client)
    }

    /// The address at which a member accepts API calls of operators and targets.
    pub fn api_addr(&self, member: usize) -> SocketAddr {
        SocketAddr::new(self.members[member].ip, self.addresses.ports.control)
    }

    /// The address at which a member accepts connections of members and gateways.
    pub fn peer_addr(&self, member: usize) -> SocketAddr {
        SocketAddr::new(self.members[member].ip, self.addresses.ports.peer)
    }

    /// API addresses of all members.
    pub fn api_addrs(&self) -> Vec<SocketAddr> {
        (0..self.members.len()).map(|member| self.api_addr(member)).collect()
    }

    /// Waits until the first member accepts a call that needs a leader.
    pub async fn wait_for_leader(&self) {
        eventually("the group has a leader", async || {
            let answer = call(self.api_addr(0), "DELETE", "/instances/nobody", "").await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Sends a configuration until it is acknowledged, and waits until every gateway uses it.
    pub async fn configure(&self, configuration: &Value) {
        self.submit(0, configuration).await;
        let version = &configuration["version"];
        for gateway in 0..self.gateways.len() {
            self.wait_for_configuration(gateway, version.as_u64().expect("a version")).await;
        }
    }

    /// Sends a configuration to a member until it is acknowledged.
    pub async fn submit(&self, member: usize, configuration: &Value) {
        let text = configuration.to_string();
        eventually("the configuration is acknowledged", async || {
            let answer = call(self.api_addr(member), "PUT", "/config", &text).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// All log lines of the gateways about a request, with the names of the gateways.
    pub fn log_lines_of(&self, id: &str) -> String {
        let lines = self.gateways.iter().flat_map(|gateway| {
            let log = gateway.log();
            let of_id = log.lines().filter(|line| field(line, "id") == Some(id));
            of_id.map(|line| format!("{}: {line}\n", gateway.name)).collect::<Vec<String>>()
        });
        lines.collect()
    }

    /// Waits until a gateway has logged that it uses this version of the configuration.
    pub async fn wait_for_configuration(&self, gateway: usize, version: u64) {
        let process = &self.gateways[gateway];
        let line = format!("version={version} ");
        eventually(&format!("version {version} at {}", process.name), async || {
            let log = process.log();
            let mut lines = log.lines().filter(|line| line.contains("configuration in force"));
            lines.any(|found| format!("{found} ").contains(&line)).then_some(())
        })
        .await;
    }

    /// Waits until the last target list that a gateway logged has this number of targets.
    pub async fn wait_for_targets(&self, gateway: usize, targets: usize) {
        let process = &self.gateways[gateway];
        let expected = format!(" targets={targets} ");
        eventually(&format!("{targets} targets at {}", process.name), async || {
            let log = process.log();
            let last = log.lines().rev().find(|line| line.contains("event=targets"))?;
            format!(" {last} ").contains(&expected).then_some(())
        })
        .await;
    }
}

/// The value of a key in a log line.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = format!("{name}=");
    let value = line.split_whitespace().find_map(|part| part.strip_prefix(&start))?;
    Some(value.trim_matches('"'))
}

/// Response to an HTTP call.
#[derive(Debug)]
pub struct CallResponse {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    pub body: String,
}

impl CallResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Sends an HTTP request to a process; `None` if no complete response arrives within 5 s.
pub async fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<CallResponse> {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(5)).build().ok()?;
    let method = reqwest::Method::from_bytes(method.as_bytes()).ok()?;
    let request = client.request(method, format!("http://{addr}{path}")).body(body.to_owned());
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    Some(CallResponse { status, headers, body: response.text().await.ok()? })
}
