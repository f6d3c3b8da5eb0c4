//! Statuses that a server must not answer with, and what clients get in their place.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::harness::Fleet;
use crate::member_api::configuration;
use crate::raw_target::{RawRequest, RawTarget};
use crate::refusals::ClientRequest;

async fn answer(mut stream: TcpStream, request: RawRequest, status: &str) {
    let id = request.header("x-request-id");
    let head = format!(
        "HTTP/1.1 {status} Some Reason\r\nx-request-id: {id}\r\nx-server-stamp: stamp\r\n\
        content-length: 2\r\nconnection: close\r\n\r\nok"
    );
    let _ = stream.write_all(head.as_bytes()).await;
}

/// Guards against statuses that are no answer in HTTP being passed on as one.
#[rstest::rstest]
#[tokio::test]
async fn a_status_that_no_server_may_answer_with_ends_as_502(
    #[values(
        "000", "00", "099", "100", "101", "102", "103", "150", "199", "600", "999", "1000", "-1",
        "20x"
    )]
    status: &'static str,
) {
    let fleet = Fleet::start(1, 1).await;
    let answer = move |stream, request| answer(stream, request, status);
    let _target = RawTarget::start("i-0", fleet.api_addr(0), answer).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 1).await;
    for path in ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"] {
        let answer = ClientRequest::new(path, "r-1").send(fleet.gateway_addr(0)).await;
        assert_eq!(answer.map(|answer| answer.status).ok(), Some(502), "{path}");
    }
}

#[rstest::rstest]
#[tokio::test]
async fn other_statuses_are_passed_on(
    #[values("200", "302", "404", "409", "500", "599")] status: &'static str,
) {
    let fleet = Fleet::start(1, 1).await;
    let answer = move |stream, request| answer(stream, request, status);
    let _target = RawTarget::start("i-0", fleet.api_addr(0), answer).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 1).await;
    let answer = ClientRequest::new("/unsafe/x", "r-1").send(fleet.gateway_addr(0)).await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.status.to_string().as_str(), answer.body.as_str()), (status, "ok"));
}
