//! What targets that are listed no more have said of themselves: a list may lose one, or bring it under another address,
//! and bring it back as ready while the same start of it still runs.

use std::collections::HashMap;
use std::time::Duration;

use crate::availability::OwnWord;

/// How long a word is remembered: a target that said that it leaves has ended by then.
const REPORT_TTL: Duration = Duration::from_secs(600);
/// Words remembered; the oldest gives way.
const MAX_REPORTS: usize = 4_096;

/// Words of starts of targets, by their short form.
#[derive(Debug, Default)]
pub struct RememberedReports(HashMap<u64, (Duration, OwnWord)>);

impl RememberedReports {
    /// Remembers what a start of a target has said of itself.
    pub fn keep(&mut self, now: Duration, incarnation: u64, report: OwnWord) {
        if self.0.len() >= MAX_REPORTS
            && let Some(oldest) = self.0.iter().min_by_key(|(_, (at, _))| *at).map(|(key, _)| *key)
        {
            self.0.remove(&oldest);
        }
        self.0.insert(incarnation, (now, report));
    }

    /// What a start of a target that is listed again has said of itself.
    pub fn take(&mut self, now: Duration, incarnation: u64) -> Option<OwnWord> {
        let entry = self.0.remove(&incarnation);
        entry.filter(|(at, _)| now < *at + REPORT_TTL).map(|(_, report)| report)
    }
}
