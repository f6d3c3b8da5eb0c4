//! HTTP server for clients and other routers: routes, handlers and limits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::uri::Scheme;
use hyper::body::Incoming;
use hyper::service::Service as _;
use hyper_util::rt::TokioTimer;
use salvo::conn::ConnCtrl;
use salvo::http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use salvo::http::{ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Service, async_trait};
use slog::debug;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::admission::AdmittedRequest;
use super::claim::{PARTNER_KEY_HEADER, STORED_STATUS_HEADER};
use super::metrics::Metrics;
use super::refusal::Refusal;
use super::{Shared, lock};
use crate::claims::RequestKey;
use crate::reason::Reason;
use crate::serving::buffers::ClientBuffer;
use crate::serving::http::{self as http_connection, HttpLimits};

/// Maximum size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Time within which a client must send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Listens at `addr` with `TCP_NODELAY`, so that events of a stream are sent without waiting for acknowledgements.
pub(super) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit this option from the listening socket.
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Accepts and serves connections until `stop` becomes true, then waits until all of them are closed: idle ones at
/// once, others after their answer.
pub(super) async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    routes: salvo::Router,
    mut stop: watch::Receiver<bool>,
) {
    let service = Arc::new(Service::new(routes));
    let mut connections = JoinSet::new();
    loop {
        let (stream, client) = tokio::select! {
            accepted = shared.client_buffers.accept(&listener) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while connections.try_join_next().is_some() {}
        connections.spawn(serve_connection(service.clone(), stream, client, stop.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    service: Arc<Service>,
    stream: TcpStream,
    client: Arc<ClientBuffer>,
    mut stop: watch::Receiver<bool>,
) {
    let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else {
        return;
    };
    let control = ConnCtrl::new();
    let handler =
        service.hyper_handler(local.into(), remote.into(), Scheme::HTTP, None, control, None);
    let limits = HttpLimits {
        timer: TokioTimer::new(),
        idle_timeout: HEADER_TIMEOUT,
        max_head_bytes: MAX_HEADER_BYTES,
    };
    let answer = |mut request: http::Request<Incoming>| {
        request.extensions_mut().insert(client.clone());
        let answering = handler.call(request);
        async move { answering.await.unwrap_or_else(|_| unanswered()) }
    };
    let stop = async move {
        let _ = stop.wait_for(|stop| *stop).await;
    };
    http_connection::serve(stream, &client, limits, stop, answer).await;
}

/// The answer to a request whose handler failed.
fn unanswered() -> http::Response<ResBody> {
    let mut response = http::Response::new(ResBody::None);
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// The routes of the router's HTTP interface.
pub(super) fn routes(shared: &Arc<Shared>) -> salvo::Router {
    let handler = |route| Endpoint { shared: shared.clone(), route };
    salvo::Router::new()
        .push(salvo::Router::with_path("healthz").get(handler(Route::Health)))
        .push(salvo::Router::with_path("internal/answers/{key}").get(handler(Route::StoredAnswer)))
        .push(salvo::Router::with_path("metrics").get(handler(Route::Metrics)))
        .push(salvo::Router::with_path("v1/chat/completions").post(handler(Route::Chat)))
        .push(salvo::Router::with_path("services/{name}/{**path}").goal(handler(Route::Service)))
}

enum Route {
    Health,
    Metrics,
    Chat,
    Service,
    StoredAnswer,
}

struct Endpoint {
    shared: Arc<Shared>,
    route: Route,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.route {
            Route::Health => self.health(res),
            Route::Metrics => self.metrics(res),
            Route::StoredAnswer => self.stored_answer(req, res),
            Route::Chat => {
                let admitted = self.shared.admit_chat(req).await;
                self.respond(admitted, res).await;
            }
            Route::Service => {
                let name = req.param::<String>("name").unwrap_or_default();
                let path = service_path(req);
                let admitted = self.shared.admit_service(req, name, path).await;
                self.respond(admitted, res).await;
            }
        }
    }
}

impl Endpoint {
    fn health(&self, res: &mut Response) {
        match self.shared.health() {
            Ok(()) => {
                res.body(ResBody::Once("ok\n".into()));
            }
            Err(reason) => Refusal::from_reason(reason).write(res),
        }
    }

    fn metrics(&self, res: &mut Response) {
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(CONTENT_TYPE, text);
        res.body(ResBody::Once(self.shared.render_metrics().into()));
    }

    /// Returns the stored answer of a claimed request to another router of the partner, which shows the secret key.
    /// Answers 404 if the key is wrong or no answer is stored.
    fn stored_answer(&self, req: &Request, res: &mut Response) {
        let presented =
            req.headers().get(PARTNER_KEY_HEADER).map_or(&[][..], HeaderValue::as_bytes);
        let trusted: bool = presented.ct_eq(self.shared.key.as_bytes()).into();
        let key = req.param::<String>("key").unwrap_or_default();
        let key = u128::from_str_radix(&key, 16).ok().filter(|_| trusted);
        let answer = key.and_then(|key| lock(&self.shared.answer_cache).get(RequestKey(key)));
        let Some(mut answer) = answer else {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        };
        res.headers_mut().insert(STORED_STATUS_HEADER, HeaderValue::from(answer.status));
        answer.status = StatusCode::OK.as_u16();
        answer.write(res);
    }

    async fn respond(&self, admitted: Result<AdmittedRequest, Refusal>, res: &mut Response) {
        let answered = match admitted {
            Ok(request) => {
                let guard = InFlightGuard::new(self.shared.clone(), &request);
                self.shared.forward(request, guard, res).await
            }
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = answered {
            self.refuse(&refusal, res);
        }
    }

    fn refuse(&self, refusal: &Refusal, res: &mut Response) {
        let code = refusal.reason.code();
        self.shared.metrics.refused.with_label_values(&[code]).inc();
        debug!(self.shared.log, "refused"; "event" => "refused", "reason" => code);
        refusal.write(res);
        if refusal.reason == Reason::Stopping {
            // Makes the client open a new connection for its next request, which a balancer sends to another router.
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
    }
}

/// Path and query below `/services/NAME`.
fn service_path(req: &Request) -> String {
    let uri = req.uri();
    let below = uri.path().splitn(4, '/').nth(3).unwrap_or_default();
    match uri.query() {
        Some(query) => format!("/{below}?{query}"),
        None => format!("/{below}"),
    }
}

/// Counts a request as in flight until this is dropped at the end of its answer.
pub(super) struct InFlightGuard {
    shared: Arc<Shared>,
    team: String,
}

impl InFlightGuard {
    fn new(shared: Arc<Shared>, request: &AdmittedRequest) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        shared.admitted.fetch_add(1, Ordering::Relaxed);
        let metrics: &Metrics = &shared.metrics;
        metrics.requests.with_label_values(&[request.kind.label()]).inc();
        metrics.in_flight_team.with_label_values(&[&request.team]).inc();
        let team = request.team.clone();
        InFlightGuard { shared, team }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count: &AtomicUsize = &self.shared.in_flight;
        count.fetch_sub(1, Ordering::AcqRel);
        let teams = &self.shared.metrics.in_flight_team;
        teams.with_label_values(&[&self.team]).dec();
    }
}
