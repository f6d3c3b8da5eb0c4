//! Messages between the members of a group.

use serde::{Deserialize, Serialize};

use super::{Entry, GroupId, Index, Position, Snapshot, StoreId, Term};

/// A message with its address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Group of the sender.
    pub group: GroupId,
    /// Sender.
    pub from: StoreId,
    /// Receiver; a message that reaches another store is dropped.
    pub to: StoreId,
    /// Term of the sender; in a pre-vote the term it would campaign in.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me? Changes no term.
    PreVote {
        /// Last entry of the candidate's log.
        last: Position,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// Last entry of the candidate's log.
        last: Position,
    },
    /// Answer to a vote.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries to append; a heartbeat when there are none.
    Append {
        /// Entry just before the first one sent.
        prev: Position,
        /// Entries that follow it.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: Index,
        /// Heartbeat round, echoed for the lease.
        round: u64,
    },
    /// Answer to an append or a snapshot.
    AppendReply {
        /// Round of the message answered.
        round: u64,
        /// How it went.
        result: AppendResult,
    },
    /// A snapshot for a member too far behind.
    Install {
        /// The snapshot.
        snapshot: Box<Snapshot>,
        /// Heartbeat round, echoed for the lease.
        round: u64,
    },
}

/// How an append went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The log equals the leader's up to this index, synced.
    Matched(Index),
    /// The entry before is missing or differs; try again from this index at the latest.
    Rejected {
        /// Highest index at which the logs may still agree.
        hint: Index,
    },
}
