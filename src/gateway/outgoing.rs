//! A request as it goes out: what of a client's head reaches a target, and what this gateway adds.

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

/// Most urgent rank is 0; routes have three ranks within each of a team.
const RANKS_OF_A_TEAM: u32 = 3;
/// Least urgent rank.
const LAST_RANK: u32 = 9;

/// Headers that concern one connection only, besides those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    TRANSFER_ENCODING,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
];

/// A request as it goes out, whatever the target.
pub(super) struct Outgoing {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(super) id: HeaderValue,
    /// When the client or the route gives the request up.
    pub(super) deadline: Instant,
    pub(super) reuse: Reuse,
}

impl Outgoing {
    /// Takes a client's request, whose body has been read.
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
        let path = head.uri.path_and_query();
        Outgoing {
            method: head.method.clone(),
            uri: path.map_or_else(Uri::default, |path| path.clone().into()),
            headers,
            body,
            id,
            deadline,
            reuse: if route.kind.idempotent() { Reuse::Any } else { Reuse::UsedLately },
        }
    }

    /// Length of the body, in bytes.
    pub(super) fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// What identifies the request of this team across its tries.
    pub(super) fn identity<'a>(&'a self, team: Option<&'a str>) -> Identity<'a> {
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        Identity { team, host: text(self.headers.get(HOST)), path, body: &self.body }
    }

    /// Has the next target go on with a stream after the event `last`.
    pub(super) fn resume_after(&mut self, names: &Headers, last: HeaderValue) {
        self.headers.insert(names.last_event_id.clone(), last);
    }

    /// The request to one target, which may fetch what it lacks of the prompt from another.
    pub(super) fn to_target(
        &self,
        target: &Target,
        fetch_from: Option<SocketAddr>,
        names: &Headers,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = left.as_millis().max(1) as u64;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left));
        if let Ok(id) = HeaderValue::from_str(&target.announcement.id) {
            headers.insert(names.expect_target.clone(), id);
        }
        if let Some(Ok(addr)) = fetch_from.map(|addr| HeaderValue::from_str(&addr.to_string())) {
            headers.insert(names.fetch_from.clone(), addr);
        }
        request
    }
}

/// Rank of a request, 0 first: that of its team, and within the team that of its route.
fn rank(caller: &Caller, route: &Route) -> u32 {
    let rank = match caller {
        Caller::Team(team) => team
            .priority
            .saturating_mul(RANKS_OF_A_TEAM)
            .saturating_add(route.priority.min(RANKS_OF_A_TEAM - 1)),
        _ => route.priority,
    };
    rank.min(LAST_RANK)
}

/// What of a client's headers is passed on to a target: all but those that concern one connection,
/// and those that only gateways set.
pub fn forwarded_headers(client: &HeaderMap, names: &Headers) -> HeaderMap {
    let mut headers = client.clone();
    strip_hop_by_hop(&mut headers);
    for name in names.set_by_routers().chain([&EXPECT, &CONTENT_LENGTH]) {
        headers.remove(name);
    }
    headers
}

/// Removes the headers that concern one connection only.
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
