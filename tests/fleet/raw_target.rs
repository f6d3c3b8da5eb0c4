//! A target that writes its answers byte by byte, and so can violate HTTP.

use std::net::SocketAddr;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::harness::{call, eventually};

/// A request as it was received.
pub struct RawRequest(String);

impl RawRequest {
    /// Method and path.
    pub fn starts_with(&self, start: &str) -> bool {
        self.0.starts_with(start)
    }

    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.0.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        value.unwrap_or("").trim()
    }
}

/// A running target of the service `s`. Stops when dropped.
pub struct RawTarget(JoinHandle<()>);

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl RawTarget {
    /// Starts a target that has the first request of each connection answered by `answer`: a `GET` request, or one whose
    /// body is `body`.
    /// Announces it until a member acknowledges that.
    pub async fn start<F>(
        id: &str,
        member: SocketAddr,
        answer: impl Fn(TcpStream, RawRequest) -> F + Clone + Send + 'static,
    ) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let heartbeat = json!({
            "service": "s", "address": listener.local_addr().expect("bound"), "zone": "hall-a",
            "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "stage": "both",
            "sequence": 1,
        });
        let path = format!("/instances/{id}");
        eventually("the target is announced", async || {
            let answer = call(member, "PUT", &path, &heartbeat.to_string()).await?;
            (answer.status == 200).then_some(())
        })
        .await;
        RawTarget(tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let answer = answer.clone();
                tokio::spawn(async move {
                    if let Some(request) = read_request(&mut stream).await {
                        answer(stream, request).await;
                    }
                });
            }
        }))
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<RawRequest> {
    let mut request = Vec::new();
    let whole = |request: &[u8]| match request.starts_with(b"GET ") {
        true => request.ends_with(b"\r\n\r\n"),
        false => request.ends_with(b"\r\n\r\nbody"),
    };
    while !whole(&request) {
        let mut bytes = [0; 4_096];
        match stream.read(&mut bytes).await {
            Ok(read) if read > 0 => request.extend(&bytes[..read]),
            _ => return None,
        }
    }
    Some(RawRequest(String::from_utf8_lossy(&request).into_owned()))
}
