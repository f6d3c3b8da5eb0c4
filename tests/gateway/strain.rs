//! Targets whose machines are shared: how long work takes at those that get it, by what gateways make of the word.
//!
//! With `--nocapture` each case prints what it saw, as docs/design/new-customers.md has it.

use std::time::Duration;

use latchmount::gateway::balance::{Candidate, Preference, choose};
use latchmount::gateway::slowdown::Slowdown;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::seeds;

/// Part of the targets that are strained at any moment, and how long work takes there.
const STRAINED: (f64, f64) = (0.15, 2.5);
/// Length of a step.
const STEP: Duration = Duration::from_millis(5);
/// Time that is played.
const PLAYED: Duration = Duration::from_secs(20);

/// What gateways make of a target's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Nothing.
    Ignored,
    /// The last word holds until the next.
    Last,
    /// The last word counts less and less.
    Fades,
}

#[derive(Clone, Copy, Debug)]
struct Scene {
    gateways: usize,
    targets: usize,
    /// Requests a second at each target.
    each: f64,
    /// Time after which a machine's strain is drawn anew.
    lasts: Duration,
}

/// Mean multiple of the usual time that work took, and requests at the busiest target beside the mean.
fn play(scene: Scene, way: Way, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut strain: Vec<f64> = vec![1.0; scene.targets];
    let mut known = vec![vec![(Slowdown::default(), 1.0); scene.targets]; scene.gateways];
    let mut asked = vec![0_u32; scene.targets];
    let (mut sum, mut count) = (0.0, 0.0);
    let a_step = scene.each * scene.targets as f64 * STEP.as_secs_f64();
    let mut now = Duration::ZERO;
    while now < PLAYED {
        for target in &mut strain {
            if rng.random_bool(STEP.as_secs_f64() / scene.lasts.as_secs_f64()) {
                *target = if rng.random_bool(STRAINED.0) { STRAINED.1 } else { 1.0 };
            }
        }
        let requests = a_step as u32 + u32::from(rng.random_bool(a_step.fract()));
        for _ in 0..requests {
            let gateway = rng.random_range(0..scene.gateways);
            let candidate = |at: usize| {
                let (fades, last) = known[gateway][at];
                let strain = match way {
                    Way::Ignored => 1.0,
                    Way::Last => last,
                    Way::Fades => fades.multiple(now),
                };
                let (key, home) = (at as u64, None);
                Candidate {
                    key,
                    home,
                    load: 1.0,
                    slots: 16,
                    slowdown: strain,
                    near: false,
                    last_resort: false,
                }
            };
            let candidates: Vec<Candidate> = (0..scene.targets).map(candidate).collect();
            let preference = Preference { affinity: None, load_bound: 2.0, targets: scene.targets };
            let at = choose(&candidates, preference, &mut rng).expect("candidates");
            let told = strain[at];
            known[gateway][at].0.note(now, (told * 100.0) as u32);
            known[gateway][at].1 = told;
            asked[at] += 1;
            sum += told;
            count += 1.0;
        }
        now += STEP;
    }
    let busiest = f64::from(asked.into_iter().max().unwrap_or(0));
    (sum / count, busiest / (count / scene.targets as f64))
}

/// Wherever a word is fresh when it is used, strained targets get less; nowhere does it make things worse, nor does
/// any target get much more than the others.
#[rstest]
#[case::few_gateways_often(Scene { gateways: 8, targets: 18, each: 40.0, lasts: Duration::from_secs(2) })]
#[case::few_gateways(Scene { gateways: 8, targets: 18, each: 12.0, lasts: Duration::from_millis(600) })]
#[case::many_gateways(Scene { gateways: 68, targets: 90, each: 7.5, lasts: Duration::from_millis(600) })]
fn strained_targets_get_less_where_the_word_is_fresh(#[case] scene: Scene) {
    let seed = seeds::seed();
    let mut means = Vec::new();
    for way in [Way::Ignored, Way::Last, Way::Fades] {
        let (mean, busiest) = play(scene, way, seed);
        println!("{scene:?} {way:?}: work takes {mean:.3} times as long, busiest {busiest:.2}");
        assert!(busiest < 1.5, "seed {seed} {way:?}: {busiest}");
        means.push(mean);
    }
    assert!(means[2] <= means[0] + 0.02, "seed {seed}: {means:?}");
    let fresh = scene.each / scene.gateways as f64 * scene.lasts.as_secs_f64() >= 1.0;
    assert!(!fresh || means[2] < means[0] - 0.02, "seed {seed}: {means:?}");
}

#[test]
fn a_word_fades_and_what_is_no_strain_counts_as_usual() {
    let mut strain = Slowdown::default();
    assert_eq!(strain.multiple(Duration::ZERO), 1.0);
    strain.note(Duration::from_secs(1), 300);
    assert_eq!(strain.multiple(Duration::from_secs(1)), 3.0);
    assert!(strain.multiple(Duration::from_secs(2)) < 1.2);
    strain.note(Duration::from_secs(3), 0);
    assert_eq!(strain.multiple(Duration::from_secs(3)), 1.0);
    strain.note(Duration::from_secs(4), u32::MAX);
    assert_eq!(strain.multiple(Duration::from_secs(4)), 10.0);
}
