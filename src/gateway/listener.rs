//! Listens for clients, for the balancer and for scrapes.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::trace::{self, ClientCut};
use super::{Gateway, Stage, exchange};
use crate::configuration::ClientLimits;
use crate::link::set_tcp_timeouts;
use crate::small_server;

/// Pause after a listener fails, for example without descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest time that bytes sent to a client stay unacknowledged.
const CLIENT_SILENCE: Duration = Duration::from_secs(10);
/// Bytes that may wait in the system for a client's window to open. Without a bound megabytes do, and the gateway learns
/// only after seconds that the client reads.
const MOST_UNSENT_BYTES: u32 = 128 * 1024;
/// Smallest buffer that the HTTP library takes, in bytes.
const MIN_BUFFER: usize = 8 * 1024;

/// Takes connections of clients for ever.
pub(super) async fn serve_clients(gateway: Arc<Gateway>, listener: TcpListener) {
    // Half of the descriptors are for clients, the rest for targets.
    let most = gateway.settings.max_descriptors / 2;
    let mut stage = gateway.stage.subscribe();
    loop {
        if gateway.client_connections.load(Ordering::Relaxed) >= most {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // New connections are refused from here on, so that clients turn elsewhere at once.
            _ = stage.wait_for(|stage| *stage == Stage::Closed) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let gateway = gateway.clone();
        gateway.client_connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            serve_client(gateway.clone(), stream).await;
            gateway.client_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_client(gateway: Arc<Gateway>, stream: TcpStream) {
    let _ = set_tcp_timeouts(&stream, CLIENT_SILENCE);
    // Where the system has no such option, reading shows later.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MOST_UNSENT_BYTES);
    let limits = gateway.table().map_or_else(ClientLimits::default, |table| table.limits());
    let holder = gateway.holdings.open();
    let service = service_fn(|request: Request<Incoming>| {
        let (gateway, holder) = (gateway.clone(), holder.clone());
        async move { Ok::<_, Infallible>(exchange::serve(&gateway, &holder, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.max_header_bytes * 2).max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut stage = gateway.stage.subscribe();
    // A connection ends with its client; whatever broke it has been dealt with.
    tokio::select! {
        biased;
        // Closed at rest, or after the answer under way: a client whose request was not read sends it
        // elsewhere at once, while a refusal has it come back later.
        _ = stage.wait_for(|stage| *stage == Stage::Closed) => {}
        () = holder.wait_for_cut() => {
            trace::client_cut(&gateway, holder.unread(), ClientCut::NoRoom);
            if holder.unread() > 0 {
                return;
            }
        }
        _ = &mut connection => return,
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Tells the balancer whether new clients are welcome.
pub(super) async fn serve_ready(gateway: Arc<Gateway>, listener: TcpListener) {
    small_server::serve(listener, move |request| {
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

/// Serves metrics.
pub(super) async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    small_server::serve(listener, move |_| (StatusCode::OK, gateway.render_metrics())).await;
}
