//! What targets that are no longer listed reported about themselves. A member's list may omit a
//! target for a while or move it to another address, and then list it as ready again while the same
//! process still runs.

use std::collections::HashMap;
use std::time::Duration;

use crate::availability::OwnReport;

/// How long a report is remembered. A target that said that it is shutting down has ended by then.
const REPORT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of reports. The oldest is evicted.
const MAX_REPORTS: usize = 4_096;

/// Reports by the key of the target's incarnation, with the time at which they were stored.
#[derive(Debug, Default)]
pub struct RememberedReports(HashMap<u64, (Duration, OwnReport)>);

impl RememberedReports {
    /// Remembers what an incarnation of a target reported about itself.
    pub fn keep(&mut self, now: Duration, incarnation: u64, report: OwnReport) {
        if self.0.len() >= MAX_REPORTS
            && let Some(oldest) = self.0.iter().min_by_key(|(_, (at, _))| *at).map(|(key, _)| *key)
        {
            self.0.remove(&oldest);
        }
        self.0.insert(incarnation, (now, report));
    }

    /// Takes the report of an incarnation that is listed again, if it has not expired.
    pub fn take(&mut self, now: Duration, incarnation: u64) -> Option<OwnReport> {
        let entry = self.0.remove(&incarnation);
        entry.filter(|(at, _)| now < *at + REPORT_TTL).map(|(_, report)| report)
    }
}
