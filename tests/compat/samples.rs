//! Sample messages: those that the first build can express, in the types of this build, and some that it can't.

use std::net::SocketAddr;
use std::time::Duration;

use latchmount::blob::{Blob, Content};
use latchmount::directory::{
    Announcement, Born, DirectoryDelta, Incarnation, Listed, Moved, TargetState, key,
};
use latchmount::document::Document;
use latchmount::evacuations::{EvacuationOrder, WarmAgain};
use latchmount::group::listing::Packer;
use latchmount::group::loads::{LoadKey, Loads, TargetLoad};
use latchmount::group::message::{
    BlobSource, Call, EvacuationsUpdate, FromMember, Reply, Subscription, ToMember, Update,
};
use latchmount::level::Level;
use latchmount::raft::{
    Body, Entry, Envelope, GroupId, Member, Members, Payload, Position, Snapshot, Standing, StoreId,
};
use latchmount::rollout::{RolloutOrder, RolloutStep, RolloutsUpdate, Stage};
use latchmount::store::{Answer, Command, Drain, Sight, Store};

/// A target of the base level, which does not report its start time.
pub fn target(id: &str) -> Announcement {
    Announcement {
        id: id.into(),
        born: Born(None),
        service: "s".into(),
        version: String::new(),
        addr: ([10, 0, 0, 7], 80).into(),
        data_hall: "hall-a".into(),
        slots: 8,
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
        sequence: 3,
    }
}

/// The same target with all fields of the newest level.
pub fn started_target(id: &str, born: u64) -> Announcement {
    let cold_left = Duration::from_millis(200);
    Announcement { born: Born(Some(born)), version: "v2".into(), cold_left, ..target(id) }
}

pub fn incarnation(id: &str) -> Incarnation {
    target(id).incarnation()
}

fn loads() -> Loads {
    [TargetLoad { target: LoadKey::of(1 << 50), requests: 3 }].into_iter().collect()
}

fn member() -> SocketAddr {
    ([10, 0, 0, 1], 7420).into()
}

/// Commands that the first build can read.
pub fn commands() -> Vec<Command> {
    let document = Document { version: 4, bytes: "{}".into() };
    let announce =
        |id, at_once| Command::Announce(vec![Sight { announcement: target(id), at_once }]);
    vec![
        Command::Drain(Drain { name: "host-1".into(), on: true }),
        Command::Configure(document.pack(None).expect("a document")),
        announce("t1", true),
        announce("t2", false),
        Command::Settle(vec![incarnation("t2")]),
        Command::Silence(vec![incarnation("t1")]),
        Command::Remove(incarnation("t2")),
    ]
}

/// Commands beyond the base level, which the first build can't read.
pub fn commands_beyond_base() -> Vec<Command> {
    let new_announcement =
        |id, born| Sight { announcement: started_target(id, born), at_once: born > 7 };
    let incarnation_of = |id, born| started_target(id, born).incarnation();
    let (data_hall, service) = ("hall-a".to_owned(), "s".to_owned());
    let order = RolloutOrder {
        service: service.clone(),
        version: "v2".into(),
        lasts_ms: 60_000,
        trial_permille: 70,
        soon: false,
    };
    let evacuate = |evacuate, after| {
        Command::Evacuate(EvacuationOrder { data_hall: data_hall.clone(), evacuate, after })
    };
    vec![
        Command::Raise(Level::INCARNATIONS),
        Command::Announce(vec![new_announcement("t4", 7), new_announcement("t5", 8)]),
        Command::Settle(vec![incarnation_of("t4", 7)]),
        Command::Silence(vec![incarnation_of("t5", 8)]),
        Command::Remove(incarnation_of("t5", 8)),
        evacuate(true, 0),
        evacuate(false, 8),
        Command::WarmAgain(vec![WarmAgain { data_hall: data_hall.clone(), since: 9 }]),
        Command::Rollout(order),
        Command::RolloutStep(RolloutStep {
            service,
            at: 11,
            stage: Stage::Part(70),
            elapsed_ms: 900,
        }),
    ]
}

/// The store that [`commands_beyond_base`] make of an empty one.
pub fn store_beyond_base() -> Store {
    let mut store = Store::default();
    for (at, command) in commands_beyond_base().into_iter().enumerate() {
        store.apply(3 + at as u64, command);
    }
    store
}

/// A frame with these commands as entries.
pub fn append(commands: Vec<Command>) -> ToMember {
    let prev = Position { term: 5, index: 2 };
    raft(Body::Append { prev, entries: entries_of(commands), commit: 2, round: 8 })
}

pub fn entries() -> Vec<Entry> {
    entries_of(commands())
}

fn entries_of(commands: Vec<Command>) -> Vec<Entry> {
    let entry =
        |(at, command)| Entry { term: 5, index: 3 + at as u64, payload: Payload::Command(command) };
    commands.into_iter().enumerate().map(entry).collect()
}

/// The store that [`commands`] make of an empty one.
pub fn store() -> Store {
    let mut store = Store::default();
    for (command, entry) in commands().into_iter().zip(entries()) {
        store.apply(entry.index, command);
    }
    store
}

fn raft(body: Body) -> ToMember {
    let envelope = Envelope { group: GroupId(9), from: StoreId(1), to: StoreId(2), term: 5, body };
    ToMember::Raft { from: member(), messages: vec![envelope], supported_level: Level::BASE }
}

/// Frames to a member, by name.
pub fn to_member() -> Vec<(&'static str, ToMember)> {
    let members = Members(vec![Member { id: StoreId(1), addr: member(), kind: Standing::Voter }]);
    let at = Position { term: 5, index: 9 };
    let snapshot = Box::new(Snapshot { at, members, store: store() });
    let call = |call| ToMember::Call { id: 6, call };
    let subscription = Subscription {
        gateway: "gateway-1".into(),
        supported_level: Level::BASE,
        version: 4,
        directory: 9,
        evacuations: None,
        rollouts: None,
        data_hall: "hall-a".into(),
        status_only: false,
        serves_blobs_at: Some(member()),
        relays: false,
    };
    let (evidence, outcomes, prefix_holders) = (Vec::new(), Vec::new(), Vec::new());
    let no_tallies = || Default::default();
    vec![
        ("append", append(commands())),
        ("install", raft(Body::Install { snapshot, round: 8 })),
        ("propose", call(Call::Propose(commands().remove(2)))),
        ("read_index", call(Call::ReadIndex)),
        ("announce", call(Call::Announce(vec![target("t1")]))),
        ("heard", call(Call::ReportHeartbeats(vec![key("t1")]))),
        (
            "join",
            call(Call::Join { store: StoreId(3), addr: member(), supported_level: Level::BASE }),
        ),
        ("presence", ToMember::Presence(vec!["gateway-1".into()])),
        (
            "member_loads",
            ToMember::MemberLoads {
                from: member(),
                loads: loads(),
                evidence,
                prefix_holders: prefix_holders.clone(),
                tallies: no_tallies(),
                streams: Vec::new(),
            },
        ),
        (
            "loads",
            ToMember::Loads {
                loads: loads(),
                outcomes,
                prefix_holders,
                tallies: no_tallies(),
                streams: Vec::new(),
            },
        ),
        ("in_force", ToMember::ConfigurationInForce(4)),
        ("has", ToMember::HasBlob(base_blob().id())),
        ("lacks", ToMember::BlobFetchFailed(base_blob().id())),
        ("subscribe", ToMember::Subscribe(subscription)),
    ]
}

/// The blob that the first build made of [`delta`].
pub fn base_blob() -> Blob {
    let bytes = crate::frames::first_build_frame("parcel", "targets");
    Blob::new(bytes.into())
}

pub fn delta() -> DirectoryDelta {
    let t2 = key("t2");
    DirectoryDelta {
        revision: 9,
        whole: false,
        changed: vec![Listed {
            announcement: Announcement { sequence: 0, ..target("t1") },
            home: Some(1),
        }],
        moved: vec![Moved {
            target: t2,
            identity: t2,
            state: TargetState::Silent,
            cold_left: Duration::ZERO,
            home: None,
        }],
        removed: vec!["t3".into()],
    }
}

/// The blob that this build makes of it.
pub fn blob() -> Blob {
    let mut packer = Packer::new().expect("memory");
    Blob::pack(&Content::Targets(packer.pack(delta()).expect("a delta"))).expect("a blob")
}

/// Frames of a member of the first build, by name.
pub fn from_member() -> Vec<(&'static str, FromMember)> {
    let reply = |reply| FromMember::Reply { id: 6, reply };
    let keep_alive = Update {
        fresh: true,
        version: 4,
        gateways: 2,
        evacuations: Some(EvacuationsUpdate::default()),
        rollouts: Some(RolloutsUpdate::default()),
        ..Update::default()
    };
    let update = Update {
        blobs: vec![base_blob().bytes().clone()],
        blob_source: Some(BlobSource { blob: base_blob().id(), addr: member() }),
        members: Some(vec![member()]),
        loads: Some(loads()),
        ..keep_alive.clone()
    };
    vec![
        ("reply_answer", reply(Reply::Answer(Answer::Configured { held: 4 }))),
        ("reply_listed", reply(Reply::Answer(Answer::Listed))),
        ("reply_index", reply(Reply::ReadIndex(9))),
        ("reply_done", reply(Reply::Done)),
        ("reply_not_leader", reply(Reply::NotLeader(Some(member())))),
        ("reply_unknown", reply(Reply::Unknown)),
        ("update", FromMember::Update(Box::new(update))),
        ("update_sign", FromMember::Update(Box::new(keep_alive))),
    ]
}
