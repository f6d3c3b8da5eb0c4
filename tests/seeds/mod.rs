//! Random tests with the same verdict every time: a fixed seed, printed, and set by `LATCHMOUNT_SEED`.

use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 20_261_202;

/// A configuration of so many cases, or as many as the environment variable `cases_from` says.
pub fn config(cases: u32, cases_from: &str) -> Config {
    let seed = number("LATCHMOUNT_SEED").unwrap_or(SEED);
    let cases = number(cases_from).map_or(cases, |cases| cases as u32);
    eprintln!("LATCHMOUNT_SEED={seed} {cases_from}={cases}");
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
