//! End-to-end tests of a fleet: members and gateways run as real processes on loopback addresses. The tests
//! play clients, targets and operators, and use the platform's dialect.

mod brittle;
mod brittle_returns;
mod brittle_target;
mod close_delimited;
mod cold;
mod crowded;
mod cut_off;
mod distribution;
mod endless;
mod evacuations;
mod followers;
mod group;
mod harness;
mod headers;
mod health_checks;
mod keep_alive;
mod leaving_targets;
mod malformed_input;
mod member_api;
mod operators;
mod poison;
mod poison_parts;
mod process_pauses;
mod raw_target;
mod refusals;
mod requests;
mod restarting_target;
mod retry_after;
mod rollouts;
#[path = "../seeds/seed.rs"]
mod seeds;
mod slow_clients;
mod standin;
mod starts;
mod statuses;
mod stops;
mod stream_versions;
mod streams;
mod target_headers;
mod target_restarts;
mod target_shutdown;
mod timelines;
mod unannounced_restarts;
mod upgrade;
#[path = "../support/usage.rs"]
mod usage;
