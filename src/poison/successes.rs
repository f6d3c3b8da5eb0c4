//! Requests that succeeded lately, and parts of prompts with which requests did, as one gateway observed it.

use std::collections::HashMap;
use std::time::Duration;

use super::Fingerprint;

/// Maximum number of fingerprints per generation, some 40 bytes each.
const MAX_FINGERPRINTS: usize = 8_192;

/// When a request, or requests with a part, last succeeded. Entries are kept in two generations, so that old ones are dropped without
/// looking at each.
#[derive(Clone, Debug)]
pub struct RecentSuccesses {
    /// For how long at least a success is remembered.
    retention: Duration,
    /// When the newer generation began.
    began: Duration,
    newer: HashMap<Fingerprint, Duration>,
    older: HashMap<Fingerprint, Duration>,
}

impl RecentSuccesses {
    /// Remembers successes for at least `retention`, if they are not too many.
    pub fn new(retention: Duration) -> Self {
        let (newer, older) = (HashMap::new(), HashMap::new());
        RecentSuccesses { retention, began: Duration::ZERO, newer, older }
    }

    /// Records that the request, or one with the part, succeeded.
    pub fn note(&mut self, now: Duration, fingerprint: Fingerprint) {
        if now >= self.began + self.retention {
            self.older = std::mem::take(&mut self.newer);
            self.began = now;
        }
        if self.newer.len() < MAX_FINGERPRINTS || self.newer.contains_key(&fingerprint) {
            self.newer.insert(fingerprint, now);
        }
    }

    /// When the request, or one with the part, last succeeded, if that is remembered.
    pub fn last(&self, fingerprint: &Fingerprint) -> Option<Duration> {
        self.newer.get(fingerprint).or_else(|| self.older.get(fingerprint)).copied()
    }
}
