//! A target in the directory, and the forms in which it travels.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

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
    /// Identity of this start of the target.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
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
    /// Grows with each heartbeat of this target.
    pub sequence: u64,
}

/// A target in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// What it said when it last brought something new.
    pub announcement: Announcement,
    /// Revision that brought it, or changed it last.
    pub revision: Revision,
    /// Revision that brought what its identity, service and address say.
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
    /// Short form of its identity.
    pub target: u64,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How long it stayed slow yet when it last brought something new; zero once it is warm.
    pub cold_left: Duration,
    /// Its home, once it has one.
    pub home: Option<u32>,
}

/// Short form of a target's identity.
pub fn key(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// It brings nothing new.
    Known,
    /// It must go into the log before it is acknowledged.
    News,
    /// It is older than what is known, or of a target that was removed.
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
        let Announcement { id, state, cold_left, .. } = &self.announcement;
        Moved { target: key(id), state: *state, cold_left: *cold_left, home: self.home }
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
        here.addr == other.addr
            && here.service == other.service
            && here.data_hall == other.data_hall
            && here.slots == other.slots
    }
}
