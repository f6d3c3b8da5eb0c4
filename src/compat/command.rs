//! The encoding of commands: as a variant of the first build if that can express the command, else as one added later.

use serde::{Deserialize, Serialize};

use super::base;
use crate::claims::{Claim, Release};
use crate::directory::Incarnation;
use crate::document::Packed;
use crate::evacuations::{EvacuationOrder, WarmAgain};
use crate::level::Level;
use crate::rollout::{RolloutOrder, RolloutStep};
use crate::store::{Change, Command, Drain, Move, Sight};

/// A command as it is encoded. Released variants are never changed, removed or reordered; new ones go to the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Encoded {
    /// See [`Command::Change`].
    Change(Box<Change>),
    /// See [`Command::Drain`].
    Drain(Drain),
    /// See [`Command::Move`].
    Move(Move),
    /// See [`Command::Claim`].
    Claim(Claim),
    /// See [`Command::Release`].
    Release(Release),
    /// See [`Command::Configure`].
    Configure(Packed),
    /// One target announces a change; without start time.
    Announce {
        /// Its heartbeat.
        announcement: base::Announcement,
        /// Whether it gets a home at once instead of waiting to inherit one.
        at_once: bool,
    },
    /// A target is removed, whichever its current incarnation is.
    Remove(String),
    /// Targets, given by their identities, are unresponsive.
    Silence(Vec<String>),
    /// Targets, given by their identities, have waited long enough to inherit a home, and get one of their own.
    Settle(Vec<String>),
    /// See [`Command::Evacuate`]. This variant and all below need [`Level::INCARNATIONS`].
    Evacuate(EvacuationOrder),
    /// See [`Command::Rollout`].
    Rollout(RolloutOrder),
    /// See [`Command::RolloutStep`].
    RolloutStep(RolloutStep),
    /// See [`Command::WarmAgain`].
    WarmAgain(Vec<WarmAgain>),
    /// See [`Command::Announce`].
    AnnounceStarts(Vec<Sight>),
    /// See [`Command::Remove`].
    RemoveStart(Incarnation),
    /// See [`Command::Silence`].
    SilenceStarts(Vec<Incarnation>),
    /// See [`Command::Settle`].
    SettleStarts(Vec<Incarnation>),
    /// See [`Command::Raise`].
    Raise(Level),
}

impl From<Command> for Encoded {
    fn from(command: Command) -> Self {
        let base = command.level() == Level::BASE;
        match command {
            Command::Change(change) => Encoded::Change(change),
            Command::Drain(drain) => Encoded::Drain(drain),
            Command::Move(step) => Encoded::Move(step),
            Command::Claim(claim) => Encoded::Claim(claim),
            Command::Release(release) => Encoded::Release(release),
            Command::Configure(packed) => Encoded::Configure(packed),
            Command::Announce(announcements) => match <[Sight; 1]>::try_from(announcements) {
                Ok([Sight { announcement, at_once }]) if base => {
                    Encoded::Announce { announcement: announcement.into(), at_once }
                }
                Ok([one]) => Encoded::AnnounceStarts(vec![one]),
                Err(announcements) => Encoded::AnnounceStarts(announcements),
            },
            Command::Remove(target) if base => Encoded::Remove(target.id),
            Command::Remove(target) => Encoded::RemoveStart(target),
            Command::Silence(targets) if base => Encoded::Silence(base::identities(targets)),
            Command::Silence(targets) => Encoded::SilenceStarts(targets),
            Command::Settle(targets) if base => Encoded::Settle(base::identities(targets)),
            Command::Settle(targets) => Encoded::SettleStarts(targets),
            Command::Evacuate(order) => Encoded::Evacuate(order),
            Command::Rollout(order) => Encoded::Rollout(order),
            Command::RolloutStep(step) => Encoded::RolloutStep(step),
            Command::WarmAgain(halls) => Encoded::WarmAgain(halls),
            Command::Raise(level) => Encoded::Raise(level),
        }
    }
}

impl From<Encoded> for Command {
    fn from(encoded: Encoded) -> Self {
        let all = |ids: Vec<String>| ids.into_iter().map(base::incarnation).collect();
        match encoded {
            Encoded::Change(change) => Command::Change(change),
            Encoded::Drain(drain) => Command::Drain(drain),
            Encoded::Move(step) => Command::Move(step),
            Encoded::Claim(claim) => Command::Claim(claim),
            Encoded::Release(release) => Command::Release(release),
            Encoded::Configure(packed) => Command::Configure(packed),
            Encoded::Announce { announcement, at_once } => {
                Command::Announce(vec![Sight { announcement: announcement.into(), at_once }])
            }
            Encoded::Remove(id) => Command::Remove(base::incarnation(id)),
            Encoded::Silence(ids) => Command::Silence(all(ids)),
            Encoded::Settle(ids) => Command::Settle(all(ids)),
            Encoded::Evacuate(order) => Command::Evacuate(order),
            Encoded::Rollout(order) => Command::Rollout(order),
            Encoded::RolloutStep(step) => Command::RolloutStep(step),
            Encoded::WarmAgain(halls) => Command::WarmAgain(halls),
            Encoded::AnnounceStarts(announcements) => Command::Announce(announcements),
            Encoded::RemoveStart(target) => Command::Remove(target),
            Encoded::SilenceStarts(targets) => Command::Silence(targets),
            Encoded::SettleStarts(targets) => Command::Settle(targets),
            Encoded::Raise(level) => Command::Raise(level),
        }
    }
}
