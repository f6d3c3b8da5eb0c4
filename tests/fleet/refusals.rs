//! Requests that a gateway refuses: the status, error code and, where a retry makes sense, Retry-After of each.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{CallResponse, Fleet, eventually};
use crate::member_api::configuration;
use crate::standin::{Behaviour, Standin};

/// A client's request to a gateway.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, &'a str)>,
    pub body: Vec<u8>,
}

impl<'a> ClientRequest<'a> {
    /// A valid POST request.
    pub fn new(path: &'a str, id: &'a str) -> Self {
        let headers = vec![
            ("host", "h.example"),
            ("x-request-id", id),
            ("x-credential", "key-a"),
            ("x-deadline-ms", "3000"),
        ];
        ClientRequest { method: "POST", path, headers, body: b"body".to_vec() }
    }

    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(header, _)| *header != name);
        self
    }

    pub fn with(mut self, name: &'a str, value: &'a str) -> Self {
        self.headers.retain(|(header, _)| *header != name);
        self.headers.push((name, value));
        self
    }

    /// Sends the request; fails if the answer does not arrive whole.
    pub async fn send(&self, front: SocketAddr) -> Result<CallResponse, reqwest::Error> {
        let client = reqwest::Client::builder().timeout(std::time::Duration::from_secs(20));
        let client = client.build().expect("a client");
        let method = self.method.parse().expect("a method");
        let mut request = client.request(method, format!("http://{front}{}", self.path));
        for (name, value) in &self.headers {
            request = request.header(*name, *value);
        }
        let response = request.body(self.body.clone()).send().await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        Ok(CallResponse { status, headers, body: response.text().await? })
    }
}

/// The error code in the body of a refusal.
pub fn error_code(answer: &CallResponse) -> String {
    let body: Value = serde_json::from_str(&answer.body).expect("JSON");
    body["error"]["code"].as_str().expect("a code").to_owned()
}

#[tokio::test]
async fn a_gateway_without_configuration_answers_503_with_retry_after_and_is_not_ready() {
    let mut fleet = Fleet::prepare(1, 1);
    fleet.gateways[0].start();
    let front = fleet.gateway_addr(0);
    let answer = eventually("the gateway listens", async || {
        ClientRequest::new("/safe/x", "r-1").send(front).await.ok()
    });
    let answer = answer.await;
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "no_configuration"));
    let retry_after_s: f64 =
        answer.header("retry-after").expect("a time").parse().expect("seconds");
    assert!(retry_after_s > 0.0 && retry_after_s < 5.0);
    let ready = SocketAddr::new(fleet.gateways[0].ip, fleet.addresses.ports.ready);
    let answer = crate::harness::call(ready, "GET", "/ready", "").await.expect("an answer");
    assert_eq!(answer.status, 503);
}

#[tokio::test]
async fn each_fault_of_a_request_has_its_answer_and_reaches_no_target() {
    let fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 1).await;
    let big = "x".repeat(6_000);
    let mut long = ClientRequest::new("/safe/x", "r-7");
    long.body = vec![b'x'; 20_000];
    let cases = [
        (ClientRequest::new("/elsewhere/x", "r-1"), 404, "no_route"),
        (ClientRequest::new("/safe/x", "r-2").with("host", "other.example"), 404, "no_route"),
        (ClientRequest::new("/safe/x", "r-3").without("x-credential"), 401, "unknown_key"),
        (ClientRequest::new("/safe/x", "r-4").with("x-credential", "key-z"), 401, "unknown_key"),
        (ClientRequest::new("/safe/x", "r-5").without("x-request-id"), 400, "bad_request"),
        (ClientRequest::new("/safe/x", "r-6").with("x-deadline-ms", "soon"), 400, "bad_request"),
        (long, 413, "body_too_large"),
        (ClientRequest::new("/safe/x", "r-8").with("x-large", &big), 431, "head_too_large"),
    ];
    for (request, status, reason) in cases {
        let answer = request.send(fleet.gateway_addr(0)).await.expect("an answer");
        assert_eq!(
            (answer.status, error_code(&answer).as_str()),
            (status, reason),
            "{}",
            request.path
        );
        assert_eq!(answer.header("x-server-stamp"), None);
    }
    assert!(target.arrivals().is_empty(), "{:?}", target.arrivals());
    eventually("the refusal is logged", async || {
        fleet.gateways[0].log().contains("reason=unknown_key").then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_request_that_no_target_took_is_answered_503_at_once_with_a_time() {
    let fleet = Fleet::start(1, 1).await;
    fleet.configure(&configuration(1)).await;
    let answer =
        ClientRequest::new("/safe/x", "r-1").send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "no_target"));
    assert!(answer.header("retry-after").is_some());
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    target.behave(Behaviour::NotRun);
    fleet.wait_for_targets(0, 1).await;
    let answer = ClientRequest::new("/unsafe/x", "r-2")
        .send(fleet.gateway_addr(0))
        .await
        .expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "not_run"));
    assert!(answer.header("retry-after").is_some());
    drop(target);
    let answer = ClientRequest::new("/unsafe/x", "r-3")
        .send(fleet.gateway_addr(0))
        .await
        .expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "connect_failed"));
}

#[tokio::test]
async fn a_body_that_does_not_come_is_answered_408_and_reaches_no_target() {
    let fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 1).await;
    let mut stream = TcpStream::connect(fleet.gateway_addr(0)).await.expect("a connection");
    let head = "POST /safe/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: r-1\r\n\
        x-credential: key-a\r\nx-deadline-ms: 400\r\ncontent-length: 10\r\n\r\nabc";
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut text = vec![0; 4_096];
    let len = stream.read(&mut text).await.expect("an answer");
    let text = String::from_utf8_lossy(&text[..len]);
    assert!(text.starts_with("HTTP/1.1 408") && text.contains("body_too_slow"), "{text}");
    assert!(target.arrivals().is_empty());
}
