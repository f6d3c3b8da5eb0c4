//! Parts of prompts with which requests succeeded lately, as one gateway observed it.

use std::collections::HashMap;
use std::time::Duration;

use super::Fingerprint;

/// Maximum number of parts per generation, some 40 bytes each.
const MAX_PARTS: usize = 8_192;

/// When requests with a part last succeeded. Entries are kept in two generations, so that old ones are dropped without
/// looking at each.
#[derive(Clone, Debug)]
pub struct SoundParts {
    /// For how long at least a success is remembered.
    retention: Duration,
    /// When the newer generation began.
    began: Duration,
    newer: HashMap<Fingerprint, Duration>,
    older: HashMap<Fingerprint, Duration>,
}

impl SoundParts {
    /// Remembers successes for at least `retention`, if they are not too many.
    pub fn new(retention: Duration) -> Self {
        let (newer, older) = (HashMap::new(), HashMap::new());
        SoundParts { retention, began: Duration::ZERO, newer, older }
    }

    /// Records that a request with the part succeeded.
    pub fn note(&mut self, now: Duration, part: Fingerprint) {
        if now >= self.began + self.retention {
            self.older = std::mem::take(&mut self.newer);
            self.began = now;
        }
        if self.newer.len() < MAX_PARTS || self.newer.contains_key(&part) {
            self.newer.insert(part, now);
        }
    }

    /// When a request with the part last succeeded, if that is remembered.
    pub fn last(&self, part: &Fingerprint) -> Option<Duration> {
        self.newer.get(part).or_else(|| self.older.get(part)).copied()
    }
}
