//! Metrics of a gateway.

use std::time::Duration;

use http::StatusCode;
use prometheus::{Gauge, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge};

use super::connection::{ConnectError, ProbeResult};
use super::refusal::Refusal;
use crate::link::LinkError;
use crate::metrics::{MetricSet, SECONDS, SHORT_SECONDS};

/// All metrics of one gateway.
pub(super) struct GatewayMetrics {
    set: MetricSet,
    requests: IntCounterVec,
    answers: IntCounterVec,
    refused: IntCounterVec,
    first_news_waits: IntCounterVec,
    attempts_failed: IntCounterVec,
    cut: IntCounterVec,
    inquests: IntCounterVec,
    poison_cleared: IntCounter,
    /// Requests under which targets ended, forgotten for want of room.
    pub(super) poison_dropped: IntCounter,
    /// Requests under which targets ended.
    pub(super) poison_known: IntGauge,
    /// Requests that are sent nowhere.
    pub(super) poison_blocked: IntGauge,
    resumed: IntCounter,
    left: IntCounter,
    clients_cut: IntCounterVec,
    /// Bytes held for clients.
    pub(super) held: IntGauge,
    first: HistogramVec,
    whole: HistogramVec,
    connect: HistogramVec,
    attempts: IntCounterVec,
    spent: IntCounterVec,
    withheld: IntCounterVec,
    asked_cold: IntCounterVec,
    said_leaving: IntCounterVec,
    asked_for_rest: IntCounterVec,
    unread_headers: IntCounterVec,
    left_together: IntCounterVec,
    parcels_asked: IntCounterVec,
    parcels_fetched: IntCounterVec,
    members_left: IntCounterVec,
    /// Time since the last news of a leader, in seconds.
    pub(super) news_age: Gauge,
    /// Time in which this process stood still, in seconds.
    pub(super) paused: Gauge,
    /// Revision of the directory.
    pub(super) revision: IntGauge,
    /// Version of the configuration in force.
    pub(super) version: IntGauge,
    /// Newest version that a member told of.
    pub(super) version_told: IntGauge,
    /// How late configurations came into force here, at most.
    pub(super) in_force: Histogram,
    /// Targets known.
    pub(super) targets: IntGauge,
    /// Gateways alive.
    pub(super) gateways: IntGauge,
}

impl GatewayMetrics {
    /// Metrics that start at zero.
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
            first_news_waits: set.counters(
                "latchmount_gateway_first_news_waits_total",
                "Requests that waited for the first configuration, by whether it came in time.",
                &["came"],
            )?,
            attempts_failed: set.counters(
                "latchmount_gateway_attempts_failed_total",
                "Attempts at a target that gave no whole answer.",
                &["reason"],
            )?,
            cut: set.counters(
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
            inquests: set.counters(
                "latchmount_gateway_inquests_total",
                "Looks at targets whose answer broke off, by what was found.",
                &["service", "found"],
            )?,
            resumed: set.counter(
                "latchmount_gateway_streams_resumed_total",
                "Streams that went on at another target.",
            )?,
            left: set.counter(
                "latchmount_gateway_clients_left_total",
                "Clients that left before their final answer.",
            )?,
            clients_cut: set.counters(
                "latchmount_gateway_clients_cut_total",
                "Connections of clients that sent or read slowly and were cut, by why.",
                &["why"],
            )?,
            held: set.gauge(
                "latchmount_gateway_held_bytes",
                "Bytes of requests and answers that are held for clients.",
            )?,
            first: set.histograms(
                "latchmount_gateway_answer_seconds",
                "Time from a request's head to its answer, for streams to the first event.",
                &SECONDS,
                &["service"],
            )?,
            whole: set.histograms(
                "latchmount_gateway_whole_answer_seconds",
                "Time from a request's head to the end of its answer.",
                &SECONDS,
                &["service"],
            )?,
            connect: set.histograms(
                "latchmount_gateway_connect_seconds",
                "Time to open a connection to a target, or to fail to.",
                &SHORT_SECONDS,
                &["outcome"],
            )?,
            attempts: set.counters(
                "latchmount_gateway_attempts_total",
                "Attempts at targets, by how they ended.",
                &["service", "outcome"],
            )?,
            spent: set.counters(
                "latchmount_gateway_retries_total",
                "Further attempts that the budget allowed.",
                &["service"],
            )?,
            withheld: set.counters(
                "latchmount_gateway_retries_withheld_total",
                "Further attempts that the budget did not allow.",
                &["service"],
            )?,
            asked_cold: set.counters(
                "latchmount_gateway_cold_attempts_total",
                "Attempts at targets that are slow after a start, or may be.",
                &["service"],
            )?,
            said_leaving: set.counters(
                "latchmount_gateway_answers_of_leaving_targets_total",
                "Answers that say that their target is about to leave.",
                &["service"],
            )?,
            asked_for_rest: set.counters(
                "latchmount_gateway_rests_asked_total",
                "Answers of targets that turned a request away and want nothing more for a while.",
                &["service"],
            )?,
            unread_headers: set.counters(
                "latchmount_gateway_unread_headers_total",
                "Headers of targets' answers that are the dialect's own and that nothing reads, by name.",
                &["name"],
            )?,
            left_together: set.counters(
                "latchmount_gateway_targets_left_together_total",
                "Times that a target was left because of what all gateways saw.",
                &["service"],
            )?,
            parcels_asked: set.counters(
                "latchmount_gateway_parcels_asked_total",
                "Parcels of news that other gateways asked this one for, by whether it had them.",
                &["had"],
            )?,
            parcels_fetched: set.counters(
                "latchmount_gateway_parcels_fetched_total",
                "Parcels of news that members named, by whether another gateway passed them on.",
                &["outcome"],
            )?,
            members_left: set.counters(
                "latchmount_gateway_members_left_total",
                "Members that were followed no longer, by why.",
                &["reason"],
            )?,
            news_age: set.fraction(
                "latchmount_gateway_news_age_seconds",
                "Time since a member that hears a leader was last heard; -1 before.",
            )?,
            paused: set.fraction(
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
            version_told: set.gauge(
                "latchmount_gateway_configuration_told",
                "Newest version of a configuration that a member told of.",
            )?,
            in_force: set.histogram(
                "latchmount_gateway_in_force_seconds",
                "Time from the last word of a member that held nothing newer until a newer configuration came into force.",
                &SECONDS,
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

    /// Another gateway asked for a parcel.
    pub(super) fn asked_for_parcel(&self, had: bool) {
        self.parcels_asked.with_label_values(&[if had { "yes" } else { "no" }]).inc();
    }

    /// A parcel was fetched from another gateway, or could not be.
    pub(super) fn fetched_parcel(&self, error: Option<&LinkError>) {
        let outcome = error.map_or("fetched", LinkError::label);
        self.parcels_fetched.with_label_values(&[outcome]).inc();
    }

    /// A member is followed no longer.
    pub(super) fn left_member(&self, reason: &str) {
        self.members_left.with_label_values(&[reason]).inc();
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

    /// A request waited for the first configuration, which came in time or did not.
    pub(super) fn waited_for_first_news(&self, came: bool) {
        self.first_news_waits.with_label_values(&[if came { "yes" } else { "no" }]).inc();
    }

    pub(super) fn attempt_failed(&self, refusal: Refusal) {
        self.attempts_failed.with_label_values(&[refusal.code()]).inc();
    }

    pub(super) fn cut(&self, refusal: Refusal) {
        self.cut.with_label_values(&[refusal.code()]).inc();
    }

    pub(super) fn resumed(&self) {
        self.resumed.inc();
    }

    pub(super) fn left(&self) {
        self.left.inc();
    }

    /// The connection of a slow client was cut.
    pub(super) fn client_cut(&self, why: &str) {
        self.clients_cut.with_label_values(&[why]).inc();
    }

    /// An attempt ended; `outcome` is a status or a reason.
    pub(super) fn attempted(&self, service: &str, outcome: &str) {
        self.attempts.with_label_values(&[service, outcome]).inc();
    }

    /// A request goes to a target that is slow after a start, or may be.
    pub(super) fn asked_cold(&self, service: &str) {
        self.asked_cold.with_label_values(&[service]).inc();
    }

    /// An answer says that its target is about to leave.
    pub(super) fn said_leaving(&self, service: &str) {
        self.said_leaving.with_label_values(&[service]).inc();
    }

    /// A target that turned a request away wants nothing more for a while.
    pub(super) fn asked_for_rest(&self, service: &str) {
        self.asked_for_rest.with_label_values(&[service]).inc();
    }

    /// A header of an answer that nothing reads.
    pub(super) fn unread_header(&self, name: &str) {
        self.unread_headers.with_label_values(&[name]).inc();
    }

    /// A target was left because of what all gateways saw.
    pub(super) fn left_together(&self, service: &str) {
        self.left_together.with_label_values(&[service]).inc();
    }

    /// A connection was opened, or could not be.
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
        self.connect.with_label_values(&[outcome]).observe(time.as_secs_f64());
    }

    /// A request under which a target ended has ended well.
    pub(super) fn poison_cleared(&self) {
        self.poison_cleared.inc();
    }

    /// A target whose answer broke off was looked at.
    pub(super) fn inquired(&self, service: &str, found: ProbeResult) {
        let found = match found {
            ProbeResult::Ended => "ended",
            ProbeResult::Lives => "lives",
            ProbeResult::Unknown => "unknown",
        };
        self.inquests.with_label_values(&[service, found]).inc();
    }

    /// The budget allowed a further attempt, or did not.
    pub(super) fn retried(&self, service: &str, allowed: bool) {
        let counter = if allowed { &self.spent } else { &self.withheld };
        counter.with_label_values(&[service]).inc();
    }

    /// The end of an answer went out.
    pub(super) fn ended(&self, service: &str, time: Duration) {
        self.whole.with_label_values(&[service]).observe(time.as_secs_f64());
    }

    pub(super) fn took(&self, service: &str, time: Duration) {
        self.first.with_label_values(&[service]).observe(time.as_secs_f64());
    }

    /// The text for a scrape.
    pub(super) fn render(&self) -> Vec<u8> {
        self.set.render()
    }
}
