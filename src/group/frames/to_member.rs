//! Encoding of frames to a member.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::encode_with_part;
use crate::blob::BlobId;
use crate::compat::base;
use crate::compat::parts::{self, Parts};
use crate::directory::Announcement;
use crate::group::evidence::{Evidence, Outcomes};
use crate::group::message::{Call, Subscription, ToMember};
use crate::group::prefix_holders::PrefixHolder;
use crate::group::relay_peers::RelayPeer;
use crate::group::restarts::SuspectedRestart;
use crate::group::stream_origins::StreamOrigin;
use crate::level::Level;
use crate::link::{LinkError, Message};
use crate::raft::Envelope;
use crate::rollout::tally::Tallies;
use crate::store::Revision;

/// Tags of the parts of these frames.
mod tag {
    /// [`super::Level`] that the sender supports, behind Raft messages or a request to join.
    pub(super) const SUPPORTED_LEVEL: u8 = 1;
    /// All [`super::Announcement`]s of a batch.
    pub(super) const ANNOUNCEMENTS: u8 = 2;
    /// [`super::MemberReport`].
    pub(super) const MEMBER_REPORT: u8 = 3;
    /// [`super::GatewayReport`].
    pub(super) const GATEWAY_REPORT: u8 = 4;
    /// Reports about suspected poison requests.
    pub(super) const POISON: u8 = 5;
    /// [`super::Revision`] of the evacuation orders that the gateway applies.
    pub(super) const EVACUATIONS_IN_FORCE: u8 = 6;
    /// [`super::SubscriptionFields`].
    pub(super) const SUBSCRIPTION: u8 = 7;
    /// Whether a subscribing gateway sends requests on behalf of others; a part only if it does.
    pub(super) const RELAYS: u8 = 8;
    /// [`super::RelayPeer`]s of a member.
    pub(super) const RELAY_PEERS: u8 = 9;
    /// [`super::StreamOrigin`]s behind a report of loads, where it is a part only if there are any, or on their own.
    pub(super) const STREAMS: u8 = 10;
    /// Keys of streams whose origins a gateway asks for.
    pub(super) const FIND_STREAMS: u8 = 11;
    /// [`super::BrittleService`]s of a gateway or a member.
    pub(super) const BRITTLE: u8 = 12;
    /// [`super::SuspectedRestart`]s of a gateway or a member.
    pub(super) const RESTARTS: u8 = 13;
}

/// Fields of [`ToMember::MemberLoads`] that the first build does not have.
#[derive(Serialize, Deserialize)]
struct MemberReport<'a> {
    evidence: Cow<'a, [Evidence]>,
    prefix_holders: Cow<'a, [PrefixHolder]>,
    tallies: Cow<'a, Tallies>,
}

/// Fields of [`ToMember::Loads`] that the first build does not have.
#[derive(Serialize, Deserialize)]
struct GatewayReport<'a> {
    outcomes: Cow<'a, [Outcomes]>,
    prefix_holders: Cow<'a, [PrefixHolder]>,
    tallies: Cow<'a, Tallies>,
}

/// Fields of a [`Subscription`] that the first build does not have.
#[derive(Serialize, Deserialize)]
struct SubscriptionFields {
    supported_level: Level,
    evacuations: Option<Revision>,
    rollouts: Option<Revision>,
    status_only: bool,
}

impl Message for ToMember {
    fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        match self {
            ToMember::Raft { from, messages, supported_level } => {
                let messages = Cow::Borrowed(messages.as_slice());
                encode_with_part(
                    &base::ToMember::Raft { from: *from, messages },
                    tag::SUPPORTED_LEVEL,
                    supported_level,
                )
            }
            ToMember::Call { id, call } => encode_call(*id, call),
            ToMember::Presence(gateways) => {
                parts::encode(&base::ToMember::Presence(Cow::Borrowed(gateways)))
            }
            ToMember::MemberLoads { from, loads, evidence, prefix_holders, tallies, streams } => {
                let loads = Cow::Borrowed(loads);
                let report = MemberReport {
                    evidence: Cow::Borrowed(evidence),
                    prefix_holders: Cow::Borrowed(prefix_holders),
                    tallies: Cow::Borrowed(tallies),
                };
                let message = base::ToMember::MemberLoads { from: *from, loads };
                let bytes = encode_with_part(&message, tag::MEMBER_REPORT, &report)?;
                with_streams(bytes, streams)
            }
            ToMember::Loads { loads, outcomes, prefix_holders, tallies, streams } => {
                let report = GatewayReport {
                    outcomes: Cow::Borrowed(outcomes),
                    prefix_holders: Cow::Borrowed(prefix_holders),
                    tallies: Cow::Borrowed(tallies),
                };
                let message = base::ToMember::Loads(Cow::Borrowed(loads));
                let bytes = encode_with_part(&message, tag::GATEWAY_REPORT, &report)?;
                with_streams(bytes, streams)
            }
            ToMember::Streams(streams) => {
                encode_with_part(&ignored_by_first_build(), tag::STREAMS, streams)
            }
            ToMember::FindStreams(streams) => {
                encode_with_part(&ignored_by_first_build(), tag::FIND_STREAMS, streams)
            }
            ToMember::Brittle(services) => {
                encode_with_part(&ignored_by_first_build(), tag::BRITTLE, services)
            }
            ToMember::MemberBrittle { from, services } => {
                encode_with_part(&no_raft_messages(*from), tag::BRITTLE, services)
            }
            ToMember::Poison(reports) => {
                encode_with_part(&ignored_by_first_build(), tag::POISON, reports)
            }
            ToMember::MemberPoison { from, reports } => {
                encode_with_part(&no_raft_messages(*from), tag::POISON, reports)
            }
            ToMember::SuspectedRestarts(restarts) => {
                encode_with_part(&ignored_by_first_build(), tag::RESTARTS, restarts)
            }
            ToMember::MemberSuspectedRestarts { from, restarts } => {
                encode_with_part(&no_raft_messages(*from), tag::RESTARTS, restarts)
            }
            ToMember::MemberRelayPeers { from, peers } => {
                encode_with_part(&no_raft_messages(*from), tag::RELAY_PEERS, peers)
            }
            ToMember::ConfigurationInForce(version) => {
                parts::encode(&base::ToMember::ConfigurationInForce(*version))
            }
            ToMember::EvacuationsInForce(revision) => {
                encode_with_part(&ignored_by_first_build(), tag::EVACUATIONS_IN_FORCE, revision)
            }
            ToMember::HasBlob(blob) => parts::encode(&base::ToMember::HasBlob(*blob)),
            ToMember::BlobFetchFailed(blob) => {
                parts::encode(&base::ToMember::BlobFetchFailed(*blob))
            }
            ToMember::Subscribe(subscription) => {
                let Subscription {
                    gateway, version, directory, data_hall, serves_blobs_at, ..
                } = subscription.clone();
                let message = base::ToMember::Subscribe(base::Subscription {
                    gateway,
                    version,
                    directory,
                    data_hall,
                    serves_blobs_at,
                });
                let fields = SubscriptionFields {
                    supported_level: subscription.supported_level,
                    evacuations: subscription.evacuations,
                    rollouts: subscription.rollouts,
                    status_only: subscription.status_only,
                };
                let mut bytes = encode_with_part(&message, tag::SUBSCRIPTION, &fields)?;
                if subscription.relays {
                    parts::add(&mut bytes, tag::RELAYS, &true)?;
                }
                Ok(bytes)
            }
        }
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        let (message, parts) = parts::decode::<base::ToMember<'static>>(bytes)?;
        Ok(match message {
            base::ToMember::Raft { from, messages } => decode_raft(from, messages, parts)?,
            base::ToMember::Call { id, call } => {
                ToMember::Call { id, call: decode_call(call, parts)? }
            }
            base::ToMember::Presence(gateways) => ToMember::Presence(gateways.into_owned()),
            base::ToMember::MemberLoads { from, loads } => {
                let loads = loads.into_owned();
                let report = parts.get::<MemberReport<'static>>(tag::MEMBER_REPORT)?;
                let (evidence, prefix_holders, tallies) = report
                    .map(|report| (report.evidence, report.prefix_holders, report.tallies))
                    .unwrap_or_default();
                let (evidence, prefix_holders) =
                    (evidence.into_owned(), prefix_holders.into_owned());
                let tallies = tallies.into_owned();
                let streams = decode_streams(parts)?;
                ToMember::MemberLoads { from, loads, evidence, prefix_holders, tallies, streams }
            }
            base::ToMember::Loads(loads) => {
                let loads = loads.into_owned();
                let report = parts.get::<GatewayReport<'static>>(tag::GATEWAY_REPORT)?;
                let (outcomes, prefix_holders, tallies) = report
                    .map(|report| (report.outcomes, report.prefix_holders, report.tallies))
                    .unwrap_or_default();
                let (outcomes, prefix_holders) =
                    (outcomes.into_owned(), prefix_holders.into_owned());
                let (tallies, streams) = (tallies.into_owned(), decode_streams(parts)?);
                ToMember::Loads { loads, outcomes, prefix_holders, tallies, streams }
            }
            base::ToMember::ConfigurationInForce(version) => {
                ToMember::ConfigurationInForce(version)
            }
            base::ToMember::HasBlob(blob) => ToMember::HasBlob(blob),
            base::ToMember::BlobFetchFailed(blob) => decode_fetch_failed(blob, parts)?,
            base::ToMember::Subscribe(subscription) => {
                ToMember::Subscribe(decode_subscription(subscription, parts)?)
            }
        })
    }
}

fn with_streams(mut bytes: Vec<u8>, streams: &[StreamOrigin]) -> Result<Vec<u8>, LinkError> {
    if !streams.is_empty() {
        parts::add(&mut bytes, tag::STREAMS, &streams)?;
    }
    Ok(bytes)
}

fn decode_streams(parts: Parts<'_>) -> Result<Vec<StreamOrigin>, LinkError> {
    Ok(parts.get(tag::STREAMS)?.unwrap_or_default())
}

/// A message that the first build ignores when a gateway sends it: no blob has this id.
fn ignored_by_first_build() -> base::ToMember<'static> {
    base::ToMember::BlobFetchFailed(BlobId::NONE)
}

/// A message that earlier builds ignore when a member sends it.
fn no_raft_messages(from: SocketAddr) -> base::ToMember<'static> {
    base::ToMember::Raft { from, messages: Cow::Borrowed([].as_slice()) }
}

fn decode_raft(
    from: SocketAddr,
    messages: Cow<'static, [Envelope]>,
    parts: Parts<'_>,
) -> Result<ToMember, LinkError> {
    if let Some(reports) = parts.get(tag::POISON)? {
        return Ok(ToMember::MemberPoison { from, reports });
    }
    if let Some(services) = parts.get(tag::BRITTLE)? {
        return Ok(ToMember::MemberBrittle { from, services });
    }
    if let Some(restarts) = parts.get::<Vec<SuspectedRestart>>(tag::RESTARTS)? {
        return Ok(ToMember::MemberSuspectedRestarts { from, restarts });
    }
    if let Some(peers) = parts.get::<Vec<RelayPeer>>(tag::RELAY_PEERS)? {
        return Ok(ToMember::MemberRelayPeers { from, peers });
    }
    let supported_level = parts.get(tag::SUPPORTED_LEVEL)?.unwrap_or_default();
    Ok(ToMember::Raft { from, messages: messages.into_owned(), supported_level })
}

fn decode_fetch_failed(blob: BlobId, parts: Parts<'_>) -> Result<ToMember, LinkError> {
    if let Some(reports) = parts.get(tag::POISON)? {
        return Ok(ToMember::Poison(reports));
    }
    if let Some(services) = parts.get(tag::BRITTLE)? {
        return Ok(ToMember::Brittle(services));
    }
    if let Some(restarts) = parts.get(tag::RESTARTS)? {
        return Ok(ToMember::SuspectedRestarts(restarts));
    }
    if let Some(streams) = parts.get(tag::STREAMS)? {
        return Ok(ToMember::Streams(streams));
    }
    if let Some(streams) = parts.get(tag::FIND_STREAMS)? {
        return Ok(ToMember::FindStreams(streams));
    }
    let in_force = parts.get(tag::EVACUATIONS_IN_FORCE)?.map(ToMember::EvacuationsInForce);
    Ok(in_force.unwrap_or(ToMember::BlobFetchFailed(blob)))
}

fn decode_subscription(
    base: base::Subscription,
    parts: Parts<'_>,
) -> Result<Subscription, LinkError> {
    let fields = parts.get::<SubscriptionFields>(tag::SUBSCRIPTION)?;
    let base::Subscription { gateway, version, directory, data_hall, serves_blobs_at } = base;
    Ok(Subscription {
        gateway,
        supported_level: fields.as_ref().map_or(Level::BASE, |fields| fields.supported_level),
        version,
        directory,
        evacuations: fields.as_ref().and_then(|fields| fields.evacuations),
        rollouts: fields.as_ref().and_then(|fields| fields.rollouts),
        data_hall,
        status_only: fields.is_some_and(|fields| fields.status_only),
        serves_blobs_at,
        relays: parts.get(tag::RELAYS)?.unwrap_or(false),
    })
}

fn encode_call(id: u64, call: &Call) -> Result<Vec<u8>, LinkError> {
    let frame = |call| base::ToMember::Call { id, call };
    match call {
        Call::Propose(command) => {
            parts::encode(&frame(base::Call::Propose(command.clone().into())))
        }
        Call::ReadIndex => parts::encode(&frame(base::Call::ReadIndex)),
        Call::Announce(all) => {
            // A leader of the first build reads only the first; its reply shows that it handled no more.
            let first = all.first().ok_or(LinkError::Garbled)?.clone();
            encode_with_part(&frame(base::Call::Announce(first.into())), tag::ANNOUNCEMENTS, all)
        }
        Call::ReportHeartbeats(targets) => {
            parts::encode(&frame(base::Call::ReportHeartbeats(targets.clone())))
        }
        Call::Join { store, addr, supported_level } => {
            let join = base::Call::Join { store: *store, addr: *addr };
            encode_with_part(&frame(join), tag::SUPPORTED_LEVEL, supported_level)
        }
    }
}

fn decode_call(call: base::Call, parts: Parts<'_>) -> Result<Call, LinkError> {
    Ok(match call {
        base::Call::Propose(command) => Call::Propose(command.into()),
        base::Call::ReadIndex => Call::ReadIndex,
        base::Call::Announce(first) => {
            let all = parts.get::<Vec<Announcement>>(tag::ANNOUNCEMENTS)?;
            Call::Announce(all.unwrap_or_else(|| vec![first.into()]))
        }
        base::Call::ReportHeartbeats(targets) => Call::ReportHeartbeats(targets),
        base::Call::Join { store, addr } => {
            let supported_level = parts.get(tag::SUPPORTED_LEVEL)?.unwrap_or_default();
            Call::Join { store, addr, supported_level }
        }
    })
}
