//! A gateway: takes requests by host and path, and gives each to a target of its route's service.
//!
//! A gateway decides on what the members of a control group tell it (the configuration and the
//! directory of targets) and on what it has itself seen of the targets.

mod answer;
mod attempt;
pub mod balance;
pub mod budget;
mod connection;
pub mod events;
mod exchange;
mod feed;
pub mod health;
mod listener;
mod metrics;
pub mod patience;
pub mod reason;
mod relay;
pub mod settings;
mod target;
mod trace;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use http::HeaderMap;
use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use self::balance::{Affinity, Candidate, Wish, choose};
use self::budget::{BudgetRule, ServiceBudget};
use self::exchange::Plan;
use self::health::AttemptOutcome;
use self::metrics::GatewayMetrics;
use self::settings::{GatewaySettings, OnStale};
use self::target::{Target, Targets};
use crate::configuration::Route;
use crate::dialect::{Headers, SharedDialect};
use crate::group::message::{TargetLoad, loads_count_for};
use crate::route_table::RouteTable;
use crate::sampler::Sampler;
use crate::store::Revision;
use crate::sync::{lock, read};

/// Connections to one target where its service states no bound, for all gateways together.
const DEFAULT_CONNECTIONS: u32 = 512;
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

/// A gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A setting that the checks demand is missing.
    #[error("{field}: missing")]
    Missing {
        /// The setting.
        field: &'static str,
    },
    /// An address can't be listened on.
    #[error("listen {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The metrics library refused a name.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A running gateway.
pub struct RunningGateway(Arc<Gateway>);

/// What the tasks of a gateway share.
pub(crate) struct Gateway {
    settings: GatewaySettings,
    dialect: SharedDialect,
    /// Where the members of the settings are reached.
    seeds: Mutex<Vec<SocketAddr>>,
    table: RwLock<Option<Arc<RouteTable>>>,
    targets: RwLock<Targets>,
    /// Gateways alive, as the members tell; 0 while not told.
    gateways: AtomicU32,
    /// When a member that hears a leader was last heard.
    fresh_at: Mutex<Option<Instant>>,
    budgets: Mutex<HashMap<String, ServiceBudget>>,
    stage: watch::Sender<Stage>,
    open: AtomicU32,
    last_request: Mutex<Instant>,
    attempt_lines: Mutex<Sampler>,
    answer_lines: Mutex<Sampler>,
    started: Instant,
    metrics: GatewayMetrics,
    log: Logger,
}

/// A target chosen for an attempt, and what the choice was made of.
struct Choice {
    target: Arc<Target>,
    /// Requests that it is thought to have.
    load: f64,
    candidates: usize,
    /// Candidates that are left alone if another will do.
    doubtful: usize,
    /// Revision of the directory.
    list_revision: Revision,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// There is none.
    Serving,
    /// Not ready, but serving all that comes; every answer closes its connection.
    Leaving,
    /// No new connections, and new requests are refused as not run; what is open ends.
    Closed,
}

/// Counts a request of a client until dropped.
pub(crate) struct OpenRequest(Arc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        *lock(&self.0.last_request) = Instant::now();
    }
}

async fn listen_on(addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(addr).await.map_err(|source| GatewayError::Listen { addr, source })
}

impl RunningGateway {
    /// Starts to listen, and to follow the members.
    ///
    /// # Errors
    /// [`GatewayError`] when an address can't be used.
    pub async fn start(
        settings: GatewaySettings,
        dialect: SharedDialect,
        log: &Logger,
    ) -> Result<Self, GatewayError> {
        let listen = settings.listen.ok_or(GatewayError::Missing { field: "listen" })?;
        let log = log.new(o!("role" => "gateway"));
        let clients = listen_on(listen).await?;
        let ready = match settings.ready_listen {
            Some(addr) => Some(listen_on(addr).await?),
            None => None,
        };
        let scrapes = match settings.metrics_listen {
            Some(addr) => Some(listen_on(addr).await?),
            None => None,
        };
        info!(log, "gateway started"; "event" => "gateway_started",
            "version" => env!("CARGO_PKG_VERSION"), "listen" => %listen,
            "on_stale" => ?settings.on_stale, "load_bound" => settings.load_bound,
            "retry_ratio" => settings.retry_ratio, "retry_slack" => settings.retry_slack);
        let gateway = Arc::new(Gateway {
            seeds: Mutex::new(settings.member_peers()),
            settings,
            dialect,
            table: RwLock::default(),
            targets: RwLock::default(),
            gateways: AtomicU32::new(0),
            fresh_at: Mutex::default(),
            budgets: Mutex::default(),
            stage: watch::Sender::new(Stage::Serving),
            open: AtomicU32::new(0),
            last_request: Mutex::new(Instant::now()),
            attempt_lines: Mutex::default(),
            answer_lines: Mutex::default(),
            started: Instant::now(),
            metrics: GatewayMetrics::new()?,
            log,
        });
        tokio::spawn(feed::follow(gateway.clone()));
        tokio::spawn(listener::serve_clients(gateway.clone(), clients));
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
            let open = gateway.open.load(Ordering::Relaxed);
            let elapsed = began.elapsed();
            if elapsed >= longest.mul_f64(STOP_TAKES_PART) {
                gateway.stage.send_replace(Stage::Closed);
            }
            let quiet = open == 0 && lock(&gateway.last_request).elapsed() >= STOP_QUIET;
            let over = elapsed >= longest.mul_f64(STOP_ENDS_PART);
            if over || (quiet && elapsed >= STOP_NOTICE.min(longest)) {
                info!(gateway.log, "stopped"; "event" => "stopped", "open" => open,
                    "took_ms" => began.elapsed().as_millis() as u64);
                return;
            }
        }
    }
}

impl Gateway {
    /// Monotonic time since the start.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn names(&self) -> &Headers {
        self.dialect.headers()
    }

    fn table(&self) -> Option<Arc<RouteTable>> {
        read(&self.table).clone()
    }

    /// Version of the configuration in force here; 0 for none.
    fn version(&self) -> u64 {
        self.table().map_or(0, |table| table.version())
    }

    fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Whether new clients are welcome.
    fn ready(&self) -> bool {
        self.stage() == Stage::Serving && self.table().is_some() && !self.refuses_as_stale()
    }

    /// Whether the settings demand that requests are refused for want of news.
    fn refuses_as_stale(&self) -> bool {
        let longest = Duration::from_millis(self.settings.stale_after_ms);
        let stale = lock(&self.fresh_at).is_none_or(|at| at.elapsed() >= longest);
        self.settings.on_stale == OnStale::Refuse && stale
    }

    fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenRequest(self.clone())
    }

    fn gateways(&self) -> u32 {
        self.gateways.load(Ordering::Relaxed)
    }

    /// Counts a request for a service.
    fn count_request(&self, service: &str) {
        let now = self.now();
        self.metrics.requested(service);
        self.with_budget(service, |budget| budget.request(now));
    }

    fn with_budget<T>(&self, service: &str, with: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(service) {
            let rule = BudgetRule {
                ratio: self.settings.retry_ratio,
                window: Duration::from_secs_f64(self.settings.retry_window_s),
                slack: self.settings.retry_slack,
            };
            budgets.insert(service.to_owned(), ServiceBudget::new(rule));
        }
        with(budgets.get_mut(service).expect("just put in"))
    }

    /// Whether the request could be sent to one more target after the attempt under way.
    fn could_send_after(&self, plan: &Plan) -> bool {
        let (now, gateways) = (self.now(), self.gateways());
        plan.sends + 1 < plan.route.max_attempts
            && self.with_budget(&plan.service, |budget| budget.left(now, gateways) >= 1.0)
            && self.choose(plan).is_some_and(|choice| choice.doubtful < choice.candidates)
    }

    /// Whether the request could be sent to one more target.
    fn could_send_again(&self, plan: &Plan) -> bool {
        let (now, gateways) = (self.now(), self.gateways());
        plan.sends < plan.route.max_attempts
            && Instant::now() < plan.outgoing.deadline
            && self.with_budget(&plan.service, |budget| budget.left(now, gateways) >= 1.0)
            && self.choose(plan).is_some()
    }

    /// Takes one further arrival out of the budget, if the request may have it.
    fn may_send_again(&self, plan: &Plan) -> bool {
        let (now, gateways) = (self.now(), self.gateways());
        plan.sends < plan.route.max_attempts
            && self.with_budget(&plan.service, |budget| budget.spend(now, gateways))
    }

    /// Most connections of this gateway to a target of the service.
    fn connections_to(&self, service: &str) -> u32 {
        let table = self.table();
        let stated = table.and_then(|table| table.service(service)?.max_connections);
        (stated.unwrap_or(DEFAULT_CONNECTIONS) / self.gateways().max(1)).max(1)
    }

    /// What a request shares with others that came before: the last part of its prompt but one,
    /// since the last is its own.
    fn affinity(&self, route: &Route, headers: &HeaderMap) -> Option<Affinity> {
        if !route.sticky {
            return None;
        }
        let value = headers.get(&self.names().prompt)?.to_str().ok()?;
        let parts = self.dialect.prompt(value);
        let shared = &parts[..parts.len().saturating_sub(1).max(1).min(parts.len())];
        let hash = xxh3_64(shared.last()?.id.as_bytes());
        Some(Affinity { hash, tokens: shared.iter().map(|part| part.tokens).sum() })
    }

    /// Chooses a target that the request has not tried.
    fn choose(&self, plan: &Plan) -> Option<Choice> {
        let now = self.now();
        let known = read(&self.targets);
        let usable =
            |target: &&Arc<Target>| !target.draining() && !plan.tried.contains(&target.key);
        let targets: Vec<&Arc<Target>> = known.of(&plan.service).iter().filter(usable).collect();
        let usual = usual_others(&targets, now);
        let gateways = self.gateways();
        let candidate = |target: &&Arc<Target>| Candidate {
            home: target.home(),
            load: target.load(now, usual, gateways),
            slots: target.announcement.slots,
            near: target.announcement.zone == self.settings.data_hall,
            doubtful: self.doubtful(now, target),
        };
        let candidates: Vec<Candidate> = targets.iter().map(candidate).collect();
        let alive = known.of(&plan.service).iter().filter(|target| !target.silent());
        let wish = Wish {
            affinity: plan.affinity,
            load_bound: self.settings.load_bound,
            targets: alive.count(),
        };
        let at = choose(&candidates, wish, &mut rand::rng())?;
        Some(Choice {
            target: targets[at].clone(),
            load: candidates[at].load,
            candidates: candidates.len(),
            doubtful: candidates.iter().filter(|candidate| candidate.doubtful).count(),
            list_revision: known.revision(),
        })
    }

    /// What this gateway has in flight, noted as told to a member.
    fn tell_loads(&self) -> Vec<TargetLoad> {
        let targets = read(&self.targets);
        let told = targets
            .all()
            .map(|target| TargetLoad { target: target.key, requests: target.tell_in_flight() });
        told.filter(|load| load.requests > 0).collect()
    }

    /// Takes what all gateways have in flight, this one as it last told.
    fn take_loads(&self, loads: &[TargetLoad]) {
        let now = self.now();
        let loads: HashMap<u64, u32> =
            loads.iter().map(|load| (load.target, load.requests)).collect();
        let counts_for = loads_count_for(self.gateways());
        let targets = read(&self.targets);
        for target in targets.all() {
            target.note_total(now, loads.get(&target.key).copied().unwrap_or(0), counts_for);
        }
    }

    /// Targets of a service that are known, whatever their state.
    fn targets_of(&self, service: &str) -> usize {
        read(&self.targets).of(service).len()
    }

    /// Further arrivals at a service that the budget has left.
    fn budget_left(&self, service: &str) -> i64 {
        let (now, gateways) = (self.now(), self.gateways());
        self.with_budget(service, |budget| budget.left(now, gateways)).floor() as i64
    }

    /// Time since a member that hears a leader was last heard, in milliseconds; -1 before.
    fn news_age_ms(&self) -> i64 {
        lock(&self.fresh_at).map_or(-1, |at| at.elapsed().as_millis() as i64)
    }

    /// Whether a target should be left alone if another will do.
    fn doubtful(&self, now: Duration, target: &Target) -> bool {
        let health = target.health();
        let answered_lately =
            health.last_answer().is_some_and(|at| now < at + Duration::from_secs(3));
        let on_trial_and_busy = health.on_trial(now) && target.in_flight() > 0;
        health.paused(now) || on_trial_and_busy || (target.silent() && !answered_lately)
    }

    fn note_answer(&self, target: &Target, headers: &HeaderMap) {
        let value = headers.get(&self.names().load).and_then(|value| value.to_str().ok());
        if let Some(load) = value.and_then(|value| self.dialect.load(value)) {
            target.note_load(self.now(), load);
        }
    }

    fn note_outcome(&self, target: &Target, outcome: AttemptOutcome) {
        let mut health = target.health();
        if health.note(self.now(), outcome) {
            info!(self.log, "target left alone"; "event" => "target_paused",
                "target" => &target.announcement.id, "service" => &target.announcement.service,
                "outcome" => ?outcome, "failure_rate" => health.failure_rate());
        }
    }
}

/// Mean load that other gateways bring to the targets that told of it lately.
fn usual_others(targets: &[&Arc<Target>], now: Duration) -> f64 {
    let told: Vec<f64> = targets.iter().filter_map(|target| target.others(now)).collect();
    told.iter().sum::<f64>() / told.len().max(1) as f64
}
