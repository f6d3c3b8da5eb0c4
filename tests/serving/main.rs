//! Bounds on the connections of a listener and on the memory held for them.

mod crowds;
mod ledger;
#[path = "../seeds/seed.rs"]
mod seeds;
