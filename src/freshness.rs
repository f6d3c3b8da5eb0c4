//! Lease that proves a router's configuration to be the one in force.

use std::time::Duration;

/// When a configuration was last proven to be in force, and until when a router may serve requests with it.
///
/// A leader whose lease was valid when it answered had the newest accepted configuration at some time after the
/// request was sent. So the proof counts from the time of the request. Times are monotonic and count from the start
/// of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    proven_at: Option<Duration>,
    until: Duration,
}

impl Freshness {
    /// Records a leader's answer to a request sent at `sent_at`; the configuration may be used for `lease` from
    /// then on.
    pub fn prove(&mut self, sent_at: Duration, lease: Duration) {
        self.proven_at = self.proven_at.max(Some(sent_at));
        self.until = self.until.max(sent_at + lease);
    }

    /// Whether the router may admit requests.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.proven_at.is_some() && now < self.until
    }

    /// Time since the configuration was last proven to be in force; `None` when it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }
}
