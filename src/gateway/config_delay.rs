//! How late a configuration can have come into force at a gateway, by what members told it.

use std::time::Duration;

/// What members have told of the configurations that they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigDelay {
    /// Newest version that any told of.
    newest_version: u64,
    /// When one that hears a leader last held nothing newer than the gateway.
    current_at: Option<Duration>,
}

impl ConfigDelay {
    /// A member tells which version it holds, and whether it hears a leader, while the gateway holds
    /// `held`. Without a leader there may be newer ones that it has not heard of.
    pub fn note_update(&mut self, now: Duration, fresh: bool, version: u64, held: u64) {
        self.newest_version = self.newest_version.max(version);
        if fresh && self.newest_version <= held {
            self.current_at = Some(now);
        }
    }

    /// Newest version that a member told of; 0 before.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// How long ago nothing newer was held, at most; `None` if no member said so yet.
    pub fn max_delay(&self, now: Duration) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }
}
