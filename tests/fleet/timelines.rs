//! The timeline that `explain` builds from log lines shows for each request id how it ended, why, and what the gateway
//! knew when it decided.

use std::time::Duration;

use latchmount::explain::{Step, Timeline};
use rstest::rstest;

use crate::harness::{Fleet, eventually};
use crate::member_api::configuration;
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

/// The timeline of a request, once its last step is `last_event`.
async fn wait_for_timeline(fleet: &Fleet, id: &str, last_event: &str) -> Timeline {
    eventually(&format!("{last_event} of {id} is logged"), async || {
        let log = fleet.gateways[0].log();
        let timeline = Timeline::of(id, log.lines());
        let last = timeline.steps.last()?;
        (last.event == last_event).then_some(timeline)
    })
    .await
}

fn detail<'a>(step: &'a Step, key: &str) -> &'a str {
    step.details.get(key).unwrap_or_else(|| panic!("{key} in {step:?}"))
}

#[rstest]
#[case::unknown_key(ClientRequest::new("/safe/x", "r-1").with("x-credential", "z"), "unknown_key")]
#[case::no_route(ClientRequest::new("/elsewhere/x", "r-1"), "no_route")]
#[case::bad_request(ClientRequest::new("/safe/x", "r-1").with("x-deadline-ms", "soon"), "bad_request")]
#[tokio::test]
async fn a_refusal_shows_its_reason_and_the_configuration(
    #[case] request: ClientRequest<'static>,
    #[case] reason: &str,
) {
    let fleet = Fleet::start(1, 1).await;
    fleet.configure(&configuration(4)).await;
    request.send(fleet.gateway_addr(0)).await.expect("an answer");
    let timeline = wait_for_timeline(&fleet, "r-1", "refused").await;
    let step = &timeline.steps[0];
    assert_eq!((detail(step, "reason"), detail(step, "version")), (reason, "4"));
    assert!(detail(step, "news_age_ms").parse::<i64>().is_ok());
    let topics: Vec<&str> = step.known_state.iter().map(|state| state.topic).collect();
    assert!(topics.contains(&"configuration"), "{topics:?}");
}

#[rstest]
#[case::turned_away("/unsafe/x", Behaviour::NotRun, "not_run")]
#[case::lost("/unsafe/x", Behaviour::CloseConnection, "answer_lost")]
#[case::for_another("/unsafe/x", Behaviour::WrongRequestId, "wrong_answer")]
#[case::late("/unsafe/x", Behaviour::NeverAnswer, "answer_late")]
#[tokio::test]
async fn a_request_given_up_shows_each_attempt_and_the_reason(
    #[case] path: &str,
    #[case] behaviour: Behaviour,
    #[case] reason: &str,
) {
    let fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    target.behave(behaviour);
    fleet.configure(&configuration(4)).await;
    fleet.wait_for_targets(0, 1).await;
    let request = ClientRequest::new(path, "r-1").with("x-deadline-ms", "500");
    request.send(fleet.gateway_addr(0)).await.expect("an answer");
    let timeline = wait_for_timeline(&fleet, "r-1", "given_up").await;
    let [attempt, given_up] = &timeline.steps[..] else {
        panic!("{timeline}");
    };
    assert_eq!((detail(attempt, "outcome"), detail(attempt, "target")), (reason, "i-1"));
    for input in ["load", "in_flight", "candidates", "list", "version", "budget_left", "left_ms"] {
        detail(attempt, input);
    }
    assert_eq!(detail(given_up, "reason"), reason);
    assert_eq!((detail(given_up, "sends"), detail(given_up, "max_attempts")), ("1", "1"));
}

#[tokio::test]
async fn a_retry_a_resumption_and_a_cut_are_shown() {
    let fleet = Fleet::start(1, 1).await;
    let targets = [
        Standin::start("i-1", "s", fleet.api_addrs()).await,
        Standin::start("i-2", "s", fleet.api_addrs()).await,
    ];
    fleet.configure(&configuration(4)).await;
    fleet.wait_for_targets(0, 2).await;
    let front = fleet.gateway_addr(0);
    let behave = |behaviour| targets.iter().for_each(|target| target.behave(behaviour));

    behave(Behaviour::Fail);
    ClientRequest::new("/safe/x", "retried").send(front).await.expect("an answer");
    let retried = wait_for_timeline(&fleet, "retried", "answered").await;
    assert_eq!(retried.steps.len(), 3, "two attempts and the answer: {retried}");

    behave(Behaviour::BreakAfter(3));
    assert!(ClientRequest::new("/stream/x", "cut").send(front).await.is_err());
    let cut = wait_for_timeline(&fleet, "cut", "stream_cut").await;
    let events: Vec<&str> = cut.steps.iter().map(|step| step.event.as_str()).collect();
    assert_eq!(events, ["attempt", "answered", "broke_off", "stream_cut"]);
    assert_eq!(detail(&cut.steps[2], "last_event"), "3");

    let request =
        tokio::spawn(
            async move { ClientRequest::new("/resumable/x", "resumed").send(front).await },
        );
    eventually("the first attempt", async || {
        let began = targets.iter().any(|target| target.arrival_counts().contains_key("resumed"));
        began.then_some(())
    })
    .await;
    behave(Behaviour::Stream(6));
    request.await.expect("no panic").expect("a whole answer");
    let resumed = wait_for_timeline(&fleet, "resumed", "resumed").await;
    let last = resumed.steps.last().expect("steps");
    assert_eq!((detail(last, "last_event"), detail(last, "sends")), ("3", "2"));
}

#[tokio::test]
async fn requests_refused_for_a_stale_configuration_or_a_passed_deadline_show_so() {
    let mut fleet = Fleet::prepare(1, 1);
    fleet.gateways[0].set("on_stale", serde_json::json!("refuse"));
    fleet.gateways[0].set("stale_after_ms", serde_json::json!(400));
    fleet.members[0].start();
    fleet.gateways[0].start();
    fleet.configure(&configuration(4)).await;
    let late = ClientRequest::new("/safe/x", "late").with("x-deadline-ms", "0");
    eventually("the request is given up as too late", async || {
        late.send(fleet.gateway_addr(0)).await.ok()?;
        let log = fleet.gateways[0].log();
        let timeline = Timeline::of("late", log.lines());
        let given_up = timeline.steps.iter().find(|step| step.event == "given_up")?;
        (detail(given_up, "reason") == "too_late").then_some(())
    })
    .await;
    fleet.members[0].kill();
    eventually("the request is refused", async || {
        ClientRequest::new("/safe/x", "stale").send(fleet.gateway_addr(0)).await.ok()?;
        let log = fleet.gateways[0].log();
        let timeline = Timeline::of("stale", log.lines());
        let refused = timeline.steps.iter().find(|step| step.event == "refused")?;
        let age: i64 = detail(refused, "news_age_ms").parse().ok()?;
        (detail(refused, "reason") == "stale_configuration" && age >= 400).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_client_that_disconnects_is_shown() {
    let fleet = Fleet::start(1, 1).await;
    let target = Standin::start("i-1", "s", fleet.api_addrs()).await;
    target.behave(Behaviour::NeverAnswer);
    fleet.configure(&configuration(4)).await;
    fleet.wait_for_targets(0, 1).await;
    let front = fleet.gateway_addr(0);
    let request = ClientRequest::new("/unsafe/x", "r-1");
    let sent = tokio::time::timeout(Duration::from_millis(300), request.send(front)).await;
    assert!(sent.is_err(), "the client got an answer before it disconnected");
    let timeline = wait_for_timeline(&fleet, "r-1", "client_left").await;
    assert!(detail(&timeline.steps[0], "elapsed_ms").parse::<u64>().is_ok());
}
