//! What must always hold, shown with real processes that are killed, frozen, cut off or lose disks.

#[path = "../support/mod.rs"]
mod support;

mod accepted_config;
mod at_most_once;
mod fenced_orders;
mod leaving_target;
mod load_bound;
mod not_run;
mod own_answer;
mod planned_stop;
mod shares;
