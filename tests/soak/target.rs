//! Targets that announce themselves, run requests, and misbehave at times.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::caller::{FORGED, SYSTEM_HEADERS};
use crate::harness::call;
use crate::ledger::{Arrival, Bite, Ledger, Place, Rest, Run};
use crate::proxy::Network;

const HEARTBEAT: Duration = Duration::from_millis(300);
/// How long a target that comes during the run is cold after its start.
pub const COLD_FOR: Duration = Duration::from_millis(1_200);
/// Events of a stream.
pub const EVENTS: u32 = 8;

/// Headers by which an answer names the start of the target that gave it, and says that it leaves.
pub const RAN_AT: &str = "x-ran-at";
pub const LEAVING: &str = "server-leaving";
/// Rest that a target asks for when it turns a request away, in milliseconds.
const RESTS_MS: std::ops::Range<u64> = 200..3_000;

/// Makes the library cut the connection.
#[derive(Debug, thiserror::Error)]
#[error("cut")]
pub struct Cut;

type Body = UnsyncBoxBody<Bytes, Cut>;

/// Beginning of the body of a request that ends each target that runs it.
pub const POISON: &[u8] = b"poison";
/// What targets say of their first start, in Unix milliseconds.
const BORN_MS: u64 = 1_769_600_000_000;
/// Time from its start until its target ends, and until that is started again, in milliseconds.
const ENDS_AFTER_MS: u64 = 50;
const STARTS_AFTER_MS: std::ops::Range<u64> = 600..2_500;

/// Where a target runs, and where it is started again under another id when it has ended.
pub struct Target {
    pub data_hall: &'static str,
    site: Site,
    serving: Arc<Mutex<Arc<Serving>>>,
    keeper: JoinHandle<()>,
}

/// What stays the same over the starts of a target.
#[derive(Clone)]
struct Site {
    name: String,
    data_hall: &'static str,
    private: SocketAddr,
    public: SocketAddr,
    network: Network,
    doors: Vec<SocketAddr>,
    ledger: Ledger,
}

/// One start of a target; ends when dropped.
struct Start(Vec<JoinHandle<()>>);

impl Drop for Start {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

struct Serving {
    id: String,
    /// The id and the start, for the ledger.
    name: String,
    /// When it says that it started.
    born_ms: u64,
    data_hall: &'static str,
    cold_until: Duration,
    ledger: Ledger,
    rng: Mutex<StdRng>,
    /// Draws rests, apart from what goes wrong.
    rest_rng: Mutex<StdRng>,
    /// Part of the requests that go wrong.
    faulty: Mutex<f64>,
    state: Mutex<&'static str>,
    /// Whether its answers say that it leaves, though its heartbeats do not.
    leaves_unheard: AtomicBool,
    sequence: AtomicU64,
    /// Woken when a request ends it.
    ends: Notify,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

impl Target {
    /// Starts a target at `private`, which others reach at `public` through its network.
    pub async fn start(
        name: String,
        data_hall: &'static str,
        (private, public): (SocketAddr, SocketAddr),
        network: Network,
        doors: Vec<SocketAddr>,
        ledger: Ledger,
        seed: u64,
    ) -> Self {
        let site = Site { name, data_hall, private, public, network, doors, ledger };
        let first = site.serving(0, seed);
        let start = site.start(&first).await;
        let serving = Arc::new(Mutex::new(first));
        let keeper = tokio::spawn(site.clone().keep(start, serving.clone(), seed));
        Target { data_hall, site, serving, keeper }
    }

    /// Its id of now.
    pub fn id(&self) -> String {
        self.serving().id.clone()
    }

    /// Its id of now and its start, as the ledger has them.
    pub fn name(&self) -> String {
        self.serving().name.clone()
    }

    fn serving(&self) -> Arc<Serving> {
        self.serving.lock().expect("no panic").clone()
    }

    /// Ends it as a crash does; it is started again after a while.
    pub fn crash(&self) {
        self.serving().ends.notify_one();
    }

    pub fn set_faulty(&self, part: f64) {
        *self.serving().faulty.lock().expect("no panic") = part;
    }

    /// Says that it drains, to one member after the other until one acknowledges.
    pub async fn drain(&self, doors: &[SocketAddr], within: Duration) -> bool {
        let serving = self.serving();
        *serving.state.lock().expect("no panic") = "draining";
        let started = tokio::time::Instant::now();
        for door in doors.iter().cycle() {
            if started.elapsed() >= within {
                return false;
            }
            if beat(&serving, self.site.public, *door).await {
                let now = serving.ledger.now();
                serving.ledger.book().drained.entry(serving.name.clone()).or_insert(now);
                return true;
            }
        }
        false
    }

    /// Says in its answers that it leaves, as one does whose heartbeats come to members that nobody hears.
    pub fn leave_unheard(&self) {
        self.serving().leaves_unheard.store(true, Ordering::Relaxed);
    }

    /// Says that it leaves for good.
    pub async fn leave(&self, doors: &[SocketAddr]) {
        for door in doors {
            let path = format!("/instances/{}", self.id());
            if call(*door, "DELETE", &path, "").await.is_some_and(|answer| answer.status == 200) {
                return;
            }
        }
    }
}

impl Site {
    /// What the target is in its start of this number.
    fn serving(&self, start: u64, seed: u64) -> Arc<Serving> {
        // Each second start is under the id that it had, with a clock that goes on or, at times, has stepped back.
        let id = format!("{}-{}", self.name, start / 2);
        let name = format!("{id}@{start}");
        let step = if start % 8 == 5 { BORN_MS - start } else { BORN_MS + start };
        let started = self.ledger.now();
        let place = Place { data_hall: self.data_hall.to_owned(), started };
        self.ledger.book().targets.insert(name.clone(), place);
        Arc::new(Serving {
            id,
            name,
            born_ms: step,
            data_hall: self.data_hall,
            cold_until: started + COLD_FOR,
            ledger: self.ledger.clone(),
            rng: Mutex::new(StdRng::seed_from_u64(seed.wrapping_add(start))),
            rest_rng: Mutex::new(StdRng::seed_from_u64(!seed.wrapping_add(start))),
            faulty: Mutex::new(0.02),
            state: Mutex::new("ready"),
            leaves_unheard: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            ends: Notify::new(),
        })
    }

    async fn start(&self, serving: &Arc<Serving>) -> Start {
        let listener = loop {
            match TcpListener::bind(self.private).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        self.network.proxy(self.public, self.private).await;
        let heartbeats = heartbeats(serving.clone(), self.public, self.doors.clone());
        Start(vec![tokio::spawn(listen(listener, serving.clone())), tokio::spawn(heartbeats)])
    }

    /// Starts the target again whenever a request has ended it, unless it was about to leave.
    async fn keep(self, first: Start, current: Arc<Mutex<Arc<Serving>>>, seed: u64) {
        let mut running = first;
        for start in 1.. {
            let serving = current.lock().expect("no panic").clone();
            serving.ends.notified().await;
            self.network.stop();
            drop(running);
            self.ledger.disturb();
            let draining = *serving.state.lock().expect("no panic") == "draining";
            if draining || serving.leaves_unheard.load(Ordering::Relaxed) {
                return;
            }
            let away = serving.rng.lock().expect("no panic").random_range(STARTS_AFTER_MS);
            tokio::time::sleep(Duration::from_millis(away)).await;
            let next = self.serving(start, seed);
            running = self.start(&next).await;
            *current.lock().expect("no panic") = next;
        }
    }
}

async fn beat(serving: &Serving, addr: SocketAddr, door: SocketAddr) -> bool {
    let cold_left = serving.cold_until.saturating_sub(serving.ledger.now()).as_millis() as u64;
    let body = json!({
        "service": "s", "address": addr, "zone": serving.data_hall, "version": "v1", "slots": 16,
        "state": *serving.state.lock().expect("no panic"), "cold-left-ms": cold_left,
        "stage": "both",
        "born": serving.born_ms,
        "sequence": serving.sequence.fetch_add(1, Ordering::Relaxed) + 1,
    });
    let path = format!("/instances/{}", serving.id);
    let text = body.to_string();
    let calling = call(door, "PUT", &path, &text);
    let answer = tokio::time::timeout(Duration::from_secs(1), calling).await;
    matches!(answer, Ok(Some(answer)) if answer.status == 200)
}

async fn heartbeats(serving: Arc<Serving>, addr: SocketAddr, doors: Vec<SocketAddr>) {
    let mut at = serving.rng.lock().expect("no panic").random_range(0..doors.len());
    loop {
        if beat(&serving, addr, doors[at % doors.len()]).await {
            tokio::time::sleep(HEARTBEAT).await;
        } else {
            at += 1;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn listen(listener: TcpListener, serving: Arc<Serving>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        let serving = serving.clone();
        connections.spawn(async move {
            let service = service_fn(|request| {
                let serving = serving.clone();
                async move { serving.answer(peer.ip(), request).await }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn whole(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// What goes wrong with a request.
#[derive(Clone, Copy, PartialEq)]
enum Wrong {
    Nothing,
    TurnedAway,
    Lost,
    Failed,
    Mute,
    Another,
    Broken(u32),
}

impl Serving {
    fn draw(&self) -> Wrong {
        let mut rng = self.rng.lock().expect("no panic");
        if !rng.random_bool(*self.faulty.lock().expect("no panic")) {
            return Wrong::Nothing;
        }
        match rng.random_range(0..6) {
            0 => Wrong::TurnedAway,
            1 => Wrong::Lost,
            2 => Wrong::Failed,
            3 => Wrong::Mute,
            4 => Wrong::Another,
            _ => Wrong::Broken(rng.random_range(0..EVENTS)),
        }
    }

    /// Begins to answer, and ends.
    fn run_poison(self: &Arc<Self>, id: &str, body: &[u8]) -> Response<Body> {
        let poison = String::from_utf8_lossy(body).into_owned();
        let now = self.ledger.now();
        self.ledger.book().poisoned.entry(poison.clone()).or_default().push(Bite::Reached(now));
        let serving = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ENDS_AFTER_MS)).await;
            let now = serving.ledger.now();
            let ended = Bite::Ended { at: now, target: serving.name.clone() };
            serving.ledger.book().poisoned.entry(poison).or_default().push(ended);
            serving.ends.notify_one();
        });
        self.head(id)
            .header("content-type", "text/event-stream")
            .body(stream(0, EVENTS, false))
            .expect("sound")
    }

    /// The head of an answer, with all that it says of this target.
    fn head(&self, id: &str) -> http::response::Builder {
        let head = Response::builder()
            .header("x-request-id", id)
            .header("x-server-load", "1,0,16")
            .header("x-server-stamp", format!("stamp-{id}"))
            .header(RAN_AT, &self.name);
        let draining = *self.state.lock().expect("no panic") == "draining";
        match draining || self.leaves_unheard.load(Ordering::Relaxed) {
            true => head.header(LEAVING, "1"),
            false => head,
        }
    }

    /// Turns a request away and asks for rest.
    fn turn_away(&self, gateway: IpAddr, id: &str) -> Response<Body> {
        let rest = self.rest_rng.lock().expect("no panic").random_range(RESTS_MS);
        let (at, target) = (self.ledger.now(), self.name.clone());
        let until = at + Duration::from_millis(rest);
        let mut book = self.ledger.book();
        *book.turned_away.entry(id.to_owned()).or_default() += 1;
        book.rests.push(Rest { target, gateway, at, until });
        let seconds = format!("{:.3}", Duration::from_millis(rest).as_secs_f64());
        self.head(id)
            .status(503)
            .header("x-not-run", "1")
            .header("retry-after", seconds)
            .body(whole(String::new()))
            .expect("sound")
    }

    async fn answer(
        self: &Arc<Self>,
        gateway: IpAddr,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        let id = text("x-request-id");
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        for name in SYSTEM_HEADERS {
            if head.headers.get_all(name).iter().any(|value| value == FORGED) {
                self.ledger.broken(format!("UNASKED: {id} came with its caller's {name}"));
            }
        }
        if text("x-expect-instance") != self.id {
            return Ok(Response::builder().status(421).body(whole(String::new())).expect("sound"));
        }
        let arrival = Arrival { target: self.name.clone(), gateway, at: self.ledger.now() };
        self.ledger.book().arrivals.push(arrival);
        if body.starts_with(POISON) {
            return Ok(self.run_poison(&id, &body));
        }
        let wrong = self.draw();
        if wrong == Wrong::TurnedAway {
            return Ok(self.turn_away(gateway, &id));
        }
        let (target, at, team) = (self.name.clone(), self.ledger.now(), text("x-tenant"));
        let run = Run { target, gateway, at, team };
        self.ledger.book().runs.entry(id.clone()).or_default().push(run);
        tokio::time::sleep(Duration::from_millis(5)).await;
        let answer = self.head(&id);
        let streams =
            head.uri.path().starts_with("/stream/") || head.uri.path().starts_with("/resumable/");
        let last: u32 = text("last-event-id").parse().unwrap_or(0);
        let answer = match wrong {
            Wrong::Lost => return Err(Cut),
            Wrong::Mute => std::future::pending().await,
            Wrong::Failed => answer.status(500).body(whole("failed".into())),
            Wrong::Another => Response::builder()
                .header("x-request-id", "another")
                .header("x-server-stamp", "stamp-another")
                .body(whole("answer to another".into())),
            Wrong::Broken(after) if streams => answer
                .header("content-type", "text/event-stream")
                .body(stream(last, after.max(last), true)),
            _ if streams => {
                answer.header("content-type", "text/event-stream").body(stream(last, EVENTS, false))
            }
            _ => answer.body(whole(format!("answer to {id}"))),
        };
        Ok(answer.expect("sound"))
    }
}

/// The text of one event.
pub fn event(at: u32) -> String {
    format!("id: {at}\ndata: event {at}\n\n")
}

fn stream(last: u32, events: u32, breaks: bool) -> Body {
    let whole = (last + 1..=events).map(|at| Ok(event(at)));
    let rest = if breaks { vec![Ok("id: ".to_owned()), Err(Cut)] } else { Vec::new() };
    let pieces = futures_util::stream::iter(whole.chain(rest)).then(|piece| async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        piece.map(|text| Frame::data(Bytes::from(text)))
    });
    StreamBody::new(pieces).boxed_unsync()
}
