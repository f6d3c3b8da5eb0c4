//! Estimate of the contents of a target's prefix cache.

use std::collections::{BTreeMap, VecDeque};

use crate::choice::Key;

/// The chats that were last sent to a target, as many as fit into its prefix cache (LRU).
#[derive(Clone, Debug, Default)]
pub struct Recent {
    /// Number of uses so far; numbers each use.
    uses: u64,
    last_use: BTreeMap<Key, u64>,
    /// Uses, oldest first. An entry is outdated if the chat was used again later.
    order: VecDeque<(u64, Key)>,
}

impl Recent {
    /// Whether the prefix of `chat` is probably in the cache.
    pub fn contains(&self, chat: Key) -> bool {
        self.last_use.contains_key(&chat)
    }

    /// Records a use of `chat`, and evicts the least recently used chats beyond `capacity`.
    ///
    /// Returns whether the chat was in the cache before.
    pub fn touch(&mut self, chat: Key, capacity: usize) -> bool {
        self.uses += 1;
        self.order.push_back((self.uses, chat));
        let known = self.last_use.insert(chat, self.uses).is_some();
        while self.last_use.len() > capacity || self.order.len() > 2 * capacity {
            let Some((used, oldest)) = self.order.pop_front() else {
                break;
            };
            if self.last_use.get(&oldest) == Some(&used) {
                self.last_use.remove(&oldest);
            }
        }
        known
    }
}
