//! Shares of a pool: a team may use what is idle, but never what another lacks of its share.

use std::collections::BTreeMap;
use std::time::Duration;

use super::TeamId;

/// How long a team that was refused within its share keeps others from more than theirs; longer
/// than refused requests take to ask again.
const REMEMBERED: Duration = Duration::from_millis(100);

/// Which teams of a pool lack slots of their share.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    refused: BTreeMap<TeamId, Duration>,
}

impl Shares {
    /// Decides at `now` whether a team that uses `used` of `capacity` slots, of which it is sure
    /// of `share` thousandths, may have one more while all teams use `total`.
    pub fn admit(
        &mut self,
        now: Duration,
        team: TeamId,
        share: u16,
        used: usize,
        total: usize,
        capacity: usize,
    ) -> bool {
        let within = used * 1_000 < capacity * usize::from(share);
        let full = total >= capacity;
        if within && full {
            self.refused.insert(team, now);
        }
        if full {
            return false;
        }
        if within {
            return true;
        }
        self.refused.retain(|_, at| now < *at + REMEMBERED);
        !self.refused.keys().any(|other| *other != team)
    }
}
