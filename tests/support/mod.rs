//! Starts the binary's `control` and `router` processes on the loopback for one partner, with
//! stand-ins (fake servers) for engines, a plain service and the platform.

#![allow(dead_code)]

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use latchmount::targets::Serves;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

pub mod hostile;
pub mod link;
pub mod usage;

#[path = "../../examples/standin/engine.rs"]
pub mod engine;
#[path = "../../examples/standin/http.rs"]
pub mod http;
#[path = "../../examples/standin/platform.rs"]
pub mod platform;
#[path = "../../examples/standin/service.rs"]
pub mod service;

use engine::{Engine, EngineOptions};
use link::Link;
use platform::Platform;
use service::Service;

/// Limit on each wait of `eventually`.
pub const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(60);
pub const TOKEN: &str = "an operator's token";
pub const KEY: &str = "a secret of this partner's hosts";
/// Last lines of each process log that a failing test prints.
const LOG_LINES_SHOWN: usize = 12;
const CONTROL_PORT: u16 = 7000;
const LINK_PORT: u16 = 9000;
const ROUTER_PORT: u16 = 8080;

/// Polls `done` until it returns a value; panics with `what` after the timeout.
pub async fn eventually<T>(what: &str, mut done: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    while started.elapsed() < EVENTUALLY_TIMEOUT {
        if let Some(value) = done().await {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what}: not within {EVENTUALLY_TIMEOUT:?}");
}

/// A loopback address that no other fleet of this or another test process uses.
fn allocate_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [low, middle, ..] = std::process::id().to_le_bytes();
    loop {
        let ip = Ipv4Addr::new(127, 1 + middle % 250, low, NEXT.fetch_add(1, Ordering::Relaxed));
        if TcpListener::bind((ip, ROUTER_PORT)).is_ok() {
            return ip;
        }
    }
}

/// A running process of the binary; killed when dropped.
pub struct Process {
    child: Child,
    pub settings: PathBuf,
}

impl Process {
    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("a process of this test");
    }

    /// Resident memory, in KiB.
    pub fn resident_kib(&self) -> u64 {
        usage::resident_kib(self.id())
    }

    /// CPU time used so far (user and system), in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        usage::cpu_ticks(self.id())
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself; returns its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let child = &mut self.child;
        let status =
            eventually("the process exits", async || child.try_wait().ok().flatten()).await;
        status.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sizes and settings of a fleet; the defaults suit most tests.
pub struct FleetOptions {
    pub controls: u16,
    pub routers: u16,
    pub engines: usize,
    pub engine: EngineOptions,
    /// Settings merged into the section `router` or `control` of each process, here and below.
    pub router: Value,
    pub control: Value,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            controls: 1,
            routers: 2,
            engines: 2,
            engine: EngineOptions::default(),
            router: json!({}),
            control: json!({}),
        }
    }
}

/// One partner's processes and the stand-ins around them.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    ip: Ipv4Addr,
    options: FleetOptions,
    pub controls: Vec<Process>,
    /// For each control member the link in front of it, through which all others connect.
    pub links: Vec<Link>,
    pub routers: Vec<Process>,
    pub engines: Vec<Engine>,
    pub service: Service,
    pub platform: Platform,
    pub http: reqwest::Client,
}

impl Fleet {
    /// Starts all processes and forms the control group.
    pub async fn start(options: FleetOptions) -> Self {
        let platform = Platform::start().await;
        let mut engines = Vec::new();
        for number in 0..options.engines {
            let engine = Engine::start(options.engine.clone()).await;
            platform.add_engine(&format!("engine-{number}"), &engine);
            engines.push(engine);
        }
        let service = Service::start().await;
        platform.add("porting", service.url(), Serves::Service("porting".into()));
        let mut fleet = Fleet {
            folder: tempfile::tempdir().expect("a folder"),
            ip: allocate_ip(),
            controls: Vec::new(),
            links: Vec::new(),
            routers: Vec::new(),
            engines,
            service,
            platform,
            http: reqwest::Client::builder().no_proxy().build().expect("a client"),
            options,
        };
        std::fs::write(fleet.folder.path().join("token"), TOKEN).expect("a token file");
        for number in 0..fleet.options.controls {
            let to = (fleet.ip, CONTROL_PORT + number).into();
            fleet.links.push(Link::start(fleet.control_addr(number), to).await);
            let control = fleet.start_control(number);
            fleet.controls.push(control);
        }
        for number in 0..fleet.options.routers {
            let router = fleet.start_router(number);
            fleet.routers.push(router);
        }
        eventually("the group is formed", async || {
            let formed = fleet.operator(&["init"]);
            formed.status.success().then_some(())
        })
        .await;
        fleet
    }

    /// Starts a fleet, submits `template()` and waits until all routers serve.
    pub async fn start_configured(options: FleetOptions) -> Self {
        let fleet = Fleet::start(options).await;
        fleet.submit(&template(), "1").await;
        fleet.wait_until_serving().await;
        fleet
    }

    /// Address at which others reach a control member: that of its link.
    pub fn control_addr(&self, number: u16) -> SocketAddr {
        (self.ip, LINK_PORT + number).into()
    }

    pub fn router_url(&self, number: usize) -> String {
        format!("http://{}:{}", self.ip, ROUTER_PORT + number as u16)
    }

    /// Starts a process with these settings; `spawn` adds the common ones.
    pub fn restart_with(&self, name: &str, command: &str, settings: &Value) -> Process {
        self.spawn(name, command, settings.clone())
    }

    fn spawn(&self, name: &str, command: &str, mut settings: Value) -> Process {
        settings["host"] = json!(name);
        settings["data_hall"] = json!("a");
        settings["partner"] = json!("portwell");
        settings["key"] = json!(KEY);
        settings["platform_url"] = json!(self.platform.url());
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        let log = self.folder.path().join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let child = Command::new(env!("CARGO_BIN_EXE_latchmount"))
            .args([command, "--settings"])
            .arg(&path)
            .stderr(log.expect("a log file"))
            .stdin(Stdio::null())
            .spawn()
            .expect("the binary");
        Process { child, settings: path }
    }

    pub fn data_dir(&self, number: u16) -> PathBuf {
        self.folder.path().join(format!("data-{number}"))
    }

    pub fn read_log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    pub fn start_control(&self, number: u16) -> Process {
        let peers: Vec<SocketAddr> =
            (0..self.options.controls).map(|peer| self.control_addr(peer)).collect();
        let control = json!({
            "listen": SocketAddr::from((self.ip, CONTROL_PORT + number)),
            "advertise": self.control_addr(number),
            "peers": peers,
            "data_dir": self.data_dir(number),
            "operators": [{ "name": "olga", "token_sha256": sha256(TOKEN) }],
        });
        let control = merged(control, &self.options.control);
        self.spawn(&format!("control-{number}"), "control", json!({ "control": control }))
    }

    pub fn start_router(&self, number: u16) -> Process {
        let control: Vec<SocketAddr> =
            (0..self.options.controls).map(|peer| self.control_addr(peer)).collect();
        let router = json!({
            "listen": SocketAddr::from((self.ip, ROUTER_PORT + number)),
            "control": control,
            "list_poll_ms": 100,
            "stop_notice_ms": 100,
        });
        let router = merged(router, &self.options.router);
        self.spawn(&format!("router-{number}"), "router", json!({ "router": router }))
    }

    /// Runs an operator command of the binary against all control members.
    pub fn operator(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_latchmount"));
        command.args(args).arg("--token-file").arg(self.folder.path().join("token"));
        for number in 0..self.options.controls {
            command.arg("--control").arg(self.control_addr(number).to_string());
        }
        command.output().expect("the binary")
    }

    pub fn template_file(&self, template: &Value) -> String {
        let path = self.folder.path().join(format!("template-{:x}.json", rand::random::<u64>()));
        let mut file = std::fs::File::create(&path).expect("a template file");
        file.write_all(template.to_string().as_bytes()).expect("a template file");
        path.display().to_string()
    }

    /// Submits a new template, which must be accepted; returns its revision.
    pub async fn submit(&self, template: &Value, id: &str) -> u64 {
        let file = self.template_file(template);
        let out = self.operator(&["template", "submit", "--change-id", id, &file]);
        let text = text(&out.stdout);
        assert!(out.status.success(), "submit: {text} {}", self::text(&out.stderr));
        word_after(&text, "revision").parse().expect("a revision")
    }

    /// Waits until every router is healthy and knows targets.
    pub async fn wait_until_serving(&self) {
        for number in 0..self.options.routers as usize {
            self.wait_until_healthy(number).await;
        }
    }

    /// Waits until every router has logged that it knows all others, and so requests slots from their
    /// owners.
    pub async fn wait_for_router_discovery(&self) {
        let count = format!("count={} ", self.options.routers);
        for number in 0..self.options.routers {
            eventually("the routers know each other", async || {
                let log = self.read_log(&format!("router-{number}"));
                let mut lines = log.lines().filter(|line| line.contains("event=routers"));
                lines.any(|line| line.contains(&count)).then_some(())
            })
            .await;
        }
    }

    pub async fn wait_until_healthy(&self, number: usize) {
        let url = format!("{}/healthz", self.router_url(number));
        eventually("the router is healthy", async || {
            let answer = self.http.get(&url).send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
        // The router may receive its list of targets a moment later.
        eventually("the router knows its targets", async || {
            let answer = self.call(number, "ping", &[]).await.ok()?;
            (answer.status() != 503).then_some(())
        })
        .await;
    }

    /// Builds a chat completion request to a router.
    pub fn chat(
        &self,
        router: usize,
        chat: &str,
        messages: &[&str],
        stream: bool,
    ) -> reqwest::RequestBuilder {
        let messages: Vec<Value> =
            messages.iter().map(|text| json!({ "role": "user", "content": text })).collect();
        self.http
            .post(format!("{}/v1/chat/completions", self.router_url(router)))
            .header("latchmount-team", "agents")
            .header("latchmount-chat", chat)
            .json(&json!({ "model": "any", "stream": stream, "messages": messages }))
    }

    /// Sends a request to the plain service through a router.
    pub async fn call(
        &self,
        router: usize,
        id: &str,
        headers: &[(&str, &str)],
    ) -> reqwest::Result<reqwest::Response> {
        let mut request = self
            .http
            .get(format!("{}/services/porting/status/{id}?x=1", self.router_url(router)))
            .header("latchmount-team", "agents")
            .header(service::CALL_ID, id);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.send().await
    }

    /// The value of a router's metric, summed over the series whose line contains `part`.
    pub async fn metric(&self, router: usize, name: &str, part: &str) -> f64 {
        let url = format!("{}/metrics", self.router_url(router));
        let answer = self.http.get(url).send().await.expect("metrics");
        let text = answer.text().await.expect("metrics");
        let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(part));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

impl Drop for Fleet {
    /// Prints the last log lines of each process when a test fails.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let entries = std::fs::read_dir(self.folder.path()).into_iter().flatten().flatten();
        let names = entries.filter_map(|entry| entry.file_name().into_string().ok());
        for name in names.filter_map(|name| name.strip_suffix(".log").map(str::to_owned)) {
            let log = self.read_log(&name);
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..];
            eprintln!("== {name}\n{}", last.join("\n"));
        }
    }
}

/// The template that most tests submit.
pub fn template() -> Value {
    json!({
        "name": "disputes", "model": "m7", "version": "3", "priority": 5,
        "repeatable": { "chat": true, "services": [] },
        "teams": { "agents": { "share_percent": 40 } },
    })
}

pub fn merged(mut base: Value, over: &Value) -> Value {
    for (name, value) in over.as_object().into_iter().flatten() {
        base[name] = value.clone();
    }
    base
}

pub fn sha256(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The word after the first occurrence of `name` in the client's output.
pub fn word_after(text: &str, name: &str) -> String {
    let mut words = text.split_whitespace().skip_while(|word| *word != name);
    words.nth(1).unwrap_or_default().to_owned()
}
