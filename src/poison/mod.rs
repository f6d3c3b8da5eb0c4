//! Poison requests: requests that crash each target that processes them. Some do so whatever else they hold, because of
//! one part of their prompt.
//!
//! A caller repeats such a request, each time under a new id and mostly at another gateway. What stays the same is its
//! [`Identity`]: the team, the host, the path and the body. Gateways record during which requests targets crashed. Each
//! gateway has a [`PoisonTracker`] of its own observations and the reports of others, and each member has one of the
//! reports of all. Trackers may apply the same [`Report`]s in any order and any number of times, and reach the same
//! result: a request under which enough targets crashed, and which has not succeeded since, is sent to no target for a
//! while. The parts of prompts are tracked alike. Under a crash run requests with many sound parts; these are told from
//! the poison one because requests with them succeed, and because the poison part explains the crashes.

mod identity;
mod log;
mod report;
mod successes;
mod tracker;

pub use self::identity::{
    Fingerprint, FingerprintKind, Identity, InvalidFingerprint, PromptPart, QuickHash,
};
pub(crate) use self::log::log_block_changes;
pub use self::report::{CrashReport, MAX_REPORTS_PER_MESSAGE, Report, Reporter, Suspect};
pub use self::successes::RecentSuccesses;
pub use self::tracker::{BlockChange, Origin, PoisonTracker, Rule, Verdict};
