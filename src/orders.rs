//! Fenced orders to engines: decides which order may be sent now, and numbers it.
//!
//! Each order has the leader's term and a sequence number. An engine that checks them refuses an order older than one
//! it has seen. Before a new leader sends orders to an engine that does not check them, it waits until no order of an
//! earlier leader can be in flight any more. Each engine gets one order at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::template::Spec;

/// Maximum time from the decision to send an order until it has taken effect or failed.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// An order as it is sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Term of the leader.
    pub term: u64,
    /// Sequence number of the order within the term, from 1.
    pub sequence: u64,
    /// Everything that the engine must have loaded.
    pub models: BTreeSet<Spec>,
}

/// The orders of one leader in one term.
#[derive(Clone, Debug)]
pub struct Orders {
    term: u64,
    sequence: u64,
    /// Time from which engines that do not check terms may be sent orders.
    unfenced_from: Duration,
    /// When the unanswered order to each engine was sent.
    in_flight: BTreeMap<String, Duration>,
    /// Model loads that the weight store allows now; at most 1.
    loads: f64,
    loads_per_second: f64,
    refilled_at: Duration,
}

impl Orders {
    /// Creates the state of a leader elected at `now` in `term`. Its predecessor's lease may last for another `lease`,
    /// and the weight store allows `loads_per_minute`.
    pub fn new(term: u64, now: Duration, lease: Duration, loads_per_minute: u32) -> Self {
        Orders {
            term,
            sequence: 0,
            unfenced_from: now + lease + ORDER_TIMEOUT,
            in_flight: BTreeMap::new(),
            loads: 1.0,
            loads_per_second: f64::from(loads_per_minute) / 60.0,
            refilled_at: now,
        }
    }

    /// Term of these orders.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the order to send to `engine` now, or `None` if it must wait. `fenced` is whether the engine checks
    /// terms.
    pub fn send(
        &mut self,
        now: Duration,
        engine: &str,
        fenced: bool,
        models: BTreeSet<Spec>,
    ) -> Option<Order> {
        self.refill(now);
        let busy = self.in_flight.get(engine).is_some_and(|sent| now < *sent + ORDER_TIMEOUT);
        let early = !fenced && now < self.unfenced_from;
        if busy || early || self.loads < 1.0 {
            return None;
        }
        self.loads -= 1.0;
        self.sequence += 1;
        self.in_flight.insert(engine.to_owned(), now);
        Some(Order { term: self.term, sequence: self.sequence, models })
    }

    /// Records that the order to `engine` was answered.
    pub fn answered(&mut self, engine: &str) {
        self.in_flight.remove(engine);
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.loads = (self.loads + passed.as_secs_f64() * self.loads_per_second).min(1.0);
    }
}
