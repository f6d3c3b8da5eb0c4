//! Tests of the guarantees that the older mode (control group and routers) gives to callers and
//! operators, with real processes that are killed, frozen, cut off from the network or lose their disks.

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
