//! Announcements that others write, and headers that say what can't be: they name no target to use, and harm none.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use serde_json::{Value, json};

use crate::doors::configuration;
use crate::harness::{Fleet, call, eventually};
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

/// Announcements that one test sends.
const CASES: usize = 150;
/// A body that no announcement needs.
const LARGE: usize = 10 * 1024 * 1024;

async fn fleet_with_target() -> (Fleet, Standin) {
    let fleet = Fleet::start(3, 1).await;
    let target = Standin::start("i-known", "s", fleet.doors()).await;
    fleet.configure(&configuration(1)).await;
    fleet.knows_targets(0, 1).await;
    (fleet, target)
}

async fn is_served(fleet: &Fleet, id: &str) {
    let answer = ClientRequest::new("/safe/x", id).send(fleet.front(0)).await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// An announcement as targets make them.
fn announcement() -> Value {
    json!({
        "service": "s", "address": "127.0.0.1:9", "zone": "hall-a", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 1_000_000, "born": 1_769_600_000_000_u64,
    })
}

/// Fields that every announcement has.
const NEEDED: [&str; 8] =
    ["service", "address", "zone", "version", "slots", "state", "cold-left-ms", "sequence"];

/// Makes of an announcement one by another writer; tells the field that is wrong, if it is one.
fn spoil(rng: &mut StdRng) -> (Vec<u8>, Option<String>) {
    let mut body = announcement();
    let typed = ["born", "models", "stage"];
    let fields: Vec<&str> = NEEDED.iter().chain(&typed).copied().collect();
    let field = fields[rng.random_range(0..fields.len())].to_owned();
    match rng.random_range(0..7) {
        0 => {
            let field = NEEDED[rng.random_range(0..NEEDED.len())];
            body.as_object_mut().expect("an object").remove(field);
            (body.to_string().into_bytes(), Some(field.to_owned()))
        }
        1 => {
            let others = [json!(true), json!(-1.5), json!({"a": [1]}), json!([[], {}])];
            body[&field] = others[rng.random_range(0..others.len())].clone();
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

/// Status and body of the answer, if one came before the connection ended.
async fn try_put(fleet: &Fleet, at: usize, id: &str, body: Vec<u8>) -> Option<(u16, String)> {
    let url = format!("http://{}/instances/{id}", fleet.door(at % 3));
    let sent = reqwest::Client::new().put(url).body(body).send().await.ok()?;
    Some((sent.status().as_u16(), sent.text().await.ok()?))
}

async fn put(fleet: &Fleet, at: usize, id: &str, body: Vec<u8>) -> (u16, String) {
    try_put(fleet, at, id, body).await.expect("an answer")
}

#[tokio::test]
async fn announcements_by_another_writer_are_refused_by_their_field_and_harm_no_target() {
    let (fleet, _target) = fleet_with_target().await;
    let seed = crate::seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for case in 0..CASES {
        let (body, field) = spoil(&mut rng);
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
        is_served(&fleet, &format!("r-{number}")).await;
    }
    let log = fleet.gateways[0].log();
    assert!(!log.contains("targets=2 "), "no target came of them");
    let refused = |log: String| log.matches("event=heartbeat_refused").count();
    let lines: usize = fleet.members.iter().map(|member| refused(member.log())).sum();
    assert!(lines > 0 && lines <= CASES, "{lines}");
}

/// Whoever writes under a known target's id, well-formed but of another service, is not that target.
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
    is_served(&fleet, "r-1").await;
}

#[tokio::test]
async fn a_huge_body_or_id_is_refused_and_the_member_goes_on() {
    let (fleet, _target) = fleet_with_target().await;
    // The member may end the connection while the rest is still on its way.
    let answer = try_put(&fleet, 0, "i-known", vec![b'['; LARGE]).await;
    assert!(answer.is_none_or(|(status, _)| status == 413));
    let (status, _) = put(&fleet, 0, "i-known", vec![b'['; 100_000]).await;
    assert_eq!(status, 413);
    let body = announcement().to_string().into_bytes();
    let (status, answer) = put(&fleet, 0, &"i".repeat(5_000), body).await;
    assert_eq!(status, 400);
    assert!(answer.contains("id"), "{answer}");
    is_served(&fleet, "r-1").await;
    for door in fleet.doors() {
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
async fn headers_of_targets_that_say_what_can_not_be_change_nothing(
    #[case] name: &'static str,
    #[case] value: &'static str,
) {
    let (fleet, target) = fleet_with_target().await;
    target.say(name, value);
    for number in 0..6 {
        is_served(&fleet, &format!("r-{number}")).await;
    }
}

/// A caller's own word of its prompt, and of how long it waits.
#[rstest]
#[case("x-prompt-prefix", "aa:18446744073709551615,bb:18446744073709551615,cc:1")]
#[case("x-prompt-prefix", ":,,x,a:b:c")]
#[case("x-deadline-ms", "18446744073709551615")]
#[tokio::test]
async fn headers_of_callers_that_say_what_can_not_be_end_nothing(
    #[case] name: &'static str,
    #[case] value: &'static str,
) {
    let (fleet, target) = fleet_with_target().await;
    target.behave(Behaviour::Stream(3));
    for path in ["/sticky/x", "/resumable/x"] {
        let answer = ClientRequest::new(path, "r-1").with(name, value).send(fleet.front(0)).await;
        assert!(answer.is_ok_and(|answer| [200, 400].contains(&answer.status)), "{path}");
    }
    is_served_stream(&fleet).await;
}

async fn is_served_stream(fleet: &Fleet) {
    let answer =
        ClientRequest::new("/resumable/x", "r-2").send(fleet.front(0)).await.expect("whole");
    assert_eq!(answer.status, 200);
}
