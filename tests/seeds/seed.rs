//! The seed of random tests: fixed, printed, and set by `LATCHMOUNT_SEED`.

const SEED: u64 = 20_261_202;

/// The seed to use.
pub fn seed() -> u64 {
    let seed = env_number("LATCHMOUNT_SEED").unwrap_or(SEED);
    eprintln!("LATCHMOUNT_SEED={seed}");
    seed
}

/// The number that an environment variable holds.
pub fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
