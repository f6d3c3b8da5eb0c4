//! Frames to a member.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::with;
use crate::compat::base;
use crate::compat::parts::{self, Parts};
use crate::directory::Announcement;
use crate::group::evidence::{Evidence, Outcomes};
use crate::group::message::{Call, Subscription, ToMember};
use crate::group::prefix_holders::PrefixHolder;
use crate::level::Level;
use crate::link::{LinkError, Message};
use crate::parcel::ParcelId;
use crate::raft::Envelope;
use crate::rollout::tally::Tallies;
use crate::store::Revision;

/// Parts of frames to a member, each with what it holds.
mod tag {
    /// [`super::Level`] that the sender knows, behind messages of the agreement.
    pub(super) const KNOWS: u8 = 1;
    /// All [`super::Announcement`]s of a batch.
    pub(super) const ANNOUNCED: u8 = 2;
    /// [`super::MemberSaw`].
    pub(super) const MEMBER_SAW: u8 = 3;
    /// [`super::GatewaySaw`].
    pub(super) const GATEWAY_SAW: u8 = 4;
    /// Reports of requests under which targets ended.
    pub(super) const POISON: u8 = 5;
    /// [`super::Revision`] of the orders about data halls.
    pub(super) const OBEYS: u8 = 6;
    /// [`super::GatewayHas`].
    pub(super) const SUBSCRIBES: u8 = 7;
}

/// What the gateways of a member saw.
#[derive(Serialize, Deserialize)]
struct MemberSaw<'a> {
    evidence: Cow<'a, [Evidence]>,
    keepers: Cow<'a, [PrefixHolder]>,
    tallies: Cow<'a, Tallies>,
}

/// What a gateway saw.
#[derive(Serialize, Deserialize)]
struct GatewaySaw<'a> {
    outcomes: Cow<'a, [Outcomes]>,
    keepers: Cow<'a, [PrefixHolder]>,
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

impl Message for ToMember {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        match self {
            ToMember::Agreement { from, messages, knows } => {
                let messages = Cow::Borrowed(messages.as_slice());
                with(&base::ToMember::Agreement { from: *from, messages }, tag::KNOWS, knows)
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
                with(&message, tag::MEMBER_SAW, &saw)
            }
            ToMember::Loads { loads, outcomes, keepers, tallies } => {
                let saw = GatewaySaw {
                    outcomes: Cow::Borrowed(outcomes),
                    keepers: Cow::Borrowed(keepers),
                    tallies: Cow::Borrowed(tallies),
                };
                let message = base::ToMember::Loads(Cow::Borrowed(loads));
                with(&message, tag::GATEWAY_SAW, &saw)
            }
            ToMember::Poison(reports) => with(&passed_over(), tag::POISON, reports),
            ToMember::MemberPoison { from, reports } => {
                let messages = Cow::Borrowed([].as_slice());
                let message = base::ToMember::Agreement { from: *from, messages };
                with(&message, tag::POISON, reports)
            }
            ToMember::InForce(version) => parts::encode(&base::ToMember::InForce(*version)),
            ToMember::Obeys(revision) => with(&passed_over(), tag::OBEYS, revision),
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
                with(&message, tag::SUBSCRIBES, &has)
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
                let saw = parts.get::<MemberSaw<'static>>(tag::MEMBER_SAW)?;
                let (evidence, keepers, tallies) =
                    saw.map(|saw| (saw.evidence, saw.keepers, saw.tallies)).unwrap_or_default();
                let (evidence, keepers) = (evidence.into_owned(), keepers.into_owned());
                let tallies = tallies.into_owned();
                ToMember::MemberLoads { from, loads, evidence, keepers, tallies }
            }
            base::ToMember::Loads(loads) => {
                let loads = loads.into_owned();
                let saw = parts.get::<GatewaySaw<'static>>(tag::GATEWAY_SAW)?;
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

fn agreement(
    from: SocketAddr,
    messages: Cow<'static, [Envelope]>,
    parts: Parts<'_>,
) -> Result<ToMember, LinkError> {
    if let Some(reports) = parts.get(tag::POISON)? {
        return Ok(ToMember::MemberPoison { from, reports });
    }
    let knows = parts.get(tag::KNOWS)?.unwrap_or_default();
    Ok(ToMember::Agreement { from, messages: messages.into_owned(), knows })
}

fn lacks(parcel: ParcelId, parts: Parts<'_>) -> Result<ToMember, LinkError> {
    if let Some(reports) = parts.get(tag::POISON)? {
        return Ok(ToMember::Poison(reports));
    }
    let obeys = parts.get(tag::OBEYS)?.map(ToMember::Obeys);
    Ok(obeys.unwrap_or(ToMember::Lacks(parcel)))
}

fn subscription_of(base: base::Subscription, parts: Parts<'_>) -> Result<Subscription, LinkError> {
    let has = parts.get::<GatewayHas>(tag::SUBSCRIBES)?;
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
        Call::Propose(command) => {
            parts::encode(&frame(base::Call::Propose(command.clone().into())))
        }
        Call::ReadIndex => parts::encode(&frame(base::Call::ReadIndex)),
        Call::Announce(all) => {
            // A leader of the first build takes one at a time; its answer tells that it took no more.
            let first = all.first().ok_or(LinkError::Garbled)?.clone();
            with(&frame(base::Call::Announce(first.into())), tag::ANNOUNCED, all)
        }
        Call::Heard(targets) => parts::encode(&frame(base::Call::Heard(targets.clone()))),
        Call::Join { store, addr, knows } => {
            let join = base::Call::Join { store: *store, addr: *addr };
            with(&frame(join), tag::KNOWS, knows)
        }
    }
}

fn call_of(call: base::Call, parts: Parts<'_>) -> Result<Call, LinkError> {
    Ok(match call {
        base::Call::Propose(command) => Call::Propose(command.into()),
        base::Call::ReadIndex => Call::ReadIndex,
        base::Call::Announce(first) => {
            let all = parts.get::<Vec<Announcement>>(tag::ANNOUNCED)?;
            Call::Announce(all.unwrap_or_else(|| vec![first.into()]))
        }
        base::Call::Heard(targets) => Call::Heard(targets),
        base::Call::Join { store, addr } => {
            let knows = parts.get(tag::KNOWS)?.unwrap_or_default();
            Call::Join { store, addr, knows }
        }
    })
}
