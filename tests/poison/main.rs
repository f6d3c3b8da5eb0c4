//! Poison requests: requests that crash each target that runs them.
//!
//! `LATCHMOUNT_SEED` sets the seed of the random cases.

mod identity;
mod model;
mod parts;
#[path = "../seeds/seed.rs"]
mod seeds;
mod tracker;
mod ways;
