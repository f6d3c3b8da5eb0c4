//! Requests that reach gateways before their first configuration, as after a power failure of the whole fleet.
//!
//! Simulated in virtual time: gateways listen, each gets its first update some tenths of a second later, and clients call
//! meanwhile. A client retries once at most and gives up at its deadline. The tests compare what clients get.

use std::time::Duration;

use latchmount::gateway::first_update::max_wait;
use latchmount::gateway::refusal::{Refusal, RetryHints};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::seeds;

const GATEWAYS: usize = 65;
const CALLERS: u32 = 2_000;
/// When gateways get their configuration, in seconds after they start to listen: the first and the last.
const UPDATE_AT_S: (f64, f64) = (0.1, 0.55);
/// When callers arrive, in seconds: the first and the last.
const CALLERS_AT_S: (f64, f64) = (0.0, 0.6);
/// Deadlines of the callers, in seconds, each with its latency goal.
const KINDS: [(f64, f64); 3] = [(1.0, 0.12), (2.5, 0.4), (8.0, 0.6)];
/// Time from a caller to a target and back, with the work there, in seconds.
const SERVICE_TIME_S: f64 = 0.03;
/// Simulated fleets, each with a seed of its own.
const SEEDS: u64 = 5;
/// Time within which a gateway expects its first configuration after its start.
const WITHIN: Duration = Duration::from_secs(1);

/// Numbers of callers by result.
#[derive(Debug, Default, PartialEq)]
struct Results {
    /// Served within the goal.
    in_goal: u32,
    /// Served after the goal but before the deadline.
    late: u32,
    /// Refused or too late.
    refused: u32,
}

/// Simulates the callers of a fleet. `policy` gives how long a gateway without a configuration holds a request, from the
/// uptime of the gateway and the time left to the caller's deadline.
fn simulate(seed: u64, policy: impl Fn(Duration, Duration) -> Duration) -> Results {
    let mut rng = StdRng::seed_from_u64(seed);
    let updates: Vec<f64> =
        (0..GATEWAYS).map(|_| rng.random_range(UPDATE_AT_S.0..UPDATE_AT_S.1)).collect();
    let mut results = Results::default();
    for caller in 0..CALLERS {
        let (deadline, goal) = KINDS[caller as usize % KINDS.len()];
        let arrived = rng.random_range(CALLERS_AT_S.0..CALLERS_AT_S.1);
        let mut at = arrived;
        // A caller may retry once. For nine of ten this is already the retry: they lost an answer before.
        let mut attempts = if rng.random_bool(0.9) { 1 } else { 2 };
        let served_at = loop {
            let known_at = updates[rng.random_range(0..GATEWAYS)];
            let left = Duration::from_secs_f64((arrived + deadline - at).max(0.0));
            let wait = policy(Duration::from_secs_f64(at), left).as_secs_f64();
            if known_at <= at + wait {
                break Some(at.max(known_at));
            }
            attempts -= 1;
            if attempts == 0 {
                break None;
            }
            let refused_at = at + wait;
            let retry_after = Refusal::NoConfiguration.retry_after(RetryHints {
                uptime: Duration::from_secs_f64(refused_at),
                backoff_left: None,
            });
            at = refused_at + retry_after.expect("the refusal has a Retry-After").as_secs_f64();
        };
        match served_at.map(|at| at + SERVICE_TIME_S - arrived) {
            Some(took) if took <= goal => results.in_goal += 1,
            Some(took) if took <= deadline => results.late += 1,
            _ => results.refused += 1,
        }
    }
    results
}

/// Without waiting, more than a quarter of the callers in the half second after the start are refused for good. Waiting
/// serves five of six of them, most within their goal.
#[test]
fn callers_of_gateways_that_start_are_served_rather_than_refused() {
    let first = seeds::seed();
    for seed in first..first + SEEDS {
        let refusing = simulate(seed, |_, _| Duration::ZERO);
        let waiting = simulate(seed, |uptime, left| max_wait(WITHIN, uptime, left));
        println!("seed {seed}: refusing {refusing:?}, waiting {waiting:?}");
        assert!(refusing.refused > CALLERS / 4, "seed {seed}: {refusing:?}");
        assert!(waiting.refused * 6 < refusing.refused, "seed {seed}: {waiting:?}");
        assert!(waiting.in_goal > refusing.in_goal + CALLERS / 10, "seed {seed}");
    }
}

/// A gateway that gets no update from any member lets no request wait once the expected time has passed.
#[rstest]
#[case::at_once(0, 8_000, 1_000)]
#[case::of_what_is_left_of_the_expected_time(700, 8_000, 300)]
#[case::not_beyond_it(1_000, 8_000, 0)]
#[case::long_after(60_000, 8_000, 0)]
#[case::a_quarter_of_the_callers_time(0, 1_000, 250)]
#[case::whose_time_is_over(0, 0, 0)]
fn a_request_waits(#[case] up_ms: u64, #[case] left_ms: u64, #[case] waits_ms: u64) {
    let ms = Duration::from_millis;
    assert_eq!(max_wait(WITHIN, ms(up_ms), ms(left_ms)), ms(waits_ms));
}

#[test]
fn without_an_expected_time_no_request_waits() {
    let long = Duration::from_secs(60);
    assert_eq!(max_wait(Duration::ZERO, Duration::ZERO, long), Duration::ZERO);
}
