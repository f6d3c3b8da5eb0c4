//! The way that is kept holds its promises in virtual time; `cargo bench --bench poison` compares it with others.

use crate::model::{Figures, Model, Scene, Trouble, Way};
use crate::seeds;
use latchmount::poison::Rule;

const SEEDS: u64 = 3;

fn play(scene: Scene) -> Figures {
    let first = seeds::seed();
    let way = Way { rule: Rule::default(), apart: false };
    let mut sum = Figures::default();
    for seed in first..first + SEEDS {
        sum.add(Model::play(scene, way, seed));
    }
    sum
}

fn scene(killers: usize, trouble: Trouble) -> Scene {
    let (gateways, targets, rate) = (8, 18, 300.0);
    Scene { gateways, targets, killers, rate, trouble, late: 0.0, seconds: 20 }
}

#[test]
fn one_poison_request_ends_three_targets_and_no_innocent_one_is_refused() {
    let figures = play(scene(1, Trouble::None));
    assert_eq!((figures.ended, figures.refused), (3 * SEEDS as usize, 0));
    assert_eq!(figures.known_after_ms.len(), SEEDS as usize, "every gateway knows");
    assert!(figures.known_after_ms.iter().all(|ms| *ms <= 500), "{figures:?}");
}

#[test]
fn several_at_once_end_hardly_more_each() {
    let figures = play(scene(6, Trouble::None));
    assert!(figures.ended <= 4 * 6 * SEEDS as usize, "{figures:?}");
    assert!(figures.refused * 100 <= figures.tries, "{figures:?}");
}

#[test]
fn crashes_alone_have_under_one_innocent_request_in_a_thousand_refused() {
    let troubles =
        [Trouble::None, Trouble::Crash, Trouble::HallLost, Trouble::Flapping, Trouble::Rolling];
    for trouble in troubles {
        let figures = play(scene(0, trouble));
        assert!(figures.refused * 1_000 < figures.tries, "{trouble:?} {figures:?}");
    }
}

#[test]
fn a_poison_request_amid_crashes_is_found_all_the_same() {
    for trouble in [Trouble::Crash, Trouble::HallLost, Trouble::Flapping] {
        let figures = play(scene(1, trouble));
        assert!(figures.ended <= 4 * SEEDS as usize, "{trouble:?} {figures:?}");
        assert!(figures.refused * 1_000 < figures.tries, "{trouble:?} {figures:?}");
    }
}
