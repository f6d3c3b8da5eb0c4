//! Messages between members, and between members and gateways; `frames` holds their encoding.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, Outcomes};
use super::heartbeats::Taken;
use super::loads::Loads;
use super::prefix_holders::PrefixHolder;
use crate::directory::Announcement;
use crate::level::Level;
use crate::parcel::ParcelId;
use crate::poison::Report;
use crate::raft::{Envelope, Index, StoreId};
use crate::rollout::RolloutNews;
use crate::rollout::division::RolloutMix;
use crate::rollout::tally::Tallies;
use crate::store::{Answer, Command, Revision};

/// A frame on a connection that a member or a gateway made to a member.
#[derive(Clone, Debug)]
pub enum ToMember {
    /// Messages of the agreement.
    Agreement {
        /// Where the sender is reached.
        from: SocketAddr,
        /// The messages.
        messages: Vec<Envelope>,
        /// Level that the sender and the gateways connected to it know.
        knows: Level,
    },
    /// A call that awaits a [`Reply`].
    Call {
        /// Chosen by the caller.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Gateways that are connected to the sender.
    Presence(Vec<String>),
    /// What the gateways connected to the sender have in flight.
    MemberLoads {
        /// Where the sender is reached.
        from: SocketAddr,
        /// What they have in flight.
        loads: Loads,
        /// How their attempts at targets went, where any failed.
        evidence: Vec<Evidence>,
        /// Targets that keep prompts, as they told since the last word.
        keepers: Vec<PrefixHolder>,
        /// What they saw of roll-outs under way, since the orders.
        tallies: Tallies,
    },
    /// What the gateway on this connection has in flight.
    Loads {
        /// What it has in flight.
        loads: Loads,
        /// How its attempts went since its last word.
        outcomes: Vec<Outcomes>,
        /// Targets that keep prompts, since its last word.
        keepers: Vec<PrefixHolder>,
        /// What it saw of roll-outs under way, since its last word.
        tallies: Tallies,
    },
    /// Requests under which targets ended, or that ended well since, from the gateway on this connection.
    Poison(Vec<Report>),
    /// The same, from another member.
    MemberPoison {
        /// Where the sender is reached.
        from: SocketAddr,
        /// The requests.
        reports: Vec<Report>,
    },
    /// The gateway on this connection now works by the configuration of this version.
    InForce(u64),
    /// The gateway on this connection now obeys the orders about data halls up to this revision.
    Obeys(Revision),
    /// The gateway on this connection has a large parcel, from wherever it came.
    Has(ParcelId),
    /// The gateway on this connection could not fetch the parcel that it was told of.
    Lacks(ParcelId),
    /// A gateway wants to be told of every change.
    Subscribe(Subscription),
}

/// A frame on the way back.
#[derive(Clone, Debug)]
pub enum FromMember {
    /// The answer to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// News for a gateway; without any, a sign of life.
    Update(Box<Update>),
}

/// A call to a member.
#[derive(Clone, Debug)]
pub enum Call {
    /// Put a command in the log.
    Propose(Command),
    /// The index up to which a reader must have applied to see all that is acknowledged.
    ReadIndex,
    /// Take heartbeats of targets.
    Announce(Vec<Announcement>),
    /// Take note of targets whose heartbeats the caller answered, in their short form.
    Heard(Vec<u64>),
    /// Take a store in.
    Join {
        /// Its identity.
        store: StoreId,
        /// Where it is reached.
        addr: SocketAddr,
        /// Level that it knows.
        knows: Level,
    },
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The store's answer to a command.
    Answer(Answer),
    /// The index for a reader.
    ReadIndex(Index),
    /// Taken.
    Done,
    /// What each of the heartbeats brought.
    Taken(Vec<Taken>),
    /// This member does not lead.
    NotLeader(Option<SocketAddr>),
    /// The outcome is not known; the same may be called again.
    Unknown,
}

/// What a gateway has when it connects.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// Name of the gateway.
    pub gateway: String,
    /// Level that it knows.
    pub knows: Level,
    /// Version of the configuration in force there; 0 for none.
    pub version: u64,
    /// Revision of its directory; 0 for none.
    pub directory: Revision,
    /// Revision of the orders about data halls that it obeys; `None` if it never heard of any.
    pub evacuations: Option<Revision>,
    /// Revision of the roll-outs that it goes by; `None` if it never heard of any.
    pub rollouts: Option<Revision>,
    /// Data hall of the gateway.
    pub data_hall: String,
    /// Whether it only wants to know where members are and whether this one hears a leader, and is sent neither
    /// configurations nor targets.
    pub looks: bool,
    /// Where other gateways fetch parcels from it, if it passes them on and fetches some itself.
    pub passes_on_at: Option<SocketAddr>,
}

/// A parcel that another gateway has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// The parcel.
    pub parcel: ParcelId,
    /// Where to fetch it.
    pub at: SocketAddr,
}

/// A frame on a connection that a gateway made to another.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum ToNeighbour {
    /// Wants a parcel.
    Fetch(ParcelId),
}

/// A frame on the way back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromNeighbour {
    /// The bytes of the parcel.
    Parcel(Bytes),
    /// The parcel is not here.
    Unknown,
}

/// News for a gateway.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Whether the member has heard a leader lately.
    pub fresh: bool,
    /// Version of the configuration that the member holds; 0 for none.
    pub version: u64,
    /// Data halls that ever had an order, when the gateway lacks the newest. They go with whatever is sent first,
    /// so that no gateway has targets or a configuration before.
    pub halls: Option<HallNews>,
    /// Roll-outs of services, when the gateway lacks the newest. They go like the orders about data halls.
    pub rollouts: Option<RolloutNews>,
    /// Bytes of parcels that the gateway lacks.
    pub parcels: Vec<Bytes>,
    /// A parcel that it lacks and is to fetch.
    pub elsewhere: Option<Elsewhere>,
    /// Where members are reached, when that changed.
    pub members: Option<Vec<SocketAddr>>,
    /// Gateways alive.
    pub gateways: u32,
    /// What all gateways have in flight at targets that have anything, when it is time for that.
    pub loads: Option<Loads>,
    /// How attempts of all gateways at targets went, where any failed, when it is time for that.
    pub evidence: Option<Vec<Evidence>>,
    /// Targets that keep prompts, since the last word, when it is time for that.
    pub keepers: Vec<PrefixHolder>,
    /// What part of a service's requests each route has, for roll-outs under way, when it is time for that.
    pub mixes: Vec<RolloutMix>,
    /// Requests under which targets ended and that gateways are to know, since the last word.
    pub poison: Vec<Report>,
}

impl Update {
    /// This and the update before it, as one.
    pub fn after(self, earlier: Update) -> Update {
        let mut parcels = earlier.parcels;
        parcels.extend(self.parcels);
        let mut keepers = earlier.keepers;
        keepers.extend(self.keepers);
        let mut poison = earlier.poison;
        poison.extend(self.poison);
        Update {
            parcels,
            keepers,
            poison,
            mixes: if self.mixes.is_empty() { earlier.mixes } else { self.mixes },
            elsewhere: self.elsewhere.or(earlier.elsewhere),
            members: self.members.or(earlier.members),
            halls: self.halls.or(earlier.halls),
            rollouts: self.rollouts.or(earlier.rollouts),
            loads: self.loads.or(earlier.loads),
            evidence: self.evidence.or(earlier.evidence),
            ..self
        }
    }
}

/// Orders about data halls, as gateways are told of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallNews {
    /// Revision that last changed anything for a hall; 0 before the first order.
    pub revision: Revision,
    /// Halls that are not as they were at first.
    pub halls: Vec<HallState>,
}

/// A data hall that was evacuated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallState {
    /// Its name.
    pub data_hall: String,
    /// Revision since which it is so.
    pub since: Revision,
    /// How it is now.
    pub state: Evacuation,
}

/// How a data hall is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evacuation {
    /// Its targets are to be sent nothing more.
    InForce,
    /// Its targets take work again.
    Withdrawn {
        /// For how long the member has known so, in milliseconds.
        for_ms: u64,
    },
}
