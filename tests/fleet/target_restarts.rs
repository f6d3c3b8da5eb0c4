//! Targets that start again under the id that they had: a new target each time, that holds and knows nothing.

use rstest::rstest;

use crate::doors::configuration;
use crate::harness::{Fleet, call, eventually};
use crate::refusals::ClientRequest;
use crate::standin::{Behaviour, Standin};

/// Starts of targets, in Unix milliseconds, and a count of heartbeats that is soon reached by none.
const FIRST: u64 = 1_769_600_000_000;
const SECOND: u64 = FIRST + 60_000;
const MANY: u64 = 1_000_000;

/// A target that says when it was born, with heartbeats that count on from there.
async fn target(fleet: &Fleet, born_ms: u64, sequence: u64) -> Standin {
    let mut standin = Standin::start("i-1", "s", Vec::new()).await;
    standin.say_born(born_ms, sequence);
    standin.announce_at(fleet.doors());
    standin
}

async fn serves(fleet: &Fleet, standin: &Standin) {
    eventually("the target is used", async || {
        let id = format!("r-{}", rand::random::<u32>());
        let answer = ClientRequest::new("/safe/x", &id).send(fleet.front(0)).await.ok()?;
        (answer.status == 200 && standin.counts().contains_key(&id)).then_some(())
    })
    .await;
}

async fn fleet() -> Fleet {
    let fleet = Fleet::start(3, 1).await;
    fleet.configure(&configuration(1)).await;
    fleet
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It said that it leaves for good.
    Removed,
    /// It ended without a word.
    Silent,
    /// And the members had noticed.
    FoundSilent,
}

#[rstest]
#[case::removed(End::Removed, SECOND)]
#[case::silent(End::Silent, SECOND)]
#[case::found_silent(End::FoundSilent, SECOND)]
#[case::its_clock_stepped_back_and_it_was_removed(End::Removed, FIRST - 60_000)]
#[case::its_clock_stepped_back_and_it_was_found_silent(End::FoundSilent, FIRST - 60_000)]
#[tokio::test]
async fn a_target_that_returns_under_its_id_is_used_again(#[case] end: End, #[case] born: u64) {
    let fleet = fleet().await;
    let first = target(&fleet, FIRST, MANY).await;
    serves(&fleet, &first).await;
    drop(first);
    if end == End::Removed {
        eventually("it leaves", async || {
            let answer = call(fleet.door(0), "DELETE", "/instances/i-1", "").await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    if end == End::FoundSilent {
        eventually("it is silent", async || {
            let mut logs = fleet.members.iter().map(|member| member.log());
            logs.any(|log| log.contains("event=targets_silent")).then_some(())
        })
        .await;
    }
    let second = target(&fleet, born, 0).await;
    serves(&fleet, &second).await;
}

/// A heartbeat that a cut held up arrives after its target has started again.
#[tokio::test]
async fn a_late_heartbeat_of_an_earlier_start_touches_nothing() {
    let fleet = fleet().await;
    let first = target(&fleet, FIRST, MANY).await;
    serves(&fleet, &first).await;
    let late = Standin::start("i-1", "s", Vec::new()).await;
    late.say_born(FIRST, 2 * MANY);
    late.behave(Behaviour::Lose);
    drop(first);
    let second = target(&fleet, SECOND, 0).await;
    serves(&fleet, &second).await;
    for door in fleet.doors() {
        late.drain(door).await;
    }
    for number in 0..20 {
        let id = format!("a-{number}");
        let answer =
            ClientRequest::new("/safe/x", &id).send(fleet.front(0)).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert!(late.arrivals().is_empty());
}
