//! A stand-in for a target: an HTTP server in the test process that uses the platform's dialect, sends
//! heartbeats to members and can be told to misbehave.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, Request, Response};
use http_body::Frame;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::JoinHandle;

use crate::harness::{CallResponse, call};

/// Requests that a target says it processes at once.
pub const SLOTS: usize = 8;
/// Time in which a target with [`Behaviour::Queue`] answers a request that does not wait.
pub const WORK: Duration = Duration::from_millis(200);
/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// How a target handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers with 200.
    Answer,
    /// Answers with 200 after this delay.
    Slow(Duration),
    /// Answers with 503 and the header by which a target says that it did not run the request.
    NotRun,
    /// Runs the request and closes the connection without an answer.
    CloseConnection,
    /// Runs the request and answers with 500.
    Fail,
    /// Runs the request and answers with 409.
    Conflict,
    /// Answers with the request id and stamp of another request.
    WrongRequestId,
    /// Answers without the stamp that shows which target ran the request.
    Unsigned,
    /// Answers with a body of this many bytes.
    Large(usize),
    /// Streams this many events, 10 ms apart.
    Stream(u32),
    /// Streams this many events, 10 ms apart, and closes the connection in the middle of the next one.
    BreakAfter(u32),
    /// Streams this many events and then sends nothing, but keeps the connection open.
    StallAfter(u32),
    /// Streams this many events, 10 ms apart, with one pause of this length after the event `after`.
    Pause { after: u32, pause: Duration, events: u32 },
    /// Streams events of 4 KiB as fast as they are read, without end.
    Flood,
    /// Runs the request and never answers.
    NeverAnswer,
    /// Answers with 200 after 200 ms, and rejects a request if this many are running.
    Room(usize),
    /// Works on [`SLOTS`] requests at a time and answers each with 200 after [`WORK`]. Lets `waiting` more wait and
    /// rejects the others. A target with a `crash` notification crashes when it rejects more than `withstands` in a
    /// second.
    Queue { waiting: usize, withstands: usize },
}

/// How a target is cut off from the callers at one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Connections are reset, open ones as well as new ones.
    Reset,
    /// Connections stay open and nothing is read or sent, on open ones as well as on new ones.
    Silent,
    /// New connections are reset; open ones go on.
    NewReset,
}

/// The cuts in force, by the address of the caller.
type Cuts = HashMap<IpAddr, Cut>;

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// Address of the gateway that sent it.
    pub caller: IpAddr,
    pub method: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A running target. Stops when dropped.
pub struct Standin {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Headers added to all answers.
    extra_headers: Arc<Mutex<Vec<(&'static str, &'static str)>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    answers: Arc<AtomicUsize>,
    rejections: Arc<Mutex<Vec<Instant>>>,
    open_connections: Arc<AtomicUsize>,
    replaced: Arc<AtomicBool>,
    /// The server task, then the heartbeat task.
    tasks: Vec<JoinHandle<()>>,
    /// State in the heartbeats and sequence number of the last one.
    state: Arc<Mutex<(&'static str, u64)>>,
    /// Reported remaining time for which the target is cold, in milliseconds.
    cold_left_ms: Arc<AtomicU64>,
    /// Reported start time in Unix milliseconds; 0: not reported.
    born_ms: Arc<AtomicU64>,
    /// Whether it reports its start time when asked.
    reports: Arc<AtomicBool>,
    /// Reported software version.
    version: Arc<Mutex<&'static str>>,
    data_hall: String,
    cuts: watch::Sender<Cuts>,
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Standin {
    /// Starts a target in `hall-a` that sends heartbeats to the API addresses `members`, if there are any.
    pub async fn start(id: &str, service: &str, members: Vec<SocketAddr>) -> Self {
        Self::start_in("hall-a", id, service, members).await
    }

    /// Like [`Standin::start`], in the given data hall.
    pub async fn start_in(
        data_hall: &str,
        id: &str,
        service: &str,
        members: Vec<SocketAddr>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Self::serve(listener, data_hall, id, service, members, None)
    }

    /// Starts a target on `listener`. If `crash` is set, a poison request notifies it.
    pub fn serve(
        listener: TcpListener,
        data_hall: &str,
        id: &str,
        service: &str,
        members: Vec<SocketAddr>,
        crash: Option<Arc<Notify>>,
    ) -> Self {
        let addr = listener.local_addr().expect("bound");
        let behaviour = Arc::new(Mutex::new(Behaviour::Answer));
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let answers = Arc::new(AtomicUsize::new(0));
        let rejections = Arc::<Mutex<Vec<Instant>>>::default();
        let state = Arc::new(Mutex::new(("ready", 0)));
        let open_connections = Arc::new(AtomicUsize::new(0));
        let replaced = Arc::new(AtomicBool::new(false));
        let extra_headers: Arc<Mutex<Vec<_>>> = Arc::default();
        let (born_ms, reports) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let server = Server {
            id: id.to_owned(),
            born_ms: born_ms.clone(),
            reports: reports.clone(),
            replaced: replaced.clone(),
            behaviour: behaviour.clone(),
            arrivals: arrivals.clone(),
            answers: answers.clone(),
            running: AtomicUsize::new(0),
            slots: Semaphore::new(SLOTS),
            rejections: rejections.clone(),
            extra_headers: extra_headers.clone(),
            crash,
        };

        let cuts = watch::Sender::new(Cuts::new());
        let serving = listen(listener, Arc::new(server), open_connections.clone(), cuts.clone());
        let mut standin = Standin {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            behaviour,
            extra_headers,
            arrivals,
            answers,
            rejections,
            open_connections,
            replaced,
            tasks: vec![tokio::spawn(serving)],
            state,
            cold_left_ms: Arc::default(),
            born_ms,
            reports,
            version: Arc::new(Mutex::new("v1")),
            data_hall: data_hall.to_owned(),
            cuts,
        };
        if !members.is_empty() {
            standin.start_heartbeats(members);
        }
        standin
    }

    /// Refuses new connections from now on, but continues to send heartbeats.
    pub fn stop_listening(&mut self) {
        self.tasks.remove(0).abort();
    }

    /// Sends no more heartbeats, but continues to serve requests.
    pub fn stop_heartbeats(&mut self) {
        self.tasks.remove(1).abort();
    }

    /// Begins to send heartbeats to the API addresses `members`, one at a time.
    pub fn start_heartbeats(&mut self, members: Vec<SocketAddr>) {
        let heartbeats = tokio::spawn(self.heartbeats(members));
        self.tasks.push(heartbeats);
    }

    pub fn behave(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("not poisoned") = behaviour;
    }

    /// Adds a header to all later answers.
    pub fn add_header(&self, name: &'static str, value: &'static str) {
        self.extra_headers.lock().expect("not poisoned").push((name, value));
    }

    /// Removes the headers added by [`Standin::add_header`].
    pub fn clear_headers(&self) {
        self.extra_headers.lock().expect("not poisoned").clear();
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    /// When requests were rejected for want of room.
    pub fn rejections(&self) -> Vec<Instant> {
        self.rejections.lock().expect("not poisoned").clone()
    }

    /// Number of requests whose answers have begun.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::Relaxed)
    }

    /// Answers all later requests with 421, as another target at the same address does.
    pub fn set_replaced(&self) {
        self.replaced.store(true, Ordering::Relaxed);
    }

    /// Reports in later heartbeats that the target is cold for this much longer.
    pub fn set_cold_left(&self, left_ms: u64) {
        self.cold_left_ms.store(left_ms, Ordering::Relaxed);
    }

    /// Reports this start time in later heartbeats, and numbers them from `sequence` on.
    pub fn set_start_time(&self, born_ms: u64, sequence: u64) {
        self.born_ms.store(born_ms, Ordering::Relaxed);
        self.state.lock().expect("not poisoned").1 = sequence;
    }

    /// Sets the software version in its heartbeats. To be called before the first heartbeat.
    pub fn with_version(self, version: &'static str) -> Self {
        *self.version.lock().expect("not poisoned") = version;
        self
    }

    /// Has it answer `GET /report` with its start time.
    pub fn with_report(self) -> Self {
        self.reports.store(true, Ordering::Relaxed);
        self
    }

    /// Cuts the target off from the callers at these addresses.
    pub fn cut(&self, callers: &[IpAddr], cut: Cut) {
        self.cuts.send_modify(|cuts| cuts.extend(callers.iter().map(|caller| (*caller, cut))));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.cuts.send_modify(Cuts::clear);
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Number of arrivals of each request, by request id.
    pub fn arrival_counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for arrival in self.arrivals() {
            *counts.entry(arrival.id).or_default() += 1;
        }
        counts
    }

    /// Sends heartbeats with the state `draining` to a member until one is acknowledged.
    pub async fn drain(&self, member: SocketAddr) {
        self.state.lock().expect("not poisoned").0 = "draining";
        crate::harness::eventually("the drain is acknowledged", async || {
            let answer = self.send_heartbeat(member).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Sends one heartbeat to a member.
    pub async fn send_heartbeat(&self, member: SocketAddr) -> Option<CallResponse> {
        send_heartbeat(member, &self.announcement(), &self.state).await
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            id: self.id.clone(),
            service: self.service.clone(),
            addr: self.addr,
            data_hall: self.data_hall.clone(),
            cold_left_ms: self.cold_left_ms.clone(),
            born_ms: self.born_ms.clone(),
            version: self.version.clone(),
        }
    }

    /// Sends heartbeats to one member, and moves on to the next when one is not acknowledged.
    fn heartbeats(&self, members: Vec<SocketAddr>) -> impl Future<Output = ()> + use<> {
        let announcement = self.announcement();
        let state = self.state.clone();
        async move {
            let mut at = 0;
            loop {
                let member = members[at % members.len()];
                let response = send_heartbeat(member, &announcement, &state).await;
                if response.is_none_or(|answer| answer.status != 200) {
                    at += 1;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// What the heartbeats of a target report about it.
struct Announcement {
    id: String,
    service: String,
    addr: SocketAddr,
    data_hall: String,
    cold_left_ms: Arc<AtomicU64>,
    born_ms: Arc<AtomicU64>,
    version: Arc<Mutex<&'static str>>,
}

async fn send_heartbeat(
    member: SocketAddr,
    announcement: &Announcement,
    state: &Mutex<(&'static str, u64)>,
) -> Option<CallResponse> {
    let (reported_state, sequence) = {
        let mut state = state.lock().expect("not poisoned");
        state.1 += 1;
        *state
    };
    let mut body = json!({
        "service": announcement.service, "address": announcement.addr, "zone": announcement.data_hall,
        "version": *announcement.version.lock().expect("not poisoned"), "slots": SLOTS,
        "state": reported_state, "cold-left-ms": announcement.cold_left_ms.load(Ordering::Relaxed), "stage": "both", "sequence": sequence,
    });
    match announcement.born_ms.load(Ordering::Relaxed) {
        0 => {}
        born => body["born"] = born.into(),
    }
    call(member, "PUT", &format!("/instances/{}", announcement.id), &body.to_string()).await
}

/// The HTTP server of a target; shares its state with the [`Standin`].
struct Server {
    replaced: Arc<AtomicBool>,
    born_ms: Arc<AtomicU64>,
    reports: Arc<AtomicBool>,
    id: String,
    behaviour: Arc<Mutex<Behaviour>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    answers: Arc<AtomicUsize>,
    running: AtomicUsize,
    /// Places of [`Behaviour::Queue`].
    slots: Semaphore,
    rejections: Arc<Mutex<Vec<Instant>>>,
    extra_headers: Arc<Mutex<Vec<(&'static str, &'static str)>>>,
    crash: Option<Arc<Notify>>,
}

/// Start of the body of a poison request: each target with a `crash` notification crashes when it runs it.
pub const POISON: &[u8] = b"poison";
/// Id of a prompt part on which each target with a `crash` notification crashes when it begins to answer.
pub const POISON_PART: &str = "dead";
/// Events that a target streams of a poison request before it crashes.
const EVENTS_BEFORE_CRASH: u32 = 3;

/// Returned as an error to make hyper close the connection.
#[derive(Debug, thiserror::Error)]
#[error("connection closed by the stand-in")]
struct CloseConnection;

type Body = BoxBody<Bytes, CloseConnection>;

async fn listen(
    listener: TcpListener,
    server: Arc<Server>,
    open_connections: Arc<AtomicUsize>,
    cuts: watch::Sender<Cuts>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            continue;
        };
        let (server, open_connections) = (server.clone(), open_connections.clone());
        let cuts = cuts.subscribe();
        open_connections.fetch_add(1, Ordering::Relaxed);
        connections.spawn(async move {
            let service = service_fn(|request| {
                let server = server.clone();
                async move {
                    let answer = server.answer(request, caller.ip()).await;
                    server.answers.fetch_add(1, Ordering::Relaxed);
                    answer
                }
            });
            let reset = stream.as_fd().try_clone_to_owned().expect("a second handle");
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if serve_unless_cut(connection, caller.ip(), cuts).await == Served::Cut {
                // With this option closing the socket resets the connection.
                let _ = SockRef::from(&reset).set_linger(Some(Duration::ZERO));
            }
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Served {
    Ended,
    Cut,
}

/// Serves a connection of `caller` to its end, as far as the cuts allow.
async fn serve_unless_cut<T>(
    connection: impl Future<Output = T>,
    caller: IpAddr,
    mut cuts: watch::Receiver<Cuts>,
) -> Served {
    let mut connection = std::pin::pin!(connection);
    let mut new = true;
    loop {
        let cut = cuts.borrow_and_update().get(&caller).copied();
        match cut {
            Some(Cut::Reset) => return Served::Cut,
            Some(Cut::NewReset) if new => return Served::Cut,
            Some(Cut::Silent) => {
                let _ = cuts.changed().await;
            }
            Some(Cut::NewReset) | None => tokio::select! {
                _ = &mut connection => return Served::Ended,
                _ = cuts.changed() => {}
            },
        }
        new = false;
    }
}

/// A body that is sent in one piece.
fn full_body(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {}).boxed()
}

impl Arrival {
    /// Whether the prompt has the part on which targets crash.
    pub fn has_poison_part(&self) -> bool {
        has_poison_part(&self.headers)
    }
}

fn has_poison_part(headers: &HeaderMap) -> bool {
    let prompt = headers.get("x-prompt-prefix").and_then(|value| value.to_str().ok());
    let mut parts = prompt.unwrap_or("").split(',');
    parts.any(|part| part.split(':').next() == Some(POISON_PART))
}

/// Counts a request as running or waiting until dropped, also when its connection closes.
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    /// `None` if `room` requests are running or waiting already.
    fn begin(running: &'a AtomicUsize, room: usize) -> Option<Self> {
        let begun = Running(running);
        (running.fetch_add(1, Ordering::Relaxed) < room).then_some(begun)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    /// Records a rejection and returns the number of them in the last second.
    fn reject(&self) -> usize {
        let now = Instant::now();
        let mut rejections = self.rejections.lock().expect("not poisoned");
        rejections.push(now);
        let recent = rejections.iter().rev().take_while(|at| now < **at + Duration::from_secs(1));
        recent.count()
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        caller: IpAddr,
    ) -> Result<Response<Body>, CloseConnection> {
        let (head, body) = request.into_parts();
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        let id = text("x-request-id");
        let expected = text("x-expect-instance");
        let last_event: u32 = text("last-event-id").parse().unwrap_or(0);
        let body = body.collect().await.map_err(|_| CloseConnection)?.to_bytes();
        if head.uri.path() == "/health" {
            return Ok(Response::builder()
                .header("x-instance-id", &self.id)
                .body(full_body(String::new()))
                .expect("a valid response"));
        }
        if head.uri.path() == "/report" && self.reports.load(Ordering::Relaxed) {
            let born = self.born_ms.load(Ordering::Relaxed);
            return Ok(Response::builder()
                .header("content-type", "application/json")
                .body(full_body(json!({"stage": "both", "born": born}).to_string()))
                .expect("a valid response"));
        }
        if expected != self.id || self.replaced.load(Ordering::Relaxed) {
            return Ok(Response::builder()
                .status(421)
                .body(full_body(String::new()))
                .expect("a valid response"));
        }
        let behaviour = *self.behaviour.lock().expect("not poisoned");
        let poison_part = has_poison_part(&head.headers);
        let poison = body.starts_with(POISON) || poison_part;
        self.arrivals.lock().expect("not poisoned").push(Arrival {
            id: id.clone(),
            at: Instant::now(),
            caller,
            method: head.method.to_string(),
            path: head.uri.to_string(),
            headers: head.headers.clone(),
            body,
        });
        let mut answer = Response::builder()
            .header("x-request-id", &id)
            .header("x-server-stamp", format!("stamp-{}-{id}", self.id));
        let extra_headers = self.extra_headers.lock().expect("not poisoned").clone();
        if !extra_headers.iter().any(|(name, _)| *name == "x-server-load") {
            answer = answer.header("x-server-load", "1,0,8");
        }
        for (name, value) in extra_headers {
            answer = answer.header(name, value);
        }
        if let Some(crash) = self.crash.clone().filter(|_| poison) {
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(50)).await;
                crash.notify_one();
            });
            answer = answer.header("content-type", "text/event-stream");
            return Ok(answer
                .body(stalled(
                    last_event,
                    last_event + if poison_part { 0 } else { EVENTS_BEFORE_CRASH },
                ))
                .expect("a valid response"));
        }
        let body = match behaviour {
            Behaviour::Answer => full_body(format!("answer to {id}")),
            Behaviour::Slow(time) => {
                tokio::time::sleep(time).await;
                full_body(format!("answer to {id}"))
            }
            Behaviour::Room(room) => {
                if self.running.fetch_add(1, Ordering::Relaxed) < room {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    full_body(format!("answer to {id}"))
                } else {
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    self.rejections.lock().expect("not poisoned").push(Instant::now());
                    answer = answer.status(503).header("x-not-run", "1");
                    full_body(String::new())
                }
            }
            Behaviour::Queue { waiting, withstands } => {
                match Running::begin(&self.running, SLOTS + waiting) {
                    Some(_running) => {
                        let _slot = self.slots.acquire().await.expect("never closed");
                        tokio::time::sleep(WORK).await;
                        full_body(format!("answer to {id}"))
                    }
                    None => {
                        if self.reject() > withstands
                            && let Some(crash) = &self.crash
                        {
                            crash.notify_one();
                        }
                        answer = answer.status(503).header("x-not-run", "1");
                        full_body(String::new())
                    }
                }
            }
            Behaviour::NotRun => {
                answer = answer.status(503).header("x-not-run", "1");
                full_body(String::new())
            }
            Behaviour::CloseConnection => return Err(CloseConnection),
            Behaviour::Fail => {
                answer = answer.status(500);
                full_body("failed".into())
            }
            Behaviour::Conflict => {
                answer = answer.status(409);
                full_body("denied".into())
            }
            Behaviour::WrongRequestId => {
                let another = Response::builder()
                    .header("x-request-id", "another")
                    .header("x-server-stamp", "stamp-of-another");
                return Ok(another
                    .body(full_body("for another".into()))
                    .expect("a valid response"));
            }
            Behaviour::Unsigned => {
                let unsigned = Response::builder().header("x-request-id", &id);
                return Ok(unsigned.body(full_body("unsigned".into())).expect("a valid response"));
            }
            Behaviour::Large(bytes) => full_body("x".repeat(bytes)),
            Behaviour::Stream(events) => {
                answer = answer.header("content-type", "text/event-stream");
                stream(last_event, events, false)
            }
            Behaviour::BreakAfter(events) => {
                answer = answer.header("content-type", "text/event-stream");
                stream(last_event, events, true)
            }
            Behaviour::StallAfter(events) => {
                answer = answer.header("content-type", "text/event-stream");
                stalled(last_event, events)
            }
            Behaviour::Pause { after, pause, events } => {
                answer = answer.header("content-type", "text/event-stream");
                pausing(last_event, after, pause, events)
            }
            Behaviour::Flood => {
                answer = answer.header("content-type", "text/event-stream");
                let event = Bytes::from(format!("data: {}\n\n", "x".repeat(4_096)));
                let events =
                    futures_util::stream::repeat_with(move || Ok(Frame::data(event.clone())));
                BodyExt::boxed(StreamBody::new(events))
            }
            Behaviour::NeverAnswer => std::future::pending().await,
        };
        Ok(answer.body(body).expect("a valid response"))
    }
}

/// The events after `last` up to `events`, 10 ms apart; then the end of the stream or, with `breaks`, a part
/// of the next event and a closed connection.
fn stream(last: u32, events: u32, breaks: bool) -> Body {
    let complete = (last + 1..=events).map(|at| Ok(event(at)));
    let partial = format!("id: {}\nda", events + 1);
    let end = if breaks { vec![Ok(partial), Err(CloseConnection)] } else { Vec::new() };
    let pieces = futures_util::stream::iter(complete.chain(end)).then(|piece| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        piece.map(|text| Frame::data(Bytes::from(text)))
    });
    BodyExt::boxed(StreamBody::new(Box::pin(pieces).map(|frame| frame).boxed_sync()))
}

/// The events after `last` up to `events`, 10 ms apart, with a pause after the event `after`.
fn pausing(last: u32, after: u32, pause: Duration, events: u32) -> Body {
    let pieces = futures_util::stream::iter(last + 1..=events).then(move |at| async move {
        let wait = if at == after + 1 { pause } else { Duration::from_millis(10) };
        tokio::time::sleep(wait).await;
        Ok(Frame::data(Bytes::from(event(at))))
    });
    BodyExt::boxed(StreamBody::new(pieces.boxed_sync()))
}

/// The events after `last` up to `events`; then the stream stays open without further data.
fn stalled(last: u32, events: u32) -> Body {
    let pieces = (last + 1..=events).map(|at| Ok(Frame::data(Bytes::from(event(at)))));
    let pieces = futures_util::stream::iter(pieces).chain(futures_util::stream::pending());
    BodyExt::boxed(StreamBody::new(pieces.boxed_sync()))
}

/// Event `at` in the format of server-sent events.
pub fn event(at: u32) -> String {
    format!("id: {at}\ndata: event {at}\n\n")
}

/// Boxes a stream as `Send + Sync`, which the `boxed` method of `StreamExt` does not.
trait BoxedSync: Sized {
    fn boxed_sync(self) -> SyncStream;
}

type SyncStream = std::pin::Pin<
    Box<
        dyn futures_util::Stream<Item = Result<Frame<Bytes>, CloseConnection>>
            + Send
            + Sync
            + 'static,
    >,
>;

impl<S> BoxedSync for S
where
    S: futures_util::Stream<Item = Result<Frame<Bytes>, CloseConnection>> + Send + Sync + 'static,
{
    fn boxed_sync(self) -> SyncStream {
        Box::pin(self)
    }
}
