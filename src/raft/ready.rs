//! Timing and role of a node, and the outputs that it leaves for its caller.

use std::time::Duration;

use super::{Entry, Envelope, HardState, Index, Snapshot, StoreId};

/// Intervals of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest time without contact with a leader after which a member campaigns. Until then it
    /// grants no vote that would replace the leader.
    pub election_min: Duration,
    /// Longest time without contact with a leader after which a member campaigns. A leader that has
    /// no replies from a quorum for this long steps down.
    pub election_max: Duration,
}

impl Timing {
    /// Length of the leader's lease, counted from when it sent the newest heartbeat to which a quorum
    /// replied.
    ///
    /// A fifth shorter than `election_min`, during which voters elect no other leader, so that clocks
    /// may run at different rates.
    pub fn lease(&self) -> Duration {
        self.election_min * 4 / 5
    }
}

/// Raft role of a member in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts entries from the leader of the term, if there is one.
    Follower,
    /// Asks the voters whether they would elect it, before it raises its term.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// A proposal was refused, since this member is not the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this member does not lead the group")]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<StoreId>,
}

/// One write to the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Group, term and vote.
    Hard(HardState),
    /// Remove the entries from this index on.
    Truncate(Index),
    /// Add an entry.
    Append(Entry),
    /// Replace the log up to the snapshot.
    Snapshot(Box<Snapshot>),
}

/// Outputs of a node, to be processed in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// Writes, to be synced before anything else is done.
    pub writes: Vec<Write>,
    /// Snapshot that replaces the store, before the committed entries are applied.
    pub restore: Option<Box<Snapshot>>,
    /// Committed entries to apply to the store, in order.
    pub committed: Vec<Entry>,
    /// Messages to send.
    pub messages: Vec<Envelope>,
}
