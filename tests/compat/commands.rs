//! Encoding of log commands: a command that the first build can express is encoded as that build does.

use std::time::Duration;

use latchmount::directory::{Announcement, Born, Incarnation, TargetState};
use latchmount::evacuations::{EvacuationOrder, WarmAgain};
use latchmount::level::Level;
use latchmount::rollout::{RolloutOrder, RolloutStep, Stage};
use latchmount::store::{Command, Sight};
use proptest::prelude::*;

/// Number of command variants in the encoding of the first build.
const BASE_VARIANTS: u8 = 10;

fn start_time() -> impl Strategy<Value = Born> {
    prop::option::of(0_u64..5).prop_map(Born)
}

fn announcement() -> impl Strategy<Value = Announcement> {
    ("t[0-9]", start_time(), "v?", 0_u64..3, 0_u64..9).prop_map(
        |(id, born, version, cold, sequence)| Announcement {
            id,
            born,
            service: "s".into(),
            version,
            addr: ([10, 0, 0, 7], 80).into(),
            data_hall: "hall-a".into(),
            slots: 8,
            state: TargetState::Ready,
            cold_left: Duration::from_millis(cold),
            sequence,
        },
    )
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    ("t[0-9]", start_time()).prop_map(|(id, born)| Incarnation { id, born })
}

fn command() -> impl Strategy<Value = Command> {
    let new_announcement = (announcement(), any::<bool>())
        .prop_map(|(announcement, at_once)| Sight { announcement, at_once });
    let many = || prop::collection::vec(incarnation(), 0..4);
    let order = ("h", any::<bool>(), any::<u64>()).prop_map(|(data_hall, evacuate, after)| {
        Command::Evacuate(EvacuationOrder { data_hall, evacuate, after })
    });
    let rollout =
        ("s", "v", any::<u64>(), any::<bool>()).prop_map(|(service, version, lasts_ms, soon)| {
            let trial_permille = 70;
            Command::Rollout(RolloutOrder { service, version, lasts_ms, trial_permille, soon })
        });
    let step = ("s", any::<u64>()).prop_map(|(service, at)| {
        Command::RolloutStep(RolloutStep { service, at, stage: Stage::Part(9), elapsed_ms: 1 })
    });
    prop_oneof![
        prop::collection::vec(new_announcement, 0..4).prop_map(Command::Announce),
        incarnation().prop_map(Command::Remove),
        many().prop_map(Command::Silence),
        many().prop_map(Command::Settle),
        order,
        rollout,
        step,
        any::<u64>().prop_map(|since| {
            Command::WarmAgain(vec![WarmAgain { data_hall: "h".into(), since }])
        }),
        Just(Command::Raise(Level::INCARNATIONS)),
    ]
}

proptest! {
    #[test]
    fn a_command_is_read_as_it_was_written(command in command()) {
        let bytes = postcard::to_stdvec(&command).expect("a valid command");
        prop_assert_eq!(postcard::from_bytes::<Command>(&bytes).expect("a valid command"), command);
    }

    #[test]
    fn only_what_the_first_build_can_read_has_the_base_level(command in command()) {
        let bytes = postcard::to_stdvec(&command).expect("a valid command");
        prop_assert_eq!(bytes[0] < BASE_VARIANTS, command.level() == Level::BASE);
    }

    #[test]
    fn an_announcement_limited_to_the_base_level_is_readable_by_the_first_build(
        announcement in announcement(),
    ) {
        let new_announcement = Sight { announcement: announcement.limited_to(Level::BASE), at_once: false };
        prop_assert_eq!(Command::Announce(vec![new_announcement]).level(), Level::BASE);
    }
}
