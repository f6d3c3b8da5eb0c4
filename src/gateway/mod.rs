//! A gateway: takes requests by host and path, and gives each to a target of its route's service.
//!
//! A gateway decides on what the members of a control group tell it (the configuration and the
//! directory of targets) and on what it has itself seen of the targets.

mod answer;
mod attempt;
pub mod balance;
mod bootstrap;
pub mod budget;
mod choice;
pub mod cold;
mod connection;
mod disconnect;
pub mod events;
pub mod evidence;
mod exchange;
mod failback;
mod feed;
pub mod first_news;
pub mod fleet_size;
pub mod health;
mod held;
pub mod keepers;
pub mod lateness;
pub mod ledger;
mod listener;
pub mod mechanism;
mod metrics;
mod neighbours;
mod news;
mod opening;
pub mod order;
mod outflow;
pub mod outgoing;
pub mod patience;
mod poison;
mod probe;
pub mod refusal;
mod relay;
pub mod remembered;
mod retries;
pub mod reuse;
mod running;
pub mod settings;
pub mod shelf;
mod source;
pub mod strain;
mod target;
mod targets;
mod trace;
pub mod unknown_headers;
pub mod versions;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use slog::{Logger, info};
use tokio::sync::{Notify, watch};

use self::budget::ServiceBudget;
use self::cold::ColdRule;
use self::connection::ConnectionLimits;
use self::evidence::spread;
use self::fleet_size::FleetSize;
use self::health::{AttemptOutcome, Tally};
use self::held::Holdings;
use self::keepers::Keepers;
use self::mechanism::Mechanism;
use self::metrics::GatewayMetrics;
pub use self::running::RunningGateway;
use self::settings::{GatewaySettings, OnStale};
use self::shelf::Shelf;
use self::target::Target;
use self::targets::Targets;
use self::unknown_headers::UnknownHeaders;

use crate::clock::Instant;
use crate::dialect::{Headers, SharedDialect};
use crate::poison::Board;
use crate::rollout::tally::Tallies;
use crate::route_table::RouteTable;
use crate::run_clock::RunClock;
use crate::sampler::Sampler;
use crate::sync::{lock, read};

/// Connections to one target where its service states no bound, for all gateways together.
const DEFAULT_CONNECTIONS: u32 = 512;

/// What the tasks of a gateway share.
pub(crate) struct Gateway {
    settings: GatewaySettings,
    dialect: SharedDialect,
    /// Where the members of the settings are reached.
    seeds: Mutex<Vec<SocketAddr>>,
    /// The configuration in force; `None` before the first.
    table: watch::Sender<Option<Arc<RouteTable>>>,
    targets: RwLock<Targets>,
    /// Whether a member has told anything since the start.
    member_contact: watch::Sender<bool>,
    /// Which targets keep which prompts.
    prefix_holders: Mutex<Keepers>,
    /// Gateways alive, as the members tell; 0 while not told.
    gateways: AtomicU32,
    /// Gateways that share the budgets.
    fleet_size: Mutex<FleetSize>,
    /// When a member that hears a leader was last heard.
    fresh_at: Mutex<Option<Instant>>,
    /// Large parcels of news, for other gateways.
    blob_cache: Mutex<Shelf>,
    /// Where other gateways fetch them, if they can.
    blob_addr: Option<SocketAddr>,
    budgets: Mutex<HashMap<String, ServiceBudget>>,
    /// What was seen of roll-outs under way, not told to a member yet.
    tallies: Mutex<Tallies>,
    /// What is held for clients.
    holdings: Arc<Holdings>,
    stage: watch::Sender<Stage>,
    open_requests: AtomicU32,
    /// Connections of clients.
    client_connections: AtomicUsize,
    last_request: Mutex<Instant>,
    /// Requests under which targets ended.
    poison: Mutex<Board>,
    /// Wakes who tells members of them.
    poison_changed: Notify,
    attempt_sampler: Mutex<Sampler>,
    answer_sampler: Mutex<Sampler>,
    probe_sampler: Mutex<Sampler>,
    backoff_sampler: Mutex<Sampler>,
    unknown_headers: Mutex<UnknownHeaders>,
    started: Instant,
    /// Time in which this process ran, by which others' silence counts.
    run_clock: Arc<RunClock>,
    metrics: GatewayMetrics,
    log: Logger,
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

/// How one gateway keeps its part of what cold targets of a service may get.
#[derive(Clone, Copy, Debug)]
struct ColdLimit {
    /// How long a target may stay cold.
    cold_start: Duration,
    /// Time between two requests to one cold target.
    gap: Duration,
}

impl ColdLimit {
    /// Whether a target is cold, or may be.
    fn cold(self, now: Duration, target: &Target) -> bool {
        target.warmth().cold(now, self.cold_start)
    }

    /// Whether a target may be asked now.
    fn may_ask(self, now: Duration, target: &Target) -> bool {
        target.warmth().may_ask(now, self.cold_start, self.gap, rand::random)
    }
}

/// Counts a request of a client until dropped.
pub(crate) struct OpenRequest(Arc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
        *lock(&self.0.last_request) = Instant::now();
    }
}

impl Gateway {
    /// Monotonic time since the start.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether the settings leave the mechanism in.
    fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.uses(mechanism)
    }

    fn header_names(&self) -> &Headers {
        self.dialect.headers()
    }

    fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.borrow().clone()
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
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(self.clone())
    }

    fn gateways(&self) -> u32 {
        self.gateways.load(Ordering::Relaxed)
    }

    /// Gateways that budgets are shared with.
    fn sharing_gateways(&self) -> u32 {
        lock(&self.fleet_size).largest(self.now())
    }

    /// Most connections of this gateway to a target of the service.
    fn max_connections_to(&self, service: &str) -> u32 {
        let table = self.table();
        let stated = table.and_then(|table| table.service(service)?.max_connections);
        (stated.unwrap_or(DEFAULT_CONNECTIONS) / self.gateways().max(1)).max(1)
    }

    /// What targets of a service may get while they are cold; `None` where no rate is stated.
    fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        let table = self.table()?;
        let service = table.service(service)?;
        if service.cold_per_s <= 0.0 {
            return None;
        }
        let rule = ColdRule {
            per_s: service.cold_per_s,
            over: self.settings.cold_over,
            slack: self.settings.cold_slack,
        };
        let gateways = lock(&self.fleet_size).settled(self.now());
        Some(ColdLimit { cold_start: service.cold_start, gap: rule.gap(gateways) })
    }

    /// Limits on connections to targets of a service.
    fn connection_limits(&self, service: &str) -> ConnectionLimits<'_> {
        ConnectionLimits {
            source: self.settings.source,
            connect: self.settings.connect_timeout(),
            unacknowledged: Duration::from_millis(self.settings.unacknowledged_ms),
            most: self.max_connections_to(service),
            metrics: &self.metrics,
        }
    }

    /// Targets of a service that are known, whatever their state.
    fn targets_of(&self, service: &str) -> usize {
        read(&self.targets).of(service).len()
    }

    /// Time since a member that hears a leader was last heard, in milliseconds; -1 before.
    fn update_age_ms(&self) -> i64 {
        lock(&self.fresh_at).map_or(-1, |at| at.elapsed().as_millis() as i64)
    }

    /// The text for a scrape.
    fn render_metrics(&self) -> Vec<u8> {
        let age = lock(&self.fresh_at).map_or(-1.0, |at| at.elapsed().as_secs_f64());
        self.metrics.news_age.set(age);
        self.metrics.paused.set(self.run_clock.paused().as_secs_f64());
        self.metrics.revision.set(read(&self.targets).revision() as i64);
        let (known, blocked) = self.count_poison();
        self.metrics.held.set(self.holdings.held() as i64);
        self.metrics.poison_known.set(known as i64);
        self.metrics.poison_blocked.set(blocked as i64);
        self.metrics.render()
    }

    /// Takes what the head of an answer says of its target.
    fn hear(&self, target: &Target, status: StatusCode, headers: &HeaderMap) {
        let word = self.dialect.word(status, headers);
        if let Some(load) = word.load.filter(|_| self.uses(Mechanism::TargetLoads)) {
            target.note_load(self.now(), load);
        }
        if word.leaving {
            let told = target.leaving();
            trace::says_leaving(self, target, target.says_leaving(), told);
        }
        match word.rest {
            Some(rest) => {
                target.rests(self.now(), rest, spread(self.gateways()));
                trace::asks_for_rest(self, target, rest);
            }
            None if !word.turned_away => target.answered(self.now()),
            None => {}
        }
        self.note_unknown_headers(target, headers);
    }

    fn note_outcome(&self, target: &Target, outcome: AttemptOutcome) {
        let now = self.now();
        target.count_outcome(outcome != AttemptOutcome::Answered);
        let others = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Unreachable => Vec::new(),
            _ if self.uses(Mechanism::Peers) => self.other_tallies(now, target),
            // As if there were one that never fails.
            _ => vec![Tally::default()],
        };
        let mut health = target.health();
        if health.note(now, outcome, &others) {
            info!(self.log, "target left alone"; "event" => "target_paused",
                "target" => &target.announcement.id, "service" => &target.announcement.service,
                "outcome" => ?outcome, "tally" => ?health.tally(now), "others" => others.len());
        }
    }

    /// How attempts went at the targets that could take the work of this one.
    fn other_tallies(&self, now: Duration, target: &Target) -> Vec<Tally> {
        let targets = read(&self.targets);
        let others = targets.of(&target.announcement.service).iter();
        let others = others.filter(|other| other.key != target.key && !other.leaving());
        let tallies = others.filter_map(|other| {
            let health = other.health();
            (!health.paused(now)).then(|| health.tally(now))
        });
        tallies.collect()
    }
}
