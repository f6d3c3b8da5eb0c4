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
    let (parts, late, seconds) = (false, 0.0, 20);
    Scenario { gateways, targets, killers, parts, rate, trouble, late, seconds }
}

/// The same with prompts, in which the killers are parts.
fn part_scenario(killers: usize, trouble: Trouble) -> Scenario {
    Scenario { parts: true, ..scenario(killers, trouble) }
}

/// The users' limits: sends after five targets have crashed under a part, and sound requests refused.
#[test]
fn a_poison_part_is_hardly_sent_after_five_crashes_whatever_else_crashes() {
    let troubles = [Trouble::None, Trouble::Crash, Trouble::HallLost, Trouble::Flapping];
    for (killers, trouble) in [1, 6].into_iter().flat_map(|n| troubles.map(|t| (n, t))) {
        let totals = simulate(part_scenario(killers, trouble));
        let (late, plays) = (totals.late_sends, killers * SEEDS as usize);
        assert!(late <= 3 * plays, "{killers} parts, {trouble:?}: {late} late sends in {plays}");
        assert!(totals.refused * 100 <= totals.attempts, "{killers}, {trouble:?}: {totals:?}");
    }
}

#[test]
fn crashes_alone_have_under_one_request_with_sound_parts_in_a_thousand_refused() {
    let troubles =
        [Trouble::None, Trouble::Crash, Trouble::HallLost, Trouble::Flapping, Trouble::Rolling];
    for trouble in troubles {
        let totals = simulate(part_scenario(0, trouble));
        assert!(totals.refused * 1_000 < totals.attempts, "{trouble:?} {totals:?}");
    }
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
