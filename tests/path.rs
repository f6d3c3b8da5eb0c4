//! End-to-end test: a control group, two routers and the stand-ins, each as a process of its own.

mod support;

use support::{Fleet, FleetOptions, template, text};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_end_to_end() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let revision = fleet.submit(&template(), "first").await;
    let waited = fleet.operator(&["template", "wait", &revision.to_string()]);
    assert!(waited.status.success(), "{}", text(&waited.stderr));
    fleet.wait_until_serving().await;

    // The second turn of a chat finds its cached prefix, although it comes through the other router.
    let first = fleet.chat(0, "chat-1", &["hello"], true).send().await.unwrap();
    assert_eq!(first.status(), 200);
    let first = first.text().await.unwrap();
    assert!(first.contains("re:hello") && first.trim_end().ends_with("data: [DONE]"), "{first}");
    let again = fleet.chat(1, "chat-1", &["hello", "and then?"], true).send().await.unwrap();
    let again = again.text().await.unwrap();
    assert!(again.contains("re:and then?") && again.contains("\"cached_messages\":1"), "{again}");

    let service = fleet.call(0, "call-1", &[]).await.unwrap();
    assert_eq!(service.text().await.unwrap(), "GET /status/call-1 call-1");
    assert_eq!(fleet.service.runs("call-1"), 1);

    assert_eq!(fleet.metric(0, "latchmount_requests_total", "chat_stream").await, 1.0);
    assert_eq!(fleet.metric(1, "latchmount_requests_total", "chat_stream").await, 1.0);
    assert!(fleet.metric(0, "latchmount_requests_total", "service").await >= 1.0);
    let shown = fleet.operator(&["template", "show", "disputes"]);
    assert!(text(&shown.stdout).contains("\"m7\""), "{}", text(&shown.stdout));
}
