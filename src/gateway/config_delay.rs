//! Measures how long a new configuration took to come into force at this gateway, from the versions
//! that members report.

use std::time::Duration;

/// Versions of the configuration that the members have reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigDelay {
    /// Newest version that any member reported.
    newest_version: u64,
    /// When a member in contact with a leader last reported nothing newer than this gateway's
    /// version.
    current_at: Option<Duration>,
}

impl ConfigDelay {
    /// Records the version that a member reports while the gateway holds version `held`. `fresh`
    /// is whether the member has contact with a leader: without a leader, newer versions may
    /// exist that it has not received.
    pub fn note_update(&mut self, now: Duration, fresh: bool, version: u64, held: u64) {
        self.newest_version = self.newest_version.max(version);
        if fresh && self.newest_version <= held {
            self.current_at = Some(now);
        }
    }

    /// Newest version that a member reported; 0 before the first.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Upper bound on the time for which a newer version has existed; `None` before the first
    /// confirmation.
    pub fn max_delay(&self, now: Duration) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }
}
