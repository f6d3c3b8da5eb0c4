//! Random tests with the same verdict every time: a fixed seed, printed, and set by `LATCHMOUNT_SEED`.

mod seed;

use proptest::test_runner::{Config, RngSeed};

/// A configuration of so many cases, or as many as the environment variable `cases_variable` says.
pub fn config(cases: u32, cases_variable: &str) -> Config {
    let seed = seed::seed();
    let cases = seed::env_number(cases_variable).map_or(cases, |cases| cases as u32);
    eprintln!("{cases_variable}={cases}");
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
