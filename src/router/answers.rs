//! Whole answers to requests that must run at most once, kept for callers that ask again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use salvo::hyper::body::Bytes;

use crate::claims::{CLAIM_WINDOW, RequestKey};

/// Most bytes of answers kept.
const MAX_BYTES: usize = 8 * 1024 * 1024;
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
pub(super) struct Answers {
    kept: BTreeMap<RequestKey, StoredAnswer>,
    order: VecDeque<(Duration, RequestKey)>,
    bytes: usize,
}

impl Answers {
    pub(super) fn get(&self, key: RequestKey) -> Option<StoredAnswer> {
        self.kept.get(&key).cloned()
    }

    pub(super) fn put(&mut self, now: Duration, key: RequestKey, answer: StoredAnswer) {
        if answer.body.len() > MAX_ANSWER_BYTES {
            return;
        }
        self.bytes += answer.body.len();
        if let Some(earlier) = self.kept.insert(key, answer) {
            self.bytes -= earlier.body.len();
        } else {
            self.order.push_back((now, key));
        }
        self.make_room(now);
    }

    fn make_room(&mut self, now: Duration) {
        while let Some((since, key)) = self.order.front().copied() {
            if self.bytes <= MAX_BYTES && now < since + CLAIM_WINDOW {
                return;
            }
            self.order.pop_front();
            if let Some(dropped) = self.kept.remove(&key) {
                self.bytes -= dropped.body.len();
            }
        }
    }
}
