//! Roll-outs at a member: accepts operators' orders, sums the outcomes that all gateways observed, and, as the leader,
//! proposes the next stage of each roll-out.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::loads::LoadKey;
use super::{Shared, Unavailable};
use crate::control::member::Published;
use crate::dialect::RolloutCall;
use crate::jsonc::Fault;
use crate::level::Level;
use crate::rollout::history::{History, RouteHistory};
use crate::rollout::route_mix::RolloutMix;
use crate::rollout::steps::{Progress, Step, StepReason, next_step};
use crate::rollout::tally::{Compared, RouteKey, Tallies};
use crate::rollout::{
    Rollout, RolloutOrder, RolloutStep, RolloutVerdict, Rollouts, RolloutsUpdate, Stage,
};
use crate::store::{Answer, Command, Revision};
use crate::sync::lock;

/// Interval at which roll-outs under way are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of `expose_share` that the new version gets in the first stage, which leaves room for the steps that
/// follow.
const TRIAL_FRACTION: f64 = 0.7;
/// Interval at which the time since the order is stored in the replicated log.
const ELAPSED_INTERVAL: Duration = Duration::from_secs(1);
/// Time after an order during which an equal one may be a repetition of it: operators repeat an order for some seconds.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
/// Minimum share of the requests in the first stage, in thousandths: less would give too few outcomes to judge.
const MIN_TRIAL_PERMILLE: u16 = 5;

/// A call about a roll-out that failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum RolloutError {
    /// The call is invalid.
    #[error("{}", .0[0])]
    Invalid(Vec<Fault>),
    /// There is no such service, or it never had a roll-out.
    #[error("{0}")]
    Unknown(Fault),
    /// Another roll-out of the service is under way.
    #[error("{0}")]
    UnderWay(Fault),
    /// The outcome is unknown; the caller may repeat the call.
    #[error("the group has no leader within reach")]
    Unavailable,
    /// The group has processes of an earlier build, which would not apply the order.
    #[error("an upgrade is under way")]
    Upgrading,
}

impl From<Unavailable> for RolloutError {
    fn from(_: Unavailable) -> Self {
        RolloutError::Unavailable
    }
}

/// What a member knows of roll-outs besides the replicated log. Roll-outs are identified by the revision of their
/// order.
#[derive(Debug, Default)]
pub(super) struct RolloutTracker {
    /// What this member observed of each roll-out.
    known: HashMap<Revision, Observed>,
    /// Outcomes that the gateways connected here observed.
    local: Tallies,
    /// Outcomes that the gateways of the other members observed.
    members: HashMap<SocketAddr, Tallies>,
    /// Outcomes of all gateways for each roll-out under way, in slices of time.
    histories: HashMap<Revision, History>,
    /// Share of a service's requests that each route had at the last check, for each roll-out under way.
    mixes: Vec<RolloutMix>,
    /// Roll-outs of services that have more routes than outcomes are counted for.
    unjudged: HashSet<Revision>,
}

/// What a member observed of one roll-out.
#[derive(Clone, Copy, Debug)]
struct Observed {
    /// When this member learned of the roll-out.
    since: Duration,
    /// The time since the order that the log has, and when this member learned it.
    stored_elapsed: (Duration, Duration),
    stage: Stage,
    stage_since: Duration,
    /// Answers of the new version when the stage began.
    answers_before: u32,
}

impl RolloutTracker {
    /// Adds what a gateway connected here observed since its last report.
    pub(super) fn record_gateway(&mut self, tallies: &Tallies) {
        self.local.add(tallies);
        self.mark_unjudged(tallies);
    }

    /// Replaces the report of another member, which has all that its gateways observed.
    pub(super) fn record_member(&mut self, member: SocketAddr, tallies: Tallies) {
        if !tallies.is_empty() {
            self.mark_unjudged(&tallies);
            self.members.insert(member, tallies);
        }
    }

    /// Marks roll-outs as unjudged for which some routes may not be counted, because a report or the local sum is full.
    fn mark_unjudged(&mut self, report: &Tallies) {
        for tallies in [report, &self.local].into_iter().filter(|tallies| tallies.full()) {
            self.unjudged.extend(tallies.rollouts());
        }
    }

    /// All that the gateways connected here observed.
    pub(super) fn local(&self) -> Tallies {
        self.local.clone()
    }

    /// Brings this up to date with the current roll-outs, and drops the outcomes of those that are over.
    fn update(&mut self, now: Duration, rollouts: &Rollouts) {
        let all: Vec<Revision> = rollouts.all().map(|rollout| rollout.at).collect();
        self.known.retain(|at, _| all.contains(at));
        let under_way = rollouts.all().filter(|rollout| rollout.stage.under_way());
        let stages: Vec<(Revision, Stage)> =
            under_way.map(|rollout| (rollout.at, rollout.stage)).collect();
        let under_way: Vec<Revision> = stages.iter().map(|(at, _)| *at).collect();
        self.local.keep_only(&under_way);
        self.members.values_mut().for_each(|tallies| tallies.keep_only(&under_way));
        self.histories.retain(|at, _| under_way.contains(at));
        self.unjudged.retain(|at| under_way.contains(at));
        for (at, stage) in stages {
            let total = self.total(at);
            self.histories.entry(at).or_default().record(now, stage, &total);
        }
        let mix =
            |(at, history): (&Revision, &History)| RolloutMix { rollout: *at, mix: history.mix() };
        self.mixes = self.histories.iter().map(mix).collect();
        for rollout in rollouts.all() {
            let (stage, answers_before) = (rollout.stage, self.answers(rollout.at));
            let stored_elapsed = (Duration::from_millis(rollout.elapsed_ms), now);
            let fresh =
                Observed { since: now, stored_elapsed, stage, stage_since: now, answers_before };
            let known = self.known.entry(rollout.at).or_insert(fresh);
            if known.stage != stage {
                *known =
                    Observed { since: known.since, stored_elapsed: known.stored_elapsed, ..fresh };
            }
            if known.stored_elapsed.0 < stored_elapsed.0 {
                known.stored_elapsed = stored_elapsed;
            }
        }
    }

    /// Whether this member has learned of a roll-out so recently, or not yet, that an equal order may be a repetition.
    fn is_recent(&self, now: Duration, at: Revision) -> bool {
        self.known.get(&at).is_none_or(|known| now < known.since + REPEAT_WINDOW)
    }

    /// Outcomes that all gateways observed of a roll-out, by route.
    fn total(&self, at: Revision) -> BTreeMap<RouteKey, Compared> {
        let mut all = self.local.clone();
        self.members.values().for_each(|tallies| all.add(tallies));
        all.by_route(at)
    }

    /// The same outcomes by route and slices of time.
    fn routes(&self, at: Revision) -> Vec<RouteHistory> {
        self.histories.get(&at).map(History::routes).unwrap_or_default()
    }

    /// Share of a service's requests that each route has, for each roll-out under way.
    pub(super) fn mixes(&self) -> Vec<RolloutMix> {
        self.mixes.clone()
    }

    /// The routes of a roll-out at these indices of [`RolloutTracker::routes`].
    fn keys(&self, at: Revision, indices: impl Iterator<Item = usize>) -> Vec<RouteKey> {
        let history = self.histories.get(&at);
        let keys: Vec<RouteKey> = history.into_iter().flat_map(History::keys).collect();
        indices.filter_map(|index| keys.get(index).copied()).collect()
    }

    /// Number of answers of the new version of a roll-out, on all routes.
    fn answers(&self, at: Revision) -> u32 {
        self.total(at).values().map(|route| route.new.latencies.count()).sum()
    }
}

impl Shared {
    /// Executes an order to roll out a version. Returns once the order is committed.
    pub(super) async fn start_rollout(&self, body: &[u8]) -> Result<(), RolloutError> {
        let call = self.dialect.rollout(body).map_err(RolloutError::Invalid)?;
        let timeout = Duration::from_millis(self.settings.answer_within_ms);
        let outcome = tokio::time::timeout(timeout, self.propose_rollout(call)).await;
        outcome.map_err(|_| RolloutError::Unavailable)?
    }

    async fn propose_rollout(&self, call: RolloutCall) -> Result<(), RolloutError> {
        let published = self.read().await?;
        self.check_service(&published, &call.service)?;
        if published.level < Level::INCARNATIONS {
            return Err(RolloutError::Upgrading);
        }
        let last = published.rollouts.get(&call.service).map(|rollout| rollout.at);
        let is_recent = |at| lock(&self.rollouts).is_recent(self.now(), at);
        let order = RolloutOrder {
            service: call.service,
            version: call.version,
            lasts_ms: call.lasts_ms,
            trial_permille: self.trial_permille(),
            soon: last.is_some_and(is_recent),
        };
        match self.propose(Command::Rollout(order.clone())).await? {
            Answer::Rollout(RolloutVerdict::Taken) => {
                info!(self.log, "roll-out acknowledged"; "event" => "rollout_acknowledged",
                    "service" => order.service, "version" => order.version,
                    "lasts_ms" => order.lasts_ms, "trial_permille" => order.trial_permille);
                Ok(())
            }
            Answer::Rollout(RolloutVerdict::UnderWay) => {
                let message = "another roll-out of the service is under way";
                Err(RolloutError::UnderWay(Fault::new("service", message)))
            }
            _ => Err(RolloutError::Unavailable),
        }
    }

    /// Share of the requests that a new version gets in the first stage, in thousandths.
    fn trial_permille(&self) -> u16 {
        let permille = self.settings.expose_share * TRIAL_FRACTION * 1_000.0;
        (permille as u16).max(MIN_TRIAL_PERMILLE)
    }

    /// Checks that the service occurs in the configuration or in the directory of targets.
    fn check_service(&self, published: &Published, service: &str) -> Result<(), RolloutError> {
        let document = published.document.as_ref();
        let configuration = document.and_then(|held| self.dialect.configuration(&held.bytes).ok());
        let configured = configuration.is_some_and(|configuration| {
            configuration.services.iter().any(|one| one.name == service)
        });
        if configured || published.directory.has_service(service) {
            return Ok(());
        }
        let message = format!("there is no service {service:?}");
        Err(RolloutError::Unknown(Fault::new("service", message)))
    }

    /// The last roll-out of the service named in `path`. The state is at least as new as anything acknowledged before.
    pub(super) async fn show_rollout(&self, path: &str) -> Result<Rollout, RolloutError> {
        let service = parse_service(path)?;
        let published = self.read().await?;
        let rollout = published.rollouts.get(&service).cloned();
        rollout.ok_or_else(|| {
            let message = format!("{service:?} never had a roll-out");
            RolloutError::Unknown(Fault::new("service", message))
        })
    }

    /// The last roll-out of each service. The state is at least as new as anything acknowledged before.
    pub(super) async fn list_rollouts(&self) -> Result<Arc<Rollouts>, Unavailable> {
        Ok(self.read().await?.rollouts)
    }

    /// Rolls a service back to its old version if its roll-out is still under way. Returns the stage after that.
    pub(super) async fn withdraw_rollout(&self, path: &str) -> Result<Stage, RolloutError> {
        let rollout = self.show_rollout(path).await?;
        let (service, at) = (rollout.order.service.clone(), rollout.at);
        let (stage, elapsed_ms) = (Stage::RolledBack, rollout.elapsed_ms);
        let step = RolloutStep { service: service.clone(), at, stage, elapsed_ms };
        self.propose(Command::RolloutStep(step)).await?;
        let stage = self.show_rollout(path).await?.stage;
        info!(self.log, "roll-out withdrawn"; "event" => "rollout_withdrawn",
            "service" => service, "version" => rollout.order.version, "stage" => stage.label());
        Ok(stage)
    }

    /// The state of all roll-outs, for a gateway.
    pub(super) fn rollouts_update(&self) -> RolloutsUpdate {
        self.member.published().borrow().rollouts.update()
    }

    /// The commands that are due for roll-outs under way, by what this member knows: the next stage, or else storing
    /// the elapsed time.
    fn due_steps(&self, published: &Published) -> Vec<DueStep> {
        let now = self.now();
        let mut tracker = lock(&self.rollouts);
        tracker.update(now, &published.rollouts);
        let under_way = published.rollouts.all().filter(|rollout| rollout.stage.under_way());
        let due = under_way.filter_map(|rollout| {
            let known = tracker.known.get(&rollout.at)?;
            let routes = tracker.routes(rollout.at);
            let elapsed = known.elapsed(now);
            let progress = Progress {
                stage: rollout.stage,
                elapsed,
                in_stage: now.saturating_sub(known.stage_since),
                lasts: rollout.lasts(),
                trial_permille: rollout.order.trial_permille,
                routes: &routes,
                unjudged: tracker.unjudged.contains(&rollout.at),
                answers_before: known.answers_before,
                old_in_flight: self.in_flight_at_old(published, rollout),
            };
            let step = next_step(&progress);
            if step.is_none() && elapsed < known.stored_elapsed.0 + ELAPSED_INTERVAL {
                return None;
            }
            let why = step.map(|step| step.why);
            let unproven = match why {
                Some(StepReason::Unproven) => tracker.keys(rollout.at, progress.unproven()),
                _ => Vec::new(),
            };
            let command = RolloutStep {
                service: rollout.order.service.clone(),
                at: rollout.at,
                stage: step.map_or(rollout.stage, |step| step.stage),
                elapsed_ms: elapsed.as_millis() as u64,
            };
            let unjudged = progress.unjudged;
            Some(DueStep { command, step, unproven, unjudged, rollout: rollout.clone() })
        });
        due.collect()
    }

    /// Names of the routes with these keys, as far as the current configuration has them.
    fn route_names(&self, keys: &[RouteKey]) -> Vec<String> {
        let published = self.published();
        let document = published.document.as_ref().filter(|_| !keys.is_empty());
        let configuration = document.and_then(|held| self.dialect.configuration(&held.bytes).ok());
        let routes = configuration.into_iter().flat_map(|configuration| configuration.routes);
        let named = routes.map(|route| route.name);
        named.filter(|name| keys.contains(&RouteKey::of(name))).collect()
    }

    /// Requests in flight at targets of the old version, by the load reports of gateways; 0 in all stages but
    /// [`Stage::Shifted`], the only one that needs the number.
    fn in_flight_at_old(&self, published: &Published, rollout: &Rollout) -> u32 {
        if rollout.stage != Stage::Shifted {
            return 0;
        }
        let ttl = self.loads_ttl();
        let loads = lock(&self.load_totals).total(self.now(), ttl, Duration::ZERO);
        let loads: HashMap<LoadKey, u32> =
            loads.all().iter().map(|load| (load.target, load.requests)).collect();
        let old = published.directory.targets().filter(|target| {
            target.service == rollout.order.service && target.version != rollout.order.version
        });
        old.filter_map(|target| loads.get(&LoadKey::of(target.key()))).sum()
    }
}

/// A command that is due for a roll-out.
struct DueStep {
    command: RolloutStep,
    /// The next stage and its reason; `None` when only the elapsed time is to be stored.
    step: Option<Step>,
    /// Routes whose insufficient outcomes are the reason for a rollback.
    unproven: Vec<RouteKey>,
    /// Whether the service has more routes than outcomes are counted for.
    unjudged: bool,
    rollout: Rollout,
}

impl Observed {
    /// Time since the order, without time in which all members were down.
    fn elapsed(&self, now: Duration) -> Duration {
        self.stored_elapsed.0 + now.saturating_sub(self.stored_elapsed.1)
    }
}

/// Tracks roll-outs, and, while this member leads, proposes the steps that are due.
pub(super) async fn watch(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let published = shared.published();
        if published.rollouts.revision() == 0 {
            continue;
        }
        let due = shared.due_steps(&published);
        if !shared.leads() {
            continue;
        }
        for due in due {
            if let Some(step) = &due.step {
                log_step(&shared, step, &due);
            }
            shared.propose_here(Command::RolloutStep(due.command)).await;
        }
    }
}

/// Counts and logs a stage that is about to be proposed.
fn log_step(shared: &Shared, step: &Step, due: &DueStep) {
    let rollout = &due.rollout;
    let unproven = shared.route_names(&due.unproven).join(",");
    let tracker = lock(&shared.rollouts);
    let routes = tracker.total(rollout.at);
    let sum = |of: fn(&Compared) -> u32| -> u32 { routes.values().map(of).sum() };
    shared.metrics.count_rollout_step(step.stage.label());
    info!(shared.log, "proposing the next stage of a roll-out"; "event" => "rollout_step",
        "service" => &rollout.order.service, "version" => &rollout.order.version,
        "from" => ?rollout.stage, "to" => ?step.stage, "why" => ?step.why,
        "unproven" => unproven, "unjudged_routes" => due.unjudged, "routes" => routes.len(), "new" => sum(|route| route.new.count()),
        "new_failed" => sum(|route| route.new.failed), "old" => sum(|route| route.old.count()),
        "old_failed" => sum(|route| route.old.failed));
}

/// Decodes the name of the service in the path of a call.
fn parse_service(path: &str) -> Result<String, RolloutError> {
    let decoded = percent_encoding::percent_decode_str(path).decode_utf8();
    let decoded = decoded.map_err(|_| {
        RolloutError::Invalid(vec![Fault::new("service", "is not UTF-8 once unescaped")])
    })?;
    Ok(decoded.into_owned())
}
