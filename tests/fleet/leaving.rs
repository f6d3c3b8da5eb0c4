//! Targets that say in their answers that they leave.
//!
//! What users saw: a target that said so in each answer still got requests from gateways that had passed such answers on,
//! more than two seconds later, since the members had not been told: the target's own call reached no leader for three
//! seconds.

use rstest::rstest;

use crate::doors::configuration;
use crate::harness::{Fleet, eventually};
use crate::refusals::Ask;
use crate::standin::{Behaviour, Standin};

/// The header by which an answer says that its target leaves.
const LEAVING: (&str, &str) = ("server-leaving", "1");
/// Requests that are sent once the word was heard: each of two targets would get many of them.
const LATER: usize = 30;

async fn fleet_with_two() -> (Fleet, Standin, Standin) {
    let fleet = Fleet::start(1, 1).await;
    let leaving = Standin::start("i-1", "s", fleet.doors()).await;
    let other = Standin::start("i-2", "s", fleet.doors()).await;
    fleet.configure(&configuration(1)).await;
    fleet.knows_targets(0, 2).await;
    (fleet, leaving, other)
}

/// Asks until a target has got a request.
async fn ask_until_reached(fleet: &Fleet, target: &Standin, path: &str, mark: &str) {
    let before = target.arrivals().len();
    let mut asked = 0;
    eventually("the target gets a request", async || {
        asked += 1;
        let id = format!("{mark}-{asked}");
        // An answer that breaks off tells enough, too.
        let _ = Ask::new(path, &id).send(fleet.front(0)).await;
        (target.arrivals().len() > before).then_some(())
    })
    .await;
}

/// Requests that reach a target while so many are asked.
async fn reached_by_later(fleet: &Fleet, target: &Standin, mark: &str) -> usize {
    let before = target.arrivals().len();
    for number in 0..LATER {
        let id = format!("{mark}-{number}");
        let answer = Ask::new("/safe/x", &id).send(fleet.front(0)).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    target.arrivals().len() - before
}

#[rstest]
#[case::well(Behaviour::Answer, "/safe/x")]
#[case::denied(Behaviour::Deny, "/unsafe/x")]
#[case::failed(Behaviour::Fail, "/unsafe/x")]
#[case::turned_away(Behaviour::TurnAway, "/unsafe/x")]
#[case::a_stream(Behaviour::Stream(3), "/stream/x")]
#[case::a_stream_that_breaks_off(Behaviour::BreakAfter(2), "/stream/x")]
#[tokio::test]
async fn a_target_that_says_so_in_any_answer_gets_nothing_more(
    #[case] behaviour: Behaviour,
    #[case] path: &str,
) {
    let (fleet, leaving, _other) = fleet_with_two().await;
    leaving.say(LEAVING.0, LEAVING.1);
    leaving.behave(behaviour);
    ask_until_reached(&fleet, &leaving, path, "first").await;
    leaving.behave(Behaviour::Answer);
    assert_eq!(reached_by_later(&fleet, &leaving, "later").await, 0);
}
