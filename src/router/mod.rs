//! A router: takes callers' requests and gives each to a target.

mod admission;
mod answer;
mod answers;
mod claim;
mod feed;
mod forward;
mod http;
pub mod metrics;
mod relay;
mod slot;
mod slots;
mod slots_thread;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use salvo::conn::Acceptor;
use salvo::server::ServerHandle;
use slog::{Logger, info, o, warn};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::clock::Instant;
use crate::freshness::Freshness;
use crate::queue::Queue;
use crate::reason::Reason;
use crate::retry::Budget;
use crate::rpc::{ControlError, Group, RouterReport};
use crate::sampler::Sampler;
use crate::settings::{RouterSettings, Settings};
use crate::store::Config;
use crate::targets::Targets;

use self::answers::Answers;
use self::metrics::Metrics;
use self::slots::{SlotCounters, Slots};

/// Between two looks at the requests in flight during a planned stop.
const STOP_STEP: Duration = Duration::from_millis(20);
/// Least time for connections to close after the last request has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A router can't start.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// The address can't be listened on.
    #[error("router.listen {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The HTTP client can't be made.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The metrics can't be made.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A control address can't be used.
    #[error("router.control: {0}")]
    Control(#[from] ControlError),
}

/// State that all parts of a router share.
pub(crate) struct Shared {
    host: String,
    key: String,
    platform_url: String,
    settings: RouterSettings,
    started: Instant,
    http: reqwest::Client,
    config: RwLock<Arc<Config>>,
    freshness: Mutex<Freshness>,
    targets: Mutex<Targets>,
    slots: Slots,
    budget: Mutex<Budget>,
    queue: Mutex<Queue<oneshot::Sender<()>>>,
    silent_lines: Mutex<Sampler>,
    /// Base URL at which other routers reach this one.
    url: String,
    claim_members: Mutex<Group>,
    answers: Mutex<Answers>,
    metrics: Metrics,
    admitted: AtomicU64,
    in_flight: AtomicUsize,
    /// Health fails from here on.
    leaving: AtomicBool,
    /// New work is refused from here on.
    stopping: AtomicBool,
    log: Logger,
}

/// Stands in where the settings, which are checked before, name no address.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn new(
        settings: &Settings,
        router: &RouterSettings,
        log: &Logger,
    ) -> Result<Self, RouterError> {
        let metrics = Metrics::new()?;
        let addr = router.listen.unwrap_or_else(any_port);
        let started = Instant::now();
        let counters = SlotCounters {
            sent_bytes: metrics.control_bytes.with_label_values(&["sent", "slots"]),
            asks: metrics.slot_asks.clone(),
            resent: metrics.slot_rounds_resent.clone(),
        };
        let (host, bounds) = (&settings.host, router.bounds());
        let slots = Slots::bind(host, &settings.key, addr, bounds, started, counters);
        let slots = slots.map_err(|source| RouterError::Listen { addr, source })?;
        let http = reqwest::Client::builder()
            .connect_timeout(Duration::from_millis(router.connect_timeout_ms))
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()?;
        Ok(Shared {
            host: settings.host.clone(),
            key: settings.key.clone(),
            platform_url: settings.platform_url.clone(),
            settings: router.clone(),
            started,
            http,
            config: RwLock::default(),
            freshness: Mutex::default(),
            targets: Mutex::new(Targets::new(Duration::from_millis(router.list_max_age_ms))),
            slots,
            budget: Mutex::new(Budget::new(router.retry_percent)),
            queue: Mutex::new(Queue::new(router.queue_len)),
            silent_lines: Mutex::default(),
            url: router
                .advertise
                .or(router.listen)
                .map(|addr| format!("http://{addr}"))
                .unwrap_or_default(),
            claim_members: Mutex::new(Group::new(&router.control, claim::CALL_TIMEOUT)?),
            answers: Mutex::default(),
            metrics,
            admitted: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            log: log.new(o!("role" => "router")),
        })
    }

    /// Monotonic time since the start.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn config(&self) -> Arc<Config> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        config.clone()
    }

    fn set_config(&self, config: Config) {
        self.metrics.config_revision.set(config.revision() as i64);
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(config);
    }

    /// Whether a balancer should send callers here, and why not.
    fn health(&self) -> Result<(), Reason> {
        if self.leaving.load(Ordering::Acquire) {
            return Err(Reason::Stopping);
        }
        if !lock(&self.freshness).holds(self.now()) {
            return Err(Reason::StaleConfig);
        }
        Ok(())
    }

    /// What control is told of this router.
    fn report(&self) -> RouterReport {
        let refused = Reason::ALL.iter().filter_map(|reason| {
            let count = self.metrics.refused.with_label_values(&[reason.code()]).get();
            (count > 0).then(|| (reason.code().to_owned(), count))
        });
        RouterReport {
            admitted: self.admitted.load(Ordering::Relaxed),
            refused: refused.collect::<BTreeMap<_, _>>(),
        }
    }

    /// The metrics, with the gauges brought up to date.
    fn render_metrics(&self) -> Vec<u8> {
        let age = lock(&self.freshness).age(self.now());
        self.metrics.config_age.set(age.map_or(-1.0, |age| age.as_secs_f64()));
        for (name, in_flight) in lock(&self.targets).in_flight() {
            self.metrics.in_flight.with_label_values(&[name]).set(in_flight as i64);
        }
        self.metrics.render()
    }
}

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    server: ServerHandle,
    serving: JoinHandle<()>,
}

impl Router {
    /// Starts to listen, to follow the configuration and to read the platform's list.
    ///
    /// # Errors
    /// [`RouterError`] when the address or a setting can't be used.
    pub async fn start(
        settings: &Settings,
        router: &RouterSettings,
        log: &Logger,
    ) -> Result<Self, RouterError> {
        let shared = Arc::new(Shared::new(settings, router, log)?);
        let addr = router.listen.unwrap_or_else(any_port);
        let listening = http::listen(addr);
        let acceptor = listening.map_err(|source| RouterError::Listen { addr, source })?;
        let local = acceptor.holdings().first().map(|holding| holding.local_addr.to_string());
        feed::start(&shared)?;
        slots_thread::start(&shared).map_err(|source| RouterError::Listen { addr, source })?;
        let server = http::server(&shared, acceptor);
        let handle = server.handle();
        let serving = tokio::spawn(server.serve(http::routes(&shared)));
        info!(shared.log, "router listening"; "event" => "router_started", "addr" => local);
        Ok(Router { shared, server: handle, serving })
    }

    /// Stops as planned: health fails, then new work is refused, then what is in flight ends.
    ///
    /// Returns the number of requests cut off because they outlasted `router.stop_timeout_ms`.
    pub async fn stop(self) -> usize {
        let shared = &self.shared;
        info!(shared.log, "health fails"; "event" => "stop_notice");
        shared.leaving.store(true, Ordering::Release);
        tokio::time::sleep(Duration::from_millis(shared.settings.stop_notice_ms)).await;
        shared.stopping.store(true, Ordering::Release);
        info!(shared.log, "new work is refused"; "event" => "stopping");
        let deadline = shared.now() + Duration::from_millis(shared.settings.stop_timeout_ms);
        while shared.in_flight.load(Ordering::Acquire) > 0 && shared.now() < deadline {
            tokio::time::sleep(STOP_STEP).await;
        }
        let cut = shared.in_flight.load(Ordering::Acquire);
        if cut > 0 {
            warn!(shared.log, "requests cut off"; "event" => "stop_timeout", "in_flight" => cut);
        }
        // Answers that have left the router may still be on their way to slow callers.
        let left = deadline.saturating_sub(shared.now()).max(CLOSE_TIMEOUT);
        self.server.stop_graceful(left);
        if tokio::time::timeout(left + CLOSE_TIMEOUT, self.serving).await.is_err() {
            warn!(shared.log, "connections cut off"; "event" => "close_timeout");
        }
        info!(shared.log, "router stopped"; "event" => "stopped");
        cut
    }
}
