//! Decides which pooled connections a request may use.

use std::time::Duration;

/// Maximum idle time of a connection for a request that must not run twice. During a longer idle
/// time the target may have lost power and with it the connection: a request sent on it would have
/// an unknown outcome. Targets keep connections open for seconds, so a much smaller value would
/// only cause unnecessary new connections.
const MAX_IDLE_IF_NOT_REPEATABLE: Duration = Duration::from_millis(1_600);

/// Which pooled connections an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any, since the request is safe to repeat.
    Any,
    /// Only recently used ones, since the request must not run twice or an older connection turned
    /// out to be closed.
    RecentlyUsed,
    /// None: a pooled connection turned out to be closed.
    Never,
}

impl Reuse {
    /// Whether a connection that has been idle for `idle_for` may be used.
    pub fn allows(self, idle_for: Duration) -> bool {
        match self {
            Reuse::Any => true,
            Reuse::RecentlyUsed => idle_for <= MAX_IDLE_IF_NOT_REPEATABLE,
            Reuse::Never => false,
        }
    }
}
