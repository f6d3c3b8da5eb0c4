//! A request that is refused with `not_run: true` was run by no target.

use std::time::Duration;

use latchmount::targets::Serves;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::own_answer::{call_hostile, with_hostile};
use crate::support::engine::{EngineOptions, Fault};
use crate::support::{Fleet, FleetOptions, eventually};

/// Error code and `not_run` of a refusal. Its Retry-After header must be present exactly if the body has
/// `retry_after_s`.
async fn refusal(answer: reqwest::Response) -> (String, bool) {
    let status = answer.status();
    let retry_after = answer.headers().contains_key("retry-after");
    let body: Value = answer.json().await.expect("a JSON body");
    let error = &body["error"];
    assert_eq!(retry_after, error.get("retry_after_s").is_some(), "{status} {body}");
    (error["code"].as_str().expect("a code").to_owned(), error["not_run"] == true)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_as_not_run_means_that_no_target_ran_it() {
    let router = json!({ "max_in_flight_per_target": 1, "queue_wait_ms": 100, "max_body_kib": 1 });
    let fleet =
        Fleet::start_configured(FleetOptions { engines: 1, router, ..FleetOptions::default() })
            .await;
    let call = async |id: &str, headers: &[(&str, &str)]| {
        refusal(fleet.call(0, id, headers).await.expect("an answer")).await
    };
    let expect = |code: &str| (code.to_owned(), true);

    let url = format!("{}/services/porting/x", fleet.router_url(0));
    let nameless = fleet.http.get(&url).send().await.unwrap();
    assert_eq!(refusal(nameless).await, expect("bad_request"));
    assert_eq!(call("team", &[("latchmount-team", "nobody")]).await.0, "bad_request");
    let stranger = fleet.http.get(&url).header("latchmount-team", "nobody").send().await.unwrap();
    assert_eq!(refusal(stranger).await, expect("unknown_team"));
    let deadline = call("soon", &[("latchmount-deadline-ms", "never")]).await;
    assert_eq!(deadline, expect("bad_request"));
    let large = fleet.http.post(&url).header("latchmount-team", "agents").body(vec![b'x'; 5_000]);
    assert_eq!(refusal(large.send().await.unwrap()).await, expect("body_too_large"));
    let key = call("key", &[("latchmount-request-key", "not a uuid")]).await;
    assert_eq!(key, expect("bad_request"));
    let old =
        call("old", &[("latchmount-request-key", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f")]).await;
    assert_eq!(old, expect("key_too_old"));

    // One call occupies the only slot; the next waits in the queue until it is refused.
    let held = fleet.call(0, "holds", &[("x-takes-ms", "1500")]);
    let refused = async {
        eventually("the slot is taken", async || (fleet.service.runs("holds") == 1).then_some(()))
            .await;
        call("queued", &[]).await
    };
    let (held, refused) = tokio::join!(held, refused);
    assert_eq!(held.unwrap().status(), 200);
    assert_eq!(refused, expect("overloaded"));

    fleet.platform.remove("porting");
    let gone = eventually("the target is gone", async || {
        let answer = fleet.call(0, "gone", &[]).await.ok()?;
        if answer.status() == 200 { None } else { Some(refusal(answer).await) }
    })
    .await;
    assert_eq!(gone, expect("no_target"));
    for id in ["team", "soon", "key", "old", "queued"] {
        assert_eq!(fleet.service.runs(id), 0, "{id} ran");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_refuse_or_cannot_be_reached_did_not_run_it() {
    let router = json!({ "retry_percent": 0, "connect_timeout_ms": 300 });
    let fleet =
        Fleet::start_configured(FleetOptions { engines: 1, router, ..FleetOptions::default() })
            .await;
    fleet.engines[0].fail_next(Fault::Refuse);
    let refused = fleet.chat(0, "refused", &["refused"], false).send().await.unwrap();
    assert_eq!(refusal(refused).await, ("target_refused".into(), true));
    assert_eq!(fleet.engines[0].runs("refused"), 0);

    // Nothing listens at this address.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.platform.add("closed", &format!("http://{closed}"), Serves::Service("closed".into()));
    let url = format!("{}/services/closed/x", fleet.router_url(0));
    let unreached = eventually("the target is listed", async || {
        let answer = fleet.http.get(&url).header("latchmount-team", "agents").send().await.ok()?;
        let refused = refusal(answer).await;
        (refused.0 != "no_target").then_some(refused)
    })
    .await;
    assert_eq!(unreached, ("connect_failed".into(), true));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_have_run_is_never_called_not_run() {
    let (fleet, hostile) = with_hostile(FleetOptions::default()).await;
    let lost = call_hostile(&fleet, 0, "/lost/1", &[]).await.unwrap();
    assert_eq!(refusal(lost).await, ("answer_lost".into(), false));
    assert_eq!(hostile.runs("/lost/1"), 1);
    let hurry = [("latchmount-deadline-ms", "100")];
    let late = call_hostile(&fleet, 0, "/late/1", &hurry).await.unwrap();
    assert_eq!(refusal(late).await, ("answer_late".into(), false));
    assert_eq!(hostile.runs("/late/1"), 1);
    let wrong = fleet.chat(0, "wrong", &["wrong"], false);
    fleet.engines.iter().for_each(|engine| engine.fail_next(Fault::WrongAttempt));
    let router = fleet.metric(0, "latchmount_retries_total", "wrong_answer").await;
    wrong.send().await.unwrap();
    assert!(fleet.metric(0, "latchmount_retries_total", "wrong_answer").await > router);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_answered_at_once_and_not_held_until_the_deadline() {
    let router = json!({ "max_in_flight_per_target": 1, "queue_wait_ms": 50 });
    let fleet =
        Fleet::start_configured(FleetOptions { engines: 1, router, ..FleetOptions::default() })
            .await;
    let held = fleet.call(0, "holds", &[("x-takes-ms", "8000")]);
    let refused = async {
        eventually("the slot is taken", async || (fleet.service.runs("holds") == 1).then_some(()))
            .await;
        fleet.call(0, "refused", &[("latchmount-deadline-ms", "3600000")]).await.unwrap()
    };
    tokio::select! {
        _ = held => panic!("the refusal was held back"),
        answer = refused => assert_eq!(refusal(answer).await.0, "overloaded"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_router_says_nothing_and_the_request_ran_at_most_once() {
    let engine = EngineOptions { token_ms: 20, ..EngineOptions::default() };
    let mut fleet =
        Fleet::start_configured(FleetOptions { engine, ..FleetOptions::default() }).await;
    for step in 0..6u64 {
        let id = format!("step-{step}");
        let call = fleet.call(0, &id, &[("x-takes-ms", "40")]);
        let killed = async {
            tokio::time::sleep(Duration::from_millis(step * 10)).await;
            fleet.routers[0].signal(Signal::SIGKILL);
        };
        let (answer, ()) = tokio::join!(call, killed);
        if let Ok(answer) = answer {
            assert_eq!(answer.status(), 200);
        }
        fleet.routers[0].kill();
        assert!(fleet.service.runs(&id) <= 1);
        fleet.routers[0] = fleet.start_router(0);
        fleet.wait_until_healthy(0).await;
    }
}

/// Sends a request head, and the body after `pause`, or never for `None`. Returns the whole response.
async fn call_with_late_body(fleet: &Fleet, headers: &str, pause: Option<Duration>) -> String {
    let addr = fleet.router_url(0).replace("http://", "");
    let mut stream = tokio::net::TcpStream::connect(addr).await.expect("a connection");
    let head = format!(
        "POST /services/porting/late HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         latchmount-team: agents\r\nx-call-id: late\r\n{headers}content-length: 4\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a head");
    if let Some(pause) = pause {
        tokio::time::sleep(pause).await;
        stream.write_all(b"body").await.expect("a body");
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_passed_deadlines_and_failed_claims_ran_nowhere() {
    let router = json!({ "body_timeout_ms": 500 });
    let fleet = Fleet::start_configured(FleetOptions { router, ..FleetOptions::default() }).await;
    let slow = call_with_late_body(&fleet, "", None).await;
    assert!(slow.contains("408") && slow.contains("slow_caller"), "{slow}");
    let hurry = "latchmount-deadline-ms: 20\r\n";
    let late = call_with_late_body(&fleet, hurry, Some(Duration::from_millis(200))).await;
    assert!(late.contains("504") && late.contains("deadline_passed"), "{late}");
    fleet.controls[0].signal(Signal::SIGSTOP);
    let key = ("latchmount-request-key", "01890a5d-ac96-774b-bcce-b302099a8057");
    let unclaimed = fleet.call(0, "late", &[key, ("latchmount-deadline-ms", "300")]).await.unwrap();
    assert_eq!(refusal(unclaimed).await, ("claim_failed".into(), true));
    fleet.controls[0].signal(Signal::SIGCONT);
    assert_eq!(fleet.service.runs("late"), 0);
}
