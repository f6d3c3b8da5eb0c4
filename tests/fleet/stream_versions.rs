//! Streams while targets of two software versions serve side by side: what the two write does not fit together, and
//! targets do not check which version began a stream that they are asked to continue.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;

use crate::harness::{CallResponse, Fleet, Process, eventually};
use crate::member_api::configuration;
use crate::refusals::{ClientRequest, error_code};
use crate::standin::{Behaviour, Standin};

/// Targets of each version.
const PER_VERSION: usize = 3;
/// Streams that clients begin and resume.
const STREAMS: usize = 16;
/// Events of a stream, 10 ms apart: it lasts until the client has left.
const EVENTS: u32 = 300;
/// Time within which the members have saved what they were told of streams.
const TIME_TO_SAVE: Duration = Duration::from_millis(500);
/// Where a stream ends that a client has resumed.
const RESUMED_EVENTS: u32 = 20;

/// A fleet with targets of the versions `v1` and `v2` of one service.
struct TwoVersions {
    fleet: Fleet,
    standins: Vec<Standin>,
}

impl TwoVersions {
    async fn start(members: usize, gateways: usize) -> Self {
        let fleet = Fleet::start(members, gateways).await;
        let mut standins = Vec::new();
        for version in ["v1", "v2"] {
            for number in 0..PER_VERSION {
                let id = format!("i-{version}-{number}");
                let mut standin = Standin::start(&id, "s", Vec::new()).await.with_version(version);
                standin.start_heartbeats(fleet.api_addrs());
                standin.behave(Behaviour::Stream(EVENTS));
                standins.push(standin);
            }
        }
        fleet.configure(&configuration(1)).await;
        for gateway in 0..gateways {
            fleet.wait_for_targets(gateway, standins.len()).await;
        }
        TwoVersions { fleet, standins }
    }

    fn behave(&self, behaviour: Behaviour) {
        self.standins.iter().for_each(|standin| standin.behave(behaviour));
    }

    /// Versions of the targets that each request reached, by request id.
    fn versions_reached(&self) -> HashMap<String, Vec<&str>> {
        let mut reached: HashMap<String, Vec<&str>> = HashMap::new();
        for standin in &self.standins {
            for arrival in standin.arrivals() {
                reached.entry(arrival.id).or_default().push(version(&standin.id));
            }
        }
        reached
    }
}

/// Version of a target, from its id or the stamp of its answer.
fn version(id_or_stamp: &str) -> &str {
    if id_or_stamp.contains("i-v1-") { "v1" } else { "v2" }
}

/// A stream that its client left.
struct Interrupted {
    began_as: String,
    version: String,
    last_event: u32,
}

/// Begins a stream, and leaves after its first events.
async fn begin(front: SocketAddr, id: &str) -> Interrupted {
    begin_with(front, id, "body").await
}

async fn begin_with(front: SocketAddr, id: &str, body: &str) -> Interrupted {
    begin_until(front, id, body, 3).await
}

/// Begins a stream, and leaves when the event `until` has arrived.
async fn begin_until(front: SocketAddr, id: &str, body: &str, until: u32) -> Interrupted {
    let client = reqwest::Client::new();
    let request = client
        .post(format!("http://{front}/resumable/x"))
        .header("host", "h.example")
        .header("x-request-id", id)
        .header("x-credential", "key-a")
        .header("x-deadline-ms", "20000")
        .body(body.to_owned());
    let response = request.send().await.expect("a head");
    let stamp = response.headers()["x-server-stamp"].to_str().expect("text").to_owned();
    let mut received = Vec::new();
    let mut body = response.bytes_stream();
    let mut last_event = 0;
    while last_event < until {
        received.extend(body.next().await.expect("an event").expect("no error"));
        last_event = String::from_utf8_lossy(&received).matches("\n\n").count() as u32;
    }
    Interrupted { began_as: id.to_owned(), version: version(&stamp).to_owned(), last_event }
}

/// Resumes a stream by one request.
async fn resume_once(front: SocketAddr, id: &str, stream: &Interrupted) -> Option<CallResponse> {
    let last_event = stream.last_event.to_string();
    let request = ClientRequest::new("/resumable/x", id)
        .with("resumes", &stream.began_as)
        .with("last-event-id", &last_event);
    request.send(front).await.ok()
}

/// Resumes a stream, and tries again while it is refused.
async fn resume(front: SocketAddr, stream: &Interrupted) -> CallResponse {
    let mut tries = 0;
    eventually("the stream goes on", async || {
        tries += 1;
        let id = format!("{}-again-{tries}", stream.began_as);
        let answer = resume_once(front, &id, stream).await?;
        (answer.status == 200).then_some(answer)
    })
    .await
}

/// Resumes streams, each of which must go on at the version that began it.
async fn resume_all(front: SocketAddr, streams: &[Interrupted]) {
    for stream in streams {
        let answer = resume(front, stream).await;
        let stamp = answer.header("x-server-stamp").expect("a stamp");
        assert_eq!(version(stamp), stream.version, "{}", stream.began_as);
    }
}

async fn begin_all(front: SocketAddr) -> Vec<Interrupted> {
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(begin(front, &format!("s-{number}")).await);
    }
    let both = ["v1", "v2"].map(|one| streams.iter().any(|stream| stream.version == one));
    assert_eq!(both, [true; 2], "both versions begin streams");
    streams
}

#[tokio::test]
async fn a_client_s_stream_goes_on_only_at_the_version_that_began_it() {
    let versions = TwoVersions::start(3, 2).await;
    let streams = begin_all(versions.fleet.gateway_addr(0)).await;
    versions.behave(Behaviour::Stream(RESUMED_EVENTS));
    for stream in &streams {
        let answer = resume(versions.fleet.gateway_addr(1), stream).await;
        let stamp = answer.header("x-server-stamp").expect("a stamp");
        assert_eq!(version(stamp), stream.version, "{}", stream.began_as);
        assert!(answer.body.starts_with(&format!("id: {}\n", stream.last_event + 1)));
    }
}

#[tokio::test]
async fn a_stream_whose_gateway_died_goes_on_at_the_version_that_began_it() {
    let mut versions = TwoVersions::start(3, 2).await;
    let streams = begin_all(versions.fleet.gateway_addr(0)).await;
    // Until the last stream is reported, its origin can't be known after the gateway's death.
    resume(versions.fleet.gateway_addr(1), streams.last().expect("streams")).await;
    versions.fleet.gateways[0].kill();
    versions.behave(Behaviour::Stream(RESUMED_EVENTS));
    resume_all(versions.fleet.gateway_addr(1), &streams).await;
}

/// Guards against streams that nobody knows the origin of after all processes were killed.
#[tokio::test]
async fn streams_go_on_at_the_version_that_began_them_after_all_processes_were_killed_twice() {
    let mut versions = TwoVersions::start(3, 2).await;
    let streams = begin_all(versions.fleet.gateway_addr(0)).await;
    tokio::time::sleep(TIME_TO_SAVE).await;
    for _ in 0..2 {
        versions.fleet.gateways.iter_mut().for_each(Process::kill);
        versions.fleet.members.iter_mut().for_each(Process::kill);
        versions.fleet.members.iter_mut().for_each(Process::start);
        versions.fleet.gateways.iter_mut().for_each(Process::start);
        versions.fleet.wait_for_leader().await;
        versions.fleet.wait_for_targets(1, versions.standins.len()).await;
    }
    versions.behave(Behaviour::Stream(RESUMED_EVENTS));
    resume_all(versions.fleet.gateway_addr(1), &streams).await;
}

/// Guards against streams whose origin dies with a gateway that is killed as soon as their clients have an event.
#[tokio::test]
async fn a_stream_goes_on_if_its_gateway_is_killed_right_after_the_first_event() {
    let mut versions = TwoVersions::start(3, 2).await;
    let front = versions.fleet.gateway_addr(0);
    let begun = (0..STREAMS).map(|number| async move {
        let (id, body) = (format!("k-{number}"), format!("body {number}"));
        begin_until(front, &id, &body, 1).await
    });
    let streams = futures_util::future::join_all(begun).await;
    versions.fleet.gateways[0].kill();
    versions.behave(Behaviour::Stream(RESUMED_EVENTS));
    resume_all(versions.fleet.gateway_addr(1), &streams).await;
}

#[tokio::test]
async fn a_stream_that_breaks_goes_on_only_at_the_version_that_began_it() {
    let versions = TwoVersions::start(1, 1).await;
    versions.behave(Behaviour::BreakAfter(5));
    for number in 0..STREAMS {
        let id = format!("b-{number}");
        let _ = ClientRequest::new("/resumable/x", &id).send(versions.fleet.gateway_addr(0)).await;
    }
    for (id, mut reached) in versions.versions_reached() {
        reached.dedup();
        assert_eq!(reached.len(), 1, "{id} reached {reached:?}");
    }
}

#[tokio::test]
async fn a_stream_of_unknown_origin_is_refused_and_reaches_no_target() {
    let versions = TwoVersions::start(1, 1).await;
    let front = versions.fleet.gateway_addr(0);
    let stream = Interrupted { began_as: "never".into(), version: "v1".into(), last_event: 3 };
    let answer = resume_once(front, "u-1", &stream).await.expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "origin_unknown"));
    assert!(answer.header("retry-after").is_some());
    let unnamed = ClientRequest::new("/resumable/x", "u-2").with("last-event-id", "3");
    let answer = unnamed.send(front).await.expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "origin_unknown"));
    assert!(versions.versions_reached().is_empty());
}

/// Clients of earlier contracts don't name the request that began their stream, but send the same one again.
#[tokio::test]
async fn a_stream_of_a_client_that_does_not_name_it_goes_on_only_at_its_version() {
    let versions = TwoVersions::start(3, 2).await;
    let (first, second) = (versions.fleet.gateway_addr(0), versions.fleet.gateway_addr(1));
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(begin_with(first, &format!("u-{number}"), &format!("body {number}")).await);
    }
    versions.behave(Behaviour::Stream(RESUMED_EVENTS));
    for (number, stream) in streams.iter().enumerate() {
        let last_event = stream.last_event.to_string();
        let answer = eventually("the stream goes on", async || {
            let id = format!("u-{number}-{}", rand::random::<u32>());
            let request =
                ClientRequest::new("/resumable/x", &id).with("last-event-id", &last_event);
            let request = ClientRequest { body: format!("body {number}").into_bytes(), ..request };
            request.send(second).await.ok().filter(|answer| answer.status == 200)
        })
        .await;
        let stamp = answer.header("x-server-stamp").expect("a stamp");
        assert_eq!(version(stamp), stream.version, "{}", stream.began_as);
    }
}

#[tokio::test]
async fn a_stream_whose_request_began_streams_at_two_versions_must_be_named() {
    let versions = TwoVersions::start(1, 1).await;
    let front = versions.fleet.gateway_addr(0);
    let streams = begin_all(front).await;
    let unnamed = ClientRequest::new("/resumable/x", "a-1").with("last-event-id", "3");
    let answer = unnamed.send(front).await.expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "origin_unknown"));
    versions.behave(Behaviour::Stream(RESUMED_EVENTS));
    let answer = resume(front, &streams[0]).await;
    let stamp = answer.header("x-server-stamp").expect("a stamp");
    assert_eq!(version(stamp), streams[0].version);
}

#[tokio::test]
async fn a_stream_whose_version_has_left_is_refused_and_reaches_no_target() {
    let mut versions = TwoVersions::start(1, 1).await;
    let front = versions.fleet.gateway_addr(0);
    let stream = begin(front, "g-1").await;
    let (left, stayed): (Vec<Standin>, Vec<Standin>) =
        versions.standins.drain(..).partition(|standin| version(&standin.id) == stream.version);
    versions.standins = stayed;
    for standin in &left {
        standin.drain(versions.fleet.api_addr(0)).await;
        standin.behave(Behaviour::Stream(RESUMED_EVENTS));
    }
    eventually("the gateway knows that the version has left", async || {
        let id = format!("g-{}", rand::random::<u32>());
        let answer = resume_once(front, &id, &stream).await?;
        (answer.status == 503 && error_code(&answer) == "version_gone").then_some(())
    })
    .await;
    assert!(versions.versions_reached().is_empty());
}

#[tokio::test]
async fn streams_go_on_without_a_known_origin_while_one_version_serves() {
    let fleet = Fleet::start(1, 1).await;
    let standin = Standin::start("i-1", "s", fleet.api_addrs()).await;
    standin.behave(Behaviour::Stream(RESUMED_EVENTS));
    let mut short = configuration(1);
    for route in short["routes"].as_array_mut().expect("a list") {
        route["timeout-ms"] = 1_000.into();
    }
    fleet.configure(&short).await;
    fleet.wait_for_targets(0, 1).await;
    let stream = Interrupted { began_as: "unseen".into(), version: "v1".into(), last_event: 3 };
    resume(fleet.gateway_addr(0), &stream).await;
}
