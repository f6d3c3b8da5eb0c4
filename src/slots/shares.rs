//! Guaranteed shares of a pool: a team may use idle slots beyond its share, unless another team was just refused a slot
//! within its own share.

use std::collections::BTreeMap;
use std::time::Duration;

use super::TeamId;

/// Time after a team was refused a slot within its share during which other teams get none beyond
/// theirs. Longer than refused requests take to ask again.
const REFUSAL_WINDOW: Duration = Duration::from_millis(100);

/// Teams of a pool that were recently refused a slot within their share.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// When each team was last refused a slot within its share.
    refused: BTreeMap<TeamId, Duration>,
}

impl Shares {
    /// Decides at `now` whether a team may have one more slot. It uses `used` of the pool's
    /// `capacity` slots, is guaranteed `share` thousandths of them, and all teams together use
    /// `total`.
    pub fn admit(
        &mut self,
        now: Duration,
        team: TeamId,
        share: u16,
        used: usize,
        total: usize,
        capacity: usize,
    ) -> bool {
        let within_share = used * 1_000 < capacity * usize::from(share);
        let full = total >= capacity;
        if within_share && full {
            self.refused.insert(team, now);
        }
        if full {
            return false;
        }
        if within_share {
            return true;
        }
        self.refused.retain(|_, at| now < *at + REFUSAL_WINDOW);
        !self.refused.keys().any(|other| *other != team)
    }
}
