//! Starts, stops and speaks to the processes of one fleet on the loopback.

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

use pauses::{Pausable, PauseInjector, PausePlan, Paused};

/// Longest wait for anything that must happen.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Lines of each log that a failing test shows.
const LOG_LINES_SHOWN: usize = 15;

/// Waits until `done` gives a value, and says what did not happen otherwise.
pub async fn eventually<T>(what: &str, mut done: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        if let Some(value) = done().await {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what}: not within {PATIENCE:?}");
}

/// Ports of a fleet; every host has the same ones at an address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub control: u16,
    pub peer: u16,
    pub front: u16,
    pub ready: u16,
}

/// Addresses of the loopback that nothing else uses.
pub struct Addresses {
    high: u8,
    middle: u8,
    next: u8,
    pub ports: Ports,
}

impl Addresses {
    fn claim() -> Self {
        static FLEETS: AtomicU8 = AtomicU8::new(1);
        let [low, middle, ..] = std::process::id().to_le_bytes();
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let (high, middle) = (1 + (low ^ fleet) % 250, middle.wrapping_add(fleet));
        let probe = Ipv4Addr::new(127, high, middle, 254);
        let free = || TcpListener::bind((probe, 0)).expect("a free port");
        let held = [free(), free(), free(), free()];
        let port = |at: usize| held[at].local_addr().expect("bound").port();
        let ports = Ports { control: port(0), peer: port(1), front: port(2), ready: port(3) };
        Addresses { high, middle, next: 1, ports }
    }

    /// The address of one more host.
    pub fn host(&mut self) -> IpAddr {
        let ip = Ipv4Addr::new(127, self.high, self.middle, self.next);
        self.next += 1;
        ip.into()
    }
}

/// The binary under test.
pub fn this_build() -> PathBuf {
    env!("CARGO_BIN_EXE_latchmount").into()
}

/// One process of the fleet; killed when dropped.
pub struct Process {
    pub name: String,
    pub ip: IpAddr,
    role: &'static str,
    folder: PathBuf,
    settings: Value,
    /// Settings that its build does not know.
    without: Vec<String>,
    binary: PathBuf,
    child: Option<Child>,
    pausable: Pausable,
}

impl Process {
    fn laid_out(
        name: String,
        ip: IpAddr,
        role: &'static str,
        folder: PathBuf,
        settings: Value,
    ) -> Self {
        let (without, binary) = (Vec::new(), this_build());
        let pausable = Pausable::default();
        Process { name, ip, role, folder, settings, without, binary, child: None, pausable }
    }

    /// Starts the process, which must not run.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} runs already", self.name);
        std::fs::create_dir_all(&self.folder).expect("a folder");
        self.write_settings(&self.known_settings().to_string());
        let log = File::options().append(true).create(true).open(self.log_path());
        let log = log.expect("a log file");
        let child = Command::new(&self.binary)
            .args([self.role, "--dialect", "platform", "--settings"])
            .arg(self.folder.join("settings.json"))
            .stdout(log.try_clone().expect("the same file"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        let child = child.expect("the binary starts");
        self.pausable.set_running(Some(child.id()));
        self.child = Some(child);
    }

    /// Takes the process that runs, to end it or wait for its end; it is paused no more.
    fn take_child(&mut self) -> Option<Child> {
        self.pausable.set_running(None);
        let child = self.child.take()?;
        // It may be paused now.
        let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGCONT);
        Some(child)
    }

    /// Has another build run from the next start on, with the settings that it knows.
    pub fn as_set_for(&mut self, binary: &Path) {
        self.binary = binary.to_owned();
        self.without.clear();
        std::fs::create_dir_all(&self.folder).expect("a folder");
        self.write_settings(&self.settings.to_string());
        let mut check = Command::new(binary);
        check.arg("check").arg(self.folder.join("settings.json"));
        let output = check.output().expect("the binary starts");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        let unknown = said.lines().filter_map(|line| line.strip_suffix(": unknown field"));
        let field = |line: &str| line.rsplit(": ").next().map(str::to_owned);
        self.without = unknown.filter_map(field).collect();
    }

    /// Its settings, but for those that its build does not know.
    fn known_settings(&self) -> Value {
        let mut settings = self.settings.clone();
        if let Some(fields) = settings.as_object_mut() {
            fields.retain(|field, _| !self.without.contains(field));
        }
        settings
    }

    /// Puts a copy of a log and the note beside it in the data folder.
    pub fn lay_disk(&self, from: &Path) {
        let data = self.folder.join("data");
        std::fs::create_dir_all(&data).expect("a folder");
        for file in ["log", "commit"] {
            std::fs::copy(from.join(file), data.join(file)).expect("a disk");
        }
    }

    /// Puts a text in place of the settings file.
    pub fn write_settings(&self, text: &str) {
        std::fs::write(self.folder.join("settings.json"), text).expect("a writable folder");
    }

    /// Changes a setting for the next start.
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

    /// Kills the process, as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.take_child() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for a process that was told to end.
    pub fn kill_after_signal(&mut self) {
        if let Some(mut child) = self.take_child() {
            let started = Instant::now();
            while started.elapsed() < PATIENCE && child.try_wait().expect("a child").is_none() {
                std::thread::sleep(Duration::from_millis(5));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Leaves half a record at the end of the log, as a loss of power does.
    pub fn tear_log(&self) {
        use std::io::Write;
        let log = File::options().append(true).open(self.folder.join("data/log"));
        if let Ok(mut log) = log {
            log.write_all(&[9, 0, 0, 0, 1, 2, 3, 4, 5]).expect("a writable folder");
        }
    }

    /// Leaves a half-written new log beside the log, as a loss of power during a snapshot does.
    pub fn leave_new_log(&self) {
        let log = std::fs::read(self.folder.join("data/log")).unwrap_or_default();
        let half = &log[..log.len() / 2];
        std::fs::write(self.folder.join("data/log.new"), half).expect("a writable folder");
    }

    /// Puts garbage in place of the note of what is committed, which may be lost at any time.
    pub fn scribble_note(&self) {
        std::fs::write(self.folder.join("data/commit"), [0xff; 12]).expect("a writable folder");
    }

    /// Waits until the process has ended by itself, and tells whether it did so well.
    pub async fn ended(&mut self) -> bool {
        let mut child = self.take_child().expect("a running process");
        let what = format!("{} ends", self.name);
        let status = eventually(&what, async || child.try_wait().expect("a child")).await;
        status.success()
    }

    /// Its number at the system.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Whether the process has ended without being told to.
    pub fn died(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().expect("a child").is_some())
    }

    /// Removes what the process has on disk.
    pub fn lose_disk(&mut self) {
        assert!(self.child.is_none(), "{} runs", self.name);
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

/// Members and gateways.
pub struct Fleet {
    pub members: Vec<Process>,
    pub gateways: Vec<Process>,
    pub addresses: Addresses,
    seeds: Vec<SocketAddr>,
    folder: TempDir,
    /// Pauses of its processes, if there are any.
    pauses: Option<PauseInjector>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Before the processes, whose numbers may then be others'.
        self.pauses = None;
    }
}

impl Fleet {
    /// Starts so many members and gateways, and waits until the group has a leader.
    pub async fn start(members: usize, gateways: usize) -> Self {
        let mut fleet = Fleet::prepare(members, gateways);
        fleet.members.iter_mut().chain(&mut fleet.gateways).for_each(Process::start);
        fleet.settled().await;
        fleet
    }

    /// Pauses its processes from now on, at moments drawn from a seed.
    pub fn pause(&mut self, plan: PausePlan) {
        let members = self.members.iter().filter(|_| plan.paused != Paused::Gateways);
        let gateways = self.gateways.iter().filter(|_| plan.paused != Paused::Members);
        let processes = members.chain(gateways).map(|process| process.pausable.clone());
        self.pauses = Some(PauseInjector::start(plan, processes.collect()));
    }

    /// Ends the pauses; every process runs.
    pub fn pause_no_more(&mut self) {
        self.pauses = None;
    }

    /// Lays out the processes without starting them.
    pub fn prepare(members: usize, gateways: usize) -> Self {
        let mut addresses = Addresses::claim();
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

    /// Lays out one more member.
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
        self.members.push(Process::laid_out(name, ip, role, folder, settings));
    }

    /// Lays out one more gateway.
    pub fn add_gateway(&mut self) {
        let ip = self.addresses.host();
        let name = format!("gateway-{ip}");
        let folder = self.folder.path().join(&name);
        let ports = self.addresses.ports;
        let settings = json!({
            "host": name,
            "data_hall": "hall-a",
            "data_halls": { "hall-a": "north", "hall-b": "north", "hall-c": "south" },
            "listen": SocketAddr::new(ip, ports.front),
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
        self.gateways.push(Process::laid_out(name, ip, role, folder, settings));
    }

    /// Where clients reach a gateway.
    pub fn front(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(self.gateways[gateway].ip, self.addresses.ports.front)
    }

    /// Where operators and targets reach a member.
    pub fn door(&self, member: usize) -> SocketAddr {
        SocketAddr::new(self.members[member].ip, self.addresses.ports.control)
    }

    /// Doors of all members.
    pub fn doors(&self) -> Vec<SocketAddr> {
        (0..self.members.len()).map(|member| self.door(member)).collect()
    }

    /// Waits until a member answers reads, be it that there is nothing to read yet.
    pub async fn settled(&self) {
        eventually("the group has a leader", async || {
            let call = call(self.door(0), "DELETE", "/instances/nobody", "").await?;
            (call.status == 200).then_some(())
        })
        .await;
    }

    /// Sends a configuration until it is acknowledged, and waits until every gateway is ready.
    pub async fn configure(&self, configuration: &Value) {
        self.submit(0, configuration).await;
        let version = &configuration["version"];
        for gateway in 0..self.gateways.len() {
            self.in_force(gateway, version.as_u64().expect("a version")).await;
        }
    }

    /// Sends a configuration to a member until it is acknowledged.
    pub async fn submit(&self, member: usize, configuration: &Value) {
        let text = configuration.to_string();
        eventually("the configuration is acknowledged", async || {
            let answer = call(self.door(member), "PUT", "/config", &text).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// What the gateways logged of a request.
    pub fn logged_of(&self, id: &str) -> String {
        let lines = self.gateways.iter().flat_map(|gateway| {
            let log = gateway.log();
            let of_id = log.lines().filter(|line| field(line, "id") == Some(id));
            of_id.map(|line| format!("{}: {line}\n", gateway.name)).collect::<Vec<String>>()
        });
        lines.collect()
    }

    /// Waits until a gateway has a configuration in force.
    pub async fn in_force(&self, gateway: usize, version: u64) {
        let process = &self.gateways[gateway];
        let line = format!("version={version} ");
        eventually(&format!("version {version} at {}", process.name), async || {
            let log = process.log();
            let mut lines = log.lines().filter(|line| line.contains("configuration in force"));
            lines.any(|found| format!("{found} ").contains(&line)).then_some(())
        })
        .await;
    }

    /// Waits until a gateway knows so many targets.
    pub async fn knows_targets(&self, gateway: usize, targets: usize) {
        let process = &self.gateways[gateway];
        let word = format!(" targets={targets} ");
        eventually(&format!("{targets} targets at {}", process.name), async || {
            let log = process.log();
            let last = log.lines().rev().find(|line| line.contains("event=targets"))?;
            format!(" {last} ").contains(&word).then_some(())
        })
        .await;
    }
}

/// The value of a field in a line of a log.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = format!("{name}=");
    let value = line.split_whitespace().find_map(|part| part.strip_prefix(&start))?;
    Some(value.trim_matches('"'))
}

/// An answer to a call.
#[derive(Debug)]
pub struct Called {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    pub body: String,
}

impl Called {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Calls a process; `None` when no answer came.
pub async fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<Called> {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(5)).build().ok()?;
    let method = reqwest::Method::from_bytes(method.as_bytes()).ok()?;
    let sent = client.request(method, format!("http://{addr}{path}")).body(body.to_owned());
    let response = sent.send().await.ok()?;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    Some(Called { status, headers, body: response.text().await.ok()? })
}
