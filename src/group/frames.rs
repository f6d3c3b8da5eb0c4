//! Frames as they travel: a message that every build reads, and behind it what later builds added.
//!
//! What the first build has no message for goes behind one that it passes over: a gateway's word of a parcel that does
//! not exist, a member's word of no messages.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, Outcomes};
use super::heartbeats::Taken;
use super::keepers::Keeper;
use super::message::{
    Call, FromMember, FromNeighbour, HallNews, Reply, Subscription, ToMember, ToNeighbour, Update,
};
use crate::compat::base;
use crate::compat::parts::{self, Parts};
use crate::directory::Announcement;
use crate::level::Level;
use crate::link::{LinkError, Message};
use crate::parcel::ParcelId;
use crate::poison::Report;
use crate::rollout::RolloutNews;
use crate::rollout::division::RolloutMix;
use crate::rollout::tally::Tallies;
use crate::store::{Answer, Revision};

/// Parts of frames to a member, each with what it holds.
mod to_member {
    /// [`super::Level`] that the sender knows, behind messages of the agreement.
    pub(super) const KNOWS: u8 = 1;
    /// All [`super::Announcement`]s of a batch.
    pub(super) const ANNOUNCED: u8 = 2;
    /// [`super::MemberSaw`].
    pub(super) const MEMBER_SAW: u8 = 3;
    /// [`super::GatewaySaw`].
    pub(super) const GATEWAY_SAW: u8 = 4;
    /// [`super::Report`]s.
    pub(super) const POISON: u8 = 5;
    /// [`super::Revision`] of the orders about data halls.
    pub(super) const OBEYS: u8 = 6;
    /// [`super::GatewayHas`].
    pub(super) const SUBSCRIBES: u8 = 7;
}

/// Parts of frames of a member, each with what it holds.
mod from_member {
    /// What became of each announcement of a batch: [`super::Taken`].
    pub(super) const TAKEN: u8 = 1;
    /// [`super::News`].
    pub(super) const NEWS: u8 = 2;
}

/// What the gateways of a member saw.
#[derive(Serialize, Deserialize)]
struct MemberSaw<'a> {
    evidence: Cow<'a, [Evidence]>,
    keepers: Cow<'a, [Keeper]>,
    tallies: Cow<'a, Tallies>,
}

/// What a gateway saw.
#[derive(Serialize, Deserialize)]
struct GatewaySaw<'a> {
    outcomes: Cow<'a, [Outcomes]>,
    keepers: Cow<'a, [Keeper]>,
    tallies: Cow<'a, Tallies>,
}

/// What a gateway has when it connects.
#[derive(Serialize, Deserialize)]
struct GatewayHas {
    knows: Level,
    evacuations: Option<Revision>,
    rollouts: Option<Revision>,
    looks: bool,
}

/// News for a gateway.
#[derive(Serialize, Deserialize)]
struct News<'a> {
    halls: Option<Cow<'a, HallNews>>,
    rollouts: Option<Cow<'a, RolloutNews>>,
    evidence: Option<Cow<'a, [Evidence]>>,
    keepers: Cow<'a, [Keeper]>,
    mixes: Cow<'a, [RolloutMix]>,
    poison: Cow<'a, [Report]>,
}

impl Message for ToMember {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        match self {
            ToMember::Agreement { from, messages, knows } => {
                let messages = Cow::Borrowed(messages.as_slice());
                with(&base::ToMember::Agreement { from: *from, messages }, to_member::KNOWS, knows)
            }
            ToMember::Call { id, call } => call_bytes(*id, call),
            ToMember::Presence(gateways) => {
                parts::encode(&base::ToMember::Presence(Cow::Borrowed(gateways)))
            }
            ToMember::MemberLoads { from, loads, evidence, keepers, tallies } => {
                let loads = Cow::Borrowed(loads);
                let saw = MemberSaw {
                    evidence: Cow::Borrowed(evidence),
                    keepers: Cow::Borrowed(keepers),
                    tallies: Cow::Borrowed(tallies),
                };
                let message = base::ToMember::MemberLoads { from: *from, loads };
                with(&message, to_member::MEMBER_SAW, &saw)
            }
            ToMember::Loads { loads, outcomes, keepers, tallies } => {
                let saw = GatewaySaw {
                    outcomes: Cow::Borrowed(outcomes),
                    keepers: Cow::Borrowed(keepers),
                    tallies: Cow::Borrowed(tallies),
                };
                let message = base::ToMember::Loads(Cow::Borrowed(loads));
                with(&message, to_member::GATEWAY_SAW, &saw)
            }
            ToMember::Poison(reports) => with(&passed_over(), to_member::POISON, reports),
            ToMember::MemberPoison { from, reports } => {
                let messages = Cow::Borrowed([].as_slice());
                let message = base::ToMember::Agreement { from: *from, messages };
                with(&message, to_member::POISON, reports)
            }
            ToMember::InForce(version) => parts::encode(&base::ToMember::InForce(*version)),
            ToMember::Obeys(revision) => with(&passed_over(), to_member::OBEYS, revision),
            ToMember::Has(parcel) => parts::encode(&base::ToMember::Has(*parcel)),
            ToMember::Lacks(parcel) => parts::encode(&base::ToMember::Lacks(*parcel)),
            ToMember::Subscribe(subscription) => {
                let Subscription { gateway, version, directory, data_hall, passes_on_at, .. } =
                    subscription.clone();
                let message = base::ToMember::Subscribe(base::Subscription {
                    gateway,
                    version,
                    directory,
                    data_hall,
                    passes_on_at,
                });
                let has = GatewayHas {
                    knows: subscription.knows,
                    evacuations: subscription.evacuations,
                    rollouts: subscription.rollouts,
                    looks: subscription.looks,
                };
                with(&message, to_member::SUBSCRIBES, &has)
            }
        }
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        let (message, parts) = parts::decode::<base::ToMember<'static>>(bytes)?;
        Ok(match message {
            base::ToMember::Agreement { from, messages } => agreement(from, messages, parts)?,
            base::ToMember::Call { id, call } => ToMember::Call { id, call: call_of(call, parts)? },
            base::ToMember::Presence(gateways) => ToMember::Presence(gateways.into_owned()),
            base::ToMember::MemberLoads { from, loads } => {
                let loads = loads.into_owned();
                let saw = parts.get::<MemberSaw<'static>>(to_member::MEMBER_SAW)?;
                let (evidence, keepers, tallies) =
                    saw.map(|saw| (saw.evidence, saw.keepers, saw.tallies)).unwrap_or_default();
                let (evidence, keepers) = (evidence.into_owned(), keepers.into_owned());
                let tallies = tallies.into_owned();
                ToMember::MemberLoads { from, loads, evidence, keepers, tallies }
            }
            base::ToMember::Loads(loads) => {
                let loads = loads.into_owned();
                let saw = parts.get::<GatewaySaw<'static>>(to_member::GATEWAY_SAW)?;
                let (outcomes, keepers, tallies) =
                    saw.map(|saw| (saw.outcomes, saw.keepers, saw.tallies)).unwrap_or_default();
                let (outcomes, keepers) = (outcomes.into_owned(), keepers.into_owned());
                ToMember::Loads { loads, outcomes, keepers, tallies: tallies.into_owned() }
            }
            base::ToMember::InForce(version) => ToMember::InForce(version),
            base::ToMember::Has(parcel) => ToMember::Has(parcel),
            base::ToMember::Lacks(parcel) => lacks(parcel, parts)?,
            base::ToMember::Subscribe(subscription) => {
                ToMember::Subscribe(subscription_of(subscription, parts)?)
            }
        })
    }
}

/// A frame of a gateway that the first build passes over.
fn passed_over() -> base::ToMember<'static> {
    base::ToMember::Lacks(ParcelId::NONE)
}

fn with(message: &impl Serialize, tag: u8, content: &impl Serialize) -> Result<Vec<u8>, LinkError> {
    let mut bytes = parts::encode(message)?;
    parts::add(&mut bytes, tag, content)?;
    Ok(bytes)
}

fn agreement(
    from: SocketAddr,
    messages: Cow<'static, [crate::raft::Envelope]>,
    parts: Parts<'_>,
) -> Result<ToMember, LinkError> {
    if let Some(reports) = parts.get(to_member::POISON)? {
        return Ok(ToMember::MemberPoison { from, reports });
    }
    let knows = parts.get(to_member::KNOWS)?.unwrap_or_default();
    Ok(ToMember::Agreement { from, messages: messages.into_owned(), knows })
}

fn lacks(parcel: ParcelId, parts: Parts<'_>) -> Result<ToMember, LinkError> {
    if let Some(reports) = parts.get(to_member::POISON)? {
        return Ok(ToMember::Poison(reports));
    }
    let obeys = parts.get(to_member::OBEYS)?.map(ToMember::Obeys);
    Ok(obeys.unwrap_or(ToMember::Lacks(parcel)))
}

fn subscription_of(base: base::Subscription, parts: Parts<'_>) -> Result<Subscription, LinkError> {
    let has = parts.get::<GatewayHas>(to_member::SUBSCRIBES)?;
    let base::Subscription { gateway, version, directory, data_hall, passes_on_at } = base;
    Ok(Subscription {
        gateway,
        knows: has.as_ref().map_or(Level::BASE, |has| has.knows),
        version,
        directory,
        evacuations: has.as_ref().and_then(|has| has.evacuations),
        rollouts: has.as_ref().and_then(|has| has.rollouts),
        data_hall,
        looks: has.is_some_and(|has| has.looks),
        passes_on_at,
    })
}

fn call_bytes(id: u64, call: &Call) -> Result<Vec<u8>, LinkError> {
    let frame = |call| base::ToMember::Call { id, call };
    match call {
        Call::Propose(command) => parts::encode(&frame(base::Call::propose(command.clone()))),
        Call::ReadIndex => parts::encode(&frame(base::Call::ReadIndex)),
        Call::Announce(all) => {
            // A leader of the first build takes one at a time; its answer tells that it took no more.
            let first = all.first().ok_or(LinkError::Garbled)?.clone();
            with(&frame(base::Call::Announce(first.into())), to_member::ANNOUNCED, all)
        }
        Call::Heard(targets) => parts::encode(&frame(base::Call::Heard(targets.clone()))),
        Call::Join { store, addr, knows } => {
            let join = base::Call::Join { store: *store, addr: *addr };
            with(&frame(join), to_member::KNOWS, knows)
        }
    }
}

fn call_of(call: base::Call, parts: Parts<'_>) -> Result<Call, LinkError> {
    Ok(match call {
        base::Call::Propose(command) => Call::Propose(command.into()),
        base::Call::ReadIndex => Call::ReadIndex,
        base::Call::Announce(first) => {
            let all = parts.get::<Vec<Announcement>>(to_member::ANNOUNCED)?;
            Call::Announce(all.unwrap_or_else(|| vec![first.into()]))
        }
        base::Call::Heard(targets) => Call::Heard(targets),
        base::Call::Join { store, addr } => {
            let knows = parts.get(to_member::KNOWS)?.unwrap_or_default();
            Call::Join { store, addr, knows }
        }
    })
}

impl Message for ToNeighbour {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        parts::encode(self)
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        parts::decode(bytes).map(|(message, _)| message)
    }
}

impl Message for FromNeighbour {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        parts::encode(self)
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        parts::decode(bytes).map(|(message, _)| message)
    }
}

impl Message for FromMember {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        match self {
            FromMember::Reply { id, reply } => reply_bytes(*id, reply),
            FromMember::Update(update) => update_bytes(update),
        }
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        let (message, parts) = parts::decode::<base::FromMember<'static>>(bytes)?;
        Ok(match message {
            base::FromMember::Reply { id, reply } => {
                let taken = parts.get(from_member::TAKEN)?;
                let reply = taken.map_or_else(|| reply_of(reply), Reply::Taken);
                FromMember::Reply { id, reply }
            }
            base::FromMember::Update(update) => {
                FromMember::Update(Box::new(update_of(*update, parts)?))
            }
        })
    }
}

fn reply_bytes(id: u64, reply: &Reply) -> Result<Vec<u8>, LinkError> {
    let frame = |reply| base::FromMember::Reply { id, reply };
    match reply {
        Reply::Answer(answer) => parts::encode(&frame(base::Reply::Answer(answer.clone()))),
        Reply::ReadIndex(index) => parts::encode(&frame(base::Reply::ReadIndex(*index))),
        Reply::Done => parts::encode(&frame(base::Reply::Done)),
        Reply::Taken(taken) => {
            // A caller of the first build announced one.
            let reply = match taken.first() {
                Some(Taken::News) => base::Reply::Answer(Answer::Listed),
                _ => base::Reply::Done,
            };
            with(&frame(reply), from_member::TAKEN, taken)
        }
        Reply::NotLeader(leader) => parts::encode(&frame(base::Reply::NotLeader(*leader))),
        Reply::Unknown => parts::encode(&frame(base::Reply::Unknown)),
    }
}

fn reply_of(reply: base::Reply) -> Reply {
    match reply {
        base::Reply::Answer(answer) => Reply::Answer(answer),
        base::Reply::ReadIndex(index) => Reply::ReadIndex(index),
        base::Reply::Done => Reply::Done,
        base::Reply::NotLeader(leader) => Reply::NotLeader(leader),
        base::Reply::Unknown => Reply::Unknown,
    }
}

fn update_bytes(update: &Update) -> Result<Vec<u8>, LinkError> {
    let message = base::Update {
        fresh: update.fresh,
        version: update.version,
        parcels: Cow::Borrowed(&update.parcels),
        elsewhere: update.elsewhere,
        members: update.members.clone(),
        gateways: update.gateways,
        loads: update.loads.as_ref().map(Cow::Borrowed),
    };
    let news = News {
        halls: update.halls.as_ref().map(Cow::Borrowed),
        rollouts: update.rollouts.as_ref().map(Cow::Borrowed),
        evidence: update.evidence.as_deref().map(Cow::Borrowed),
        keepers: Cow::Borrowed(&update.keepers),
        mixes: Cow::Borrowed(&update.mixes),
        poison: Cow::Borrowed(&update.poison),
    };
    with(&base::FromMember::Update(Box::new(message)), from_member::NEWS, &news)
}

/// A member of the first build knows of no orders, and there are none while its group is at its level.
fn update_of(base: base::Update<'static>, parts: Parts<'_>) -> Result<Update, LinkError> {
    let news = parts.get::<News<'static>>(from_member::NEWS)?;
    let news = news.unwrap_or_else(|| News {
        halls: Some(Cow::Owned(HallNews::default())),
        rollouts: Some(Cow::Owned(RolloutNews::default())),
        evidence: None,
        keepers: Cow::default(),
        mixes: Cow::default(),
        poison: Cow::default(),
    });
    Ok(Update {
        fresh: base.fresh,
        version: base.version,
        halls: news.halls.map(Cow::into_owned),
        rollouts: news.rollouts.map(Cow::into_owned),
        parcels: base.parcels.into_owned(),
        elsewhere: base.elsewhere,
        members: base.members,
        gateways: base.gateways,
        loads: base.loads.map(Cow::into_owned),
        evidence: news.evidence.map(Cow::into_owned),
        keepers: news.keepers.into_owned(),
        mixes: news.mixes.into_owned(),
        poison: news.poison.into_owned(),
    })
}
