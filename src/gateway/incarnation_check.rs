//! What a gateway knows of whether a target still runs as the incarnation that the directory lists.
//!
//! The identity of a target does not tell its incarnations apart, and neither do its answers to requests. A connection
//! that broke or was refused may mean that the incarnation ended. The target's own report shows which one runs.

use std::time::Duration;

use crate::directory::Born;
use crate::group::restarts::SUSPICION_TTL;

/// Time after which a target is asked again, whatever it answered.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// How long an answer that confirms the incarnation spares another question if nothing speaks against it.
const CONFIRMATION_TTL: Duration = Duration::from_secs(1);

/// What a target answered when it was asked for its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedIncarnation {
    /// The one that is listed.
    Listed,
    /// Another one.
    Other,
    /// It answered without telling.
    Untold,
    /// It gave no answer.
    Unknown,
}

impl ReportedIncarnation {
    /// Compares the start time that a target reported with the one that is listed.
    pub fn compare(listed: Born, reported: Born) -> Self {
        match (listed.0, reported.0) {
            (Some(listed), Some(reported)) if listed == reported => ReportedIncarnation::Listed,
            (Some(_), Some(_)) => ReportedIncarnation::Other,
            _ => ReportedIncarnation::Untold,
        }
    }

    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ReportedIncarnation::Listed => "listed",
            ReportedIncarnation::Other => "other",
            ReportedIncarnation::Untold => "untold",
            ReportedIncarnation::Unknown => "unknown",
        }
    }
}

/// The evidence on one listed incarnation. Times are since the start of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IncarnationCheck {
    /// When a connection first and last broke or was refused, here or at another gateway, since the last confirmation.
    /// The first may have been later: between two signs of which a confirmation refutes one, its time stands.
    signs: Option<(Duration, Duration)>,
    /// When the target was last known to run as the listed incarnation.
    confirmed_at: Option<Duration>,
    /// When the target was last asked.
    asked_at: Option<Duration>,
    /// Whether another incarnation was found at its address.
    replaced: bool,
    /// Whether it answered without telling its incarnation, and so is not asked again.
    untold: bool,
}

impl IncarnationCheck {
    /// Records a sign, seen at `at`, that the incarnation may have ended.
    pub fn suspect(&mut self, at: Duration) {
        let confirmed_since = self.confirmed_at.is_some_and(|confirmed| confirmed > at);
        if !confirmed_since {
            let (first, last) = self.signs.unwrap_or((at, at));
            self.signs = Some((first.min(at), last.max(at)));
        }
    }

    /// Records what the target answered to a question that was sent at `asked_at`.
    pub fn record_report(&mut self, asked_at: Duration, reported: ReportedIncarnation) {
        match reported {
            ReportedIncarnation::Listed => self.confirm(asked_at),
            ReportedIncarnation::Other => self.replaced = true,
            ReportedIncarnation::Untold => self.untold = true,
            ReportedIncarnation::Unknown => {}
        }
    }

    /// Records an answer to a request that was sent at `sent_at`, on a connection that was opened at `opened_at`. If the
    /// connection was open before the first sign, the incarnation had not ended when the request was sent.
    pub fn record_answer(&mut self, opened_at: Duration, sent_at: Duration) {
        if self.signs.is_some_and(|(first, _)| opened_at < first) {
            self.confirm(sent_at);
        }
    }

    /// Records that the target ran as the listed incarnation at `at`.
    fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        let unrefuted = self.signs.filter(|(_, last)| *last >= at);
        self.signs = unrefuted.map(|(first, last)| (first.max(at), last));
    }

    /// Whether there are signs that are not refuted.
    pub fn has_signs(&self) -> bool {
        self.signs.is_some()
    }

    /// Whether the target may run as another incarnation than the listed one. `unresponsive`: the members miss its
    /// heartbeats.
    pub fn suspected(&self, now: Duration, unresponsive: bool) -> bool {
        let suspected = self.signs.is_some_and(|(_, last)| now < last + SUSPICION_TTL);
        self.replaced || suspected || (unresponsive && !self.confirmed_lately(now))
    }

    fn confirmed_lately(&self, now: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + CONFIRMATION_TTL)
    }

    /// Age of the last sign that the incarnation may have ended, for logs.
    pub fn suspicion_age(&self, now: Duration) -> Option<Duration> {
        self.signs.map(|(_, last)| now.saturating_sub(last))
    }

    /// Whether it is worth asking the target. If so, it counts as asked now.
    pub fn begin_question(&mut self, now: Duration) -> bool {
        let asked = self.asked_at.is_some_and(|at| now < at + ASK_INTERVAL);
        let settled = self.confirmed_lately(now) && self.signs.is_none();
        if self.replaced || self.untold || settled || asked {
            return false;
        }
        self.asked_at = Some(now);
        true
    }
}
