//! Which kept connections a request may use.

use std::time::Duration;

/// Idle time beyond which a request that may run only once gets a new connection: one that a target
/// without power has forgotten would leave its outcome unknown. Targets keep connections for
/// seconds, so that a much shorter time would have connections made anew without need.
const MAX_IDLE_IF_NOT_REPEATABLE: Duration = Duration::from_millis(1_600);

/// Whether an attempt may leave the outcome unknown without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any kept connection will do.
    Any,
    /// Only one used lately.
    RecentlyUsed,
}

impl Reuse {
    /// Whether a connection that was idle for so long may be used.
    pub fn allows(self, idle_for: Duration) -> bool {
        self == Reuse::Any || idle_for <= MAX_IDLE_IF_NOT_REPEATABLE
    }
}
