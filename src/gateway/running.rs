//! Starting a gateway, reloading its settings, and stopping it gracefully.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use slog::{Logger, error, info, o, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};

use super::fleet_size::FleetSize;
use super::mechanism::Mechanism;
use super::metrics::GatewayMetrics;
use super::settings::GatewaySettings;
use super::startup::BoundAddress;
use super::{Gateway, Stage, listener, peers, rollout_log, subscriber};
use crate::clock::Instant;
use crate::dialect::SharedDialect;
use crate::poison::{PoisonTracker, RecentSuccesses, Reporter, Rule};
use crate::run_clock::RunClock;
use crate::serving::buffers::ClientBuffers;
use crate::start::{StartError, listen_if_set, listen_on};
use crate::sync::lock;

/// How often a planned stop checks whether it is finished.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the load balancer needs to notice that the gateway is not ready; until then even an idle gateway keeps
/// accepting connections.
const STOP_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Fraction of `stop_within_ms` after which no new requests are accepted.
const STOP_ACCEPT_FRACTION: f64 = 0.35;
/// Fraction of `stop_within_ms` after which requests without an answer are given up, so that the answers to that can
/// still be sent.
const STOP_GIVE_UP_FRACTION: f64 = 0.94;
/// Fraction of `stop_within_ms` after which the stop ends even if requests are still open.
const STOP_END_FRACTION: f64 = 0.95;
/// Time without any request after which a planned stop stops accepting new ones.
const STOP_IDLE_TIME: Duration = Duration::from_millis(300);

/// Listens for peer gateways, unless the settings turn peer-to-peer distribution off. A gateway that can't listen, e.g.
/// because a member on the same host uses the port, gets all its updates from members.
async fn listen_for_peers(settings: &GatewaySettings, log: &Logger) -> Option<TcpListener> {
    let addr = settings.peer_listen().filter(|_| settings.uses(Mechanism::PassOn))?;
    match listen_on(addr).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(log, "can't listen for peer gateways; blobs are not relayed to them"; "event" => "passes_on_nothing",
                "error" => %error);
            None
        }
    }
}

/// Waits until the gateway should accept clients, then listens and serves them.
async fn serve_clients(gateway: Arc<Gateway>, address: BoundAddress) {
    gateway.wait_before_listening().await;
    match address.listen() {
        Ok(clients) => {
            info!(gateway.log, "listening for clients"; "event" => "listening",
                "after_ms" => gateway.now().as_millis() as u64, "version" => gateway.version());
            listener::serve_clients(gateway, clients).await;
        }
        Err(error) => {
            error!(gateway.log, "can't listen for clients"; "event" => "not_listening",
                "error" => %error);
        }
    }
}

/// A running gateway.
pub struct RunningGateway(Arc<Gateway>);

impl RunningGateway {
    /// Starts the gateway's listeners and follows the members.
    ///
    /// # Errors
    /// [`StartError`] if an address can't be used.
    pub async fn start(
        settings: GatewaySettings,
        dialect: SharedDialect,
        log: &Logger,
    ) -> Result<Self, StartError> {
        let listen = settings.listen.ok_or(StartError::Missing { field: "listen" })?;
        let log = log.new(o!("role" => "gateway"));
        let clients = BoundAddress::bind(listen)?;
        let ready = listen_if_set(settings.ready_listen).await?;
        let scrapes = listen_if_set(settings.metrics_listen).await?;
        let peers = listen_for_peers(&settings, &log).await;
        let blob_addr = peers.as_ref().and_then(|listener| listener.local_addr().ok());
        info!(log, "gateway started"; "event" => "gateway_started",
            "version" => env!("CARGO_PKG_VERSION"), "listen" => %listen,
            "on_stale" => ?settings.on_stale, "load_bound" => settings.load_bound,
            "retry_ratio" => settings.retry_ratio, "retry_slack" => settings.retry_slack,
            "without" => ?settings.without);
        let window = Duration::from_secs_f64(settings.retry_window_s);
        let reporter = Reporter::of(&settings.host);
        let (rollout_log, applied_rollouts) = mpsc::unbounded_channel();
        let metrics = GatewayMetrics::new()?;
        let gateway = Arc::new(Gateway {
            seeds: Mutex::new(settings.member_peers()),
            holdings: ClientBuffers::new(
                "clients",
                settings.client_bounds(),
                metrics.clients_closed(),
                &log,
            ),
            settings,
            dialect,
            table: watch::Sender::new(None),
            targets: RwLock::default(),
            member_contact: watch::Sender::new(false),
            prefix_holders: Mutex::default(),
            gateways: AtomicU32::new(0),
            fleet_size: Mutex::new(FleetSize::new(window)),
            fresh_at: Mutex::default(),
            blob_cache: Mutex::default(),
            blob_addr,
            peer_selection: Mutex::default(),
            peer_connections: Arc::default(),
            budgets: Mutex::default(),
            reach: Mutex::default(),
            tallies: Mutex::default(),
            stage: watch::Sender::new(Stage::Serving),
            open_requests: AtomicU32::new(0),
            client_connections: AtomicUsize::new(0),
            last_request: Mutex::new(Instant::now()),
            poison: Mutex::new(PoisonTracker::new(Rule::default(), Some(reporter))),
            successes: Mutex::new(RecentSuccesses::new(Rule::default().part_trust)),
            restarts: Mutex::default(),
            restart_suspected: Notify::new(),
            poison_changed: Notify::new(),
            streams: Mutex::default(),
            streams_asked_for: Mutex::default(),
            stream_asked_for: Notify::new(),
            stream_told: Notify::new(),
            stream_begun: Notify::new(),
            streams_told: watch::Sender::new(None),
            attempt_sampler: Mutex::default(),
            answer_sampler: Mutex::default(),
            probe_sampler: Mutex::default(),
            suspicion_sampler: Mutex::default(),
            told_sampler: Mutex::default(),
            backoff_sampler: Mutex::default(),
            offer_sampler: Mutex::default(),
            rejection_sampler: Mutex::default(),
            dispatchers: Mutex::default(),
            asks: Mutex::default(),
            brittle_services: Mutex::default(),
            unknown_headers: Mutex::default(),
            started: Instant::now(),
            run_clock: RunClock::start(&log),
            rollout_log,
            metrics,
            log,
        });
        tokio::spawn(rollout_log::run(gateway.clone(), applied_rollouts));
        tokio::spawn(subscriber::run(gateway.clone()));
        tokio::spawn(serve_clients(gateway.clone(), clients));
        if let Some(peers) = peers {
            tokio::spawn(peers::serve(gateway.clone(), peers));
        }
        if let Some(ready) = ready {
            tokio::spawn(listener::serve_ready(gateway.clone(), ready));
        }
        if let Some(scrapes) = scrapes {
            tokio::spawn(listener::serve_metrics(gateway.clone(), scrapes));
        }
        Ok(RunningGateway(gateway))
    }

    /// Applies changed settings. Only the list of members takes effect without a restart.
    pub fn reload(&self, settings: &GatewaySettings) {
        let members = settings.members.clone();
        let others = GatewaySettings { members, ..self.0.settings.clone() } != *settings;
        *lock(&self.0.seeds) = settings.member_peers();
        info!(self.0.log, "settings reloaded"; "event" => "settings_in_force",
            "members" => ?settings.members, "restart_needed" => others);
    }

    /// Stops the gateway gracefully. It fails readiness checks at once, but serves until no new requests come and all
    /// open ones are finished, or until `stop_within_ms` has nearly passed.
    pub async fn stop(self) {
        let gateway = self.0;
        gateway.reach_stage(Stage::Leaving);
        let began = Instant::now();
        let timeout = Duration::from_millis(gateway.settings.stop_within_ms);
        loop {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            let open = gateway.open_requests.load(Ordering::Relaxed);
            let elapsed = began.elapsed();
            if elapsed >= timeout.mul_f64(STOP_ACCEPT_FRACTION) {
                gateway.reach_stage(Stage::Closed);
            }
            if elapsed >= timeout.mul_f64(STOP_GIVE_UP_FRACTION) {
                gateway.reach_stage(Stage::Ending);
            }
            let idle = open == 0 && lock(&gateway.last_request).elapsed() >= STOP_IDLE_TIME;
            let over = elapsed >= timeout.mul_f64(STOP_END_FRACTION);
            if idle && elapsed >= STOP_NOTICE_TIME.min(timeout) {
                gateway.reach_stage(Stage::Closed);
            }
            // An answer that the gateway has finished may still be in the buffers of a slow client's connection, which
            // closes once all is sent.
            let connections = gateway.client_connections.load(Ordering::Relaxed);
            let closed = gateway.stage() >= Stage::Closed && open == 0 && connections == 0;
            if over || closed {
                info!(gateway.log, "gateway stopped"; "event" => "stopped", "open" => open,
                    "connections" => connections,
                    "took_ms" => began.elapsed().as_millis() as u64);
                return;
            }
        }
    }
}
