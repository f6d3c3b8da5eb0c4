//! Agreement among the members of a control group: a replicated log with terms, pre-vote,
//! check-quorum, a leader lease, snapshots, and membership changed one member at a time.
//!
//! [`Node`] is a pure state machine: it takes messages and an explicit time and leaves what is to
//! be written, sent and applied in a [`Ready`]. [`Replica`] joins it to a [`Wal`] and the store.

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
/// Election period; at most one leader in each.
pub type Term = u64;
/// Position in the log, from 1.
pub type Index = u64;

/// Identity of a store, drawn at random when its folder is first written.
///
/// A member whose disk is lost comes back under a new identity and so never votes under the old.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl fmt::Display for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity of a group, drawn at random when it is formed; 0 before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupId(pub u64);

/// Whether a member counts towards a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberKind {
    /// Votes and counts.
    Voter,
    /// Receives the log, but neither votes nor counts until it has caught up.
    Learner,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its store.
    pub id: StoreId,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// Whether it counts.
    #[serde(rename = "standing")]
    pub kind: MemberKind,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub Vec<Member>);

impl Members {
    /// The member with this identity.
    pub fn get(&self, id: StoreId) -> Option<&Member> {
        self.0.iter().find(|member| member.id == id)
    }

    /// The members that count.
    pub fn voters(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.0.iter().filter(|member| member.kind == MemberKind::Voter).map(|member| member.id)
    }

    /// Voters needed for a decision.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The one next step that brings `id` in at `addr`, or `None` when it is in or must wait.
    ///
    /// A newcomer joins as a learner; once `caught_up`, the voter whose address it took leaves;
    /// then it becomes a voter. Each step changes at most one voter, so quorums always overlap.
    pub fn next_step(&self, id: StoreId, addr: SocketAddr, caught_up: bool) -> Option<Members> {
        let mut next = self.clone();
        let Some(kind) = self.get(id).map(|member| member.kind) else {
            next.0.retain(|member| member.addr != addr || member.kind == MemberKind::Voter);
            next.0.push(Member { id, addr, kind: MemberKind::Learner });
            return Some(next);
        };
        if kind == MemberKind::Voter || !caught_up {
            return None;
        }
        let replaced = |member: &Member| member.addr == addr && member.id != id;
        if self.0.iter().any(replaced) {
            next.0.retain(|member| !replaced(member));
            return Some(next);
        }
        for member in &mut next.0 {
            if member.id == id {
                member.kind = MemberKind::Voter;
            }
        }
        Some(next)
    }
}

/// What a log entry holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of each leader.
    Noop,
    /// The members from here on; in effect as soon as it is in the log.
    Members(Members),
    /// A command to the store.
    Command(Command),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that made it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it holds.
    pub payload: Payload,
}

/// Term and index of an entry; ordered as elections compare logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// The state at a position, in place of the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub at: Position,
    /// Members at that position.
    pub members: Members,
    /// The store at that position.
    pub store: Store,
}

/// What must survive a restart besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Group this store belongs to; 0 while blank.
    pub group: GroupId,
    /// Newest term seen.
    pub term: Term,
    /// Vote cast in that term.
    pub vote: Option<StoreId>,
}
