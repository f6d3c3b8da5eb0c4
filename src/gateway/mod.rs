//! The gateway: routes clients' HTTP requests by host and path, and forwards each to a target of the route's service.
//!
//! It decides from the state that members of the control group push to it (the configuration and the directory of
//! targets) and from what it observes of the targets itself.

mod answer;
mod attempt;
pub mod balance;
pub mod blob_cache;
mod body_forwarder;
mod bootstrap;
pub mod brittle;
pub mod brittle_services;
pub mod budget;
mod choice;
pub mod cold;
pub mod config_delay;
mod connection;
mod disconnect;
pub mod dispatch;
pub mod events;
pub mod evidence;
mod exchange;
mod failback;
pub mod first_update;
pub mod fleet_size;
pub mod health;
pub mod incarnation_check;
mod listener;
pub mod mechanism;
pub mod member_order;
mod metrics;
pub mod outgoing;
mod peers;
mod poison;
pub mod prefix_holders;
mod prefix_source;
mod probe;
pub mod reach;
mod reach_watch;
pub mod refusal;
mod relay;
pub mod remembered_reports;
mod restart;
mod retries;
pub mod reuse;
mod rollout_log;
mod running;
pub mod settings;
pub mod silence;
pub mod slowdown;
pub mod stall;
mod startup;
mod subscriber;
mod target;
pub mod target_stream;
mod targets;
mod trace;
pub mod unknown_headers;
mod update_receiver;
pub mod version_history;
mod version_pin;
pub mod versions;
pub mod via_peer;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc, watch};

use self::blob_cache::BlobCache;
use self::brittle_services::BrittleServices;
use self::budget::ServiceBudget;
use self::cold::ColdRule;
use self::connection::ConnectionLimits;
use self::dispatch::Sending;
use self::dispatch::asks::Asks;
use self::evidence::return_spread;
use self::fleet_size::FleetSize;
use self::health::{AttemptOutcome, Tally};
use self::mechanism::Mechanism;
use self::metrics::GatewayMetrics;
use self::prefix_holders::PrefixHolders;
use self::reach::Reach;
use self::rollout_log::AppliedRollouts;
pub use self::running::RunningGateway;
use self::settings::{GatewaySettings, OnStale};
use self::target::Target;
use self::targets::Targets;
use self::unknown_headers::UnknownHeaders;
use self::via_peer::client::PeerConnections;
use self::via_peer::selection::PeerSelection;

use crate::clock::Instant;
use crate::dialect::{Headers, SharedDialect};
use crate::group::brittle::ServiceKey;
use crate::group::prefix_holders::ReadPosition;
use crate::group::restarts::SuspectedRestarts;
use crate::group::stream_origins::{StreamKey, StreamOrigins};
use crate::poison::{PoisonTracker, RecentSuccesses};
use crate::rollout::tally::Tallies;
use crate::route_table::RouteTable;
use crate::run_clock::RunClock;
use crate::sampler::Sampler;
use crate::serving::buffers::ClientBuffers;
use crate::sync::{lock, read};

/// Maximum connections to one target, from all gateways together, if its service sets no limit.
const DEFAULT_MAX_CONNECTIONS: u32 = 512;

/// State that all tasks of a gateway share.
pub(crate) struct Gateway {
    settings: GatewaySettings,
    dialect: SharedDialect,
    /// Addresses at which gateways reach the members that the settings list.
    seeds: Mutex<Vec<SocketAddr>>,
    /// The configuration in force; `None` until the first one arrives.
    table: watch::Sender<Option<Arc<RouteTable>>>,
    targets: RwLock<Targets>,
    /// Whether any member has sent anything since the start.
    member_contact: watch::Sender<bool>,
    /// Targets whose caches are known to hold prompt prefixes.
    prefix_holders: Mutex<PrefixHolders>,
    /// Number of live gateways as reported by the members; 0 until they report it.
    gateways: AtomicU32,
    /// Number of gateways that share the budgets.
    fleet_size: Mutex<FleetSize>,
    /// When a member that has contact with a leader last sent an update.
    fresh_at: Mutex<Option<Instant>>,
    /// Large blobs received from members, kept for peer gateways to fetch.
    blob_cache: Mutex<BlobCache>,
    /// Address at which peer gateways fetch blobs; `None` if this gateway does not serve them.
    blob_addr: Option<SocketAddr>,
    /// Peer gateways that send requests on behalf of this one.
    peer_selection: Mutex<PeerSelection>,
    /// Addresses of the gateways that dispatch to brittle targets, as members name them.
    dispatchers: Mutex<Vec<SocketAddr>>,
    /// Allowance of further dispatchers to ask.
    asks: Mutex<Asks>,
    /// Services with brittle targets.
    brittle_services: Mutex<BrittleServices>,
    /// Idle connections to them.
    peer_connections: Arc<PeerConnections>,
    budgets: Mutex<HashMap<String, ServiceBudget>>,
    /// Whether the targets of each service can be reached from here. Services at which no attempt ever failed have no
    /// entry.
    reach: Mutex<HashMap<String, Reach>>,
    /// Outcomes of requests to services with a roll-out under way that are not yet reported to a member.
    tallies: Mutex<Tallies>,
    /// Memory used to buffer clients' requests and answers.
    holdings: Arc<ClientBuffers>,
    stage: watch::Sender<Stage>,
    open_requests: AtomicU32,
    client_connections: AtomicUsize,
    last_request: Mutex<Instant>,
    /// Requests during which targets ended (suspected poison requests).
    poison: Mutex<PoisonTracker>,
    /// Requests and parts of prompts that succeeded here lately.
    successes: Mutex<RecentSuccesses>,
    /// Wakes the task that reports changes of `poison` to a member.
    poison_changed: Notify,
    /// Incarnations of targets that may have ended.
    restarts: Mutex<SuspectedRestarts>,
    /// Wakes the task that reports those seen here to a member.
    restart_suspected: Notify,
    /// Versions that began the streams of this gateway's clients, and of others that it asked for.
    streams: Mutex<StreamOrigins>,
    /// Streams whose origins a member is to be asked for.
    streams_asked_for: Mutex<Vec<StreamKey>>,
    /// Wakes the task that asks a member for them.
    stream_asked_for: Notify,
    /// Wakes requests that wait for the origin of a stream.
    stream_told: Notify,
    /// Wakes the task that sends a member the origins of streams that have just begun.
    stream_begun: Notify,
    /// How far these were sent to the member; `None` while the gateway follows none.
    streams_told: watch::Sender<Option<ReadPosition>>,
    attempt_sampler: Mutex<Sampler>,
    answer_sampler: Mutex<Sampler>,
    probe_sampler: Mutex<Sampler>,
    suspicion_sampler: Mutex<Sampler>,
    told_sampler: Mutex<Sampler>,
    backoff_sampler: Mutex<Sampler>,
    offer_sampler: Mutex<Sampler>,
    rejection_sampler: Mutex<Sampler>,
    unknown_headers: Mutex<UnknownHeaders>,
    started: Instant,
    /// Time during which this process was running. Timeouts on members and targets use it, so that they do not fire
    /// because this process was paused.
    run_clock: Arc<RunClock>,
    /// Receives the stages of roll-outs that were applied, to log them.
    rollout_log: mpsc::UnboundedSender<AppliedRollouts>,
    metrics: GatewayMetrics,
    log: Logger,
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// No stop is under way.
    Serving,
    /// The readiness check fails, but all requests are still served; each answer closes its connection.
    Leaving,
    /// New connections are refused and new requests are answered as not run; open requests finish.
    Closed,
    /// The process is about to end: requests that have no answer yet are given up, so that their clients get one.
    Ending,
}

/// This gateway's share of the requests that a cold target may be sent.
#[derive(Clone, Copy, Debug)]
struct ColdLimit {
    /// Longest time for which a target stays cold after a start.
    cold_start: Duration,
    /// Minimum time between two requests to the same cold target.
    gap: Duration,
}

impl ColdLimit {
    /// Whether a target is or may be cold.
    fn cold(self, now: Duration, target: &Target) -> bool {
        target.cold_state().cold(now, self.cold_start)
    }

    /// The share of one of so many gateways that dispatch to the same target.
    fn among(self, dispatchers: usize) -> Self {
        ColdLimit { gap: self.gap * dispatchers as u32, ..self }
    }

    /// Whether a target may be sent a request now.
    fn may_send(self, now: Duration, target: &Target) -> bool {
        target.cold_state().may_send(now, self.cold_start, self.gap, rand::random)
    }
}

/// Counts a client's request as open until dropped.
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

    /// Whether the mechanism is in use, i.e. the setting `without` does not turn it off.
    fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.uses(mechanism)
    }

    fn header_names(&self) -> &Headers {
        self.dialect.headers()
    }

    fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Version of the configuration in force; 0 without one.
    fn version(&self) -> u64 {
        self.table().map_or(0, |table| table.version())
    }

    fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Records that a planned stop has reached this stage, and wakes what waits for it.
    fn reach_stage(&self, stage: Stage) {
        self.stage
            .send_if_modified(|reached| std::mem::replace(reached, stage.max(*reached)) < stage);
    }

    /// Waits until a planned stop has reached this stage.
    async fn stage_reached(&self, stage: Stage) {
        // Fails only when the gateway is dropped.
        let _ = self.stage.subscribe().wait_for(|reached| *reached >= stage).await;
    }

    /// Result of the readiness check: whether the load balancer should send new clients.
    fn ready(&self) -> bool {
        self.stage() == Stage::Serving && self.table().is_some() && !self.refuses_as_stale()
    }

    /// Whether requests are refused because the configuration may be stale: the settings ask for it, and no member
    /// with contact to a leader has sent an update for `stale_after_ms`.
    fn refuses_as_stale(&self) -> bool {
        let max_age = Duration::from_millis(self.settings.stale_after_ms);
        let stale = lock(&self.fresh_at).is_none_or(|at| at.elapsed() >= max_age);
        self.settings.on_stale == OnStale::Refuse && stale
    }

    fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(self.clone())
    }

    fn gateways(&self) -> u32 {
        self.gateways.load(Ordering::Relaxed)
    }

    /// Number of gateways among which the budgets are divided.
    fn sharing_gateways(&self) -> u32 {
        lock(&self.fleet_size).largest(self.now())
    }

    /// Maximum connections of this gateway to one target of the service.
    fn max_connections_to(&self, service: &str) -> u32 {
        let table = self.table();
        let configured = table.and_then(|table| table.service(service)?.max_connections);
        (configured.unwrap_or(DEFAULT_MAX_CONNECTIONS) / self.gateways().max(1)).max(1)
    }

    /// Limit on requests that are sent in this way to cold targets of a service; `None` if the service sets no rate.
    /// Where requests are dispatched it is that of a single gateway that dispatches.
    fn cold_limit(&self, service: &str, sending: Sending) -> Option<ColdLimit> {
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
        let senders = match sending {
            Sending::Direct => lock(&self.fleet_size).confirmed(self.now()),
            Sending::Dispatched | Sending::Dispatching(_) => 1,
        };
        Some(ColdLimit { cold_start: service.cold_start, gap: rule.gap(senders) })
    }

    /// Limits on connections to targets of a service.
    fn connection_limits(&self, service: &str) -> ConnectionLimits<'_> {
        ConnectionLimits {
            source: self.settings.source,
            connect_timeout: self.settings.connect_timeout(),
            ack_timeout: Duration::from_millis(self.settings.unacknowledged_ms),
            max_connections: self.max_connections_to(service),
            metrics: &self.metrics,
        }
    }

    /// Number of known targets of a service, in any state.
    fn target_count(&self, service: &str) -> usize {
        read(&self.targets).of(service).len()
    }

    /// Milliseconds since the last update from a member with contact to a leader; -1 before the first.
    fn update_age_ms(&self) -> i64 {
        lock(&self.fresh_at).map_or(-1, |at| at.elapsed().as_millis() as i64)
    }

    /// Brings the gauges up to date and returns the metrics as text.
    fn render_metrics(&self) -> Vec<u8> {
        let age = lock(&self.fresh_at).map_or(-1.0, |at| at.elapsed().as_secs_f64());
        self.metrics.update_age.set(age);
        self.metrics.paused.set(self.run_clock.paused().as_secs_f64());
        self.metrics.revision.set(read(&self.targets).revision() as i64);
        let (known, blocked) = self.count_poison();
        self.metrics.held_bytes.set(self.holdings.held() as i64);
        self.metrics.connections.set(self.holdings.connections() as i64);
        self.metrics.poison_known.set(known as i64);
        self.metrics.poison_blocked.set(blocked as i64);
        self.metrics.render()
    }

    /// Records what the head of an answer reports about its target: load, shutdown, and a request to back off.
    fn record_target_report(&self, target: &Target, status: StatusCode, headers: &HeaderMap) {
        let (now, report) = (self.now(), self.dialect.target_status(status, headers));
        let full = report.rejected && status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(load) = report.load.filter(|_| self.uses(Mechanism::TargetLoads)) {
            target.note_reported_load(now, load);
        }
        if report.draining {
            let known = target.draining();
            trace::target_shutting_down(self, target, target.note_draining(), known);
        }
        self.record_brittleness(target, report.brittle, full);
        match report.backoff {
            Some(backoff) => {
                target.note_backoff(now, backoff, return_spread(self.gateways()));
                trace::backoff_requested(self, target, backoff);
            }
            None if !report.rejected => target.note_answered(now),
            None => {}
        }
        self.note_unknown_headers(target, headers);
    }

    /// Records what the head of an answer that another gateway passed on states about the targets of a service.
    fn record_relayed_report(&self, service: &str, status: StatusCode, headers: &HeaderMap) {
        let report = self.dialect.target_status(status, headers);
        self.note_brittleness_of_service(service, report.brittle);
    }

    /// Records what a target's answer states about its brittleness, and whether it had no room for the request.
    fn record_brittleness(&self, target: &Target, states: Option<u32>, full: bool) {
        let service = &target.announcement.service;
        if full && let Some(withstands) = states {
            trace::rejected_by_brittle(self, target);
            let role = self.role(target, withstands);
            target.note_rejected(self.now(), self.dispatched_part(target, withstands), role);
        }
        self.note_brittleness_of_service(service, states);
        if target.note_states_brittleness(states.is_some()) {
            trace::brittleness_changed(self, target, states);
            target.forget_room();
        }
        if let Some(withstands) = self.withstands(service) {
            target.note_answered_brittle(self.now(), withstands, full, self.gateways());
        }
    }

    /// Records what an answer of a target states about its service.
    fn note_brittleness_of_service(&self, service: &str, states: Option<u32>) {
        let mut known = lock(&self.brittle_services);
        if states.is_some() || !known.is_empty() {
            known.note_answer(self.now(), ServiceKey::of(service), states);
        }
    }

    /// Counts the outcome of an attempt for the target's health, which may eject the target for a while.
    fn note_outcome(&self, target: &Target, outcome: AttemptOutcome) {
        let now = self.now();
        match outcome {
            AttemptOutcome::Answered => target.count_outcome(false),
            _ if self.doubts(target) => target.hold_failure(),
            _ => target.count_outcome(true),
        }
        let others = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Unreachable => Vec::new(),
            _ if self.uses(Mechanism::Peers) => self.other_tallies(now, target),
            // Compares with one imaginary target that never fails.
            _ => vec![Tally::default()],
        };
        let mut health = target.health();
        if health.note(now, outcome, &others) {
            info!(self.log, "target ejected for a while"; "event" => "target_paused",
                "target" => &target.announcement.id, "service" => &target.announcement.service,
                "outcome" => ?outcome, "tally" => ?health.tally(now), "others" => others.len());
        }
    }

    /// Outcomes at the targets that could take over this target's work.
    fn other_tallies(&self, now: Duration, target: &Target) -> Vec<Tally> {
        let targets = read(&self.targets);
        let others = targets.of(&target.announcement.service).iter();
        let others = others.filter(|other| other.key != target.key && !other.draining());
        let tallies = others.filter_map(|other| {
            let health = other.health();
            (!health.ejected(now)).then(|| health.tally(now))
        });
        tallies.collect()
    }
}
