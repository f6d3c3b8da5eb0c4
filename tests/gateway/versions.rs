//! Which version of a service requests go to while one takes the place of another.

use latchmount::gateway::versions::{VersionGroup, groups, trial_size};
use latchmount::rollout::{RolloutOrder, RolloutStep, RolloutVerdict, Rollouts, Stage};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::seeds;

#[rstest]
#[case(None, false, &[VersionGroup::Any])]
#[case(Some(Stage::Part(50)), false, &[VersionGroup::Trial, VersionGroup::Old])]
#[case(Some(Stage::Part(50)), true, &[VersionGroup::Old])]
#[case(Some(Stage::Part(5)), false, &[VersionGroup::Old])]
#[case(Some(Stage::RolledBack), false, &[VersionGroup::Old])]
#[case(Some(Stage::Shifted), true, &[VersionGroup::New, VersionGroup::Old])]
#[case(Some(Stage::Completed), false, &[VersionGroup::New])]
fn each_stage_has_its_groups(
    #[case] stage: Option<Stage>,
    #[case] again: bool,
    #[case] expected: &[VersionGroup],
) {
    assert_eq!(groups(stage, 0.04, again), expected);
}

/// A request is checked again right before it is sent: its stage may have passed since it chose.
#[rstest]
#[case(Stage::Part(50), true, true)]
#[case(Stage::Shifted, true, true)]
#[case(Stage::Completed, false, true)]
#[case(Stage::RolledBack, true, false)]
fn a_stage_that_is_over_forbids_a_version(
    #[case] stage: Stage,
    #[case] old: bool,
    #[case] new: bool,
) {
    assert_eq!((stage.may_send(false), stage.may_send(true)), (old, new));
    for group in [false, true].into_iter().flat_map(|again| groups(Some(stage), 0.04, again)) {
        let of_new = matches!(group, VersionGroup::Trial | VersionGroup::New);
        // The old version is the last resort of a stage that has it at all.
        assert!(stage.may_send(of_new), "{group:?}");
    }
}

/// However many gateways there are, and whatever each of them gets: the new version has its part of all.
#[rstest]
#[case(8)]
#[case(1_000)]
fn a_fleet_of_any_size_gives_the_new_version_its_part(#[case] gateways: usize) {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let (requests, stage) = (5_000, Stage::Part(50));
    let mut new = 0;
    for _ in 0..requests {
        // Which gateway has the request makes no difference to its lot; most have fewer than ten.
        let _gateway = rng.random_range(0..gateways);
        new += usize::from(groups(Some(stage), rng.random(), false)[0] == VersionGroup::Trial);
    }
    assert!(new as f64 <= 0.1 * f64::from(requests) + 50.0, "seed {seed}: {new}");
    assert!(new > 100, "seed {seed}: {new}");
}

#[test]
fn targets_on_trial_are_as_loaded_as_those_of_the_old_version() {
    assert_eq!(trial_size(0.05, 60, 60), 4);
    assert_eq!(trial_size(0.05, 4, 4), 2);
    assert_eq!(trial_size(0.05, 4, 1), 1);
    assert_eq!(trial_size(0.35, 60, 60), 33);
    assert_eq!(trial_size(1.0, 60, 60), 60);
    assert_eq!(trial_size(0.05, 60, 0), 0);
}

fn order(version: &str, soon: bool) -> RolloutOrder {
    RolloutOrder {
        service: "s".into(),
        version: version.into(),
        lasts_ms: 12_000,
        trial_permille: 50,
        soon,
    }
}

fn step(at: u64, stage: Stage) -> RolloutStep {
    RolloutStep { service: "s".into(), at, stage, elapsed_ms: 100 }
}

#[test]
fn an_equal_order_is_taken_again_and_another_is_refused_while_one_is_under_way() {
    let mut rollouts = Rollouts::default();
    assert_eq!(rollouts.apply_order(5, order("v2", false)), RolloutVerdict::Taken);
    assert_eq!(rollouts.apply_order(6, order("v2", true)), RolloutVerdict::Taken);
    assert_eq!(rollouts.apply_order(7, order("v3", true)), RolloutVerdict::UnderWay);
    assert_eq!(rollouts.get("s").expect("one").at, 5);
    assert_eq!(rollouts.revision(), 5);
}

#[test]
fn a_late_repetition_does_not_start_what_was_rolled_back_but_a_new_order_does() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(5, order("v2", false));
    rollouts.apply_step(6, &step(5, Stage::RolledBack));
    assert_eq!(rollouts.apply_order(7, order("v2", true)), RolloutVerdict::Taken);
    assert_eq!(rollouts.get("s").expect("one").stage, Stage::RolledBack);
    assert_eq!(rollouts.apply_order(8, order("v2", false)), RolloutVerdict::Taken);
    assert_eq!(rollouts.get("s").expect("one").stage, Stage::Part(50));
    // A stage of the roll-out before is void.
    rollouts.apply_step(9, &step(5, Stage::Completed));
    assert_eq!(rollouts.get("s").expect("one").stage, Stage::Part(50));
}

#[test]
fn stages_only_go_forward_and_none_follows_the_end() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(5, order("v2", false));
    rollouts.apply_step(6, &step(5, Stage::Part(125)));
    rollouts.apply_step(7, &step(5, Stage::Part(50)));
    assert_eq!(rollouts.get("s").expect("one").stage, Stage::Part(125));
    rollouts.apply_step(8, &step(5, Stage::Completed));
    rollouts.apply_step(9, &step(5, Stage::RolledBack));
    assert_eq!(rollouts.get("s").expect("one").stage, Stage::Completed);
    assert_eq!(rollouts.revision(), 8);
}
