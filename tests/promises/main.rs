//! What must always hold, shown with real processes that are killed, frozen, cut off or lose disks.

#[path = "../support/mod.rs"]
mod support;

mod accepted_config;
mod fenced_orders;
