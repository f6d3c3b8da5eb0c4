//! A request that is not repeatable runs at most once. Sent again with the same
//! `latchmount-request-key` it gets the stored answer.

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::accepted_config::leader;
use crate::own_answer::{call_hostile, with_hostile};
use crate::support::{Fleet, FleetOptions, eventually};

/// A new request key: a UUIDv7 of the current time.
fn new_key() -> String {
    #[expect(clippy::disallowed_methods, reason = "request keys contain the wall-clock time")]
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let random: u128 = rand::random::<u128>() & ((1 << 76) - 1);
    let bits = now << 80 | 7 << 76 | random;
    let hex = format!("{bits:032x}");
    format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..])
}

async fn call(fleet: &Fleet, router: usize, id: &str, key: &str) -> (u16, String) {
    call_lasting(fleet, router, id, key, "0").await
}

/// Calls the plain service, which takes `ms` to answer.
async fn call_lasting(
    fleet: &Fleet,
    router: usize,
    id: &str,
    key: &str,
    ms: &str,
) -> (u16, String) {
    let headers = [("latchmount-request-key", key), ("x-takes-ms", ms)];
    let answer = fleet.call(router, id, &headers).await.expect("an answer");
    (answer.status().as_u16(), answer.text().await.expect("a body"))
}

/// The error code of a refusal, which must not say that the request did not run.
fn code(answer: &(u16, String)) -> String {
    let body: Value = serde_json::from_str(&answer.1).unwrap_or_default();
    assert_eq!(body["error"]["not_run"], false, "{answer:?}");
    body["error"]["code"].as_str().unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_request_gets_the_stored_answer_at_any_router() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    let key = new_key();
    let first = call(&fleet, 0, "port-1", &key).await;
    assert_eq!(first.0, 200);
    assert_eq!(call(&fleet, 0, "port-1", &key).await, first);
    assert_eq!(call(&fleet, 1, "port-1", &key).await, first);
    assert_eq!(fleet.service.runs("port-1"), 1);
    let other = call(&fleet, 1, "port-2", &key).await;
    assert_eq!((other.0, code(&other).as_str()), (409, "key_reused"));
    assert_eq!(fleet.service.runs("port-2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_many_resends_at_once_exactly_one_runs() {
    let fleet =
        Fleet::start_configured(FleetOptions { controls: 3, ..FleetOptions::default() }).await;
    for round in 0..10 {
        let (id, key) = (format!("race-{round}"), new_key());
        let calls = (0..8).map(|caller| call_lasting(&fleet, caller % 2, &id, &key, "50"));
        let answers = futures_util::future::join_all(calls).await;
        assert_eq!(fleet.service.runs(&id), 1, "{answers:?}");
        let (ran, others): (Vec<_>, Vec<_>) = answers.iter().partition(|answer| answer.0 == 200);
        assert!(!ran.is_empty(), "{answers:?}");
        assert!(others.iter().all(|answer| code(answer) == "outcome_unknown"), "{answers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_killed_after_sending_leaves_an_unknown_outcome_and_no_second_run() {
    let mut fleet = Fleet::start_configured(FleetOptions::default()).await;
    let key = new_key();
    let sent = call_lasting(&fleet, 0, "killed", &key, "5000");
    let started = eventually("it runs", async || (fleet.service.runs("killed") == 1).then_some(()));
    tokio::select! {
        _ = sent => panic!("it was to be running"),
        () = started => {}
    }
    fleet.routers[0].kill();
    let resent = call(&fleet, 1, "killed", &key).await;
    assert_eq!((resent.0, code(&resent).as_str()), (409, "outcome_unknown"));
    fleet.routers[0] = fleet.start_router(0);
    fleet.wait_until_healthy(0).await;
    assert_eq!(code(&call(&fleet, 0, "killed", &key).await), "outcome_unknown");
    assert_eq!(fleet.service.runs("killed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_outlives_failover_and_a_lost_disk() {
    let mut fleet =
        Fleet::start_configured(FleetOptions { controls: 3, ..FleetOptions::default() }).await;
    let key = new_key();
    let first = call(&fleet, 0, "once", &key).await;
    assert_eq!(first.0, 200);
    let old = leader(&fleet).await;
    fleet.controls[old].kill();
    std::fs::remove_dir_all(fleet.data_dir(old as u16)).unwrap();
    assert_eq!(call(&fleet, 1, "once", &key).await, first);
    fleet.controls[old] = fleet.start_control(old as u16);
    let (id, key) = ("after", new_key());
    assert_eq!(call(&fleet, 0, id, &key).await.0, 200);
    assert_eq!(fleet.service.runs("once"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_finds_the_answer_when_it_asks_again() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    let key = new_key();
    let sent = call_lasting(&fleet, 0, "left", &key, "300");
    let started = eventually("it runs", async || (fleet.service.runs("left") == 1).then_some(()));
    tokio::select! {
        _ = sent => panic!("it was to be running"),
        () = started => {}
    }
    let answer = eventually("the answer is stored", async || {
        let answer = call(&fleet, 1, "left", &key).await;
        (answer.0 == 200).then_some(answer)
    })
    .await;
    assert!(answer.1.contains("left"), "{answer:?}");
    assert_eq!(fleet.service.runs("left"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_layer_below_sends_a_request_a_second_time() {
    let (fleet, hostile) =
        with_hostile(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
    for round in 0..50 {
        // A successful call leaves a connection in the pool; on it the next one loses its answer, which
        // an HTTP client may take for a stale connection and retry by itself.
        call_hostile(&fleet, 0, &format!("/sound/{round}"), &[]).await.unwrap();
        let path = format!("/lost/{round}");
        let answer = call_hostile(&fleet, 0, &path, &[]).await.unwrap();
        assert!(!answer.status().is_success());
        assert!(hostile.runs(&path) <= 1, "{path} was sent twice");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_did_not_run_may_be_sent_again_under_its_key() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    let key = new_key();
    fleet.platform.remove("porting");
    eventually("the target is gone", async || {
        let answer = fleet.call(0, "probe", &[]).await.ok()?;
        (answer.status() == 503).then_some(())
    })
    .await;
    assert_eq!(call(&fleet, 0, "later", &key).await.0, 503);
    let serves = latchmount::targets::Serves::Service("porting".into());
    fleet.platform.add("porting", fleet.service.url(), serves);
    eventually("it runs under the same key", async || {
        let answer = call(&fleet, 1, "later", &key).await;
        (answer.0 == 200).then_some(())
    })
    .await;
    assert_eq!(fleet.service.runs("later"), 1);
}
