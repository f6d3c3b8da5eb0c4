//! Applies the updates that members push: configurations, targets, evacuations, roll-outs and loads. Large blobs are
//! fetched from other gateways.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::{info, warn};
use tokio::task::JoinSet;

use super::config_delay::ConfigDelay;
use super::rollout_log::AppliedRollouts;
use super::{Gateway, peers};
use crate::blob::{Blob, BlobId, Content};
use crate::document::{Document, Packed};
use crate::group::listing::PackedDelta;
use crate::group::message::{BlobSource, Evacuation, EvacuationsUpdate, ToMember, Update};
use crate::link::{FrameSender, LinkError};
use crate::rollout::RolloutsUpdate;
use crate::route_table::RouteTable;
use crate::sync::{lock, read, write};

/// The result of fetching a blob from another gateway.
pub(super) struct FetchResult {
    id: BlobId,
    from: SocketAddr,
    blob: Result<Blob, LinkError>,
}

/// Receives updates of the member that the gateway is subscribed to, and applies them to the gateway's state.
pub(super) struct UpdateReceiver {
    gateway: Arc<Gateway>,
    /// The last configuration received, as the base of the next delta.
    document: Option<Document>,
    lateness: ConfigDelay,
    /// Running fetches from other gateways.
    fetches: JoinSet<FetchResult>,
}

impl UpdateReceiver {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        UpdateReceiver {
            gateway,
            document: None,
            lateness: ConfigDelay::default(),
            fetches: JoinSet::new(),
        }
    }

    /// Version of the last configuration received, even if it was not readable; 0 for none.
    pub(super) fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Revision of the directory; 0 for none.
    pub(super) fn directory(&self) -> u64 {
        read(&self.gateway.targets).revision()
    }

    /// Whether no fetch is running and no member has announced a newer configuration.
    pub(super) fn is_complete(&self) -> bool {
        self.fetches.is_empty() && self.lateness.newest_version() <= self.version()
    }

    /// Applies an update, and starts to fetch the blob that it refers to, if any.
    ///
    /// # Errors
    /// [`LinkError`] when the update can't be decoded, or the acknowledgement can't be sent to the member.
    pub(super) async fn apply(
        &mut self,
        member: SocketAddr,
        update: Update,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        if let Some(evacuations) =
            update.evacuations.clone().filter(|evacuations| self.needs_evacuations(evacuations))
        {
            self.apply_evacuations(evacuations, member, sender).await?;
        }
        if let Some(rollouts) = update.rollouts.clone() {
            self.apply_rollouts(rollouts, member);
        }
        self.apply_state(&update);
        let has_blob = !update.blobs.is_empty() || update.blob_source.is_some();
        if has_blob && !self.has_orders() {
            // Otherwise requests could reach an evacuated data hall, or a version that was rolled back.
            return Err(LinkError::Garbled);
        }
        for bytes in update.blobs {
            self.apply_blob(Blob::new(bytes), member, sender).await?;
        }
        if let Some(elsewhere) = update.blob_source {
            self.fetches.spawn(fetch(self.gateway.settings.source, elsewhere));
        }
        Ok(())
    }

    /// Waits for the next result of a running fetch; never returns while none runs.
    pub(super) async fn next_fetch(&mut self) -> FetchResult {
        loop {
            match self.fetches.join_next().await {
                Some(Ok(result)) => return result,
                // Aborted, since the gateway has subscribed to another member meanwhile.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Aborts all fetches: the next member sends or announces the blobs again.
    pub(super) fn abort_fetches(&mut self) {
        self.fetches.abort_all();
    }

    /// Applies a blob that was fetched, or reports to the member that the fetch failed.
    ///
    /// # Errors
    /// [`LinkError`] when the blob can't be decoded, or nothing can be sent to the member.
    pub(super) async fn apply_fetch(
        &mut self,
        result: FetchResult,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        self.gateway.metrics.blob_fetched(result.blob.as_ref().err());
        match result.blob {
            Ok(blob) => self.apply_blob(blob, result.from, sender).await,
            Err(error) => {
                info!(self.gateway.log, "could not fetch a blob from a peer gateway";
                    "event" => "not_fetched", "from" => %result.from, "error" => %error);
                sender.send(&ToMember::BlobFetchFailed(result.id)).await
            }
        }
    }

    /// Applies a blob's content, caches a large blob for other gateways, and reports both to the member.
    async fn apply_blob(
        &mut self,
        blob: Blob,
        from: SocketAddr,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        let version = self.gateway.version();
        match blob.unpack()? {
            Content::Document(packed) => self.apply_document(&packed, from)?,
            Content::Targets(packed) => self.apply_targets(&packed, from)?,
        }
        if blob.is_large() {
            let id = blob.id();
            lock(&self.gateway.blob_cache).insert(blob);
            sender.send(&ToMember::HasBlob(id)).await?;
        }
        if self.gateway.version() != version {
            sender.send(&ToMember::ConfigurationInForce(self.gateway.version())).await?;
        }
        Ok(())
    }

    fn apply_targets(&self, packed: &PackedDelta, from: SocketAddr) -> Result<(), LinkError> {
        let delta = packed.unpack()?;
        let mut targets = write(&self.gateway.targets);
        let changed = delta.changed.len() + delta.moved.len();
        let removed = delta.removed.len();
        if targets.apply(self.gateway.now(), delta) {
            self.gateway.metrics.targets.set(targets.len() as i64);
            info!(self.gateway.log, "targets changed"; "event" => "targets",
                "revision" => targets.revision(), "targets" => targets.len(),
                "changed" => changed, "removed" => removed, "from" => %from);
            drop(targets);
            self.gateway.reapply_suspected_restarts();
        }
        Ok(())
    }

    /// Whether evacuation orders may be new to this gateway. Members of the first build always send revision 0, which
    /// means that there are none.
    fn needs_evacuations(&self, evacuations: &EvacuationsUpdate) -> bool {
        evacuations.revision > 0 || read(&self.gateway.targets).evacuations_revision().is_none()
    }

    /// Applies evacuation orders, and reports to the member up to which revision they are applied here.
    async fn apply_evacuations(
        &self,
        evacuations: EvacuationsUpdate,
        from: SocketAddr,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        let revision = evacuations.revision;
        let evacuated = evacuations.halls.iter().filter(|hall| hall.state == Evacuation::InForce);
        let evacuated: Vec<&str> = evacuated.map(|hall| hall.data_hall.as_str()).collect();
        let evacuated = evacuated.join(",");
        if write(&self.gateway.targets).apply_evacuations(self.gateway.now(), evacuations) {
            info!(self.gateway.log, "evacuation orders applied"; "event" => "evacuations",
                "revision" => revision, "evacuated" => evacuated, "from" => %from);
        }
        let applied = read(&self.gateway.targets).evacuations_revision().unwrap_or(0);
        sender.send(&ToMember::EvacuationsInForce(applied)).await
    }

    /// Whether the gateway has received the state of both evacuations and roll-outs.
    fn has_orders(&self) -> bool {
        let targets = read(&self.gateway.targets);
        targets.evacuations_revision().is_some() && targets.rollouts_revision().is_some()
    }

    fn apply_rollouts(&self, update: RolloutsUpdate, from: SocketAddr) {
        let summaries = update.rollouts.iter().map(|rollout| {
            format!(
                "{}:{}:{}:{}",
                rollout.service,
                rollout.version,
                rollout.stage.label(),
                rollout.stage.share()
            )
        });
        let (revision, summary) = (update.revision, summaries.collect::<Vec<_>>().join(","));
        if write(&self.gateway.targets).apply_rollouts(update) {
            let applied = AppliedRollouts { revision, summary, from };
            // Fails only when the gateway ends.
            let _ = self.gateway.rollout_log.send(applied);
        }
    }

    /// Applies what an update carries besides blobs and orders.
    fn apply_state(&mut self, update: &Update) {
        let held = self.version();
        self.lateness.note_update(self.gateway.now(), update.fresh, update.version, held);
        self.gateway.metrics.version_announced.set(self.lateness.newest_version() as i64);
        if let Some(loads) = &update.loads {
            self.gateway.receive_loads(loads);
        }
        self.gateway.receive_brittle_services(update.brittle.as_deref());
        if let Some(dispatchers) = &update.dispatchers {
            info!(self.gateway.log, "told of gateways that dispatch to brittle targets";
                "event" => "dispatchers", "dispatchers" => dispatchers.len());
            lock(&self.gateway.dispatchers).clone_from(dispatchers);
        }
        if !update.mixes.is_empty() {
            let mut targets = write(&self.gateway.targets);
            targets.set_route_mixes(self.gateway.now(), update.mixes.clone());
        }
        lock(&self.gateway.prefix_holders).record(self.gateway.now(), &update.prefix_holders);
        self.gateway.receive_poison_reports(&update.poison);
        self.gateway.receive_suspected_restarts(&update.restarts);
        self.gateway.receive_origins(&update.streams);
        if let Some(peers) = &update.relay_peers {
            lock(&self.gateway.peer_selection).set_peers(peers.clone());
            info!(self.gateway.log, "told of gateways that serve for this one";
                "event" => "relay_peers", "peers" => peers.len());
        }
        if let Some(evidence) = &update.evidence {
            self.gateway.apply_evidence(evidence);
        }
        lock(&self.gateway.fleet_size).note(self.gateway.now(), update.gateways);
        let before = self.gateway.gateways.swap(update.gateways, Ordering::Relaxed);
        if before != update.gateways {
            self.gateway.metrics.gateways.set(i64::from(update.gateways));
            info!(self.gateway.log, "number of live gateways changed"; "event" => "gateways",
                "gateways" => update.gateways, "before" => before);
        }
    }

    fn apply_document(&mut self, packed: &Packed, from: SocketAddr) -> Result<(), LinkError> {
        let held = self.version();
        if packed.version <= held {
            return Ok(());
        }
        let document = packed.unpack(self.document.as_ref()).map_err(|_| LinkError::Garbled)?;
        match self.gateway.dialect.configuration(&document.bytes) {
            Ok(configuration) => {
                let table = Arc::new(RouteTable::new(configuration));
                self.gateway.table.send_replace(Some(table));
                self.gateway.metrics.version.set(document.version as i64);
                let waited = self.lateness.max_delay(self.gateway.now());
                if let Some(waited) = waited {
                    self.gateway.metrics.in_force.observe(waited.as_secs_f64());
                }
                info!(self.gateway.log, "configuration in force"; "event" => "configuration",
                    "version" => document.version, "before" => held,
                    "bytes" => document.bytes.len(), "packed_bytes" => packed.bytes.len(),
                    "from" => %from,
                    "waited_ms" => waited.map(|waited| waited.as_millis() as u64));
            }
            Err(faults) => {
                warn!(self.gateway.log, "configuration is not readable; keeping the one in force";
                    "event" => "configuration_unreadable", "version" => document.version,
                    "fault" => %faults[0]);
            }
        }
        self.document = Some(document);
        Ok(())
    }
}

/// Fetches a blob from the gateway that the member assigned.
async fn fetch(source: Option<IpAddr>, elsewhere: BlobSource) -> FetchResult {
    let BlobSource { blob: id, addr: from } = elsewhere;
    let blob = peers::fetch(source, from, id).await;
    FetchResult { id, from, blob }
}
