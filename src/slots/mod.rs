//! Slots: the right to have one request in flight at a target, granted by the target's owner, so
//! that no target carries more than its bound while each router sees a sliver of the traffic.
//!
//! All targets that serve the same make a pool, and the owner of a pool is one of the live routers,
//! by rendezvous hashing: so it knows the load of each target and the mean. It counts the slots
//! that each router holds, from its own grants and from the routers' reports, which are complete
//! statements and so mend every loss. An owner grants nothing on a target until every live router
//! has reported to it, so that a new owner knows what the old one granted.

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
pub use self::table::{Asked, Opened, Table};

/// A router, by the hash of its host's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(pub u64);

/// A team, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TeamId(pub u32);

impl TeamId {
    pub(crate) const MIN: TeamId = TeamId(u32::MIN);
    pub(crate) const MAX: TeamId = TeamId(u32::MAX);

    /// The team of this name.
    pub fn new(name: &str) -> Self {
        TeamId(NameHash::new(name).0 as u32)
    }
}

/// Where a slot is held, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The target.
    pub target: NameHash,
    /// The team.
    pub team: TeamId,
}

/// Number of an ask, counted by each router for each owner.
pub type Ticket = u32;

/// One process of a router: a router that starts again knows nothing of what its former process asked and held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The router.
    pub router: RouterId,
    /// When the process started, in nanoseconds since the start of its host.
    pub incarnation: u64,
}

/// The owner of `pool` among `routers`.
pub fn owner(pool: NameHash, routers: &[RouterId]) -> Option<RouterId> {
    let by_score = |router: &&RouterId| score(Key(pool.0), NameHash(router.0));
    routers.iter().max_by_key(by_score).copied()
}

/// How far a target may lie above the mean load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Multiple of the mean for a chat that returns.
    pub returning: f64,
    /// Lower multiple for a chat's first turn, which keeps the last slots for those that return.
    pub first_turn: f64,
    /// Most requests at one target.
    pub engine_slots: usize,
    /// Chats whose prefixes one target's cache holds.
    pub cached_chats: usize,
}

/// A router asks for a slot at one of several targets of a pool.
///
/// They are asked for together, since the owner alone sees all their loads at the same moment: asked for one after the
/// other, each can be at its bound when its turn comes though never all are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the ask.
    pub ticket: Ticket,
    /// The team.
    pub team: TeamId,
    /// The targets, the best for the chat first.
    pub targets: Vec<NameHash>,
    /// How many of them, from the first, are looked through for the prefix of a chat that returns.
    pub homes: u8,
    /// Targets of the pool that can take work, as the asking router sees them.
    pub usable: u16,
    /// Share of the pool that the team is sure of, in thousandths.
    pub share: u16,
    /// The chat.
    pub chat: Key,
    /// What it is for.
    pub wish: Wish,
}

/// Load of all targets of a pool, as its owner knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Requests in flight at all of them.
    pub load: usize,
    /// Number of targets.
    pub targets: usize,
}

/// What a slot is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// A chat's first turn.
    FirstTurn,
    /// A chat that returns.
    Returning,
}

/// What an owner answers to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A slot is held now at this one of the targets, counted from 0.
    Granted(u8),
    /// All targets are at their bound.
    Full,
    /// Not every live router has told yet what it holds at the targets that may have room.
    Undecided,
}

/// What the router that asked takes from that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A slot is held here.
    Granted(Place),
    /// All targets are at their bound.
    Full,
    /// The owner can't decide yet, or is no longer the owner.
    Undecided,
}

/// What one router sends another at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: Peer,
    /// Incarnation of the router that it is for; `None` where nothing was ever heard of that one.
    pub to: Option<u64>,
    /// What it says.
    pub messages: Vec<Message>,
}

/// A message between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Router to owner: may I send one request?
    Ask(Ask),
    /// Owner to router: whether the ask is granted.
    Answer {
        /// Number of the ask.
        ticket: Ticket,
        /// What the owner decided.
        verdict: Verdict,
    },
    /// Router to owner: one slot back.
    Give {
        /// Sequence, as of [`Holder::give`].
        at: u32,
        /// Where it was held.
        place: Place,
    },
    /// Router to owner: all slots held.
    Statement(Statement),
}
