//! A target in the directory, and the forms in which it travels.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::level::Level;
use crate::store::Revision;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It does.
    Ready,
    /// It ends what it has and then leaves.
    Draining,
    /// It has not been heard for long, and may be gone.
    Silent,
}

/// What a target says of itself in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity of the target, which it may have again after a start.
    pub id: String,
    /// When it started, by its own clock: tells its starts apart.
    pub born: Born,
    /// Service that it belongs to.
    pub service: String,
    /// Version of its software; empty where it does not say.
    pub version: String,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Data hall that it stands in.
    pub data_hall: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How long it stays slow yet after its start; zero once it is warm.
    pub cold_left: Duration,
    /// Grows with each heartbeat of this start of the target.
    pub sequence: u64,
}

impl Announcement {
    /// Short form of this start of the target.
    pub fn key(&self) -> u64 {
        incarnation_key(&self.id, self.born)
    }

    /// What of it a group of this level may hold.
    pub fn at(self, level: Level) -> Self {
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

    /// This start of the target.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born: self.born }
    }
}

/// When a target started, by its own clock, in milliseconds since 1970. The clock may step, so that a later start may
/// have an earlier time; none for a target that does not say.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Born(pub Option<u64>);

/// One start of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identity of the target.
    pub id: String,
    /// When it started.
    pub born: Born,
}

/// A target in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// What it said when it last brought something new.
    pub announcement: Announcement,
    /// Revision that brought it, or changed it last.
    pub revision: Revision,
    /// Revision that brought what its identity, start, service and address say.
    pub since: Revision,
    /// Its home, once it has one.
    pub home: Option<u32>,
}

/// A target as gateways are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// What it said when it last brought something new.
    pub announcement: Announcement,
    /// Its home, once it has one.
    pub home: Option<u32>,
}

/// A target that is known, in its present state and home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    /// Short form of its start.
    pub target: u64,
    /// Short form of its identity.
    pub identity: u64,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How long it stayed slow yet when it last brought something new; zero once it is warm.
    pub cold_left: Duration,
    /// Its home, once it has one.
    pub home: Option<u32>,
}

/// Short form of a name.
pub fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Short form of one start of a target; that of its identity where it does not say when it started.
fn incarnation_key(id: &str, born: Born) -> u64 {
    match born.0 {
        Some(born) => xxh3_64_with_seed(id.as_bytes(), born),
        None => key(id),
    }
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// It brings nothing new.
    Known,
    /// It must go into the log before it is acknowledged.
    News,
    /// It is older than what is known, or of a start that was removed or that another one followed.
    Late,
}

/// What a gateway lacks of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Revision after applying it.
    pub revision: Revision,
    /// Whether it holds all targets, so that others are to be dropped.
    pub whole: bool,
    /// New targets, and those at another address.
    pub changed: Vec<Listed>,
    /// Targets that the receiver knows, with another state or home.
    pub moved: Vec<Moved>,
    /// Removed targets.
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

    /// Whether a heartbeat says what is known: the time that is left of a start goes down by itself.
    pub(super) fn says_nothing_new(known: &Announcement, heartbeat: &Announcement) -> bool {
        let turned = known.cold_left.is_zero() != heartbeat.cold_left.is_zero();
        let longer = heartbeat.cold_left > known.cold_left;
        let Announcement { sequence, cold_left, .. } = *known;
        !turned && !longer && Announcement { sequence, cold_left, ..heartbeat.clone() } == *known
    }

    /// Whether a target is where it was, as far as gateways are concerned.
    pub(super) fn same_place(&self, other: &Announcement) -> bool {
        let here = &self.announcement;
        here.born == other.born
            && here.addr == other.addr
            && here.service == other.service
            && here.version == other.version
            && here.data_hall == other.data_hall
            && here.slots == other.slots
    }
}
