//! Raft consensus among the members of a group: a replicated log with pre-vote, check-quorum, a
//! leader lease, snapshots, and membership changes of one member at a time.
//!
//! [`Node`] is a pure state machine without I/O: its inputs are messages and the current time, its
//! outputs (writes, messages, committed entries) are collected in a [`Ready`]. [`Replica`] connects
//! it to a [`Wal`] and the store.

mod disk;
mod election;
mod follower;
mod format5;
mod leader;
mod log;
mod membership;
mod message;
mod node;
mod ready;
mod replica;
mod wal;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::{Command, Store};

pub use self::disk::{BoxedDisk, FolderDisk, RetryingDisk, TimedDisk};
pub use self::log::Log;
pub use self::membership::{Health, MembershipRules};
pub use self::message::{AppendResult, Body, Envelope};
pub use self::node::Node;
pub use self::ready::{NotLeader, Ready, Role, Timing, Write};
pub use self::replica::{AppliedCommand, Replica, random_store_id};
pub use self::wal::{Disk, Recovered, TailPolicy, Wal, WalError};

/// Monotonic time since the start of the process.
pub type Time = Duration;
/// Raft term; each has at most one leader.
pub type Term = u64;
/// Index of a log entry, counted from 1.
pub type Index = u64;

/// Identity of a member's disk, drawn at random when its data folder is first written.
///
/// A member whose disk was lost returns under a new identity, so it can't vote twice in a term
/// because its first vote was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl fmt::Display for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity of a group, drawn at random when the group is formed; 0 means no group yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupId(pub u64);

/// Whether a member counts towards a quorum.
// Serde's errors, which callers see, name this type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Votes and counts towards a quorum.
    Voter,
    /// Receives the log, but neither votes nor counts until it has caught up.
    Learner,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its disk.
    pub id: StoreId,
    /// Address at which other members reach it.
    pub addr: SocketAddr,
    /// Whether it is a voter.
    #[serde(rename = "standing")]
    pub kind: Standing,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub Vec<Member>);

impl Members {
    /// The member with this identity.
    pub fn get(&self, id: StoreId) -> Option<&Member> {
        self.0.iter().find(|member| member.id == id)
    }

    /// The members that vote.
    pub fn voters(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.0.iter().filter(|member| member.kind == Standing::Voter).map(|member| member.id)
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The next membership that leads to `id` being a voter at `addr`; `None` when it is one already
    /// or has not caught up.
    ///
    /// A new member joins as a learner. Once `caught_up`, the member that had its address before is
    /// removed, and then the learner becomes a voter. Each step changes at most one voter, so that
    /// the quorums before and after overlap.
    pub fn next_step(&self, id: StoreId, addr: SocketAddr, caught_up: bool) -> Option<Members> {
        let mut next = self.clone();
        let Some(kind) = self.get(id).map(|member| member.kind) else {
            next.0.retain(|member| member.addr != addr || member.kind == Standing::Voter);
            next.0.push(Member { id, addr, kind: Standing::Learner });
            return Some(next);
        };
        if kind == Standing::Voter || !caught_up {
            return None;
        }
        let replaced = |member: &Member| member.addr == addr && member.id != id;
        if self.0.iter().any(replaced) {
            next.0.retain(|member| !replaced(member));
            return Some(next);
        }
        for member in &mut next.0 {
            if member.id == id {
                member.kind = Standing::Voter;
            }
        }
        Some(next)
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// No change: a new leader's first entry, which commits the entries of earlier terms.
    Noop,
    /// New membership; in effect as soon as the entry is in the log, before it is committed.
    Members(Members),
    /// A command to the store.
    Command(Command),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its index in the log.
    pub index: Index,
    /// Its content.
    pub payload: Payload,
}

/// Term and index of an entry; the order is the one by which elections compare logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// The state at a log position, which replaces the entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot covers.
    pub at: Position,
    /// Members at that position.
    pub members: Members,
    /// The store at that position.
    pub store: Store,
}

/// Raft state that must survive a restart, besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Group that this member belongs to; 0 while it has none.
    pub group: GroupId,
    /// Highest term seen.
    pub term: Term,
    /// Vote cast in that term.
    pub vote: Option<StoreId>,
}
