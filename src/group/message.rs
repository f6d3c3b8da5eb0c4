//! Messages that members and gateways exchange: member to member, gateway to member and back, and gateway to gateway.
//!
//! Their encoding is in `frames`, which keeps frames to and from members readable for earlier builds.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::brittle::BrittleService;
use super::evidence::{Evidence, Outcomes};
use super::heartbeats::HeartbeatOutcome;
use super::loads::Loads;
use super::prefix_holders::PrefixHolder;
use super::relay_peers::RelayPeer;
use super::restarts::SuspectedRestart;
use super::stream_origins::{StreamKey, StreamOrigin};
use crate::blob::BlobId;
use crate::directory::Announcement;
use crate::level::Level;
use crate::poison::Report;
use crate::raft::{Envelope, Index, StoreId};
use crate::rollout::RolloutsUpdate;
use crate::rollout::route_mix::RolloutMix;
use crate::rollout::tally::Tallies;
use crate::store::{Answer, Command, Revision};

/// A frame to a member, on a connection that another member or a gateway opened.
#[derive(Clone, Debug)]
pub enum ToMember {
    /// Raft messages, from a member.
    Raft {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The messages.
        messages: Vec<Envelope>,
        /// Highest level that the sender and all gateways connected to it support.
        supported_level: Level,
    },
    /// A request that is answered with a [`Reply`].
    Call {
        /// Chosen by the caller; repeated in the reply.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Names of the gateways that are connected to the sending member.
    Presence(Vec<String>),
    /// What a member's gateways reported, summed up, for the other members.
    MemberLoads {
        /// Peer address of the sender.
        from: SocketAddr,
        /// Requests that its gateways have in flight, by target.
        loads: Loads,
        /// Outcomes of their attempts at targets, for targets with failures.
        evidence: Vec<Evidence>,
        /// Prefix holders that they reported since the previous message.
        prefix_holders: Vec<PrefixHolder>,
        /// Outcomes by version for each roll-out in progress, since it was ordered.
        tallies: Tallies,
        /// Origins of streams that they reported since the previous message.
        streams: Vec<StreamOrigin>,
    },
    /// Periodic report of the gateway on this connection.
    Loads {
        /// Requests that it has in flight, by target.
        loads: Loads,
        /// Outcomes of its attempts since its previous report.
        outcomes: Vec<Outcomes>,
        /// Prefix holders that it learned of since its previous report.
        prefix_holders: Vec<PrefixHolder>,
        /// Outcomes by version for each roll-out in progress, since its previous report.
        tallies: Tallies,
        /// Origins of streams that it began since its previous report.
        streams: Vec<StreamOrigin>,
    },
    /// Origins of streams that the gateway on this connection has just begun, while several versions serve. Its next
    /// report of loads repeats them, since members of earlier builds pass over this message.
    Streams(Vec<StreamOrigin>),
    /// The gateway on this connection asks for the origins of these streams. It is told those that the member knows.
    FindStreams(Vec<StreamKey>),
    /// Services whose targets say that they are brittle, as the gateway on this connection knows from their answers.
    Brittle(Vec<BrittleService>),
    /// The same services, as another member's gateways know them.
    MemberBrittle {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The services.
        services: Vec<BrittleService>,
    },
    /// Reports of the gateway on this connection about suspected poison requests: requests during which targets ended,
    /// and those of them that a target completed since.
    Poison(Vec<Report>),
    /// The same reports, passed on by another member.
    MemberPoison {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The reports.
        reports: Vec<Report>,
    },
    /// Incarnations of targets that may have ended, as the gateway on this connection noticed.
    SuspectedRestarts(Vec<SuspectedRestart>),
    /// The same reports, passed on by another member.
    MemberSuspectedRestarts {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The incarnations.
        restarts: Vec<SuspectedRestart>,
    },
    /// Gateways connected to another member that send requests on behalf of other gateways.
    MemberRelayPeers {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The gateways.
        peers: Vec<RelayPeer>,
    },
    /// The gateway on this connection now applies the configuration of this version.
    ConfigurationInForce(u64),
    /// The gateway on this connection now applies the evacuation orders up to this revision.
    EvacuationsInForce(Revision),
    /// The gateway on this connection has this large blob, from the member or from a peer gateway.
    HasBlob(BlobId),
    /// The gateway on this connection could not fetch this blob from the [`BlobSource`] that it was given.
    BlobFetchFailed(BlobId),
    /// The gateway on this connection subscribes to updates; the first frame that it sends.
    Subscribe(Subscription),
}

/// A frame from a member, on the same connection.
#[derive(Clone, Debug)]
pub enum FromMember {
    /// The reply to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// The reply.
        reply: Reply,
    },
    /// An update for a gateway; one without changes serves as a keep-alive.
    Update(Box<Update>),
}

/// A request to a member; all but [`Call::ReadIndex`] change state. Each may be repeated without harm.
#[derive(Clone, Debug)]
pub enum Call {
    /// Commit a command to the Raft log.
    Propose(Command),
    /// Return the log index that a reader must have applied in order to see every acknowledged change.
    ReadIndex,
    /// Handle heartbeats of targets, and commit those that change the directory.
    Announce(Vec<Announcement>),
    /// Record as alive the targets whose heartbeats the caller answered itself; given by their keys.
    ReportHeartbeats(Vec<u64>),
    /// Add a member, named by its store, to the group.
    Join {
        /// Id of its store.
        store: StoreId,
        /// Its peer address.
        addr: SocketAddr,
        /// Highest level that it supports.
        supported_level: Level,
    },
}

/// The reply to a [`Call`].
#[derive(Clone, Debug)]
pub enum Reply {
    /// The store's answer to a committed command.
    Answer(Answer),
    /// The log index for [`Call::ReadIndex`].
    ReadIndex(Index),
    /// The call was carried out.
    Done,
    /// Outcome of each heartbeat of a [`Call::Announce`], in order; may cover only the first of them.
    Announced(Vec<HeartbeatOutcome>),
    /// This member is not the leader; address of the leader, if known.
    NotLeader(Option<SocketAddr>),
    /// The outcome is unknown; the call may be repeated.
    Unknown,
}

/// What a gateway has when it subscribes, so that the member sends only what it lacks.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// Name of the gateway.
    pub gateway: String,
    /// Highest level that it supports.
    pub supported_level: Level,
    /// Version of the configuration in force there; 0 for none.
    pub version: u64,
    /// Revision of its directory; 0 for none.
    pub directory: Revision,
    /// Revision of the evacuation orders that it applies; `None` if it never received any state of them.
    pub evacuations: Option<Revision>,
    /// Revision of the roll-outs that it applies; `None` if it never received any state of them.
    pub rollouts: Option<Revision>,
    /// Data hall of the gateway.
    pub data_hall: String,
    /// Whether it only asks for the addresses of members and whether this one has contact with a leader. It is then
    /// sent neither configurations nor targets.
    pub status_only: bool,
    /// Address where peer gateways fetch blobs from it; `None` if it takes no part in peer-to-peer distribution.
    pub serves_blobs_at: Option<SocketAddr>,
    /// Whether it sends requests on behalf of other gateways, which connect to the same address.
    pub relays: bool,
}

/// A blob, and the peer gateway to fetch it from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlobSource {
    /// The blob.
    pub blob: BlobId,
    /// Address where the peer gateway serves it.
    pub addr: SocketAddr,
}

/// A frame to a peer gateway, on a connection that a gateway opened.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum ToPeer {
    /// Asks for a blob.
    Fetch(BlobId),
}

/// A frame from a peer gateway, on the same connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromPeer {
    /// The bytes of the blob.
    Blob(Bytes),
    /// This gateway does not have the blob.
    Unknown,
}

/// State that a member pushes to a gateway. Fields that are `None` or empty did not change, or are not due yet.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Whether the member has had contact with a leader recently.
    pub fresh: bool,
    /// Version of the configuration that the member holds; 0 for none.
    pub version: u64,
    /// Evacuation orders, if the gateway lacks the newest. They are sent before or with any blob, so that no gateway
    /// has targets or a configuration without them.
    pub evacuations: Option<EvacuationsUpdate>,
    /// Roll-outs, if the gateway lacks the newest; sent before or with any blob too.
    pub rollouts: Option<RolloutsUpdate>,
    /// Blobs that the gateway lacks.
    pub blobs: Vec<Bytes>,
    /// A blob that the gateway lacks and must fetch from a peer.
    pub blob_source: Option<BlobSource>,
    /// Peer addresses of the members, if they changed.
    pub members: Option<Vec<SocketAddr>>,
    /// Number of live gateways.
    pub gateways: u32,
    /// Requests that all gateways have in flight, by target, for targets that have any; sent periodically.
    pub loads: Option<Loads>,
    /// Outcomes of all gateways' attempts, for targets with failures; sent with `loads`.
    pub evidence: Option<Vec<Evidence>>,
    /// Prefix holders reported since the previous update with `loads`; sent with `loads`.
    pub prefix_holders: Vec<PrefixHolder>,
    /// Share of a service's requests that each route has, for roll-outs in progress; sent with `loads`.
    pub mixes: Vec<RolloutMix>,
    /// Suspected poison requests that changed since the previous update.
    pub poison: Vec<Report>,
    /// Gateways that send requests on behalf of this one, if they changed; never empty.
    pub relay_peers: Option<Vec<RelayPeer>>,
    /// Origins of streams that the gateway asked for.
    pub streams: Vec<StreamOrigin>,
    /// Services with brittle targets, if they changed.
    pub brittle: Option<Vec<BrittleService>>,
    /// Addresses of the gateways that dispatch to brittle targets, if they changed and a service is brittle.
    pub dispatchers: Option<Vec<SocketAddr>>,
    /// Incarnations of targets that may have ended, reported since the previous update with any.
    pub restarts: Vec<SuspectedRestart>,
}

impl Update {
    /// Merges an earlier update into this one: lists are joined, else the newest value counts.
    pub fn merge_earlier(self, earlier: Update) -> Update {
        let mut blobs = earlier.blobs;
        blobs.extend(self.blobs);
        let mut prefix_holders = earlier.prefix_holders;
        prefix_holders.extend(self.prefix_holders);
        let mut poison = earlier.poison;
        poison.extend(self.poison);
        let mut streams = earlier.streams;
        streams.extend(self.streams);
        let mut restarts = earlier.restarts;
        restarts.extend(self.restarts);
        Update {
            blobs,
            prefix_holders,
            poison,
            streams,
            restarts,
            mixes: if self.mixes.is_empty() { earlier.mixes } else { self.mixes },
            blob_source: self.blob_source.or(earlier.blob_source),
            members: self.members.or(earlier.members),
            evacuations: self.evacuations.or(earlier.evacuations),
            rollouts: self.rollouts.or(earlier.rollouts),
            loads: self.loads.or(earlier.loads),
            evidence: self.evidence.or(earlier.evidence),
            relay_peers: self.relay_peers.or(earlier.relay_peers),
            dispatchers: self.dispatchers.or(earlier.dispatchers),
            brittle: self.brittle.or(earlier.brittle),
            ..self
        }
    }
}

/// State of the evacuation orders, as sent to gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsUpdate {
    /// Revision of the newest change to a data hall's state; 0 before the first order.
    pub revision: Revision,
    /// Data halls that are evacuated, or were and are not known to be warm again.
    pub halls: Vec<HallState>,
}

/// A data hall that is or was evacuated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallState {
    /// Its name.
    pub data_hall: String,
    /// Revision of the order that brought the data hall to this state.
    pub since: Revision,
    /// Whether the evacuation is in force.
    pub state: Evacuation,
}

/// State of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evacuation {
    /// Targets of the data hall are sent no new requests.
    InForce,
    /// Targets of the data hall take requests again.
    Withdrawn {
        /// How long the member has known of the withdrawal, in milliseconds.
        for_ms: u64,
    },
}
