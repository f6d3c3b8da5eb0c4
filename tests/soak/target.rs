//! Targets that announce themselves, run requests, and misbehave at times.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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
use tokio::task::JoinHandle;

use crate::caller::{FORGED, SYSTEM_HEADERS};
use crate::harness::call;
use crate::ledger::{Ledger, Place, Run};

const HEARTBEAT: Duration = Duration::from_millis(300);
/// How long a target that comes during the run is cold after its start.
pub const COLD_FOR: Duration = Duration::from_millis(1_200);
/// Events of a stream.
pub const EVENTS: u32 = 8;

/// Makes the library cut the connection.
#[derive(Debug, thiserror::Error)]
#[error("cut")]
pub struct Cut;

type Body = UnsyncBoxBody<Bytes, Cut>;

/// A target; ends when dropped.
pub struct Target {
    pub id: String,
    pub data_hall: &'static str,
    serving: Arc<Serving>,
    public: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

struct Serving {
    id: String,
    data_hall: &'static str,
    cold_until: Duration,
    ledger: Ledger,
    rng: Mutex<StdRng>,
    /// Part of the requests that go wrong.
    faulty: Mutex<f64>,
    state: Mutex<&'static str>,
    sequence: AtomicU64,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Target {
    /// Starts a target at `private`, which others reach at `public`.
    pub async fn start(
        id: String,
        data_hall: &'static str,
        private: SocketAddr,
        public: SocketAddr,
        doors: Vec<SocketAddr>,
        ledger: Ledger,
        seed: u64,
    ) -> Self {
        let listener = TcpListener::bind(private).await.expect("an own address");
        let started = ledger.now();
        let place = Place { data_hall: data_hall.to_owned(), started };
        ledger.book().targets.insert(id.clone(), place);
        let serving = Arc::new(Serving {
            id: id.clone(),
            data_hall,
            cold_until: started + COLD_FOR,
            ledger,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            faulty: Mutex::new(0.02),
            state: Mutex::new("ready"),
            sequence: AtomicU64::new(0),
        });
        let tasks = vec![
            tokio::spawn(listen(listener, serving.clone())),
            tokio::spawn(heartbeats(serving.clone(), public, doors)),
        ];
        Target { id, data_hall, serving, public, tasks }
    }

    pub fn set_faulty(&self, part: f64) {
        *self.serving.faulty.lock().expect("no panic") = part;
    }

    /// Says that it drains, to one member after the other until one acknowledges.
    pub async fn drain(&self, doors: &[SocketAddr], within: Duration) -> bool {
        *self.serving.state.lock().expect("no panic") = "draining";
        let started = tokio::time::Instant::now();
        for door in doors.iter().cycle() {
            if started.elapsed() >= within {
                return false;
            }
            if beat(&self.serving, self.public, *door).await {
                let now = self.serving.ledger.now();
                self.serving.ledger.book().drained.entry(self.id.clone()).or_insert(now);
                return true;
            }
        }
        false
    }

    /// Says that it leaves for good.
    pub async fn leave(&self, doors: &[SocketAddr]) {
        for door in doors {
            let path = format!("/instances/{}", self.id);
            if call(*door, "DELETE", &path, "").await.is_some_and(|answer| answer.status == 200) {
                return;
            }
        }
    }
}

async fn beat(serving: &Serving, addr: SocketAddr, door: SocketAddr) -> bool {
    let cold_left = serving.cold_until.saturating_sub(serving.ledger.now()).as_millis() as u64;
    let body = json!({
        "service": "s", "address": addr, "zone": serving.data_hall, "version": "v1", "slots": 16,
        "state": *serving.state.lock().expect("no panic"), "cold-left-ms": cold_left,
        "stage": "both",
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
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let serving = serving.clone();
        connections.spawn(async move {
            let service = service_fn(|request| {
                let serving = serving.clone();
                async move { serving.answer(request).await }
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

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        let id = text("x-request-id");
        body.collect().await.map_err(|_| Cut)?;
        for name in SYSTEM_HEADERS {
            if head.headers.get_all(name).iter().any(|value| value == FORGED) {
                self.ledger.broken(format!("UNASKED: {id} came with its caller's {name}"));
            }
        }
        if text("x-expect-instance") != self.id {
            return Ok(Response::builder().status(421).body(whole(String::new())).expect("sound"));
        }
        let wrong = self.draw();
        if wrong == Wrong::TurnedAway {
            *self.ledger.book().turned_away.entry(id).or_default() += 1;
            let refusal = Response::builder().status(503).header("x-not-run", "1");
            return Ok(refusal.body(whole(String::new())).expect("sound"));
        }
        let run = Run { target: self.id.clone(), at: self.ledger.now(), team: text("x-tenant") };
        self.ledger.book().runs.entry(id.clone()).or_default().push(run);
        tokio::time::sleep(Duration::from_millis(5)).await;
        let answer = Response::builder()
            .header("x-request-id", &id)
            .header("x-server-load", "1,0,16")
            .header("x-server-stamp", format!("stamp-{id}"));
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
