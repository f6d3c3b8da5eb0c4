//! The seed of random tests: a fixed default, printed on use, and overridden by `LATCHMOUNT_SEED`.

const DEFAULT_SEED: u64 = 20_261_202;

/// Returns the seed to use and prints it.
pub fn seed() -> u64 {
    let seed = env_number("LATCHMOUNT_SEED").unwrap_or(DEFAULT_SEED);
    eprintln!("LATCHMOUNT_SEED={seed}");
    seed
}

/// The value of an environment variable, if it is set to a number.
pub fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
