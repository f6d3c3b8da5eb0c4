//! One request of a client, from its head to the head of its answer.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::answer::{AnswerBody, refuse};
use super::attempt::{self, Answer, AttemptError, Supervisor};
use super::balance::Affinity;
use super::choice::Choice;
use super::connection::{ConnectError, ProbeResult};
use super::health::AttemptOutcome;
use super::held::Holder;
use super::outgoing::Outgoing;
use super::patience::{self, SilenceWatch};
use super::refusal::{Refusal, RetryHints};
use super::relay;
use super::target::Target;
use super::trace::{self, DisconnectGuard, text};
use super::{Gateway, Stage};
use crate::clock::Instant;
use crate::configuration::{Route, Team};
use crate::poison::{Fingerprint, Identity, Suspect};
use crate::rollout::tally::Subject;
use crate::route_table::Caller;
use crate::run_clock::RunClock;

/// What connections that could not be made may cost a request before it is given up on: four that hang, or sixteen that
/// are refused, which takes some milliseconds each. Where many targets crash at once the next homes of a prompt are often
/// down too, while others are well.
const MOST_CONNECT_COST: u32 = 16;
/// What a connection costs that hangs until it times out.
const HANG_COST: u32 = 4;
/// Longest time for a client's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a request of a client that names none may take.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// What is known of a request once its head has been read.
pub(super) struct Plan {
    pub(super) route: Arc<Route>,
    /// Service that the route's weights drew.
    pub(super) service: String,
    pub(super) outgoing: Outgoing,
    pub(super) affinity: Option<Affinity>,
    /// Team that sends it, if one does.
    pub(super) team: Option<Arc<Team>>,
    /// Version of the configuration that decided.
    pub(super) version: u64,
    pub(super) arrived: Instant,
    /// Targets that the request was sent to, or that could not be reached.
    pub(super) tried: Vec<u64>,
    /// Targets of the service that the request was sent to.
    pub(super) sends: u32,
    /// Times that it arrived anywhere, as the budget counts.
    pub(super) arrivals: u32,
    /// What connections that could not be made have cost.
    pub(super) connect_cost: u32,
    pub(super) disconnect_guard: DisconnectGuard,
    /// Drawn from 0 to 1: decides which version of the service it goes to while one takes the place of another.
    pub(super) version_draw: f64,
    /// What the outcome of the attempt under way is counted under, and when it began, while a roll-out is under way.
    pub(super) counted_under: Option<(Subject, Instant)>,
    /// Connection of the client.
    pub(super) holder: Arc<Holder>,
    /// The first failure after which a target may have run the request.
    may_have_run: Option<Refusal>,
    /// Its fingerprint, once that was needed.
    fingerprint: OnceLock<Fingerprint>,
}

/// Serves one request.
pub(super) async fn serve(
    gateway: &Arc<Gateway>,
    holder: &Arc<Holder>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let _open = gateway.open_request();
    let (head, body) = request.into_parts();
    let mut response = match prepare(gateway, holder, &head, body, arrived).await {
        Ok(plan) => run(gateway, plan).await,
        Err(refusal) => {
            let id = text(head.headers.get(&gateway.header_names().request_id));
            let host = text(head.headers.get(HOST));
            trace::refused(gateway, id, host, head.uri.path(), refusal);
            refuse(refusal, RetryHints { uptime: gateway.now(), backoff_left: None })
        }
    };
    if gateway.stage() != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    response
}

/// Finds the route and the caller, and reads the body.
async fn prepare(
    gateway: &Arc<Gateway>,
    holder: &Arc<Holder>,
    head: &Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Plan, Refusal> {
    if gateway.stage() == Stage::Closed {
        return Err(Refusal::Stopping);
    }
    let names = gateway.header_names();
    let waits = stated_wait(head.headers.get(&names.deadline_ms))?;
    let table = gateway.table_within(waits).await.ok_or(Refusal::NoConfiguration)?;
    if gateway.refuses_as_stale() {
        return Err(Refusal::Stale);
    }
    let host = head.uri.host().unwrap_or_else(|| text(head.headers.get(HOST)));
    let route = table.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?.clone();
    let key = head.headers.get(&names.credential).and_then(|key| key.to_str().ok());
    let caller = table.caller(&route, key);
    if caller == Caller::Unknown {
        return Err(Refusal::UnknownKey);
    }
    let id = head.headers.get(&names.request_id).ok_or(Refusal::BadRequest)?.clone();
    let limits = table.limits();
    let head_bytes: usize =
        head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if head_bytes > limits.max_header_bytes {
        return Err(Refusal::HeadTooLarge);
    }
    let deadline = arrived + waits.min(route.timeout);
    let body = read_body(gateway, holder, body, limits.max_body_bytes, deadline).await?;
    let service = draw_service(&route);
    gateway.count_request(&service);
    let outgoing = Outgoing::new(names, head, body, &caller, &route, id, deadline);
    let affinity = gateway.affinity(&route, &head.headers);
    let disconnect_guard = DisconnectGuard::new(gateway, &outgoing.id, arrived);
    Ok(Plan {
        route,
        service,
        outgoing,
        affinity,
        team: match caller {
            Caller::Team(team) => Some(team),
            _ => None,
        },
        version: table.version(),
        arrived,
        tried: Vec::new(),
        sends: 0,
        arrivals: 0,
        connect_cost: 0,
        disconnect_guard,
        version_draw: rand::random(),
        counted_under: None,
        holder: holder.clone(),
        may_have_run: None,
        fingerprint: OnceLock::new(),
    })
}

/// How long a caller says that it waits.
fn stated_wait(stated: Option<&HeaderValue>) -> Result<Duration, Refusal> {
    let Some(stated) = stated else {
        return Ok(DEFAULT_DEADLINE);
    };
    let ms = text(Some(stated)).parse().map_err(|_| Refusal::BadRequest)?;
    Ok(Duration::from_millis(ms))
}

/// Reads a client's body, which is held until it is sent nowhere any more.
async fn read_body(
    gateway: &Gateway,
    holder: &Arc<Holder>,
    body: Incoming,
    most: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let _waiting = holder.wait_to_send();
    let gathering = gather(holder, body, most);
    tokio::select! {
        read = gateway.run_clock.within(BODY_TIMEOUT, deadline, gathering) => {
            read.unwrap_or(Err(Refusal::BodyTooSlow))
        }
        // Others need the room.
        () = holder.cut() => Err(Refusal::BodyTooSlow),
    }
}

async fn gather(holder: &Arc<Holder>, mut body: Incoming, most: usize) -> Result<Bytes, Refusal> {
    let mut gathered = holder.gather();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::BadRequest)?;
        let piece = frame.into_data().unwrap_or_default();
        if gathered.length() + piece.len() > most {
            return Err(Refusal::BodyTooLarge);
        }
        gathered.push(piece).map_err(|_| Refusal::NoRoom)?;
    }
    Ok(gathered.into_body())
}

/// Draws one of the route's services by weight.
fn draw_service(route: &Route) -> String {
    let mut at = rand::random_range(0..route.total_weight().max(1));
    for weighted in &route.services {
        if at < weighted.weight {
            return weighted.service.clone();
        }
        at -= weighted.weight;
    }
    route.services.last().map_or_else(String::new, |last| last.service.clone())
}

/// Sends the request until there is an answer to pass on, or nothing more may be tried.
async fn run(gateway: &Arc<Gateway>, mut plan: Plan) -> Response<AnswerBody> {
    loop {
        let answer = match next_answer(gateway, &mut plan).await {
            Ok(answer) => answer,
            Err(refusal) => return give_up(gateway, plan, refusal),
        };
        let retried = match relay::pass_on(gateway, plan, answer).await {
            relay::PassedOn::Answer(response) => return response,
            relay::PassedOn::Retry(retried) => *retried,
        };
        plan = retried;
    }
}

pub(super) fn give_up(gateway: &Gateway, mut plan: Plan, refusal: Refusal) -> Response<AnswerBody> {
    let backoff_left = (refusal == Refusal::BackingOff).then(|| gateway.rest_left(&plan)).flatten();
    trace::given_up(gateway, &plan, refusal, backoff_left);
    plan.disconnect_guard.finish();
    refuse(refusal, RetryHints { uptime: gateway.now(), backoff_left })
}

/// Sends the request until a target answers.
pub(super) async fn next_answer(
    gateway: &Arc<Gateway>,
    plan: &mut Plan,
) -> Result<Answer, Refusal> {
    loop {
        if Instant::now() >= plan.outgoing.deadline {
            return Err(plan.may_have_run.unwrap_or(Refusal::TooLate));
        }
        if gateway.blocks_as_poison(plan) {
            let ran = plan.may_have_run.is_some();
            return Err(if ran { Refusal::PoisonAfterSend } else { Refusal::Poison });
        }
        if plan.arrivals > 0 && !gateway.may_send_again(plan) {
            return Err(plan.may_have_run.unwrap_or(Refusal::NotRun));
        }
        let Some(choice) = gateway.choose(plan) else {
            let refusal = gateway.why_no_choice(plan);
            return Err(plan.may_have_run.unwrap_or(refusal));
        };
        match attempt_at(gateway, plan, &choice).await {
            Ok(answer) => return Ok(answer),
            Err(failed) => after_failure(plan, failed)?,
        }
    }
}

/// Decides whether a request whose attempt failed goes on.
fn after_failure(plan: &mut Plan, failed: Failed) -> Result<(), Refusal> {
    let Failed { refusal, error } = failed;
    if refusal == Refusal::ConnectFailed {
        plan.connect_cost += match error {
            AttemptError::NotSent(ConnectError::Timeout) => HANG_COST,
            // A word that came while it connected is nobody's fault, and many may come at once.
            AttemptError::NotSent(ConnectError::NotWanted | ConnectError::TooLate) => 0,
            _ => 1,
        };
        if plan.connect_cost >= MOST_CONNECT_COST {
            return Err(plan.may_have_run.unwrap_or(refusal));
        }
        return Ok(());
    }
    if refusal.may_have_run() {
        plan.may_have_run = plan.may_have_run.or(Some(refusal));
        if !plan.route.kind.idempotent() {
            return Err(refusal);
        }
    }
    Ok(())
}

impl Plan {
    /// What identifies the request across its tries.
    pub(super) fn identity(&self) -> Identity<'_> {
        self.outgoing.identity(self.team.as_ref().map(|team| team.name.as_str()))
    }

    /// The request as it is told of when targets end under it.
    pub(super) fn suspect(&self) -> Suspect {
        Suspect::new(&self.identity(), self.fingerprint(), &self.route.name)
    }

    /// Digest of what identifies the request, made when it is first needed: it reads the whole body.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.identity().fingerprint())
    }

    /// The same if it was needed, for logs.
    pub(super) fn known_fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint.get().copied()
    }

    /// Notes that a target ran the request, at least in part, and failed.
    pub(super) fn note_ran(&mut self, refusal: Refusal) {
        self.may_have_run = self.may_have_run.or(Some(refusal));
    }
}

/// An attempt that gave no answer, and what that means for the request.
struct Failed {
    refusal: Refusal,
    error: AttemptError,
}

/// An attempt under way.
struct Supervised<'a> {
    gateway: &'a Gateway,
    plan: &'a Plan,
    target: &'a Target,
    watch: &'a SilenceWatch,
}

impl Supervisor for Supervised<'_> {
    fn may_send(&self) -> bool {
        let takes_work = self.target.standing(self.gateway.now()).takes_work();
        takes_work && self.gateway.version_serves(self.target)
    }

    fn may_turn(&self) -> bool {
        self.plan.route.kind.idempotent() && self.gateway.could_send_after(self.plan)
    }

    fn run_clock(&self) -> &RunClock {
        &self.gateway.run_clock
    }

    fn waits_on(&self) {
        self.watch.blame_if_silent();
    }

    fn hear(&self, status: StatusCode, headers: &HeaderMap) {
        self.gateway.hear(self.target, status, headers);
    }
}

async fn attempt_at(
    gateway: &Arc<Gateway>,
    plan: &mut Plan,
    choice: &Choice,
) -> Result<Answer, Failed> {
    let target = &choice.target;
    plan.tried.push(target.key);
    gateway.note_asked(target);
    let limits = gateway.connection_limits(&plan.service);
    let began = Instant::now();
    plan.counted_under = choice.counted_under.map(|subject| (subject, began));
    let longest = patience::for_answer(&plan.route);
    let watch = SilenceWatch::begin(gateway, target, longest);
    let supervised = Supervised { gateway, plan, target, watch: &watch };
    let (from, names) = (choice.fetch_from, gateway.header_names());
    let sent =
        attempt::send(target, from, &plan.outgoing, names, limits, longest, &supervised).await;
    let blamed = watch.blamed();
    watch.end();
    gateway.note_reachability(target, found(&sent));
    if !matches!(sent, Err(AttemptError::NotSent(_))) {
        plan.arrivals += 1;
    }
    if !matches!(sent, Err(AttemptError::NotSent(_) | AttemptError::Gone)) {
        plan.sends += 1;
    }
    match sent {
        Ok(answer) => {
            gateway.note_outcome(target, answered(answer.status));
            if answer.status.is_server_error() {
                gateway.note_version_failed(plan);
            }
            if answer.status.is_success() {
                gateway.note_read(plan, choice);
            }
            trace::attempt(gateway, plan, choice, began, Ok(answer.status));
            Ok(answer)
        }
        Err(error) => {
            let (refusal, outcome) = blame(error);
            if outcome == Some(AttemptOutcome::Failed) && error != AttemptError::Lost {
                gateway.note_version_failed(plan);
            }
            if let Some(outcome) = outcome.filter(|_| !blamed) {
                gateway.note_outcome(target, outcome);
            }
            gateway.metrics.attempt_failed(refusal);
            trace::attempt(gateway, plan, choice, began, Err((refusal, error)));
            if error == AttemptError::Lost {
                gateway.probe(plan, target);
            }
            Err(Failed { refusal, error })
        }
    }
}

/// What a failed attempt means for the request, and what for the target's health.
fn blame(error: AttemptError) -> (Refusal, Option<AttemptOutcome>) {
    match error {
        AttemptError::NotSent(
            ConnectError::TooMany | ConnectError::NotWanted | ConnectError::TooLate,
        ) => (Refusal::ConnectFailed, None),
        AttemptError::NotSent(_) => (Refusal::ConnectFailed, Some(AttemptOutcome::Unreachable)),
        AttemptError::Gone => (Refusal::ConnectFailed, Some(AttemptOutcome::Unreachable)),
        AttemptError::NotRun => (Refusal::NotRun, Some(AttemptOutcome::TurnedAway)),
        AttemptError::Lost => (Refusal::AnswerLost, Some(AttemptOutcome::Failed)),
        AttemptError::Late => (Refusal::AnswerLate, Some(AttemptOutcome::Failed)),
        AttemptError::Wrong => (Refusal::WrongAnswer, Some(AttemptOutcome::Failed)),
    }
}

/// What an attempt tells of whether anybody is there.
fn found(sent: &Result<Answer, AttemptError>) -> ProbeResult {
    match sent {
        Err(AttemptError::NotSent(ConnectError::Refused)) => ProbeResult::Ended,
        Err(AttemptError::NotSent(_)) => ProbeResult::Unknown,
        Ok(_) | Err(_) => ProbeResult::Lives,
    }
}

fn answered(status: StatusCode) -> AttemptOutcome {
    if status.is_server_error() { AttemptOutcome::Failed } else { AttemptOutcome::Answered }
}
