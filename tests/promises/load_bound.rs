//! No engine gets more than `BOUND` times the mean load, although each router sees only its own part of
//! the requests.

use std::time::Duration;

use serde_json::json;

use crate::support::engine::EngineOptions;
use crate::support::{Fleet, FleetOptions, eventually};

const ROUTERS: u16 = 4;
const ENGINES: usize = 4;
const STREAMS: usize = 40;
const BOUND: f64 = 1.25;

fn options() -> FleetOptions {
    let engine = EngineOptions { token_ms: 100, tokens: 60, batch: 1_000, ..Default::default() };
    let router = json!({ "queue_wait_ms": 5_000, "queue_len": 500 });
    // Short, so that the loss of a router is soon detected.
    let control = json!({ "freshness_lease_ms": 2_500 });
    FleetOptions {
        routers: ROUTERS,
        engines: ENGINES,
        engine,
        router,
        control,
        ..FleetOptions::default()
    }
}

/// Maximum and sum of the requests at the engines, as the engines count them.
fn loads(fleet: &Fleet) -> (usize, usize) {
    let loads = fleet.engines.iter().map(|engine| engine.load());
    (loads.clone().max().unwrap_or(0), loads.sum())
}

/// Waits until the routers know each other and grant slots.
async fn wait_until_slots_granted(fleet: &Fleet) {
    fleet.wait_for_router_discovery().await;
    eventually("slots are granted", async || {
        let answer = fleet.chat(0, "probe", &["probe"], true).send().await.ok()?;
        answer.status().is_success().then_some(())
    })
    .await;
}

/// Opens streams at all routers, every third one for the same chat; returns those that were admitted.
async fn surge(fleet: &Fleet) -> Vec<reqwest::Response> {
    let requests = (0..STREAMS).map(|number| {
        let chat = if number % 3 == 0 { "surging".to_owned() } else { number.to_string() };
        fleet.chat(number % usize::from(ROUTERS), &chat, &[&number.to_string()], true).send()
    });
    let answers = futures_util::future::join_all(requests).await;
    let answers = answers.into_iter().map(|answer| answer.expect("an answer"));
    answers.filter(|answer| answer.status() == 200).collect()
}

/// Checks that no engine has more than `BOUND` times the mean load, rounded up, and one request.
fn assert_bound(fleet: &Fleet, when: &str) {
    let (max, sum) = loads(fleet);
    let allowed = (sum as f64 / ENGINES as f64 * BOUND).ceil() as usize + 1;
    assert!(max <= allowed, "{when}: {max} at one engine where {allowed} are allowed of {sum}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surge_through_all_routers_stays_within_the_bound() {
    let fleet = Fleet::start_configured(options()).await;
    wait_until_slots_granted(&fleet).await;
    let streams = surge(&fleet).await;
    assert!(streams.len() > STREAMS * 9 / 10, "only {} streams were admitted", streams.len());
    assert_bound(&fleet, "at the top of the surge");
    for stream in streams {
        assert!(stream.text().await.unwrap().contains("[DONE]"));
    }
    eventually("every slot is free again", async || (loads(&fleet).1 == 0).then_some(())).await;
    let again = surge(&fleet).await;
    assert!(again.len() > STREAMS * 9 / 10, "capacity leaked: only {} admitted", again.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_bound_holds_when_routers_are_lost_and_restarted_with_streams_open() {
    let mut fleet = Fleet::start_configured(options()).await;
    wait_until_slots_granted(&fleet).await;
    for lost in 0..2usize {
        let streams = surge(&fleet).await;
        assert_bound(&fleet, "before the loss");
        fleet.routers[lost].kill();
        eventually("the others take over", async || {
            let answer = fleet.chat(3, "after", &["after"], true).send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
        assert_bound(&fleet, "after the loss");
        fleet.routers[lost] = fleet.start_router(lost as u16);
        fleet.wait_until_healthy(lost).await;
        drop(streams);
        eventually("the engines are idle", async || (loads(&fleet).1 == 0).then_some(())).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let streams = eventually("no capacity is leaked", async || {
        let streams = surge(&fleet).await;
        (streams.len() > STREAMS * 9 / 10).then_some(streams)
    })
    .await;
    assert_bound(&fleet, "in the end");
    drop(streams);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_take_no_work_do_not_count_in_the_mean() {
    let fleet = Fleet::start_configured(options()).await;
    wait_until_slots_granted(&fleet).await;
    for engine in ["engine-0", "engine-1", "engine-2"] {
        assert!(fleet.operator(&["drain", engine]).status.success());
    }
    let revision = fleet.operator(&["drain", "engine-2"]);
    let revision = crate::support::word_after(&crate::support::text(&revision.stdout), "revision");
    assert!(fleet.operator(&["template", "wait", &revision]).status.success());
    let streams = surge(&fleet).await;
    assert_eq!(
        streams.len(),
        STREAMS,
        "drained engines were counted in the mean load that limits the remaining one"
    );
}
