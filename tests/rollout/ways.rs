//! Ways of judging a new version: the one that is kept, fixed thresholds, and by all outcomes at the end.

use latchmount::rollout::Stage;
use latchmount::rollout::steps::{Progress, next_step};
use latchmount::rollout::tally::Compared;

/// A way to judge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By deviations beyond what is usual for the old version, at every look.
    Deviations,
    /// The same, but the new version gets the same part of each route's requests.
    SamePart,
    /// By fixed thresholds: twenty outcomes on a route, and a rate of failures of five in a hundred beyond that of the
    /// old version, or a middle time twice as long. Stages as with the first.
    Thresholds,
    /// The new version gets half at once, and is judged by thresholds at four fifths of the time.
    AtTheEnd,
}

impl Way {
    /// Whether the part of all requests is divided among routes by how many each has.
    pub fn divides(self) -> bool {
        self != Way::SamePart
    }

    /// The next stage, if it is time for that.
    pub fn next(self, progress: &Progress<'_>) -> Option<Stage> {
        let bad =
            || progress.routes.iter().map(|slices| sum(slices)).any(|all| over_threshold(&all));
        match self {
            Way::Deviations | Way::SamePart => next_step(progress).map(|step| step.stage),
            Way::Thresholds if progress.stage.under_way() && bad() => Some(Stage::RolledBack),
            Way::Thresholds => {
                // Only when to take a stage, not the verdict.
                let routes = progress.routes.iter();
                let healthy: Vec<Vec<Compared>> =
                    routes.map(|slices| slices.iter().map(as_if_well).collect()).collect();
                next_step(&Progress { routes: &healthy, ..*progress }).map(|step| step.stage)
            }
            Way::AtTheEnd => at_the_end(progress, bad),
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

fn sum(slices: &[Compared]) -> Compared {
    let mut sum = Compared::default();
    slices.iter().for_each(|slice| sum.add(slice));
    sum
}

fn over_threshold(route: &Compared) -> bool {
    const LEAST: u32 = 20;
    const MORE_FAILURES: f64 = 0.05;
    const OCTAVE: usize = 2;
    if route.new.count() < LEAST {
        return false;
    }
    let rate = |failed: u32, of: u32| f64::from(failed) / f64::from(of.max(1));
    let new = rate(route.new.failed, route.new.count());
    let old = rate(route.old.failed, route.old.count());
    let middles = (route.new.latencies.quantile(0.5), route.old.latencies.quantile(0.5));
    let slow = matches!(middles, (Some(new), Some(old)) if new >= old + OCTAVE);
    new > old + MORE_FAILURES || slow
}

fn as_if_well(route: &Compared) -> Compared {
    let mut well = route.clone();
    well.new.failed = 0;
    well.old = well.new.clone();
    well
}
