//! A target that speaks the platform's dialect, and may misbehave.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::harness::{CallResponse, call};

/// Between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// What a target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers.
    Answer,
    /// Answers after a while.
    Slow(Duration),
    /// Says that it did not run the request.
    NotRun,
    /// Runs the request and closes the connection.
    CloseConnection,
    /// Runs the request and fails.
    Fail,
    /// Runs the request and answers that it can't be done.
    Conflict,
    /// Answers for another request.
    WrongRequestId,
    /// Answers without a signature.
    Unsigned,
    /// Answers with so many bytes.
    Large(usize),
    /// Streams so many events.
    Stream(u32),
    /// Streams so many events, a while apart, and breaks off in the middle of the next one.
    BreakAfter(u32),
    /// Streams so many events and then says nothing.
    StallAfter(u32),
    /// Streams large events without a pause or an end.
    Flood,
    /// Runs the request and says nothing.
    NeverAnswer,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub method: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A target; ends when dropped.
pub struct Standin {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Headers that its answers bear besides.
    extra_headers: Arc<Mutex<Vec<(&'static str, &'static str)>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    open: Arc<AtomicUsize>,
    replaced: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
    state: Arc<Mutex<(&'static str, u64)>>,
    /// How long it says that it stays cold, in milliseconds.
    cold_left: Arc<AtomicU64>,
    /// When it says that it started; nothing where 0.
    born: Arc<AtomicU64>,
    /// Version of its software.
    version: Arc<Mutex<&'static str>>,
    data_hall: String,
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Standin {
    /// Starts a target that announces itself at `doors`.
    pub async fn start(id: &str, service: &str, doors: Vec<SocketAddr>) -> Self {
        Self::start_in("hall-a", id, service, doors).await
    }

    /// The same, in a data hall.
    pub async fn start_in(
        data_hall: &str,
        id: &str,
        service: &str,
        doors: Vec<SocketAddr>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Self::serve(listener, data_hall, id, service, doors, None)
    }

    /// Starts a target that answers on `listener`; requests that are poison to it call `ends`.
    pub fn serve(
        listener: TcpListener,
        data_hall: &str,
        id: &str,
        service: &str,
        doors: Vec<SocketAddr>,
        ends: Option<Arc<Notify>>,
    ) -> Self {
        let addr = listener.local_addr().expect("bound");
        let behaviour = Arc::new(Mutex::new(Behaviour::Answer));
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let state = Arc::new(Mutex::new(("ready", 0)));
        let open = Arc::new(AtomicUsize::new(0));
        let replaced = Arc::new(AtomicBool::new(false));
        let extra_headers: Arc<Mutex<Vec<_>>> = Arc::default();
        let serving = Serving {
            id: id.to_owned(),
            replaced: replaced.clone(),
            behaviour: behaviour.clone(),
            arrivals: arrivals.clone(),
            extra_headers: extra_headers.clone(),
            ends,
        };
        let mut standin = Standin {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            behaviour,
            extra_headers,
            arrivals,
            open: open.clone(),
            replaced,
            tasks: vec![tokio::spawn(listen(listener, Arc::new(serving), open))],
            state,
            cold_left: Arc::default(),
            born: Arc::default(),
            version: Arc::new(Mutex::new("v1")),
            data_hall: data_hall.to_owned(),
        };
        if !doors.is_empty() {
            standin.start_heartbeats(doors);
        }
        standin
    }

    /// Refuses connections from now on, and goes on announcing itself.
    pub fn stop_listening(&mut self) {
        self.tasks.remove(0).abort();
    }

    /// Announces itself no more.
    pub fn stop_heartbeats(&mut self) {
        self.tasks.remove(1).abort();
    }

    /// Begins to announce itself at `doors`.
    pub fn start_heartbeats(&mut self, doors: Vec<SocketAddr>) {
        let heartbeats = tokio::spawn(self.heartbeats(doors));
        self.tasks.push(heartbeats);
    }

    pub fn behave(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no panic") = behaviour;
    }

    /// Has its answers bear a header besides.
    pub fn add_header(&self, name: &'static str, value: &'static str) {
        self.extra_headers.lock().expect("no panic").push((name, value));
    }

    /// Has its answers bear none of those headers any more.
    pub fn clear_headers(&self) {
        self.extra_headers.lock().expect("no panic").clear();
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").clone()
    }

    /// Lets another target have the address.
    pub fn set_replaced(&self) {
        self.replaced.store(true, Ordering::Relaxed);
    }

    /// Has it say that it stays cold for so long.
    pub fn set_cold_left(&self, left_ms: u64) {
        self.cold_left.store(left_ms, Ordering::Relaxed);
    }

    /// Has it say that it started then, and count its heartbeats from there.
    pub fn set_start_time(&self, born_ms: u64, sequence: u64) {
        self.born.store(born_ms, Ordering::Relaxed);
        self.state.lock().expect("no panic").1 = sequence;
    }

    /// Has it say that it runs another version, before it announces itself.
    pub fn with_version(self, version: &'static str) -> Self {
        *self.version.lock().expect("no panic") = version;
        self
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// How often each request arrived.
    pub fn arrival_counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for arrival in self.arrivals() {
            *counts.entry(arrival.id).or_default() += 1;
        }
        counts
    }

    /// Says that it drains, until that is acknowledged.
    pub async fn drain(&self, door: SocketAddr) {
        self.state.lock().expect("no panic").0 = "draining";
        crate::harness::eventually("the drain is acknowledged", async || {
            let answer = self.send_heartbeat(door).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Sends one heartbeat.
    pub async fn send_heartbeat(&self, door: SocketAddr) -> Option<CallResponse> {
        send_heartbeat(door, &self.announced(), &self.state).await
    }

    fn announced(&self) -> Announced {
        Announced {
            id: self.id.clone(),
            service: self.service.clone(),
            addr: self.addr,
            data_hall: self.data_hall.clone(),
            cold_left: self.cold_left.clone(),
            born: self.born.clone(),
            version: self.version.clone(),
        }
    }

    fn heartbeats(&self, doors: Vec<SocketAddr>) -> impl Future<Output = ()> + use<> {
        let announced = self.announced();
        let state = self.state.clone();
        async move {
            let mut at = 0;
            loop {
                let door = doors[at % doors.len()];
                let answered = send_heartbeat(door, &announced, &state).await;
                if answered.is_none_or(|answer| answer.status != 200) {
                    at += 1;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
                tokio::time::sleep(HEARTBEAT).await;
            }
        }
    }
}

/// What a target always says of itself.
struct Announced {
    id: String,
    service: String,
    addr: SocketAddr,
    data_hall: String,
    cold_left: Arc<AtomicU64>,
    born: Arc<AtomicU64>,
    version: Arc<Mutex<&'static str>>,
}

async fn send_heartbeat(
    door: SocketAddr,
    announced: &Announced,
    state: &Mutex<(&'static str, u64)>,
) -> Option<CallResponse> {
    let (word, sequence) = {
        let mut state = state.lock().expect("no panic");
        state.1 += 1;
        *state
    };
    let mut body = json!({
        "service": announced.service, "address": announced.addr, "zone": announced.data_hall,
        "version": *announced.version.lock().expect("no panic"), "slots": 8,
        "state": word, "cold-left-ms": announced.cold_left.load(Ordering::Relaxed), "stage": "both", "sequence": sequence,
    });
    match announced.born.load(Ordering::Relaxed) {
        0 => {}
        born => body["born"] = born.into(),
    }
    call(door, "PUT", &format!("/instances/{}", announced.id), &body.to_string()).await
}

struct Serving {
    replaced: Arc<AtomicBool>,
    id: String,
    behaviour: Arc<Mutex<Behaviour>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    extra_headers: Arc<Mutex<Vec<(&'static str, &'static str)>>>,
    ends: Option<Arc<Notify>>,
}

/// Beginning of the body of a request that ends each mortal target that runs it.
pub const POISON: &[u8] = b"poison";
/// Events that a target makes of such a request before it ends.
const LAST_EVENTS: u32 = 3;

/// Makes the library cut the connection.
#[derive(Debug, thiserror::Error)]
#[error("cut")]
struct Cut;

type Body = BoxBody<Bytes, Cut>;

async fn listen(listener: TcpListener, serving: Arc<Serving>, open: Arc<AtomicUsize>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let (serving, open) = (serving.clone(), open.clone());
        open.fetch_add(1, Ordering::Relaxed);
        connections.spawn(async move {
            let service = service_fn(|request| {
                let serving = serving.clone();
                async move { serving.answer(request).await }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn whole(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {}).boxed()
}

impl Serving {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        let id = text("x-request-id");
        let expected = text("x-expect-instance");
        let last: u32 = text("last-event-id").parse().unwrap_or(0);
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        if expected != self.id || self.replaced.load(Ordering::Relaxed) {
            return Ok(Response::builder().status(421).body(whole(String::new())).expect("sound"));
        }
        let behaviour = *self.behaviour.lock().expect("no panic");
        let poison = body.starts_with(POISON);
        self.arrivals.lock().expect("no panic").push(Arrival {
            id: id.clone(),
            method: head.method.to_string(),
            path: head.uri.to_string(),
            headers: head.headers.clone(),
            body,
        });
        let mut answer = Response::builder()
            .header("x-request-id", &id)
            .header("x-server-stamp", format!("stamp-{}-{id}", self.id));
        let odd = self.extra_headers.lock().expect("no panic").clone();
        if !odd.iter().any(|(name, _)| *name == "x-server-load") {
            answer = answer.header("x-server-load", "1,0,8");
        }
        for (name, value) in odd {
            answer = answer.header(name, value);
        }
        if let Some(ends) = self.ends.clone().filter(|_| poison) {
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(50)).await;
                ends.notify_one();
            });
            answer = answer.header("content-type", "text/event-stream");
            return Ok(answer.body(stalled(last, last + LAST_EVENTS)).expect("sound"));
        }
        let body = match behaviour {
            Behaviour::Answer => whole(format!("answer to {id}")),
            Behaviour::Slow(time) => {
                tokio::time::sleep(time).await;
                whole(format!("answer to {id}"))
            }
            Behaviour::NotRun => {
                answer = answer.status(503).header("x-not-run", "1");
                whole(String::new())
            }
            Behaviour::CloseConnection => return Err(Cut),
            Behaviour::Fail => {
                answer = answer.status(500);
                whole("failed".into())
            }
            Behaviour::Conflict => {
                answer = answer.status(409);
                whole("denied".into())
            }
            Behaviour::WrongRequestId => {
                let another = Response::builder()
                    .header("x-request-id", "another")
                    .header("x-server-stamp", "stamp-of-another");
                return Ok(another.body(whole("for another".into())).expect("sound"));
            }
            Behaviour::Unsigned => {
                let unsigned = Response::builder().header("x-request-id", &id);
                return Ok(unsigned.body(whole("unsigned".into())).expect("sound"));
            }
            Behaviour::Large(bytes) => whole("x".repeat(bytes)),
            Behaviour::Stream(events) => {
                answer = answer.header("content-type", "text/event-stream");
                stream(last, events, false)
            }
            Behaviour::BreakAfter(events) => {
                answer = answer.header("content-type", "text/event-stream");
                stream(last, events, true)
            }
            Behaviour::StallAfter(events) => {
                answer = answer.header("content-type", "text/event-stream");
                stalled(last, events)
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
        Ok(answer.body(body).expect("sound"))
    }
}

/// Events after `last` up to `events`; then the end, or a break in the middle of the next one.
fn stream(last: u32, events: u32, breaks: bool) -> Body {
    let whole = (last + 1..=events).map(|at| Ok(event(at)));
    let partial = format!("id: {}\nda", events + 1);
    let rest = if breaks { vec![Ok(partial), Err(Cut)] } else { Vec::new() };
    let pieces = futures_util::stream::iter(whole.chain(rest)).then(|piece| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        piece.map(|text| Frame::data(Bytes::from(text)))
    });
    BodyExt::boxed(StreamBody::new(Box::pin(pieces).map(|frame| frame).boxed_sync()))
}

/// Events after `last` up to `events`, and then nothing, not even the end.
fn stalled(last: u32, events: u32) -> Body {
    let pieces = (last + 1..=events).map(|at| Ok(Frame::data(Bytes::from(event(at)))));
    let pieces = futures_util::stream::iter(pieces).chain(futures_util::stream::pending());
    BodyExt::boxed(StreamBody::new(pieces.boxed_sync()))
}

/// The text of one event.
pub fn event(at: u32) -> String {
    format!("id: {at}\ndata: event {at}\n\n")
}

/// Streams that may be shared.
trait BoxedSync: Sized {
    fn boxed_sync(self) -> SyncStream;
}

type SyncStream = std::pin::Pin<
    Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, Cut>> + Send + Sync + 'static>,
>;

impl<S> BoxedSync for S
where
    S: futures_util::Stream<Item = Result<Frame<Bytes>, Cut>> + Send + Sync + 'static,
{
    fn boxed_sync(self) -> SyncStream {
        Box::pin(self)
    }
}
