//! Strategies for judging a new version: the one that the members use, and others to compare it with.

use latchmount::rollout::Stage;
use latchmount::rollout::history::RouteHistory;
use latchmount::rollout::steps::{Progress, next_step};
use latchmount::rollout::tally::{Compared, Outcomes};

/// How a new version is judged and how many requests it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The strategy in use: at every check, by deviations beyond what is usual for the old version.
    Deviations,
    /// The same, but the new version gets the same fraction of each route's requests.
    SamePart,
    /// By fixed thresholds: with at least 20 outcomes on a route, a failure rate more than 5 percentage points above that of
    /// the old version, or a median latency at least twice as long. Stages as with `Deviations`.
    Thresholds,
    /// The new version gets half of the requests at once, and is judged by the thresholds after 80 % of the time.
    AtTheEnd,
}

impl Strategy {
    /// Whether the fraction of all requests is divided among routes by how many requests each has.
    pub fn divides(self) -> bool {
        self != Strategy::SamePart
    }

    /// The next stage, if it is due.
    pub fn next(self, progress: &Progress<'_>) -> Option<Stage> {
        let bad = || progress.routes.iter().map(sum).any(|all| over_threshold(&all));
        match self {
            Strategy::Deviations | Strategy::SamePart => next_step(progress).map(|step| step.stage),
            Strategy::Thresholds if progress.stage.under_way() && bad() => Some(Stage::RolledBack),
            Strategy::Thresholds => {
                // All outcomes pass as healthy, so that this decides only when a stage follows.
                let routes = progress.routes.iter();
                let healthy: Vec<RouteHistory> = routes.map(as_if_healthy).collect();
                next_step(&Progress { routes: &healthy, ..*progress }).map(|step| step.stage)
            }
            Strategy::AtTheEnd => at_the_end(progress, bad),
        }
    }
}

fn at_the_end(progress: &Progress<'_>, bad: impl Fn() -> bool) -> Option<Stage> {
    const HALF: Stage = Stage::Part(500);
    if !progress.stage.under_way() {
        return None;
    }
    if progress.stage != HALF {
        return Some(HALF);
    }
    let due = progress.elapsed >= progress.lasts.mul_f64(0.8);
    due.then(|| if bad() { Stage::RolledBack } else { Stage::Completed })
}

fn sum(route: &RouteHistory) -> Compared {
    let mut sum = Compared::default();
    route.compared.iter().for_each(|slice| sum.add(slice));
    route.shifted.iter().for_each(|slice| sum.new.add(slice));
    sum
}

fn over_threshold(route: &Compared) -> bool {
    const MIN_OUTCOMES: u32 = 20;
    const MAX_EXTRA_FAILURE_RATE: f64 = 0.05;
    const BUCKETS_PER_DOUBLING: usize = 2;
    if route.new.count() < MIN_OUTCOMES {
        return false;
    }
    let rate = |failed: u32, total: u32| f64::from(failed) / f64::from(total.max(1));
    let new = rate(route.new.failed, route.new.count());
    let old = rate(route.old.failed, route.old.count());
    let medians = (route.new.latencies.quantile(0.5), route.old.latencies.quantile(0.5));
    let slow = matches!(medians, (Some(new), Some(old)) if new >= old + BUCKETS_PER_DOUBLING);
    new > old + MAX_EXTRA_FAILURE_RATE || slow
}

fn as_if_healthy(route: &RouteHistory) -> RouteHistory {
    let healthy = |slice: &Compared| {
        let new = Outcomes { failed: 0, latencies: slice.new.latencies.clone() };
        Compared { old: new.clone(), new }
    };
    RouteHistory::before_shift(route.compared.iter().map(healthy).collect())
}
