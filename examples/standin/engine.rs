//! Stand-in for a model engine: continuous batching at a fixed token rate, a bounded prefix cache, priorities, resuming and
//! cancelling of answers, KV export and import, delayed cache events, a delayed load report, and fenced orders.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_util::stream;
use latchmount::orders::Order;
use latchmount::template::Spec;
use salvo::http::{Method, StatusCode};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::http::serve;

/// One in this many cache events is lost.
const EVENT_LOSS_INTERVAL: u64 = 10;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Models loaded at the start.
    pub models: Vec<Spec>,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Time to process one message that is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// Number of tokens of each answer.
    pub tokens: u64,
    /// Number of requests processed at the same time; others wait by priority.
    pub batch: usize,
    /// Maximum number of prefixes in the cache.
    pub cache: usize,
    /// Delay of the load report and of cache events.
    pub lag: Duration,
    /// Whether orders that are not newer than the last one, by term and sequence, are refused.
    pub fenced: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            models: vec![spec("m7@3")],
            token_ms: 5,
            prefill_ms: 5,
            tokens: 8,
            batch: 64,
            cache: 1_000,
            lag: Duration::from_millis(500),
            fenced: true,
        }
    }
}

/// A fault of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Fault {
    /// Refuse with status 503, and say that the request did not run.
    Refuse,
    /// The same, with a `retry-after` header of this many seconds.
    RetryAfter(u64),
    /// Run, then break the connection before the answer begins.
    LoseAnswer,
    /// Run, and answer with another attempt's ID.
    WrongAttempt,
    /// Break the stream after this many tokens; it can be resumed.
    BreakAfter(u64),
    /// Break the stream after this many tokens and forget it, so that it can't be resumed.
    ForgetAfter(u64),
}

#[derive(Default)]
struct State {
    /// Number of runs by last message.
    runs: BTreeMap<String, u64>,
    running: usize,
    /// Waiting requests by inverted priority and order of arrival.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    arrivals: u64,
    /// Hashes of the cached prefixes, the least recently used first.
    cache: VecDeque<u64>,
    /// Prefixes added to the cache, with the time.
    events: Vec<(Instant, u64)>,
    /// Load at each report, from which the delayed one is taken.
    loads: VecDeque<(Instant, usize)>,
    /// Events of the answers that can be resumed, by attempt ID.
    attempts: BTreeMap<String, Vec<String>>,
    cancelled: u64,
    /// Faults of the next answers; `None` for an answer without fault.
    faults: VecDeque<Option<Fault>>,
    /// Term and sequence of the last order.
    fence: (u64, u64),
    /// Executed orders, by term and sequence.
    orders: Vec<(u64, u64)>,
    models: Vec<Spec>,
    draining: bool,
}

/// A running engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    url: String,
    inner: Arc<Inner>,
}

struct Inner {
    options: EngineOptions,
    state: Mutex<State>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl Engine {
    /// Starts on a free port.
    pub async fn start(options: EngineOptions) -> Self {
        let models = options.models.clone();
        let state = Mutex::new(State { models, ..State::default() });
        let inner = Arc::new(Inner { options, state });
        let on = |call| Endpoint { inner: inner.clone(), call };
        let routes = Router::new()
            .push(Router::with_path("v1/chat/completions").post(on(Call::Chat)))
            .push(Router::with_path("v1/attempts/{id}").goal(on(Call::Attempt)))
            .push(Router::with_path("load").get(on(Call::Load)))
            .push(Router::with_path("cache/events").get(on(Call::Events)))
            .push(Router::with_path("kv").goal(on(Call::Kv)))
            .push(Router::with_path("orders").post(on(Call::Order)));
        let url = serve(routes).await;
        Engine { url, inner }
    }

    /// Base URL.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Whether the engine refuses older orders.
    pub fn fenced(&self) -> bool {
        self.inner.options.fenced
    }

    /// Currently loaded models.
    pub fn models(&self) -> Vec<Spec> {
        self.inner.state().models.clone()
    }
}

#[allow(dead_code)]
impl Engine {
    /// Number of runs of chats whose last message is this one.
    pub fn runs(&self, message: &str) -> u64 {
        *self.inner.state().runs.get(message).unwrap_or(&0)
    }

    /// Total number of runs.
    pub fn all_runs(&self) -> u64 {
        self.inner.state().runs.values().sum()
    }

    /// Number of cancelled answers.
    pub fn cancelled(&self) -> u64 {
        self.inner.state().cancelled
    }

    /// Number of requests that run or wait.
    pub fn load(&self) -> usize {
        let state = self.inner.state();
        state.running + state.waiting.len()
    }

    /// Adds a fault for the next answer that has none assigned yet.
    pub fn fail_next(&self, fault: Fault) {
        self.inner.state().faults.push_back(Some(fault));
    }

    /// Answers the next `count` requests without fault, before any fault added later.
    pub fn succeed_next(&self, count: usize) {
        self.inner.state().faults.extend(std::iter::repeat_n(None, count));
    }

    /// Refuses new requests and announces a shutdown.
    pub fn drain(&self) {
        self.inner.state().draining = true;
    }

    /// Executed orders, by term and sequence.
    pub fn orders(&self) -> Vec<(u64, u64)> {
        self.inner.state().orders.clone()
    }
}

enum Call {
    Chat,
    Attempt,
    Load,
    Events,
    Kv,
    Order,
}

struct Endpoint {
    inner: Arc<Inner>,
    call: Call,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.call {
            Call::Chat => self.chat(req, res).await,
            Call::Attempt => self.attempt(req, res),
            Call::Load => self.load(res),
            Call::Events => self.events(res),
            Call::Kv => self.kv(req, res).await,
            Call::Order => self.order(req, res).await,
        }
    }
}

#[derive(Deserialize)]
struct Chat {
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
}

impl Endpoint {
    async fn chat(&self, req: &mut Request, res: &mut Response) {
        let attempt = req.header::<String>("x-attempt-id").unwrap_or_default();
        let priority = req.header::<u8>("x-priority").unwrap_or_default();
        let Ok(chat) = req.parse_json::<Chat>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let (fault, draining) = {
            let mut state = self.inner.state();
            (state.faults.pop_front().flatten(), state.draining)
        };
        header(
            res,
            "x-attempt-id",
            if fault == Some(Fault::WrongAttempt) { "other" } else { &attempt },
        );
        if draining {
            header(res, "x-leaving", "1");
        }
        if let Some(Fault::RetryAfter(seconds)) = fault {
            header(res, "retry-after", &seconds.to_string());
        }
        if draining || matches!(fault, Some(Fault::Refuse | Fault::RetryAfter(_))) {
            header(res, "x-not-run", "true");
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let last = text(chat.messages.last());
        let cached = self.run(&chat.messages, &last);
        if fault == Some(Fault::LoseAnswer) {
            res.stream(stream::iter([Err::<String, _>(std::io::Error::other("cut"))]));
            return;
        }
        let running = BatchSlot::start(&self.inner, priority).await;
        let uncached = chat.messages.len() - cached;
        let prefill = self.inner.options.prefill_ms * uncached as u64;
        pause(Duration::from_millis(prefill)).await;
        let tokens: Vec<String> = (0..self.inner.options.tokens)
            .map(|at| if at == 0 { format!("re:{last}") } else { format!(" t{at}") })
            .collect();
        if !chat.stream {
            let pace = Duration::from_millis(self.inner.options.token_ms);
            pause(pace * self.inner.options.tokens as u32).await;
            drop(running);
            res.render(Json(json!({
                "object": "chat.completion",
                "choices": [{"index": 0, "message": {"role": "assistant", "content": tokens.concat()}}],
                "usage": {"prompt_messages": chat.messages.len(), "cached_messages": cached},
            })));
            return;
        }
        let mut events: Vec<String> = tokens
            .iter()
            .enumerate()
            .map(|(at, token)| {
                event(
                    at,
                    &json!({
                        "object": "chat.completion.chunk",
                        "choices": [{"index": 0, "delta": {"content": token}}],
                        "usage": {"cached_messages": cached},
                    })
                    .to_string(),
                )
            })
            .collect();
        events.push(event(events.len(), "[DONE]"));
        let cut = match fault {
            Some(Fault::BreakAfter(tokens) | Fault::ForgetAfter(tokens)) => Some(tokens as usize),
            _ => None,
        };
        if !matches!(fault, Some(Fault::ForgetAfter(_))) {
            self.inner.state().attempts.insert(attempt, events.clone());
        }
        self.send(res, events, cut, Some(running));
    }

    /// Counts a run; returns how many leading messages were cached, and caches all of them.
    fn run(&self, messages: &[Value], last: &str) -> usize {
        let mut state = self.inner.state();
        *state.runs.entry(last.to_owned()).or_default() += 1;
        let mut cached = 0;
        let mut prefix = 0;
        for (at, message) in messages.iter().enumerate() {
            prefix = xxhash_rust::xxh3::xxh3_64_with_seed(message.to_string().as_bytes(), prefix);
            let found = state.cache.iter().position(|held| *held == prefix);
            match found {
                Some(position) => {
                    state.cache.remove(position);
                    cached = at + 1;
                }
                None => state.events.push((Instant::now(), prefix)),
            }
            state.cache.push_back(prefix);
        }
        while state.cache.len() > self.inner.options.cache {
            state.cache.pop_front();
        }
        cached
    }

    /// Streams the events; breaks the stream after `cut` of them, if set. The batch slot is held until the end.
    fn send(
        &self,
        res: &mut Response,
        events: Vec<String>,
        cut: Option<usize>,
        running: Option<BatchSlot>,
    ) {
        header(res, "content-type", "text/event-stream");
        let pace = Duration::from_millis(self.inner.options.token_ms);
        let state = (events.into_iter(), cut, running);
        res.stream(stream::unfold(state, move |(mut events, cut, running)| async move {
            if cut == Some(0) {
                let error = Err(std::io::Error::other("cut"));
                return Some((error, (Vec::new().into_iter(), None, None)));
            }
            let next = events.next()?;
            pause(pace).await;
            Some((Ok(next), (events, cut.map(|left| left - 1), running)))
        }));
    }

    /// Resumes an answer from an event, or cancels it.
    fn attempt(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        if req.method() == Method::DELETE {
            let mut state = self.inner.state();
            state.cancelled += 1;
            state.attempts.remove(&id);
            return;
        }
        let events = self.inner.state().attempts.get(&id).cloned();
        let Some(events) = events else {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        };
        header(res, "x-attempt-id", &id);
        let from = req.query::<usize>("from").unwrap_or_default();
        self.send(res, events[from.min(events.len())..].to_vec(), None, None);
    }

    /// Reports the load as it was `lag` ago.
    fn load(&self, res: &mut Response) {
        let mut state = self.inner.state();
        let now = Instant::now();
        let load = state.running + state.waiting.len();
        state.loads.push_back((now, load));
        let lag = self.inner.options.lag;
        while state.loads.len() > 1 && state.loads[1].0 + lag <= now {
            state.loads.pop_front();
        }
        res.render(Json(json!({"load": state.loads[0].1})));
    }

    /// Reports the cache events that are older than `lag`, except lost ones.
    fn events(&self, res: &mut Response) {
        let state = self.inner.state();
        let due = state.events.iter().enumerate().filter(|(at, (made, _))| {
            let lost = (*at as u64).is_multiple_of(EVENT_LOSS_INTERVAL);
            !lost && made.elapsed() >= self.inner.options.lag
        });
        let events: Vec<Value> =
            due.map(|(at, (_, prefix))| json!({"sequence": at, "stored": prefix})).collect();
        res.render(Json(events));
    }

    /// Exports the 100 most recently used prefixes, or imports prefixes.
    async fn kv(&self, req: &mut Request, res: &mut Response) {
        if req.method() == Method::GET {
            let state = self.inner.state();
            let newest: Vec<u64> = state.cache.iter().rev().take(100).copied().collect();
            res.render(Json(newest));
            return;
        }
        if let Ok(prefixes) = req.parse_json::<Vec<u64>>().await {
            self.inner.state().cache.extend(prefixes);
        }
    }

    /// Loads the models of an order; refuses it if it is fenced off by a newer one.
    async fn order(&self, req: &mut Request, res: &mut Response) {
        let Ok(order) = req.parse_json::<Order>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let mut state = self.inner.state();
        let at = (order.term, order.sequence);
        if self.inner.options.fenced && at <= state.fence {
            res.status_code(StatusCode::CONFLICT);
            return;
        }
        state.fence = at;
        state.models = order.models.into_iter().collect();
        state.orders.push(at);
    }
}

/// A slot in the batch; dropping it starts the next waiting request.
struct BatchSlot(Arc<Inner>);

impl BatchSlot {
    async fn start(inner: &Arc<Inner>, priority: u8) -> Self {
        let turn = {
            let mut state = inner.state();
            if state.running < inner.options.batch {
                state.running += 1;
                None
            } else {
                state.arrivals += 1;
                let (turn, wait) = oneshot::channel();
                let position = (u8::MAX - priority, state.arrivals);
                state.waiting.insert(position, turn);
                Some(wait)
            }
        };
        if let Some(turn) = turn {
            let _ = turn.await;
        }
        BatchSlot(inner.clone())
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let mut state = self.0.state();
        while let Some((_, turn)) = state.waiting.pop_first() {
            if turn.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}

/// Sleeps; returns at once for a zero duration, which a timer would round up.
async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Parses a model with its version, `MODEL@VERSION`.
pub fn spec(text: &str) -> Spec {
    text.to_owned().try_into().expect("MODEL@VERSION")
}

fn text(message: Option<&Value>) -> String {
    let content = message.and_then(|message| message["content"].as_str());
    content.unwrap_or_default().to_owned()
}

fn event(at: usize, data: &str) -> String {
    format!("id: {at}\ndata: {data}\n\n")
}

fn header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}
