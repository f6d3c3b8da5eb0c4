//! The types of the first build that ran in production, as it encodes them. They never change.

use std::borrow::Cow;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::command::Encoded;
use crate::blob::BlobId;
use crate::directory::{self, Incarnation, StartTime, TargetState};
use crate::group::loads::Loads;
use crate::group::message::BlobSource;
use crate::raft::{Envelope, Index, StoreId};
use crate::store::{Answer, Revision};

/// What a target says of itself; see [`directory::Announcement`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    id: String,
    service: String,
    addr: SocketAddr,
    data_hall: String,
    slots: u32,
    state: TargetState,
    sequence: u64,
}

impl From<directory::Announcement> for Announcement {
    fn from(announcement: directory::Announcement) -> Self {
        let directory::Announcement {
            id, service, addr, data_hall, slots, state, sequence, ..
        } = announcement;
        Announcement { id, service, addr, data_hall, slots, state, sequence }
    }
}

impl From<Announcement> for directory::Announcement {
    fn from(announcement: Announcement) -> Self {
        let Announcement { id, service, addr, data_hall, slots, state, sequence } = announcement;
        directory::Announcement {
            id,
            born: StartTime::default(),
            service,
            version: String::new(),
            addr,
            data_hall,
            slots,
            state,
            cold_left: std::time::Duration::ZERO,
            sequence,
        }
    }
}

/// A target in the directory; see [`directory::DirectoryEntry`].
#[derive(Clone, Debug, Serialize, Deserialize)]
struct DirectoryEntry {
    announcement: Announcement,
    revision: Revision,
    since: Revision,
    home: Option<u32>,
}

/// What a directory is saved as.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Directory {
    revision: Revision,
    entries: Vec<DirectoryEntry>,
    removed: Vec<(String, Revision)>,
    forgotten: Revision,
}

impl From<directory::Saved> for Directory {
    fn from(saved: directory::Saved) -> Self {
        let entry = |entry: directory::DirectoryEntry| DirectoryEntry {
            announcement: entry.announcement.into(),
            revision: entry.revision,
            since: entry.since,
            home: entry.home,
        };
        Directory {
            revision: saved.revision,
            entries: saved.entries.into_iter().map(entry).collect(),
            removed: saved.over.into_iter().map(|(id, _, revision)| (id, revision)).collect(),
            forgotten: saved.forgotten,
        }
    }
}

impl From<Directory> for directory::Saved {
    fn from(directory: Directory) -> Self {
        let entry = |entry: DirectoryEntry| directory::DirectoryEntry {
            announcement: entry.announcement.into(),
            revision: entry.revision,
            since: entry.since,
            home: entry.home,
        };
        let over = directory.removed.into_iter();
        directory::Saved {
            revision: directory.revision,
            entries: directory.entries.into_iter().map(entry).collect(),
            over: over.map(|(id, revision)| (id, StartTime::default(), revision)).collect(),
            forgotten: directory.forgotten,
        }
    }
}

/// Whether the first build could say this of a target.
pub fn can_encode_announcement(announcement: &directory::Announcement) -> bool {
    announcement.born.0.is_none()
        && announcement.version.is_empty()
        && announcement.cold_left.is_zero()
}

/// Whether the first build could name this target: it knows no starts.
pub fn can_encode_target(target: &Incarnation) -> bool {
    target.born.0.is_none()
}

/// The identities of targets, by which the first build names them.
pub fn identities(targets: Vec<Incarnation>) -> Vec<String> {
    targets.into_iter().map(|target| target.id).collect()
}

/// A target in whichever start it is.
pub fn incarnation(id: String) -> Incarnation {
    Incarnation { id, born: StartTime::default() }
}

/// A frame to a member.
#[derive(Serialize, Deserialize)]
pub enum ToMember<'a> {
    /// Messages of the agreement, and where their sender is reached.
    Raft {
        /// Where the sender is reached.
        from: SocketAddr,
        /// The messages.
        messages: Cow<'a, [Envelope]>,
    },
    /// A call.
    Call {
        /// Chosen by the caller.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Gateways that are connected to the sender.
    Presence(Cow<'a, [String]>),
    /// What the gateways of another member have in flight.
    MemberLoads {
        /// Where the sender is reached.
        from: SocketAddr,
        /// What they have in flight.
        loads: Cow<'a, Loads>,
    },
    /// What a gateway has in flight.
    Loads(Cow<'a, Loads>),
    /// Version of the configuration that a gateway works by.
    ConfigurationInForce(u64),
    /// A gateway has a parcel.
    HasBlob(BlobId),
    /// A gateway could not fetch a parcel.
    BlobFetchFailed(BlobId),
    /// A gateway wants to be told of changes.
    Subscribe(Subscription),
}

/// A call to a member.
#[derive(Serialize, Deserialize)]
pub enum Call {
    /// Put a command in the log.
    Propose(Encoded),
    /// The index up to which a reader must have applied.
    ReadIndex,
    /// Take a heartbeat of a target.
    Announce(Announcement),
    /// Take note of targets that were heard.
    ReportHeartbeats(Vec<u64>),
    /// Take a store in.
    Join {
        /// Its identity.
        store: StoreId,
        /// Where it is reached.
        addr: SocketAddr,
    },
}

/// The answer to a call.
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The store's answer to a command.
    Answer(Answer),
    /// The index for a reader.
    ReadIndex(Index),
    /// Taken.
    Done,
    /// This member does not lead.
    NotLeader(Option<SocketAddr>),
    /// The outcome is not known.
    Unknown,
}

/// What a gateway has when it connects.
#[derive(Serialize, Deserialize)]
pub struct Subscription {
    /// Name of the gateway.
    pub gateway: String,
    /// Version of its configuration; 0 for none.
    pub version: u64,
    /// Revision of its directory; 0 for none.
    pub directory: Revision,
    /// Data hall of the gateway.
    pub data_hall: String,
    /// Where other gateways fetch parcels from it.
    pub serves_blobs_at: Option<SocketAddr>,
}

/// A frame of a member.
#[derive(Serialize, Deserialize)]
pub enum FromMember<'a> {
    /// The answer to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// News for a gateway.
    Update(Box<Update<'a>>),
}

/// News for a gateway.
#[derive(Serialize, Deserialize)]
pub struct Update<'a> {
    /// Whether the member has heard a leader lately.
    pub fresh: bool,
    /// Version of the configuration that the member holds; 0 for none.
    pub version: u64,
    /// Bytes of parcels that the gateway lacks.
    pub blobs: Cow<'a, [Bytes]>,
    /// A parcel that it lacks and is to fetch.
    pub blob_source: Option<BlobSource>,
    /// Where members are reached, when that changed.
    pub members: Option<Vec<SocketAddr>>,
    /// Gateways alive.
    pub gateways: u32,
    /// What all gateways have in flight.
    pub loads: Option<Cow<'a, Loads>>,
}

/// The list of targets by columns.
#[derive(Serialize, Deserialize)]
pub struct Columns {
    /// Revision after applying it.
    pub revision: Revision,
    /// Whether it holds all targets.
    pub whole: bool,
    /// Identities of targets that are gone.
    pub removed: Vec<String>,
    /// Short forms of the identities of targets that changed their state or home.
    pub moved_targets: Vec<u64>,
    /// Their states.
    pub moved_states: Vec<TargetState>,
    /// Their homes.
    pub moved_homes: Vec<Option<u32>>,
    /// Identities of targets that are new or elsewhere.
    pub ids: Vec<String>,
    /// Their services.
    pub services: Vec<String>,
    /// Where they take requests.
    pub addrs: Vec<SocketAddr>,
    /// Their data halls.
    pub data_halls: Vec<String>,
    /// Requests that they work on at once.
    pub slots: Vec<u32>,
    /// Whether they take new work.
    pub states: Vec<TargetState>,
    /// Their homes.
    pub homes: Vec<Option<u32>>,
}
