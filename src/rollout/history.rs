//! Outcomes of a roll-out over time, as a member's reports add up.

use std::collections::BTreeMap;
use std::time::Duration;

use super::route_mix::{RouteMix, RouteShare};
use super::tally::{Compared, RouteKey};

/// Initial length of a slice; it doubles each time [`MAX_SLICES`] is reached.
const INITIAL_SLICE: Duration = Duration::from_secs(1);
/// Number of latest slices that show whether a route now has more requests than before.
const RECENT_SLICES: usize = 3;
/// Standard deviations that are subtracted from a route's recent number of requests, so that its recent share counts
/// only if it is clearly above the one since the order.
const RECENT_DEVIATIONS: f64 = 2.0;
/// Number of slices of a route at which each two of them are merged into one.
const MAX_SLICES: usize = 128;

/// Outcomes on each route, divided into slices of time, so that versions are compared only within the same time.
#[derive(Debug)]
pub struct History {
    slice_length: Duration,
    /// When the current slice began.
    began: Duration,
    /// Total outcomes at that time.
    before: BTreeMap<RouteKey, Compared>,
    /// Slices of each route; the last one is the current one.
    slices: BTreeMap<RouteKey, Vec<Compared>>,
    /// Number of finished slices.
    finished: usize,
}

/// Number of attempts in these slices.
fn attempts(slices: &[Compared]) -> f64 {
    let attempts = |slice: &Compared| f64::from(slice.old.count()) + f64::from(slice.new.count());
    slices.iter().map(attempts).sum()
}

fn attempts_from(slices: &[Compared], from: usize) -> f64 {
    slices.get(from..).map_or(0.0, attempts)
}

impl Default for History {
    fn default() -> Self {
        let (before, slices) = (BTreeMap::new(), BTreeMap::new());
        History { slice_length: INITIAL_SLICE, began: Duration::ZERO, before, slices, finished: 0 }
    }
}

impl History {
    /// Records the total outcomes since the order.
    pub fn record(&mut self, now: Duration, total: &BTreeMap<RouteKey, Compared>) {
        for (route, outcomes) in total {
            let slices = self.slices.entry(*route).or_default();
            slices.resize(self.finished + 1, Compared::default());
            let before = self.before.get(route).cloned().unwrap_or_default();
            slices[self.finished] = outcomes.since(&before);
        }
        if now >= self.began + self.slice_length {
            self.began = now;
            self.before.clone_from(total);
            self.finished += 1;
            self.merge_pairs();
        }
    }

    /// Merges each two slices into one once there are [`MAX_SLICES`].
    fn merge_pairs(&mut self) {
        if self.finished < MAX_SLICES {
            return;
        }
        self.slice_length *= 2;
        self.finished /= 2;
        for slices in self.slices.values_mut() {
            let merged = slices.chunks(2).map(|pair| {
                let mut sum = pair[0].clone();
                pair.iter().skip(1).for_each(|other| sum.add(other));
                sum
            });
            *slices = merged.collect();
        }
    }

    /// Each route's share of all requests: the share since the order, or the recent one if that is clearly higher.
    pub fn mix(&self) -> RouteMix {
        let from = self.finished.saturating_sub(RECENT_SLICES);
        let total: f64 = self.slices.values().map(|slices| attempts(slices)).sum();
        let recent_total: f64 =
            self.slices.values().map(|slices| attempts_from(slices, from)).sum();
        let share = |(route, slices): (&RouteKey, &Vec<Compared>)| {
            let recent = attempts_from(slices, from);
            let since_order = (attempts(slices) + 1.0) / (total + 1.0);
            let recent_share = (recent - RECENT_DEVIATIONS * recent.sqrt()) / recent_total.max(1.0);
            RouteShare { route: *route, share: since_order.max(recent_share) as f32 }
        };
        RouteMix(self.slices.iter().map(share).collect())
    }

    /// The routes, in the order of [`routes`](History::routes).
    pub fn keys(&self) -> impl Iterator<Item = RouteKey> {
        self.slices.keys().copied()
    }

    /// Slices of each route.
    pub fn routes(&self) -> Vec<Vec<Compared>> {
        self.slices.values().cloned().collect()
    }
}
