//! A target that violates HTTP on purpose, for example by truncated or doubled responses, and counts
//! the requests per path.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A running target. The first segment of a request's path selects the fault, see `serve`; any other
/// value gives a correct response.
#[derive(Clone)]
pub struct Hostile {
    pub url: String,
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Hostile {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let url = format!("http://{}", listener.local_addr().expect("an address"));
        let runs = Arc::new(Mutex::new(BTreeMap::new()));
        let hostile = Hostile { url, runs };
        let server = hostile.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        hostile
    }

    /// Number of requests received for this path.
    pub fn runs(&self, path: &str) -> u64 {
        *self.runs.lock().unwrap().get(path).unwrap_or(&0)
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut pending = Vec::new();
        while let Some(path) = next_request(&mut stream, &mut pending).await {
            *self.runs.lock().unwrap().entry(path.clone()).or_default() += 1;
            let body = format!("answer to {path}");
            let whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let (answer, keep_alive) = match path.split('/').nth(1).unwrap_or_default() {
                "lost" => (String::new(), false),
                "truncated" => (whole[..whole.len() - 4].to_owned(), false),
                "undelimited" => (format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..5]), false),
                "half-chunked" => (
                    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nanswer".into(),
                    false,
                ),
                "doubled" => (format!("{whole}{whole}"), true),
                "late" => {
                    tokio::time::sleep(Duration::from_millis(700)).await;
                    (whole, true)
                }
                _ => (whole, true),
            };
            if stream.write_all(answer.as_bytes()).await.is_err() || !keep_alive {
                return;
            }
        }
    }
}

/// Reads the head of the next request, which has no body, and returns its path without the query.
async fn next_request(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = pending.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&pending[..end]).into_owned();
            pending.drain(..end + 4);
            let target = head.split(' ').nth(1)?.to_owned();
            return target.split('?').next().map(str::to_owned);
        }
        let mut bytes = [0; 4096];
        let count = stream.read(&mut bytes).await.ok().filter(|count| *count > 0)?;
        pending.extend(&bytes[..count]);
    }
}
