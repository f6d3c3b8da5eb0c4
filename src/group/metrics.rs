//! Metrics of a member. Gauges are set from its state at each scrape.

use std::sync::Arc;

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};
use tokio::net::TcpListener;

use super::Shared;
use crate::clock::Instant;
use crate::metrics::{DURATION_BUCKETS, MetricSet, SHORT_DURATION_BUCKETS};
use crate::raft::Standing;
use crate::serving::buffers::ClientBuffers;
use crate::status_server;
use crate::sync::lock;

/// Maximum length of a field name used as a label value.
const MAX_FIELD_LABEL_BYTES: usize = 16;

/// How a large blob got to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BlobDelivery {
    /// This member sent it.
    Sent,
    /// The member assigned a peer gateway as the source, from which the gateway fetches it.
    FromPeer,
    /// The peer gateway did not provide it.
    PeerFailed,
}

impl BlobDelivery {
    fn label(self) -> &'static str {
        match self {
            BlobDelivery::Sent => "sent",
            BlobDelivery::FromPeer => "named",
            BlobDelivery::PeerFailed => "not_passed_on",
        }
    }
}

/// All metrics of one member.
pub(super) struct MemberMetrics {
    set: MetricSet,
    /// Calls of operators and targets, by call and HTTP status.
    pub(super) calls: IntCounterVec,
    refused: IntCounterVec,
    connections_closed: IntCounterVec,
    connections: IntGaugeVec,
    held_bytes: IntGaugeVec,
    /// Elections won.
    pub(super) elections: IntCounter,
    /// Time that syncs of the log take.
    pub(super) sync: Histogram,
    /// Time from a proposal at the leader to its answer.
    pub(super) commit: Histogram,
    large_blobs: IntCounterVec,
    /// Time until a configuration is in force at a gateway.
    pub(super) in_force: Histogram,
    /// Time until a gateway applies an evacuation order.
    pub(super) evacuation_in_force: Histogram,
    rollout_steps: IntCounterVec,
    announcements_waiting: IntGauge,
    evacuated: IntGauge,
    term: IntGauge,
    leads: IntGauge,
    has_leader: IntGauge,
    applied: IntGauge,
    version: IntGauge,
    voters: IntGauge,
    targets: IntGauge,
    gateways: IntGauge,
    followers: IntGauge,
    level: IntGauge,
    level_known: IntGauge,
    gateways_behind: IntGauge,
    streams_asked_for: IntCounterVec,
    poison_known: IntGauge,
    poison_blocked: IntGauge,
    /// Poison requests dropped because too many were remembered.
    pub(super) poison_dropped: IntCounter,
}

impl MemberMetrics {
    /// The counter of connections to a port that are closed to make room for others.
    pub(super) fn connections_closed(&self, port: &str) -> IntCounter {
        self.connections_closed.with_label_values(&[port])
    }

    /// Gateways asked for the origins of `asked` streams, of which `known` are known here.
    pub(super) fn streams_asked_for(&self, asked: usize, known: usize) {
        let count = |label: &str, streams: usize| {
            self.streams_asked_for.with_label_values(&[label]).inc_by(streams as u64);
        };
        count("yes", known);
        count("no", asked - known);
    }

    /// Registers all metrics.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let set = MetricSet::default();
        let gauge = |name: &str, help: &str| set.gauge(&format!("latchmount_member_{name}"), help);
        let histogram = |name: &str, help: &str, bounds: &[f64]| {
            set.histogram(&format!("latchmount_member_{name}"), help, bounds)
        };
        Ok(MemberMetrics {
            calls: set.counters(
                "latchmount_member_calls_total",
                "Calls of operators and targets.",
                &["call", "outcome"],
            )?,
            connections_closed: set.counters(
                "latchmount_member_connections_closed_total",
                "Connections that were closed to make room for others, by port.",
                &["port"],
            )?,
            connections: set.gauges(
                "latchmount_member_connections",
                "Open connections, by port.",
                &["port"],
            )?,
            held_bytes: set.gauges(
                "latchmount_member_held_bytes",
                "Bytes of memory held for connections, by port.",
                &["port"],
            )?,
            streams_asked_for: set.counters(
                "latchmount_member_streams_asked_for_total",
                "Streams whose origins gateways asked for, by whether this member knew them.",
                &["known"],
            )?,
            refused: set.counters(
                "latchmount_member_announcements_refused_total",
                "Announcements that are no target's, by the field that tells so.",
                &["field"],
            )?,
            elections: set.counter(
                "latchmount_member_elections_won_total",
                "Times that this member became the leader.",
            )?,
            sync: histogram(
                "sync_seconds",
                "Time for the disk to hold what was written.",
                &SHORT_DURATION_BUCKETS,
            )?,
            commit: histogram(
                "commit_seconds",
                "Time from a proposal at the leader to its answer.",
                &SHORT_DURATION_BUCKETS,
            )?,
            large_blobs: set.counters(
                "latchmount_member_large_parcels_total",
                "Large parcels of news: sent to a gateway, named with another that has it, or not passed on.",
                &["way"],
            )?,
            in_force: histogram(
                "in_force_seconds",
                "Time from a configuration's arrival here, or a gateway's if it was later, until the gateway has it.",
                &DURATION_BUCKETS,
            )?,
            evacuation_in_force: histogram(
                "evacuation_in_force_seconds",
                "Time from an order about a data hall, or a gateway's arrival if it was later, until the gateway obeys.",
                &DURATION_BUCKETS,
            )?,
            announcements_waiting: gauge(
                "announcements_waiting",
                "Announcements with news that wait for the leader.",
            )?,
            rollout_steps: set.counters(
                "latchmount_member_rollout_steps_total",
                "Stages that this member had roll-outs take as the leader.",
                &["stage"],
            )?,
            evacuated: gauge("data_halls_evacuated", "Data halls that are evacuated.")?,
            term: gauge("term", "Newest term seen.")?,
            leads: gauge("leads", "Whether this member leads.")?,
            has_leader: gauge("hears_leader", "Whether a leader was heard lately, or leads here.")?,
            applied: gauge("applied_index", "Last entry of the log applied.")?,
            version: gauge("configuration_version", "Version of the configuration held.")?,
            voters: gauge("voters", "Members that vote.")?,
            targets: gauge("targets", "Targets in the directory.")?,
            gateways: gauge("gateways", "Gateways alive.")?,
            level: gauge("level", "What the group may use.")?,
            level_known: gauge(
                "level_known",
                "Level that this member and the gateways connected to it know.",
            )?,
            gateways_behind: gauge(
                "gateways_behind",
                "Gateways connected here, or lately, of an earlier build.",
            )?,
            poison_known: gauge("poison_known", "Requests under which targets ended.")?,
            poison_blocked: gauge("poison_blocked", "Requests of these that are sent nowhere.")?,
            poison_dropped: set.counter(
                "latchmount_member_poison_dropped_total",
                "Requests under which targets ended that were forgotten for want of room.",
            )?,
            followers: gauge("followers", "Gateways that get their news from this member.")?,
            set,
        })
    }

    /// Counts a call by its HTTP status.
    pub(super) fn count_call(&self, call: &str, outcome: &str) {
        self.calls.with_label_values(&[call, outcome]).inc();
    }

    /// Counts an invalid announcement by the first part of the path of its faulty field. The path comes from the
    /// sender, so anything but a short plain name is counted as `other`, which bounds the number of label values.
    pub(super) fn count_refused_announcement(&self, path: &str) {
        let field = path.split(['.', '[']).next().unwrap_or("");
        let plain = field.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'-');
        let field = if plain && field.len() <= MAX_FIELD_LABEL_BYTES { field } else { "other" };
        self.refused.with_label_values(&[field]).inc();
    }

    /// Counts a stage that this member proposes for a roll-out.
    pub(super) fn count_rollout_step(&self, stage: &str) {
        self.rollout_steps.with_label_values(&[stage]).inc();
    }

    /// Counts a large blob by its delivery.
    pub(super) fn count_large_blob(&self, delivery: BlobDelivery) {
        self.large_blobs.with_label_values(&[delivery.label()]).inc();
    }

    fn render(&self, shared: &Shared) -> Vec<u8> {
        let (published, leadership) = (shared.published(), shared.member.leadership());
        let voters = published.members.0.iter().filter(|one| one.kind == Standing::Voter);
        let version = published.version();
        let evacuated = published.evacuations.halls().filter(|(_, order)| order.evacuated);
        self.evacuated.set(evacuated.count() as i64);
        self.term.set(leadership.term as i64);
        self.leads.set(i64::from(leadership.leads));
        self.has_leader.set(i64::from(leadership.fresh(Instant::now())));
        self.applied.set(published.applied as i64);
        self.version.set(version as i64);
        self.voters.set(voters.count() as i64);
        self.targets.set(published.directory.targets().count() as i64);
        self.gateways.set(i64::from(shared.gateways_alive()));
        for (port, buffers) in [("calls", &shared.api_buffers), ("peers", &shared.peer_buffers)] {
            self.connections.with_label_values(&[port]).set(buffers.connections() as i64);
            self.held_bytes.with_label_values(&[port]).set(buffers.held() as i64);
        }
        let (known, blocked) = shared.count_poison();
        self.poison_known.set(known as i64);
        self.poison_blocked.set(blocked as i64);
        self.level.set(published.level.0.into());
        self.level_known.set(shared.supported_level().0.into());
        self.gateways_behind.set(shared.gateways_behind() as i64);
        self.announcements_waiting.set(shared.batches.len() as i64);
        self.followers.set(lock(&shared.propagation).connections() as i64);
        self.set.render()
    }
}

/// Serves the metrics over HTTP; never returns.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let bounds = status_server::bounds(shared.settings.max_descriptors);
    let closed = shared.metrics.connections_closed("metrics");
    let buffers = ClientBuffers::new("metrics", bounds, closed, &shared.log);
    status_server::serve(listener, buffers, move |_| {
        (http::StatusCode::OK, shared.metrics.render(&shared))
    })
    .await;
}
