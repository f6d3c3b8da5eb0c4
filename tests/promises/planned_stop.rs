//! A planned stop (SIGTERM) or drain cuts off no request in flight.

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::support::engine::EngineOptions;
use crate::support::{Fleet, FleetOptions, eventually};

fn slow_engine() -> EngineOptions {
    EngineOptions { token_ms: 100, tokens: 30, ..EngineOptions::default() }
}

/// Whether a stream ended with its end marker.
fn is_complete(body: &str) -> bool {
    body.trim_end().ends_with("data: [DONE]")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_router_fails_its_health_refuses_new_work_and_ends_its_streams() {
    let router = json!({ "stop_notice_ms": 1_000 });
    let mut fleet = Fleet::start_configured(FleetOptions {
        engine: slow_engine(),
        router,
        ..FleetOptions::default()
    })
    .await;
    let requests = (0..20).map(|chat| fleet.chat(0, &chat.to_string(), &["long"], true).send());
    let streams = futures_util::future::join_all(requests).await;
    fleet.routers[0].signal(Signal::SIGTERM);
    let health = format!("{}/healthz", fleet.router_url(0));
    eventually("health fails", async || {
        let answer = fleet.http.get(&health).send().await.ok()?;
        (answer.status() == 503).then_some(())
    })
    .await;
    let refused = eventually("new work is refused", async || {
        let answer = fleet.call(0, "new", &[]).await.ok()?;
        (answer.status() == 503).then_some(answer)
    })
    .await;
    let body: Value = refused.json().await.unwrap();
    assert_eq!(
        (&body["error"]["code"], &body["error"]["not_run"]),
        (&json!("stopping"), &json!(true))
    );
    for stream in streams {
        let body = stream.unwrap().text().await.expect("a stream that is not cut");
        assert!(is_complete(&body), "{body}");
    }
    assert_eq!(fleet.routers[0].wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_the_process_at_once() {
    let engine = EngineOptions { token_ms: 1_000, tokens: 1_000, ..EngineOptions::default() };
    let mut fleet =
        Fleet::start_configured(FleetOptions { engine, ..FleetOptions::default() }).await;
    let _stream = fleet.chat(0, "endless", &["endless"], true).send().await.unwrap();
    fleet.routers[0].signal(Signal::SIGTERM);
    eventually("the router begins to stop", async || {
        fleet.read_log("router-0").contains("event=stopping").then_some(())
    })
    .await;
    fleet.routers[0].signal(Signal::SIGTERM);
    assert_eq!(fleet.routers[0].wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_that_takes_too_long_ends_and_says_what_it_cut() {
    let engine = EngineOptions { token_ms: 1_000, tokens: 1_000, ..EngineOptions::default() };
    let router = json!({ "stop_timeout_ms": 500 });
    let mut fleet =
        Fleet::start_configured(FleetOptions { engine, router, ..FleetOptions::default() }).await;
    let _stream = fleet.chat(0, "endless", &["endless"], true).send().await.unwrap();
    fleet.routers[0].signal(Signal::SIGTERM);
    assert_eq!(fleet.routers[0].wait_for_exit().await, Some(0));
    eventually("the router logs the stop timeout", async || {
        fleet.read_log("router-0").contains("event=stop_timeout").then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_engine_and_service_end_what_they_have_and_get_nothing_new() {
    let fleet =
        Fleet::start_configured(FleetOptions { engine: slow_engine(), ..FleetOptions::default() })
            .await;
    let requests = (0..10).map(|chat| fleet.chat(0, &chat.to_string(), &["long"], true).send());
    let streams = futures_util::future::join_all(requests).await;
    assert!(fleet.operator(&["drain", "engine-0"]).status.success());
    assert!(fleet.operator(&["drain", "porting-host"]).status.success());
    eventually("both routers apply the drain", async || {
        let first = fleet.call(0, "drained", &[]).await.ok()?.status();
        let second = fleet.call(1, "drained", &[]).await.ok()?.status();
        (first == 503 && second == 503).then_some(())
    })
    .await;
    let runs = fleet.engines[0].all_runs();
    let requests =
        (0..20).map(|chat| fleet.chat(chat % 2, &format!("new-{chat}"), &["new"], false).send());
    for answer in futures_util::future::join_all(requests).await {
        assert_eq!(answer.unwrap().status(), 200);
    }
    assert_eq!(fleet.engines[0].all_runs(), runs, "a drained engine got new work");
    for stream in streams {
        assert!(is_complete(&stream.unwrap().text().await.unwrap()));
    }
    assert!(fleet.operator(&["drain", "--undo", "porting-host"]).status.success());
    fleet.wait_until_healthy(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_routers_loses_nothing() {
    const ROUTERS: u16 = 8;
    let engine = EngineOptions { token_ms: 10, ..EngineOptions::default() };
    let router = json!({ "stop_notice_ms": 500 });
    let mut fleet = Fleet::start_configured(FleetOptions {
        routers: ROUTERS,
        engine,
        router,
        ..FleetOptions::default()
    })
    .await;
    let balancer = Balancer {
        urls: (0..usize::from(ROUTERS)).map(|number| fleet.router_url(number)).collect(),
        http: fleet.http.clone(),
    };
    let stop = tokio::sync::watch::channel(false);
    let callers: Vec<_> = (0..16)
        .map(|caller| tokio::spawn(balancer.clone().send_until(caller, stop.1.clone())))
        .collect();
    for number in 0..ROUTERS {
        fleet.routers[usize::from(number)].signal(Signal::SIGTERM);
        assert_eq!(fleet.routers[usize::from(number)].wait_for_exit().await, Some(0));
        fleet.routers[usize::from(number)] = fleet.start_router(number);
        fleet.wait_until_healthy(usize::from(number)).await;
    }
    stop.0.send_replace(true);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.expect("a caller that lost no answer");
    }
    assert!(answered > 100, "only {answered} answers");
}

/// Sends requests only to routers whose health check passes, as the platform's load balancer does.
#[derive(Clone)]
struct Balancer {
    urls: Vec<String>,
    http: reqwest::Client,
}

impl Balancer {
    /// Sends requests in turn to all routers until `stop` is set. A healthy router must answer each one
    /// completely. Returns the number of rounds, including those skipped because a router was unhealthy.
    async fn send_until(self, caller: usize, stop: tokio::sync::watch::Receiver<bool>) -> usize {
        let mut answered = 0;
        while !*stop.borrow() {
            let url = &self.urls[(caller + answered) % self.urls.len()];
            let health = self.http.get(format!("{url}/healthz")).send().await;
            if !health.is_ok_and(|answer| answer.status() == 200) {
                answered += 1;
                continue;
            }
            let text = format!("{caller}-{answered}");
            let request = self
                .http
                .post(format!("{url}/v1/chat/completions"))
                .header("latchmount-team", "agents")
                .json(
                    &json!({ "stream": true, "messages": [{ "role": "user", "content": text }] }),
                );
            let answer = request.send().await.expect("an answer of a healthy router");
            assert_eq!(answer.status(), 200, "a healthy router refused");
            let body = answer.text().await.expect("a stream that is not cut");
            assert!(is_complete(&body) && body.contains(&format!("re:{text}")), "{body}");
            answered += 1;
        }
        answered
    }
}
