//! Heartbeats that a cut delayed: their sender has crashed, and another incarnation of it, under another
//! identity, takes requests at the same address.

use latchmount::directory::{Announcement, Directory, Heartbeat, TargetState};
use rstest::rstest;

use crate::directory::heartbeat;

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
        directory.settle(2, &["old".to_owned()]);
    }
    match old {
        Old::Silent => directory.silence(3, &["old".to_owned()]),
        Old::Removed => directory.remove(3, "old"),
        Old::Listed | Old::NeverHeard => {}
    }
    directory.announce(4, heartbeat("new", TargetState::Ready, 1));
    directory.settle(5, &["new".to_owned()]);
    directory
}

/// The new one's state, sequence and home.
fn new_one(directory: &Directory) -> (Announcement, Option<u32>) {
    let all = directory.since(0).expect("targets").changed;
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
    assert_eq!(directory.judge(&heartbeat("new", TargetState::Ready, 2)), Heartbeat::Known);
}

#[rstest]
fn a_removed_incarnation_does_not_come_back(
    #[values(TargetState::Ready, TargetState::Draining)] state: TargetState,
) {
    let mut directory = directory(Old::Removed);
    let revision = directory.revision();
    assert_eq!(directory.judge(&heartbeat("old", state, 99)), Heartbeat::Late);
    directory.announce(6, heartbeat("old", state, 99));
    assert!(directory.get("old").is_none());
    assert_eq!(directory.revision(), revision, "gateways are told of nothing");
}
