//! Reports about poison requests that gateways and members exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Fingerprint, Identity, PromptPart, QuickHash};

/// Maximum number of reports in a message. A report has about 100 bytes, so a message takes about 10 ms on a member's
/// link of 6 Mbit/s.
pub const MAX_REPORTS_PER_MESSAGE: usize = 64;
/// Names of teams and routes are cut to this many characters.
const MAX_NAME_CHARS: usize = 64;

/// A gateway that observed a crash of a target, as a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reporter(u32);

impl Reporter {
    /// The reporter for the gateway of this name.
    pub fn of(gateway: &str) -> Self {
        Reporter(xxh3_64(gateway.as_bytes()) as u32)
    }

    /// Position of this gateway's trial among those of all gateways, from 0 to 1: a hash of the reporter and the
    /// request.
    pub(super) fn trial_position(self, fingerprint: Fingerprint) -> f64 {
        let text = format!("{} {fingerprint}", self.0);
        xxh3_64(text.as_bytes()) as f64 / u64::MAX as f64
    }
}

/// A request under which a target crashed, or a part of its prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Identifies the request or the part.
    pub fingerprint: Fingerprint,
    /// Compared before the fingerprint, since it is cheaper to compute.
    pub quick_hash: QuickHash,
    /// Team that sends it; `None` where callers need no API key.
    pub team: Option<String>,
    /// Name of the request's route, or the part and its service; shown to operators.
    pub route: String,
}

impl Suspect {
    /// Creates a suspect for a request with this identity and fingerprint on a route.
    pub fn new(identity: &Identity<'_>, fingerprint: Fingerprint, route: &str) -> Self {
        let short = |name: &str| name.chars().take(MAX_NAME_CHARS).collect();
        Suspect {
            fingerprint,
            quick_hash: identity.quick_hash(),
            team: identity.team.map(short),
            route: short(route),
        }
    }
}

impl Suspect {
    /// Creates a suspect for a part of the prompt of a team's request.
    pub fn part(part: &PromptPart<'_>, team: Option<&str>) -> Self {
        let short = |name: &str| name.chars().take(MAX_NAME_CHARS).collect();
        let fingerprint = part.fingerprint();
        Suspect {
            fingerprint,
            quick_hash: fingerprint.part_hash(),
            team: team.map(short),
            route: short(&format!("prompt part {} of {}", part.id, part.service)),
        }
    }
}

/// A crash of a target under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Short id of the target.
    pub target: u64,
    /// Gateway that observed it.
    pub by: Reporter,
    /// Age of the crash in milliseconds, since clocks of processes differ.
    pub ago_ms: u64,
}

/// The state of a suspected request at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub suspect: Suspect,
    /// Crashes under it that count.
    pub crashes: Vec<CrashReport>,
    /// Time since it last succeeded or an operator lifted its block, in milliseconds. Earlier crashes no longer count.
    pub cleared_ago_ms: Option<u64>,
}

/// Milliseconds from `at` to `now`.
pub(super) fn ago_ms(now: Duration, at: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
