//! What becomes of requests that come before a gateway has its first configuration: they wait for it, or are
//! refused at once.
//!
//! The load that this answers is the return of all power. Gateways listen some hundred milliseconds before the
//! members have told them anything, the balancer sends them clients all the same since no other host is ready, and
//! each of those clients has lost an answer just before: most come back once and no more. A refusal is then the
//! last word for them, while the configuration is a tenth or two of a second away.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::mechanism::Mechanism;
use crate::route_table::RouteTable;

/// Part of the time that a caller has left for which its request waits: the other three quarters are enough to come back
/// to another gateway. With half of the time worth is the same within noise (docs/design/shifted-work.md).
const LEFT_PART: u32 = 4;

/// How long a request waits for the first configuration of a gateway that has run for `up_for`, when first
/// configurations come within `within` of a start; zero when it is refused at once.
///
/// `left` is what the request has left of its own time.
pub fn wait(within: Duration, up_for: Duration, left: Duration) -> Duration {
    within.saturating_sub(up_for).min(left / LEFT_PART)
}

impl Gateway {
    /// The configuration in force, if need be after a wait for the first one; `None` when it does not come in time.
    pub(super) async fn table_within(&self, left: Duration) -> Option<Arc<RouteTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let within = Duration::from_millis(self.settings.first_news_within_ms);
        let longest = wait(within, self.now(), left);
        if longest.is_zero() || !self.uses(Mechanism::FirstNewsWait) {
            return None;
        }
        let mut tables = self.table.subscribe();
        let first = tables.wait_for(Option::is_some);
        let first = tokio::time::timeout(longest, first).await;
        let table = first.ok().and_then(|told| told.ok()?.clone());
        self.metrics.waited_for_first_update(table.is_some());
        table
    }
}
