//! No engine carries more than the set multiple of the mean load, while each router sees a sliver.

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
    // Short, so that a lost router is soon known as lost.
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

/// Most and sum of the requests at the engines, by their own count.
fn loads(fleet: &Fleet) -> (usize, usize) {
    let loads = fleet.engines.iter().map(|engine| engine.load());
    (loads.clone().max().unwrap_or(0), loads.sum())
}

/// Waits until every router knows of every other, so that slots are granted.
async fn slots_ready(fleet: &Fleet) {
    fleet.wait_for_router_discovery().await;
    eventually("owners know every slot", async || {
        let answer = fleet.chat(0, "probe", &["probe"], true).send().await.ok()?;
        answer.status().is_success().then_some(())
    })
    .await;
}

/// Opens streams at all routers, every third of one and the same chat.
async fn surge(fleet: &Fleet) -> Vec<reqwest::Response> {
    let requests = (0..STREAMS).map(|number| {
        let chat = if number % 3 == 0 { "surging".to_owned() } else { number.to_string() };
        fleet.chat(number % usize::from(ROUTERS), &chat, &[&number.to_string()], true).send()
    });
    let answers = futures_util::future::join_all(requests).await;
    let answers = answers.into_iter().map(|answer| answer.expect("an answer"));
    answers.filter(|answer| answer.status() == 200).collect()
}

fn assert_bound(fleet: &Fleet, when: &str) {
    let (most, sum) = loads(fleet);
    let allowed = (sum as f64 / ENGINES as f64 * BOUND).ceil() as usize + 1;
    assert!(most <= allowed, "{when}: {most} at one engine where {allowed} are allowed of {sum}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surge_through_all_routers_stays_within_the_bound() {
    let fleet = Fleet::start_configured(options()).await;
    slots_ready(&fleet).await;
    let open = surge(&fleet).await;
    assert!(open.len() > STREAMS * 9 / 10, "only {} streams were admitted", open.len());
    assert_bound(&fleet, "at the top of the surge");
    for stream in open {
        assert!(stream.text().await.unwrap().contains("[DONE]"));
    }
    eventually("every slot is free again", async || (loads(&fleet).1 == 0).then_some(())).await;
    let again = surge(&fleet).await;
    assert!(again.len() > STREAMS * 9 / 10, "capacity leaked: only {} admitted", again.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_bound_holds_when_routers_are_lost_and_restarted_with_streams_open() {
    let mut fleet = Fleet::start_configured(options()).await;
    slots_ready(&fleet).await;
    for lost in 0..2usize {
        let open = surge(&fleet).await;
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
        drop(open);
        eventually("the engines are idle", async || (loads(&fleet).1 == 0).then_some(())).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let open = eventually("no capacity is leaked", async || {
        let open = surge(&fleet).await;
        (open.len() > STREAMS * 9 / 10).then_some(open)
    })
    .await;
    assert_bound(&fleet, "in the end");
    drop(open);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_take_no_work_do_not_count_in_the_mean() {
    let fleet = Fleet::start_configured(options()).await;
    slots_ready(&fleet).await;
    for engine in ["engine-0", "engine-1", "engine-2"] {
        assert!(fleet.operator(&["drain", engine]).status.success());
    }
    let revision = fleet.operator(&["drain", "engine-2"]);
    let revision = crate::support::word_after(&crate::support::text(&revision.stdout), "revision");
    assert!(fleet.operator(&["template", "wait", &revision]).status.success());
    let open = surge(&fleet).await;
    assert_eq!(open.len(), STREAMS, "the engine left was held to a mean that counts the drained");
}
