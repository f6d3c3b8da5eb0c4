//! The request that is sent to targets: which of the client's headers are forwarded, and which the gateway sets.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING,
};
use http::request::Parts;
use http::{HeaderName, Method, Request, Uri};
use http_body_util::Full;

use super::reuse::Reuse;
use super::target::Target;
use super::trace::text;
use crate::clock::Instant;
use crate::configuration::Route;
use crate::dialect::Headers;
use crate::poison::Identity;
use crate::route_table::Caller;

/// Ranks that the routes of one team priority share; rank 0 is the most urgent.
const RANKS_PER_TEAM_PRIORITY: u32 = 3;
/// Least urgent rank.
const MAX_RANK: u32 = 9;

/// Hop-by-hop headers, besides those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    TRANSFER_ENCODING,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
];

/// A client's request in the form in which it is sent to any target.
pub(super) struct Outgoing {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(super) id: HeaderValue,
    /// When the request expires, by the client's deadline or the route's timeout.
    pub(super) deadline: Instant,
    pub(super) reuse: Reuse,
}

impl Outgoing {
    /// Builds the request from the client's head and its body, which has been read completely.
    pub(super) fn new(
        names: &Headers,
        head: &Parts,
        body: Bytes,
        caller: &Caller,
        route: &Route,
        id: HeaderValue,
        deadline: Instant,
    ) -> Self {
        let mut headers = forwarded_headers(&head.headers, names);
        let has_body = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        if has_body {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        if let Caller::Team(team) = caller
            && let Ok(name) = HeaderValue::from_str(&team.name)
        {
            headers.insert(names.team.clone(), name);
        }
        if route.kind.streams() {
            headers.insert(names.priority.clone(), HeaderValue::from(rank(caller, route)));
        }
        Outgoing::with_headers(head, headers, body, route, id, deadline)
    }

    /// Builds the request from one that another gateway has prepared for targets, except for `from_peer`, the headers
    /// that are meant for this gateway.
    pub(super) fn from_peer(
        names: &Headers,
        head: &Parts,
        from_peer: &[HeaderName],
        body: Bytes,
        route: &Route,
        id: HeaderValue,
        deadline: Instant,
    ) -> Self {
        let mut headers = head.headers.clone();
        strip_hop_by_hop(&mut headers);
        for name in from_peer.iter().chain([&names.deadline_ms]) {
            headers.remove(name);
        }
        Outgoing::with_headers(head, headers, body, route, id, deadline)
    }

    fn with_headers(
        head: &Parts,
        headers: HeaderMap,
        body: Bytes,
        route: &Route,
        id: HeaderValue,
        deadline: Instant,
    ) -> Self {
        let path = head.uri.path_and_query();
        Outgoing {
            method: head.method.clone(),
            uri: path.map_or_else(Uri::default, |path| path.clone().into()),
            headers,
            body,
            id,
            deadline,
            reuse: reuse(route),
        }
    }

    /// Length of the body, in bytes.
    pub(super) fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// The headers that are sent to any target.
    pub(super) fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// What identifies the team's request across attempts.
    pub(super) fn identity<'a>(&'a self, team: Option<&'a str>) -> Identity<'a> {
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        Identity { team, host: text(self.headers.get(HOST)), path, body: &self.body }
    }

    /// Sets the `Last-Event-ID` header, so that the next target resumes a stream after the event `last`.
    pub(super) fn resume_after(&mut self, names: &Headers, last: HeaderValue) {
        self.headers.insert(names.last_event_id.clone(), last);
    }

    /// Builds the request for one target. `fetch_from` is another target from which it may fetch cached parts of the
    /// prompt that it lacks.
    pub(super) fn to_target(
        &self,
        target: &Target,
        fetch_from: Option<SocketAddr>,
        names: &Headers,
    ) -> Request<Full<Bytes>> {
        let mut request = self.to_peer(names);
        let headers = request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&target.announcement.id) {
            headers.insert(names.expect_target.clone(), id);
        }
        if let Some(Ok(addr)) = fetch_from.map(|addr| HeaderValue::from_str(&addr.to_string())) {
            headers.insert(names.fetch_from.clone(), addr);
        }
        request
    }

    /// Builds the request for a peer gateway, which chooses the target.
    pub(super) fn to_peer(&self, names: &Headers) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = left.as_millis().max(1) as u64;
        request.headers_mut().insert(names.deadline_ms.clone(), HeaderValue::from(left));
        request
    }
}

/// Pooled connections on which requests of a route may be sent.
fn reuse(route: &Route) -> Reuse {
    if route.kind.idempotent() { Reuse::Any } else { Reuse::RecentlyUsed }
}

/// Rank of a request, 0 being the most urgent: ordered by the team's priority, then by the route's.
fn rank(caller: &Caller, route: &Route) -> u32 {
    let rank = match caller {
        Caller::Team(team) => team
            .priority
            .saturating_mul(RANKS_PER_TEAM_PRIORITY)
            .saturating_add(route.priority.min(RANKS_PER_TEAM_PRIORITY - 1)),
        _ => route.priority,
    };
    rank.min(MAX_RANK)
}

/// The client's headers that are forwarded to a target: all except hop-by-hop headers and those that only gateways may
/// set.
pub fn forwarded_headers(client: &HeaderMap, names: &Headers) -> HeaderMap {
    let mut headers = client.clone();
    strip_hop_by_hop(&mut headers);
    for name in names.gateway_only().chain([&EXPECT, &CONTENT_LENGTH]) {
        headers.remove(name);
    }
    headers
}

/// Removes the hop-by-hop headers.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
