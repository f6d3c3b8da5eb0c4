//! A router: admits clients' requests and forwards each to a target.

mod admission;
mod answer_cache;
mod claim;
mod feed;
mod forward;
mod http;
pub mod metrics;
mod refusal;
mod relay;
mod slot;
mod slots;
mod slots_thread;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use slog::{Logger, info, o, warn};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use crate::clock::Instant;
use crate::freshness::Freshness;
use crate::queue::Queue;
use crate::reason::Reason;
use crate::retry::Budget;
use crate::rpc::{ControlError, MemberClients, Report};
use crate::sampler::Sampler;
use crate::serving::buffers::ClientBuffers;
use crate::settings::{RouterSettings, Settings};
use crate::store::Config;
use crate::targets::Targets;

use self::answer_cache::AnswerCache;
use self::metrics::Metrics;
use self::slots::{SlotCounters, Slots};

/// Interval at which a planned stop checks whether requests are still in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time allowed for connections to close after the last request has ended, and the extra time after which
/// connections that are still open are cut off.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// `router.listen` can't be served: binding its TCP or UDP socket or starting the thread for slots failed.
    #[error("router.listen: can't serve on {addr}: {source}")]
    Listen {
        /// Value of `router.listen`.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP client can't be built.
    #[error("can't build the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The metrics can't be registered.
    #[error("can't register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// No RPC client can be built for an address in `router.control`.
    #[error("router.control: {0}")]
    Control(#[from] ControlError),
}

/// State shared by all tasks and request handlers of a router.
pub(crate) struct Shared {
    host: String,
    /// Secret shared by all hosts of the partner that this router belongs to.
    key: String,
    platform_url: String,
    settings: RouterSettings,
    started: Instant,
    http: reqwest::Client,
    config: RwLock<Arc<Config>>,
    freshness: Mutex<Freshness>,
    targets: Mutex<Targets>,
    slots: Slots,
    /// Retry budget.
    budget: Mutex<Budget>,
    /// Requests that wait while every target is at its load bound.
    queue: Mutex<Queue<oneshot::Sender<()>>>,
    /// Limits log lines about slot owners that do not answer.
    unresponsive_owner_log: Mutex<Sampler>,
    /// Base URL at which other routers reach this one.
    url: String,
    /// Control members that take claims; the next claim starts with the one that answered last.
    claim_members: Mutex<MemberClients>,
    answer_cache: Mutex<AnswerCache>,
    /// Connections of clients.
    client_buffers: Arc<ClientBuffers>,
    metrics: Metrics,
    admitted: AtomicU64,
    in_flight: AtomicUsize,
    /// Set at the start of a planned stop: `/healthz` fails, requests are still admitted.
    health_failing: AtomicBool,
    /// Set after `router.stop_notice_ms` of a planned stop: new requests are refused.
    stopping: AtomicBool,
    log: Logger,
}

/// Address used when `router.listen` is not set, which the check of the settings rules out.
fn placeholder_addr() -> SocketAddr {
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
        let addr = router.listen.unwrap_or_else(placeholder_addr);
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
            unresponsive_owner_log: Mutex::default(),
            url: router
                .advertise
                .or(router.listen)
                .map(|addr| format!("http://{addr}"))
                .unwrap_or_default(),
            claim_members: Mutex::new(MemberClients::new(
                &router.control,
                claim::CONTROL_CALL_TIMEOUT,
            )?),
            answer_cache: Mutex::default(),
            client_buffers: ClientBuffers::new(
                "clients",
                router.connection_bounds(),
                metrics.connections_closed.clone(),
                log,
            ),
            metrics,
            admitted: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            health_failing: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            log: log.new(o!("role" => "router")),
        })
    }

    /// Monotonic time since the router started.
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

    /// Health check for load balancers: fails during a planned stop and while the configuration is not proven fresh.
    fn health(&self) -> Result<(), Reason> {
        if self.health_failing.load(Ordering::Acquire) {
            return Err(Reason::Stopping);
        }
        if !lock(&self.freshness).is_valid(self.now()) {
            return Err(Reason::StaleConfig);
        }
        Ok(())
    }

    /// Counters that this router reports to the control group.
    fn report(&self) -> Report {
        let refused = Reason::ALL.iter().filter_map(|reason| {
            let count = self.metrics.refused.with_label_values(&[reason.code()]).get();
            (count > 0).then(|| (reason.code().to_owned(), count))
        });
        Report {
            admitted: self.admitted.load(Ordering::Relaxed),
            refused: refused.collect::<BTreeMap<_, _>>(),
        }
    }

    /// Updates the gauges and renders all metrics.
    fn render_metrics(&self) -> Vec<u8> {
        let age = lock(&self.freshness).age(self.now());
        self.metrics.config_age.set(age.map_or(-1.0, |age| age.as_secs_f64()));
        for (name, in_flight) in lock(&self.targets).in_flight() {
            self.metrics.in_flight.with_label_values(&[name]).set(in_flight as i64);
        }
        self.metrics.held_bytes.set(self.client_buffers.held() as i64);
        self.metrics.connections.set(self.client_buffers.connections() as i64);
        self.metrics.render()
    }
}

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    /// Ends the serving of connections.
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

impl Router {
    /// Starts to listen, to synchronise the configuration, to poll the platform's list of targets and to exchange
    /// slots with other routers.
    ///
    /// # Errors
    /// [`RouterError`] when the address can't be served or a client or metric can't be set up.
    pub async fn start(
        settings: &Settings,
        router: &RouterSettings,
        log: &Logger,
    ) -> Result<Self, RouterError> {
        let shared = Arc::new(Shared::new(settings, router, log)?);
        let addr = router.listen.unwrap_or_else(placeholder_addr);
        let listening = http::listen(addr);
        let listener = listening.map_err(|source| RouterError::Listen { addr, source })?;
        let local = listener.local_addr().map(|local| local.to_string()).ok();
        feed::start(&shared)?;
        slots_thread::start(&shared).map_err(|source| RouterError::Listen { addr, source })?;
        let (stop, stopped) = watch::channel(false);
        let routes = http::routes(&shared);
        let serving = tokio::spawn(http::serve(shared.clone(), listener, routes, stopped));
        info!(shared.log, "router listening"; "event" => "router_started", "addr" => local);
        Ok(Router { shared, stop, serving })
    }

    /// Planned stop: fails the health check, after `router.stop_notice_ms` refuses new requests, then waits for the
    /// requests in flight to end.
    ///
    /// Returns the number of requests that were still in flight after `router.stop_timeout_ms` and were cut off.
    pub async fn stop(self) -> usize {
        let shared = &self.shared;
        info!(shared.log, "planned stop: health check fails"; "event" => "stop_notice");
        shared.health_failing.store(true, Ordering::Release);
        tokio::time::sleep(Duration::from_millis(shared.settings.stop_notice_ms)).await;
        shared.stopping.store(true, Ordering::Release);
        info!(shared.log, "planned stop: new requests are refused"; "event" => "stopping");
        let deadline = shared.now() + Duration::from_millis(shared.settings.stop_timeout_ms);
        while shared.in_flight.load(Ordering::Acquire) > 0 && shared.now() < deadline {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        let cut = shared.in_flight.load(Ordering::Acquire);
        if cut > 0 {
            warn!(shared.log, "requests still in flight after router.stop_timeout_ms are cut off";
                "event" => "stop_timeout", "in_flight" => cut);
        }
        // A request counts as ended once the server has its whole answer; slow clients may still be receiving it.
        let remaining = deadline.saturating_sub(shared.now()).max(CLOSE_TIMEOUT);
        let _ = self.stop.send(true);
        let mut serving = self.serving;
        if tokio::time::timeout(remaining, &mut serving).await.is_err() {
            serving.abort();
            warn!(shared.log, "connections did not close in time and are cut off"; "event" => "close_timeout");
        }
        info!(shared.log, "router stopped"; "event" => "stopped");
        cut
    }
}
