//! A target that is leaving receives no new work after a few seconds: at most `list_poll_ms` and
//! the lag of the list.

use serde_json::json;

use crate::support::engine::Fault;
use crate::support::{Fleet, FleetOptions, eventually};

async fn ask(fleet: &Fleet, count: usize, label: &str) -> usize {
    let mut answered = 0;
    for chat in 0..count {
        let text = format!("{label}-{chat}");
        let answer = fleet.chat(chat % 2, &text, &[&text], false).send().await.unwrap();
        answered += usize::from(answer.status() == 200);
    }
    answered
}

/// Waits until both routers have read the list twice, the second time as it is now.
async fn list_read(fleet: &Fleet) {
    for router in 0..2 {
        let name = "latchmount_control_bytes_total";
        let sent = async || fleet.metric(router, name, "sent\",kind=\"platform_list").await;
        let enough = sent().await + 150.0;
        eventually("the list is read", async || (sent().await > enough).then_some(())).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_listed_as_leaving_gets_no_new_work() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    fleet.platform.change("engine-0", |listed| listed.leaving = true);
    list_read(&fleet).await;
    let runs = fleet.engines[0].all_runs();
    assert_eq!(ask(&fleet, 40, "leaving").await, 40);
    assert_eq!(fleet.engines[0].all_runs(), runs, "a leaving engine got new work");
    // It flaps back under the same incarnation: the mark stays.
    fleet.platform.change("engine-0", |listed| listed.leaving = false);
    list_read(&fleet).await;
    ask(&fleet, 40, "flapping").await;
    assert_eq!(fleet.engines[0].all_runs(), runs, "a leaving engine was revived");
    // It starts anew.
    fleet.platform.change("engine-0", |listed| listed.incarnation = 2);
    list_read(&fleet).await;
    assert_eq!(ask(&fleet, 40, "anew").await, 40);
    assert!(fleet.engines[0].all_runs() > runs, "a new incarnation gets no work");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_targets_own_word_counts_before_a_lagging_list() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    fleet.platform.lag(true);
    fleet.engines[0].leave();
    assert_eq!(ask(&fleet, 40, "own-word").await, 40, "a refusal as not run was not retried");
    let runs = fleet.engines[0].all_runs();
    assert_eq!(ask(&fleet, 40, "after").await, 40);
    assert_eq!(fleet.engines[0].all_runs(), runs);
    // A stale list still calls it live, under its old incarnation.
    list_read(&fleet).await;
    ask(&fleet, 40, "stale").await;
    let retries = fleet.metric(0, "latchmount_retries_total", "target_refused").await;
    assert!(retries <= 1.0, "asked {retries} times though it said that it leaves");
}

/// What users saw at gateways, at routers too: a target that had asked for rest got requests all the while, 14 of 40 here.
/// Cause: a second path to targets decided by itself whether they may be sent anything; it heard that they leave, on each
/// answer, and that they want rest on none.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_asks_for_rest_gets_it() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    fleet.engines[0].fail_next(Fault::Rest(600));
    let runs = fleet.engines[0].all_runs();
    let rested = async || fleet.metric(0, "latchmount_retries_total", "target_refused").await;
    let mut asked = 0;
    eventually("it turns a request of the first router away", async || {
        asked += 1;
        let text = format!("first-{asked}");
        let answer = fleet.chat(0, &text, &[&text], false).send().await.ok()?;
        assert_eq!(answer.status(), 200);
        (rested().await > 0.0).then_some(())
    })
    .await;
    let before = fleet.engines[0].all_runs();
    assert_eq!(before, runs, "it had run nothing before it asked");
    for chat in 0..40 {
        let text = format!("later-{chat}");
        let answer = fleet.chat(0, &text, &[&text], false).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(fleet.engines[0].all_runs(), before, "it got work in its rest");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_whose_targets_all_rest_refuses_with_the_earliest_end() {
    let fleet =
        Fleet::start_configured(FleetOptions { engines: 1, ..FleetOptions::default() }).await;
    fleet.engines[0].fail_next(Fault::Rest(600));
    for text in ["first", "later"] {
        let answer = fleet.chat(0, text, &[text], false).send().await.unwrap();
        assert_eq!(answer.status(), 503);
        let wait = answer.headers()["retry-after"].to_str().unwrap().parse::<u64>().unwrap();
        assert!((500..=600).contains(&wait), "{text}: {wait}");
        let body: serde_json::Value = answer.json().await.unwrap();
        assert_eq!(
            (&body["error"]["code"], &body["error"]["not_run"]),
            (&json!("resting"), &json!(true))
        );
    }
    assert_eq!(fleet.engines[0].all_runs(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_stops_coming_is_suspect_and_own_evidence_decides() {
    let router = json!({ "list_max_age_ms": 1_500 });
    let fleet = Fleet::start_configured(FleetOptions { router, ..FleetOptions::default() }).await;
    // An engine that joined but never answered this router yet, and then the list falls silent.
    fleet.platform.silence(true);
    let started = std::time::Instant::now();
    let mut refused = None;
    while started.elapsed().as_secs() < 4 {
        let answer = fleet.call(0, "working", &[]).await.unwrap();
        assert_eq!(answer.status(), 200, "a target that answers all the time was given up");
        let chat = fleet.chat(1, "rare", &["rare"], false);
        if started.elapsed().as_millis() > 3_500 && refused.is_none() {
            refused = Some(chat.send().await.unwrap().status());
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(refused.unwrap(), 503, "a target that nothing vouches for got work");
    fleet.platform.silence(false);
    eventually("it goes on", async || (ask(&fleet, 4, "back").await == 4).then_some(())).await;
}
