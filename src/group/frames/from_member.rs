//! Frames of a member.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::with;
use crate::compat::base;
use crate::compat::parts::{self, Parts};
use crate::group::evidence::Evidence;
use crate::group::heartbeats::Taken;
use crate::group::message::{FromMember, HallNews, Reply, Update};
use crate::group::prefix_holders::PrefixHolder;
use crate::link::{LinkError, Message};
use crate::poison::Report;
use crate::rollout::RolloutNews;
use crate::rollout::division::RolloutMix;
use crate::store::Answer;

/// Parts of frames of a member, each with what it holds.
mod tag {
    /// What became of each announcement of a batch: [`super::Taken`].
    pub(super) const TAKEN: u8 = 1;
    /// [`super::News`].
    pub(super) const NEWS: u8 = 2;
}

/// News for a gateway.
#[derive(Serialize, Deserialize)]
struct News<'a> {
    halls: Option<Cow<'a, HallNews>>,
    rollouts: Option<Cow<'a, RolloutNews>>,
    evidence: Option<Cow<'a, [Evidence]>>,
    keepers: Cow<'a, [PrefixHolder]>,
    mixes: Cow<'a, [RolloutMix]>,
    poison: Cow<'a, [Report]>,
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
                let taken = parts.get(tag::TAKEN)?;
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
            with(&frame(reply), tag::TAKEN, taken)
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
    with(&base::FromMember::Update(Box::new(message)), tag::NEWS, &news)
}

/// A member of the first build knows of no orders, and there are none while its group is at its level.
fn update_of(base: base::Update<'static>, parts: Parts<'_>) -> Result<Update, LinkError> {
    let news = parts.get::<News<'static>>(tag::NEWS)?;
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
