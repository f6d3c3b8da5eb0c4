//! A target in the directory, and the types in which targets and changes of them are sent.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::level::Level;
use crate::store::Revision;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It takes new requests.
    Ready,
    /// It completes its requests in flight and then shuts down.
    Draining,
    /// It is unresponsive: no heartbeat has arrived within the timeout.
    Silent,
}

/// Content of a target's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity of the target. It may keep it when it restarts.
    pub id: String,
    /// When it started, by its own clock: distinguishes the incarnations of the target.
    pub born: Born,
    /// Service that it belongs to.
    pub service: String,
    /// Version of its software; empty if it does not send one.
    pub version: String,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Data hall in which it runs.
    pub data_hall: String,
    /// Number of requests that it processes at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// Remaining time for which it is cold, that is slow after its start; zero once it is warm.
    pub cold_left: Duration,
    /// Grows with each heartbeat of this incarnation.
    pub sequence: u64,
}

impl Announcement {
    /// Hash that identifies this incarnation of the target.
    pub fn key(&self) -> u64 {
        incarnation_key(&self.id, self.born)
    }

    /// Drops what a group of this level must not store.
    pub fn limited_to(self, level: Level) -> Self {
        if level >= Level::INCARNATIONS {
            return self;
        }
        Announcement {
            born: Born::default(),
            version: String::new(),
            cold_left: Duration::ZERO,
            ..self
        }
    }

    /// The incarnation that sent it.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born: self.born }
    }
}

/// When a target started, by its own clock, in milliseconds since 1970; `None` if the target does not send it. The
/// clock may step back, so that a later incarnation can have an earlier time.
///
/// The name of this type is part of log events (`ids` of `targets_settled` and `targets_silent`) and of serde's errors.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Born(pub Option<u64>);

/// One incarnation of a target: its life from one start to the end of the process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identity of the target.
    pub id: String,
    /// When it started, which distinguishes incarnations of the same identity.
    pub born: Born,
}

/// A target as the directory stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The last heartbeat that changed the entry.
    pub announcement: Announcement,
    /// Revision of the last change of the entry.
    pub revision: Revision,
    /// Revision of the last change of anything besides state, remaining cold time and home. Gateways with an older
    /// revision need the whole entry.
    pub since: Revision,
    /// Its home, if it has one.
    pub home: Option<u32>,
}

/// A whole entry as sent to gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The last heartbeat that changed the entry.
    pub announcement: Announcement,
    /// Its home, if it has one.
    pub home: Option<u32>,
}

/// A change of state, remaining cold time or home of a target that the receiving gateway already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    /// Hash of the incarnation, as of [`Announcement::key`].
    pub target: u64,
    /// Hash of the identity, as of [`key`].
    pub identity: u64,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// Remaining cold time at the last heartbeat that changed the entry; zero once it is warm.
    pub cold_left: Duration,
    /// Its home, if it has one.
    pub home: Option<u32>,
}

/// Hash of a name, sent and stored in its place.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Hash of an incarnation; of the identity alone if the start time is not known.
fn incarnation_key(id: &str, born: Born) -> u64 {
    match born.0 {
        Some(born) => xxh3_64_with_seed(id.as_bytes(), born),
        None => key(id),
    }
}

/// What a heartbeat means for the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatClass {
    /// It changes nothing.
    Unchanged,
    /// It changes the directory, and must be committed to the log before it is acknowledged.
    Changed,
    /// It is older than the entry, or is from an incarnation that was removed or replaced.
    Stale,
}

/// Changes of the directory that a gateway lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Revision of the directory after applying the changes.
    pub revision: Revision,
    /// Whether it contains all targets, so that the receiver drops all others.
    pub whole: bool,
    /// New targets, and targets of which anything besides state, remaining cold time and home changed.
    pub changed: Vec<Listed>,
    /// Targets that the receiver has, of which only state, remaining cold time or home changed.
    pub moved: Vec<Moved>,
    /// Identities of targets whose incarnation ended. One that restarted is in `changed` as well.
    pub removed: Vec<String>,
}

impl DirectoryEntry {
    pub(super) fn listed(&self) -> Listed {
        Listed { announcement: self.announcement.clone(), home: self.home }
    }

    pub(super) fn moved(&self) -> Moved {
        let Announcement { state, cold_left, .. } = self.announcement;
        let (target, identity) = (self.announcement.key(), key(&self.announcement.id));
        Moved { target, identity, state, cold_left, home: self.home }
    }

    /// Whether a heartbeat changes nothing. The remaining cold time decreases by itself, so that only its end and an
    /// increase are changes.
    pub(super) fn is_unchanged(known: &Announcement, heartbeat: &Announcement) -> bool {
        let cold_toggled = known.cold_left.is_zero() != heartbeat.cold_left.is_zero();
        let longer = heartbeat.cold_left > known.cold_left;
        let Announcement { sequence, cold_left, .. } = *known;
        !cold_toggled
            && !longer
            && Announcement { sequence, cold_left, ..heartbeat.clone() } == *known
    }

    /// Whether the announcements of a target differ at most in what [`Moved`] can express.
    pub(super) fn same_except_state(&self, other: &Announcement) -> bool {
        let here = &self.announcement;
        here.born == other.born
            && here.addr == other.addr
            && here.service == other.service
            && here.version == other.version
            && here.data_hall == other.data_hall
            && here.slots == other.slots
    }
}
