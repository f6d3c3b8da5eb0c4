//! Logs requests that became blocked or unblocked.

use slog::{Logger, info};

use super::PoisonTracker;

/// Logs each request that became blocked or unblocked since the last call. Returns whether there were any.
pub(crate) fn log_block_changes(tracker: &mut PoisonTracker, log: &Logger) -> bool {
    let all = tracker.take_block_changes();
    for change in &all {
        let event = if change.blocked { "poison_blocked" } else { "poison_free" };
        info!(log, "block of a poison request changed"; "event" => event,
            "fingerprint" => %change.suspect.fingerprint, "team" => &change.suspect.team,
            "route" => &change.suspect.route, "ends" => change.crashes);
    }
    !all.is_empty()
}
