//! Tests of the gateway's decisions, and of those that it shares with the members, against naive
//! implementations or case by case.
//!
//! `LATCHMOUNT_SEED` sets the seed of the random cases.

mod admission;
mod answer_headers;
mod availability;
mod backoff;
mod balance;
mod brittle;
mod brittle_fleet;
mod brittle_services;
mod budget;
mod cold;
mod config_delay;
mod deltas;
mod directory;
mod documents;
mod events;
mod evidence;
mod fan_out;
mod first_update;
mod health;
mod incarnation_check;
mod incarnations;
mod member_link;
mod member_order;
mod peer_selection;
mod prefix_holders;
mod propagation;
mod reach;
mod remembered_reports;
mod requests;
mod routes;
#[path = "../seeds/seed.rs"]
mod seeds;
mod silence;
mod slowdown;
mod stale_loads;
mod stream_file;
mod stream_origins;
mod target_stream;
mod versions;
