//! Targets that turn requests away and ask for rest.
//!
//! What users saw: a target that had turned a request away and asked a gateway for three seconds of rest got ten more from
//! it in that time, while up to one in four callers was refused and other targets had room.
//!
//! Order of events: five of 18 targets turned all requests away for nine seconds, each with its wish for rest; they had
//! nothing in flight, looked idle, and went on being chosen, as first targets and for retries.
//!
//! Cause: an answer that did not run its request was dropped with its head, and counted neither for what it said nor as an
//! outcome. Evidence: the gateway's own log of the same time has each of these attempts, `error=NotRun` at `load=0.0` and
//! `doubtful=0`; the tests below got 13 and 16 more requests.

use rstest::rstest;

use crate::harness::{Fleet, eventually};
use crate::refusals::{ClientRequest, error_code};
use crate::requests::fleet_with_two_targets;
use crate::standin::{Behaviour, Standin};

/// Requests that are sent once the word was heard: each of two targets would get many of them.
const LATER: usize = 30;

/// Asks until a target has got a request, which it turns away.
async fn ask_until_turned_away(fleet: &Fleet, target: &Standin) {
    let mut asked = 0;
    eventually("the target gets a request", async || {
        asked += 1;
        let id = format!("first-{asked}");
        let _ = ClientRequest::new("/retried/x", &id).send(fleet.front(0)).await;
        (!target.arrivals().is_empty()).then_some(())
    })
    .await;
}

/// A target that asks for a rest that outlasts the test gets none of the requests in it, and no caller notices.
#[rstest]
#[case::whole_seconds("600")]
#[case::fractions("600.5")]
#[tokio::test]
async fn a_target_that_asks_for_rest_gets_it(#[case] seconds: &'static str) {
    let (fleet, resting, _other) = fleet_with_two_targets().await;
    resting.say("retry-after", seconds);
    resting.behave(Behaviour::TurnAway);
    ask_until_turned_away(&fleet, &resting).await;
    resting.behave(Behaviour::Answer);
    for number in 0..LATER {
        let id = format!("later-{number}");
        let answer =
            ClientRequest::new("/unsafe/x", &id).send(fleet.front(0)).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(resting.arrivals().len(), 1, "of {LATER} more");
}

/// However the target says how long, it is used again afterwards.
#[rstest]
#[case::a_fraction("0.3")]
#[case::a_date("Wed, 21 Oct 2015 07:28:00 GMT")]
#[case::negative("-5")]
#[case::nothing_to_read("later")]
#[tokio::test]
async fn a_target_is_used_again_after_its_rest(#[case] value: &'static str) {
    let (fleet, resting, _other) = fleet_with_two_targets().await;
    resting.say("retry-after", value);
    resting.behave(Behaviour::TurnAway);
    ask_until_turned_away(&fleet, &resting).await;
    resting.behave(Behaviour::Answer);
    resting.say_no_more();
    let mut asked = 0;
    eventually("the target is used again", async || {
        asked += 1;
        let id = format!("later-{asked}");
        let answer = ClientRequest::new("/unsafe/x", &id).send(fleet.front(0)).await.ok()?;
        assert_eq!(answer.status, 200, "{}", answer.body);
        (resting.arrivals().len() > 1).then_some(())
    })
    .await;
}

/// Where all rest, callers learn at once that nothing ran, and when the first of them can be asked again.
#[tokio::test]
async fn a_service_whose_targets_all_rest_refuses_at_once_with_the_earliest_end() {
    let (fleet, one, other) = fleet_with_two_targets().await;
    for (target, seconds) in [(&one, "900"), (&other, "600")] {
        target.say("retry-after", seconds);
        target.behave(Behaviour::TurnAway);
    }
    for target in [&one, &other] {
        ask_until_turned_away(&fleet, target).await;
    }
    let answer =
        ClientRequest::new("/safe/x", "later").send(fleet.front(0)).await.expect("an answer");
    assert_eq!((answer.status, error_code(&answer).as_str()), (503, "resting"));
    let wait: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((500.0..601.0).contains(&wait), "{wait}");
    assert_eq!(one.arrivals().len() + other.arrivals().len(), 2);
    assert!(fleet.gateways[0].log().contains("reason=resting"));
}
