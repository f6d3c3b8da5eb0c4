//! Log lines of requests that are blocked from now on, or no more.

use slog::{Logger, info};

use super::Board;

/// Logs which requests are blocked from now on, or no more; tells whether there are any.
pub(crate) fn log_turned(board: &mut Board, log: &Logger) -> bool {
    let all = board.take_turned();
    for turned in &all {
        let event = if turned.blocked { "poison_blocked" } else { "poison_free" };
        info!(log, "targets end under a request"; "event" => event,
            "fingerprint" => %turned.suspect.fingerprint, "team" => &turned.suspect.team,
            "route" => &turned.suspect.route, "ends" => turned.ends);
    }
    !all.is_empty()
}
