//! Outcomes of a roll-out over time, as a member's reports add up.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Stage;
use super::route_mix::{RouteMix, RouteShare};
use super::tally::{Compared, Outcomes, RouteKey};

/// Initial length of a slice; it doubles each time [`MAX_SLICES`] is reached.
const INITIAL_SLICE: Duration = Duration::from_secs(1);
/// Number of latest slices that show whether a route now has more requests than before.
const RECENT_SLICES: usize = 3;
/// Standard deviations that are subtracted from a route's recent number of requests, so that its recent share counts
/// only if it is clearly above the one since the order.
const RECENT_DEVIATIONS: f64 = 2.0;
/// Number of slices of a route at which each two of them are merged into one.
const MAX_SLICES: usize = 128;

/// Length of a slice after the shift.
const SHIFTED_SLICE: Duration = Duration::from_millis(500);
/// Number of slices kept after the shift.
const MAX_SHIFTED_SLICES: usize = 128;

/// Outcomes on one route over time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteHistory {
    /// Slices of the time in which both versions got requests, to compare them.
    pub compared: Vec<Compared>,
    /// Slices of the new version's outcomes after the shift ([`Stage::Shifted`]). The old version gets next to no requests
    /// then, so trouble of both versions can't be told from the new one's.
    pub shifted: Vec<Outcomes>,
}

impl RouteHistory {
    /// Adds the outcomes on another route, slice by slice.
    pub fn add(&mut self, other: &RouteHistory) {
        add_slices(&mut self.compared, &other.compared, Compared::add);
        add_slices(&mut self.shifted, &other.shifted, Outcomes::add);
    }

    /// A history that ends before the shift.
    pub fn before_shift(compared: Vec<Compared>) -> Self {
        RouteHistory { compared, shifted: Vec::new() }
    }
}

/// Adds each slice to the one at the same place of `sums`, which grows as needed.
fn add_slices<T: Clone + Default>(sums: &mut Vec<T>, slices: &[T], add: fn(&mut T, &T)) {
    sums.resize(sums.len().max(slices.len()), T::default());
    sums.iter_mut().zip(slices).for_each(|(sum, slice)| add(sum, slice));
}

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
    /// Outcomes since the shift; `None` before it.
    shifted: Option<ShiftedHistory>,
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
        History {
            slice_length: INITIAL_SLICE,
            began: Duration::ZERO,
            before: BTreeMap::new(),
            slices: BTreeMap::new(),
            finished: 0,
            shifted: None,
        }
    }
}

impl History {
    /// Records the total outcomes since the order, in the present stage of the roll-out.
    pub fn record(&mut self, now: Duration, stage: Stage, total: &BTreeMap<RouteKey, Compared>) {
        if stage != Stage::Shifted {
            self.record_compared(now, total);
            return;
        }
        let shifted = self.shifted.take();
        let start = || ShiftedHistory::start(now, self.total_before_shift());
        let mut shifted = shifted.unwrap_or_else(start);
        shifted.record(now, total);
        self.shifted = Some(shifted);
        // A route may get its first requests after the shift.
        for route in total.keys() {
            self.slices.entry(*route).or_default();
        }
    }

    /// Total outcomes at the last record before the shift.
    fn total_before_shift(&self) -> BTreeMap<RouteKey, Compared> {
        let mut total = self.before.clone();
        for (route, slices) in &self.slices {
            if let Some(current) = slices.get(self.finished) {
                total.entry(*route).or_default().add(current);
            }
        }
        total
    }

    fn record_compared(&mut self, now: Duration, total: &BTreeMap<RouteKey, Compared>) {
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

    /// The history of each route.
    pub fn routes(&self) -> Vec<RouteHistory> {
        let shifted = |route| self.shifted.iter().flat_map(move |shifted| shifted.slices(route));
        let history = |(route, compared): (&RouteKey, &Vec<Compared>)| RouteHistory {
            compared: compared.clone(),
            shifted: shifted(*route).collect(),
        };
        self.slices.iter().map(history).collect()
    }
}

/// Outcomes of the new version since the shift.
#[derive(Debug)]
struct ShiftedHistory {
    /// When the current slice began.
    began: Duration,
    /// Total outcomes at that time.
    before: BTreeMap<RouteKey, Compared>,
    /// The latest slices of all routes; the last one is the current one.
    slices: VecDeque<BTreeMap<RouteKey, Outcomes>>,
}

impl ShiftedHistory {
    fn start(now: Duration, before: BTreeMap<RouteKey, Compared>) -> Self {
        ShiftedHistory { began: now, before, slices: VecDeque::from([BTreeMap::new()]) }
    }

    fn record(&mut self, now: Duration, total: &BTreeMap<RouteKey, Compared>) {
        let since = |(route, outcomes): (&RouteKey, &Compared)| {
            let before = self.before.get(route).cloned().unwrap_or_default();
            (*route, outcomes.since(&before).new)
        };
        let current = total.iter().map(since).collect();
        self.slices.pop_back();
        self.slices.push_back(current);
        if now < self.began + SHIFTED_SLICE {
            return;
        }
        self.began = now;
        self.before.clone_from(total);
        self.slices.push_back(BTreeMap::new());
        if self.slices.len() > MAX_SHIFTED_SLICES {
            self.slices.pop_front();
        }
    }

    /// Slices of one route.
    fn slices(&self, route: RouteKey) -> impl Iterator<Item = Outcomes> {
        self.slices.iter().map(move |slice| slice.get(&route).cloned().unwrap_or_default())
    }
}
