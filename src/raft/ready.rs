//! What a node is told once, plays, and leaves to be done.

use std::time::Duration;

use super::{Entry, Envelope, HardState, Index, Snapshot, StoreId};

/// Intervals of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest silence after which a member campaigns; until then it votes for no one else.
    pub election_min: Duration,
    /// Longest silence after which a member campaigns, and a leader without a quorum steps down.
    pub election_max: Duration,
}

impl Timing {
    /// How long a quorum's answer to a heartbeat keeps a leader in office, from its sending.
    ///
    /// Shorter than the silence that voters keep, by a fifth, so that clocks may drift apart.
    pub fn lease(&self) -> Duration {
        self.election_min * 4 / 5
    }
}

/// Part that a member plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows the leader of the term, if there is one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks to be elected.
    Candidate,
    /// Leads.
    Leader,
}

/// The member can't take a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this member does not lead the group")]
pub struct NotLeader {
    /// The leader, where it is known.
    pub leader: Option<StoreId>,
}

/// One write to the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Group, term and vote.
    Hard(HardState),
    /// Drop the entries from this index on.
    Truncate(Index),
    /// Add an entry.
    Append(Entry),
    /// Replace the log up to the snapshot.
    Snapshot(Box<Snapshot>),
}

/// What is left to do after a step, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// To be written and synced before anything else is done.
    pub writes: Vec<Write>,
    /// To put in place of the store, before the committed entries.
    pub restore: Option<Box<Snapshot>>,
    /// To apply to the store, in order.
    pub committed: Vec<Entry>,
    /// To send.
    pub messages: Vec<Envelope>,
}
