//! What one gateway has been sent, and so what it lacks.

use std::net::SocketAddr;
use std::time::Duration;

use crate::parcel::{Parcel, ParcelId};
use crate::store::Revision;

use super::message::Subscription;
use super::prefix_holders::ReadPosition;

/// What a parcel brings a gateway to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Brings {
    /// The configuration of this version.
    Version(u64),
    /// This revision of the directory.
    Revision(Revision),
}

/// A parcel that a gateway lacks.
#[derive(Clone, Debug)]
pub(super) struct Piece {
    pub(super) parcel: Parcel,
    pub(super) brings: Brings,
}

/// A parcel that a gateway was told to fetch from another.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    pub(super) parcel: ParcelId,
    pub(super) from: SocketAddr,
    pub(super) brings: Brings,
}

/// What a gateway has been sent.
pub(super) struct Cursor {
    /// Version of its configuration; 0 for none.
    pub(super) version: u64,
    /// Revision of its directory; 0 for none.
    pub(super) directory: Revision,
    /// Revision of the orders about data halls that it was told of; `None` for nothing at all.
    pub(super) evacuations: Option<Revision>,
    /// Revision of the roll-outs that it was told of; `None` for nothing at all.
    pub(super) rollouts: Option<Revision>,
    pub(super) members: Vec<SocketAddr>,
    pub(super) fresh: bool,
    /// When loads are to be told next.
    pub(super) loads_at: Duration,
    /// Keepers of prompts that it was told of.
    pub(super) keepers: ReadPosition,
    /// Change up to which it was told of requests under which targets ended.
    pub(super) poison: u64,
    /// Whether nothing is in flight anywhere.
    pub(super) idle: bool,
    /// What it fetches now. Nothing that builds on that is sent before it has it.
    pub(super) loan: Option<Loan>,
}

impl Cursor {
    pub(super) fn at(subscription: &Subscription) -> Self {
        Cursor {
            version: subscription.version,
            directory: subscription.directory,
            evacuations: subscription.evacuations,
            rollouts: subscription.rollouts,
            members: Vec::new(),
            fresh: false,
            loads_at: Duration::ZERO,
            keepers: ReadPosition::default(),
            poison: 0,
            idle: true,
            loan: None,
        }
    }

    /// The gateway has been brought there, or surely will be by what is on its way.
    pub(super) fn advance(&mut self, brings: Brings) {
        match brings {
            Brings::Version(version) => self.version = version,
            Brings::Revision(revision) => self.directory = revision,
        }
    }

    /// Of what it lacks, what may be sent now: in parcels small enough to go along with a sign of life,
    /// and one that is not.
    ///
    /// A gateway that has nothing gets its targets first, since it takes requests as soon as it has a
    /// configuration.
    pub(super) fn sort(&self, document: Option<Piece>, targets: Option<Piece>) -> Lacked {
        let starts = self.version == 0 && self.directory == 0;
        let fetches = |piece: &Piece| {
            self.loan.is_some_and(|loan| {
                std::mem::discriminant(&loan.brings) == std::mem::discriminant(&piece.brings)
            })
        };
        let targets_wait = targets.as_ref().is_some_and(|piece| piece.parcel.is_large());
        let waits = starts && targets_wait;
        let document = document.filter(|piece| !waits && !fetches(piece));
        let targets = targets.filter(|piece| !fetches(piece));
        let pieces = targets.into_iter().chain(document);
        let (large, small) = pieces.partition::<Vec<_>, _>(|piece| piece.parcel.is_large());
        // A configuration before a change of targets, but the first list before a configuration.
        let large = if starts { large.into_iter().next() } else { large.into_iter().next_back() };
        Lacked { small, large: large.filter(|_| self.loan.is_none()), later: false }
    }
}

/// What a gateway lacks.
#[derive(Debug, Default)]
pub(super) struct Lacked {
    /// Parcels to send along.
    pub(super) small: Vec<Piece>,
    /// A parcel that it may fetch elsewhere, or is sent in its turn.
    pub(super) large: Option<Piece>,
    /// Whether it lacks something that is not looked for before it may be sent.
    pub(super) later: bool,
}
