//! Metrics of a gateway.

use std::time::Duration;

use http::StatusCode;
use prometheus::{Gauge, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge};

use super::connection::{ConnectError, ProbeResult};
use super::refusal::Refusal;
use crate::link::LinkError;
use crate::metrics::{DURATION_BUCKETS, MetricSet, SHORT_DURATION_BUCKETS};

/// All metrics of one gateway.
pub(super) struct GatewayMetrics {
    set: MetricSet,
    requests: IntCounterVec,
    answers: IntCounterVec,
    refused: IntCounterVec,
    first_update_waits: IntCounterVec,
    attempts_failed: IntCounterVec,
    streams_cut: IntCounterVec,
    probes: IntCounterVec,
    poison_cleared: IntCounter,
    /// Poison requests forgotten because the list was full.
    pub(super) poison_dropped: IntCounter,
    /// Poison requests remembered: those under which targets crashed.
    pub(super) poison_known: IntGauge,
    /// Poison requests that are sent to no target.
    pub(super) poison_blocked: IntGauge,
    streams_resumed: IntCounter,
    streams_taken_up: IntCounterVec,
    silent_answers: IntCounterVec,
    streams_told: IntCounterVec,
    restarts_suspected: IntCounterVec,
    incarnations_asked: IntCounterVec,
    clients_disconnected: IntCounter,
    clients_cut: IntCounterVec,
    connections_closed: IntCounterVec,
    /// Open connections of clients.
    pub(super) connections: IntGauge,
    /// Bytes of memory held for clients.
    pub(super) held_bytes: IntGauge,
    answer_seconds: HistogramVec,
    whole_answer_seconds: HistogramVec,
    connect_seconds: HistogramVec,
    connections_used: IntCounterVec,
    /// Number of services none of whose targets can be reached from here.
    pub(super) services_unreachable: IntGauge,
    reach_probes: IntCounterVec,
    rejections_by_brittle: IntCounterVec,
    admissions: IntCounterVec,
    offers_to_peers: IntCounterVec,
    served_for_peers: IntCounterVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    retries_withheld: IntCounterVec,
    cold_attempts: IntCounterVec,
    draining_answers: IntCounterVec,
    backoffs: IntCounterVec,
    unread_headers: IntCounterVec,
    fleet_ejections: IntCounterVec,
    blob_requests: IntCounterVec,
    blob_fetches: IntCounterVec,
    member_disconnects: IntCounterVec,
    /// Seconds since the last update of a member that has contact with a leader; -1 before the first.
    pub(super) update_age: Gauge,
    /// Seconds in which this process was paused.
    pub(super) paused: Gauge,
    /// Revision of the directory.
    pub(super) revision: IntGauge,
    /// Version of the configuration in force.
    pub(super) version: IntGauge,
    /// Newest configuration version that a member has announced.
    pub(super) version_announced: IntGauge,
    /// Upper bound of the delay with which configurations came into force here.
    pub(super) in_force: Histogram,
    /// Number of targets in the directory.
    pub(super) targets: IntGauge,
    /// Number of live gateways.
    pub(super) gateways: IntGauge,
}

impl GatewayMetrics {
    /// Registers all metrics, at zero.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let set = MetricSet::default();
        let metrics = GatewayMetrics {
            requests: set.counters(
                "latchmount_gateway_requests_total",
                "Requests for a service.",
                &["service"],
            )?,
            answers: set.counters(
                "latchmount_gateway_answers_total",
                "Answers of targets passed on, by status.",
                &["status"],
            )?,
            refused: set.counters(
                "latchmount_gateway_refused_total",
                "Requests refused or given up on.",
                &["reason"],
            )?,
            first_update_waits: set.counters(
                "latchmount_gateway_first_news_waits_total",
                "Requests that waited for the first configuration, by whether it came in time.",
                &["came"],
            )?,
            attempts_failed: set.counters(
                "latchmount_gateway_attempts_failed_total",
                "Attempts at a target that gave no whole answer.",
                &["reason"],
            )?,
            streams_cut: set.counters(
                "latchmount_gateway_streams_cut_total",
                "Streams cut after they had begun.",
                &["reason"],
            )?,
            poison_cleared: set.counter(
                "latchmount_gateway_poison_cleared_total",
                "Requests under which a target ended and that ended well later.",
            )?,
            poison_dropped: set.counter(
                "latchmount_gateway_poison_dropped_total",
                "Requests under which targets ended that were forgotten for want of room.",
            )?,
            poison_known: set.gauge(
                "latchmount_gateway_poison_known",
                "Requests under which targets ended.",
            )?,
            poison_blocked: set.gauge(
                "latchmount_gateway_poison_blocked",
                "Requests of these that are sent nowhere.",
            )?,
            probes: set.counters(
                "latchmount_gateway_inquests_total",
                "Looks at targets whose answer broke off, by what was found.",
                &["service", "found"],
            )?,
            streams_resumed: set.counter(
                "latchmount_gateway_streams_resumed_total",
                "Streams that went on at another target.",
            )?,
            streams_taken_up: set.counters(
                "latchmount_gateway_streams_taken_up_total",
                "Streams that clients resumed by a new request, by how it is known which version began them.",
                &["origin"],
            )?,
            streams_told: set.counters(
                "latchmount_gateway_streams_told_total",
                "Streams whose first event waited until a member was sent their origin, by whether that was in time.",
                &["in_time"],
            )?,
            silent_answers: set.counters(
                "latchmount_gateway_silent_answers_total",
                "Silent answers kept open while another target was asked, by what became of them.",
                &["service", "outcome"],
            )?,
            restarts_suspected: set.counters(
                "latchmount_gateway_restarts_suspected_total",
                "Times that a target may have restarted without an announcement, by sign.",
                &["service", "sign"],
            )?,
            incarnations_asked: set.counters(
                "latchmount_gateway_incarnations_asked_total",
                "Times that a target was asked for its incarnation, by what was found.",
                &["service", "found"],
            )?,
            clients_disconnected: set.counter(
                "latchmount_gateway_clients_left_total",
                "Clients that left before their final answer.",
            )?,
            clients_cut: set.counters(
                "latchmount_gateway_clients_cut_total",
                "Connections of clients that sent or read slowly and were cut, by why.",
                &["why"],
            )?,
            connections_closed: set.counters(
                "latchmount_gateway_connections_closed_total",
                "Connections that were closed to make room for others, by port.",
                &["port"],
            )?,
            connections: set.gauge(
                "latchmount_gateway_client_connections",
                "Open connections of clients.",
            )?,
            held_bytes: set.gauge(
                "latchmount_gateway_held_bytes",
                "Bytes of memory that are held for clients: connections, requests and answers.",
            )?,
            answer_seconds: set.histograms(
                "latchmount_gateway_answer_seconds",
                "Time from a request's head to its answer, for streams to the first event.",
                &DURATION_BUCKETS,
                &["service"],
            )?,
            whole_answer_seconds: set.histograms(
                "latchmount_gateway_whole_answer_seconds",
                "Time from a request's head to the end of its answer.",
                &DURATION_BUCKETS,
                &["service"],
            )?,
            connect_seconds: set.histograms(
                "latchmount_gateway_connect_seconds",
                "Time to open a connection to a target, or to fail to.",
                &SHORT_DURATION_BUCKETS,
                &["outcome"],
            )?,
            connections_used: set.counters(
                "latchmount_gateway_connections_used_total",
                "Connections to targets that attempts were given, by whether they were kept from earlier ones.",
                &["from"],
            )?,
            services_unreachable: set.gauge(
                "latchmount_gateway_services_unreachable",
                "Services none of whose targets can be reached from here.",
            )?,
            reach_probes: set.counters(
                "latchmount_gateway_reach_probes_total",
                "Looks at targets of services that can't be reached from here, by whether one answered.",
                &["service", "answered"],
            )?,
            rejections_by_brittle: set.counters(
                "latchmount_gateway_rejections_by_brittle_targets_total",
                "Requests for which a target that says that it is brittle had no room.",
                &["service"],
            )?,
            admissions: set.counters(
                "latchmount_gateway_admissions_total",
                "Requests for brittle targets to which this gateway dispatches, by what it decided.",
                &["service", "outcome"],
            )?,
            offers_to_peers: set.counters(
                "latchmount_gateway_offers_to_peers_total",
                "Requests offered to a peer gateway since their targets can't be reached from here, by the outcome.",
                &["service", "outcome"],
            )?,
            served_for_peers: set.counters(
                "latchmount_gateway_served_for_peers_total",
                "Requests taken from peer gateways that can't reach the targets, by the outcome.",
                &["outcome"],
            )?,
            attempts: set.counters(
                "latchmount_gateway_attempts_total",
                "Attempts at targets, by how they ended.",
                &["service", "outcome"],
            )?,
            retries: set.counters(
                "latchmount_gateway_retries_total",
                "Further attempts that the budget allowed.",
                &["service"],
            )?,
            retries_withheld: set.counters(
                "latchmount_gateway_retries_withheld_total",
                "Further attempts that the budget did not allow.",
                &["service"],
            )?,
            cold_attempts: set.counters(
                "latchmount_gateway_cold_attempts_total",
                "Attempts at targets that are slow after a start, or may be.",
                &["service"],
            )?,
            draining_answers: set.counters(
                "latchmount_gateway_answers_of_leaving_targets_total",
                "Answers that say that their target is about to leave.",
                &["service"],
            )?,
            backoffs: set.counters(
                "latchmount_gateway_rests_asked_total",
                "Answers of targets that turned a request away and want nothing more for a while.",
                &["service"],
            )?,
            unread_headers: set.counters(
                "latchmount_gateway_unread_headers_total",
                "Headers of targets' answers that are the dialect's own and that nothing reads, by name.",
                &["name"],
            )?,
            fleet_ejections: set.counters(
                "latchmount_gateway_targets_left_together_total",
                "Times that a target was left because of what all gateways saw.",
                &["service"],
            )?,
            blob_requests: set.counters(
                "latchmount_gateway_parcels_asked_total",
                "Parcels of news that other gateways asked this one for, by whether it had them.",
                &["had"],
            )?,
            blob_fetches: set.counters(
                "latchmount_gateway_parcels_fetched_total",
                "Parcels of news that members named, by whether another gateway passed them on.",
                &["outcome"],
            )?,
            member_disconnects: set.counters(
                "latchmount_gateway_members_left_total",
                "Members that were followed no longer, by why.",
                &["reason"],
            )?,
            update_age: set.float_gauge(
                "latchmount_gateway_news_age_seconds",
                "Time since a member that hears a leader was last heard; -1 before.",
            )?,
            paused: set.float_gauge(
                "latchmount_gateway_paused_seconds",
                "Time in which this process stood still.",
            )?,
            revision: set.gauge(
                "latchmount_gateway_directory_revision",
                "Revision of the list of targets.",
            )?,
            version: set.gauge(
                "latchmount_gateway_configuration_version",
                "Version of the configuration in force.",
            )?,
            version_announced: set.gauge(
                "latchmount_gateway_configuration_told",
                "Newest version of a configuration that a member told of.",
            )?,
            in_force: set.histogram(
                "latchmount_gateway_in_force_seconds",
                "Time from the last word of a member that held nothing newer until a newer configuration came into force.",
                &DURATION_BUCKETS,
            )?,
            targets: set.gauge("latchmount_gateway_targets", "Targets known.")?,
            gateways: set.gauge("latchmount_gateway_gateways", "Gateways alive.")?,
            set,
        };
        for refusal in Refusal::ALL {
            metrics.refused.with_label_values(&[refusal.code()]);
            metrics.attempts_failed.with_label_values(&[refusal.code()]);
        }
        Ok(metrics)
    }

    /// Counts a peer gateway's request for a blob; `had` says whether it was in the cache.
    pub(super) fn blob_requested(&self, had: bool) {
        self.blob_requests.with_label_values(&[if had { "yes" } else { "no" }]).inc();
    }

    /// Counts a fetch of a blob from a peer gateway, which failed if there is an `error`.
    pub(super) fn blob_fetched(&self, error: Option<&LinkError>) {
        let outcome = error.map_or("fetched", LinkError::label);
        self.blob_fetches.with_label_values(&[outcome]).inc();
    }

    /// Counts the end of a subscription to a member.
    pub(super) fn member_disconnected(&self, reason: &str) {
        self.member_disconnects.with_label_values(&[reason]).inc();
    }

    pub(super) fn requested(&self, service: &str) {
        self.requests.with_label_values(&[service]).inc();
    }

    pub(super) fn answered(&self, status: StatusCode) {
        self.answers.with_label_values(&[status.as_str()]).inc();
    }

    pub(super) fn refused(&self, refusal: Refusal) {
        self.refused.with_label_values(&[refusal.code()]).inc();
    }

    /// Counts a request that waited for the first configuration; `came` says whether that arrived in time.
    pub(super) fn waited_for_first_update(&self, came: bool) {
        self.first_update_waits.with_label_values(&[if came { "yes" } else { "no" }]).inc();
    }

    pub(super) fn attempt_failed(&self, refusal: Refusal) {
        self.attempts_failed.with_label_values(&[refusal.code()]).inc();
    }

    pub(super) fn stream_cut(&self, refusal: Refusal) {
        self.streams_cut.with_label_values(&[refusal.code()]).inc();
    }

    pub(super) fn stream_resumed(&self) {
        self.streams_resumed.inc();
    }

    /// A client resumed a stream by a new request.
    pub(super) fn stream_taken_up(&self, origin: &str) {
        self.streams_taken_up.with_label_values(&[origin]).inc();
    }

    /// The first event of a stream waited until a member was sent the stream's origin.
    pub(super) fn stream_told(&self, in_time: bool) {
        self.streams_told.with_label_values(&[if in_time { "yes" } else { "no" }]).inc();
    }

    /// A silent answer went on, was replaced or was lost.
    pub(super) fn silent_answer(&self, service: &str, outcome: &str) {
        self.silent_answers.with_label_values(&[service, outcome]).inc();
    }

    /// A target may have restarted without an announcement.
    pub(super) fn restart_suspected(&self, service: &str, sign: &str) {
        self.restarts_suspected.with_label_values(&[service, sign]).inc();
    }

    /// A target was asked for its incarnation.
    pub(super) fn incarnation_asked(&self, service: &str, found: &str) {
        self.incarnations_asked.with_label_values(&[service, found]).inc();
    }

    pub(super) fn client_disconnected(&self) {
        self.clients_disconnected.inc();
    }

    /// The counter of connections to a port that are closed to make room for others.
    pub(super) fn connections_closed(&self, port: &str) -> IntCounter {
        self.connections_closed.with_label_values(&[port])
    }

    /// The counter of clients' connections that are closed to make room for others.
    pub(super) fn clients_closed(&self) -> IntCounter {
        self.clients_cut.with_label_values(&["no_room"])
    }

    /// Counts a slow client whose connection was closed.
    pub(super) fn client_cut(&self, why: &str) {
        self.clients_cut.with_label_values(&[why]).inc();
    }

    /// Counts a probe of a service whose targets can't be reached.
    pub(super) fn reach_probed(&self, service: &str, answered: bool) {
        let answered = if answered { "yes" } else { "no" };
        self.reach_probes.with_label_values(&[service, answered]).inc();
    }

    /// Counts a request for which a brittle target had no room.
    pub(super) fn rejected_by_brittle(&self, service: &str) {
        self.rejections_by_brittle.with_label_values(&[service]).inc();
    }

    /// Counts a request for a brittle target to which this gateway dispatches.
    pub(super) fn admitted(&self, service: &str, outcome: &str) {
        self.admissions.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a request that was offered to a peer gateway.
    pub(super) fn offered_to_peer(&self, service: &str, outcome: &str) {
        self.offers_to_peers.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a request that was taken from a peer gateway; `outcome` is `answered` or the code of a refusal.
    pub(super) fn served_for_peer(&self, outcome: &str) {
        self.served_for_peers.with_label_values(&[outcome]).inc();
    }

    /// Counts an attempt; `outcome` is an HTTP status or the reason of a failure.
    pub(super) fn attempt_ended(&self, service: &str, outcome: &str) {
        self.attempts.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a request to a target that is cold, or may be.
    pub(super) fn cold_attempt(&self, service: &str) {
        self.cold_attempts.with_label_values(&[service]).inc();
    }

    /// Counts an answer whose headers say that the target is about to shut down.
    pub(super) fn draining_announced(&self, service: &str) {
        self.draining_answers.with_label_values(&[service]).inc();
    }

    /// Counts an answer with which a target turned the request away and asked for a back-off.
    pub(super) fn backoff_requested(&self, service: &str) {
        self.backoffs.with_label_values(&[service]).inc();
    }

    /// Counts a header of the dialect in a target's answer that no code reads.
    pub(super) fn unread_header(&self, name: &str) {
        self.unread_headers.with_label_values(&[name]).inc();
    }

    /// Counts a target that was ejected because of what all gateways together observed.
    pub(super) fn ejected_by_fleet(&self, service: &str) {
        self.fleet_ejections.with_label_values(&[service]).inc();
    }

    /// Counts a connection given to an attempt; `kept` says whether an earlier one had used it.
    pub(super) fn connection_used(&self, kept: bool) {
        self.connections_used.with_label_values(&[if kept { "kept" } else { "new" }]).inc();
    }

    /// Records the time that it took to open a connection to a target, or to fail.
    pub(super) fn connected(&self, opened: Result<(), ConnectError>, time: Duration) {
        let outcome = match opened {
            Ok(()) => "open",
            Err(ConnectError::Timeout) => "timeout",
            Err(ConnectError::Refused) => "refused",
            Err(ConnectError::Broke) => "broke",
            Err(ConnectError::TooMany) => "too_many",
            Err(ConnectError::NotWanted) => "not_wanted",
            Err(ConnectError::TooLate) => "too_late",
        };
        self.connect_seconds.with_label_values(&[outcome]).observe(time.as_secs_f64());
    }

    /// Counts a request that was cleared of suspicion: a target crashed under it, and it was answered in full later.
    pub(super) fn poison_cleared(&self) {
        self.poison_cleared.inc();
    }

    /// Counts the probe of a target whose answer broke off.
    pub(super) fn target_probed(&self, service: &str, found: ProbeResult) {
        let found = match found {
            ProbeResult::Ended => "ended",
            ProbeResult::Lives => "lives",
            ProbeResult::Unknown => "unknown",
        };
        self.probes.with_label_values(&[service, found]).inc();
    }

    /// Counts a retry that the budget allowed or did not allow.
    pub(super) fn retried(&self, service: &str, allowed: bool) {
        let counter = if allowed { &self.retries } else { &self.retries_withheld };
        counter.with_label_values(&[service]).inc();
    }

    /// Records the time from a request's head to the end of its answer.
    pub(super) fn answer_ended(&self, service: &str, time: Duration) {
        self.whole_answer_seconds.with_label_values(&[service]).observe(time.as_secs_f64());
    }

    /// Records the time from a request's head to the start of its answer; for a stream, to the first event.
    pub(super) fn answer_started(&self, service: &str, time: Duration) {
        self.answer_seconds.with_label_values(&[service]).observe(time.as_secs_f64());
    }

    /// The metrics in the Prometheus text format.
    pub(super) fn render(&self) -> Vec<u8> {
        self.set.render()
    }
}
