//! Compares the frames that this build encodes with recorded ones: `base.txt` has frames recorded in production from the first
//! build, `levels.txt` those of this build.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use latchmount::blob::{Blob, Content};
use latchmount::directory::DirectoryDelta;
use latchmount::group::brittle::{BrittleService, ServiceKey};
use latchmount::group::evidence::{Evidence, Outcomes};
use latchmount::group::heartbeats::HeartbeatOutcome;
use latchmount::group::loads::LoadKey;
use latchmount::group::message::{
    Call, Evacuation, EvacuationsUpdate, FromMember, HallState, Reply, Subscription, ToMember,
    Update,
};
use latchmount::group::prefix_holders::{PrefixHolder, PromptKey};
use latchmount::group::relay_peers::RelayPeer;
use latchmount::group::restarts::SuspectedRestart;
use latchmount::group::stream_origins::{StreamKey, StreamOrigin, VersionKey};
use latchmount::level::Level;
use latchmount::link::Message;
use latchmount::poison::{CrashReport, Identity, Report, Reporter, Suspect};
use latchmount::rollout::route_mix::{RolloutMix, RouteMix, RouteShare};
use latchmount::rollout::tally::{RouteKey, Side, Subject, Tallies};
use latchmount::rollout::{RolloutState, RolloutsUpdate, Stage};
use latchmount::store::Store;

use crate::samples::{self, base_blob, blob, delta, started_target};

/// Recorded frames by direction and name, from one file.
fn recorded(build: &str) -> BTreeMap<(String, String), Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/frames").join(build);
    let text = std::fs::read_to_string(path).expect("recorded frames");
    let frame = |line: &str| {
        let mut fields = line.split_whitespace().map(str::to_owned);
        let mut field = || fields.next().expect("a direction, a name and bytes");
        ((field(), field()), from_hex(&field()))
    };
    text.lines().map(frame).collect()
}

/// A recorded frame of the first build.
pub fn first_build_frame(direction: &str, name: &str) -> Vec<u8> {
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
        let read = ToMember::from_bytes(&first_build_frame("to_member", name)).expect(name);
        assert_eq!(format!("{read:?}"), format!("{expected:?}"), "{name}");
    }
    for (name, expected) in samples::from_member() {
        let read = FromMember::from_bytes(&first_build_frame("from_member", name)).expect(name);
        assert_eq!(format!("{read:?}"), format!("{expected:?}"), "{name}");
    }
    assert_eq!(unpacked(&base_blob()), delta());
}

// The first build reads a frame up to the last field that it knows, and ignores the rest.
#[test]
fn what_the_first_build_can_express_begins_with_its_bytes() {
    for (name, message) in samples::to_member() {
        let encoded = message.to_bytes().expect(name);
        assert!(
            encoded.starts_with(&first_build_frame("to_member", name)),
            "{name}: {}",
            to_hex(&encoded)
        );
    }
    for (name, message) in samples::from_member() {
        let encoded = message.to_bytes().expect(name);
        assert!(
            encoded.starts_with(&first_build_frame("from_member", name)),
            "{name}: {}",
            to_hex(&encoded)
        );
    }
}

// A build in production may not be able to read a frame that differs from its record: add a new part to the message instead.
#[test]
fn no_frame_changes_unseen() {
    let recorded = recorded("levels.txt");
    let mut encoded: BTreeMap<(String, String), Vec<u8>> = BTreeMap::new();
    for (name, message) in samples::to_member().into_iter().chain(added()) {
        let bytes = message.to_bytes().expect(name);
        encoded.insert(("to_member".into(), name.into()), bytes);
    }
    for (name, message) in samples::from_member().into_iter().chain(added_from_member()) {
        let bytes = message.to_bytes().expect(name);
        encoded.insert(("from_member".into(), name.into()), bytes);
    }
    for (name, store) in [("base", samples::store()), ("starts", samples::store_beyond_base())] {
        let bytes = postcard::to_stdvec(&store).expect(name);
        encoded.insert(("store".into(), name.into()), bytes);
    }
    let differ = encoded.iter().filter(|(name, bytes)| recorded.get(*name) != Some(*bytes));
    let differ: Vec<String> = differ
        .map(|((direction, name), bytes)| format!("{direction} {name} {}", to_hex(bytes)))
        .collect();
    assert!(differ.is_empty(), "not as recorded:\n{}", differ.join("\n"));
    assert_eq!(recorded.len(), encoded.len(), "recorded frames that this build no longer encodes");
}

// An earlier build reads a frame up to the parts that it knows. Suspected restarts must look to it like an empty message or
// like an update without them.
#[test]
fn suspected_restarts_are_behind_messages_that_earlier_builds_ignore() {
    let recorded = recorded("levels.txt");
    let frame = |direction: &str, name: &str| &recorded[&(direction.to_owned(), name.to_owned())];
    for (restarts, ignored) in [
        ("restarts", ["poison", "brittle"]),
        ("member_restarts", ["member_poison", "member_brittle"]),
    ] {
        let [one, other] = ignored.map(|name| frame("to_member", name));
        let shared = one.iter().zip(other).take_while(|(one, other)| one == other).count();
        assert!(frame("to_member", restarts).starts_with(&one[..shared]), "{restarts}");
    }
    let without = frame("from_member", "update_starts");
    assert!(frame("from_member", "update_restarts").starts_with(without));
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

/// A report of a request on which a target crashed.
fn report() -> Report {
    let identity = Identity { team: Some("team-a"), host: "h.example", path: "/x", body: b"body" };
    let crash = CrashReport { target: 7, by: Reporter::of("gateway-1"), ago_ms: 20 };
    let suspect = Suspect::new(&identity, identity.fingerprint(), "route-a");
    Report { suspect, crashes: vec![crash], cleared_ago_ms: Some(3) }
}

/// The origin of a stream.
fn stream() -> StreamOrigin {
    let version = VersionKey::of("s", "v2");
    StreamOrigin { stream: StreamKey::of(Some("team-a"), b"r-1"), version, left_s: 9 }
}

fn tallies() -> Tallies {
    let subject = Subject { rollout: 12, route: RouteKey::of("route-a"), side: Side::New };
    let mut tallies = Tallies::default();
    tallies.record_answer(subject, Duration::from_millis(30));
    tallies.record_failure(subject);
    tallies
}

/// Frames to a member that the first build does not have, or has with fewer fields.
fn added() -> Vec<(&'static str, ToMember)> {
    let announced = vec![started_target("t1", 7), started_target("t2", 8)];
    let member = ([10, 0, 0, 1], 7420).into();
    let target = LoadKey::of(1 << 50);
    let prefix_holders = vec![PrefixHolder { prompt: PromptKey::of(1 << 60), target }];
    let evidence = vec![Evidence { target, failed: 1.5, answered: 2.0, reporters: 2 }];
    let outcomes = vec![Outcomes { target, failed: 1, answered: 2 }];
    let subscription = samples::to_member().pop().map(|(_, message)| message);
    let Some(ToMember::Subscribe(subscription)) = subscription else {
        panic!("the last sample is a subscription");
    };
    let relay_peers = vec![RelayPeer { addr: member, data_hall: "hall-a".into() }];
    let subscription = Subscription {
        supported_level: Level::INCARNATIONS,
        evacuations: Some(11),
        rollouts: Some(12),
        status_only: true,
        ..subscription
    };
    let relaying = Subscription { relays: true, ..subscription.clone() };
    vec![
        ("append_starts", samples::append(samples::commands_beyond_base())),
        ("announce_starts", ToMember::Call { id: 6, call: Call::Announce(announced) }),
        (
            "member_saw",
            ToMember::MemberLoads {
                from: member,
                loads: Default::default(),
                evidence,
                prefix_holders: prefix_holders.clone(),
                tallies: tallies(),
                streams: Vec::new(),
            },
        ),
        (
            "gateway_saw",
            ToMember::Loads {
                loads: Default::default(),
                outcomes,
                prefix_holders,
                tallies: tallies(),
                streams: Vec::new(),
            },
        ),
        ("poison", ToMember::Poison(vec![report()])),
        ("member_poison", ToMember::MemberPoison { from: member, reports: vec![report()] }),
        ("obeys", ToMember::EvacuationsInForce(12)),
        ("subscribe_starts", ToMember::Subscribe(subscription)),
        ("subscribe_relays", ToMember::Subscribe(relaying)),
        ("relay_peers", ToMember::MemberRelayPeers { from: member, peers: relay_peers }),
        (
            "member_streams",
            ToMember::MemberLoads {
                from: member,
                loads: Default::default(),
                evidence: Vec::new(),
                prefix_holders: Vec::new(),
                tallies: Tallies::default(),
                streams: vec![stream()],
            },
        ),
        (
            "gateway_streams",
            ToMember::Loads {
                loads: Default::default(),
                outcomes: Vec::new(),
                prefix_holders: Vec::new(),
                tallies: Tallies::default(),
                streams: vec![stream()],
            },
        ),
        ("find_streams", ToMember::FindStreams(vec![stream().stream])),
        ("streams", ToMember::Streams(vec![stream()])),
        ("brittle", ToMember::Brittle(vec![brittle()])),
        ("member_brittle", ToMember::MemberBrittle { from: member, services: vec![brittle()] }),
        ("restarts", ToMember::SuspectedRestarts(vec![restart()])),
        (
            "member_restarts",
            ToMember::MemberSuspectedRestarts { from: member, restarts: vec![restart()] },
        ),
    ]
}

/// The same for frames from a member.
fn added_from_member() -> Vec<(&'static str, FromMember)> {
    let outcomes = Reply::Announced(vec![HeartbeatOutcome::Changed, HeartbeatOutcome::Unchanged]);
    let target = LoadKey::of(1 << 50);
    let hall = |state| HallState { data_hall: "hall-a".into(), since: 11, state };
    let halls = vec![hall(Evacuation::InForce), hall(Evacuation::Withdrawn { for_ms: 5 })];
    let rollout_state =
        RolloutState { service: "s".into(), version: "v2".into(), at: 12, stage: Stage::Part(70) };
    let share = RouteShare { route: RouteKey::of("route-a"), share: 0.25 };
    let update = Update {
        fresh: true,
        version: 4,
        gateways: 2,
        evacuations: Some(EvacuationsUpdate { revision: 11, halls }),
        rollouts: Some(RolloutsUpdate { revision: 12, rollouts: vec![rollout_state] }),
        evidence: Some(vec![Evidence { target, failed: 1.5, answered: 2.0, reporters: 2 }]),
        prefix_holders: vec![PrefixHolder { prompt: PromptKey::of(1 << 60), target }],
        mixes: vec![RolloutMix { rollout: 12, mix: RouteMix(vec![share]) }],
        poison: vec![report()],
        ..Update::default()
    };
    let peer = RelayPeer { addr: ([10, 0, 0, 9], 7420).into(), data_hall: "hall-a".into() };
    let with_streams = Update { streams: vec![stream()], ..update.clone() };
    let dispatchers = vec![([10, 0, 0, 9], 7420).into(), ([10, 0, 1, 9], 7420).into()];
    let with_brittle =
        Update { brittle: Some(vec![brittle()]), dispatchers: Some(dispatchers), ..update.clone() };
    let with_restarts = Update { restarts: vec![restart()], ..update.clone() };
    let with_relay_peers = Update { relay_peers: Some(vec![peer]), ..update.clone() };
    vec![
        ("reply_taken", FromMember::Reply { id: 6, reply: outcomes }),
        ("update_starts", FromMember::Update(Box::new(update.clone()))),
        ("update_relay_peers", FromMember::Update(Box::new(with_relay_peers))),
        ("update_streams", FromMember::Update(Box::new(with_streams))),
        ("update_brittle", FromMember::Update(Box::new(with_brittle))),
        ("update_restarts", FromMember::Update(Box::new(with_restarts))),
    ]
}

fn restart() -> SuspectedRestart {
    SuspectedRestart { target: 1 << 50, age_ms: 300 }
}

fn brittle() -> BrittleService {
    BrittleService { service: ServiceKey::of("s"), withstands: 10 }
}

#[test]
fn a_batch_reaches_a_leader_of_the_first_build_as_its_first_announcement() {
    let batch = Call::Announce(vec![started_target("t1", 7), started_target("t2", 8)]);
    let encoded = ToMember::Call { id: 6, call: batch }.to_bytes().expect("a frame");
    assert!(encoded.starts_with(&first_build_frame("to_member", "announce")));
}

#[test]
fn a_packed_list_unpacks_to_the_same_delta() {
    assert_eq!(unpacked(&blob()), delta());
}

fn unpacked(blob: &Blob) -> DirectoryDelta {
    match blob.unpack().expect("a blob") {
        Content::Targets(packed) => packed.unpack().expect("a list"),
        Content::Document(_) => panic!("the blob holds a document instead of a list"),
    }
}

#[test]
fn a_truncated_frame_is_refused_or_ends_where_one_of_the_first_build_ends() {
    for (name, message) in samples::to_member() {
        let encoded = message.to_bytes().expect(name);
        let base = first_build_frame("to_member", name);
        for len in 0..encoded.len() {
            let read = ToMember::from_bytes(&encoded[..len]);
            assert!(read.is_err() || len == base.len(), "{name} cut at byte {len}");
        }
    }
}
