//! Simulates roll-outs in virtual time, for fleets of 8 to 1,000 gateways: good versions must be completed in time, bad
//! ones rolled back, and the number of requests that a bad one gets is bounded.
//!
//! `LATCHMOUNT_SEED` sets the seed, `LATCHMOUNT_ROLLOUTS` the number of roll-outs drawn of each kind; with
//! `--nocapture` each test prints its results in the form used in docs/design/rollouts.md.

mod judging;
#[path = "../seeds/seed.rs"]
mod seeds;
mod shifted;
mod simulation;
mod strategy;
