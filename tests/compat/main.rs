//! What other builds wrote or said is read, and what this one writes does not change unseen.

#[path = "../seeds/seed.rs"]
mod seeds;

mod commands;
mod frames;
mod levels;
mod samples;
mod stores;
