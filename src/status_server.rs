//! A small HTTP server for the load balancer's readiness checks and for metrics scrapes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;

use crate::serving::buffers::{CONNECTION_BYTES, ClientBuffers};
use crate::serving::http::{self as http_connection, HttpLimits};
use crate::serving::ledger::Bounds;

/// Maximum time that a connection may be idle or take to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum open connections. A load balancer and some scrapers use one each.
const MAX_CONNECTIONS: usize = 64;
/// One in so many descriptors of the process may be used for connections, if that is less.
const DESCRIPTORS_SHARE: usize = 16;
/// Memory for each connection, in bytes: twice what it takes without the bytes that it sends.
const BYTES_PER_CONNECTION: usize = 2 * CONNECTION_BYTES;
/// How long a connection must have sent nothing before it may be closed for others. A request takes one segment.
const MIN_WAIT_BEFORE_CLOSE: Duration = Duration::from_millis(100);

/// Bounds of a status server in a process that may use this many descriptors.
pub(crate) fn bounds(max_descriptors: usize) -> Bounds {
    let max_connections = MAX_CONNECTIONS.min(max_descriptors / DESCRIPTORS_SHARE);
    Bounds {
        max_bytes: max_connections * BYTES_PER_CONNECTION,
        max_connections,
        min_wait: MIN_WAIT_BEFORE_CLOSE,
    }
}

/// Accepts connections for ever and answers each request with the status and body that `answer` returns.
pub(crate) async fn serve(
    listener: TcpListener,
    buffers: Arc<ClientBuffers>,
    answer: impl Fn(&Request<Incoming>) -> (StatusCode, Vec<u8>) + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    loop {
        let (stream, client) = buffers.accept(&listener).await;
        let answer = answer.clone();
        tokio::spawn(async move {
            let limits = HttpLimits {
                timer: TokioTimer::new(),
                idle_timeout: HEADER_READ_TIMEOUT,
                max_head_bytes: MAX_HEAD_BYTES,
            };
            let respond = |request| {
                let (status, body) = answer(&request);
                let mut response = Response::new(Full::new(Bytes::from(body)));
                *response.status_mut() = status;
                std::future::ready(response)
            };
            http_connection::serve(stream, &client, limits, std::future::pending(), respond).await;
        });
    }
}
