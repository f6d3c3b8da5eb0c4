//! Encoding of frames from a member.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::encode_with_part;
use crate::compat::base;
use crate::compat::parts::{self, Parts};
use crate::group::brittle::BrittleService;
use crate::group::evidence::Evidence;
use crate::group::heartbeats::HeartbeatOutcome;
use crate::group::message::{EvacuationsUpdate, FromMember, Reply, Update};
use crate::group::prefix_holders::PrefixHolder;
use crate::group::relay_peers::RelayPeer;
use crate::group::restarts::SuspectedRestart;
use crate::group::stream_origins::StreamOrigin;
use crate::link::{LinkError, Message};
use crate::poison::Report;
use crate::rollout::RolloutsUpdate;
use crate::rollout::route_mix::RolloutMix;
use crate::store::Answer;

/// Tags of the parts of these frames.
mod tag {
    /// A [`super::HeartbeatOutcome`] for each announcement of a batch.
    pub(super) const OUTCOMES: u8 = 1;
    /// [`super::AddedFields`] of an update.
    pub(super) const UPDATE_FIELDS: u8 = 2;
    /// [`super::RelayPeer`]s for the gateway; a part only if they changed.
    pub(super) const RELAY_PEERS: u8 = 3;
    /// [`super::StreamOrigin`]s that the gateway asked for; a part only if there are any.
    pub(super) const STREAMS: u8 = 4;
    /// [`super::BrittleService`]s; a part only if they changed.
    pub(super) const BRITTLE: u8 = 5;
    /// Addresses of the gateways that dispatch to brittle targets; a part only if they changed.
    pub(super) const DISPATCHERS: u8 = 6;
    /// [`super::SuspectedRestart`]s; a part only if there are any.
    pub(super) const RESTARTS: u8 = 7;
}

/// Fields of an [`Update`] that the first build does not have.
#[derive(Serialize, Deserialize)]
struct AddedFields<'a> {
    evacuations: Option<Cow<'a, EvacuationsUpdate>>,
    rollouts: Option<Cow<'a, RolloutsUpdate>>,
    evidence: Option<Cow<'a, [Evidence]>>,
    prefix_holders: Cow<'a, [PrefixHolder]>,
    mixes: Cow<'a, [RolloutMix]>,
    poison: Cow<'a, [Report]>,
}

impl Message for FromMember {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        match self {
            FromMember::Reply { id, reply } => encode_reply(*id, reply),
            FromMember::Update(update) => encode_update(update),
        }
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        let (message, parts) = parts::decode::<base::FromMember<'static>>(bytes)?;
        Ok(match message {
            base::FromMember::Reply { id, reply } => {
                let outcomes = parts.get(tag::OUTCOMES)?;
                let reply = outcomes.map_or_else(|| decode_reply(reply), Reply::Announced);
                FromMember::Reply { id, reply }
            }
            base::FromMember::Update(update) => {
                FromMember::Update(Box::new(decode_update(*update, parts)?))
            }
        })
    }
}

fn encode_reply(id: u64, reply: &Reply) -> Result<Vec<u8>, LinkError> {
    let frame = |reply| base::FromMember::Reply { id, reply };
    match reply {
        Reply::Answer(answer) => parts::encode(&frame(base::Reply::Answer(answer.clone()))),
        Reply::ReadIndex(index) => parts::encode(&frame(base::Reply::ReadIndex(*index))),
        Reply::Done => parts::encode(&frame(base::Reply::Done)),
        Reply::Announced(outcomes) => {
            // A caller of the first build sends one announcement, and reads only the reply without the part.
            let reply = match outcomes.first() {
                Some(HeartbeatOutcome::Changed) => base::Reply::Answer(Answer::Listed),
                _ => base::Reply::Done,
            };
            encode_with_part(&frame(reply), tag::OUTCOMES, outcomes)
        }
        Reply::NotLeader(leader) => parts::encode(&frame(base::Reply::NotLeader(*leader))),
        Reply::Unknown => parts::encode(&frame(base::Reply::Unknown)),
    }
}

fn decode_reply(reply: base::Reply) -> Reply {
    match reply {
        base::Reply::Answer(answer) => Reply::Answer(answer),
        base::Reply::ReadIndex(index) => Reply::ReadIndex(index),
        base::Reply::Done => Reply::Done,
        base::Reply::NotLeader(leader) => Reply::NotLeader(leader),
        base::Reply::Unknown => Reply::Unknown,
    }
}

fn encode_update(update: &Update) -> Result<Vec<u8>, LinkError> {
    let message = base::Update {
        fresh: update.fresh,
        version: update.version,
        blobs: Cow::Borrowed(&update.blobs),
        blob_source: update.blob_source,
        members: update.members.clone(),
        gateways: update.gateways,
        loads: update.loads.as_ref().map(Cow::Borrowed),
    };
    let added = AddedFields {
        evacuations: update.evacuations.as_ref().map(Cow::Borrowed),
        rollouts: update.rollouts.as_ref().map(Cow::Borrowed),
        evidence: update.evidence.as_deref().map(Cow::Borrowed),
        prefix_holders: Cow::Borrowed(&update.prefix_holders),
        mixes: Cow::Borrowed(&update.mixes),
        poison: Cow::Borrowed(&update.poison),
    };
    let message = base::FromMember::Update(Box::new(message));
    let mut bytes = encode_with_part(&message, tag::UPDATE_FIELDS, &added)?;
    if let Some(peers) = &update.relay_peers {
        parts::add(&mut bytes, tag::RELAY_PEERS, peers)?;
    }
    if !update.streams.is_empty() {
        parts::add(&mut bytes, tag::STREAMS, &update.streams)?;
    }
    if let Some(services) = &update.brittle {
        parts::add(&mut bytes, tag::BRITTLE, services)?;
    }
    if let Some(dispatchers) = &update.dispatchers {
        parts::add(&mut bytes, tag::DISPATCHERS, dispatchers)?;
    }
    if !update.restarts.is_empty() {
        parts::add(&mut bytes, tag::RESTARTS, &update.restarts)?;
    }
    Ok(bytes)
}

/// Decodes an update. One without [`AddedFields`] comes from a member of the first build. Its group can have no
/// evacuation orders and no roll-outs at that level, so the update counts as saying that there are none.
fn decode_update(base: base::Update<'static>, parts: Parts<'_>) -> Result<Update, LinkError> {
    let added = parts.get::<AddedFields<'static>>(tag::UPDATE_FIELDS)?;
    let added = added.unwrap_or_else(|| AddedFields {
        evacuations: Some(Cow::Owned(EvacuationsUpdate::default())),
        rollouts: Some(Cow::Owned(RolloutsUpdate::default())),
        evidence: None,
        prefix_holders: Cow::default(),
        mixes: Cow::default(),
        poison: Cow::default(),
    });
    Ok(Update {
        fresh: base.fresh,
        version: base.version,
        evacuations: added.evacuations.map(Cow::into_owned),
        rollouts: added.rollouts.map(Cow::into_owned),
        blobs: base.blobs.into_owned(),
        blob_source: base.blob_source,
        members: base.members,
        gateways: base.gateways,
        loads: base.loads.map(Cow::into_owned),
        evidence: added.evidence.map(Cow::into_owned),
        prefix_holders: added.prefix_holders.into_owned(),
        mixes: added.mixes.into_owned(),
        poison: added.poison.into_owned(),
        relay_peers: parts.get::<Vec<RelayPeer>>(tag::RELAY_PEERS)?,
        streams: parts.get::<Vec<StreamOrigin>>(tag::STREAMS)?.unwrap_or_default(),
        brittle: parts.get::<Vec<BrittleService>>(tag::BRITTLE)?,
        dispatchers: parts.get::<Vec<SocketAddr>>(tag::DISPATCHERS)?,
        restarts: parts.get::<Vec<SuspectedRestart>>(tag::RESTARTS)?.unwrap_or_default(),
    })
}
