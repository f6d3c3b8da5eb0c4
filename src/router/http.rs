//! The callers' side: routes, handlers and limits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use salvo::conn::Acceptor;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use salvo::http::{ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Server, async_trait};
use slog::debug;
use subtle::ConstantTimeEq;
use tokio::net::TcpSocket;

use super::admission::Work;
use super::answer::Refusal;
use super::claim::{KEY_HEADER, STORED_STATUS};
use super::metrics::Metrics;
use super::{Shared, lock};
use crate::claims::RequestKey;
use crate::reason::Reason;

/// Largest set of headers, in bytes.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Longest time for a caller to send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at `addr`; pieces of a stream leave at once, without waiting for an acknowledgement.
pub(super) fn listen(addr: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections take this over from the listening socket.
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)?.try_into()
}

/// The server with its limits on connections, headers and slow callers.
pub(super) fn server<A: Acceptor>(shared: &Arc<Shared>, acceptor: A) -> Server<A> {
    let mut server =
        Server::new(acceptor).max_connections(shared.settings.max_connections).disable_fuse();
    server.http1_mut().max_buf_size(MAX_HEADER_BYTES).header_read_timeout(HEADER_TIMEOUT);
    server
}

/// The routes.
pub(super) fn routes(shared: &Arc<Shared>) -> salvo::Router {
    let handler = |call| Endpoint { shared: shared.clone(), call };
    salvo::Router::new()
        .push(salvo::Router::with_path("healthz").get(handler(Call::Health)))
        .push(salvo::Router::with_path("internal/answers/{key}").get(handler(Call::Answer)))
        .push(salvo::Router::with_path("metrics").get(handler(Call::Metrics)))
        .push(salvo::Router::with_path("v1/chat/completions").post(handler(Call::Chat)))
        .push(salvo::Router::with_path("services/{name}/{**path}").goal(handler(Call::Service)))
}

enum Call {
    Health,
    Metrics,
    Chat,
    Service,
    Answer,
}

struct Endpoint {
    shared: Arc<Shared>,
    call: Call,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.call {
            Call::Health => self.health(res),
            Call::Metrics => self.metrics(res),
            Call::Answer => self.stored_answer(req, res),
            Call::Chat => {
                let work = self.shared.admit_chat(req).await;
                self.answer(work, res).await;
            }
            Call::Service => {
                let name = req.param::<String>("name").unwrap_or_default();
                let path = service_path(req);
                let work = self.shared.admit_service(req, name, path).await;
                self.answer(work, res).await;
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
            Err(reason) => Refusal::plain(reason).write(res),
        }
    }

    fn metrics(&self, res: &mut Response) {
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(CONTENT_TYPE, text);
        res.body(ResBody::Once(self.shared.render_metrics().into()));
    }

    /// The stored answer of a claimed request, for another router of the partner.
    fn stored_answer(&self, req: &Request, res: &mut Response) {
        let shown = req.headers().get(KEY_HEADER).map_or(&[][..], HeaderValue::as_bytes);
        let trusted: bool = shown.ct_eq(self.shared.key.as_bytes()).into();
        let key = req.param::<String>("key").unwrap_or_default();
        let key = u128::from_str_radix(&key, 16).ok().filter(|_| trusted);
        let answer = key.and_then(|key| lock(&self.shared.answers).get(RequestKey(key)));
        let Some(mut answer) = answer else {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        };
        res.headers_mut().insert(STORED_STATUS, HeaderValue::from(answer.status));
        answer.status = StatusCode::OK.as_u16();
        answer.write(res);
    }

    async fn answer(&self, work: Result<Work, Refusal>, res: &mut Response) {
        let answered = match work {
            Ok(work) => {
                let guard = InFlight::new(self.shared.clone(), &work);
                self.shared.forward(work, guard, res).await
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
            // The caller's next request is to open a connection elsewhere.
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

/// Counts a request as in flight until its answer has ended.
pub(super) struct InFlight {
    shared: Arc<Shared>,
    team: String,
}

impl InFlight {
    fn new(shared: Arc<Shared>, work: &Work) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        shared.admitted.fetch_add(1, Ordering::Relaxed);
        let metrics: &Metrics = &shared.metrics;
        metrics.requests.with_label_values(&[work.kind.label()]).inc();
        metrics.in_flight_team.with_label_values(&[&work.team]).inc();
        let team = work.team.clone();
        InFlight { shared, team }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count: &AtomicUsize = &self.shared.in_flight;
        count.fetch_sub(1, Ordering::AcqRel);
        let teams = &self.shared.metrics.in_flight_team;
        teams.with_label_values(&[&self.team]).dec();
    }
}
