//! The HTTP server of a control member. It bounds connections and the memory of calls before they reach the RPC library,
//! which reads each call into memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioTimer;
use jsonrpsee::server::{HttpBody, Methods, StopHandle, TowerServiceBuilder};
use tokio::net::{TcpListener, TcpStream};
use tower_layer::Identity;
use tower_service::Service;

use crate::rpc::MAX_CALL_BYTES;
use crate::serving::body_buffer::BodyError;
use crate::serving::buffers::{ClientBuffer, ClientBuffers};
use crate::serving::http::{self as http_connection, HttpLimits};

/// Longest wait for the next call on a connection. Clients close idle connections themselves after 90 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time in which a call may arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The calls that are served.
#[derive(Clone)]
pub(super) struct RpcServer {
    pub(super) buffers: Arc<ClientBuffers>,
    pub(super) service: TowerServiceBuilder<Identity, Identity>,
    pub(super) methods: Methods,
    /// Ends the serving.
    pub(super) stop: StopHandle,
}

impl RpcServer {
    /// Accepts and serves connections until the member stops.
    pub(super) async fn serve(self, listener: TcpListener) {
        loop {
            let (stream, client) = tokio::select! {
                accepted = self.buffers.accept(&listener) => accepted,
                () = self.stop.clone().shutdown() => return,
            };
            tokio::spawn(self.clone().serve_connection(stream, client));
        }
    }

    async fn serve_connection(self, stream: TcpStream, client: Arc<ClientBuffer>) {
        let _ = stream.set_nodelay(true);
        let limits = HttpLimits {
            timer: TokioTimer::new(),
            idle_timeout: IDLE_TIMEOUT,
            max_head_bytes: MAX_HEAD_BYTES,
        };
        let stop = self.stop.clone().shutdown();
        let answer = |request| self.answer(&client, request);
        http_connection::serve(stream, &client, limits, stop, answer).await;
    }

    async fn answer(
        &self,
        client: &Arc<ClientBuffer>,
        request: Request<Incoming>,
    ) -> Response<HttpBody> {
        let (head, body) = request.into_parts();
        let max_bytes = MAX_CALL_BYTES as usize;
        let body = match client.read_body_within(BODY_TIMEOUT, body, max_bytes).await {
            Ok(body) => body,
            Err(error) => return refuse(error),
        };
        // The library copies the call.
        let copied = body.len();
        if !client.reserve(copied).await {
            return refuse(BodyError::NoMemory);
        }
        let response = self.call(Request::from_parts(head, Full::new(body))).await;
        client.release(copied);
        response
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Response<HttpBody> {
        let mut service = self.service.clone().build(self.methods.clone(), self.stop.clone());
        match service.call(request).await {
            Ok(response) => response,
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

/// The answer to a call that could not be read, and so was not carried out.
fn refuse(error: BodyError) -> Response<HttpBody> {
    text(error.status(), error.to_string())
}

fn text(status: StatusCode, text: String) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::from(text));
    *response.status_mut() = status;
    response
}
