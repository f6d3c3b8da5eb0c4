//! Connections to targets: made, kept for a while, and used for one request at a time.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;

use super::metrics::GatewayMetrics;
use super::reuse::Reuse;
use super::target::Target;
use crate::clock::Instant;
use crate::link::{connect_from, give_up_after};
use crate::sync::lock;

/// How long a target is taken to keep an idle connection when it does not say.
const KEPT_BY_DEFAULT: Duration = Duration::from_secs(4);
/// Longest time that a connection is kept, whatever its target says.
const LONGEST_KEPT: Duration = Duration::from_secs(3_600);
/// Part of the stated time for which a connection is used again.
const KEPT_PART: f64 = 0.6;
/// Longest wait for a kept connection to become ready again.
const READY_WITHIN: Duration = Duration::from_millis(5);
/// Idle connections kept for one target.
const MAX_IDLE: usize = 64;

/// No connection could be made; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ConnectError {
    /// Nobody answered in time.
    #[error("no connection in time")]
    Timeout,
    /// Nobody listens at the target's address.
    #[error("connection refused")]
    Refused,
    /// The connection broke at once, or could not be made for another reason.
    #[error("the connection broke at once")]
    Broke,
    /// This gateway has as many connections to the target as it may.
    #[error("too many connections")]
    TooMany,
    /// Word came meanwhile that the target is to be sent nothing more.
    #[error("the target is to be sent nothing more")]
    NotWanted,
    /// The request's time was over first.
    #[error("the request's time is over")]
    TooLate,
}

/// An idle connection.
pub(super) struct IdleConnection {
    connection: Connection,
    since: Instant,
    keep_for: Duration,
}

/// An open connection to a target; closes when dropped.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    target: Arc<Target>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.target.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Limits on connections to a target.
#[derive(Clone, Copy)]
pub(super) struct ConnectionLimits<'a> {
    /// Address to connect from, where one is set.
    pub(super) source: Option<IpAddr>,
    /// Longest time to connect.
    pub(super) connect: Duration,
    /// Longest time that sent bytes stay unacknowledged.
    pub(super) unacknowledged: Duration,
    /// Most connections of this gateway to the target.
    pub(super) most: u32,
    /// Where connections are counted.
    pub(super) metrics: &'a GatewayMetrics,
}

/// A kept connection, or a new one.
pub(super) async fn connect(
    target: &Arc<Target>,
    reuse: Reuse,
    limits: ConnectionLimits<'_>,
) -> Result<Connection, ConnectError> {
    while let Some(mut idle) = take_idle(target, reuse) {
        let ready = tokio::time::timeout(READY_WITHIN, idle.connection.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            return Ok(idle.connection);
        }
    }
    open(target, limits).await
}

/// What a new connection tells of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// Nobody listens at its address: it has ended.
    Ended,
    /// It takes connections.
    Lives,
    /// Neither can be told.
    Unknown,
}

/// Looks whether a target still takes connections. One that it takes is kept for a later request.
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
    if target.connections.load(Ordering::Relaxed) >= limits.most && !drop_one_idle(target) {
        limits.metrics.connected(Err(ConnectError::TooMany), Duration::ZERO);
        return Err(ConnectError::TooMany);
    }
    target.connections.fetch_add(1, Ordering::Relaxed);
    let began = Instant::now();
    let opened = open_counted(target, limits).await;
    let outcome = opened.as_ref().map(|_| ()).map_err(|error| *error);
    limits.metrics.connected(outcome, began.elapsed());
    if opened.is_err() {
        target.connections.fetch_sub(1, Ordering::Relaxed);
    }
    opened
}

/// Closes the connection that has been idle the longest, to make room for a new one.
fn drop_one_idle(target: &Arc<Target>) -> bool {
    let mut idle = lock(&target.idle);
    if idle.is_empty() {
        return false;
    }
    drop(idle.remove(0));
    true
}

async fn open_counted(
    target: &Arc<Target>,
    limits: ConnectionLimits<'_>,
) -> Result<Connection, ConnectError> {
    let connecting = connect_from(limits.source, target.announcement.addr);
    let connected = tokio::time::timeout(limits.connect, connecting).await;
    let stream = connected.map_err(|_| ConnectError::Timeout)?;
    let stream = stream.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => ConnectError::Refused,
        _ => ConnectError::Broke,
    })?;
    give_up_after(&stream, limits.unacknowledged).map_err(|_| ConnectError::Broke)?;
    let (sender, driver) =
        handshake(TokioIo::new(stream)).await.map_err(|_| ConnectError::Broke)?;
    tokio::spawn(driver);
    Ok(Connection { sender, target: target.clone() })
}

impl Connection {
    /// Keeps the connection for a later request, if the answer's head allows it.
    pub(super) fn keep(self, answer: &HeaderMap) {
        if self.sender.is_closed() || closes(answer) || !self.target.in_service() {
            return;
        }
        let stated = stated_keep(answer).unwrap_or(KEPT_BY_DEFAULT);
        let keep_for = stated.min(LONGEST_KEPT).mul_f64(KEPT_PART);
        let target = self.target.clone();
        let mut idle = lock(&target.idle);
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { connection: self, since: Instant::now(), keep_for });
        }
    }
}

fn closes(answer: &HeaderMap) -> bool {
    let values = answer.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// How long the target says that it keeps an idle connection.
fn stated_keep(answer: &HeaderMap) -> Option<Duration> {
    let value = answer.get("keep-alive")?.to_str().ok()?;
    let mut words = value.split(',').map(str::trim);
    let seconds = words.find_map(|word| word.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
