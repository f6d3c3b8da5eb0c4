//! HTTP/1 connections to targets, with a pool of idle connections per target.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use http::{Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;

use super::metrics::GatewayMetrics;
use super::reuse::Reuse;
use super::target::Target;
use super::target_stream::{FruitlessBytes, TargetStream};
use crate::clock::Instant;
use crate::link::{connect_from, set_tcp_timeouts};
use crate::sync::lock;

/// Keep-alive time assumed for a target whose answers do not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Upper limit on the keep-alive time that a target states.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Fraction of the target's keep-alive time during which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Longest wait for an idle connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// How long a new connection must stay open to show that the target serves it.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Maximum size of a target's report about itself, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Maximum size of a connection's read buffer, and so of the head of an answer, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum idle connections kept per target.
const MAX_IDLE: usize = 64;

/// Why no connection could be used; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ConnectError {
    /// The connect timeout expired.
    #[error("connect to target timed out")]
    Timeout,
    /// No process listens at the target's address.
    #[error("target refused the connection")]
    Refused,
    /// The connection failed for another reason, or broke right after it was opened.
    #[error("connection to target failed or broke right after it was opened")]
    Broke,
    /// This gateway has the maximum number of connections to the target.
    #[error("too many connections to target")]
    TooMany,
    /// While connecting, the gateway learned that the target takes no more requests.
    #[error("target takes no more requests")]
    NotWanted,
    /// The request's deadline passed first.
    #[error("request deadline passed before a connection was ready")]
    TooLate,
}

/// An idle connection in the pool.
pub(super) struct IdleConnection {
    connection: Connection,
    since: Instant,
    keep_for: Duration,
}

/// An open connection to a target, closed when dropped.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) opened_at: Instant,
    /// Bytes read on it without a result.
    pub(super) fruitless: Arc<FruitlessBytes>,
    slot: ConnectionSlot,
}

/// Counts a connection that is open or being opened until dropped, also where the wait for it is given up.
struct ConnectionSlot(Arc<Target>);

impl ConnectionSlot {
    fn take(target: &Arc<Target>) -> Self {
        target.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionSlot(target.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Limits on connections to a target, and the metrics that count them.
#[derive(Clone, Copy)]
pub(super) struct ConnectionLimits<'a> {
    /// Local address to connect from, if one is set.
    pub(super) source: Option<IpAddr>,
    pub(super) connect_timeout: Duration,
    /// Longest time for which sent bytes may stay unacknowledged.
    pub(super) ack_timeout: Duration,
    /// Maximum connections of this gateway to the target.
    pub(super) max_connections: u32,
    pub(super) metrics: &'a GatewayMetrics,
}

/// Takes an idle connection from the pool, or opens a new one.
pub(super) async fn connect(
    target: &Arc<Target>,
    reuse: Reuse,
    limits: ConnectionLimits<'_>,
) -> Result<Connection, ConnectError> {
    while let Some(mut idle) = take_idle(target, reuse) {
        let ready = tokio::time::timeout(READY_TIMEOUT, idle.connection.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            limits.metrics.connection_used(true);
            return Ok(idle.connection);
        }
    }
    let opened = open(target, limits).await?;
    limits.metrics.connection_used(false);
    Ok(opened)
}

/// What a new connection shows about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The connection was refused: the target's process has ended.
    Ended,
    /// The target accepts connections.
    Lives,
    /// Connecting failed in another way, which shows neither.
    Unknown,
}

/// Checks whether a target still accepts connections. The new connection is kept for a later request.
pub(super) async fn probe_target(
    target: &Arc<Target>,
    limits: ConnectionLimits<'_>,
) -> ProbeResult {
    match open(target, limits).await {
        Ok(connection) => {
            connection.keep(&HeaderMap::new());
            ProbeResult::Lives
        }
        Err(ConnectError::Refused) => ProbeResult::Ended,
        Err(_) => ProbeResult::Unknown,
    }
}

/// Asks a target for `path` on a new connection, and returns whether any answer came. Without a path it is enough that
/// the connection stays open for [`SETTLE_TIME`]. The connection is not kept: answers to such a question have no request
/// id, and a late second copy could be taken for the answer to the next request.
pub(super) async fn target_answers(
    target: &Arc<Target>,
    limits: ConnectionLimits<'_>,
    path: Option<Uri>,
) -> bool {
    let Ok(mut connection) = open(target, limits).await else {
        return false;
    };
    let Some(path) = path else {
        tokio::time::sleep(SETTLE_TIME).await;
        return !connection.sender.is_closed();
    };
    connection.sender.send_request(get(target, path)).await.is_ok()
}

/// A request of this gateway's own for a path of a target.
fn get(target: &Target, path: Uri) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path;
    if let Ok(host) = HeaderValue::from_str(&target.announcement.addr.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// What came of asking a target for its report about itself.
pub(super) enum Report {
    /// The body of the report.
    Body(Bytes),
    /// An answer that is no report: the target has none.
    Unreadable,
    /// No answer, or one that it can't report now.
    None,
}

/// Asks a target for its report about itself on a new connection, which is kept for the next request.
pub(super) async fn ask_for_report(
    target: &Arc<Target>,
    limits: ConnectionLimits<'_>,
    path: &'static str,
) -> Report {
    let Ok(mut connection) = open(target, limits).await else {
        return Report::None;
    };
    let request = get(target, Uri::from_static(path));
    let Ok(answer) = connection.sender.send_request(request).await else {
        return Report::None;
    };
    let (head, body) = answer.into_parts();
    if head.status.is_server_error() || head.status == StatusCode::TOO_MANY_REQUESTS {
        return Report::None;
    }
    let media_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let json = media_type.is_some_and(|value| value.starts_with("application/json"));
    if head.status != StatusCode::OK || !json {
        return Report::Unreadable;
    }
    let Ok(body) = Limited::new(body, MAX_REPORT_BYTES).collect().await else {
        return Report::None;
    };
    connection.keep(&head.headers);
    Report::Body(body.to_bytes())
}

fn take_idle(target: &Arc<Target>, reuse: Reuse) -> Option<IdleConnection> {
    let mut idle = lock(&target.idle);
    let now = Instant::now();
    idle.retain(|idle| !idle.connection.sender.is_closed() && now < idle.since + idle.keep_for);
    let newest = idle.pop()?;
    if !reuse.allows(now.saturating_duration_since(newest.since)) {
        idle.push(newest);
        return None;
    }
    Some(newest)
}

async fn open(
    target: &Arc<Target>,
    limits: ConnectionLimits<'_>,
) -> Result<Connection, ConnectError> {
    if target.connections.load(Ordering::Relaxed) >= limits.max_connections
        && !close_oldest_idle(target)
    {
        limits.metrics.connected(Err(ConnectError::TooMany), Duration::ZERO);
        return Err(ConnectError::TooMany);
    }
    let slot = ConnectionSlot::take(target);
    let began = Instant::now();
    let opened = open_in(slot, limits).await;
    let outcome = opened.as_ref().map(|_| ()).map_err(|error| *error);
    limits.metrics.connected(outcome, began.elapsed());
    opened
}

/// Closes the connection that was put into the pool first, to make room for a new one. Returns false if none is idle.
fn close_oldest_idle(target: &Arc<Target>) -> bool {
    let mut idle = lock(&target.idle);
    if idle.is_empty() {
        return false;
    }
    drop(idle.remove(0));
    true
}

/// Connects to the target of the slot.
async fn open_in(
    slot: ConnectionSlot,
    limits: ConnectionLimits<'_>,
) -> Result<Connection, ConnectError> {
    let connecting = connect_from(limits.source, slot.0.announcement.addr);
    let connected = tokio::time::timeout(limits.connect_timeout, connecting).await;
    let stream = connected.map_err(|_| ConnectError::Timeout)?;
    let stream = stream.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => ConnectError::Refused,
        _ => ConnectError::Broke,
    })?;
    set_tcp_timeouts(&stream, limits.ack_timeout).map_err(|_| ConnectError::Broke)?;
    let fruitless = Arc::<FruitlessBytes>::default();
    let stream = TargetStream::new(stream, fruitless.clone());
    let handshake =
        http1::Builder::new().max_buf_size(MAX_READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (sender, driver) = handshake.await.map_err(|_| ConnectError::Broke)?;
    tokio::spawn(driver);
    Ok(Connection { sender, opened_at: Instant::now(), fruitless, slot })
}

impl Connection {
    /// Puts the connection into the pool for a later request, unless the headers of the last answer or the state of the
    /// target rule that out.
    pub(super) fn keep(self, answer: &HeaderMap) {
        if self.sender.is_closed() || closes(answer) || !self.slot.0.in_service() {
            return;
        }
        let keep_alive = stated_keep_alive(answer).unwrap_or(DEFAULT_KEEP_ALIVE);
        let keep_for = keep_alive.min(MAX_KEEP_ALIVE).mul_f64(KEEP_ALIVE_FRACTION);
        let target = self.slot.0.clone();
        let mut idle = lock(&target.idle);
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { connection: self, since: Instant::now(), keep_for });
        }
    }
}

/// Whether the answer has `Connection: close`.
fn closes(answer: &HeaderMap) -> bool {
    let values = answer.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// The time-out in the answer's `Keep-Alive` header.
fn stated_keep_alive(answer: &HeaderMap) -> Option<Duration> {
    let value = answer.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
