//! Stand-in for the platform: a list of targets that can lag behind, and a rate-limited weight store.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use latchmount::targets::{Listed, Listing, Serves};
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::engine::Engine;
use super::http::serve;

/// Number of weights that may be read per second; more reads get status 429.
const WEIGHTS_PER_SECOND: usize = 2;

#[derive(Default)]
struct State {
    targets: Vec<Listed>,
    /// Engines whose loaded models the list shows.
    engines: BTreeMap<String, Engine>,
    /// While the list lags: since when, and the targets published instead of the current ones.
    stale: Option<(Instant, Vec<Listed>)>,
    /// Whether the list is answered with status 503.
    unavailable: bool,
    weight_reads: VecDeque<Instant>,
}

impl State {
    /// Updates the models of listed engines to those that they have loaded.
    fn update_models(&mut self) {
        for target in &mut self.targets {
            if let Some(engine) = self.engines.get(&target.name) {
                target.serves = Serves::Models(engine.models());
            }
        }
    }
}

/// A running platform; clones share it.
#[derive(Clone)]
pub struct Platform {
    url: String,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Starts on a free port.
    pub async fn start() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let routes = Router::new()
            .push(Router::with_path("targets").get(List(state.clone())))
            .push(Router::with_path("weights/{name}").get(Weights(state.clone())));
        let url = serve(routes).await;
        Platform { url, state }
    }

    /// Base URL.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Lists a target; its host is named after it, with `-host` appended.
    pub fn add(&self, name: &str, url: &str, serves: Serves) {
        self.state.lock().unwrap().targets.push(Listed {
            name: name.to_owned(),
            host: format!("{name}-host"),
            data_hall: "a".to_owned(),
            url: url.to_owned(),
            incarnation: 1,
            leaving: false,
            partner: "portwell".to_owned(),
            fenced: false,
            serves,
        });
    }

    /// Lists an engine; the list follows the models that it has loaded.
    pub fn add_engine(&self, name: &str, engine: &Engine) {
        self.add(name, engine.url(), Serves::Models(engine.models()));
        self.change(name, |listed| listed.fenced = engine.fenced());
        self.state.lock().unwrap().engines.insert(name.to_owned(), engine.clone());
    }

    /// Changes the list entry of a target.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Listed)) {
        let mut state = self.state.lock().unwrap();
        let target = state.targets.iter_mut().find(|target| target.name == name);
        change(target.expect("a listed target"));
    }
}

#[allow(dead_code)]
impl Platform {
    /// Removes a target from the list.
    pub fn remove(&self, name: &str) {
        self.state.lock().unwrap().targets.retain(|target| target.name != name);
    }

    /// Keeps publishing the present list despite later changes while `lag` is set.
    pub fn lag(&self, lag: bool) {
        let mut state = self.state.lock().unwrap();
        state.stale = lag.then(|| (Instant::now(), state.targets.clone()));
    }

    /// Answers requests for the list with status 503 while `unavailable` is set.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.lock().unwrap().unavailable = unavailable;
    }
}

struct List(Arc<Mutex<State>>);

#[async_trait]
impl Handler for List {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let mut state = self.0.lock().unwrap();
        state.update_models();
        if state.unavailable {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let (age, targets) = match &state.stale {
            Some((since, targets)) => (since.elapsed(), targets.clone()),
            None => (Duration::ZERO, state.targets.clone()),
        };
        let listing = Listing { age_ms: age.as_millis() as u64, targets };
        let content = serde_json::to_vec(&listing.targets).expect("a list encodes");
        let tag = format!("\"{:x}\"", xxhash_rust::xxh3::xxh3_64(&content));
        let known = req.headers().get("if-none-match");
        let unchanged = known.is_some_and(|known| known.as_bytes() == tag.as_bytes());
        let headers = res.headers_mut();
        headers.insert("etag", tag.parse().expect("a header value"));
        headers.insert("x-list-age-ms", listing.age_ms.into());
        if unchanged {
            res.status_code(StatusCode::NOT_MODIFIED);
        } else {
            res.render(Json(listing));
        }
    }
}

struct Weights(Arc<Mutex<State>>);

#[async_trait]
impl Handler for Weights {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let mut state = self.0.lock().unwrap();
        let now = Instant::now();
        state.weight_reads.retain(|at| now < *at + Duration::from_secs(1));
        if state.weight_reads.len() >= WEIGHTS_PER_SECOND {
            res.status_code(StatusCode::TOO_MANY_REQUESTS);
            res.headers_mut().insert("retry-after", "1".parse().expect("a header value"));
            return;
        }
        state.weight_reads.push_back(now);
        res.render(format!("weights of {}", req.param::<String>("name").unwrap_or_default()));
    }
}
