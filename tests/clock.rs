//! The clock that advances while the host is suspended, and a check that nothing in src/ uses another one.

use std::path::Path;
use std::time::Duration;

use latchmount::clock::{Instant, SuspendDetector};
use latchmount::run_clock::RunTime;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

#[path = "seeds/seed.rs"]
mod seeds;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn moments_are_counted_and_never_negative() {
    let early = Instant::now();
    let late = early + ms(500);
    assert_eq!(late.saturating_duration_since(early), ms(500));
    assert_eq!(early.saturating_duration_since(late), Duration::ZERO);
    assert!(late > early && early + Duration::MAX > late, "no sum overflows");
    assert_eq!((early + ms(1_000_000)).elapsed(), Duration::ZERO);
}

#[rstest]
#[case::it_ran(1_400, 1_400, None)]
#[case::read_apart_on_a_busy_host(1_500, 1_400, None)]
#[case::suspended(9_400, 1_400, Some(8_000))]
#[case::the_runtime_s_clock_is_ahead(1_300, 1_400, None)]
fn a_suspension_is_when_one_clock_advances_and_the_other_does_not(
    #[case] counted_ms: u64,
    #[case] steady_ms: u64,
    #[case] suspended_ms: Option<u64>,
) {
    let mut suspensions = SuspendDetector::from_readings(ms(1_000), ms(1_000));
    let found = suspensions.update(ms(counted_ms), ms(steady_ms));
    assert_eq!(found, suspended_ms.map(ms));
    let again = suspensions.update(ms(counted_ms + 300), ms(steady_ms + 300));
    assert_eq!(again, None, "the suspension is reported twice");
}

#[tokio::test]
async fn a_timer_for_a_moment_that_is_over_fires_at_once() {
    let past = Instant::now();
    tokio::time::sleep(ms(5)).await;
    let timer: tokio::time::Instant = past.into();
    assert!(timer <= tokio::time::Instant::now());
    let future: tokio::time::Instant = (Instant::now() + ms(60_000)).into();
    assert!(future > tokio::time::Instant::now() + ms(50_000));
}

/// With `std::time::Instant`, which stands still while the host is suspended, an old update would count as fresh.
#[test]
fn nothing_in_the_sources_reads_another_clock() {
    let mut found = Vec::new();
    let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("a source");
            let std_clock =
                text.lines().any(|line| line.contains("std::time") && line.contains("Instant"));
            if std_clock && !path.ends_with("clock.rs") {
                found.push(path);
            }
        }
    }
    assert!(found.is_empty(), "{found:?}");
}

/// Time in which the process ran, and when it last resumed, computed from all samples again.
fn run_time_of_samples(samples: &[Instant]) -> (Duration, Option<Instant>) {
    let max_step = ms(100);
    let steps =
        samples.windows(2).map(|pair| (pair[1], pair[1].saturating_duration_since(pair[0])));
    let ran = steps.clone().filter(|(_, step)| *step <= max_step).map(|(_, step)| step).sum();
    let resumed = steps.filter(|(_, step)| *step > max_step).map(|(at, _)| at).next_back();
    (ran, resumed)
}

#[test]
fn run_time_is_the_sum_of_all_short_steps() {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    for _ in 0..200 {
        let mut samples = vec![Instant::now()];
        let mut time = RunTime::since(samples[0]);
        for _ in 0..rng.random_range(1..60) {
            let max_step = if rng.random_bool(0.2) { 3_000 } else { 100 };
            let now = samples[samples.len() - 1] + ms(rng.random_range(0..=max_step));
            samples.push(now);
            time.advance(now);
            let (ran, resumed) = run_time_of_samples(&samples);
            let whole = now.saturating_duration_since(samples[0]);
            assert_eq!((time.ran(), time.paused()), (ran, whole.saturating_sub(ran)));
            let due = now + ms(rng.random_range(0..200));
            let latest = resumed.map_or(due, |resumed| due.max(resumed)) + ms(1_000);
            assert_eq!(time.latest_delivery(due), latest);
        }
    }
}

#[rstest]
#[case::before_the_deadline(0, 600, 600)]
#[case::what_flows_at_the_deadline(590, 600, 640)]
#[case::what_flows_past_it(900, 600, 950)]
#[case::for_a_second_at_most(1_580, 600, 1_600)]
#[case::not_for_ever(2_000, 600, 1_600)]
fn a_wait_ends_at_its_deadline_or_past_it_once_nothing_follows(
    #[case] began: u64,
    #[case] deadline: u64,
    #[case] ends: u64,
) {
    let start = Instant::now();
    let time = RunTime::since(start);
    assert_eq!(time.wait_end(start + ms(began), start + ms(deadline)), start + ms(ends));
}

#[test]
fn a_deadline_that_passed_during_a_pause_leaves_time_to_read_received_data() {
    let start = Instant::now();
    let mut time = RunTime::since(start);
    time.advance(start + ms(5_000));
    let (began, deadline) = (start + ms(5_001), start + ms(600));
    assert_eq!(time.wait_end(began, deadline), start + ms(5_051));
}
