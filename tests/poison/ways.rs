//! Bounds on crashes and refusals under the default rule, in virtual time; `cargo bench --bench poison` compares other
//! policies.

use crate::model::{Model, Policy, Scenario, Totals, Trouble};
use crate::seeds;
use latchmount::poison::Rule;

const SEEDS: u64 = 3;

fn simulate(scenario: Scenario) -> Totals {
    let first = seeds::seed();
    let policy = Policy { rule: Rule::default(), isolate_suspects: false };
    let mut sum = Totals::default();
    for seed in first..first + SEEDS {
        sum.add(Model::simulate(scenario, policy, seed));
    }
    sum
}

fn scenario(killers: usize, trouble: Trouble) -> Scenario {
    let (gateways, targets, rate) = (8, 18, 300.0);
    Scenario { gateways, targets, killers, rate, trouble, late: 0.0, seconds: 20 }
}

#[test]
fn one_poison_request_ends_three_targets_and_no_innocent_one_is_refused() {
    let totals = simulate(scenario(1, Trouble::None));
    assert_eq!((totals.crashed, totals.refused), (3 * SEEDS as usize, 0));
    assert_eq!(totals.blocked_after_ms.len(), SEEDS as usize, "every gateway blocks it");
    assert!(totals.blocked_after_ms.iter().all(|ms| *ms <= 500), "{totals:?}");
}

#[test]
fn several_poison_requests_at_once_crash_hardly_more_targets_each() {
    let totals = simulate(scenario(6, Trouble::None));
    assert!(totals.crashed <= 4 * 6 * SEEDS as usize, "{totals:?}");
    assert!(totals.refused * 100 <= totals.attempts, "{totals:?}");
}

#[test]
fn crashes_alone_have_under_one_innocent_request_in_a_thousand_refused() {
    let troubles =
        [Trouble::None, Trouble::Crash, Trouble::HallLost, Trouble::Flapping, Trouble::Rolling];
    for trouble in troubles {
        let totals = simulate(scenario(0, trouble));
        assert!(totals.refused * 1_000 < totals.attempts, "{trouble:?} {totals:?}");
    }
}

#[test]
fn a_poison_request_amid_crashes_is_found_all_the_same() {
    for trouble in [Trouble::Crash, Trouble::HallLost, Trouble::Flapping] {
        let totals = simulate(scenario(1, trouble));
        assert!(totals.crashed <= 4 * SEEDS as usize, "{trouble:?} {totals:?}");
        assert!(totals.refused * 1_000 < totals.attempts, "{trouble:?} {totals:?}");
    }
}
