//! Whole answers to requests that must run at most once, kept for callers that ask again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use salvo::hyper::body::Bytes;

use crate::claims::{RequestKey, WINDOW};

/// Most bytes of answers kept.
const MAX_TOTAL_BYTES: usize = 8 * 1024 * 1024;
/// Largest answer that is kept.
pub(super) const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredAnswer {
    pub(super) status: u16,
    pub(super) content_type: Option<String>,
    pub(super) body: Bytes,
}

/// Answers within the window of claims, the oldest dropped first where room is short.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    by_key: BTreeMap<RequestKey, StoredAnswer>,
    by_age: VecDeque<(Duration, RequestKey)>,
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
            if self.bytes <= MAX_TOTAL_BYTES && now < stored_at + WINDOW {
                return;
            }
            self.by_age.pop_front();
            if let Some(evicted) = self.by_key.remove(&key) {
                self.bytes -= evicted.body.len();
            }
        }
    }
}
