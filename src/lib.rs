//! Latchmount: a fleet of HTTP routers for services and for large numbers of recurring chats.
//!
//! Gateways ([`gateway`]) forward clients' requests to targets (back ends). Members ([`group`]) form a Raft group that
//! holds the configuration and the directory of targets, and push updates to the gateways.
//!
//! An older mode runs routers ([`router`]), which forward requests to engines that serve models or to plain services,
//! and one control group for each partner ([`control`]), which holds the team templates that the routers apply:
//!
//! ```
//! use latchmount::jsonc;
//! use latchmount::template::Template;
//!
//! let text = r#"{
//!   // Summaries of disputes for the operator's agents.
//!   "name": "disputes", "model": "m7", "version": "3",
//!   "teams": { "agents": { "share_percent": 40 } }
//! }"#;
//! let template: Template = jsonc::from_str(text).expect("a valid template");
//! let policy = template.policy("agents").expect("a known team");
//! assert_eq!(policy.spec.to_string(), "m7@3");
//! ```

#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod account;
pub mod allocator;
pub mod availability;
pub mod blob;
pub mod checks;
pub mod choice;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod compat;
pub mod configuration;
pub mod control;
pub mod dialect;
pub mod directory;
pub mod document;
pub mod evacuations;
pub mod explain;
pub mod fair_read;
pub mod freshness;
pub mod gateway;
pub mod group;
pub mod jsonc;
pub mod level;
pub mod link;
pub mod logging;
pub mod logline;
pub mod metrics;
pub mod millis;
pub mod operator;
pub mod orders;
pub mod placement;
pub mod platform;
pub mod poison;
pub mod process;
pub mod queue;
pub mod raft;
pub mod reason;
pub mod retry;
pub mod retry_after;
pub mod rollout;
pub mod route_table;
pub mod router;
pub mod rpc;
pub mod run_clock;
pub mod sampler;
pub mod serving;
pub mod settings;
pub mod slots;
pub mod start;
mod status_server;
pub mod store;
mod sync;
pub mod targets;
pub mod template;
