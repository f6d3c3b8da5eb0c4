//! Gateways and members of a self-forming group as real processes, spoken to in the platform's
//! dialect by stand-ins for clients, targets and operators.

mod cold;
mod doors;
mod evacuations;
mod followers;
mod group;
mod harness;
mod headers;
mod kept;
mod leaving;
mod malformed_input;
mod mortal;
mod news;
mod operators;
mod poison;
mod process_pauses;
mod refusals;
mod requests;
mod retry_after;
mod rollouts;
#[path = "../seeds/seed.rs"]
mod seeds;
mod slow_clients;
mod standin;
mod starts;
mod stops;
mod streams;
mod target_headers;
mod target_restarts;
mod timelines;
mod upgrade;
