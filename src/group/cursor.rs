//! Tracks what one gateway has been sent, and selects what to send it next.

use std::net::SocketAddr;
use std::time::Duration;

use crate::blob::{Blob, BlobId};
use crate::store::Revision;

use super::brittle::BrittleService;
use super::message::Subscription;
use super::prefix_holders::ReadPosition;
use super::relay_peers::RelayPeer;

/// The state that a gateway reaches by applying a blob.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The configuration of this version.
    Version(u64),
    /// This revision of the directory.
    Revision(Revision),
}

/// A blob that a gateway lacks.
#[derive(Clone, Debug)]
pub(super) struct MissingBlob {
    pub(super) blob: Blob,
    pub(super) advances_to: Progress,
}

/// A fetch from a peer gateway that a member assigned to this gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerFetch {
    pub(super) blob: BlobId,
    pub(super) source: SocketAddr,
    pub(super) advances_to: Progress,
}

/// What a gateway has been sent.
pub(super) struct Cursor {
    /// Version of its configuration; 0 for none.
    pub(super) version: u64,
    /// Revision of its directory; 0 for none.
    pub(super) directory: Revision,
    /// Revision of the evacuation orders that it was sent; `None` if it was sent no state of them yet.
    pub(super) evacuations: Option<Revision>,
    /// Revision of the roll-outs that it was sent; `None` if it was sent no state of them yet.
    pub(super) rollouts: Option<Revision>,
    pub(super) members: Vec<SocketAddr>,
    pub(super) fresh: bool,
    /// When the next update with loads is due.
    pub(super) next_loads_at: Duration,
    /// Position in the list of prefix holders up to which it was sent entries.
    pub(super) prefix_holders: ReadPosition,
    /// Gateways that it was told send requests on its behalf.
    pub(super) relay_peers: Vec<RelayPeer>,
    /// When these are looked at again.
    pub(super) next_relay_peers_at: Duration,
    /// Services that it was told have brittle targets; `None` before the first update.
    pub(super) brittle: Option<Vec<BrittleService>>,
    /// Gateways that it was told dispatch to brittle targets.
    pub(super) dispatchers: Vec<SocketAddr>,
    /// When these are looked at again.
    pub(super) next_dispatchers_at: Duration,
    /// Number of the last change to suspected restarts that it was sent.
    pub(super) restarts: u64,
    /// Number of the last change to suspected poison requests that it was sent.
    pub(super) poison: u64,
    /// Whether the last loads that it was sent were empty: no requests in flight at any target.
    pub(super) idle: bool,
    /// The fetch in progress. Nothing that builds on its blob is sent before the gateway has it.
    pub(super) peer_fetch: Option<PeerFetch>,
}

impl Cursor {
    pub(super) fn new(subscription: &Subscription) -> Self {
        Cursor {
            version: subscription.version,
            directory: subscription.directory,
            evacuations: subscription.evacuations,
            rollouts: subscription.rollouts,
            members: Vec::new(),
            fresh: false,
            next_loads_at: Duration::ZERO,
            prefix_holders: ReadPosition::default(),
            relay_peers: Vec::new(),
            next_relay_peers_at: Duration::ZERO,
            brittle: None,
            dispatchers: Vec::new(),
            next_dispatchers_at: Duration::ZERO,
            restarts: 0,
            poison: 0,
            idle: true,
            peer_fetch: None,
        }
    }

    /// Records that the gateway reached this state, or will by a blob that was sent on this connection.
    pub(super) fn advance(&mut self, progress: Progress) {
        match progress {
            Progress::Version(version) => self.version = version,
            Progress::Revision(revision) => self.directory = revision,
        }
    }

    /// Selects what may be sent now of the configuration and the targets that the gateway lacks: small blobs, which
    /// go along with a keep-alive, and at most one large one.
    ///
    /// A gateway that has neither gets its targets first, since it accepts requests as soon as it has a configuration.
    pub(super) fn select(
        &self,
        document: Option<MissingBlob>,
        targets: Option<MissingBlob>,
    ) -> Missing {
        let starting = self.version == 0 && self.directory == 0;
        let fetching = |missing: &MissingBlob| {
            self.peer_fetch.is_some_and(|fetch| {
                std::mem::discriminant(&fetch.advances_to)
                    == std::mem::discriminant(&missing.advances_to)
            })
        };
        let targets_large = targets.as_ref().is_some_and(|missing| missing.blob.is_large());
        let document_waits = starting && targets_large;
        let document = document.filter(|missing| !document_waits && !fetching(missing));
        let targets = targets.filter(|missing| !fetching(missing));
        let all = targets.into_iter().chain(document);
        let (large, small) = all.partition::<Vec<_>, _>(|missing| missing.blob.is_large());
        // The configuration goes before a change of targets, but the first list of targets before the configuration.
        let large = if starting { large.into_iter().next() } else { large.into_iter().next_back() };
        Missing { small, large: large.filter(|_| self.peer_fetch.is_none()), deferred: false }
    }
}

/// What a gateway lacks and may be sent.
#[derive(Debug, Default)]
pub(super) struct Missing {
    /// Small blobs, sent together.
    pub(super) small: Vec<MissingBlob>,
    /// A large blob, to be fetched from a peer, or sent when the pacer allows.
    pub(super) large: Option<MissingBlob>,
    /// Whether the gateway lacks something that is only packed once it may be sent.
    pub(super) deferred: bool,
}
