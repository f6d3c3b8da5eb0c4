//! Roll-outs at a member: orders taken, outcomes of all gateways added up, and the next stage taken by the leader.

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
use crate::rollout::division::RolloutMix;
use crate::rollout::steps::{Progress, Step, Why, next};
use crate::rollout::tally::{Compared, History, RouteKey, Tallies};
use crate::rollout::{
    Rollout, RolloutNews, RolloutOrder, RolloutStep, RolloutVerdict, Rollouts, Stage,
};
use crate::store::{Answer, Command, Revision};
use crate::sync::lock;

/// Between two looks at roll-outs under way.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of what a bad version may get that it gets at first, so that there is room for the steps that follow.
const TRIAL_PART: f64 = 0.7;
/// Between two notes of the time in the log.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after an order in which an equal one may be that one again: operators repeat one for some seconds.
const REPEATED_WITHIN: Duration = Duration::from_secs(10);
/// Least part of the requests on trial, in thousandths: less would show nothing.
const LEAST_PERMILLE: u16 = 5;

/// An order to roll a version out was not taken.
#[derive(Debug, thiserror::Error)]
pub(super) enum RolloutError {
    /// The call can't be read.
    #[error("{}", .0[0])]
    Faulty(Vec<Fault>),
    /// There is no such service, or it never had a roll-out.
    #[error("{0}")]
    Unknown(Fault),
    /// Another roll-out of the service is under way.
    #[error("{0}")]
    UnderWay(Fault),
    /// The outcome is not known; the caller may ask again.
    #[error("the group has no leader within reach")]
    Unavailable,
    /// Processes of an earlier build take part, which would not go by it.
    #[error("an upgrade is under way")]
    Upgrading,
}

impl From<Unavailable> for RolloutError {
    fn from(_: Unavailable) -> Self {
        RolloutError::Unavailable
    }
}

/// What a member knows of the roll-outs under way besides the log.
#[derive(Debug, Default)]
pub(super) struct RolloutWatch {
    /// When this member learned of each, by the revision of its order.
    known: HashMap<Revision, Known>,
    /// What the gateways connected here saw.
    here: Tallies,
    /// What those of the other members saw.
    members: HashMap<SocketAddr, Tallies>,
    /// What all saw of each roll-out under way, by its revision and slices of time.
    histories: HashMap<Revision, History>,
    /// What part of a service's requests each route had at the last look, for each roll-out under way.
    mixes: Vec<RolloutMix>,
    /// Roll-outs of services with more routes than outcomes are counted of.
    unjudged: HashSet<Revision>,
}

/// What a member knows of one roll-out.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// When this member learned of it.
    since: Duration,
    /// Time since the order by the log, and when this member learned that.
    noted: (Duration, Duration),
    stage: Stage,
    stage_since: Duration,
    /// Answers of the new version when the stage began.
    answers_before: u32,
}

impl RolloutWatch {
    /// Gateways connected here tell what they saw since their last word.
    pub(super) fn record_gateway(&mut self, tallies: &Tallies) {
        self.here.add(tallies);
        self.note_full(tallies);
    }

    /// Another member tells all that its gateways saw.
    pub(super) fn record_member(&mut self, member: SocketAddr, tallies: Tallies) {
        if !tallies.is_empty() {
            self.note_full(&tallies);
            self.members.insert(member, tallies);
        }
    }

    /// Notes roll-outs of which some routes may not be counted: those of one word, or of all words here.
    fn note_full(&mut self, word: &Tallies) {
        for tallies in [word, &self.here].into_iter().filter(|tallies| tallies.full()) {
            self.unjudged.extend(tallies.rollouts());
        }
    }

    /// All that the gateways connected here saw.
    pub(super) fn local(&self) -> Tallies {
        self.here.clone()
    }

    /// Takes the roll-outs as they are now, and forgets what was seen of those that are over.
    fn note(&mut self, now: Duration, rollouts: &Rollouts) {
        let all: Vec<Revision> = rollouts.all().map(|rollout| rollout.at).collect();
        self.known.retain(|at, _| all.contains(at));
        let under_way = rollouts.all().filter(|rollout| rollout.stage.under_way());
        let under_way: Vec<Revision> = under_way.map(|rollout| rollout.at).collect();
        self.here.keep_only(&under_way);
        self.members.values_mut().for_each(|tallies| tallies.keep_only(&under_way));
        self.histories.retain(|at, _| under_way.contains(at));
        self.unjudged.retain(|at| under_way.contains(at));
        for at in under_way {
            let total = self.total(at);
            self.histories.entry(at).or_default().note(now, &total);
        }
        let mix =
            |(at, history): (&Revision, &History)| RolloutMix { rollout: *at, mix: history.mix() };
        self.mixes = self.histories.iter().map(mix).collect();
        for rollout in rollouts.all() {
            let (stage, answers_before) = (rollout.stage, self.answers(rollout.at));
            let noted = (Duration::from_millis(rollout.elapsed_ms), now);
            let fresh = Known { since: now, noted, stage, stage_since: now, answers_before };
            let known = self.known.entry(rollout.at).or_insert(fresh);
            if known.stage != stage {
                *known = Known { since: known.since, noted: known.noted, ..fresh };
            }
            if known.noted.0 < noted.0 {
                known.noted = noted;
            }
        }
    }

    /// Whether this member learned of a roll-out so lately that an equal order may be the same again.
    fn ordered_lately(&self, now: Duration, at: Revision) -> bool {
        self.known.get(&at).is_none_or(|known| now < known.since + REPEATED_WITHIN)
    }

    /// All that gateways saw of a roll-out, by route.
    fn total(&self, at: Revision) -> BTreeMap<RouteKey, Compared> {
        let mut all = self.here.clone();
        self.members.values().for_each(|tallies| all.add(tallies));
        all.of_rollout(at)
    }

    /// The same by route and slices of time.
    fn routes(&self, at: Revision) -> Vec<Vec<Compared>> {
        self.histories.get(&at).map(History::routes).unwrap_or_default()
    }

    /// What part of a service's requests each route has, for each roll-out under way.
    pub(super) fn mixes(&self) -> Vec<RolloutMix> {
        self.mixes.clone()
    }

    /// The routes at these places of those of a roll-out.
    fn keys(&self, at: Revision, places: impl Iterator<Item = usize>) -> Vec<RouteKey> {
        let history = self.histories.get(&at);
        let keys: Vec<RouteKey> = history.into_iter().flat_map(History::keys).collect();
        places.filter_map(|place| keys.get(place).copied()).collect()
    }

    fn answers(&self, at: Revision) -> u32 {
        self.total(at).values().map(|route| route.new.times.count()).sum()
    }
}

impl Shared {
    /// Takes an order to roll a version out; returns once it is surely in the log.
    pub(super) async fn start_rollout(&self, body: &[u8]) -> Result<(), RolloutError> {
        let call = self.dialect.rollout(body).map_err(RolloutError::Faulty)?;
        let longest = Duration::from_millis(self.settings.answer_within_ms);
        let taken = tokio::time::timeout(longest, self.carry_rollout(call)).await;
        taken.map_err(|_| RolloutError::Unavailable)?
    }

    async fn carry_rollout(&self, call: RolloutCall) -> Result<(), RolloutError> {
        let published = self.read().await?;
        self.check_service(&published, &call.service)?;
        if published.level < Level::STARTS {
            return Err(RolloutError::Upgrading);
        }
        let last = published.rollouts.get(&call.service).map(|rollout| rollout.at);
        let lately = |at| lock(&self.rollouts).ordered_lately(self.now(), at);
        let order = RolloutOrder {
            service: call.service,
            version: call.version,
            lasts_ms: call.lasts_ms,
            trial_permille: self.trial_permille(),
            soon: last.is_some_and(lately),
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

    /// Part of the requests that a version gets at first, in thousandths.
    fn trial_permille(&self) -> u16 {
        let permille = self.settings.expose_share * TRIAL_PART * 1_000.0;
        (permille as u16).max(LEAST_PERMILLE)
    }

    /// Whether there is such a service, by the configuration and the targets.
    fn check_service(&self, published: &Published, service: &str) -> Result<(), RolloutError> {
        let document = published.document.as_ref();
        let read = document.and_then(|held| self.dialect.configuration(&held.bytes).ok());
        let stated = read.is_some_and(|held| held.services.iter().any(|one| one.name == service));
        if stated || published.directory.has_service(service) {
            return Ok(());
        }
        let message = format!("there is no service {service:?}");
        Err(RolloutError::Unknown(Fault::new("service", message)))
    }

    /// How far the roll-out of a service is, never older than what was acknowledged.
    pub(super) async fn show_rollout(&self, path: &str) -> Result<Rollout, RolloutError> {
        let service = read_service(path)?;
        let published = self.read().await?;
        let rollout = published.rollouts.get(&service).cloned();
        rollout.ok_or_else(|| {
            let message = format!("{service:?} never had a roll-out");
            RolloutError::Unknown(Fault::new("service", message))
        })
    }

    /// The last roll-out of each service, never older than what was acknowledged.
    pub(super) async fn list_rollouts(&self) -> Result<Arc<Rollouts>, Unavailable> {
        Ok(self.read().await?.rollouts)
    }

    /// Rolls a service's version back, if its roll-out is still under way.
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

    /// Roll-outs, for a gateway.
    pub(super) fn rollouts_update(&self) -> RolloutNews {
        self.member.published().borrow().rollouts.news()
    }

    /// What is due for the roll-outs under way, by what this member knows: the next stage, or a note of the time.
    fn rollout_steps(&self, published: &Published) -> Vec<Due> {
        let now = self.now();
        let mut watch = lock(&self.rollouts);
        watch.note(now, &published.rollouts);
        let under_way = published.rollouts.all().filter(|rollout| rollout.stage.under_way());
        let due = under_way.filter_map(|rollout| {
            let known = watch.known.get(&rollout.at)?;
            let routes = watch.routes(rollout.at);
            let elapsed = known.elapsed(now);
            let progress = Progress {
                stage: rollout.stage,
                elapsed,
                in_stage: now.saturating_sub(known.stage_since),
                lasts: rollout.lasts(),
                trial_permille: rollout.order.trial_permille,
                routes: &routes,
                unjudged: watch.unjudged.contains(&rollout.at),
                answers_before: known.answers_before,
                old_in_flight: self.in_flight_at_old(published, rollout),
            };
            let step = next(&progress);
            if step.is_none() && elapsed < known.noted.0 + NOTE_INTERVAL {
                return None;
            }
            let why = step.map(|step| step.why);
            let unproven = match why {
                Some(Why::Unproven) => watch.keys(rollout.at, progress.unproven()),
                _ => Vec::new(),
            };
            let command = RolloutStep {
                service: rollout.order.service.clone(),
                at: rollout.at,
                stage: step.map_or(rollout.stage, |step| step.stage),
                elapsed_ms: elapsed.as_millis() as u64,
            };
            let unjudged = progress.unjudged;
            Some(Due { command, step, unproven, unjudged, rollout: rollout.clone() })
        });
        due.collect()
    }

    /// Names of routes, by the configuration in force.
    fn route_names(&self, keys: &[RouteKey]) -> Vec<String> {
        let published = self.published();
        let document = published.document.as_ref().filter(|_| !keys.is_empty());
        let read = document.and_then(|held| self.dialect.configuration(&held.bytes).ok());
        let routes = read.into_iter().flat_map(|configuration| configuration.routes);
        let named = routes.map(|route| route.name);
        named.filter(|name| keys.contains(&RouteKey::of(name))).collect()
    }

    /// Requests in flight at the old version of a service, as far as gateways told.
    fn in_flight_at_old(&self, published: &Published, rollout: &Rollout) -> u32 {
        if rollout.stage != Stage::Shifted {
            return 0;
        }
        let longest = self.loads_ttl();
        let loads = lock(&self.load_totals).total(self.now(), longest, Duration::ZERO);
        let loads: HashMap<LoadKey, u32> =
            loads.all().iter().map(|load| (load.target, load.requests)).collect();
        let old = published.directory.targets().filter(|target| {
            target.service == rollout.order.service && target.version != rollout.order.version
        });
        old.filter_map(|target| loads.get(&LoadKey::of(target.key()))).sum()
    }
}

/// What is due for a roll-out.
struct Due {
    command: RolloutStep,
    /// The next stage, unless just the time is to be noted.
    step: Option<Step>,
    /// Routes for want of which it is rolled back.
    unproven: Vec<RouteKey>,
    /// Whether there are more routes than outcomes are counted of.
    unjudged: bool,
    rollout: Rollout,
}

impl Known {
    /// Time since the order. Time in which all members were down is not in it.
    fn elapsed(&self, now: Duration) -> Duration {
        self.noted.0 + now.saturating_sub(self.noted.1)
    }
}

/// While this member leads, takes the next stages of roll-outs.
pub(super) async fn watch(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let published = shared.published();
        if published.rollouts.revision() == 0 {
            continue;
        }
        let due = shared.rollout_steps(&published);
        if !shared.leads() {
            continue;
        }
        for due in due {
            if let Some(step) = &due.step {
                tell_step(&shared, step, &due);
            }
            shared.propose_here(Command::RolloutStep(due.command)).await;
        }
    }
}

fn tell_step(shared: &Shared, step: &Step, due: &Due) {
    let rollout = &due.rollout;
    let unproven = shared.route_names(&due.unproven).join(",");
    let watch = lock(&shared.rollouts);
    let routes = watch.total(rollout.at);
    let sum = |of: fn(&Compared) -> u32| -> u32 { routes.values().map(of).sum() };
    shared.metrics.rollout_step(step.stage.label());
    info!(shared.log, "roll-out takes its next stage"; "event" => "rollout_step",
        "service" => &rollout.order.service, "version" => &rollout.order.version,
        "from" => ?rollout.stage, "to" => ?step.stage, "why" => ?step.why,
        "unproven" => unproven, "unjudged_routes" => due.unjudged, "routes" => routes.len(), "new" => sum(|route| route.new.count()),
        "new_failed" => sum(|route| route.new.failed), "old" => sum(|route| route.old.count()),
        "old_failed" => sum(|route| route.old.failed));
}

/// The service that a path names.
fn read_service(path: &str) -> Result<String, RolloutError> {
    let decoded = percent_encoding::percent_decode_str(path).decode_utf8();
    let decoded = decoded.map_err(|_| {
        RolloutError::Faulty(vec![Fault::new("service", "is not UTF-8 once unescaped")])
    })?;
    Ok(decoded.into_owned())
}
