//! The gateway's decisions, and those that it shares with the members, each against a naive version
//! or by cases.
//!
//! `LATCHMOUNT_SEED` sets the seed of the random cases.

mod availability;
mod balance;
mod budget;
mod cold;
mod deltas;
mod directory;
mod documents;
mod events;
mod evidence;
mod first_news;
mod health;
mod held;
mod herd;
mod incarnations;
mod keepers;
mod lateness;
mod news;
mod order;
mod propagation;
mod remembered;
mod requests;
mod rests;
mod routes;
#[path = "../seeds/seed.rs"]
mod seeds;
mod spread;
mod strain;
mod versions;
mod words;
