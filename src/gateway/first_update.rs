//! Requests that arrive before the gateway has its first configuration wait for it, or are refused at once.
//!
//! This matters when all hosts start together after a power failure. Gateways listen some hundred milliseconds
//! before the members send them anything, and the load balancer sends them clients all the same, since no other host
//! is ready. Each of those clients has just lost an answer, and most retry only once. So a refusal is final for
//! them, although the configuration arrives 0.1 to 0.2 s later.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::mechanism::Mechanism;
use crate::route_table::RouteTable;

/// A request waits for at most 1/4 of the time left until its deadline. The other three quarters are enough for the
/// client to retry at another gateway; waiting for half of the time gives the same result within noise
/// (docs/design/shifted-work.md).
const WAIT_DIVISOR: u32 = 4;

/// How long a request may wait for the first configuration; zero when it is refused at once.
///
/// `within` is the time after its start in which a gateway expects its first configuration, `up_for` the time since the
/// start, and `left` the time until the request's deadline.
pub fn max_wait(within: Duration, up_for: Duration, left: Duration) -> Duration {
    within.saturating_sub(up_for).min(left / WAIT_DIVISOR)
}

impl Gateway {
    /// The configuration in force. Before the first one has arrived, waits for it; `None` when it does not arrive in
    /// time. `left` is the time until the request's deadline.
    pub(super) async fn table_within(&self, left: Duration) -> Option<Arc<RouteTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let within = Duration::from_millis(self.settings.first_news_within_ms);
        let longest = max_wait(within, self.now(), left);
        if longest.is_zero() || !self.uses(Mechanism::FirstNewsWait) {
            return None;
        }
        let mut tables = self.table.subscribe();
        let first = tables.wait_for(Option::is_some);
        let first = tokio::time::timeout(longest, first).await;
        let table = first.ok().and_then(|received| received.ok()?.clone());
        self.metrics.waited_for_first_update(table.is_some());
        table
    }
}
