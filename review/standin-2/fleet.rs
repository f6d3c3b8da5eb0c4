//! What the cases of this review share: starts a small fleet on loopback addresses with the commands of the deploy
//! file, speaks HTTP/1.1 as clients, servers and the operator do, and records what happened. Only the standard library.

#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a case found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun,
}

/// `record.txt`: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ports of the fleet, the same at every address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub peer: u16,
    pub front: u16,
    pub ready: u16,
    pub metrics: u16,
}

struct Process {
    name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Members and gateways as processes. All that still run are killed when it is dropped.
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    net: [u8; 2],
    pub ports: Ports,
    members: Vec<Process>,
    gateways: Vec<Process>,
    pub record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.members.iter_mut().chain(&mut self.gateways) {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Prepares a folder, addresses and free ports.
    pub fn prepare(record: &Record) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("latchmount-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = [(1 + id % 250) as u8, (id / 250 % 250) as u8];
        let probe = Ipv4Addr::new(127, net[0], net[1], 250);
        let listeners: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((probe, 0)).expect("a free port")).collect();
        let port = |at: usize| listeners[at].local_addr().unwrap().port();
        let ports = Ports {
            control: port(0),
            peer: port(1),
            front: port(2),
            ready: port(3),
            metrics: port(4),
        };
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()));
        Fleet {
            binary: root.join("target/release/latchmount"),
            folder,
            net,
            ports,
            members: Vec::new(),
            gateways: Vec::new(),
            record: record.clone(),
        }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    pub fn member_api(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(1 + at as u8)), self.ports.control)
    }

    pub fn gateway_addr(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(101 + at as u8)), self.ports.front)
    }

    fn ready_addr(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(101 + at as u8)), self.ports.ready)
    }

    /// Adds members and gateways, with settings as the templates in `platform/` give them. `extra` goes into the
    /// settings of gateways.
    pub fn add(&mut self, members: usize, gateways: usize, extra: &str) {
        let halls = r#"{"hall-a": "north", "hall-b": "north"}"#;
        let seeds: Vec<String> =
            (0..members.min(3)).map(|at| format!("\"{}\"", self.member_api(at))).collect();
        let seeds = seeds.join(", ");
        let Ports { peer, metrics, .. } = self.ports;
        for at in 0..members {
            let ip = self.ip(1 + at as u8);
            let api = self.member_api(at);
            let data = self.folder.join(format!("member-{at}-data"));
            let text = format!(
                r#"{{ "host": "core-{at}", "data_halls": {halls}, "listen": "{api}",
  "metrics_listen": "{ip}:{metrics}", "peer_port": {peer}, "seeds": [{seeds}], "found": true,
  "data_dir": "{}", "bear_losses": 2, "max_descriptors": 4096, "memory_mb": 256, "link_mbps": 6,
  "target_heartbeat_ms": 1200 }}"#,
                data.display()
            );
            let process = self.process("member", format!("member-{at}"), &text);
            self.members.push(process);
        }
        for at in 0..gateways {
            let ip = self.ip(101 + at as u8);
            let (listen, ready) = (self.gateway_addr(at), self.ready_addr(at));
            let text = format!(
                r#"{{ "host": "front-{at}", "data_hall": "hall-a", "data_halls": {halls}, "listen": "{listen}",
  "ready_listen": "{ready}", "metrics_listen": "{ip}:{metrics}", "members": [{seeds}], "peer_port": {peer},
  "on_stale": "serve", "stale_after_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
  "load_bound": 2, "stop_within_ms": 8000, "max_descriptors": 4100, "memory_mb": 260{extra} }}"#
            );
            let process = self.process("gateway", format!("gateway-{at}"), &text);
            self.gateways.push(process);
        }
    }

    fn process(&self, role: &'static str, name: String, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        Process { name, role, settings: path, log, child: None }
    }

    fn start(binary: &Path, record: &Record, process: &mut Process) {
        let log = File::options().append(true).create(true).open(&process.log).expect("a log");
        let child = Command::new(binary)
            .args([process.role, "--dialect", "platform", "--settings"])
            .arg(&process.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/latchmount starts");
        record.note(format!("{} starts", process.name));
        process.child = Some(child);
    }

    pub fn start_all(&mut self) {
        for process in self.members.iter_mut().chain(&mut self.gateways) {
            Self::start(&self.binary, &self.record, process);
        }
    }

    pub fn start_gateway(&mut self, at: usize) {
        Self::start(&self.binary, &self.record, &mut self.gateways[at]);
    }

    pub fn start_member(&mut self, at: usize) {
        Self::start(&self.binary, &self.record, &mut self.members[at]);
    }

    /// Starts a member again on its disk; the system as a whole starts no more for the first time.
    pub fn restart_member(&mut self, at: usize) {
        let path = &self.members[at].settings;
        let text = fs::read_to_string(path).expect("settings");
        fs::write(path, text.replace("\"found\": true,", "")).expect("settings can be written");
        self.start_member(at);
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill_gateway(&mut self, at: usize) {
        Self::kill(&self.record, &mut self.gateways[at]);
    }

    pub fn kill_member(&mut self, at: usize) {
        Self::kill(&self.record, &mut self.members[at]);
    }

    fn kill(record: &Record, process: &mut Process) {
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.note(format!("{} was killed", process.name));
        }
    }

    /// Sends a gateway SIGTERM.
    pub fn terminate_gateway(&mut self, at: usize) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        let process = &self.gateways[at];
        if let Some(child) = &process.child {
            // SIGTERM is 15.
            unsafe { kill(child.id() as i32, 15) };
            self.record.note(format!("{} gets SIGTERM", process.name));
        }
    }

    /// Processes that ended though nobody ended them.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let all = self.members.iter_mut().chain(&mut self.gateways);
        all.filter_map(|process| {
            let status = process.child.as_mut()?.try_wait().ok()??;
            Some(format!("{}: {status}", process.name))
        })
        .collect()
    }

    pub fn gateway_log(&self, at: usize) -> String {
        fs::read_to_string(&self.gateways[at].log).unwrap_or_default()
    }

    /// Sends an order of the operator until it is acknowledged or refused, to one member after the other.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> Option<Answer> {
        let until = Instant::now() + Duration::from_secs(30);
        let mut at = 0;
        while Instant::now() < until {
            let member = self.member_api(at % self.members.len());
            at += 1;
            let answer = call(member, method, path, body, Duration::from_secs(1));
            match answer {
                Some(answer) if answer.status < 500 => {
                    self.record.note(format!("operator: {method} {path} at {member}: {}", answer.status));
                    return Some(answer);
                }
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self) -> bool {
        (0..self.gateways.len()).all(|at| self.wait_gateway_ready(at))
    }

    pub fn wait_gateway_ready(&self, at: usize) -> bool {
        let addr = self.ready_addr(at);
        wait_for(Duration::from_secs(20), || {
            let answer = call(addr, "GET", "/ready", "", Duration::from_secs(1));
            answer.is_some_and(|answer| answer.status == 200)
        })
    }
}

/// Polls until `done` or the time is over; returns whether it was done.
pub fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A whole HTTP answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the other side may keep the connection.
    pub keeps: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// One connection of a client or a server, with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

/// The head of a message: its first line and headers.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, rest: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_write_timeout(Some(limit)).ok()?;
        Some(Wire::new(stream))
    }

    fn fill(&mut self) -> Option<()> {
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => None,
            Ok(read) => {
                self.rest.extend_from_slice(&piece[..read]);
                Some(())
            }
        }
    }

    /// Reads the head of the next message; `None` at the end of the connection.
    pub fn head(&mut self) -> Option<Head> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Some(Head { first, headers })
    }

    /// Reads the body that the headers announce, by length or in chunks.
    pub fn body(&mut self, headers: &[(String, String)]) -> Option<Vec<u8>> {
        if header(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
                if length == 0 {
                    self.line()?;
                    return Some(body);
                }
                body.extend(self.exactly(length)?);
                self.line()?;
            }
        }
        let length = header(headers, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        self.exactly(length)
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.rest.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..at]).into_owned();
                self.rest.drain(..at + 2);
                return Some(line);
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.rest.len() < length {
            self.fill()?;
        }
        Some(self.rest.drain(..length).collect())
    }

    /// Reads a whole answer; `None` if none comes or it breaks off.
    pub fn answer(&mut self) -> Option<Answer> {
        let head = self.head()?;
        let status = head.first.split(' ').nth(1)?.parse().ok()?;
        let body = self.body(&head.headers)?;
        let keeps = !header(&head.headers, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Some(Answer { status, headers: head.headers, body, keeps })
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }
}

/// Sends one request on a new connection.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str, limit: Duration) -> Option<Answer> {
    let mut wire = Wire::connect(addr, limit)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    wire.send(&text).then_some(())?;
    wire.answer()
}

/// Registers a server and goes on to do so, as servers do, until `until` says that it ended.
pub fn heartbeats(
    members: Vec<SocketAddr>,
    id: String,
    service: String,
    addr: SocketAddr,
    slots: usize,
    ended: Arc<std::sync::atomic::AtomicBool>,
) {
    std::thread::spawn(move || {
        let mut sequence = 0;
        let mut at = 0;
        while !ended.load(std::sync::atomic::Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                r#"{{"service":"{service}","address":"{addr}","zone":"hall-a","version":"v1","slots":{slots},"state":"ready","cold-left-ms":0,"sequence":{sequence}}}"#
            );
            let member = members[at % members.len()];
            let answer =
                call(member, "PUT", &format!("/instances/{id}"), &body, Duration::from_secs(1));
            match answer {
                Some(answer) if answer.status == 200 => std::thread::sleep(Duration::from_millis(1_200)),
                _ => {
                    at += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }
    });
}

/// Runs a case with the folder of its record in the first argument, and exits as `run.sh` has to.
pub fn run(case: impl FnOnce(&Record, bool) -> Verdict) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!("disruption: {}", if trouble { "yes" } else { "no (TROUBLE=0)" }));
    let verdict = case(&record, trouble);
    record.note(format!("verdict: {verdict:?}"));
    println!("{verdict:?}");
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
