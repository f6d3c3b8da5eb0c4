//! The gateway's listeners: for clients, for the load balancer's readiness checks, and for metrics scrapes.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::answer::AnswerBody;
use super::{Gateway, Stage, exchange};
use crate::configuration::ClientLimits;
use crate::link::set_tcp_timeouts;
use crate::run_clock::RunTimer;
use crate::serving::buffers::{ClientBuffer, ClientBuffers};
use crate::serving::http::{self as http_connection, HttpLimits};
use crate::status_server;

/// Longest time for which bytes sent to a client may stay unacknowledged.
const CLIENT_ACK_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum unsent bytes in a client socket's send buffer. Without this limit the system buffers megabytes, and the
/// gateway notices only after seconds that the client reads.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;
/// A head may take up to this many times its configured limit before it is not read any further: within this, it is
/// refused with an answer.
const READ_HEAD_FACTOR: usize = 2;

/// Accepts and serves connections of clients until the planned stop closes the listener.
pub(super) async fn serve_clients(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut closed = pin!(gateway.stage_reached(Stage::Closed));
    loop {
        let (stream, client_buffer) = tokio::select! {
            accepted = gateway.holdings.accept(&listener) => accepted,
            // From here on new connections are refused, so that clients try another gateway at once.
            () = &mut closed => return,
        };
        let gateway = gateway.clone();
        gateway.client_connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            serve_client(gateway.clone(), stream, client_buffer).await;
            gateway.client_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_client(gateway: Arc<Gateway>, stream: TcpStream, client_buffer: Arc<ClientBuffer>) {
    let _ = set_tcp_timeouts(&stream, CLIENT_ACK_TIMEOUT);
    // On systems without this option the gateway only notices later that the client reads.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let answer = |request| {
        let (gateway, client_buffer) = (gateway.clone(), client_buffer.clone());
        async move { exchange::serve(&gateway, &client_buffer, request).await }
    };
    serve_http(&gateway, stream, &client_buffer, answer).await;
}

/// Serves the requests on a connection until it ends, the planned stop closes it, or its memory is needed for others.
pub(super) async fn serve_http<F>(
    gateway: &Arc<Gateway>,
    stream: TcpStream,
    client_buffer: &Arc<ClientBuffer>,
    answer: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<AnswerBody>>,
{
    let limits = gateway.table().map_or_else(ClientLimits::default, |table| table.limits());
    let limits = HttpLimits {
        timer: RunTimer::new(gateway.run_clock.clone()),
        idle_timeout: limits.idle_timeout,
        max_head_bytes: limits.max_header_bytes * READ_HEAD_FACTOR,
    };
    let stop = gateway.stage_reached(Stage::Closed);
    http_connection::serve(stream, client_buffer, limits, stop, answer).await;
}

/// The accounting of a status server, which logs call `port`.
fn status_buffers(gateway: &Gateway, port: &'static str) -> Arc<ClientBuffers> {
    let bounds = status_server::bounds(gateway.settings.max_descriptors);
    ClientBuffers::new(port, bounds, gateway.metrics.connections_closed(port), &gateway.log)
}

/// Answers the load balancer's readiness checks.
pub(super) async fn serve_ready(gateway: Arc<Gateway>, listener: TcpListener) {
    let buffers = status_buffers(&gateway, "ready");
    status_server::serve(listener, buffers, move |request| {
        let known = request.uri().path() == gateway.dialect.paths().ready;
        let status = match (known, gateway.ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, Vec::new())
    })
    .await;
}

/// Serves the metrics to scrapers.
pub(super) async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    let buffers = status_buffers(&gateway, "metrics");
    status_server::serve(listener, buffers, move |_| (StatusCode::OK, gateway.render_metrics()))
        .await;
}
