//! Cache of complete answers to requests that must run at most once, for clients that repeat such a request.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use salvo::hyper::body::Bytes;

use crate::claims::{CLAIM_WINDOW, RequestKey};

/// Maximum size of all cached bodies.
const MAX_TOTAL_BYTES: usize = 8 * 1024 * 1024;
/// Larger bodies are not cached.
pub(super) const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredAnswer {
    pub(super) status: u16,
    pub(super) content_type: Option<String>,
    pub(super) body: Bytes,
}

/// Answers by request key. The oldest are evicted once they are older than [`WINDOW`], for which claims are kept, or
/// while the bodies exceed [`MAX_TOTAL_BYTES`].
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    by_key: BTreeMap<RequestKey, StoredAnswer>,
    /// Keys with the time at which they were first stored, the oldest first.
    by_age: VecDeque<(Duration, RequestKey)>,
    /// Size of all bodies.
    bytes: usize,
}

impl AnswerCache {
    pub(super) fn get(&self, key: RequestKey) -> Option<StoredAnswer> {
        self.by_key.get(&key).cloned()
    }

    pub(super) fn put(&mut self, now: Duration, key: RequestKey, answer: StoredAnswer) {
        if answer.body.len() > MAX_ANSWER_BYTES {
            return;
        }
        self.bytes += answer.body.len();
        if let Some(earlier) = self.by_key.insert(key, answer) {
            self.bytes -= earlier.body.len();
        } else {
            self.by_age.push_back((now, key));
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Duration) {
        while let Some((stored_at, key)) = self.by_age.front().copied() {
            if self.bytes <= MAX_TOTAL_BYTES && now < stored_at + CLAIM_WINDOW {
                return;
            }
            self.by_age.pop_front();
            if let Some(evicted) = self.by_key.remove(&key) {
                self.bytes -= evicted.body.len();
            }
        }
    }
}
