//! Serves HTTP on a connection whose memory is counted.

use std::convert::Infallible;
use std::error::Error;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::rt::Timer;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::buffers::{ClientBuffer, RequestGuard};
use super::counted_stream::CountedStream;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// Limits of a connection.
pub(crate) struct HttpLimits<T> {
    /// Clock of the timeout.
    pub(crate) timer: T,
    /// Longest wait for the next request, and for its whole head.
    pub(crate) idle_timeout: Duration,
    /// Longest head that is read at all, in bytes.
    pub(crate) max_head_bytes: usize,
}

/// Serves the requests on a connection until it ends, `stop` is ready, or the connection is closed to make room for
/// others.
pub(crate) async fn serve<T, B, F>(
    stream: TcpStream,
    client: &Arc<ClientBuffer>,
    limits: HttpLimits<T>,
    stop: impl Future<Output = ()>,
    answer: impl Fn(Request<Incoming>) -> F,
) where
    T: Timer + Send + Sync + 'static,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    F: Future<Output = Response<B>>,
{
    let service = service_fn(|request| {
        let guard = client.start_request();
        // Boxed, since it is large and most connections have no request in progress.
        let answering = Box::pin(answer(request));
        async move {
            let response = answering.await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody { body, _request: guard }))
        }
    });
    let connection = http1::Builder::new()
        .timer(limits.timer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(CountedStream::new(stream, client.clone())), service);
    let mut connection = pin!(connection);
    // Errors of the connection are ignored: the client is gone, and each request logs its own outcome.
    tokio::select! {
        biased;
        // Closes the connection when it is idle, or after the current answer. A client whose request was not read
        // sends it to another process at once, whereas a refusal would make it wait before it retries.
        () = stop => connection.as_mut().graceful_shutdown(),
        () = client.wait_for_close() => {}
        _ = &mut connection => return,
    }
    tokio::select! {
        biased;
        () = client.wait_for_close() => client.record_closed(),
        _ = &mut connection => return,
    }
    // A request whose body was being read is answered, since its client learns from the answer that it has not run.
    if client.in_request() && client.unread() == 0 {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// The body of an answer, whose request is in progress until the body is sent.
struct TrackedBody<B> {
    body: B,
    _request: RequestGuard,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
