//! Sends updates to one gateway: configurations, changes of the directory, loads, and keep-alives.
//!
//! Small blobs are sent with the next update. For a large blob the gateway queues at the pacer; if a peer gateway can
//! deliver the blob before its turn comes, the member assigns that peer as the source.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::{Notify, mpsc};

use super::Shared;
use super::brittle::BrittleService;
use super::cursor::{Cursor, Missing, MissingBlob, PeerFetch};
use super::fan_out::PeerGateway;
use super::loads::Loads;
use super::message::{BlobSource, EvacuationsUpdate, FromMember, Subscription, Update};
use super::metrics::BlobDelivery;
use super::pacer::Turn;
use super::relay_peers::RelayPeer;
use super::stream_origins::StreamOrigin;
use crate::blob::BlobId;
use crate::clock::Instant;
use crate::control::member::Published;
use crate::link::{FrameSender, LinkError, encode};
use crate::rollout::RolloutsUpdate;
use crate::sync::lock;

/// Longest time between two updates to a gateway, also while nothing is in flight.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time between two updates with small blobs to one gateway: changes in quick succession share a frame. With
/// 60 gateways on a link of 6 Mbit/s, ten frames of 300 B per second and gateway fill the share for small blobs.
const SMALL_BLOBS_INTERVAL: Duration = Duration::from_millis(100);

/// A gateway's report about a large blob.
pub(super) enum BlobReport {
    /// It has the blob.
    Received(BlobId),
    /// It could not fetch the blob from the peer that it was given.
    FetchFailed(BlobId),
}

/// A wait for a turn at a pacer.
type PendingTurn<'a> = Pin<Box<dyn Future<Output = Turn<'a>> + Send + 'a>>;

/// The sending half of one gateway's connection.
pub(super) struct UpdateSender<'a> {
    shared: &'a Shared,
    gateway: String,
    /// Whether the gateway is sent neither configurations nor targets.
    status_only: bool,
    /// The gateway as a source for its peers, if it takes part in peer-to-peer distribution.
    peer: Option<PeerGateway>,
    /// The gateway as one that has others send requests on its behalf, if it can.
    relay_peer: Option<RelayPeer>,
    cursor: Cursor,
    sender: FrameSender,
    /// When the next keep-alive is due.
    keep_alive_at: tokio::time::Instant,
    /// When small blobs may be sent again.
    next_small_at: tokio::time::Instant,
    turn: Option<PendingTurn<'a>>,
    poison_turn: Option<PendingTurn<'a>>,
}

impl<'a> UpdateSender<'a> {
    pub(super) fn new(
        shared: &'a Shared,
        subscription: &Subscription,
        relay_peer: Option<RelayPeer>,
        sender: FrameSender,
    ) -> Self {
        let data_hall = subscription.data_hall.clone();
        let peer = subscription.serves_blobs_at.map(|addr| PeerGateway { addr, data_hall });
        let now = tokio::time::Instant::now();
        UpdateSender {
            shared,
            gateway: subscription.gateway.clone(),
            status_only: subscription.status_only,
            peer,
            relay_peer,
            cursor: Cursor::new(subscription),
            sender,
            keep_alive_at: now,
            next_small_at: now,
            turn: None,
            poison_turn: None,
        }
    }

    /// Sends updates until the connection ends. `reports` are those of this gateway, `streams` the origins that it
    /// asked for.
    pub(super) async fn run(
        &mut self,
        mut reports: mpsc::Receiver<BlobReport>,
        mut streams: mpsc::Receiver<Vec<StreamOrigin>>,
    ) -> Result<(), LinkError> {
        let mut published = self.shared.member.published();
        let mut poison = self.shared.poison_updates.subscribe();
        let mut restarts = self.shared.restart_updates.subscribe();
        loop {
            if self.cursor.restarts < *restarts.borrow_and_update() {
                self.send_restarts().await?;
            }
            let newest_poison = *poison.borrow_and_update();
            let missing = self.missing_now(&published.borrow_and_update())?;
            if self.lacks_evacuations() || self.lacks_rollouts() {
                self.send_keep_alive().await?;
                continue;
            }
            let has_small = missing.deferred || !missing.small.is_empty() || self.lacks_status();
            let now = tokio::time::Instant::now();
            if has_small && now >= self.next_small_at {
                self.send_small().await?;
                continue;
            }
            if let Some(large) = &missing.large
                && let Some(source) = self.assign_source(large)
            {
                self.send_source(large, source).await?;
                continue;
            }
            if now >= self.keep_alive_at {
                self.send_keep_alive().await?;
            }
            let wake_at = if has_small { self.next_small_at } else { self.keep_alive_at };
            let upload_freed = self.upload_freed(&missing);
            self.await_turn(missing.large.is_some());
            self.await_poison_turn(self.cursor.poison < newest_poison);
            tokio::select! {
                changed = published.changed() => changed.map_err(|_| LinkError::Closed)?,
                changed = poison.changed() => changed.map_err(|_| LinkError::Closed)?,
                changed = restarts.changed() => changed.map_err(|_| LinkError::Closed)?,
                report = reports.recv() => self.handle_report(report.ok_or(LinkError::Closed)?),
                found = streams.recv() => {
                    self.send_streams(found.ok_or(LinkError::Closed)?).await?;
                }
                turn = granted(&mut self.turn) => self.send_large(turn).await?,
                turn = granted(&mut self.poison_turn) => self.send_poison(turn).await?,
                () = upload_freed.notified() => {}
                () = tokio::time::sleep_until(wake_at) => {}
            }
        }
    }

    /// Notified when a peer that has the missing large blob has an upload free.
    fn upload_freed(&self, missing: &Missing) -> Arc<Notify> {
        match (&missing.large, &self.peer) {
            (Some(large), Some(_)) => lock(&self.shared.fan_out).upload_freed(large.blob.id()),
            _ => Arc::default(),
        }
    }

    /// Queues for a turn to send a large blob, or leaves the queue if none is wanted any more.
    fn await_turn(&mut self, wanted: bool) {
        let pacer = &self.shared.large_pacer;
        match wanted {
            true if self.turn.is_none() => self.turn = Some(Box::pin(pacer.turn())),
            true => {}
            false => self.turn = None,
        }
    }

    /// Queues for a turn to send suspected poison requests; they have a pacer of their own, so nothing else waits for
    /// them.
    fn await_poison_turn(&mut self, wanted: bool) {
        if wanted && self.poison_turn.is_none() {
            self.poison_turn = Some(Box::pin(self.shared.poison_pacer.turn()));
        }
    }

    /// Sends the incarnations that may have ended and that the gateway was not told of, with the pacing of small blobs.
    async fn send_restarts(&mut self) -> Result<(), LinkError> {
        let turn = self.shared.small_pacer.turn().await;
        let now = self.shared.now();
        let (restarts, upto) = lock(&self.shared.restarts).changes_after(now, self.cursor.restarts);
        self.cursor.restarts = upto;
        if restarts.is_empty() || self.status_only {
            return Ok(());
        }
        let update = Update { restarts, ..self.periodic_update() };
        let frame = encode(&FromMember::Update(Box::new(update)))?;
        turn.spend(frame.len());
        self.send_frame(frame).await
    }

    /// Sends the suspected poison requests that changed since the last update with them.
    async fn send_poison(&mut self, turn: Turn<'a>) -> Result<(), LinkError> {
        self.poison_turn = None;
        let now = self.shared.now();
        let (poison, newest) = lock(&self.shared.poison).gateway_updates(now, self.cursor.poison);
        self.cursor.poison = newest;
        let frame =
            encode(&FromMember::Update(Box::new(Update { poison, ..self.periodic_update() })))?;
        turn.spend(frame.len());
        self.send_frame(frame).await
    }

    /// Packs what the gateway lacks, unless nothing of it may be sent yet: while targets start, the directory changes
    /// many times within [`SMALL_BLOBS_INTERVAL`], and packing each change would be wasted work.
    fn missing_now(&self, published: &Published) -> Result<Missing, LinkError> {
        if self.status_only {
            return Ok(Missing::default());
        }
        let starting = self.cursor.version == 0 || self.cursor.directory == 0;
        let turn_pending = self.turn.is_some();
        if starting || turn_pending || tokio::time::Instant::now() >= self.next_small_at {
            return self.missing(published);
        }
        let newer = published.version() > self.cursor.version
            || published.directory.revision() > self.cursor.directory;
        Ok(Missing { deferred: newer, ..Missing::default() })
    }

    fn missing(&self, published: &Published) -> Result<Missing, LinkError> {
        let shared = self.shared;
        let mut archive = lock(&shared.archive);
        let newest = published.document.as_ref();
        let document =
            newest.map(|newest| archive.pack(newest, self.cursor.version)).transpose()?;
        let (known, directory) = (self.cursor.directory, &published.directory);
        let targets = lock(&shared.deltas).pack(shared.now(), directory, known)?;
        Ok(self.cursor.select(document.flatten(), targets))
    }

    /// Whether the addresses of the members, or this member's contact with a leader, changed since they were last sent.
    fn lacks_status(&self) -> bool {
        let published = self.shared.member.published();
        let members = member_addrs(&published.borrow());
        members != self.cursor.members || self.fresh() != self.cursor.fresh
    }

    /// Whether the gateway lacks an evacuation order. Those are sent at once, without pacing.
    fn lacks_evacuations(&self) -> bool {
        let newest = self.shared.member.published().borrow().evacuations.revision();
        self.cursor.evacuations.is_none_or(|known| known < newest)
    }

    /// The evacuation orders, if the gateway lacks any; from then on they count as sent.
    fn next_evacuations(&mut self) -> Option<EvacuationsUpdate> {
        if !self.lacks_evacuations() {
            return None;
        }
        let update = self.shared.evacuations_update();
        self.cursor.evacuations = Some(update.revision);
        Some(update)
    }

    /// Whether the gateway lacks a change of a roll-out. Those are sent at once too.
    fn lacks_rollouts(&self) -> bool {
        let newest = self.shared.member.published().borrow().rollouts.revision();
        self.cursor.rollouts.is_none_or(|known| known < newest)
    }

    /// The roll-outs, if the gateway lacks any change; from then on they count as sent.
    fn next_rollouts(&mut self) -> Option<RolloutsUpdate> {
        if !self.lacks_rollouts() {
            return None;
        }
        let update = self.shared.rollouts_update();
        self.cursor.rollouts = Some(update.revision);
        Some(update)
    }

    fn fresh(&self) -> bool {
        self.shared.member.leadership().fresh(Instant::now())
    }

    /// Picks a peer that can deliver the blob now, and takes one of its uploads.
    fn assign_source(&self, large: &MissingBlob) -> Option<SocketAddr> {
        let to = self.peer.as_ref()?;
        lock(&self.shared.fan_out).assign_source(large.blob.id(), to)
    }

    /// Makes the gateway fetch a blob from a peer.
    async fn send_source(
        &mut self,
        large: &MissingBlob,
        addr: SocketAddr,
    ) -> Result<(), LinkError> {
        let blob = large.blob.id();
        self.cursor.peer_fetch =
            Some(PeerFetch { blob, source: addr, advances_to: large.advances_to });
        self.shared.metrics.count_large_blob(BlobDelivery::FromPeer);
        let blob_source = Some(BlobSource { blob, addr });
        let update = Update { blob_source, ..self.periodic_update() };
        self.send(update).await
    }

    /// Sends the large blob that the gateway lacks, if it still lacks one.
    async fn send_large(&mut self, turn: Turn<'a>) -> Result<(), LinkError> {
        self.turn = None;
        let Some(large) = self.missing(&self.shared.published())?.large else {
            return Ok(());
        };
        self.cursor.advance(large.advances_to);
        self.shared.metrics.count_large_blob(BlobDelivery::Sent);
        turn.spend(large.blob.bytes().len());
        let blobs = vec![large.blob.bytes().clone()];
        let update = Update { blobs, ..self.periodic_update() };
        self.send(update).await
    }

    /// Waits for a turn, and sends all small blobs that the gateway lacks and the members if they changed.
    async fn send_small(&mut self) -> Result<(), LinkError> {
        let turn = self.shared.small_pacer.turn().await;
        let published = self.shared.published();
        let small = if self.status_only { Vec::new() } else { self.missing(&published)?.small };
        for missing in &small {
            self.cursor.advance(missing.advances_to);
        }
        let blobs = small.into_iter().map(|missing| missing.blob.bytes().clone()).collect();
        let addrs = member_addrs(&published);
        let members = (addrs != self.cursor.members).then(|| addrs.clone());
        self.cursor.members = addrs;
        let update = Update { blobs, members, ..self.periodic_update() };
        self.cursor.fresh = update.fresh;
        let frame = encode(&FromMember::Update(Box::new(update)))?;
        turn.spend(frame.len());
        self.next_small_at = tokio::time::Instant::now() + SMALL_BLOBS_INTERVAL;
        self.send_frame(frame).await
    }

    /// Sends an update without blobs, with the loads if they are due.
    async fn send_keep_alive(&mut self) -> Result<(), LinkError> {
        let update = self.periodic_update();
        self.send(update).await
    }

    /// Sends the origins of streams that the gateway asked for.
    async fn send_streams(&mut self, streams: Vec<StreamOrigin>) -> Result<(), LinkError> {
        if streams.is_empty() {
            return Ok(());
        }
        let update = Update { streams, ..self.periodic_update() };
        self.send(update).await
    }

    async fn send(&mut self, update: Update) -> Result<(), LinkError> {
        self.send_frame(encode(&FromMember::Update(Box::new(update)))?).await
    }

    async fn send_frame(&mut self, frame: bytes::Bytes) -> Result<(), LinkError> {
        let loads = self.shared.loads_interval();
        let interval =
            if self.cursor.idle { KEEP_ALIVE_INTERVAL } else { loads.min(KEEP_ALIVE_INTERVAL) };
        self.sender.send_encoded(frame).await?;
        self.keep_alive_at = tokio::time::Instant::now() + interval;
        Ok(())
    }

    /// Builds an update without blobs: the state of this member, orders that the gateway lacks, and if they are due,
    /// the loads and the fields that are sent with them.
    fn periodic_update(&mut self) -> Update {
        let now = self.shared.now();
        let gateways = self.shared.gateways_alive();
        let loads = self.next_loads(now);
        let version = self.shared.member.published().borrow().version();
        let (evacuations, rollouts) = (self.next_evacuations(), self.next_rollouts());
        let slack = self.shared.loads_interval() / 4;
        let evidence = loads.is_some().then(|| lock(&self.shared.evidence).total(now, slack));
        let prefix_holders = match loads {
            Some(_) => lock(&self.shared.prefix_holders)
                .next_for_gateway(now, &mut self.cursor.prefix_holders),
            None => Vec::new(),
        };
        let mixes = loads.as_ref().map(|_| lock(&self.shared.rollouts).mixes());
        let mixes = mixes.unwrap_or_default();
        let fresh = self.fresh();
        let relay_peers = self.next_relay_peers(now);
        let brittle = self.next_brittle(now, gateways);
        let dispatchers = self.next_dispatchers(now);
        let rest = Update { prefix_holders, mixes, relay_peers, ..Update::default() };
        let rest = Update { brittle, dispatchers, ..rest };
        Update { fresh, version, evacuations, rollouts, gateways, loads, evidence, ..rest }
    }

    /// The gateways that send requests on behalf of this one, if they changed and a look at them is due.
    fn next_relay_peers(&mut self, now: Duration) -> Option<Vec<RelayPeer>> {
        let gateway = self.relay_peer.as_ref().filter(|_| !self.status_only)?;
        if now < self.cursor.next_relay_peers_at {
            return None;
        }
        let known = lock(&self.shared.relay_peers);
        self.cursor.next_relay_peers_at = now + known.selection_interval();
        let selected = known.select(now, gateway);
        // A member that knows none may just have started; the gateway keeps those that it was told before.
        if selected.is_empty() || selected == self.cursor.relay_peers {
            return None;
        }
        self.cursor.relay_peers.clone_from(&selected);
        Some(selected)
    }

    /// The services with brittle targets, if they changed.
    fn next_brittle(&mut self, now: Duration, gateways: u32) -> Option<Vec<BrittleService>> {
        if self.status_only {
            return None;
        }
        let services = lock(&self.shared.brittle).all(now, gateways);
        if self.cursor.brittle.as_ref() == Some(&services) {
            return None;
        }
        self.cursor.brittle = Some(services.clone());
        Some(services)
    }

    /// The gateways that dispatch to brittle targets, if there are such targets, the gateways changed and a look at them
    /// is due.
    fn next_dispatchers(&mut self, now: Duration) -> Option<Vec<SocketAddr>> {
        let any_brittle = self.cursor.brittle.as_ref().is_some_and(|services| !services.is_empty());
        if !any_brittle || now < self.cursor.next_dispatchers_at {
            return None;
        }
        let known = lock(&self.shared.relay_peers);
        self.cursor.next_dispatchers_at = now + known.selection_interval();
        let dispatchers = known.dispatchers(now);
        if dispatchers.is_empty() || dispatchers == self.cursor.dispatchers {
            return None;
        }
        self.cursor.dispatchers.clone_from(&dispatchers);
        Some(dispatchers)
    }

    /// Requests in flight at the targets, if the next loads are due.
    fn next_loads(&mut self, now: Duration) -> Option<Loads> {
        if now < self.cursor.next_loads_at {
            return None;
        }
        self.cursor.next_loads_at = now + self.shared.loads_interval();
        let longest = self.shared.loads_ttl();
        let slack = self.shared.loads_interval() / 4;
        let loads = lock(&self.shared.load_totals).total(now, longest, slack);
        self.cursor.idle = loads.is_empty();
        Some(loads)
    }

    /// Handles the gateway's report about a large blob: its fetch is over, or it can be a source for peers.
    fn handle_report(&mut self, report: BlobReport) {
        let shared = self.shared;
        let mut fan_out = lock(&shared.fan_out);
        let (blob, has_blob) = match report {
            BlobReport::Received(blob) => (blob, true),
            BlobReport::FetchFailed(blob) => (blob, false),
        };
        if let Some(fetch) = self.cursor.peer_fetch.take_if(|fetch| fetch.blob == blob) {
            if has_blob {
                self.cursor.advance(fetch.advances_to);
                fan_out.release_upload(blob, fetch.source);
            } else {
                fan_out.fetch_failed(blob, fetch.source);
                shared.metrics.count_large_blob(BlobDelivery::PeerFailed);
                info!(shared.log, "blob not delivered by peer gateway"; "event" => "not_passed_on",
                    "from" => %fetch.source, "to" => &self.gateway, "brings" => ?fetch.advances_to);
            }
        }
        if let Some(peer) = self.peer.as_ref().filter(|_| has_blob) {
            fan_out.add_holder(blob, peer);
        }
    }

    /// Removes the gateway from the fan-out when its connection has ended: it is no source any more, and the upload
    /// that it used at another source is free.
    pub(super) fn close(&mut self) {
        let mut fan_out = lock(&self.shared.fan_out);
        if let Some(fetch) = self.cursor.peer_fetch.take() {
            fan_out.release_upload(fetch.blob, fetch.source);
        }
        if let Some(peer) = &self.peer {
            fan_out.remove_gateway(peer.addr);
        }
    }
}

/// Waits for the turn, for ever if there is none to wait for.
async fn granted<'a>(turn: &mut Option<PendingTurn<'a>>) -> Turn<'a> {
    match turn {
        Some(turn) => turn.await,
        None => std::future::pending().await,
    }
}

fn member_addrs(published: &Published) -> Vec<SocketAddr> {
    published.members.0.iter().map(|member| member.addr).collect()
}
