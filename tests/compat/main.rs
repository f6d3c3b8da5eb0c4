//! Compatibility of the wire and storage formats: data from other builds is read, and what this build writes does not change
//! unnoticed.

#[path = "../seeds/seed.rs"]
mod seeds;

mod commands;
mod frames;
mod levels;
mod samples;
mod stores;
