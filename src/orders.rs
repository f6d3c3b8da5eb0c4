//! Fenced orders to engines: which may be sent now, and under which number.
//!
//! Every order carries the leader's term and a sequence. An engine that checks refuses an older
//! one. For an engine that does not check, a new leader first waits until no order of an older
//! leader can be under way any more; each engine gets one order at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::template::Spec;

/// Longest time from the decision to send an order until it has taken effect or failed.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// An order to an engine, as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Term of the leader.
    pub term: u64,
    /// Counts the leader's orders, from 1.
    pub sequence: u64,
    /// All that the engine is to have loaded.
    pub models: BTreeSet<Spec>,
}

/// The orders of one leader in one term.
#[derive(Clone, Debug)]
pub struct Orders {
    term: u64,
    sequence: u64,
    /// From when on engines that do not check may be given orders.
    unfenced_from: Duration,
    /// When the last order to each engine was sent and is still under way.
    under_way: BTreeMap<String, Duration>,
    /// Loads that the weight store still allows.
    loads: f64,
    loads_per_second: f64,
    refilled_at: Duration,
}

impl Orders {
    /// The orders of a leader elected at `now` in `term`, whose predecessor's lease may last for
    /// `lease` more, on a weight store that allows `loads_per_minute`.
    pub fn new(term: u64, now: Duration, lease: Duration, loads_per_minute: u32) -> Self {
        Orders {
            term,
            sequence: 0,
            unfenced_from: now + lease + ORDER_TIMEOUT,
            under_way: BTreeMap::new(),
            loads: 1.0,
            loads_per_second: f64::from(loads_per_minute) / 60.0,
            refilled_at: now,
        }
    }

    /// Term in which these orders are given.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The order to send to `engine` now, or `None` when it must wait.
    pub fn send(
        &mut self,
        now: Duration,
        engine: &str,
        fenced: bool,
        models: BTreeSet<Spec>,
    ) -> Option<Order> {
        self.refill(now);
        let busy = self.under_way.get(engine).is_some_and(|sent| now < *sent + ORDER_TIMEOUT);
        let early = !fenced && now < self.unfenced_from;
        if busy || early || self.loads < 1.0 {
            return None;
        }
        self.loads -= 1.0;
        self.sequence += 1;
        self.under_way.insert(engine.to_owned(), now);
        Some(Order { term: self.term, sequence: self.sequence, models })
    }

    /// Notes that the order to `engine` was answered.
    pub fn answered(&mut self, engine: &str) {
        self.under_way.remove(engine);
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.loads = (self.loads + passed.as_secs_f64() * self.loads_per_second).min(1.0);
    }
}
