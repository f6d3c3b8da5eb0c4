//! Proptest configuration with a fixed seed, so that every run tests the same cases. The seed is printed
//! and can be set by `LATCHMOUNT_SEED`.

mod seed;

use proptest::test_runner::{Config, RngSeed};

/// A configuration with the number of cases that the environment variable `cases_variable` holds, or
/// `cases` where it is not set.
pub fn config(cases: u32, cases_variable: &str) -> Config {
    let seed = seed::seed();
    let cases = seed::env_number(cases_variable).map_or(cases, |cases| cases as u32);
    eprintln!("{cases_variable}={cases}");
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
