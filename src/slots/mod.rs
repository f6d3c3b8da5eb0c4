//! Slots: a slot is the right to have one request in flight at a target. Each router sees only a
//! small part of the traffic, so the load of a target is bounded in one place, by its owner.
//!
//! All targets that serve the same model and version make a pool. One of the live routers owns the
//! pool, chosen by rendezvous hashing, and so knows the load of each of its targets and the mean
//! load. The owner counts the slots that each router holds, from its own grants and from the
//! routers' statements. A statement lists all slots of a router, and so corrects the count after
//! lost datagrams. An owner grants no slot at a target until every live router has sent it a
//! statement, so that a new owner knows what the former one granted.

mod holder;
mod owner;
mod recent;
mod rounds;
mod shares;
mod table;

use serde::{Deserialize, Serialize};

use crate::choice::{Key, NameHash, score};

pub use self::holder::{Holder, Statement};
pub use self::owner::Owner;
pub use self::recent::Recent;
pub use self::rounds::{Due, Rounds};
pub use self::shares::Shares;
pub use self::table::{AskOutcome, DatagramCheck, Table};

/// Identifies a router: hash of its host's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(pub u64);

/// Identifies a team: hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TeamId(pub u32);

impl TeamId {
    pub(crate) const MIN: TeamId = TeamId(u32::MIN);
    pub(crate) const MAX: TeamId = TeamId(u32::MAX);

    /// Hashes the name of a team.
    pub fn new(name: &str) -> Self {
        TeamId(NameHash::new(name).0 as u32)
    }
}

/// The target at which a slot is held, and the team for which it is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Hash of the target's name.
    pub target: NameHash,
    /// Team whose request uses the slot.
    pub team: TeamId,
}

/// Number of an ask. Each router counts its asks to each owner.
pub type Ticket = u32;

/// One process of a router. A restarted router knows nothing of the asks and slots of its former process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Router that the process runs.
    pub router: RouterId,
    /// Start time of the process, in nanoseconds since its host booted.
    pub incarnation: u64,
}

/// The owner of `pool` among `routers`.
pub fn owner(pool: NameHash, routers: &[RouterId]) -> Option<RouterId> {
    let by_score = |router: &&RouterId| score(Key(pool.0), NameHash(router.0));
    routers.iter().max_by_key(by_score).copied()
}

/// Limits of the load of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Highest multiple of the pool's mean load at which a target still gets a returning chat.
    pub returning: f64,
    /// The same for a chat's first turn: lower, to keep the last slots for returning chats.
    pub first_turn: f64,
    /// Maximum number of requests in flight at one target.
    pub engine_slots: usize,
    /// Number of chats whose prefixes fit into one target's cache.
    pub cached_chats: usize,
}

/// A router's request to an owner for a slot at one of several targets of a pool.
///
/// The targets go into one ask, since only the owner sees all their loads at the same moment. If they were asked for
/// one after the other, each could be at its bound when its turn comes, though they never all are at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the ask, set by [`Holder::ask`].
    pub ticket: Ticket,
    /// Team that the request belongs to.
    pub team: TeamId,
    /// Targets in order of preference, the best for the chat first.
    pub targets: Vec<NameHash>,
    /// How many of `targets`, from the first, the owner searches for one whose cache holds the chat's prefix. 0 for a
    /// first turn.
    pub prefix_candidates: u8,
    /// Number of targets of the pool that can take requests, as seen by the asking router.
    pub usable: u16,
    /// Share of the pool's slots that is guaranteed to the team, in thousandths.
    pub share: u16,
    /// Key of the chat.
    pub chat: Key,
    /// Whether the chat is new or returns.
    pub turn: ChatTurn,
}

/// Load of a whole pool, as counted by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Requests in flight at all targets of the pool.
    pub load: usize,
    /// Number of targets in the pool.
    pub targets: usize,
}

/// Turn of the chat for which a slot is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChatTurn {
    /// The first turn of a chat: no target has its prefix.
    FirstTurn,
    /// A later turn of a chat: the target of an earlier turn may have its prefix.
    Returning,
}

/// An owner's answer to an ask, as sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A slot is granted at the target with this index, counted from 0, in [`Ask::targets`].
    Granted(u8),
    /// All targets are at their bound, or the team may not have another slot of the pool.
    Full,
    /// The owner lacks some live router's statement for at least one of the targets, or does not count the asking
    /// router as live.
    Undecided,
}

/// Result of an ask for the router that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A slot is held at this place.
    Granted(Place),
    /// All targets are at their bound, or the team may not have another slot of the pool.
    Full,
    /// The owner can't decide yet, is not known or has changed, or the ask was given up.
    Undecided,
}

/// One UDP datagram from a router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sending process.
    pub from: Peer,
    /// Incarnation of the receiving router; `None` if the sender has received nothing from it yet.
    pub to: Option<u64>,
    /// Messages, in the order in which the receiver handles them.
    pub messages: Vec<Message>,
}

/// A message between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Router to owner: asks for a slot.
    Ask(Ask),
    /// Owner to router: answers an ask.
    Answer {
        /// Number of the ask.
        ticket: Ticket,
        /// The owner's decision.
        verdict: Verdict,
    },
    /// Router to owner: releases one slot.
    Release {
        /// Sequence number from [`Holder::release`].
        sequence: u32,
        /// Place at which the slot was held.
        place: Place,
    },
    /// Router to owner: reports all slots that the router holds.
    Statement(Statement),
}
