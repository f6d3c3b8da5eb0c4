//! Stores of both levels are read as they were saved, and targets keep their identity when the level is raised.

use latchmount::directory::{HeartbeatClass, TargetState};
use latchmount::level::Level;
use latchmount::store::{Command, Sight, Store};

use crate::samples::{started_target, store, target};

fn announce(store: &mut Store, index: u64, announcement: latchmount::directory::Announcement) {
    store.apply(index, Command::Announce(vec![Sight { announcement, at_once: true }]));
}

#[test]
fn a_store_of_either_level_is_read_as_it_was_saved() {
    let mut store = store();
    for raised in [false, true] {
        if raised {
            store.apply(20, Command::Raise(Level::INCARNATIONS));
            announce(&mut store, 21, started_target("t4", 9));
        }
        let saved = postcard::to_stdvec(&store).expect("a valid store");
        assert_eq!(postcard::from_bytes::<Store>(&saved).expect("a valid store"), store);
    }
}

#[test]
fn a_store_of_the_base_level_has_the_same_text_form_again() {
    let text = serde_json::to_string(&store()).expect("a valid store");
    assert_eq!(serde_json::from_str::<Store>(&text).expect("a valid store"), store());
}

#[test]
fn a_command_of_a_higher_level_never_gets_lost_in_a_snapshot() {
    let mut store = store();
    announce(&mut store, 20, started_target("t4", 9));
    assert_eq!(store.level(), Level::INCARNATIONS);
    let saved = postcard::to_stdvec(&store).expect("a valid store");
    assert_eq!(postcard::from_bytes::<Store>(&saved).expect("a valid store"), store);
}

#[test]
fn a_target_that_reports_its_start_time_once_the_level_is_raised_stays_the_same_incarnation() {
    let mut store = Store::default();
    announce(&mut store, 1, target("t1"));
    store.apply(2, Command::Raise(Level::INCARNATIONS));
    announce(&mut store, 3, started_target("t1", 7));
    let known = store.directory().get("t1").expect("t1 is listed");
    assert_eq!(known.born, started_target("t1", 7).born);
    assert!(!store.directory().has_ended("t1", target("t1").born), "no incarnation has ended");
}

// Its heartbeat sequence starts over, so the incarnation known so far has ended.
#[test]
fn a_target_that_restarted_when_the_level_is_raised_is_another_incarnation() {
    let mut store = Store::default();
    announce(&mut store, 1, target("t1"));
    store.apply(2, Command::Raise(Level::INCARNATIONS));
    announce(
        &mut store,
        3,
        latchmount::directory::Announcement { sequence: 1, ..started_target("t1", 7) },
    );
    assert!(store.directory().has_ended("t1", target("t1").born));
}

#[test]
fn a_restored_store_takes_a_start_time_as_a_change_once() {
    let mut store = Store::default();
    announce(&mut store, 1, target("t1"));
    store.apply(2, Command::Raise(Level::INCARNATIONS));
    let saved = postcard::to_stdvec(&store).expect("a valid store");
    let mut restored: Store = postcard::from_bytes(&saved).expect("a valid store");
    assert_eq!(restored.directory().classify(&started_target("t1", 7)), HeartbeatClass::Changed);
    announce(&mut restored, 3, started_target("t1", 7));
    assert_eq!(restored.directory().classify(&started_target("t1", 7)), HeartbeatClass::Unchanged);
    let known = restored.directory().get("t1").expect("t1 is listed");
    assert_eq!(known.state, TargetState::Ready);
}
