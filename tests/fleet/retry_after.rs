//! Targets that reject requests and ask for a back-off with Retry-After.
//!
//! Guards against gateways that ignore Retry-After: a target that had rejected a request and asked a gateway for a
//! back-off of three seconds got ten more requests from it in that time, while up to one in four clients was refused
//! and other targets had room. Five of 18 targets rejected all requests for nine seconds; with nothing in flight they
//! looked idle, so that gateways kept choosing them for first attempts and retries.
//!
//! An answer that says that its request was not run was dropped with its head: neither its headers nor its outcome were
//! recorded. The gateway's log showed these attempts with `error=NotRun`, `load=0.0` and `doubtful=0`. Without the fix,
//! the tests below count 13 and 16 more requests.

use rstest::rstest;

use crate::harness::{Fleet, eventually};
use crate::refusals::{ClientRequest, error_code};
use crate::requests::fleet_with_two_targets;
use crate::standin::{Behaviour, Standin};

/// Requests sent after the back-off was asked for; without a back-off, each of the two targets would get many of them.
const LATER_REQUESTS: usize = 30;

/// Sends requests until `target` has got one, which it rejects.
async fn send_until_rejected(fleet: &Fleet, target: &Standin) {
    let mut sent = 0;
    eventually("the target gets a request", async || {
        sent += 1;
        let id = format!("first-{sent}");
        let _ = ClientRequest::new("/retried/x", &id).send(fleet.gateway_addr(0)).await;
        (!target.arrivals().is_empty()).then_some(())
    })
    .await;
}

/// A target whose back-off lasts longer than the test gets no further request, and the other target serves them all.
#[rstest]
#[case::whole_seconds("600")]
#[case::fractions("600.5")]
#[tokio::test]
async fn a_target_that_asks_for_a_back_off_gets_no_requests(#[case] seconds: &'static str) {
    let (fleet, backing_off, _other) = fleet_with_two_targets().await;
    backing_off.add_header("retry-after", seconds);
    backing_off.behave(Behaviour::NotRun);
    send_until_rejected(&fleet, &backing_off).await;
    backing_off.behave(Behaviour::Answer);
    for number in 0..LATER_REQUESTS {
        let id = format!("later-{number}");
        let answer = ClientRequest::new("/unsafe/x", &id)
            .send(fleet.gateway_addr(0))
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(
        backing_off.arrivals().len(),
        1,
        "the target got some of {LATER_REQUESTS} more requests"
    );
}

/// A target is used again after its back-off, whatever the form of its Retry-After.
#[rstest]
#[case::a_fraction("0.3")]
#[case::a_date("Wed, 21 Oct 2015 07:28:00 GMT")]
#[case::negative("-5")]
#[case::nothing_to_read("later")]
#[tokio::test]
async fn a_target_is_used_again_after_its_back_off(#[case] value: &'static str) {
    let (fleet, backing_off, _other) = fleet_with_two_targets().await;
    backing_off.add_header("retry-after", value);
    backing_off.behave(Behaviour::NotRun);
    send_until_rejected(&fleet, &backing_off).await;
    backing_off.behave(Behaviour::Answer);
    backing_off.clear_headers();
    let mut sent = 0;
    eventually("the target is used again", async || {
        sent += 1;
        let id = format!("later-{sent}");
        let answer = ClientRequest::new("/unsafe/x", &id).send(fleet.gateway_addr(0)).await.ok()?;
        assert_eq!(answer.status, 200, "{}", answer.body);
        (backing_off.arrivals().len() > 1).then_some(())
    })
    .await;
}

/// If all targets back off, clients get 503 at once, with the time until the first back-off ends.
#[tokio::test]
async fn a_service_whose_targets_all_back_off_refuses_at_once_with_the_earliest_end() {
    let (fleet, one, other) = fleet_with_two_targets().await;
    for (target, seconds) in [(&one, "900"), (&other, "600")] {
        target.add_header("retry-after", seconds);
        target.behave(Behaviour::NotRun);
    }
    for target in [&one, &other] {
        send_until_rejected(&fleet, target).await;
    }
    let answer = ClientRequest::new("/safe/x", "later")
        .send(fleet.gateway_addr(0))
        .await
        .expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "resting"));
    let retry_after_s: f64 =
        answer.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((500.0..601.0).contains(&retry_after_s), "{retry_after_s}");
    assert_eq!(one.arrivals().len() + other.arrivals().len(), 2);
    eventually("the refusal is logged", async || {
        fleet.gateways[0].log().contains("reason=resting").then_some(())
    })
    .await;
}
