//! Heartbeats delayed by a network partition: the target that sent them has crashed, and a new incarnation, under the
//! same or another identity, serves at the same address. They must not change what the directory has of the new one.

use latchmount::directory::{
    Announcement, Born, Directory, HeartbeatClass, Incarnation, TargetState,
};
use rstest::rstest;

use crate::directory::{first_start, heartbeat};

/// What the directory has of the old incarnation when its heartbeat arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Old {
    Listed,
    Unresponsive,
    Removed,
    NeverListed,
}

/// A directory with the new incarnation, which has a home.
fn directory(old: Old) -> Directory {
    let mut directory = Directory::default();
    if old != Old::NeverListed {
        directory.announce(1, heartbeat("old", TargetState::Ready, 5));
        directory.assign_homes(2, &[first_start("old")]);
    }
    match old {
        Old::Unresponsive => directory.mark_unresponsive(3, &[first_start("old")]),
        Old::Removed => directory.remove(3, "old", Born::default()),
        Old::Listed | Old::NeverListed => {}
    }
    directory.announce(4, heartbeat("new", TargetState::Ready, 1));
    directory.assign_homes(5, &[first_start("new")]);
    directory
}

/// The new incarnation's announcement and home.
fn new_incarnation(directory: &Directory) -> (Announcement, Option<u32>) {
    let all = directory.delta_since(0).expect("targets").changed;
    let new = all.into_iter().find(|listed| listed.announcement.id == "new").expect("listed");
    (new.announcement, new.home)
}

#[rstest]
fn a_delayed_heartbeat_changes_nothing_of_the_new_incarnation(
    #[values(Old::Listed, Old::Unresponsive, Old::Removed, Old::NeverListed)] old: Old,
    #[values(TargetState::Ready, TargetState::Draining)] state: TargetState,
    #[values(4, 5, 6)] sequence: u64,
    #[values(false, true)] member_restarted: bool,
) {
    let mut directory = directory(old);
    if member_restarted {
        let saved = postcard::to_stdvec(&directory).expect("saved");
        directory = postcard::from_bytes(&saved).expect("restored");
    }
    let before = new_incarnation(&directory);
    assert_eq!((before.0.state, before.1.is_some()), (TargetState::Ready, true));
    directory.announce(6, heartbeat("old", state, sequence));
    assert_eq!(new_incarnation(&directory), before);
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
    assert_eq!(directory.revision(), revision, "no change is sent to gateways");
}

const FIRST: Born = Born(Some(1_000));
const SECOND: Born = Born(Some(2_000));

fn announcement(born: Born, state: TargetState, sequence: u64) -> Announcement {
    Announcement { born, ..heartbeat("t", state, sequence) }
}

fn incarnation(born: Born) -> Incarnation {
    Incarnation { id: "t".to_owned(), born }
}

/// A directory with the first incarnation of the target, which has a home.
fn first_listed(old: Old) -> Directory {
    let mut directory = Directory::default();
    if old != Old::NeverListed {
        directory.announce(1, announcement(FIRST, TargetState::Ready, 500));
        directory.assign_homes(2, &[incarnation(FIRST)]);
    }
    match old {
        Old::Unresponsive => directory.mark_unresponsive(3, &[incarnation(FIRST)]),
        Old::Removed => directory.remove(3, "t", FIRST),
        Old::Listed | Old::NeverListed => {}
    }
    directory
}

/// What gateways get of the target: its start time, state and home, and the revision of the directory.
fn known(directory: &Directory) -> (Born, TargetState, Option<u32>, u64) {
    let all = directory.delta_since(0).expect("targets").changed;
    let listed = all.into_iter().find(|listed| listed.announcement.id == "t").expect("listed");
    let target = listed.announcement;
    (target.born, target.state, listed.home, directory.revision())
}

#[rstest]
fn late_messages_of_an_earlier_incarnation_do_not_change_a_later_one(
    #[values(Old::Listed, Old::Unresponsive, Old::Removed, Old::NeverListed)] old: Old,
    #[values(TargetState::Ready, TargetState::Draining)] state: TargetState,
    #[values(499, 501, 9_999)] sequence: u64,
    #[values(false, true)] member_restarted: bool,
) {
    let mut directory = first_listed(old);
    assert_eq!(
        directory.classify(&announcement(SECOND, TargetState::Ready, 1)),
        HeartbeatClass::Changed
    );
    directory.announce(4, announcement(SECOND, TargetState::Ready, 1));
    directory.assign_homes(5, &[incarnation(SECOND)]);
    if member_restarted {
        let saved = postcard::to_stdvec(&directory).expect("saved");
        directory = postcard::from_bytes(&saved).expect("restored");
    }
    let before = known(&directory);
    assert_eq!((before.0, before.1), (SECOND, TargetState::Ready));
    assert_eq!(directory.classify(&announcement(FIRST, state, sequence)), HeartbeatClass::Stale);
    directory.announce(6, announcement(FIRST, state, sequence));
    directory.mark_unresponsive(7, &[incarnation(FIRST)]);
    directory.assign_homes(8, &[incarnation(FIRST)]);
    directory.remove(9, "t", FIRST);
    assert_eq!(known(&directory), before);
    assert_eq!(
        directory.classify(&announcement(SECOND, TargetState::Ready, 2)),
        HeartbeatClass::Unchanged
    );
}

/// Class of the first heartbeat with a start time, by what the directory has of the incarnation started at `FIRST`.
#[rstest]
#[case::later(Old::Listed, SECOND, HeartbeatClass::Changed)]
#[case::equal_and_counts_anew(Old::Listed, FIRST, HeartbeatClass::Stale)]
#[case::equal_after_removal(Old::Removed, FIRST, HeartbeatClass::Stale)]
#[case::earlier_while_the_known_one_is_heard(Old::Listed, Born(Some(500)), HeartbeatClass::Stale)]
#[case::earlier_when_it_is_heard_no_more(
    Old::Unresponsive,
    Born(Some(500)),
    HeartbeatClass::Changed
)]
#[case::earlier_after_removal(Old::Removed, Born(Some(500)), HeartbeatClass::Changed)]
#[case::missing_where_it_was_said(Old::Unresponsive, Born(None), HeartbeatClass::Stale)]
#[case::missing_after_removal(Old::Removed, Born(None), HeartbeatClass::Stale)]
#[case::missing_at_first_sight(Old::NeverListed, Born(None), HeartbeatClass::Changed)]
fn which_start_a_first_heartbeat_is_of(
    #[case] old: Old,
    #[case] born: Born,
    #[case] expected: HeartbeatClass,
) {
    let directory = first_listed(old);
    assert_eq!(directory.classify(&announcement(born, TargetState::Ready, 1)), expected);
}

/// The target was listed without a start time and now reports one.
#[test]
fn a_target_that_begins_to_report_its_start_time_is_a_new_incarnation() {
    let mut directory = Directory::default();
    directory.announce(1, announcement(Born(None), TargetState::Ready, 9));
    assert_eq!(
        directory.classify(&announcement(FIRST, TargetState::Ready, 1)),
        HeartbeatClass::Changed
    );
}

/// A delta removes the old incarnation and adds the new one, even at the same address.
#[test]
fn gateways_receive_a_new_incarnation_as_a_new_target() {
    let mut directory = first_listed(Old::Listed);
    let followed = directory.revision();
    directory.announce(4, announcement(SECOND, TargetState::Ready, 1));
    let delta = directory.delta_since(followed).expect("a change");
    assert_eq!(delta.removed, ["t"]);
    assert_eq!(delta.changed.len(), 1);
    assert_eq!(delta.changed[0].announcement.born, SECOND);
    assert!(delta.moved.is_empty());
    let keys = [FIRST, SECOND].map(|born| announcement(born, TargetState::Ready, 1).key());
    assert_ne!(keys[0], keys[1], "loads, evidence and prefix holders are kept by incarnation");
}

/// A removal request may name the target without a start time.
#[test]
fn a_removal_without_a_start_time_removes_the_listed_incarnation() {
    let mut directory = first_listed(Old::Listed);
    directory.remove(4, "t", Born(None));
    assert!(directory.get("t").is_none());
    assert_eq!(
        directory.classify(&announcement(FIRST, TargetState::Ready, 9_999)),
        HeartbeatClass::Stale
    );
    assert_eq!(
        directory.classify(&announcement(SECOND, TargetState::Ready, 1)),
        HeartbeatClass::Changed
    );
}
