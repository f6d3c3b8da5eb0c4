//! What targets that are listed no more have said of themselves: a list may lose one, or bring it under another address,
//! and bring it back as ready while the same start of it still runs.

use std::collections::HashMap;
use std::time::Duration;

use crate::availability::OwnWord;

/// How long a word is remembered: a target that said that it leaves has ended by then.
const KEPT_FOR: Duration = Duration::from_secs(600);
/// Words remembered; the oldest gives way.
const MOST: usize = 4_096;

/// Words of starts of targets, by their short form.
#[derive(Debug, Default)]
pub struct RememberedWords(HashMap<u64, (Duration, OwnWord)>);

impl RememberedWords {
    /// Remembers what a start of a target has said of itself.
    pub fn keep(&mut self, now: Duration, start: u64, said: OwnWord) {
        if self.0.len() >= MOST
            && let Some(oldest) = self.0.iter().min_by_key(|(_, (at, _))| *at).map(|(key, _)| *key)
        {
            self.0.remove(&oldest);
        }
        self.0.insert(start, (now, said));
    }

    /// What a start of a target that is listed again has said of itself.
    pub fn take(&mut self, now: Duration, start: u64) -> Option<OwnWord> {
        let kept = self.0.remove(&start);
        kept.filter(|(at, _)| now < *at + KEPT_FOR).map(|(_, said)| said)
    }
}
