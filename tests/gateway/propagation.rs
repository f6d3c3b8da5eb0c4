//! How long gateways wait for configurations, as measured by their member.

use std::time::Duration;

use latchmount::group::propagation::{Propagated, Propagation, Slowest};
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_wait_counts_from_when_the_member_had_the_change_and_not_from_when_it_was_sent() {
    let mut propagation = Propagation::default();
    propagation.add_version(ms(0), 1);
    let first = propagation.connect(ms(10), "first", 1);
    let second = propagation.connect(ms(10), "second", 1);
    propagation.add_version(ms(100), 2);
    assert_eq!(propagation.set_in_force(ms(140), first, 2), Some(ms(40)));
    assert_eq!(propagation.take_propagated(), []);
    assert_eq!(propagation.set_in_force(ms(900), second, 2), Some(ms(800)));
    let slowest = Some(Slowest { gateway: "second".to_owned(), waited: ms(800) });
    assert_eq!(propagation.take_propagated(), [Propagated { version: 2, reached: 2, slowest }]);
}

#[test]
fn a_gateway_that_skips_versions_has_waited_for_the_oldest() {
    let mut propagation = Propagation::default();
    let gateway = propagation.connect(ms(0), "gateway", 1);
    propagation.add_version(ms(100), 2);
    propagation.add_version(ms(300), 3);
    assert_eq!(propagation.set_in_force(ms(400), gateway, 3), Some(ms(300)));
    let versions: Vec<u64> = propagation.take_propagated().iter().map(|all| all.version).collect();
    assert_eq!(versions, [2, 3]);
}

#[test]
fn a_first_configuration_does_not_count_as_a_wait() {
    let mut propagation = Propagation::default();
    propagation.add_version(ms(0), 1);
    let gateway = propagation.connect(ms(500), "gateway", 0);
    assert_eq!(propagation.set_in_force(ms(520), gateway, 1), None);
    let propagated = Propagated { version: 1, reached: 1, slowest: None };
    assert_eq!(propagation.take_propagated(), [propagated]);
}

#[test]
fn a_disconnected_gateway_is_no_longer_waited_for() {
    let mut propagation = Propagation::default();
    let stays = propagation.connect(ms(0), "stays", 1);
    let disconnects = propagation.connect(ms(0), "disconnects", 1);
    propagation.add_version(ms(100), 2);
    propagation.set_in_force(ms(150), stays, 2);
    propagation.disconnect(disconnects);
    assert_eq!(propagation.connections(), 1);
    assert_eq!(propagation.take_propagated().len(), 1);
}

proptest! {
    /// Each version is reported once, in order, and never before all gateways have it.
    #[test]
    fn versions_are_reported_once_all_gateways_have_them(steps in prop::collection::vec((0..4_usize, 0..3_u64), 1..200)) {
        let mut propagation = Propagation::default();
        let gateways: Vec<_> =
            (0..4).map(|at| propagation.connect(ms(0), &at.to_string(), 1)).collect();
        let (mut has, mut newest, mut reported) = ([1_u64; 4], 1, 1);
        for (at, (gateway, skip)) in steps.into_iter().enumerate() {
            let now = ms(at as u64);
            if skip == 0 {
                newest += 1;
                propagation.add_version(now, newest);
            } else if has[gateway] < newest {
                has[gateway] = newest.min(has[gateway] + skip);
                propagation.set_in_force(now, gateways[gateway], has[gateway]);
            }
            for propagated in propagation.take_propagated() {
                prop_assert!(propagated.version > reported);
                prop_assert!(has.iter().all(|has| *has >= propagated.version));
                reported = propagated.version;
            }
        }
    }
}
