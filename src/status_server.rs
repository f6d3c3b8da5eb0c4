//! A small HTTP server for the load balancer's readiness checks and for metrics scrapes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Pause after `accept` fails, for example because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum time that a connection may be idle or take to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections for ever and answers each request with the status and body that `answer` returns.
pub(crate) async fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> (StatusCode, Vec<u8>) + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, body) = answer(&request);
                let mut response = Response::new(Full::new(Bytes::from(body)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
