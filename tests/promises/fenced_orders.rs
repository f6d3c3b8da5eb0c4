//! Engines load the models that the templates name. No order from an old leader takes effect after one
//! from a newer leader, and no model is unloaded while responses still use it.

use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};

use crate::accepted_config::{leader, revise_to};
use crate::support::engine::{EngineOptions, spec};
use crate::support::{Fleet, FleetOptions, eventually, template};

/// Control settings that hardly limit how often models are loaded, with a short lease.
fn quick_loads() -> Value {
    json!({ "loads_per_minute": 6_000, "freshness_lease_ms": 2_500 })
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_moves_to_another_model_only_when_its_answers_have_ended() {
    let engine = EngineOptions { token_ms: 50, tokens: 100, ..EngineOptions::default() };
    let fleet = Fleet::start_configured(FleetOptions {
        engine,
        control: quick_loads(),
        ..FleetOptions::default()
    })
    .await;
    let streams = (0..8).map(|chat| {
        let chat = chat.to_string();
        let request = fleet.chat(0, &chat, &[&chat], true);
        async move { request.send().await.expect("a stream") }
    });
    let streams = futures_util::future::join_all(streams).await;
    assert!(fleet.engines.iter().all(|engine| engine.all_runs() > 0), "an engine has no stream");

    let mut other = template();
    other["name"] = json!("licenses");
    other["model"] = json!("m9");
    other["teams"] = json!({ "legal": { "share_percent": 40 } });
    fleet.submit(&other, "other-model").await;
    for stream in streams {
        let text = stream.text().await.expect("a whole stream");
        assert!(text.trim_end().ends_with("data: [DONE]"), "an answer was cut: {text}");
    }
    let answer = eventually("the other model is served", async || {
        let request = fleet.chat(1, "legal", &["is this free?"], false);
        let team = [("latchmount-team".parse().unwrap(), "legal".parse().unwrap())];
        let answer = request.headers(team.into_iter().collect()).send().await.ok()?;
        answer.status().is_success().then_some(answer)
    })
    .await;
    assert!(answer.text().await.unwrap().contains("re:is this free?"));
    let serving =
        |model| fleet.engines.iter().filter(|engine| engine.models() == [spec(model)]).count();
    assert_eq!((serving("m7@3"), serving("m9@3")), (1, 1));
}

#[rstest]
#[case::engines_that_check(true)]
#[case::engines_that_do_not_check(false)]
#[tokio::test(flavor = "multi_thread")]
async fn orders_take_effect_in_the_order_of_their_leaders(#[case] fenced: bool) {
    let engine = EngineOptions { fenced, ..EngineOptions::default() };
    let fleet = Fleet::start_configured(FleetOptions {
        controls: 3,
        engine,
        control: quick_loads(),
        ..FleetOptions::default()
    })
    .await;
    let mut frozen = None;
    for round in 0..6u64 {
        if round == 2 {
            let old = leader(&fleet).await;
            fleet.controls[old].signal(Signal::SIGSTOP);
            frozen = Some(old);
        }
        if round == 4 {
            fleet.controls[frozen.expect("a frozen leader")].signal(Signal::SIGCONT);
        }
        let mut revised = template();
        let adapter = format!("a{round}");
        revised["adapter"] = json!(adapter);
        revise_to(&fleet, round + 1, &adapter, &revised).await;
        let wanted = spec(&format!("m7@3+{adapter}"));
        eventually("all engines have the adapter", async || {
            let have = fleet.engines.iter().all(|engine| engine.models().contains(&wanted));
            have.then_some(())
        })
        .await;
    }
    for engine in &fleet.engines {
        let orders = engine.orders();
        assert!(orders.windows(2).all(|pair| pair[0] < pair[1]), "out of order: {orders:?}");
        assert!(
            orders[0].0 < orders[orders.len() - 1].0,
            "only one leader gave orders: {orders:?}"
        );
    }
}
