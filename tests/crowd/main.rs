//! Crowds of clients that nobody controls, against real processes: what they send is legal, but they send it all at once,
//! in pieces, and stop just short of the end while they keep their connections open.
//!
//! While the crowd stays open, the process must live, its memory and descriptors must stay under the bounds in its
//! settings, and an ordinary request must be answered. Nothing here depends on how fast the machine is.

mod accounting;
mod calm;
mod client;
mod control;
mod fleet;
mod gateway;
#[path = "../fleet/harness.rs"]
mod harness;
mod member;
mod process;
mod router;
#[allow(dead_code)]
#[path = "../fleet/standin.rs"]
mod standin;
#[path = "../support/mod.rs"]
mod support;

use support::usage;
