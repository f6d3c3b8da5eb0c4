//! Heartbeats that a cut delayed: their sender has crashed, and another incarnation of it, under another
//! identity or its own, takes requests at the same address.

use latchmount::directory::{
    Announcement, Directory, HeartbeatClass, Incarnation, StartTime, TargetState,
};
use rstest::rstest;

use crate::directory::{first_start, heartbeat};

/// What is known of the old incarnation when its heartbeat arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Old {
    Listed,
    Silent,
    Removed,
    NeverHeard,
}

/// A directory that holds the new incarnation, in a home of its own.
fn directory(old: Old) -> Directory {
    let mut directory = Directory::default();
    if old != Old::NeverHeard {
        directory.announce(1, heartbeat("old", TargetState::Ready, 5));
        directory.assign_homes(2, &[first_start("old")]);
    }
    match old {
        Old::Silent => directory.mark_unresponsive(3, &[first_start("old")]),
        Old::Removed => directory.remove(3, "old", StartTime::default()),
        Old::Listed | Old::NeverHeard => {}
    }
    directory.announce(4, heartbeat("new", TargetState::Ready, 1));
    directory.assign_homes(5, &[first_start("new")]);
    directory
}

/// The new one's state, sequence and home.
fn new_one(directory: &Directory) -> (Announcement, Option<u32>) {
    let all = directory.delta_since(0).expect("targets").changed;
    let new = all.into_iter().find(|listed| listed.announcement.id == "new").expect("listed");
    (new.announcement, new.home)
}

#[rstest]
fn a_delayed_heartbeat_changes_nothing_of_the_new_incarnation(
    #[values(Old::Listed, Old::Silent, Old::Removed, Old::NeverHeard)] old: Old,
    #[values(TargetState::Ready, TargetState::Draining)] state: TargetState,
    #[values(4, 5, 6)] sequence: u64,
    #[values(false, true)] member_restarted: bool,
) {
    let mut directory = directory(old);
    if member_restarted {
        let saved = postcard::to_stdvec(&directory).expect("saved");
        directory = postcard::from_bytes(&saved).expect("restored");
    }
    let before = new_one(&directory);
    assert_eq!((before.0.state, before.1.is_some()), (TargetState::Ready, true));
    directory.announce(6, heartbeat("old", state, sequence));
    assert_eq!(new_one(&directory), before);
    assert_eq!(
        directory.classify(&heartbeat("new", TargetState::Ready, 2)),
        HeartbeatClass::Unchanged
    );
}

#[rstest]
fn a_removed_incarnation_does_not_come_back(
    #[values(TargetState::Ready, TargetState::Draining)] state: TargetState,
) {
    let mut directory = directory(Old::Removed);
    let revision = directory.revision();
    assert_eq!(directory.classify(&heartbeat("old", state, 99)), HeartbeatClass::Stale);
    directory.announce(6, heartbeat("old", state, 99));
    assert!(directory.get("old").is_none());
    assert_eq!(directory.revision(), revision, "gateways are told of nothing");
}

const FIRST: StartTime = StartTime(Some(1_000));
const SECOND: StartTime = StartTime(Some(2_000));

fn of(born: StartTime, state: TargetState, sequence: u64) -> Announcement {
    Announcement { born, ..heartbeat("t", state, sequence) }
}

fn start(born: StartTime) -> Incarnation {
    Incarnation { id: "t".to_owned(), born }
}

/// A target that has been there in its first start, with a home.
fn first_heard(old: Old) -> Directory {
    let mut directory = Directory::default();
    if old != Old::NeverHeard {
        directory.announce(1, of(FIRST, TargetState::Ready, 500));
        directory.assign_homes(2, &[start(FIRST)]);
    }
    match old {
        Old::Silent => directory.mark_unresponsive(3, &[start(FIRST)]),
        Old::Removed => directory.remove(3, "t", FIRST),
        Old::Listed | Old::NeverHeard => {}
    }
    directory
}

/// What gateways know of the target: its start, state and home, and the revision of its last change.
fn known(directory: &Directory) -> (StartTime, TargetState, Option<u32>, u64) {
    let all = directory.delta_since(0).expect("targets").changed;
    let listed = all.into_iter().find(|listed| listed.announcement.id == "t").expect("listed");
    let target = listed.announcement;
    (target.born, target.state, listed.home, directory.revision())
}

#[rstest]
fn nothing_late_of_an_earlier_start_touches_a_later_one(
    #[values(Old::Listed, Old::Silent, Old::Removed, Old::NeverHeard)] old: Old,
    #[values(TargetState::Ready, TargetState::Draining)] state: TargetState,
    #[values(499, 501, 9_999)] sequence: u64,
    #[values(false, true)] member_restarted: bool,
) {
    let mut directory = first_heard(old);
    assert_eq!(directory.classify(&of(SECOND, TargetState::Ready, 1)), HeartbeatClass::Changed);
    directory.announce(4, of(SECOND, TargetState::Ready, 1));
    directory.assign_homes(5, &[start(SECOND)]);
    if member_restarted {
        let saved = postcard::to_stdvec(&directory).expect("saved");
        directory = postcard::from_bytes(&saved).expect("restored");
    }
    let before = known(&directory);
    assert_eq!((before.0, before.1), (SECOND, TargetState::Ready));
    assert_eq!(directory.classify(&of(FIRST, state, sequence)), HeartbeatClass::Stale);
    directory.announce(6, of(FIRST, state, sequence));
    directory.mark_unresponsive(7, &[start(FIRST)]);
    directory.assign_homes(8, &[start(FIRST)]);
    directory.remove(9, "t", FIRST);
    assert_eq!(known(&directory), before);
    assert_eq!(directory.classify(&of(SECOND, TargetState::Ready, 2)), HeartbeatClass::Unchanged);
}

#[rstest]
#[case::later(Old::Listed, SECOND, HeartbeatClass::Changed)]
#[case::equal_and_counts_anew(Old::Listed, FIRST, HeartbeatClass::Stale)]
#[case::equal_after_removal(Old::Removed, FIRST, HeartbeatClass::Stale)]
#[case::earlier_while_the_known_one_is_heard(
    Old::Listed,
    StartTime(Some(500)),
    HeartbeatClass::Stale
)]
#[case::earlier_when_it_is_heard_no_more(
    Old::Silent,
    StartTime(Some(500)),
    HeartbeatClass::Changed
)]
#[case::earlier_after_removal(Old::Removed, StartTime(Some(500)), HeartbeatClass::Changed)]
#[case::missing_where_it_was_said(Old::Silent, StartTime(None), HeartbeatClass::Stale)]
#[case::missing_after_removal(Old::Removed, StartTime(None), HeartbeatClass::Stale)]
#[case::missing_at_first_sight(Old::NeverHeard, StartTime(None), HeartbeatClass::Changed)]
fn which_start_a_first_heartbeat_is_of(
    #[case] old: Old,
    #[case] born: StartTime,
    #[case] expected: HeartbeatClass,
) {
    let directory = first_heard(old);
    assert_eq!(directory.classify(&of(born, TargetState::Ready, 1)), expected);
}

/// A target that said nothing of its start until now, and does.
#[test]
fn a_target_that_begins_to_say_when_it_started_is_a_new_one() {
    let mut directory = Directory::default();
    directory.announce(1, of(StartTime(None), TargetState::Ready, 9));
    assert_eq!(directory.classify(&of(FIRST, TargetState::Ready, 1)), HeartbeatClass::Changed);
}

/// Gateways that follow by differences learn of the new start, at the same address too, with a home of its own.
#[test]
fn gateways_are_told_of_a_new_start_as_of_a_new_target() {
    let mut directory = first_heard(Old::Listed);
    let followed = directory.revision();
    directory.announce(4, of(SECOND, TargetState::Ready, 1));
    let delta = directory.delta_since(followed).expect("news");
    assert_eq!(delta.removed, ["t"]);
    assert_eq!(delta.changed.len(), 1);
    assert_eq!(delta.changed[0].announcement.born, SECOND);
    assert!(delta.moved.is_empty());
    let keys = [FIRST, SECOND].map(|born| of(born, TargetState::Ready, 1).key());
    assert_ne!(keys[0], keys[1], "loads, evidence and keepers are told by start");
}

/// Word that it leaves, from whoever does not say which start it is.
#[test]
fn a_removal_without_a_start_removes_the_one_that_is_there() {
    let mut directory = first_heard(Old::Listed);
    directory.remove(4, "t", StartTime(None));
    assert!(directory.get("t").is_none());
    assert_eq!(directory.classify(&of(FIRST, TargetState::Ready, 9_999)), HeartbeatClass::Stale);
    assert_eq!(directory.classify(&of(SECOND, TargetState::Ready, 1)), HeartbeatClass::Changed);
}
