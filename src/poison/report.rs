//! What boards tell each other of a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Fingerprint, Identity, Outline};

/// Most reports in a word, some 100 bytes each: a word takes some 10 ms of a member's link of 6 Mbit/s.
pub const MOST_IN_WORD: usize = 64;
/// Longest name of a team or a route that is told, in characters.
const LONGEST_NAME: usize = 64;

/// Who saw a target end: a gateway, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reporter(u32);

impl Reporter {
    /// The gateway of this name.
    pub fn of(gateway: &str) -> Self {
        Reporter(xxh3_64(gateway.as_bytes()) as u32)
    }

    /// A number from 0 to 1 that differs between reporters and requests, always the same for a pair.
    pub(super) fn draw(self, fingerprint: Fingerprint) -> f64 {
        let text = format!("{} {fingerprint}", self.0);
        xxh3_64(text.as_bytes()) as f64 / u64::MAX as f64
    }
}

/// A request under which a target ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// What tells it from all others.
    pub fingerprint: Fingerprint,
    /// What is looked at first.
    pub outline: Outline,
    /// Team that sends it; `None` where callers need no key.
    pub team: Option<String>,
    /// Its route, for operators.
    pub route: String,
}

impl Suspect {
    /// The request of this identity and its fingerprint, on a route.
    pub fn new(identity: &Identity<'_>, fingerprint: Fingerprint, route: &str) -> Self {
        let short = |name: &str| name.chars().take(LONGEST_NAME).collect();
        Suspect {
            fingerprint,
            outline: identity.outline(),
            team: identity.team.map(short),
            route: short(route),
        }
    }
}

/// A target that ended under a request, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Short form of the target's identity.
    pub target: u64,
    /// Who saw it.
    pub by: Reporter,
    /// How long ago, in milliseconds.
    pub ago_ms: u64,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub suspect: Suspect,
    /// Targets that ended under it.
    pub ends: Vec<EndReport>,
    /// How long ago it ended well, or an operator lifted its block, in milliseconds: what came before counts no more.
    pub settled_ago_ms: Option<u64>,
}

/// Milliseconds since `at`.
pub(super) fn ago_ms(now: Duration, at: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
