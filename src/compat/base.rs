//! Types of the first build that ran in production, as it encodes them in postcard. The encoding never changes.

use std::borrow::Cow;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::command::Encoded;
use crate::blob::BlobId;
use crate::directory::{self, Born, Incarnation, TargetState};
use crate::group::loads::Loads;
use crate::group::message::BlobSource;
use crate::raft::{Envelope, Index, StoreId};
use crate::store::{Answer, Revision};

/// Content of a target's heartbeat; see [`directory::Announcement`].
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
            born: Born::default(),
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

/// Form in which a directory is saved.
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
            over: over.map(|(id, revision)| (id, Born::default(), revision)).collect(),
            forgotten: directory.forgotten,
        }
    }
}

/// Whether the types of the first build can express an announcement.
pub fn can_encode_announcement(announcement: &directory::Announcement) -> bool {
    announcement.born.0.is_none()
        && announcement.version.is_empty()
        && announcement.cold_left.is_zero()
}

/// Whether the first build can identify the target: it knows no start times, so it can't distinguish incarnations.
pub fn can_encode_target(target: &Incarnation) -> bool {
    target.born.0.is_none()
}

/// Identities of the targets, by which the first build identifies them.
pub fn identities(targets: Vec<Incarnation>) -> Vec<String> {
    targets.into_iter().map(|target| target.id).collect()
}

/// A target without start time, as the first build identifies it. It refers to the current incarnation.
pub fn incarnation(id: String) -> Incarnation {
    Incarnation { id, born: Born::default() }
}

/// A frame to a member.
#[derive(Serialize, Deserialize)]
pub enum ToMember<'a> {
    /// Raft messages, and the address of the sender.
    Raft {
        /// Address of the sender.
        from: SocketAddr,
        /// The messages.
        messages: Cow<'a, [Envelope]>,
    },
    /// A request to the member.
    Call {
        /// Id that the caller chose; the reply has the same.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Gateways that are connected to the sender.
    Presence(Cow<'a, [String]>),
    /// Requests in flight from the gateways connected to another member.
    MemberLoads {
        /// Address of the sending member.
        from: SocketAddr,
        /// Requests in flight by target.
        loads: Cow<'a, Loads>,
    },
    /// Requests in flight from a gateway.
    Loads(Cow<'a, Loads>),
    /// Version of the configuration that a gateway applies.
    ConfigurationInForce(u64),
    /// The gateway has a blob.
    HasBlob(BlobId),
    /// The gateway could not fetch a blob.
    BlobFetchFailed(BlobId),
    /// The gateway subscribes to updates.
    Subscribe(Subscription),
}

/// A request to a member.
#[derive(Serialize, Deserialize)]
pub enum Call {
    /// Append a command to the log.
    Propose(Encoded),
    /// Return the log index that a reader must have applied in order to see every acknowledged change.
    ReadIndex,
    /// Handle a target's heartbeat.
    Announce(Announcement),
    /// Record that heartbeats of these targets arrived which change nothing.
    ReportHeartbeats(Vec<u64>),
    /// Add a store to the group.
    Join {
        /// Identity of the store.
        store: StoreId,
        /// Address of the store's process.
        addr: SocketAddr,
    },
}

/// The reply to a call.
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The store's answer to a command.
    Answer(Answer),
    /// The log index for [`Call::ReadIndex`].
    ReadIndex(Index),
    /// Handled.
    Done,
    /// This member is not the leader; the leader's address, if known.
    NotLeader(Option<SocketAddr>),
    /// The outcome is unknown: the command may or may not be committed.
    Unknown,
}

/// A gateway's subscription, with the versions that it already has.
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
    /// Address at which peer gateways fetch blobs from it.
    pub serves_blobs_at: Option<SocketAddr>,
}

/// A frame from a member.
#[derive(Serialize, Deserialize)]
pub enum FromMember<'a> {
    /// The reply to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// The reply.
        reply: Reply,
    },
    /// An update for a gateway.
    Update(Box<Update<'a>>),
}

/// An update for a gateway.
#[derive(Serialize, Deserialize)]
pub struct Update<'a> {
    /// Whether the member has had recent contact with a leader.
    pub fresh: bool,
    /// Version of the configuration that the member holds; 0 for none.
    pub version: u64,
    /// Blobs that the gateway lacks.
    pub blobs: Cow<'a, [Bytes]>,
    /// A blob that the gateway is to fetch from a peer gateway.
    pub blob_source: Option<BlobSource>,
    /// Addresses of the members, if they changed.
    pub members: Option<Vec<SocketAddr>>,
    /// Number of live gateways.
    pub gateways: u32,
    /// Requests in flight from all gateways.
    pub loads: Option<Cow<'a, Loads>>,
}

/// A [`directory::DirectoryDelta`] by columns, which compress better than rows.
#[derive(Serialize, Deserialize)]
pub struct Columns {
    /// Revision after applying it.
    pub revision: Revision,
    /// Whether it contains all targets.
    pub whole: bool,
    /// Identities of targets whose incarnation ended.
    pub removed: Vec<String>,
    /// Hashes of the identities of targets of which only state or home changed.
    pub moved_targets: Vec<u64>,
    /// Their states.
    pub moved_states: Vec<TargetState>,
    /// Their homes.
    pub moved_homes: Vec<Option<u32>>,
    /// Identities of new targets, and of those of which anything else changed.
    pub ids: Vec<String>,
    /// Their services.
    pub services: Vec<String>,
    /// Their addresses.
    pub addrs: Vec<SocketAddr>,
    /// Their data halls.
    pub data_halls: Vec<String>,
    /// Numbers of requests that they process at a time.
    pub slots: Vec<u32>,
    /// Whether they take new requests.
    pub states: Vec<TargetState>,
    /// Their homes.
    pub homes: Vec<Option<u32>>,
}
