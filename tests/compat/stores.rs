//! Stores of both levels, saved and read again.

use latchmount::directory::{HeartbeatClass, TargetState};
use latchmount::level::Level;
use latchmount::store::{Command, Sight, Store};

use crate::samples::{start, store, target};

fn announce(store: &mut Store, index: u64, announcement: latchmount::directory::Announcement) {
    store.apply(index, Command::Announce(vec![Sight { announcement, at_once: true }]));
}

#[test]
fn a_store_of_either_level_is_read_as_it_was_saved() {
    let mut store = store();
    for raised in [false, true] {
        if raised {
            store.apply(20, Command::Raise(Level::INCARNATIONS));
            announce(&mut store, 21, start("t4", 9));
        }
        let saved = postcard::to_stdvec(&store).expect("a store");
        assert_eq!(postcard::from_bytes::<Store>(&saved).expect("a store"), store);
    }
}

#[test]
fn a_store_of_the_base_level_has_the_same_text_form_again() {
    let text = serde_json::to_string(&store()).expect("a store");
    assert_eq!(serde_json::from_str::<Store>(&text).expect("a store"), store());
}

#[test]
fn a_command_of_a_higher_level_never_gets_lost_in_a_snapshot() {
    let mut store = store();
    announce(&mut store, 20, start("t4", 9));
    assert_eq!(store.level(), Level::INCARNATIONS);
    let saved = postcard::to_stdvec(&store).expect("a store");
    assert_eq!(postcard::from_bytes::<Store>(&saved).expect("a store"), store);
}

#[test]
fn a_target_that_tells_its_start_once_the_level_is_raised_stays_the_target_that_it_was() {
    let mut store = Store::default();
    announce(&mut store, 1, target("t1"));
    store.apply(2, Command::Raise(Level::INCARNATIONS));
    announce(&mut store, 3, start("t1", 7));
    let known = store.directory().get("t1").expect("it is there");
    assert_eq!(known.born, start("t1", 7).born);
    assert!(!store.directory().has_ended("t1", target("t1").born), "no start has ended");
}

// Its count of heartbeats begins anew, so the known start is over.
#[test]
fn a_target_that_has_started_again_when_the_level_is_raised_is_another_one() {
    let mut store = Store::default();
    announce(&mut store, 1, target("t1"));
    store.apply(2, Command::Raise(Level::INCARNATIONS));
    announce(&mut store, 3, latchmount::directory::Announcement { sequence: 1, ..start("t1", 7) });
    assert!(store.directory().has_ended("t1", target("t1").born));
}

#[test]
fn a_start_that_was_told_is_told_again_after_the_store_was_saved() {
    let mut store = Store::default();
    announce(&mut store, 1, target("t1"));
    store.apply(2, Command::Raise(Level::INCARNATIONS));
    let saved = postcard::to_stdvec(&store).expect("a store");
    let mut again: Store = postcard::from_bytes(&saved).expect("a store");
    assert_eq!(again.directory().classify(&start("t1", 7)), HeartbeatClass::Changed);
    announce(&mut again, 3, start("t1", 7));
    assert_eq!(again.directory().classify(&start("t1", 7)), HeartbeatClass::Unchanged);
    let known = again.directory().get("t1").expect("it is there");
    assert_eq!(known.state, TargetState::Ready);
}
