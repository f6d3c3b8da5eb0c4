//! Serves the gateways that have subscribed at this member: records their reports, and sends them updates.

use std::time::Duration;

use slog::info;
use tokio::sync::mpsc;

use super::Shared;
use super::brittle::ReportedBy as BrittleReportedBy;
use super::evacuation::evacuations_version;
use super::message::{Subscription, ToMember};
use super::prefix_holders::ReportedBy;
use super::propagation::ConnectionId;
use super::relay_peers::RelayPeer;
use super::restarts::{MAX_PER_MESSAGE, SuspectedRestart};
use super::stream_origins::{ReportedBy as StreamReportedBy, StreamKey, StreamOrigin};
use super::update_sender::{BlobReport, UpdateSender};
use crate::directory::Announcement;
use crate::link::{FrameReceiver, FrameSender, LinkError};
use crate::sync::lock;

/// Queued reports of one gateway about large blobs. A gateway has one large blob on its way at a time.
const BLOB_REPORTS_LEN: usize = 16;
/// Heartbeat intervals within which a group with a leader has heard each target, or counts it as unresponsive.
const HEARTBEATS_TO_HEAR: u32 = 5;
/// Queued answers to one gateway about the origins of streams.
const FOUND_STREAMS_LEN: usize = 16;

/// Serves one gateway until its connection ends.
pub(super) async fn serve(
    shared: &Shared,
    subscription: Subscription,
    sender: FrameSender,
    mut receiver: FrameReceiver,
) -> Result<(), LinkError> {
    let gateway = subscription.gateway.clone();
    lock(&shared.presence).connect(&gateway);
    let relay_peer = relay_peer(&subscription);
    let relays = relay_peer.as_ref().filter(|_| subscription.relays);
    if let Some(peer) = relays {
        lock(&shared.relay_peers).connect(peer);
    }
    lock(&shared.gateways_behind).connect(&gateway, subscription.supported_level);
    let propagation_id =
        lock(&shared.propagation).connect(shared.now(), &gateway, subscription.version);
    let evacuations = evacuations_version(subscription.evacuations);
    let orders_propagation_id =
        lock(&shared.orders_propagation).connect(shared.now(), &gateway, evacuations);
    let (blob_reports, queued) = mpsc::channel(BLOB_REPORTS_LEN);
    let (found_streams, found) = mpsc::channel(FOUND_STREAMS_LEN);
    let receiving = async {
        loop {
            let now = shared.now();
            match receiver.receive().await? {
                ToMember::Loads { loads, outcomes, prefix_holders, tallies, streams } => {
                    lock(&shared.load_totals).record_gateway(now, &gateway, loads);
                    lock(&shared.evidence).record_gateway(now, &gateway, &outcomes);
                    lock(&shared.prefix_holders).record(now, ReportedBy::Gateway, &prefix_holders);
                    lock(&shared.rollouts).record_gateway(&tallies);
                    shared.record_streams(StreamReportedBy::Local, &streams);
                }
                ToMember::Brittle(services) => {
                    lock(&shared.brittle).record(now, BrittleReportedBy::Gateway, &services);
                }
                ToMember::Streams(streams) => {
                    shared.record_streams(StreamReportedBy::Local, &streams);
                    shared.streams_urgent.notify_one();
                }
                ToMember::FindStreams(streams) => {
                    // A full queue drops the answer; the gateway asks again.
                    let _ = found_streams.try_send(shared.find_streams(&streams));
                }
                ToMember::SuspectedRestarts(restarts) => {
                    shared.record_gateway_restarts(&restarts);
                }
                ToMember::Poison(reports) => shared.record_gateway_poison(&gateway, reports)?,
                ToMember::ConfigurationInForce(version) => {
                    note_in_force(shared, propagation_id, version)
                }
                ToMember::EvacuationsInForce(revision) => {
                    shared.record_evacuations_in_force(orders_propagation_id, revision)
                }
                ToMember::HasBlob(blob) => {
                    report(&blob_reports, BlobReport::Received(blob)).await?
                }
                ToMember::BlobFetchFailed(blob) => {
                    report(&blob_reports, BlobReport::FetchFailed(blob)).await?
                }
                _ => return Err(LinkError::Garbled),
            }
        }
    };
    let mut updates = UpdateSender::new(shared, &subscription, relay_peer.clone(), sender);
    let ended = tokio::select! {
        ended = updates.run(queued, found) => ended,
        ended = receiving => ended,
    };
    updates.close();
    let now = shared.now();
    lock(&shared.presence).disconnect(shared.run_clock.ran(), &gateway);
    if let Some(peer) = relays {
        lock(&shared.relay_peers).disconnect(peer);
    }
    lock(&shared.gateways_behind).disconnect(now, &gateway);
    lock(&shared.load_totals).forget_gateway(&gateway);
    lock(&shared.propagation).disconnect(propagation_id);
    lock(&shared.orders_propagation).disconnect(orders_propagation_id);
    shared.log_evacuations_everywhere();
    log_propagated(shared);
    ended
}

impl Shared {
    /// Records incarnations that a gateway suspects to have ended, and tells the other members those that are new.
    fn record_gateway_restarts(&self, restarts: &[SuspectedRestart]) {
        let new = self.record_restarts(StreamReportedBy::Local, restarts);
        if !new.is_empty() {
            let from = self.own_addr;
            self.broadcast(&ToMember::MemberSuspectedRestarts { from, restarts: new });
        }
    }

    /// Records incarnations that may have ended, and wakes the tasks that tell the gateways. Returns those that are new.
    pub(super) fn record_restarts(
        &self,
        by: StreamReportedBy,
        restarts: &[SuspectedRestart],
    ) -> Vec<SuspectedRestart> {
        let (now, mut known) = (self.now(), lock(&self.restarts));
        let restarts = restarts.iter().take(MAX_PER_MESSAGE);
        let new =
            restarts.filter(|suspicion| known.record(now, by, **suspicion)).copied().collect();
        let newest = known.newest_change();
        drop(known);
        self.restart_updates.send_if_modified(|known| std::mem::replace(known, newest) != newest);
        new
    }

    /// Records which versions began streams.
    pub(super) fn record_streams(&self, by: StreamReportedBy, streams: &[StreamOrigin]) {
        let (now, mut known) = (self.now(), lock(&self.streams));
        let new = streams.iter().filter(|origin| known.record(now, by, **origin)).count();
        drop(known);
        if new > 0 {
            self.streams_recorded.notify_one();
        }
    }

    /// Whether targets that may restart under their identity could be heard since this member started. Until then one
    /// may run as another version than the listed one, and no stream from before the start can be resumed safely.
    fn heard_targets(&self) -> bool {
        let heartbeat = Duration::from_millis(self.settings.target_heartbeat_ms);
        let led_for = self.led_since.get().map(|since| self.run_clock.ran().saturating_sub(*since));
        let heard = led_for.is_some_and(|led_for| led_for >= HEARTBEATS_TO_HEAR * heartbeat);
        let published = self.member.published();
        let restarts_unseen = |target: &Announcement| target.born.0.is_some();
        heard || !published.borrow().directory.targets().any(restarts_unseen)
    }

    /// The origins of those of the streams that are known here.
    fn find_streams(&self, streams: &[StreamKey]) -> Vec<StreamOrigin> {
        let (now, known) = (self.now(), lock(&self.streams));
        let trusts_disk = self.heard_targets();
        let find = |stream: &StreamKey| match trusts_disk {
            true => known.find(now, *stream),
            false => known.find_told(now, *stream),
        };
        let found: Vec<_> = streams.iter().filter_map(find).collect();
        self.metrics.streams_asked_for(streams.len(), found.len());
        found
    }
}

/// The gateway as one that sends requests on behalf of others, or has others do so; `None` if it has no address for
/// other gateways.
fn relay_peer(subscription: &Subscription) -> Option<RelayPeer> {
    let addr = subscription.serves_blobs_at?;
    Some(RelayPeer { addr, data_hall: subscription.data_hall.clone() })
}

async fn report(reports: &mpsc::Sender<BlobReport>, report: BlobReport) -> Result<(), LinkError> {
    reports.send(report).await.map_err(|_| LinkError::Closed)
}

/// Records that a gateway now applies the configuration of this version.
fn note_in_force(shared: &Shared, connection: ConnectionId, version: u64) {
    let waited = lock(&shared.propagation).set_in_force(shared.now(), connection, version);
    if let Some(waited) = waited {
        shared.metrics.in_force.observe(waited.as_secs_f64());
    }
    log_propagated(shared);
}

/// Logs configurations that are now in force at all gateways connected here, with the gateway that waited longest.
fn log_propagated(shared: &Shared) {
    let all = lock(&shared.propagation).take_propagated();
    for propagated in all {
        let slowest = propagated.slowest.as_ref();
        info!(shared.log, "configuration in force at all connected gateways";
            "event" => "configuration_everywhere",
            "version" => propagated.version, "gateways" => propagated.reached,
            "last" => slowest.map(|slowest| slowest.gateway.as_str()),
            "waited_ms" => slowest.map(|slowest| slowest.waited.as_millis() as u64));
    }
}
