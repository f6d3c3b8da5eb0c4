//! The peer: takes requests from gateways that can't reach their targets, and makes one attempt at a target for each.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, HeaderValue};
use http::request::Parts;
use http::{HeaderName, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpStream;

use super::{GREETING_PATH, decode_key, encode_key, header};
use crate::clock::Instant;
use crate::configuration::Route;
use crate::gateway::answer::{AnswerBody, refuse};
use crate::gateway::dispatch::Sending;
use crate::gateway::exchange::{self, Origin, RequestState, ServedBy};
use crate::gateway::listener;
use crate::gateway::mechanism::Mechanism;
use crate::gateway::outgoing::Outgoing;
use crate::gateway::refusal::{Refusal, RetryHints};
use crate::gateway::trace::{self, text};
use crate::gateway::version_pin::VersionPin;
use crate::gateway::{Gateway, Stage};
use crate::group::stream_origins::VersionKey;
use crate::link::set_tcp_timeouts;
use crate::route_table::{Caller, RouteTable};
use crate::serving::buffers::ClientBuffer;

/// Longest time for which bytes sent to the other gateway may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the configuration by which the other gateway routed a request: gateways apply a new one within some
/// hundred milliseconds of each other.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);

/// Serves a connection of another gateway.
pub(in crate::gateway) async fn serve(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    client_buffer: Arc<ClientBuffer>,
) {
    if set_tcp_timeouts(&stream, ACK_TIMEOUT).is_err() {
        return;
    }
    let answer = |request| {
        let (gateway, client_buffer) = (gateway.clone(), client_buffer.clone());
        async move { answer(&gateway, &client_buffer, request).await }
    };
    listener::serve_http(&gateway, stream, &client_buffer, answer).await;
}

async fn answer(
    gateway: &Arc<Gateway>,
    client_buffer: &Arc<ClientBuffer>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if !gateway.uses(Mechanism::ViaPeer) {
        return empty(StatusCode::NOT_FOUND);
    }
    if request.uri().path() == GREETING_PATH {
        let mut answer = empty(StatusCode::NO_CONTENT);
        let supported = [header::KEEPS_SOFTWARE, header::DISPATCHES];
        let yes = HeaderValue::from_static("1");
        answer.headers_mut().extend(supported.map(|name| (name, yes.clone())));
        return answer;
    }
    let _open = gateway.open_request();
    let (head, body) = request.into_parts();
    let mut response = match prepare(gateway, client_buffer, &head, body).await {
        Ok(state) => exchange::run(gateway, state).await,
        Err(refusal) => {
            let id = text(head.headers.get(&gateway.header_names().request_id));
            trace::refused(gateway, id, text(head.headers.get(HOST)), head.uri.path(), refusal);
            refuse(refusal, RetryHints::default())
        }
    };
    let outcome = response.extensions().get::<Refusal>().copied();
    gateway.metrics.served_for_peer(outcome.map_or("answered", Refusal::code));
    if let Some(refusal) = outcome {
        response.headers_mut().insert(header::REFUSAL, HeaderValue::from_static(refusal.code()));
    }
    let target = response.extensions().get::<ServedBy>().copied();
    if let Some(ServedBy { key, version }) = target {
        let version = version.map(|version| format!("{version:x}"));
        let named = [(header::TARGET, Some(encode_key(key))), (header::SOFTWARE, version)];
        for (name, value) in named {
            if let Some(Ok(value)) = value.as_deref().map(HeaderValue::from_str) {
                response.headers_mut().insert(name, value);
            }
        }
    }
    exchange::close_if_leaving(gateway, &mut response);
    response
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Buffered(None));
    *response.status_mut() = status;
    response
}

/// Reads a request that another gateway has already checked and routed.
async fn prepare(
    gateway: &Arc<Gateway>,
    client_buffer: &Arc<ClientBuffer>,
    head: &Parts,
    body: Incoming,
) -> Result<RequestState, Refusal> {
    let arrived = Instant::now();
    if gateway.stage() >= Stage::Closed {
        return Err(Refusal::Stopping);
    }
    let names = gateway.header_names();
    let version = number(head, &header::VERSION)?;
    let left = Duration::from_millis(number(head, &names.deadline_ms)?);
    let id = head.headers.get(&names.request_id).ok_or(Refusal::BadRequest)?.clone();
    let table = table_of(gateway, version).await?;
    let (route, service) = route_of(&table, head)?;
    if gateway.cut_off(&service).is_some() {
        return Err(Refusal::CutOff);
    }
    let deadline = arrived + left.min(route.timeout);
    let caller = caller(&table, text(head.headers.get(&names.team)))?;
    let max_bytes = table.limits().max_body_bytes;
    let body: Bytes =
        exchange::read_body(gateway, client_buffer, body, max_bytes, deadline).await?;
    let affinity = gateway.affinity(&route, &head.headers);
    let outgoing =
        Outgoing::from_peer(names, head, &header::OF_REQUESTS, body, &route, id, deadline);
    let origin = Origin::Peer { tried: tried(text(head.headers.get(header::TRIED))) };
    let mut state =
        RequestState::new(gateway, client_buffer, route, service, outgoing, affinity, arrived);
    state.pin = pin(head)?;
    if let Some(key) = decode_key(text(head.headers.get(header::ONLY_TARGET))) {
        state.sending = Sending::Dispatching(key);
    }
    Ok(state.routed(&caller, table.version(), origin))
}

/// The configuration in force, which must not be older than the one by which the request was routed.
async fn table_of(gateway: &Gateway, version: u64) -> Result<Arc<RouteTable>, Refusal> {
    let mut tables = gateway.table.subscribe();
    let new_enough = |table: &Option<Arc<RouteTable>>| {
        table.as_ref().is_some_and(|table| table.version() >= version)
    };
    let waiting = tokio::time::timeout(CONFIGURATION_WAIT, tables.wait_for(new_enough));
    let table = waiting.await.map_err(|_| Refusal::Stale)?;
    table.ok().and_then(|table| table.clone()).ok_or(Refusal::NoConfiguration)
}

/// The route of a request, and the service that the other gateway drew, which must be one of the route's.
fn route_of(table: &RouteTable, head: &Parts) -> Result<(Arc<Route>, String), Refusal> {
    let host = text(head.headers.get(HOST));
    let route = table.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    let service = text(head.headers.get(header::SERVICE));
    let known = route.services.iter().any(|weighted| weighted.service == service);
    known.then(|| (route.clone(), service.to_owned())).ok_or(Refusal::NoRoute)
}

/// The team that the other gateway found by the client's key.
fn caller(table: &RouteTable, team: &str) -> Result<Caller, Refusal> {
    if team.is_empty() {
        return Ok(Caller::Anyone);
    }
    table.team(team).map(|team| Caller::Team(team.clone())).ok_or(Refusal::UnknownKey)
}

/// The value of a header that must be a number.
fn number(head: &Parts, name: &HeaderName) -> Result<u64, Refusal> {
    text(head.headers.get(name)).parse().map_err(|_| Refusal::BadRequest)
}

/// The versions at which the other gateway lets the request run.
fn pin(head: &Parts) -> Result<VersionPin, Refusal> {
    let Some(only) = head.headers.get(header::ONLY_SOFTWARE) else {
        return Ok(VersionPin::Free);
    };
    VersionKey::from_hex(text(Some(only))).map(VersionPin::Only).ok_or(Refusal::BadRequest)
}

fn tried(keys: &str) -> Vec<u64> {
    keys.split(',').filter_map(decode_key).collect()
}
