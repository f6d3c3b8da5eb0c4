//! End-to-end tests of a fleet: members and gateways run as real processes on loopback addresses. The tests
//! play clients, targets and operators, and use the platform's dialect.

mod cold;
mod distribution;
mod evacuations;
mod followers;
mod group;
mod harness;
mod headers;
mod keep_alive;
mod member_api;
mod operators;
mod paused;
mod poison;
mod refusals;
mod requests;
mod restarting_target;
mod rests;
mod returns;
mod rollouts;
#[path = "../seeds/seed.rs"]
mod seeds;
mod slow;
mod standin;
mod starts;
mod stops;
mod stories;
mod streams;
mod target_shutdown;
mod upgrade;
mod words;
mod writers;
