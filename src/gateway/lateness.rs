//! How late a configuration can have come into force at a gateway, by what members told it.

use std::time::Duration;

/// What members have told of the configurations that they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lateness {
    /// Newest version that any told of.
    told: u64,
    /// When one that hears a leader last held nothing newer than the gateway.
    current_at: Option<Duration>,
}

impl Lateness {
    /// A member tells which version it holds, and whether it hears a leader, while the gateway holds
    /// `held`. Without a leader there may be newer ones that it has not heard of.
    pub fn hear(&mut self, now: Duration, fresh: bool, told: u64, held: u64) {
        self.told = self.told.max(told);
        if fresh && self.told <= held {
            self.current_at = Some(now);
        }
    }

    /// Newest version that a member told of; 0 before.
    pub fn told(&self) -> u64 {
        self.told
    }

    /// How long ago nothing newer was held, at most; `None` if no member said so yet.
    pub fn at_most(&self, now: Duration) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }
}
