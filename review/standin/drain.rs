//! A server that leaves is cut off from the members while it still serves. Rule DRAIN.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Hosts, Unable};
use crate::http::{self, Connection};
use crate::record::Record;
use crate::server::{self, Announcer};

/// Sheet of trinacria-farm: `heartbeat-ms`, `drain-ms`.
const HEARTBEAT_MS: u64 = 1_200;
const DRAIN_MS: u64 = 2_000;
/// `srv_cut`, `for_s` (5).
const CUT: Duration = Duration::from_secs(5);
/// How long the leaving server serves on after the acknowledgement before it sends `DELETE`: `drain-ms` and a little
/// longer.
const SERVES_ON: Duration = Duration::from_millis(DRAIN_MS + 1_000);
/// How long after an unacknowledged `DELETE` it ends anyway: some seconds later.
const ENDS_ANYWAY: Duration = Duration::from_millis(3_000);
/// Requests a second of both kinds; the first of each [`CLIENTS`] send `artifact-status` (unsafe), the others `mirror-ping`
/// (safe), as 1 to 2.
const RATE: u64 = 96;
const CLIENTS: u64 = 12;
const UNSAFE_CLIENTS: u64 = 4;
/// Work of a request on the sheet.
const WORK: Duration = Duration::from_millis(30);
/// Share of the answers to `mirror-ping` that are the server's own 500 on an ordinary day, in percent (`error_share` in the
/// site file).
const OWN_ERRORS: u64 = 14;
/// Model servers beside them, which get no requests: one server of eight is cut off, and one of eight leaves.
const MODEL_SERVERS: usize = 6;

struct Server {
    announcer: Announcer,
    /// When each request reached it, with its id.
    arrivals: Mutex<Vec<(Instant, String)>>,
}

/// Whether the server fails this request by itself.
fn fails(id: &str, server: &str) -> bool {
    let hash = id.bytes().chain(server.bytes()).fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (hash >> 16) % 100 < OWN_ERRORS
}

fn serve(server: &Server, record: &Record, mut connection: Connection) {
    let me = &server.announcer;
    while let Ok(request) = connection.read(Instant::now() + Duration::from_secs(15)) {
        if me.has_ended() {
            return;
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.path() == "/health" {
            let headers = [("X-Instance-Id", me.id.as_str())];
            let status = if me.is_draining() { "503 Service Unavailable" } else { "200 OK" };
            let _ = connection.write(&http::encode(&format!("HTTP/1.1 {status}"), &headers, b""));
            continue;
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != me.id) {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Run", "1")];
            let _ =
                connection.write(&http::encode("HTTP/1.1 421 Misdirected Request", &headers, b""));
            continue;
        }
        server.arrivals.lock().unwrap().push((Instant::now(), id.clone()));
        record.note(&format!("{} runs {id}", me.id));
        std::thread::sleep(WORK);
        if me.has_ended() {
            record.note(&format!("{} ends with {id} at work", me.id));
            return;
        }
        let stamp = format!("stamp.{}.{id}", me.id);
        let leaving = me.is_draining();
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Stamp", stamp.as_str()),
            if leaving { ("Connection", "close") } else { ("Keep-Alive", "timeout=15") },
        ];
        let status = if request.method() == "GET" && fails(&id, &me.id) {
            "HTTP/1.1 500 Internal Server Error"
        } else {
            "HTTP/1.1 200 OK"
        };
        let written = connection.write(&http::encode(status, &headers, stamp.as_bytes()));
        if written.is_err() || leaving {
            return;
        }
    }
}

fn start_server(
    hosts: &mut Hosts,
    id: &str,
    service: &str,
    members: &[SocketAddr],
    record: &Arc<Record>,
) -> Result<Arc<Server>, Unable> {
    let (listener, addr) = server::bind(hosts.host())?;
    let announcer = Announcer::new(id, service, addr, 6, members);
    let server = Arc::new(Server { announcer, arrivals: Mutex::default() });
    let (serving, record) = (server.clone(), record.clone());
    http::listen(listener, move |connection| serve(&serving, &record, connection));
    let beating = server.clone();
    std::thread::spawn(move || {
        while !beating.announcer.has_ended() {
            beating.announcer.regular_beat();
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    });
    Ok(server)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"mirror-ping","host":"farm.example","path-prefix":"/ping/","route-type":"safe",
"timeout-ms":1500,"goal-ms":150,"priority":2,"service":"farm-api","max-attempts":2,"public":false},
{"name":"artifact-status","host":"farm.example","path-prefix":"/status/","route-type":"unsafe",
"timeout-ms":1500,"goal-ms":150,"priority":2,"service":"farm-api","max-attempts":1,"public":false}],
"services":[{"name":"farm-api","health-path":"/health","max-conns":110,"protocol":"h1","tls":false},
{"name":"latchmount-llm","health-path":"/health","max-conns":370,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"volunteers","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Sends requests to a gateway on a kept connection until told to stop.
fn client(gateway: SocketAddr, number: u64, record: &Record, stop: &AtomicBool, lost: &AtomicU64) {
    let mut kept: Option<Connection> = None;
    let pause = Duration::from_millis(1_000 * CLIENTS / RATE);
    let mut next = Instant::now() + Duration::from_millis(number * 7);
    for count in 0_u64.. {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("c{number:02}x{count:05}");
        let (line, length) = match number < UNSAFE_CLIENTS {
            true => (format!("POST /status/{id}"), "Content-Length: 8\r\n\r\nstatus?\n"),
            false => (format!("GET /ping/{id}"), "\r\n"),
        };
        let request = format!(
            "{line} HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
             X-Credential: n2ctnfzs989anu6wsjnb\r\n{length}"
        );
        let connection =
            kept.take().map_or_else(|| Connection::open(gateway, Duration::from_secs(1)), Ok);
        let answer = connection.and_then(|mut connection| {
            connection.write(request.as_bytes())?;
            let answer = connection.read(Instant::now() + Duration::from_secs(3))?;
            if !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
            {
                kept = Some(connection);
            }
            Ok(answer)
        });
        match answer {
            Ok(answer) if answer.status() == 200 || answer.status() == 500 => {}
            Ok(answer) => {
                lost.fetch_add(1, Ordering::Relaxed);
                record.note(&format!("client gets {} for {id} ({line})", answer.status()));
            }
            Err(error) => {
                lost.fetch_add(1, Ordering::Relaxed);
                record.note(&format!("client gets no answer for {id}: {error}"));
            }
        }
    }
}

/// Plays the case; true if the rule held.
pub fn play(folder: &Path, trouble: bool) -> Result<bool, Unable> {
    let record =
        Arc::new(Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())?);
    let mut hosts = Hosts::draw();
    let mut fleet = Fleet::start(&mut hosts, 3, 2, HEARTBEAT_MS)?;
    fleet.configure(CONFIG)?;
    record.note("configuration 7 acknowledged");
    let mut models = Vec::new();
    for number in 0..MODEL_SERVERS {
        let id = format!("i-model-{number}");
        models.push(start_server(&mut hosts, &id, "latchmount-llm", &fleet.members, &record)?);
    }
    let stays = start_server(&mut hosts, "i-stays", "farm-api", &fleet.members, &record)?;
    let leaves = start_server(&mut hosts, "i-leaves", "farm-api", &fleet.members, &record)?;
    fleet.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    std::thread::sleep(Duration::from_secs(2));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let gateway = fleet.gateways[number as usize % fleet.gateways.len()];
            let (record, stop, lost) = (record.clone(), stop.clone(), lost.clone());
            std::thread::spawn(move || client(gateway, number, &record, &stop, &lost))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    let before = [&stays, &leaves].map(|server| server.arrivals.lock().unwrap().len());
    if before.contains(&0) {
        return Err("a server got no request before the trouble".to_owned());
    }
    // The leave is told as soon as it is decided, between two of the regular heartbeats.
    leaves.announcer.wait_after_beat(Duration::from_millis(350));
    leaves.announcer.drain();
    if !leaves.announcer.beat() {
        return Err("the leave was not acknowledged".to_owned());
    }
    let acknowledged = Instant::now();
    record.note("i-leaves: `draining` is acknowledged");
    if trouble {
        std::thread::sleep(Duration::from_millis(100));
        leaves.announcer.cut(CUT);
        record.note("i-leaves is cut off from the members for 5 s, not from the gateways");
    }
    let deletes = acknowledged + SERVES_ON;
    std::thread::sleep(deletes.saturating_duration_since(Instant::now()));
    record.note("i-leaves sends DELETE");
    let (sender, answer) = std::sync::mpsc::channel();
    let leaving = leaves.clone();
    std::thread::spawn(move || sender.send(leaving.announcer.leave()));
    let left = answer.recv_timeout(ENDS_ANYWAY).unwrap_or(false);
    record.note(&format!("i-leaves ends; DELETE acknowledged: {left}"));
    leaves.announcer.end();
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended by themselves: {}", ended.join(", ")));
    }
    let due = acknowledged + Duration::from_millis(DRAIN_MS);
    let arrivals = leaves.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > due).collect();
    for (at, id) in &late {
        let after = at.duration_since(acknowledged).as_secs_f64();
        record
            .note(&format!("DRAIN: {id} reached i-leaves {after:.3} s after the acknowledgement"));
    }
    let all = stays.arrivals.lock().unwrap().len();
    let text = format!(
        "{} requests reached i-stays, {} i-leaves, {} of them later than drain-ms; {} were not served",
        all,
        arrivals.len(),
        late.len(),
        lost.load(Ordering::Relaxed)
    );
    record.note(&text);
    println!("{text}");
    Ok(late.is_empty())
}
