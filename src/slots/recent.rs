//! What a target's prefix cache is likely to hold.

use std::collections::{BTreeMap, VecDeque};

use crate::choice::Key;

/// The chats that a target saw last, as many as its prefix cache holds.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    uses: u64,
    last_use: BTreeMap<Key, u64>,
    order: VecDeque<(u64, Key)>,
}

impl Recent {
    /// Whether `chat` is among them.
    pub fn contains(&self, chat: Key) -> bool {
        self.last_use.contains_key(&chat)
    }

    /// Notes that `chat` is used now; forgets the least recently used beyond `capacity`.
    ///
    /// Returns whether it was among them before.
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
