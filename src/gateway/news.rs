//! What members tell: configurations, targets and loads, from themselves or by way of other gateways.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::{info, warn};
use tokio::task::JoinSet;

use super::lateness::Lateness;
use super::{Gateway, neighbours};
use crate::document::{Document, Packed};
use crate::group::listing::PackedDelta;
use crate::group::message::{Elsewhere, Evacuation, HallNews, ToMember, Update};
use crate::link::{FrameSender, LinkError};
use crate::parcel::{Content, Parcel, ParcelId};
use crate::rollout::RolloutNews;
use crate::route_table::RouteTable;
use crate::sync::{lock, read, write};

/// A parcel that a member named, fetched from another gateway or not.
pub(super) struct Fetched {
    id: ParcelId,
    from: SocketAddr,
    parcel: Result<Parcel, LinkError>,
}

/// What the gateway has been told.
pub(super) struct News {
    gateway: Arc<Gateway>,
    /// The configuration, as the next difference builds on it.
    document: Option<Document>,
    lateness: Lateness,
    /// Parcels that are being fetched.
    fetches: JoinSet<Fetched>,
}

impl News {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        News { gateway, document: None, lateness: Lateness::default(), fetches: JoinSet::new() }
    }

    /// Version of the last configuration that came, be it readable or not; 0 for none.
    pub(super) fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Revision of the directory; 0 for none.
    pub(super) fn directory(&self) -> u64 {
        read(&self.gateway.targets).revision()
    }

    /// Whether nothing is on its way that a member has told of.
    pub(super) fn complete(&self) -> bool {
        self.fetches.is_empty() && self.lateness.told() <= self.version()
    }

    /// Takes what an update of a member brings, or begins to fetch it.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be read, or the member can't be told that it came.
    pub(super) async fn take(
        &mut self,
        member: SocketAddr,
        update: Update,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        if let Some(halls) = update.halls.clone().filter(|halls| self.lacks_halls(halls)) {
            self.take_halls(halls, member, sender).await?;
        }
        if let Some(rollouts) = update.rollouts.clone() {
            self.take_rollouts(rollouts, member);
        }
        self.take_signs(&update);
        let brings = !update.parcels.is_empty() || update.elsewhere.is_some();
        if brings && !self.knows_orders() {
            // Requests could reach a hall that is evacuated, or a version that was rolled back.
            return Err(LinkError::Garbled);
        }
        for bytes in update.parcels {
            self.take_parcel(Parcel::of(bytes), member, sender).await?;
        }
        if let Some(elsewhere) = update.elsewhere {
            self.fetches.spawn(fetch(self.gateway.settings.source, elsewhere));
        }
        Ok(())
    }

    /// Waits for a parcel that another gateway passes on, for ever if none is to come.
    pub(super) async fn fetched(&mut self) -> Fetched {
        loop {
            match self.fetches.join_next().await {
                Some(Ok(fetched)) => return fetched,
                // Given up, with the member that named it.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Gives up what is being fetched: another member names it anew.
    pub(super) fn forget_fetches(&mut self) {
        self.fetches.abort_all();
    }

    /// Takes a parcel that was fetched, or tells the member that it could not be.
    ///
    /// # Errors
    /// [`LinkError`] when it can't be read, or the member can't be told.
    pub(super) async fn take_fetched(
        &mut self,
        fetched: Fetched,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        self.gateway.metrics.fetched_parcel(fetched.parcel.as_ref().err());
        match fetched.parcel {
            Ok(parcel) => self.take_parcel(parcel, fetched.from, sender).await,
            Err(error) => {
                info!(self.gateway.log, "parcel not fetched"; "event" => "not_fetched",
                    "from" => %fetched.from, "error" => %error);
                sender.send(&ToMember::Lacks(fetched.id)).await
            }
        }
    }

    /// Takes what is in a parcel, keeps it for others if it is large, and tells the member so.
    async fn take_parcel(
        &mut self,
        parcel: Parcel,
        from: SocketAddr,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        let version = self.gateway.version();
        match parcel.open()? {
            Content::Document(packed) => self.take_document(&packed, from)?,
            Content::Targets(packed) => self.take_targets(&packed, from)?,
        }
        if parcel.is_large() {
            let id = parcel.id();
            lock(&self.gateway.blob_cache).keep(parcel);
            sender.send(&ToMember::Has(id)).await?;
        }
        if self.gateway.version() != version {
            sender.send(&ToMember::InForce(self.gateway.version())).await?;
        }
        Ok(())
    }

    fn take_targets(&self, packed: &PackedDelta, from: SocketAddr) -> Result<(), LinkError> {
        let delta = packed.unpack()?;
        let mut targets = write(&self.gateway.targets);
        let changed = delta.changed.len() + delta.moved.len();
        let removed = delta.removed.len();
        if targets.apply(self.gateway.now(), delta) {
            self.gateway.metrics.targets.set(targets.len() as i64);
            info!(self.gateway.log, "targets changed"; "event" => "targets",
                "revision" => targets.revision(), "targets" => targets.len(),
                "changed" => changed, "removed" => removed, "from" => %from);
        }
        Ok(())
    }

    /// Whether word of orders about data halls may be new. Members of the first build always tell that there are none.
    fn lacks_halls(&self, halls: &HallNews) -> bool {
        halls.revision > 0 || read(&self.gateway.targets).halls_revision().is_none()
    }

    /// Takes orders about data halls, and tells the member up to which one they are obeyed.
    async fn take_halls(
        &self,
        halls: HallNews,
        from: SocketAddr,
        sender: &mut FrameSender,
    ) -> Result<(), LinkError> {
        let revision = halls.revision;
        let evacuated = halls.halls.iter().filter(|hall| hall.state == Evacuation::InForce);
        let evacuated: Vec<&str> = evacuated.map(|hall| hall.data_hall.as_str()).collect();
        let evacuated = evacuated.join(",");
        if write(&self.gateway.targets).obey(self.gateway.now(), halls) {
            info!(self.gateway.log, "orders about data halls"; "event" => "evacuations",
                "revision" => revision, "evacuated" => evacuated, "from" => %from);
        }
        let obeys = read(&self.gateway.targets).halls_revision().unwrap_or(0);
        sender.send(&ToMember::Obeys(obeys)).await
    }

    /// Whether anything was ever heard of orders about data halls and of roll-outs.
    fn knows_orders(&self) -> bool {
        let targets = read(&self.gateway.targets);
        targets.halls_revision().is_some() && targets.rollouts_revision().is_some()
    }

    /// Takes word of roll-outs.
    fn take_rollouts(&self, news: RolloutNews, from: SocketAddr) {
        let told = news.rollouts.iter().map(|told| {
            format!(
                "{}:{}:{}:{}",
                told.service,
                told.version,
                told.stage.label(),
                told.stage.share()
            )
        });
        let (revision, told) = (news.revision, told.collect::<Vec<_>>().join(","));
        if write(&self.gateway.targets).follow_rollouts(news) {
            info!(self.gateway.log, "roll-outs"; "event" => "rollouts", "revision" => revision,
                "rollouts" => told, "from" => %from);
        }
    }

    /// Takes what an update tells besides parcels.
    fn take_signs(&mut self, update: &Update) {
        let held = self.version();
        self.lateness.hear(self.gateway.now(), update.fresh, update.version, held);
        self.gateway.metrics.version_told.set(self.lateness.told() as i64);
        if let Some(loads) = &update.loads {
            self.gateway.take_loads(loads);
        }
        if !update.mixes.is_empty() {
            let mut targets = write(&self.gateway.targets);
            targets.take_mixes(self.gateway.now(), update.mixes.clone());
        }
        lock(&self.gateway.prefix_holders).hear(self.gateway.now(), &update.keepers);
        self.gateway.take_poison_news(&update.poison);
        if let Some(evidence) = &update.evidence {
            self.gateway.take_evidence(evidence);
        }
        lock(&self.gateway.fleet_size).note(self.gateway.now(), update.gateways);
        let before = self.gateway.gateways.swap(update.gateways, Ordering::Relaxed);
        if before != update.gateways {
            self.gateway.metrics.gateways.set(i64::from(update.gateways));
            info!(self.gateway.log, "gateways alive"; "event" => "gateways",
                "gateways" => update.gateways, "before" => before);
        }
    }

    fn take_document(&mut self, packed: &Packed, from: SocketAddr) -> Result<(), LinkError> {
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
                let waited = self.lateness.at_most(self.gateway.now());
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
                warn!(self.gateway.log, "configuration can't be read";
                    "event" => "configuration_unreadable", "version" => document.version,
                    "fault" => %faults[0]);
            }
        }
        self.document = Some(document);
        Ok(())
    }
}

/// Fetches a parcel from another gateway.
async fn fetch(source: Option<IpAddr>, elsewhere: Elsewhere) -> Fetched {
    let Elsewhere { parcel: id, at: from } = elsewhere;
    let parcel = neighbours::fetch(source, from, id).await;
    Fetched { id, from, parcel }
}
