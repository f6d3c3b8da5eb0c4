//! Decoding of log files of format 5, which was written before there were feature levels. Variants and
//! fields are in the order of that format.

use serde::Deserialize;

use super::wal::Record;
use super::{Entry, HardState, Index, Members, Payload, Position, Snapshot, StoreId, Term};
use crate::claims::{Claim, Release};
use crate::directory::Incarnation;
use crate::document::Packed;
use crate::evacuations::{EvacuationOrder, WarmAgain};
use crate::rollout::{RolloutOrder, RolloutStep};
use crate::store::{Change, Command, Drain, Move, Sight, StoreFormat5};

#[derive(Deserialize)]
pub(super) enum Format5Record {
    Identity { format: u32, store: StoreId },
    Hard(HardState),
    Truncate(Index),
    Append(Format5Entry),
    Snapshot(Box<Format5Snapshot>),
    Batch(Vec<Format5Record>),
    Commit(Index),
}

#[derive(Deserialize)]
pub(super) struct Format5Entry {
    term: Term,
    index: Index,
    payload: Format5Payload,
}

#[derive(Deserialize)]
enum Format5Payload {
    Noop,
    Members(Members),
    Command(Format5Command),
}

#[derive(Deserialize)]
pub(super) struct Format5Snapshot {
    at: Position,
    members: Members,
    store: StoreFormat5,
}

#[derive(Deserialize)]
enum Format5Command {
    Change(Box<Change>),
    Drain(Drain),
    Move(Move),
    Claim(Claim),
    Release(Release),
    Configure(Packed),
    Announce(Vec<Sight>),
    Remove(Incarnation),
    Silence(Vec<Incarnation>),
    Settle(Vec<Incarnation>),
    Evacuate(EvacuationOrder),
    Rollout(RolloutOrder),
    RolloutStep(RolloutStep),
    WarmAgain(Vec<WarmAgain>),
}

impl From<Format5Record> for Record {
    fn from(record: Format5Record) -> Self {
        match record {
            Format5Record::Identity { format, store } => Record::Identity { format, store },
            Format5Record::Hard(hard) => Record::Hard(hard),
            Format5Record::Truncate(index) => Record::Truncate(index),
            Format5Record::Append(entry) => Record::Append(entry.into()),
            Format5Record::Snapshot(snapshot) => Record::Snapshot(Box::new((*snapshot).into())),
            Format5Record::Batch(records) => {
                Record::Batch(records.into_iter().map(Record::from).collect())
            }
            Format5Record::Commit(index) => Record::Commit(index),
        }
    }
}

impl From<Format5Entry> for Entry {
    fn from(entry: Format5Entry) -> Self {
        let payload = match entry.payload {
            Format5Payload::Noop => Payload::Noop,
            Format5Payload::Members(members) => Payload::Members(members),
            Format5Payload::Command(command) => Payload::Command(command.into()),
        };
        Entry { term: entry.term, index: entry.index, payload }
    }
}

impl From<Format5Snapshot> for Snapshot {
    fn from(snapshot: Format5Snapshot) -> Self {
        Snapshot { at: snapshot.at, members: snapshot.members, store: snapshot.store.0 }
    }
}

impl From<Format5Command> for Command {
    fn from(command: Format5Command) -> Self {
        match command {
            Format5Command::Change(change) => Command::Change(change),
            Format5Command::Drain(drain) => Command::Drain(drain),
            Format5Command::Move(step) => Command::Move(step),
            Format5Command::Claim(claim) => Command::Claim(claim),
            Format5Command::Release(release) => Command::Release(release),
            Format5Command::Configure(packed) => Command::Configure(packed),
            Format5Command::Announce(announcements) => Command::Announce(announcements),
            Format5Command::Remove(target) => Command::Remove(target),
            Format5Command::Silence(targets) => Command::Silence(targets),
            Format5Command::Settle(targets) => Command::Settle(targets),
            Format5Command::Evacuate(order) => Command::Evacuate(order),
            Format5Command::Rollout(order) => Command::Rollout(order),
            Format5Command::RolloutStep(step) => Command::RolloutStep(step),
            Format5Command::WarmAgain(halls) => Command::WarmAgain(halls),
        }
    }
}
