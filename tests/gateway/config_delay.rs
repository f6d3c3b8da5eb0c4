//! Upper bound on how late a gateway got a configuration.

use std::time::Duration;

use latchmount::gateway::config_delay::ConfigDelay;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_change_is_late_by_at_most_the_time_since_nothing_newer_was_confirmed() {
    let mut lateness = ConfigDelay::default();
    assert_eq!(lateness.max_delay(ms(50)), None);
    lateness.note_update(ms(100), true, 7, 7);
    lateness.note_update(ms(400), true, 8, 7);
    lateness.note_update(ms(500), true, 8, 7);
    assert_eq!(lateness.newest_version(), 8);
    assert_eq!(lateness.max_delay(ms(600)), Some(ms(500)));
    lateness.note_update(ms(700), true, 8, 8);
    assert_eq!(lateness.max_delay(ms(700)), Some(ms(0)));
}

#[test]
fn a_member_without_a_leader_does_not_confirm_that_nothing_is_newer() {
    let mut lateness = ConfigDelay::default();
    lateness.note_update(ms(100), true, 7, 7);
    lateness.note_update(ms(900), false, 7, 7);
    assert_eq!(lateness.max_delay(ms(1_000)), Some(ms(900)));
}

/// The gateway now follows a member that does not have the newest change yet.
#[test]
fn a_member_that_is_behind_another_does_not_confirm_it_either() {
    let mut lateness = ConfigDelay::default();
    lateness.note_update(ms(100), true, 7, 7);
    lateness.note_update(ms(200), true, 8, 7);
    lateness.note_update(ms(900), true, 7, 7);
    assert_eq!((lateness.newest_version(), lateness.max_delay(ms(1_000))), (8, Some(ms(900))));
}
