//! Malformed announcements, and headers with impossible values: they are refused or ignored, add no target and harm no
//! known one.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use serde_json::{Value, json};

use crate::harness::{Fleet, call, eventually};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

/// Malformed announcements that the test sends.
const CASES: usize = 150;
/// Size of a body far larger than any announcement, in bytes.
const HUGE_BODY: usize = 10 * 1024 * 1024;

async fn fleet_with_target() -> (Fleet, Standin) {
    let fleet = Fleet::start(3, 1).await;
    let target = Standin::start("i-known", "s", fleet.api_addrs()).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_for_targets(0, 1).await;
    (fleet, target)
}

async fn assert_served(fleet: &Fleet, id: &str) {
    let answer =
        ClientRequest::new("/safe/x", id).send(fleet.gateway_addr(0)).await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// A valid announcement.
fn announcement() -> Value {
    json!({
        "service": "s", "address": "127.0.0.1:9", "zone": "hall-a", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 1_000_000, "born": 1_769_600_000_000_u64,
    })
}

/// Fields that an announcement must have.
const REQUIRED_FIELDS: [&str; 8] =
    ["service", "address", "zone", "version", "slots", "state", "cold-left-ms", "sequence"];

/// Returns a malformed announcement, and the faulty field if there is a single one.
fn malformed(rng: &mut StdRng) -> (Vec<u8>, Option<String>) {
    let mut body = announcement();
    let optional = ["born", "models", "stage"];
    let fields: Vec<&str> = REQUIRED_FIELDS.iter().chain(&optional).copied().collect();
    let field = fields[rng.random_range(0..fields.len())].to_owned();
    match rng.random_range(0..7) {
        0 => {
            let field = REQUIRED_FIELDS[rng.random_range(0..REQUIRED_FIELDS.len())];
            body.as_object_mut().expect("an object").remove(field);
            (body.to_string().into_bytes(), Some(field.to_owned()))
        }
        1 => {
            let wrong_values = [json!(true), json!(-1.5), json!({"a": [1]}), json!([[], {}])];
            body[&field] = wrong_values[rng.random_range(0..wrong_values.len())].clone();
            (body.to_string().into_bytes(), Some(field))
        }
        2 => {
            body["state"] = json!(["silent", "gone", "READY", ""][rng.random_range(0..4)]);
            (body.to_string().into_bytes(), Some("state".to_owned()))
        }
        3 => {
            body["born"] =
                [json!(-1), json!(1.5), json!("7"), json!(1e30)][rng.random_range(0..4)].clone();
            (body.to_string().into_bytes(), Some("born".to_owned()))
        }
        4 => {
            let text = body.to_string();
            let end = rng.random_range(0..text.len());
            (text.as_bytes()[..end].to_vec(), None)
        }
        5 => {
            let mut bytes = body.to_string().into_bytes();
            let at = rng.random_range(0..bytes.len());
            bytes[at] = 0xff;
            (bytes, None)
        }
        _ => {
            let depth = rng.random_range(200..20_000);
            (format!("{}{}", "[".repeat(depth), "]".repeat(depth)).into_bytes(), None)
        }
    }
}

/// Puts an announcement; returns status and body of the answer if one came before the connection was closed.
async fn try_put(fleet: &Fleet, at: usize, id: &str, body: Vec<u8>) -> Option<(u16, String)> {
    let url = format!("http://{}/instances/{id}", fleet.api_addr(at % 3));
    let sent = reqwest::Client::new().put(url).body(body).send().await.ok()?;
    Some((sent.status().as_u16(), sent.text().await.ok()?))
}

async fn put(fleet: &Fleet, at: usize, id: &str, body: Vec<u8>) -> (u16, String) {
    try_put(fleet, at, id, body).await.expect("an answer")
}

#[tokio::test]
async fn malformed_announcements_are_refused_naming_the_field_and_harm_no_target() {
    let (fleet, _target) = fleet_with_target().await;
    let seed = crate::seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for case in 0..CASES {
        let (body, field) = malformed(&mut rng);
        let id = if rng.random_bool(0.5) { "i-known" } else { "i-other" };
        let shown = String::from_utf8_lossy(&body[..body.len().min(300)]).into_owned();
        let (status, answer) = put(&fleet, case, id, body).await;
        assert!((400..500).contains(&status), "seed {seed} case {case}: {status} for {shown}");
        assert!(answer.len() < 2_000, "seed {seed} case {case}: {} bytes", answer.len());
        if let Some(field) = field {
            assert!(answer.contains(&field), "seed {seed} case {case}: {answer} for {shown}");
        }
    }
    for number in 0..10 {
        assert_served(&fleet, &format!("r-{number}")).await;
    }
    let log = fleet.gateways[0].log();
    assert!(!log.contains("targets=2 "), "a malformed announcement added a target");
    let refused = |log: String| log.matches("event=heartbeat_refused").count();
    let lines: usize = fleet.members.iter().map(|member| refused(member.log())).sum();
    assert!(lines > 0 && lines <= CASES, "{lines}");
}

/// A well-formed announcement under a known target's id, but with another service, must be refused.
#[tokio::test]
async fn a_known_target_is_not_moved_to_another_service() {
    let (fleet, _target) = fleet_with_target().await;
    for service in ["elsewhere", "s2", ""] {
        for born in [json!(null), json!(1_769_600_000_000_u64)] {
            let mut body = announcement();
            body["service"] = json!(service);
            body["born"] = born;
            let (status, answer) = put(&fleet, 0, "i-known", body.to_string().into_bytes()).await;
            assert_eq!(status, 400, "{answer}");
            assert!(answer.contains("service"), "{answer}");
        }
    }
    assert_served(&fleet, "r-1").await;
}

#[tokio::test]
async fn a_huge_body_or_id_is_refused_and_the_member_goes_on() {
    let (fleet, _target) = fleet_with_target().await;
    // The member may close the connection before it has read the whole body.
    let answer = try_put(&fleet, 0, "i-known", vec![b'['; HUGE_BODY]).await;
    assert!(answer.is_none_or(|(status, _)| status == 413));
    let (status, _) = put(&fleet, 0, "i-known", vec![b'['; 100_000]).await;
    assert_eq!(status, 413);
    let body = announcement().to_string().into_bytes();
    let (status, answer) = put(&fleet, 0, &"i".repeat(5_000), body).await;
    assert_eq!(status, 400);
    assert!(answer.contains("id"), "{answer}");
    assert_served(&fleet, "r-1").await;
    for door in fleet.api_addrs() {
        eventually("the member answers", async || {
            let answer = call(door, "GET", "/config", "").await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

#[rstest]
#[case::load_beyond_all_bounds("x-server-load", "4294967295,4294967295,8")]
#[case::load_that_is_none("x-server-load", "-1,many")]
#[case::kept_for_ever("keep-alive", "timeout=18446744073709551615")]
#[case::kept_for_no_number("keep-alive", "timeout=1e99, max=-3")]
#[tokio::test]
async fn impossible_headers_of_targets_change_nothing(
    #[case] name: &'static str,
    #[case] value: &'static str,
) {
    let (fleet, target) = fleet_with_target().await;
    target.add_header(name, value);
    for number in 0..6 {
        assert_served(&fleet, &format!("r-{number}")).await;
    }
}

/// Impossible values in the headers in which clients describe their prompt and deadline.
#[rstest]
#[case("x-prompt-prefix", "aa:18446744073709551615,bb:18446744073709551615,cc:1")]
#[case("x-prompt-prefix", ":,,x,a:b:c")]
#[case("x-deadline-ms", "18446744073709551615")]
#[tokio::test]
async fn impossible_headers_of_clients_crash_nothing(
    #[case] name: &'static str,
    #[case] value: &'static str,
) {
    let (fleet, target) = fleet_with_target().await;
    target.behave(Behaviour::Stream(3));
    for path in ["/sticky/x", "/resumable/x"] {
        let answer =
            ClientRequest::new(path, "r-1").with(name, value).send(fleet.gateway_addr(0)).await;
        assert!(answer.is_ok_and(|answer| [200, 400].contains(&answer.status)), "{path}");
    }
    assert_stream_served(&fleet).await;
}

async fn assert_stream_served(fleet: &Fleet) {
    let answer = ClientRequest::new("/resumable/x", "r-2")
        .send(fleet.gateway_addr(0))
        .await
        .expect("a whole answer");
    assert_eq!(answer.status, 200);
}
