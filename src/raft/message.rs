//! Messages between the members of a group.

use serde::{Deserialize, Serialize};

use super::{Entry, GroupId, Index, Position, Snapshot, StoreId, Term};

/// A message with its sender, receiver and term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Group of the sender.
    pub group: GroupId,
    /// Sender.
    pub from: StoreId,
    /// Receiver; a member with another identity drops the message.
    pub to: StoreId,
    /// Term of the sender; in a pre-vote, the term in which it would become a candidate.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote; changes no term.
    PreVote {
        /// Last entry of the candidate's log.
        last: Position,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    Vote {
        /// Last entry of the candidate's log.
        last: Position,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries to append; without entries, a heartbeat.
    Append {
        /// Position of the entry before the first one sent.
        prev: Position,
        /// Entries that follow it.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: Index,
        /// Heartbeat round; the reply carries it, which extends the leader's lease.
        round: u64,
    },
    /// Reply to an append or a snapshot.
    AppendReply {
        /// Heartbeat round of the message to which this replies.
        round: u64,
        /// Whether the log now matches the leader's.
        result: AppendResult,
    },
    /// A snapshot, sent to a member that lacks entries which the leader's log no longer has.
    Install {
        /// The snapshot.
        snapshot: Box<Snapshot>,
        /// Heartbeat round; the reply carries it, which extends the leader's lease.
        round: u64,
    },
}

/// Outcome of an append or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The log equals the leader's up to this index and is synced to disk.
    Matched(Index),
    /// The entry before the first one sent is missing or has another term.
    Rejected {
        /// Highest index at which the logs may still agree.
        hint: Index,
    },
}
