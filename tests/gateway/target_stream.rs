//! Bounds on what is read from a connection: without a result, and before other tasks have their turn.

use std::task::{Context, Waker};

use latchmount::fair_read::FairRead;
use latchmount::gateway::target_stream::{FruitlessBytes, MAX_FRUITLESS_BYTES};
use proptest::prelude::*;

/// What happens on a connection.
#[derive(Clone, Copy, Debug)]
enum Event {
    Read(usize),
    Result,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![(1..100_000_usize).prop_map(Event::Read), Just(Event::Result)]
}

proptest! {
    #[test]
    fn a_connection_is_given_up_for_what_it_read_since_the_last_result(
        events in prop::collection::vec(event(), 1..40),
    ) {
        let fruitless = FruitlessBytes::default();
        let mut since_result = 0;
        for event in events {
            match event {
                Event::Read(bytes) => {
                    since_result += bytes;
                    let within = since_result <= MAX_FRUITLESS_BYTES;
                    prop_assert_eq!(fruitless.count(bytes).is_ok(), within);
                }
                Event::Result => {
                    since_result = 0;
                    fruitless.reset();
                }
            }
        }
    }
}

#[test]
fn a_connection_that_always_has_data_gives_way_after_a_turn() {
    let context = Context::from_waker(Waker::noop());
    let mut turn = FairRead::default();
    for _ in 0..3 {
        let mut reads = 0;
        while turn.poll_turn(&context).is_ready() {
            turn.note_read(8 * 1024);
            reads += 1;
        }
        assert_eq!(reads, 8, "64 KiB in a turn");
    }
    turn.note_read(60 * 1024);
    turn.note_empty();
    turn.note_read(60 * 1024);
    assert!(turn.poll_turn(&context).is_ready(), "no data was there in between");
}
