//! How long a gateway waits for a target that says nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use slog::info;

use super::Gateway;
use super::health::AttemptOutcome;
use super::target::Target;
use crate::configuration::Route;

/// Multiple of its goal after which an answer is thought not to come.
const ANSWER_GOAL_MULTIPLE: u32 = 3;
/// Multiple of the goal for pauses after which a stream is thought to have stopped.
const GAP_GOAL_MULTIPLE: u32 = 3;
/// Shortest patience, whatever the goals.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Patience for pauses where the route states no goal for them.
const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait for an answer, or for the first event of one, before asking another target.
pub fn answer_timeout(route: &Route) -> Duration {
    (route.goal * ANSWER_GOAL_MULTIPLE).max(MIN_TIMEOUT)
}

/// How long to wait for the next event of a stream before asking another target to go on.
pub fn next_event_timeout(route: &Route) -> Duration {
    route.gap_goal.map_or(DEFAULT_EVENT_TIMEOUT, |gap| (gap * GAP_GOAL_MULTIPLE).max(MIN_TIMEOUT))
}

/// Blames a target for its silence when the wait for it ends by itself, for example because the
/// client leaves.
pub(super) struct StallGuard {
    gateway: Arc<Gateway>,
    target: Arc<Target>,
    timeout: Duration,
    /// Run time of this process when the wait began.
    since: Option<Duration>,
    blamed: AtomicBool,
}

impl StallGuard {
    /// Begins to wait for the target.
    pub(super) fn start(gateway: &Arc<Gateway>, target: &Arc<Target>, timeout: Duration) -> Self {
        let (gateway, target) = (gateway.clone(), target.clone());
        let (since, blamed) = (Some(gateway.run_clock.ran()), AtomicBool::new(false));
        StallGuard { gateway, target, timeout, since, blamed }
    }

    /// Blames the target now if it has been silent for so long, though it is waited for on: who asks it next should
    /// know.
    pub(super) fn blame_if_stalled(&self) {
        let ran = self.gateway.run_clock.ran();
        let stalled_for = self.since.map(|since| ran.saturating_sub(since));
        if stalled_for.is_some_and(|stalled_for| stalled_for >= self.timeout) {
            self.blame();
        }
    }

    fn blame(&self) {
        if !self.blamed.swap(true, Ordering::Relaxed) {
            info!(self.gateway.log, "target silent"; "event" => "target_silent",
                "target" => &self.target.announcement.id,
                "silent_ms" => self.timeout.as_millis() as u64);
            self.gateway.note_outcome(&self.target, AttemptOutcome::Failed);
        }
    }

    /// Whether the target was blamed.
    pub(super) fn blamed(&self) -> bool {
        self.blamed.load(Ordering::Relaxed)
    }

    /// The target said something, or is blamed otherwise.
    pub(super) fn finish(mut self) {
        self.since = None;
    }
}

impl Drop for StallGuard {
    fn drop(&mut self) {
        self.blame_if_stalled();
    }
}
