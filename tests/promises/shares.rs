//! A team with a surge of requests may use idle capacity, but not another team's share.

use std::time::Instant;

use serde_json::json;

use crate::support::engine::EngineOptions;
use crate::support::{Fleet, FleetOptions, eventually, template};

#[tokio::test(flavor = "multi_thread")]
async fn a_surging_team_makes_room_for_another_teams_share() {
    let engine = EngineOptions { token_ms: 100, tokens: 15, batch: 1_000, ..Default::default() };
    let router = json!({ "engine_slots": 10, "queue_wait_ms": 60_000, "queue_len": 500 });
    let control = json!({ "freshness_lease_ms": 2_500 });
    let options = FleetOptions { engines: 1, engine, router, control, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    let mut both = template();
    both["teams"] = json!({
        "agents": { "share_percent": 40 }, "checkers": { "share_percent": 40 },
    });
    fleet.submit(&both, "both").await;
    fleet.wait_until_serving().await;
    fleet.wait_for_router_discovery().await;
    let send_chat = async |team: &str, number: usize| {
        let chat = format!("{team}-{number}");
        let request = fleet.chat(number % 2, &chat, &[&chat], false);
        let name = [("latchmount-team".parse().unwrap(), team.parse().unwrap())];
        let answer = request.headers(name.into_iter().collect()).send().await.unwrap();
        assert_eq!(answer.status(), 200, "{chat}");
        Instant::now()
    };
    let surge = futures_util::future::join_all((0..40).map(|number| send_chat("agents", number)));
    let share = async {
        eventually("the surge uses all idle capacity", async || {
            (fleet.engines[0].load() == 10).then_some(())
        })
        .await;
        futures_util::future::join_all((0..4).map(|number| send_chat("checkers", number))).await
    };
    let (surge, share) = tokio::join!(surge, share);
    let waited_for = surge.iter().filter(|end| **end < *share.iter().max().unwrap()).count();
    assert!(
        waited_for <= 30,
        "{waited_for} of 40 surging requests ended before the other team's requests did"
    );
}
