//! Messages between members, and between members and routers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::directory::{Announcement, DirectoryDelta};
use crate::document::Packed;
use crate::raft::{Envelope, Index, StoreId};
use crate::store::{Answer, Command, Revision};

/// Shortest time between two words about loads.
const SHORTEST_LOADS_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time that a word about loads counts.
const SHORTEST_LOADS_COUNT: Duration = Duration::from_millis(2_500);
/// Time between two words about loads for each router alive.
const LOADS_INTERVAL_EACH: Duration = Duration::from_millis(10);

/// A frame on a connection that a member or a router made to a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToMember {
    /// Messages of the agreement.
    Agreement {
        /// Where the sender is reached.
        from: SocketAddr,
        /// The messages.
        messages: Vec<Envelope>,
    },
    /// A call that awaits a [`Reply`].
    Call {
        /// Chosen by the caller.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Routers that are connected to the sender, and what they have in flight.
    Presence {
        /// Where the sender is reached.
        from: SocketAddr,
        /// Its routers.
        routers: Vec<String>,
        /// What they have in flight.
        loads: Vec<TargetLoad>,
    },
    /// What the router on this connection has in flight.
    Loads(Vec<TargetLoad>),
    /// A router wants to be told of every change.
    Subscribe(Subscription),
}

/// Requests in flight at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Hash of its identity.
    pub target: u64,
    /// Requests.
    pub requests: u32,
}

/// Between two words about loads, while so many routers are alive.
///
/// Every router hears the loads of all, so that the bytes on a member's link grow with their number;
/// this keeps them about the same.
pub fn loads_interval(routers: u32) -> Duration {
    SHORTEST_LOADS_INTERVAL.max(LOADS_INTERVAL_EACH * routers)
}

/// How long a word about loads counts, while so many routers are alive.
pub fn loads_count_for(routers: u32) -> Duration {
    SHORTEST_LOADS_COUNT.max(loads_interval(routers) * 3)
}

/// A frame on the way back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromMember {
    /// The answer to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// News for a router; without any, a sign of life.
    Update(Box<Update>),
}

/// A call to a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Put a command in the log.
    Propose(Command),
    /// The index up to which a reader must have applied to see all that is acknowledged.
    ReadIndex,
    /// Take a heartbeat of a target.
    Announce(Announcement),
    /// Take a store in.
    Join {
        /// Its identity.
        store: StoreId,
        /// Where it is reached.
        addr: SocketAddr,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The store's answer to a command.
    Answer(Answer),
    /// The index for a reader.
    ReadIndex(Index),
    /// Taken.
    Done,
    /// This member does not lead.
    NotLeader(Option<SocketAddr>),
    /// The outcome is not known; the same may be called again.
    Unknown,
}

/// What a router has when it connects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Subscription {
    /// Name of the router.
    pub router: String,
    /// Version of the configuration in force there; 0 for none.
    pub version: u64,
    /// Revision of its directory; 0 for none.
    pub directory: Revision,
}

/// News for a router.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Update {
    /// Whether the member has heard a leader lately.
    pub fresh: bool,
    /// The configuration, if the router's is older.
    pub document: Option<Packed>,
    /// What the router lacks of the directory.
    pub directory: Option<DirectoryDelta>,
    /// Where members are reached, when that changed.
    pub members: Option<Vec<SocketAddr>>,
    /// Routers alive.
    pub routers: u32,
    /// What all routers have in flight at targets that have anything, when it is time for that.
    pub loads: Option<Vec<TargetLoad>>,
}
