//! Stall timeouts: how long a gateway waits for data from a target before it tries another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use slog::info;

use super::Gateway;
use super::health::AttemptOutcome;
use super::reach::Contact;
use super::target::Target;
use crate::configuration::Route;

/// Multiple of the route's answer goal after which an answer counts as stalled.
const ANSWER_GOAL_MULTIPLE: u32 = 3;
/// Multiple of the route's goal for gaps between events after which a stream counts as stalled.
const GAP_GOAL_MULTIPLE: u32 = 3;
/// Minimum stall timeout, whatever the goals.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for the next event where the route has no goal for gaps.
const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait for an answer, or for its first event, before trying another target.
pub fn answer_timeout(route: &Route) -> Duration {
    (route.goal * ANSWER_GOAL_MULTIPLE).max(MIN_TIMEOUT)
}

/// How long to wait for the next event of a stream before resuming it at another target.
pub fn next_event_timeout(route: &Route) -> Duration {
    route.gap_goal.map_or(DEFAULT_EVENT_TIMEOUT, |gap| (gap * GAP_GOAL_MULTIPLE).max(MIN_TIMEOUT))
}

/// Counts a stalled target as failed even if the wait for it is cancelled, for example because the
/// client disconnects.
pub(super) struct StallGuard {
    gateway: Arc<Gateway>,
    /// `None` if the answer comes through a peer gateway, which counts the target's failures itself.
    target: Option<Arc<Target>>,
    timeout: Duration,
    /// Run time of this process when the wait began; `None` once it has ended.
    since: Option<Duration>,
    failure_counted: AtomicBool,
}

impl StallGuard {
    /// Starts to wait for the target.
    pub(super) fn start(
        gateway: &Arc<Gateway>,
        target: Option<&Arc<Target>>,
        timeout: Duration,
    ) -> Self {
        let (gateway, target) = (gateway.clone(), target.cloned());
        let (since, failure_counted) = (Some(gateway.run_clock.ran()), AtomicBool::new(false));
        StallGuard { gateway, target, timeout, since, failure_counted }
    }

    /// Counts the target as failed now if it has stalled, although the wait for it goes on, so that
    /// other requests avoid it.
    pub(super) fn count_if_stalled(&self) {
        if self.stalled() {
            self.count_failure();
        }
    }

    /// Whether the wait has lasted for the stall timeout.
    pub(super) fn stalled(&self) -> bool {
        let ran = self.gateway.run_clock.ran();
        self.since.is_some_and(|since| ran.saturating_sub(since) >= self.timeout)
    }

    fn count_failure(&self) {
        let Some(target) = &self.target else {
            return;
        };
        if !self.failure_counted.swap(true, Ordering::Relaxed) {
            info!(self.gateway.log, "no data from target within the stall timeout";
                "event" => "target_silent", "target" => &target.announcement.id,
                "silent_ms" => self.timeout.as_millis() as u64);
            self.gateway.record_contact(target, Contact::Silent);
            self.gateway.note_outcome(target, AttemptOutcome::Failed);
        }
    }

    /// Whether the target was counted as failed.
    pub(super) fn failure_counted(&self) -> bool {
        self.failure_counted.load(Ordering::Relaxed)
    }

    /// Ends the wait: the target sent data, or its failure is counted elsewhere.
    pub(super) fn finish(mut self) {
        self.since = None;
    }
}

impl Drop for StallGuard {
    fn drop(&mut self) {
        self.count_if_stalled();
    }
}
