//! Frames of the first build in production, recorded there, and those that this build says.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use latchmount::blob::{Blob, Content};
use latchmount::directory::DirectoryDelta;
use latchmount::group::evidence::{Evidence, Outcomes};
use latchmount::group::heartbeats::HeartbeatOutcome;
use latchmount::group::loads::LoadKey;
use latchmount::group::message::{
    Call, Evacuation, EvacuationsUpdate, FromMember, HallState, Reply, Subscription, ToMember,
    Update,
};
use latchmount::group::prefix_holders::{PrefixHolder, PromptKey};
use latchmount::level::Level;
use latchmount::link::Message;
use latchmount::poison::{CrashReport, Identity, Report, Reporter, Suspect};
use latchmount::rollout::route_mix::{RolloutMix, RouteMix, RouteShare};
use latchmount::rollout::tally::{RouteKey, Side, Subject, Tallies};
use latchmount::rollout::{RolloutState, RolloutsUpdate, Stage};
use latchmount::store::Store;

use crate::samples::{self, base_parcel, delta, parcel, start};

/// Recorded frames by direction and name.
fn recorded(build: &str) -> BTreeMap<(String, String), Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/frames").join(build);
    let text = std::fs::read_to_string(path).expect("recorded frames");
    let frame = |line: &str| {
        let mut words = line.split_whitespace().map(str::to_owned);
        let mut word = || words.next().expect("a direction, a name and bytes");
        ((word(), word()), from_hex(&word()))
    };
    text.lines().map(frame).collect()
}

/// A frame of the first build.
pub fn base(direction: &str, name: &str) -> Vec<u8> {
    recorded("base.txt")[&(direction.to_owned(), name.to_owned())].clone()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn every_frame_of_the_first_build_is_understood() {
    for (name, expected) in samples::to_member() {
        let read = ToMember::from_bytes(&base("to_member", name)).expect(name);
        assert_eq!(format!("{read:?}"), format!("{expected:?}"), "{name}");
    }
    for (name, expected) in samples::from_member() {
        let read = FromMember::from_bytes(&base("from_member", name)).expect(name);
        assert_eq!(format!("{read:?}"), format!("{expected:?}"), "{name}");
    }
    assert_eq!(unpacked(&base_parcel()), delta());
}

// The first build reads a frame to the end of what it knows, and ignores the rest.
#[test]
fn what_the_first_build_could_say_begins_with_its_own_bytes() {
    for (name, message) in samples::to_member() {
        let said = message.to_bytes().expect(name);
        assert!(said.starts_with(&base("to_member", name)), "{name}: {}", to_hex(&said));
    }
    for (name, message) in samples::from_member() {
        let said = message.to_bytes().expect(name);
        assert!(said.starts_with(&base("from_member", name)), "{name}: {}", to_hex(&said));
    }
}

// A frame that differs from its record is one that a landed build may not read: add a part of its own instead.
#[test]
fn no_frame_changes_unseen() {
    let recorded = recorded("levels.txt");
    let mut said: BTreeMap<(String, String), Vec<u8>> = BTreeMap::new();
    for (name, message) in samples::to_member().into_iter().chain(added()) {
        let bytes = message.to_bytes().expect(name);
        said.insert(("to_member".into(), name.into()), bytes);
    }
    for (name, message) in samples::from_member().into_iter().chain(added_from_member()) {
        let bytes = message.to_bytes().expect(name);
        said.insert(("from_member".into(), name.into()), bytes);
    }
    for (name, store) in [("base", samples::store()), ("starts", samples::store_of_starts())] {
        let bytes = postcard::to_stdvec(&store).expect(name);
        said.insert(("store".into(), name.into()), bytes);
    }
    let differ = said.iter().filter(|(name, bytes)| recorded.get(*name) != Some(*bytes));
    let differ: Vec<String> = differ
        .map(|((direction, name), bytes)| format!("{direction} {name} {}", to_hex(bytes)))
        .collect();
    assert!(differ.is_empty(), "not as recorded:\n{}", differ.join("\n"));
    assert_eq!(recorded.len(), said.len(), "frames that are said no more");
}

#[test]
fn every_recorded_frame_of_this_build_is_understood() {
    for ((direction, name), bytes) in recorded("levels.txt") {
        let again = match direction.as_str() {
            "to_member" => ToMember::from_bytes(&bytes).and_then(|message| message.to_bytes()),
            "from_member" => FromMember::from_bytes(&bytes).and_then(|message| message.to_bytes()),
            _ => {
                let store: Store = postcard::from_bytes(&bytes).expect(&name);
                Ok(postcard::to_stdvec(&store).expect(&name))
            }
        };
        assert_eq!(to_hex(&again.expect(&name)), to_hex(&bytes), "{name}");
    }
}

/// A request under which a target ended.
fn report() -> Report {
    let identity = Identity { team: Some("team-a"), host: "h.example", path: "/x", body: b"body" };
    let end = CrashReport { target: 7, by: Reporter::of("gateway-1"), ago_ms: 20 };
    let suspect = Suspect::new(&identity, identity.fingerprint(), "route-a");
    Report { suspect, crashes: vec![end], cleared_ago_ms: Some(3) }
}

fn tallies() -> Tallies {
    let subject = Subject { rollout: 12, route: RouteKey::of("route-a"), side: Side::New };
    let mut tallies = Tallies::default();
    tallies.record_answer(subject, Duration::from_millis(30));
    tallies.record_failure(subject);
    tallies
}

/// Frames that the first build had no word for, or fewer words.
fn added() -> Vec<(&'static str, ToMember)> {
    let announced = vec![start("t1", 7), start("t2", 8)];
    let member = ([10, 0, 0, 1], 7420).into();
    let target = LoadKey::of(1 << 50);
    let keepers = vec![PrefixHolder { prompt: PromptKey::of(1 << 60), target }];
    let evidence = vec![Evidence { target, failed: 1.5, answered: 2.0, reporters: 2 }];
    let outcomes = vec![Outcomes { target, failed: 1, answered: 2 }];
    let subscription = samples::to_member().pop().map(|(_, message)| message);
    let Some(ToMember::Subscribe(subscription)) = subscription else {
        panic!("the last sample is a subscription");
    };
    let subscription = Subscription {
        supported_level: Level::INCARNATIONS,
        evacuations: Some(11),
        rollouts: Some(12),
        status_only: true,
        ..subscription
    };
    vec![
        ("append_starts", samples::append(samples::commands_of_starts())),
        ("announce_starts", ToMember::Call { id: 6, call: Call::Announce(announced) }),
        (
            "member_saw",
            ToMember::MemberLoads {
                from: member,
                loads: Default::default(),
                evidence,
                prefix_holders: keepers.clone(),
                tallies: tallies(),
            },
        ),
        (
            "gateway_saw",
            ToMember::Loads {
                loads: Default::default(),
                outcomes,
                prefix_holders: keepers,
                tallies: tallies(),
            },
        ),
        ("poison", ToMember::Poison(vec![report()])),
        ("member_poison", ToMember::MemberPoison { from: member, reports: vec![report()] }),
        ("obeys", ToMember::EvacuationsInForce(12)),
        ("subscribe_starts", ToMember::Subscribe(subscription)),
    ]
}

fn added_from_member() -> Vec<(&'static str, FromMember)> {
    let taken = Reply::Announced(vec![HeartbeatOutcome::Changed, HeartbeatOutcome::Unchanged]);
    let target = LoadKey::of(1 << 50);
    let hall = |state| HallState { data_hall: "hall-a".into(), since: 11, state };
    let halls = vec![hall(Evacuation::InForce), hall(Evacuation::Withdrawn { for_ms: 5 })];
    let told =
        RolloutState { service: "s".into(), version: "v2".into(), at: 12, stage: Stage::Part(70) };
    let share = RouteShare { route: RouteKey::of("route-a"), share: 0.25 };
    let update = Update {
        fresh: true,
        version: 4,
        gateways: 2,
        evacuations: Some(EvacuationsUpdate { revision: 11, halls }),
        rollouts: Some(RolloutsUpdate { revision: 12, rollouts: vec![told] }),
        evidence: Some(vec![Evidence { target, failed: 1.5, answered: 2.0, reporters: 2 }]),
        prefix_holders: vec![PrefixHolder { prompt: PromptKey::of(1 << 60), target }],
        mixes: vec![RolloutMix { rollout: 12, mix: RouteMix(vec![share]) }],
        poison: vec![report()],
        ..Update::default()
    };
    vec![
        ("reply_taken", FromMember::Reply { id: 6, reply: taken }),
        ("update_starts", FromMember::Update(Box::new(update))),
    ]
}

#[test]
fn a_batch_reaches_a_leader_of_the_first_build_as_its_first_announcement() {
    let batch = Call::Announce(vec![start("t1", 7), start("t2", 8)]);
    let said = ToMember::Call { id: 6, call: batch }.to_bytes().expect("a frame");
    assert!(said.starts_with(&base("to_member", "announce")));
}

#[test]
fn a_list_says_the_same_to_both_builds_and_more_to_this_one() {
    assert_eq!(unpacked(&parcel()), delta());
}

fn unpacked(parcel: &Blob) -> DirectoryDelta {
    match parcel.unpack().expect("a parcel") {
        Content::Targets(packed) => packed.unpack().expect("a list"),
        Content::Document(_) => panic!("a list was packed"),
    }
}

#[test]
fn a_frame_that_is_cut_anywhere_is_refused_or_says_what_the_first_build_says() {
    for (name, message) in samples::to_member() {
        let said = message.to_bytes().expect(name);
        let base = base("to_member", name);
        for len in 0..said.len() {
            let read = ToMember::from_bytes(&said[..len]);
            assert!(read.is_err() || len == base.len(), "{name} cut at byte {len}");
        }
    }
}
