//! Replacing an answer that fell silent, in virtual time.

use std::future::{pending, ready};
use std::time::Duration;

use latchmount::clock::Instant;
use latchmount::gateway::refusal::Refusal;
use latchmount::gateway::silence::{Outcome, Silent, replace};
use latchmount::run_clock::RunClock;
use rstest::rstest;
use slog::{Discard, Logger, o};

const DEADLINE: Duration = Duration::from_millis(500);

/// When each of the two answers comes; `None`: never.
type At = Option<u64>;

async fn at<T>(at: At, value: T) -> T {
    match at {
        Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        None => pending().await,
    }
    value
}

#[rstest]
#[case::the_silent_one_first(
    Some(10),
    Some("silent"),
    Some(50),
    Ok("other"),
    Outcome::WentOn("silent")
)]
#[case::the_other_first(
    Some(50),
    Some("silent"),
    Some(10),
    Ok("other"),
    Outcome::Replaced("other", Silent::Open)
)]
#[case::the_other_has_no_room(
    Some(50),
    Some("silent"),
    Some(10),
    Err(Refusal::NotRun),
    Outcome::WentOn("silent")
)]
#[case::the_silent_one_breaks_off(
    Some(10),
    None,
    Some(50),
    Ok("other"),
    Outcome::Replaced("other", Silent::BrokeOff)
)]
#[case::it_breaks_off_and_there_is_no_room(
    Some(10),
    None,
    Some(50),
    Err(Refusal::NotRun),
    Outcome::Lost(Refusal::NotRun, Silent::BrokeOff)
)]
#[case::no_room_and_then_it_breaks_off(
    Some(50),
    None,
    Some(10),
    Err(Refusal::NotRun),
    Outcome::Lost(Refusal::NotRun, Silent::BrokeOff)
)]
#[case::silent_until_the_deadline(
    None,
    Some("silent"),
    Some(10),
    Err(Refusal::NotRun),
    Outcome::Lost(Refusal::NotRun, Silent::Open)
)]
#[tokio::test]
async fn the_first_answer_to_go_on_is_taken(
    #[case] silent_at: At,
    #[case] silent: Option<&'static str>,
    #[case] other_at: At,
    #[case] other: Result<&'static str, Refusal>,
    #[case] expected: Outcome<&'static str, &'static str>,
) {
    let clock = RunClock::start(&Logger::root(Discard, o!()));
    let deadline = Instant::now() + DEADLINE;
    let outcome = replace(&clock, deadline, at(silent_at, silent), at(other_at, other)).await;
    assert_eq!(outcome, expected);
}

#[tokio::test]
async fn of_two_answers_at_once_the_one_that_began_the_stream_goes_on() {
    let clock = RunClock::start(&Logger::root(Discard, o!()));
    let deadline = Instant::now() + DEADLINE;
    let outcome = replace(&clock, deadline, ready(Some("silent")), ready(Ok("other"))).await;
    assert_eq!(outcome, Outcome::WentOn("silent"));
}
