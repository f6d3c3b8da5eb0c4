//! Serves one client request: finds its route, reads its body, and sends it to targets until one of them answers.
//!
//! The answer's body is then passed to the client by [`relay`].

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::answer::{AnswerBody, refuse};
use super::attempt::{self, Answer, AttemptError, Sent, SilentRequest, Supervisor};
use super::balance::Affinity;
use super::choice::Choice;
use super::connection::{ConnectError, ProbeResult};
use super::dispatch::{Dispatched, Sending, dispatch};
use super::health::AttemptOutcome;
use super::outgoing::Outgoing;
use super::reach::{Contact, CutOff};
use super::refusal::{Refusal, RetryHints};
use super::restart::RestartSign;
use super::silence::{self, AttemptRecord, Outcome};
use super::stall::{self, StallGuard};
use super::target::Target;
use super::trace::{self, DisconnectGuard, text};
use super::version_pin::VersionPin;
use super::via_peer::client::Offered;
use super::{Gateway, Stage, relay, via_peer};
use crate::clock::Instant;
use crate::configuration::{Route, Team};
use crate::group::stream_origins::VersionKey;
use crate::poison::{Fingerprint, Identity, Suspect};
use crate::rollout::tally::Subject;
use crate::route_table::Caller;
use crate::run_clock::RunClock;
use crate::serving::body_buffer::BodyError;
use crate::serving::buffers::ClientBuffer;

/// Cost of failed connection attempts at which a request is given up on. A refused connection costs 1 and takes a few
/// milliseconds, one that times out costs [`CONNECT_TIMEOUT_COST`]: 16 refusals or 4 time-outs. Many tries are needed
/// because, when many targets crash at once, the next homes of a prompt are often down too while other targets work.
const MAX_CONNECT_COST: u32 = 16;
/// Cost of connection attempts to targets that could not be reached at which a request is offered to peer gateways: they
/// may reach targets that this one doesn't.
const PEER_CONNECT_COST: u32 = 8;
/// Cost of a connection attempt that times out.
const CONNECT_TIMEOUT_COST: u32 = 4;
/// Longest time to read a client's request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a request whose client sends no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A client's request, where it may go, and the attempts made so far.
pub(super) struct RequestState {
    pub(super) route: Arc<Route>,
    /// Service drawn by the route's weights.
    pub(super) service: String,
    pub(super) outgoing: Outgoing,
    pub(super) affinity: Option<Affinity>,
    /// Team whose key the client sent, if any.
    pub(super) team: Option<Arc<Team>>,
    /// Version of the configuration by which the request is routed.
    pub(super) version: u64,
    pub(super) arrived: Instant,
    /// Keys of the targets that were chosen for an attempt, whether or not they could be reached.
    pub(super) tried: Vec<u64>,
    /// Number of attempts at targets of the service that received the request.
    pub(super) sends: u32,
    /// Number of attempts in which the request was sent at all, also to a target that had taken over the address; the
    /// retry budget counts these.
    pub(super) arrivals: u32,
    /// Whether an attempt is under way, which may have sent the request.
    pub(super) attempt_under_way: bool,
    /// Cost of failed connection attempts, up to [`MAX_CONNECT_COST`].
    pub(super) connect_cost: u32,
    /// The part of it that is due to targets that could not be reached.
    pub(super) unreachable_cost: u32,
    pub(super) disconnect_guard: DisconnectGuard,
    /// Random number from 0 to 1 that selects the version of the service during a roll-out.
    pub(super) version_draw: f64,
    /// During a roll-out: what the current attempt's outcome is counted for, and when the attempt began.
    pub(super) counted_under: Option<(Subject, Instant)>,
    /// The client's connection, to which buffered bytes are charged.
    pub(super) client_buffer: Arc<ClientBuffer>,
    /// The first failure after which a target may have run the request.
    may_have_run: Option<Refusal>,
    /// Maximum number of attempts at targets that receive the request.
    pub(super) max_sends: u32,
    /// Whether the request came from another gateway, and so is not sent through a peer again.
    from_peer: bool,
    /// How it is sent to targets.
    pub(super) sending: Sending,
    /// Keys of targets whose dispatchers had no room for it in the current attempt.
    pub(super) full: Vec<u64>,
    /// When the client should retry, as stated by a peer gateway that refused the request.
    pub(super) retry_after: Option<Duration>,
    /// Versions of the software at which the request may run.
    pub(super) pin: VersionPin,
    /// Until when the client waits for its answer, over all its requests.
    pub(super) client_deadline: Instant,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub(super) parts: Vec<Fingerprint>,
    /// The poison request or part that blocks it.
    pub(super) blocked_by: Option<Fingerprint>,
    /// When the first event of the current attempt arrived.
    pub(super) events_since: Option<Instant>,
    /// Fingerprint of the request, computed on first use.
    fingerprint: OnceLock<Fingerprint>,
}

/// Serves one request and returns the answer for the client.
pub(super) async fn serve(
    gateway: &Arc<Gateway>,
    client_buffer: &Arc<ClientBuffer>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let _open = gateway.open_request();
    let (head, body) = request.into_parts();
    let mut response = match prepare(gateway, client_buffer, &head, body, arrived).await {
        // Boxed, since it is large and many requests wait for the rest of their bodies.
        Ok(state) => Box::pin(run(gateway, state)).await,
        Err(refusal) => {
            let id = text(head.headers.get(&gateway.header_names().request_id));
            let host = text(head.headers.get(HOST));
            trace::refused(gateway, id, host, head.uri.path(), refusal);
            refuse(refusal, RetryHints { uptime: gateway.now(), backoff_left: None })
        }
    };
    close_if_leaving(gateway, &mut response);
    response
}

/// Makes the answer close its connection if a planned stop is under way, so that no later request crosses the close.
pub(super) fn close_if_leaving(gateway: &Gateway, response: &mut Response<AnswerBody>) {
    if gateway.stage() != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
}

/// Finds the request's route, checks the client's key and the limits, and reads the body.
async fn prepare(
    gateway: &Arc<Gateway>,
    client_buffer: &Arc<ClientBuffer>,
    head: &Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<RequestState, Refusal> {
    if gateway.stage() >= Stage::Closed {
        return Err(Refusal::Stopping);
    }
    let names = gateway.header_names();
    let timeout = client_timeout(head.headers.get(&names.deadline_ms))?;
    let table = gateway.table_within(timeout).await.ok_or(Refusal::NoConfiguration)?;
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
    let deadline = arrived + timeout.min(route.timeout);
    let body = read_body(gateway, client_buffer, body, limits.max_body_bytes, deadline).await?;
    let pin = match gateway.resumption(&route, &head.headers) {
        Some(resumption) => {
            let path = head.uri.path_and_query().map_or("", |path| path.as_str());
            let host = text(head.headers.get(HOST));
            let identity = Identity { team: caller.team(), host, path, body: &body };
            gateway.pin_resumed(&id, &route, &identity, resumption).await
        }
        None => VersionPin::Free,
    };
    let service = match pin {
        VersionPin::Free => draw_service(&route),
        VersionPin::Only(_) => gateway.service_of_pin(&route, pin).ok_or(Refusal::VersionGone)?,
        VersionPin::Unknown => return Err(Refusal::OriginUnknown),
    };
    gateway.count_request(&service);
    let outgoing = Outgoing::new(names, head, body, &caller, &route, id, deadline);
    let affinity = gateway.affinity(&route, &head.headers);
    let mut state =
        RequestState::new(gateway, client_buffer, route, service, outgoing, affinity, arrived);
    state.pin = pin;
    state.client_deadline = arrived + timeout;
    Ok(state.routed(&caller, table.version(), Origin::Client))
}

/// How long the client waits, from its deadline header.
fn client_timeout(header: Option<&HeaderValue>) -> Result<Duration, Refusal> {
    let Some(header) = header else {
        return Ok(DEFAULT_DEADLINE);
    };
    let ms = text(Some(header)).parse().map_err(|_| Refusal::BadRequest)?;
    Ok(Duration::from_millis(ms))
}

/// Reads a client's body into memory, where it is kept until no further attempt needs it. A body that is not complete
/// when a planned stop accepts no more requests is refused: its request could be cut at the end of the stop.
pub(super) async fn read_body(
    gateway: &Gateway,
    client_buffer: &Arc<ClientBuffer>,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let reading = client_buffer.read_body(body, max_bytes);
    let read = tokio::select! {
        biased;
        read = gateway.run_clock.within(BODY_TIMEOUT, deadline, reading) => read,
        () = gateway.stage_reached(Stage::Closed) => return Err(Refusal::Stopping),
    };
    read.ok_or(Refusal::BodyTooSlow)?.map_err(|error| match error {
        BodyError::TooLarge { .. } => Refusal::BodyTooLarge,
        BodyError::BrokeOff => Refusal::BadRequest,
        BodyError::TooSlow => Refusal::BodyTooSlow,
        BodyError::NoMemory => Refusal::NoRoom,
    })
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

/// Sends the request until there is an answer for the client or no further attempt is allowed.
pub(super) async fn run(gateway: &Arc<Gateway>, mut state: RequestState) -> Response<AnswerBody> {
    loop {
        let answer = tokio::select! {
            biased;
            answer = next_answer(gateway, &mut state) => answer,
            () = gateway.stage_reached(Stage::Ending) => Err(state.refusal_at_end()),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(refusal) => {
                let tried = state.tried.last().copied().filter(|_| state.arrivals > 0);
                let mut response = give_up(gateway, state, refusal);
                tried.map(|key| response.extensions_mut().insert(ServedBy { key, version: None }));
                return response;
            }
        };
        let served_by = answer.source.target();
        let served_by = served_by.map(|target| {
            let version = Some(gateway.certain_version(target));
            ServedBy { key: target.key, version }
        });
        let retried = match relay::relay(gateway, state, answer).await {
            relay::Relayed::Response(mut response) => {
                served_by.map(|served_by| response.extensions_mut().insert(served_by));
                return response;
            }
            relay::Relayed::Retry(retried) => *retried,
        };
        state = retried;
    }
}

/// Logs that the request is given up on, and returns the error response for the client.
pub(super) fn give_up(
    gateway: &Gateway,
    mut state: RequestState,
    refusal: Refusal,
) -> Response<AnswerBody> {
    let backoff_left = (refusal == Refusal::BackingOff)
        .then(|| state.retry_after.or_else(|| gateway.backoff_left(&state)))
        .flatten();
    trace::given_up(gateway, &state, refusal, backoff_left);
    state.disconnect_guard.finish();
    refuse(refusal, RetryHints { uptime: gateway.now(), backoff_left })
}

/// Sends the request to one target after the other until one answers.
pub(super) async fn next_answer(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
) -> Result<Answer, Refusal> {
    let mut peers_declined = false;
    loop {
        if Instant::now() >= state.outgoing.deadline {
            return Err(state.may_have_run.unwrap_or(Refusal::TooLate));
        }
        state.blocked_by = gateway.blocked_as_poison(state);
        if state.blocked_by.is_some() {
            let ran = state.may_have_run.is_some();
            return Err(if ran { Refusal::PoisonAfterSend } else { Refusal::Poison });
        }
        if state.arrivals > 0 && !gateway.try_spend_retry(state) {
            return Err(state.may_have_run.unwrap_or(Refusal::NotRun));
        }
        if let Some(withstands) = gateway.dispatches(state) {
            match dispatch(gateway, state, withstands).await {
                Ok(Dispatched::Answered(answer)) => return Ok(*answer),
                Ok(Dispatched::Failed) => continue,
                Ok(Dispatched::NoDispatcher) => {}
                Err(refusal) => return Err(state.may_have_run.unwrap_or(refusal)),
            }
        }
        if !peers_declined && gateway.prefers_peer(state) {
            match offer_to_peers(gateway, state, &mut peers_declined).await? {
                Some(answer) => return Ok(answer),
                None if !peers_declined => continue,
                None => {}
            }
            if gateway.cut_off(&state.service) == Some(CutOff::Unreachable) {
                return Err(state.may_have_run.unwrap_or(Refusal::CutOff));
            }
        }
        let Some(choice) = gateway.choose_confirmed(state).await else {
            let refusal = gateway.why_no_choice(state);
            // The other gateways have parts of the connections too.
            if refusal == Refusal::NoRoom && !peers_declined && gateway.may_use_peers(state) {
                match offer_to_peers(gateway, state, &mut peers_declined).await? {
                    Some(answer) => return Ok(answer),
                    None => continue,
                }
            }
            return Err(state.may_have_run.unwrap_or(refusal));
        };
        if !gateway.admits_dispatched(state, &choice).await {
            return Err(Refusal::Full);
        }
        match attempt_at(gateway, state, &choice).await {
            Ok(answer) => return Ok(answer),
            Err(mut failed) => {
                let silent = failed.silent.take();
                after_failure(state, failed)?;
                if let Some(silent) = silent {
                    // Boxed, since it is large and few answers fall silent.
                    return Box::pin(replace_silent(gateway, state, *silent, &choice)).await;
                }
            }
        }
    }
}

/// Sends the request to another target while the chosen one, which is silent, may still answer.
async fn replace_silent(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    silent: SilentRequest,
    choice: &Choice,
) -> Result<Answer, Refusal> {
    let (began, record) = (Instant::now(), AttemptRecord::of(state));
    let (id, deadline) = (state.outgoing.id.clone(), state.outgoing.deadline);
    let on_answer_head =
        |status, headers: &_| gateway.record_target_report(&choice.target, status, headers);
    let silent = silent.answer(&id, gateway.header_names(), on_answer_head);
    let other = next_answer(gateway, state);
    let outcome = silence::replace(&gateway.run_clock, deadline, silent, other).await;
    let target = &choice.target.announcement.id;
    trace::silent_answer(gateway, state, target, began, outcome.label());
    match outcome {
        Outcome::WentOn(answer) => {
            record.swap_into(state);
            state.count_cancelled();
            note_answered(gateway, state, choice, began, &answer);
            Ok(answer)
        }
        Outcome::Replaced(answer, _) => Ok(answer),
        Outcome::Lost(refusal, _) => Err(refusal),
    }
}

/// Offers the request to peer gateways. `None`: it got no answer and may be tried again; `declined` says whether no peer
/// took it.
async fn offer_to_peers(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    declined: &mut bool,
) -> Result<Option<Answer>, Refusal> {
    match via_peer::client::offer(gateway, state).await {
        Offered::Answered(answer) => return Ok(Some(*answer)),
        Offered::Failed(failed) => after_failure(state, failed)?,
        Offered::Refused(refusal) => return Err(state.may_have_run.unwrap_or(refusal)),
        Offered::NotTaken => *declined = true,
    }
    Ok(None)
}

impl Gateway {
    /// Whether a request is offered to peer gateways before it is sent from here.
    fn prefers_peer(&self, state: &RequestState) -> bool {
        let doubtful = state.unreachable_cost >= PEER_CONNECT_COST;
        (doubtful || self.cut_off(&state.service).is_some()) && self.may_use_peers(state)
    }

    /// Whether a target has room for the request, if this gateway dispatches it for another one.
    async fn admits_dispatched(&self, state: &RequestState, choice: &Choice) -> bool {
        let Sending::Dispatching(_) = state.sending else {
            return true;
        };
        // Counted before the wait for room, during which others are looked at.
        self.note_cold_request(&choice.target, state.sending);
        match self.withstands(&state.service) {
            Some(withstands) => self.admit(&choice.target, withstands).await,
            None => true,
        }
    }

    /// Whether a request may be sent through a peer gateway.
    fn may_use_peers(&self, state: &RequestState) -> bool {
        !state.from_peer && state.pin != VersionPin::Unknown && self.has_relay_peers()
    }
}

/// Decides whether a request may be tried again after a failed attempt.
pub(super) fn after_failure(
    state: &mut RequestState,
    failed: FailedAttempt,
) -> Result<(), Refusal> {
    let FailedAttempt { refusal, error, .. } = failed;
    if refusal == Refusal::ConnectFailed {
        let cost = match error {
            AttemptError::NotSent(ConnectError::Timeout) => CONNECT_TIMEOUT_COST,
            // The target was withdrawn, or the deadline passed, while the gateway connected. Neither is a failure to
            // connect, and a withdrawal may affect many targets at once.
            AttemptError::NotSent(ConnectError::NotWanted | ConnectError::TooLate) => 0,
            _ => 1,
        };
        state.connect_cost += cost;
        if !matches!(error, AttemptError::NotSent(ConnectError::TooMany) | AttemptError::Gone) {
            state.unreachable_cost += cost;
        }
        if state.connect_cost >= MAX_CONNECT_COST {
            return Err(state.may_have_run.unwrap_or(refusal));
        }
        return Ok(());
    }
    if refusal.may_have_run() {
        state.may_have_run = state.may_have_run.or(Some(refusal));
        if !state.route.kind.idempotent() {
            return Err(refusal);
        }
    }
    Ok(())
}

/// Who a request came from.
pub(super) enum Origin {
    /// A client.
    Client,
    /// Another gateway, which can't reach the targets and has already tried some of them.
    Peer {
        /// Keys of these targets.
        tried: Vec<u64>,
    },
}

/// The target that answered a request, or that was the last to receive it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServedBy {
    /// Its key.
    pub(super) key: u64,
    /// The version of its software, if it answered; ambiguous if it may have restarted as another one.
    pub(super) version: Option<VersionKey>,
}

impl RequestState {
    /// A request that arrived at `arrived` and has not been sent anywhere.
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        client_buffer: &Arc<ClientBuffer>,
        route: Arc<Route>,
        service: String,
        outgoing: Outgoing,
        affinity: Option<Affinity>,
        arrived: Instant,
    ) -> Self {
        RequestState {
            parts: gateway.shared_parts(&service, outgoing.headers()),
            blocked_by: None,
            events_since: None,
            max_sends: route.max_attempts,
            route,
            service,
            affinity,
            team: None,
            version: 0,
            arrived,
            tried: Vec::new(),
            sends: 0,
            arrivals: 0,
            attempt_under_way: false,
            connect_cost: 0,
            unreachable_cost: 0,
            disconnect_guard: DisconnectGuard::new(gateway, &outgoing.id, arrived),
            pin: VersionPin::Free,
            client_deadline: outgoing.deadline,
            outgoing,
            version_draw: rand::random(),
            counted_under: None,
            client_buffer: client_buffer.clone(),
            may_have_run: None,
            from_peer: false,
            sending: Sending::Direct,
            full: Vec::new(),
            retry_after: None,
            fingerprint: OnceLock::new(),
        }
    }

    /// Sets by which version of the configuration and for whom the request was routed, and whence it came.
    pub(super) fn routed(mut self, caller: &Caller, version: u64, origin: Origin) -> Self {
        if let Caller::Team(team) = caller {
            self.team = Some(team.clone());
        }
        self.version = version;
        if let Origin::Peer { tried } = origin {
            self.tried = tried;
            self.max_sends = 1;
            self.from_peer = true;
        }
        self
    }

    /// Whether the request came from another gateway.
    pub(super) fn is_from_peer(&self) -> bool {
        self.from_peer
    }

    /// Counts an attempt at a target that received the request.
    pub(super) fn count_arrival(&mut self) {
        self.arrivals += 1;
        self.sends += 1;
    }

    /// Counts an attempt that was cancelled, as a target may have received the request.
    pub(super) fn count_cancelled(&mut self) {
        if std::mem::take(&mut self.attempt_under_way) {
            self.count_arrival();
        }
    }

    /// What identifies the request across attempts, also of the client's own retries.
    pub(super) fn identity(&self) -> Identity<'_> {
        self.outgoing.identity(self.team.as_ref().map(|team| team.name.as_str()))
    }

    /// The request as it is reported when a target ends while running it.
    pub(super) fn suspect(&self) -> Suspect {
        Suspect::new(&self.identity(), self.fingerprint(), &self.route.name)
    }

    /// Digest of the request's identity. It reads the whole body, so it is computed only when first needed.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.identity().fingerprint())
    }

    /// The fingerprint if it was computed before, for logs.
    pub(super) fn known_fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint.get().copied()
    }

    /// Whether the first event of the current attempt arrived longer ago than `onset`.
    pub(super) fn outlived_onset(&self, onset: Duration) -> bool {
        self.events_since.is_some_and(|since| since.elapsed() >= onset)
    }

    /// Why the request has no answer at the end of a planned stop.
    fn refusal_at_end(&self) -> Refusal {
        let sent = self.arrivals > 0 || self.attempt_under_way;
        self.may_have_run.unwrap_or(if sent { Refusal::AnswerLate } else { Refusal::Stopping })
    }

    /// Notes a failure after which the target may have run the request, at least in part.
    pub(super) fn note_may_have_run(&mut self, refusal: Refusal) {
        self.may_have_run = self.may_have_run.or(Some(refusal));
    }
}

/// An attempt without an answer: the error, and the code with which the request ends if it is not tried again.
pub(super) struct FailedAttempt {
    refusal: Refusal,
    error: AttemptError,
    /// The request, if it is late and may still be answered.
    silent: Option<Box<SilentRequest>>,
}

impl FailedAttempt {
    /// An attempt that a peer gateway made.
    pub(super) fn via_peer(refusal: Refusal) -> Self {
        let error = match refusal {
            Refusal::NotRun => AttemptError::NotRun,
            Refusal::AnswerLate => AttemptError::Late,
            Refusal::WrongAnswer => AttemptError::Wrong,
            _ => AttemptError::Lost,
        };
        FailedAttempt { refusal, error, silent: None }
    }
}

/// Supervises one attempt: decides whether it may go on, and records what the target reports.
struct AttemptSupervisor<'a> {
    gateway: &'a Gateway,
    state: &'a RequestState,
    target: &'a Target,
    stall_guard: &'a StallGuard,
}

impl Supervisor for AttemptSupervisor<'_> {
    fn may_send(&self) -> bool {
        let now = self.gateway.now();
        let takes_work = self.target.eligibility(now).accepts_work();
        let pin_allows = self.gateway.pin_allows(now, self.state.pin, self.target);
        takes_work && pin_allows && self.gateway.version_may_receive(self.target)
    }

    fn may_try_another(&self) -> bool {
        self.state.route.kind.idempotent() && self.gateway.could_retry_after_current(self.state)
    }

    fn run_clock(&self) -> &RunClock {
        &self.gateway.run_clock
    }

    fn on_stall(&self) {
        self.stall_guard.count_if_stalled();
    }

    fn on_answer_head(&self, status: StatusCode, headers: &HeaderMap) {
        self.gateway.record_target_report(self.target, status, headers);
    }
}

/// Makes one attempt at the chosen target and records its outcome.
pub(super) async fn attempt_at(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    choice: &Choice,
) -> Result<Answer, FailedAttempt> {
    let target = &choice.target;
    state.tried.push(target.key);
    state.events_since = None;
    let mut limits = gateway.connection_limits(&state.service);
    if state.sending == Sending::Direct {
        gateway.note_cold_request(target, state.sending);
    } else {
        // This gateway dispatches to the target, and the others don't send to it.
        limits.max_connections = limits.max_connections.max(target.announcement.slots);
    }
    let began = Instant::now();
    state.counted_under = choice.counted_under.map(|subject| (subject, began));
    let timeout = stall::answer_timeout(&state.route);
    let stall_guard = StallGuard::start(gateway, Some(target), timeout);
    state.attempt_under_way = true;
    let supervisor = AttemptSupervisor { gateway, state, target, stall_guard: &stall_guard };
    let (from, names) = (choice.fetch_from, gateway.header_names());
    let sent =
        attempt::send(target, from, &state.outgoing, names, limits, timeout, &supervisor).await;
    let (sent, silent) = match sent {
        Ok(Sent::Answered(answer)) => (Ok(answer), None),
        Ok(Sent::Silent(silent)) => (Err(AttemptError::Late), Some(Box::new(silent))),
        Err(error) => (Err(error), None),
    };
    state.attempt_under_way = false;
    let stalled =
        sent.as_ref().is_err_and(|error| *error == AttemptError::Late) && stall_guard.stalled();
    let already_counted = stall_guard.failure_counted();
    stall_guard.finish();
    gateway.note_reachability(target, reachability(&sent));
    if let Some(contact) = contact(&sent, stalled && !already_counted) {
        gateway.record_contact(target, contact);
    }
    if !matches!(sent, Err(AttemptError::NotSent(_))) {
        state.arrivals += 1;
    }
    if !matches!(sent, Err(AttemptError::NotSent(_) | AttemptError::Gone)) {
        state.sends += 1;
    }
    match sent {
        Ok(answer) => {
            note_answered(gateway, state, choice, began, &answer);
            Ok(answer)
        }
        Err(error) => {
            let (refusal, outcome) = classify(error);
            if outcome == Some(AttemptOutcome::Failed) && error != AttemptError::Lost {
                gateway.note_version_failure(state);
            }
            if let Some(outcome) = outcome.filter(|_| !already_counted) {
                gateway.note_outcome(target, outcome);
            }
            gateway.metrics.attempt_failed(refusal);
            if let Some(sign) = restart_sign(error) {
                gateway.suspect_restart(target, sign);
            }
            trace::attempt(gateway, state, choice, began, Err((refusal, error)));
            if error == AttemptError::Lost {
                gateway.probe(state, target);
            }
            Err(FailedAttempt { refusal, error, silent })
        }
    }
}

/// Records the answer to an attempt that began at `began`.
fn note_answered(
    gateway: &Gateway,
    state: &RequestState,
    choice: &Choice,
    began: Instant,
    answer: &Answer,
) {
    gateway.note_same_incarnation(&answer.source, began);
    gateway.note_outcome(&choice.target, outcome_of(answer.status));
    if answer.status.is_server_error() {
        gateway.note_version_failure(state);
    }
    if answer.status.is_success() {
        gateway.note_prompt_read(state, choice);
    }
    trace::attempt(gateway, state, choice, began, Ok(answer.status));
}

/// The refusal that a failed attempt leads to, and the outcome that counts for the target's health; `None` if the
/// target is not at fault.
fn classify(error: AttemptError) -> (Refusal, Option<AttemptOutcome>) {
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

/// Whether a failed attempt is a sign that the target's listed incarnation ended.
fn restart_sign(error: AttemptError) -> Option<RestartSign> {
    match error {
        AttemptError::NotSent(ConnectError::Refused) => Some(RestartSign::Refused),
        AttemptError::Lost => Some(RestartSign::Broke),
        // A target with another identity rejects the request.
        AttemptError::Gone
        | AttemptError::NotSent(_)
        | AttemptError::NotRun
        | AttemptError::Late
        | AttemptError::Wrong => None,
    }
}

/// What an attempt shows about whether the target accepts connections.
fn reachability(sent: &Result<Answer, AttemptError>) -> ProbeResult {
    match sent {
        Err(AttemptError::NotSent(ConnectError::Refused)) => ProbeResult::Ended,
        Err(AttemptError::NotSent(_)) => ProbeResult::Unknown,
        Ok(_) | Err(_) => ProbeResult::Lives,
    }
}

/// What an attempt shows about the path to the target; `None` if nothing. `stalled`: the target sent nothing within the
/// stall timeout, and that is not recorded yet.
fn contact(sent: &Result<Answer, AttemptError>, stalled: bool) -> Option<Contact> {
    use AttemptError::{Gone, Late, Lost, NotRun, NotSent, Wrong};
    match sent {
        Ok(_) | Err(Gone | NotRun | Wrong) => Some(Contact::Answered),
        Err(Lost) => Some(Contact::Unreachable),
        Err(NotSent(ConnectError::Timeout | ConnectError::Refused | ConnectError::Broke)) => {
            Some(Contact::Unreachable)
        }
        Err(NotSent(ConnectError::TooMany | ConnectError::NotWanted | ConnectError::TooLate)) => {
            None
        }
        Err(Late) => stalled.then_some(Contact::Silent),
    }
}

fn outcome_of(status: StatusCode) -> AttemptOutcome {
    if status.is_server_error() { AttemptOutcome::Failed } else { AttemptOutcome::Answered }
}
