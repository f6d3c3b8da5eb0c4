//! Many clients read their answers slowly; the platform ends a process that goes over its memory. Rule Fault.

use std::collections::HashMap;
use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Hosts, MEMORY_MB, Unable};
use crate::http::{self, Connection};
use crate::record::Record;
use crate::server::{self, Announcer};

/// Sheet of portwell-muscat.
const HEARTBEAT_MS: u64 = 1_200;
const DEADLINE: Duration = Duration::from_secs(10);
/// Bytes a second of a machine's own link (`link-mbps` 1,000), which all answers to one gateway share.
const LINK_BYTES_PER_S: f64 = 125e6;
const SERVERS: usize = 4;
const GATEWAYS: usize = 2;
/// Clients of each gateway, and the length of the answer to each.
const CLIENTS: usize = 400;
const ANSWER_BYTES: usize = 1_000_000;
/// A slow client reads so much at once, and then pauses.
const SLOW_READ: usize = 16 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
const WAVES: usize = 4;
/// How often processes may end by themselves on a machine before the day counts 0.
const ENDS: usize = 3;
/// How long the platform takes to start a process again.
const RESTART: Duration = Duration::from_millis(500);

/// When the link of each gateway has carried what was sent so far.
#[derive(Default)]
struct Links(Mutex<HashMap<IpAddr, Instant>>);

impl Links {
    /// Waits until the link to a gateway has carried what was sent before, and sends so many bytes more.
    fn carry(&self, to: IpAddr, bytes: usize) {
        let now = Instant::now();
        let start = {
            let mut links = self.0.lock().unwrap();
            let free = links.entry(to).or_insert(now);
            let start = (*free).max(now);
            *free = start + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
            start
        };
        std::thread::sleep(start.saturating_duration_since(now));
    }
}

fn serve(announcer: &Announcer, links: &Links, body: &[u8], mut connection: Connection) {
    let Ok(from) = connection.stream.peer_addr() else {
        return;
    };
    while let Ok(request) = connection.read(Instant::now() + Duration::from_secs(15)) {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let stamp = format!("stamp.{}.{id}", announcer.id);
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", stamp.as_str())];
        let body = if request.path() == "/health" { &[] } else { body };
        for part in http::encode("HTTP/1.1 200 OK", &headers, body).chunks(SLOW_READ) {
            links.carry(from.ip(), part.len());
            if connection.write(part).is_err() {
                return;
            }
        }
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"records","host":"ports.example","path-prefix":"/records/","route-type":"safe",
"timeout-ms":10000,"goal-ms":600,"priority":1,"service":"records","max-attempts":1,"public":true}],
"services":[{"name":"records","health-path":"/health","max-conns":370,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Asks for one answer and reads it; true if it came whole.
fn client(gateway: SocketAddr, id: &str, slow: bool) -> std::io::Result<bool> {
    let mut connection = Connection::open(gateway, Duration::from_secs(1))?;
    let request = format!(
        "GET /records/{id} HTTP/1.1\r\nHost: ports.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let until = Instant::now() + DEADLINE;
    connection.write(request.as_bytes())?;
    connection.stream.set_read_timeout(Some(DEADLINE))?;
    let mut bytes = vec![0; SLOW_READ];
    let mut received = 0;
    while received < ANSWER_BYTES && Instant::now() < until {
        match connection.stream.read(&mut bytes)? {
            0 => return Ok(false),
            count => received += count,
        }
        if slow {
            std::thread::sleep(SLOW_PAUSE);
        }
    }
    Ok(received >= ANSWER_BYTES)
}

/// Ends each gateway that holds more memory than it may, and starts it again. Returns how often each was ended.
fn watch(
    fleet: &Mutex<Fleet>,
    record: &Record,
    stop: &AtomicBool,
) -> ([usize; GATEWAYS], [u64; GATEWAYS]) {
    let (mut ends, mut most) = ([0; GATEWAYS], [0; GATEWAYS]);
    while !stop.load(Ordering::Relaxed) {
        for at in 0..GATEWAYS {
            let name = format!("gateway-{at}");
            let held_kb = fleet.lock().unwrap().resident_kb(&name);
            most[at] = most[at].max(held_kb);
            if held_kb <= MEMORY_MB * 1024 {
                continue;
            }
            ends[at] += 1;
            record
                .note(&format!("{name} holds {} MiB, may hold {MEMORY_MB}: ended", held_kb / 1024));
            fleet.lock().unwrap().kill(&name);
            std::thread::sleep(RESTART);
            if let Err(why) = fleet.lock().unwrap().start_again(&name) {
                record.note(&format!("{name} does not start again: {why}"));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    (ends, most)
}

/// Plays the case; true if the rule held.
pub fn play(folder: &Path, trouble: bool) -> Result<bool, Unable> {
    let record =
        Arc::new(Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())?);
    let mut hosts = Hosts::draw();
    let fleet = Fleet::start(&mut hosts, 3, GATEWAYS, HEARTBEAT_MS)?;
    fleet.configure(CONFIG)?;
    let links = Arc::new(Links::default());
    for number in 0..SERVERS {
        let (listener, addr) = server::bind(hosts.host())?;
        let announcer =
            Announcer::new(&format!("i-records-{number}"), "records", addr, 64, &fleet.members);
        let announcer = Arc::new(announcer);
        let (serving, links, body) = (announcer.clone(), links.clone(), vec![b'r'; ANSWER_BYTES]);
        http::listen(listener, move |connection| serve(&serving, &links, &body, connection));
        std::thread::spawn(move || {
            while !announcer.has_ended() {
                announcer.regular_beat();
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }
    fleet.wait_ready()?;
    std::thread::sleep(Duration::from_secs(2));
    let gateways = fleet.gateways.clone();
    let fleet = Arc::new(Mutex::new(fleet));
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = {
        let (fleet, record, stop) = (fleet.clone(), record.clone(), stop.clone());
        std::thread::spawn(move || watch(&fleet, &record, &stop))
    };
    let (mut whole, mut asked) = (0, 0);
    for wave in 0..WAVES {
        let got = Arc::new(AtomicUsize::new(0));
        let clients: Vec<_> = (0..CLIENTS * GATEWAYS)
            .map(|number| {
                let (gateway, got) = (gateways[number % GATEWAYS], got.clone());
                let read = move || {
                    let id = format!("w{wave}c{number:04}");
                    if client(gateway, &id, trouble).unwrap_or(false) {
                        got.fetch_add(1, Ordering::Relaxed);
                    }
                };
                std::thread::Builder::new().stack_size(128 * 1024).spawn(read)
            })
            .collect();
        for client in clients {
            client.map_err(|error| error.to_string())?.join().map_err(|_| "a client failed")?;
        }
        let got = got.load(Ordering::Relaxed);
        record.note(&format!("wave {wave}: {got} of {} answers came whole", CLIENTS * GATEWAYS));
        whole += got;
        asked += CLIENTS * GATEWAYS;
        std::thread::sleep(Duration::from_millis(1_500));
    }
    stop.store(true, Ordering::Relaxed);
    let (ends, most) = watcher.join().map_err(|_| "the watcher failed")?;
    let text = format!(
        "gateways ended for memory over {MEMORY_MB} MiB: {ends:?} times, most held {:?} MiB; {whole} of {asked} answers came whole",
        most.map(|kb| kb / 1024)
    );
    record.note(&text);
    println!("{text}");
    Ok(ends.iter().any(|ends| *ends < ENDS))
}
