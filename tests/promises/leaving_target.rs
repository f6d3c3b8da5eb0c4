//! A target that is shutting down, or that asked for a pause with Retry-After, gets no new requests. The platform's list
//! announces a shutdown with a delay of at most `list_poll_ms` and the list's own lag.

use serde_json::json;

use crate::support::engine::Fault;
use crate::support::{Fleet, FleetOptions, eventually};

/// Sends chats to both routers in turn; returns how many got status 200.
async fn send_chats(fleet: &Fleet, count: usize, label: &str) -> usize {
    let mut answered = 0;
    for chat in 0..count {
        let text = format!("{label}-{chat}");
        let answer = fleet.chat(chat % 2, &text, &[&text], false).send().await.unwrap();
        answered += usize::from(answer.status() == 200);
    }
    answered
}

/// Waits until both routers have read the list twice more, so that the second read began after this
/// call. More than 150 further bytes sent to the platform mean two requests.
async fn wait_until_list_read(fleet: &Fleet) {
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
    wait_until_list_read(&fleet).await;
    let runs = fleet.engines[0].all_runs();
    assert_eq!(send_chats(&fleet, 40, "leaving").await, 40);
    assert_eq!(fleet.engines[0].all_runs(), runs, "a leaving engine got new work");
    // The list no longer marks it as leaving, but the incarnation is the same: it stays excluded.
    fleet.platform.change("engine-0", |listed| listed.leaving = false);
    wait_until_list_read(&fleet).await;
    send_chats(&fleet, 40, "flapping").await;
    assert_eq!(fleet.engines[0].all_runs(), runs, "a leaving engine was revived");
    // It restarts with a new incarnation.
    fleet.platform.change("engine-0", |listed| listed.incarnation = 2);
    wait_until_list_read(&fleet).await;
    assert_eq!(send_chats(&fleet, 40, "anew").await, 40);
    assert!(fleet.engines[0].all_runs() > runs, "a new incarnation gets no work");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_targets_own_shutdown_notice_overrides_a_lagging_list() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    fleet.platform.lag(true);
    fleet.engines[0].drain();
    assert_eq!(
        send_chats(&fleet, 40, "own-word").await,
        40,
        "a refusal as not run was not retried"
    );
    let runs = fleet.engines[0].all_runs();
    assert_eq!(send_chats(&fleet, 40, "after").await, 40);
    assert_eq!(fleet.engines[0].all_runs(), runs);
    // The stale list still shows it as live under its old incarnation.
    wait_until_list_read(&fleet).await;
    send_chats(&fleet, 40, "stale").await;
    let retries = fleet.metric(0, "latchmount_retries_total", "target_refused").await;
    assert!(
        retries <= 1.0,
        "{retries} requests were sent to a target that had announced its shutdown"
    );
}

/// Guards against requests to a target during its Retry-After: it got 14 of these 40, at routers as at gateways. A second
/// code path to targets decided on its own whether a target may be sent requests. It read from each response whether the
/// target was shutting down, but never its Retry-After.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_requests_during_its_retry_after() {
    let fleet = Fleet::start_configured(FleetOptions::default()).await;
    fleet.engines[0].fail_next(Fault::RetryAfter(600));
    let runs = fleet.engines[0].all_runs();
    let rejections = async || fleet.metric(0, "latchmount_retries_total", "target_refused").await;
    let mut sent = 0;
    eventually("the target rejects a request of the first router", async || {
        sent += 1;
        let text = format!("first-{sent}");
        let answer = fleet.chat(0, &text, &[&text], false).send().await.ok()?;
        assert_eq!(answer.status(), 200);
        (rejections().await > 0.0).then_some(())
    })
    .await;
    let before = fleet.engines[0].all_runs();
    assert_eq!(before, runs, "it ran requests before it sent Retry-After");
    for chat in 0..40 {
        let text = format!("later-{chat}");
        let answer = fleet.chat(0, &text, &[&text], false).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(fleet.engines[0].all_runs(), before, "it got requests during its Retry-After");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_whose_targets_all_back_off_refuses_with_the_earliest_end() {
    let fleet =
        Fleet::start_configured(FleetOptions { engines: 1, ..FleetOptions::default() }).await;
    fleet.engines[0].fail_next(Fault::RetryAfter(600));
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
async fn without_list_updates_only_targets_that_answered_get_requests() {
    let router = json!({ "list_max_age_ms": 1_500 });
    let fleet = Fleet::start_configured(FleetOptions { router, ..FleetOptions::default() }).await;
    // The platform stops answering, while the second router has not had any response from an engine.
    fleet.platform.set_unavailable(true);
    let started = std::time::Instant::now();
    let mut refused = None;
    while started.elapsed().as_secs() < 4 {
        let answer = fleet.call(0, "working", &[]).await.unwrap();
        assert_eq!(answer.status(), 200, "a target that kept answering was no longer used");
        let chat = fleet.chat(1, "rare", &["rare"], false);
        if started.elapsed().as_millis() > 3_500 && refused.is_none() {
            refused = Some(chat.send().await.unwrap().status());
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(
        refused.unwrap(),
        503,
        "a target got a request though the list is too old and it never answered this router"
    );
    fleet.platform.set_unavailable(false);
    eventually("chats are answered again", async || {
        (send_chats(&fleet, 4, "back").await == 4).then_some(())
    })
    .await;
}
