//! Poison requests: those that end each target that begins to run them.
//!
//! `LATCHMOUNT_SEED` sets the seed of the random cases.

mod board;
mod identity;
mod model;
#[path = "../seeds/seed.rs"]
mod seeds;
mod ways;
