//! Targets on shared machines, which report a slowdown: mean time of the work, by how gateways use the reports.
//!
//! With `--nocapture` each case prints its results, which docs/design/new-customers.md lists.

use std::time::Duration;

use latchmount::gateway::balance::{Candidate, Preference, choose};
use latchmount::gateway::slowdown::Slowdown;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::seeds;

/// Fraction of the targets that are slowed down at any moment, and how many times as long work takes there.
const SLOWED: (f64, f64) = (0.15, 2.5);
/// Length of a simulation step.
const STEP: Duration = Duration::from_millis(5);
/// Simulated time.
const SIMULATED: Duration = Duration::from_secs(20);

/// How gateways use a target's reported slowdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Not at all.
    Ignored,
    /// The last report counts until the next one.
    Last,
    /// The last report counts less and less with its age.
    Fades,
}

#[derive(Clone, Copy, Debug)]
struct Scene {
    gateways: usize,
    targets: usize,
    /// Requests a second at each target.
    each: f64,
    /// Mean time after which the slowdown of a target is drawn anew.
    lasts: Duration,
}

/// Returns the mean time of the work as a multiple of the usual one, and the requests at the busiest target as a
/// multiple of their mean.
fn simulate(scene: Scene, way: Way, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut slowdowns: Vec<f64> = vec![1.0; scene.targets];
    let mut known = vec![vec![(Slowdown::default(), 1.0); scene.targets]; scene.gateways];
    let mut requests_at = vec![0_u32; scene.targets];
    let (mut sum, mut count) = (0.0, 0.0);
    let per_step = scene.each * scene.targets as f64 * STEP.as_secs_f64();
    let mut now = Duration::ZERO;
    while now < SIMULATED {
        for target in &mut slowdowns {
            if rng.random_bool(STEP.as_secs_f64() / scene.lasts.as_secs_f64()) {
                *target = if rng.random_bool(SLOWED.0) { SLOWED.1 } else { 1.0 };
            }
        }
        let requests = per_step as u32 + u32::from(rng.random_bool(per_step.fract()));
        for _ in 0..requests {
            let gateway = rng.random_range(0..scene.gateways);
            let candidate = |at: usize| {
                let (decaying, last) = known[gateway][at];
                let slowdown = match way {
                    Way::Ignored => 1.0,
                    Way::Last => last,
                    Way::Fades => decaying.multiple(now),
                };
                let (key, home) = (at as u64, None);
                Candidate {
                    key,
                    home,
                    load: 1.0,
                    slots: 16,
                    slowdown,
                    near: false,
                    last_resort: false,
                }
            };
            let candidates: Vec<Candidate> = (0..scene.targets).map(candidate).collect();
            let preference = Preference { affinity: None, load_bound: 2.0, targets: scene.targets };
            let at = choose(&candidates, preference, &mut rng).expect("candidates");
            let reported = slowdowns[at];
            known[gateway][at].0.note(now, (reported * 100.0) as u32);
            known[gateway][at].1 = reported;
            requests_at[at] += 1;
            sum += reported;
            count += 1.0;
        }
        now += STEP;
    }
    let busiest = f64::from(requests_at.into_iter().max().unwrap_or(0));
    (sum / count, busiest / (count / scene.targets as f64))
}

/// Where a report is still fresh when it is used, slow targets get fewer requests. Elsewhere the reports do not make the
/// mean worse, and nowhere does a target get far more requests than the others.
#[rstest]
#[case::few_gateways_often(Scene { gateways: 8, targets: 18, each: 40.0, lasts: Duration::from_secs(2) })]
#[case::few_gateways(Scene { gateways: 8, targets: 18, each: 12.0, lasts: Duration::from_millis(600) })]
#[case::many_gateways(Scene { gateways: 68, targets: 90, each: 7.5, lasts: Duration::from_millis(600) })]
fn slow_targets_get_fewer_requests_where_reports_are_fresh(#[case] scene: Scene) {
    let seed = seeds::seed();
    let mut means = Vec::new();
    for way in [Way::Ignored, Way::Last, Way::Fades] {
        let (mean, busiest) = simulate(scene, way, seed);
        println!("{scene:?} {way:?}: work takes {mean:.3} times as long, busiest {busiest:.2}");
        assert!(busiest < 1.5, "seed {seed} {way:?}: {busiest}");
        means.push(mean);
    }
    assert!(means[2] <= means[0] + 0.02, "seed {seed}: {means:?}");
    let fresh = scene.each / scene.gateways as f64 * scene.lasts.as_secs_f64() >= 1.0;
    assert!(!fresh || means[2] < means[0] - 0.02, "seed {seed}: {means:?}");
}

#[test]
fn a_slowdown_decays_and_is_limited_to_between_one_and_ten() {
    let mut slowdown = Slowdown::default();
    assert_eq!(slowdown.multiple(Duration::ZERO), 1.0);
    slowdown.note(Duration::from_secs(1), 300);
    assert_eq!(slowdown.multiple(Duration::from_secs(1)), 3.0);
    assert!(slowdown.multiple(Duration::from_secs(2)) < 1.2);
    slowdown.note(Duration::from_secs(3), 0);
    assert_eq!(slowdown.multiple(Duration::from_secs(3)), 1.0);
    slowdown.note(Duration::from_secs(4), u32::MAX);
    assert_eq!(slowdown.multiple(Duration::from_secs(4)), 10.0);
}
