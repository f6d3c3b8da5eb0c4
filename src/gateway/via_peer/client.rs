//! The gateway that took the request from the client: offers it to peers, and takes the answer of the one that served
//! it.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use slog::info;
use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;

use super::{GREETING_PATH, concerns_peer_only, decode_key, encode_key, header};
use crate::clock::Instant;
use crate::gateway::Gateway;
use crate::gateway::attempt::{Answer, AttemptError, Source, verify};
use crate::gateway::exchange::{FailedAttempt, RequestState};
use crate::gateway::mechanism::Mechanism;
use crate::gateway::refusal::Refusal;
use crate::gateway::reuse::Reuse;
use crate::gateway::stall;
use crate::gateway::target::Target;
use crate::gateway::target_stream::{FruitlessBytes, TargetBody, TargetStream};
use crate::gateway::trace::{millis_since, text};
use crate::gateway::version_pin::VersionPin;
use crate::group::stream_origins::VersionKey;
use crate::link::{connect_from, set_tcp_timeouts};
use crate::sync::lock;

/// Timeout for a new connection to a peer and its answer to the greeting; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which a connection is waited for in the background, where it shows that the peer was only slow.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(1);
/// Longest time for which bytes sent to a peer may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the body of a peer's refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// Maximum idle connections kept per peer.
const MAX_IDLE: usize = 16;
/// How long an idle connection is kept.
const KEEP_IDLE: Duration = Duration::from_secs(5);

/// An open connection to a peer.
pub(in crate::gateway) struct PeerConnection {
    peer: SocketAddr,
    opened: OpenConnection,
    pool: Arc<PeerConnections>,
}

/// An open connection, and what the peer answered to the greeting.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Bytes read on it without a result.
    fruitless: Arc<FruitlessBytes>,
    /// Whether the peer sends a request only to targets of the version that it names.
    keeps_software: bool,
    /// Whether the peer dispatches to the target that a request names.
    dispatches: bool,
}

/// A connection that is being opened; `None` if that fails.
type Opening = JoinHandle<Result<Option<OpenConnection>, Elapsed>>;

/// An idle connection.
struct IdleConnection {
    opened: OpenConnection,
    since: Instant,
}

/// Idle connections by peer.
#[derive(Default)]
pub(in crate::gateway) struct PeerConnections(Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>);

/// Result of offering a request to peers.
pub(in crate::gateway) enum Offered {
    /// A target answered a peer.
    Answered(Box<Answer>),
    /// A peer sent the request to a target, and there is no answer.
    Failed(FailedAttempt),
    /// A peer knows that no gateway can send the request to a target now.
    Refused(Refusal),
    /// No peer took the request, so nothing was sent.
    NotTaken,
}

/// Result of offering a request to the gateway that dispatches to a target.
pub(in crate::gateway) enum DispatchOutcome {
    /// The target answered.
    Answered(Box<Answer>),
    /// The request was sent to the target, and there is no answer.
    Failed(FailedAttempt),
    /// The target has no room.
    NoRoom,
    /// That gateway takes no requests now.
    NoDispatcher,
}

/// How one peer dealt with a request.
enum PeerResult {
    Answered(Box<Answer>),
    /// The peer did not take the request.
    NotTaken(NotTaken),
    /// The peer sent the request to a target, which did not answer or turned it away.
    Failed(Refusal),
    /// The peer refused the request for reasons that hold at all gateways.
    Refused(Refusal),
}

/// Why a peer did not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotTaken {
    /// It can't be reached, or serves no other gateways.
    Unreachable,
    /// It refused the request for its own reasons.
    Refused(Refusal),
    /// It would send the request to targets of any version.
    EarlierBuild,
    /// The request's deadline passed.
    TooLate,
}

impl PeerConnections {
    fn take(&self, peer: SocketAddr, reuse: Reuse) -> Option<OpenConnection> {
        let mut pool = lock(&self.0);
        let idle = pool.get_mut(&peer)?;
        idle.retain(|idle| idle.opened.sender.is_ready() && idle.since.elapsed() < KEEP_IDLE);
        let newest = idle.pop_if(|newest| reuse.allows(newest.since.elapsed()))?;
        Some(newest.opened)
    }
}

impl PeerConnection {
    /// Address of the peer.
    pub(in crate::gateway) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Keeps the connection for later requests. To be called when the answer has been read to its end.
    pub(in crate::gateway) fn keep(self) {
        if self.opened.sender.is_closed() {
            return;
        }
        let mut pool = lock(&self.pool.0);
        let idle = pool.entry(self.peer).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { opened: self.opened, since: Instant::now() });
        }
    }
}

impl Gateway {
    /// Whether any peer sends requests on behalf of this gateway.
    pub(in crate::gateway) fn has_relay_peers(&self) -> bool {
        self.uses(Mechanism::ViaPeer) && !lock(&self.peer_selection).is_empty()
    }
}

/// Offers the request to one peer after the other until one takes it.
pub(in crate::gateway) async fn offer(gateway: &Arc<Gateway>, state: &mut RequestState) -> Offered {
    let hall = &gateway.settings.data_hall;
    let (now, service) = (gateway.now(), state.service.clone());
    let peers = lock(&gateway.peer_selection).order(now, &service, hall, rand::random);
    state.counted_under = None;
    for (offers, peer) in peers.into_iter().enumerate() {
        let began = Instant::now();
        state.attempt_under_way = true;
        let result = offer_to(gateway, state, peer, None).await;
        state.attempt_under_way = false;
        log_result(gateway, state, peer, offers, began, &result);
        match result {
            PeerResult::Answered(answer) => {
                state.count_arrival();
                return Offered::Answered(answer);
            }
            PeerResult::Failed(refusal) => {
                state.count_arrival();
                return Offered::Failed(FailedAttempt::via_peer(refusal));
            }
            PeerResult::Refused(refusal) => return Offered::Refused(refusal),
            PeerResult::NotTaken(NotTaken::TooLate) => return Offered::NotTaken,
            PeerResult::NotTaken(NotTaken::EarlierBuild | NotTaken::Unreachable) => {}
            PeerResult::NotTaken(NotTaken::Refused(_)) => {
                lock(&gateway.peer_selection).note_refused(gateway.now(), peer, &service);
            }
        }
    }
    Offered::NotTaken
}

/// Offers the request to a peer that dispatches to the target.
pub(in crate::gateway) async fn offer_for(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    peer: SocketAddr,
    target: &Target,
) -> DispatchOutcome {
    let began = Instant::now();
    state.counted_under = None;
    state.attempt_under_way = true;
    let result = offer_to(gateway, state, peer, Some(target)).await;
    state.attempt_under_way = false;
    log_result(gateway, state, peer, state.full.len(), began, &result);
    let (now, service) = (gateway.now(), &state.service);
    match result {
        PeerResult::Answered(answer) => {
            state.count_arrival();
            DispatchOutcome::Answered(answer)
        }
        PeerResult::Failed(refusal) => {
            state.count_arrival();
            DispatchOutcome::Failed(FailedAttempt::via_peer(refusal))
        }
        PeerResult::NotTaken(NotTaken::Unreachable) => DispatchOutcome::NoDispatcher,
        PeerResult::NotTaken(_) => {
            lock(&gateway.peer_selection).note_refused(now, peer, service);
            DispatchOutcome::NoDispatcher
        }
        PeerResult::Refused(_) => DispatchOutcome::NoRoom,
    }
}

/// Offers the request to one peer; `only`: to be sent to that target, to which the peer dispatches.
async fn offer_to(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    peer: SocketAddr,
    only: Option<&Target>,
) -> PeerResult {
    let mut reuse = state.outgoing.reuse;
    loop {
        let connecting = connect(gateway, peer, reuse);
        let deadline = state.outgoing.deadline;
        let mut connection = match gateway.run_clock.before(deadline, connecting).await {
            Some(Some(connection)) => connection,
            Some(None) => return PeerResult::NotTaken(NotTaken::Unreachable),
            None => return PeerResult::NotTaken(NotTaken::TooLate),
        };
        if Instant::now() >= deadline {
            return PeerResult::NotTaken(NotTaken::TooLate);
        }
        let opened = &connection.opened;
        let earlier_build = (state.pin != VersionPin::Free && !opened.keeps_software)
            || (only.is_some() && !opened.dispatches);
        if earlier_build {
            connection.keep();
            return PeerResult::NotTaken(NotTaken::EarlierBuild);
        }
        let request = to_peer(gateway, state, only);
        connection.opened.fruitless.reset();
        let mut sending = pin!(connection.opened.sender.try_send_request(request));
        let timeout = stall::answer_timeout(&state.route);
        let answered = match gateway.run_clock.within(timeout, deadline, &mut sending).await {
            None if may_try_another(gateway, state) => {
                return PeerResult::Failed(Refusal::AnswerLate);
            }
            None => gateway.run_clock.before(deadline, sending).await,
            answered => answered,
        };
        match answered {
            Some(Ok(response)) => {
                return read_answer(gateway, state, connection, response).await;
            }
            Some(Err(mut error)) => {
                // The request is returned only if no byte of it was written.
                if error.take_message().is_none() {
                    return PeerResult::Failed(Refusal::AnswerLost);
                }
                reuse = Reuse::Never;
            }
            None => return PeerResult::Failed(Refusal::AnswerLate),
        }
    }
}

/// Whether the request may be sent to another target while this attempt gets no answer.
fn may_try_another(gateway: &Gateway, state: &RequestState) -> bool {
    state.route.kind.idempotent()
        && gateway.uses(Mechanism::Silence)
        && gateway.may_spend_retry_after_current(state)
}

/// Takes an idle connection to the peer, or opens one and makes sure that it serves other gateways. If that fails, the
/// peer counts as unreachable for a while.
async fn connect(gateway: &Arc<Gateway>, peer: SocketAddr, reuse: Reuse) -> Option<PeerConnection> {
    let pool = gateway.peer_connections.clone();
    if let Some(opened) = pool.take(peer, reuse) {
        return Some(PeerConnection { peer, opened, pool });
    }
    let opening = open(gateway.settings.source, peer);
    let mut opening = tokio::spawn(tokio::time::timeout(MAX_CONNECT_TIME, opening));
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, &mut opening).await;
    if let Ok(Ok(Ok(Some(opened)))) = opened {
        return Some(PeerConnection { peer, opened, pool });
    }
    lock(&gateway.peer_selection).note_unreachable(gateway.now(), peer);
    if opened.is_err() {
        tokio::spawn(note_late_connection(gateway.clone(), peer, opening));
    }
    None
}

/// Waits for a connection that no request waits for any more. If it is opened after all, the peer was only slow.
async fn note_late_connection(gateway: Arc<Gateway>, peer: SocketAddr, opening: Opening) {
    if let Ok(Ok(Some(opened))) = opening.await {
        lock(&gateway.peer_selection).note_reachable(peer);
        let pool = gateway.peer_connections.clone();
        PeerConnection { peer, opened, pool }.keep();
    }
}

async fn open(source: Option<IpAddr>, peer: SocketAddr) -> Option<OpenConnection> {
    let stream = connect_from(source, peer).await.ok()?;
    set_tcp_timeouts(&stream, ACK_TIMEOUT).ok()?;
    let fruitless = Arc::<FruitlessBytes>::default();
    let stream = TargetStream::new(stream, fruitless.clone());
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    let mut greeting = Request::new(Full::default());
    *greeting.uri_mut() = http::Uri::from_static(GREETING_PATH);
    greeting.headers_mut().insert(HOST, HeaderValue::from_static("peer"));
    let answer = sender.send_request(greeting).await.ok()?;
    if answer.status() != StatusCode::NO_CONTENT {
        return None;
    }
    let keeps_software = answer.headers().contains_key(header::KEEPS_SOFTWARE);
    let dispatches = answer.headers().contains_key(header::DISPATCHES);
    sender.ready().await.ok()?;
    Some(OpenConnection { sender, fruitless, keeps_software, dispatches })
}

/// Builds the request for a peer.
fn to_peer(gateway: &Gateway, state: &RequestState, only: Option<&Target>) -> Request<Full<Bytes>> {
    let mut request = state.outgoing.to_peer(gateway.header_names());
    let headers = request.headers_mut();
    headers.insert(header::VERSION, HeaderValue::from(state.version));
    let tried: Vec<String> = state.tried.iter().map(|key| encode_key(*key)).collect();
    for (name, value) in
        [(header::SERVICE, state.service.clone()), (header::TRIED, tried.join(","))]
    {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    if let Some(target) = only
        && let Ok(key) = HeaderValue::from_str(&encode_key(target.key))
    {
        headers.insert(header::ONLY_TARGET, key);
    }
    if let VersionPin::Only(version) = state.pin
        && let Ok(version) = HeaderValue::from_str(&format!("{version:x}"))
    {
        headers.insert(header::ONLY_SOFTWARE, version);
    }
    request
}

/// Takes the head of a peer's answer: that of a target, or a refusal of the peer itself.
async fn read_answer(
    gateway: &Gateway,
    state: &mut RequestState,
    connection: PeerConnection,
    response: Response<Incoming>,
) -> PeerResult {
    let (mut head, body) = response.into_parts();
    if let Some(key) = decode_key(text(head.headers.remove(header::TARGET).as_ref())) {
        state.tried.push(key);
    }
    let version = VersionKey::from_hex(text(head.headers.remove(header::SOFTWARE).as_ref()));
    if let Some(code) = head.headers.remove(header::REFUSAL) {
        if Limited::new(body, MAX_REFUSAL_BYTES).collect().await.is_ok() {
            connection.keep();
        }
        return read_refusal(state, text(Some(&code)), &head.headers);
    }
    match verify(&head, &state.outgoing.id, gateway.header_names()) {
        Ok(()) => {}
        Err(AttemptError::NotRun) => return PeerResult::Failed(Refusal::NotRun),
        Err(_) => return PeerResult::Failed(Refusal::WrongAnswer),
    }
    gateway.record_relayed_report(&state.service, head.status, &head.headers);
    let body = TargetBody::new(body, connection.opened.fruitless.clone());
    let source = Source::Peer { connection, version };
    let (status, headers) = (head.status, head.headers);
    PeerResult::Answered(Box::new(Answer { source, status, headers, body }))
}

fn read_refusal(state: &mut RequestState, code: &str, headers: &HeaderMap) -> PeerResult {
    // A code of a later build says nothing about whether the request ran.
    let refusal = Refusal::from_code(code).unwrap_or(Refusal::AnswerLost);
    if concerns_peer_only(refusal) {
        return PeerResult::NotTaken(NotTaken::Refused(refusal));
    }
    if refusal.may_have_run() || refusal == Refusal::NotRun {
        return PeerResult::Failed(refusal);
    }
    let seconds = text(headers.get(RETRY_AFTER)).parse().ok();
    state.retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    PeerResult::Refused(refusal)
}

/// Logs and counts what became of an offer.
fn log_result(
    gateway: &Gateway,
    state: &RequestState,
    peer: SocketAddr,
    offers: usize,
    began: Instant,
    result: &PeerResult,
) {
    let (outcome, reason) = match result {
        PeerResult::Answered(answer) => ("answered", answer.status.as_str().to_owned()),
        PeerResult::NotTaken(why) => ("not_taken", format!("{why:?}")),
        PeerResult::Failed(refusal) => ("failed", refusal.code().to_owned()),
        PeerResult::Refused(refusal) => ("refused", refusal.code().to_owned()),
    };
    gateway.metrics.offered_to_peer(&state.service, outcome);
    let Some(stands_for) = lock(&gateway.offer_sampler).sample(gateway.now()) else {
        return;
    };
    info!(gateway.log, "request offered to a peer gateway"; "event" => "via_peer",
        "id" => text(Some(&state.outgoing.id)), "peer" => %peer, "outcome" => outcome,
        "why" => reason, "offers_before" => offers, "service" => &state.service,
        "route" => &state.route.name, "unreachable" => ?gateway.cut_off(&state.service),
        "connect_cost" => state.connect_cost, "sends" => state.sends, "version" => state.version,
        "took_ms" => millis_since(began), "stands_for" => stands_for);
}
