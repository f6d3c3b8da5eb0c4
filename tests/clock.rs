//! The clock that counts suspensions, and that nothing goes by another one.

use std::path::Path;
use std::time::Duration;

use latchmount::clock::{Instant, Suspensions};
use rstest::rstest;

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
fn a_suspension_is_when_one_clock_goes_on_and_the_other_stands(
    #[case] counted_ms: u64,
    #[case] steady_ms: u64,
    #[case] suspended_ms: Option<u64>,
) {
    let mut suspensions = Suspensions::since(ms(1_000), ms(1_000));
    let found = suspensions.between(ms(counted_ms), ms(steady_ms));
    assert_eq!(found, suspended_ms.map(ms));
    let again = suspensions.between(ms(counted_ms + 300), ms(steady_ms + 300));
    assert_eq!(again, None, "it is told once");
}

#[tokio::test]
async fn a_timer_for_a_moment_that_is_over_fires_at_once() {
    let over = Instant::now();
    tokio::time::sleep(ms(5)).await;
    let timer: tokio::time::Instant = over.into();
    assert!(timer <= tokio::time::Instant::now());
    let ahead: tokio::time::Instant = (Instant::now() + ms(60_000)).into();
    assert!(ahead > tokio::time::Instant::now() + ms(50_000));
}

/// One that stands still while the host is suspended would take old news for fresh.
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
