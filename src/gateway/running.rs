//! Starts a gateway, and stops it as planned.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use slog::{Logger, error, info, o, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use super::fleet_size::FleetSize;
use super::held::Holdings;
use super::mechanism::Mechanism;
use super::metrics::GatewayMetrics;
use super::opening::Reserved;
use super::settings::GatewaySettings;
use super::{Gateway, Stage, feed, listener, neighbours};
use crate::clock::Instant;
use crate::dialect::SharedDialect;
use crate::poison::{Board, Reporter, Rule};
use crate::run_clock::RunClock;
use crate::start::{StartError, listen_if_set, listen_on};
use crate::sync::lock;

/// How often a planned stop looks whether it may end.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// Shortest time from the notice of a planned stop to its end: the balancer must have noticed.
const STOP_NOTICE: Duration = Duration::from_millis(2_500);
/// Part of a planned stop's longest time in which new work is taken.
const STOP_TAKES_PART: f64 = 0.35;
/// Part of a planned stop's longest time after which it ends whatever is left.
const STOP_ENDS_PART: f64 = 0.95;
/// Time without a request after which a planned stop ends.
const STOP_QUIET: Duration = Duration::from_millis(300);

/// Listens for other gateways, unless that is left out. One that can't, for example because a member on
/// the same host has the port, gets all its news from members.
async fn listen_for_neighbours(settings: &GatewaySettings, log: &Logger) -> Option<TcpListener> {
    let addr = settings.neighbour_listen().filter(|_| settings.uses(Mechanism::PassOn))?;
    match listen_on(addr).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(log, "news are not passed on"; "event" => "passes_on_nothing",
                "error" => %error);
            None
        }
    }
}

/// Takes connections of clients for ever, once that is of use to them.
async fn open_to_clients(gateway: Arc<Gateway>, reserved: Reserved) {
    gateway.may_listen().await;
    match reserved.listen() {
        Ok(clients) => {
            info!(gateway.log, "clients are taken"; "event" => "listening",
                "after_ms" => gateway.now().as_millis() as u64, "version" => gateway.version());
            listener::serve_clients(gateway, clients).await;
        }
        Err(error) => {
            error!(gateway.log, "clients can't be taken"; "event" => "not_listening",
                "error" => %error);
        }
    }
}

/// A running gateway.
pub struct RunningGateway(Arc<Gateway>);

impl RunningGateway {
    /// Starts to listen, and to follow the members.
    ///
    /// # Errors
    /// [`StartError`] when an address can't be used.
    pub async fn start(
        settings: GatewaySettings,
        dialect: SharedDialect,
        log: &Logger,
    ) -> Result<Self, StartError> {
        let listen = settings.listen.ok_or(StartError::Missing { field: "listen" })?;
        let log = log.new(o!("role" => "gateway"));
        let clients = Reserved::take(listen)?;
        let ready = listen_if_set(settings.ready_listen).await?;
        let scrapes = listen_if_set(settings.metrics_listen).await?;
        let neighbours = listen_for_neighbours(&settings, &log).await;
        let blob_addr = neighbours.as_ref().and_then(|listener| listener.local_addr().ok());
        info!(log, "gateway started"; "event" => "gateway_started",
            "version" => env!("CARGO_PKG_VERSION"), "listen" => %listen,
            "on_stale" => ?settings.on_stale, "load_bound" => settings.load_bound,
            "retry_ratio" => settings.retry_ratio, "retry_slack" => settings.retry_slack,
            "without" => ?settings.without);
        let window = Duration::from_secs_f64(settings.retry_window_s);
        let reporter = Reporter::of(&settings.host);
        let gateway = Arc::new(Gateway {
            seeds: Mutex::new(settings.member_peers()),
            holdings: Holdings::new(settings.held_bytes()),
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
            budgets: Mutex::default(),
            tallies: Mutex::default(),
            stage: watch::Sender::new(Stage::Serving),
            open_requests: AtomicU32::new(0),
            client_connections: AtomicUsize::new(0),
            last_request: Mutex::new(Instant::now()),
            poison: Mutex::new(Board::new(Rule::default(), Some(reporter))),
            poison_changed: Notify::new(),
            attempt_sampler: Mutex::default(),
            answer_sampler: Mutex::default(),
            probe_sampler: Mutex::default(),
            backoff_sampler: Mutex::default(),
            unknown_headers: Mutex::default(),
            started: Instant::now(),
            run_clock: RunClock::start(&log),
            metrics: GatewayMetrics::new()?,
            log,
        });
        tokio::spawn(feed::follow(gateway.clone()));
        tokio::spawn(open_to_clients(gateway.clone(), clients));
        if let Some(neighbours) = neighbours {
            tokio::spawn(neighbours::serve(gateway.clone(), neighbours));
        }
        if let Some(ready) = ready {
            tokio::spawn(listener::serve_ready(gateway.clone(), ready));
        }
        if let Some(scrapes) = scrapes {
            tokio::spawn(listener::serve_metrics(gateway.clone(), scrapes));
        }
        Ok(RunningGateway(gateway))
    }

    /// Takes changed settings; only the members take effect before a restart.
    pub fn reload(&self, settings: &GatewaySettings) {
        let members = settings.members.clone();
        let others = GatewaySettings { members, ..self.0.settings.clone() } != *settings;
        *lock(&self.0.seeds) = settings.member_peers();
        info!(self.0.log, "settings in force"; "event" => "settings_in_force",
            "members" => ?settings.members, "restart_needed" => others);
    }

    /// Stops as planned: not ready at once, serving on until nothing comes and nothing is left.
    pub async fn stop(self) {
        let gateway = self.0;
        gateway.stage.send_replace(Stage::Leaving);
        let began = Instant::now();
        let longest = Duration::from_millis(gateway.settings.stop_within_ms);
        loop {
            tokio::time::sleep(STOP_LOOK).await;
            let open = gateway.open_requests.load(Ordering::Relaxed);
            let elapsed = began.elapsed();
            if elapsed >= longest.mul_f64(STOP_TAKES_PART) {
                gateway.stage.send_replace(Stage::Closed);
            }
            let quiet = open == 0 && lock(&gateway.last_request).elapsed() >= STOP_QUIET;
            let over = elapsed >= longest.mul_f64(STOP_ENDS_PART);
            if quiet && elapsed >= STOP_NOTICE.min(longest) {
                gateway.stage.send_replace(Stage::Closed);
            }
            // An answer that has left the gateway may still be on its way to a slow client: its connection closes
            // once all is sent.
            let connections = gateway.client_connections.load(Ordering::Relaxed);
            let closed = gateway.stage() == Stage::Closed && open == 0 && connections == 0;
            if over || closed {
                info!(gateway.log, "stopped"; "event" => "stopped", "open" => open,
                    "connections" => connections,
                    "took_ms" => began.elapsed().as_millis() as u64);
                return;
            }
        }
    }
}
