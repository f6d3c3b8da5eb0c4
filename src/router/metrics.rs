//! Metrics of a router.

use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::metrics::MetricSet;
use crate::reason::Reason;

/// Values of the label `kind` for requests.
pub const REQUEST_KINDS: [&str; 3] = ["chat", "chat_stream", "service"];
/// Values of the label `kind` for control traffic.
pub const CONTROL_KINDS: [&str; 3] = ["config", "platform_list", "slots"];

/// Values of the label `outcome` for slot requests.
pub const SLOT_OUTCOMES: [&str; 4] = ["granted", "full", "undecided", "silent"];

/// All metrics of one router.
pub struct Metrics {
    set: MetricSet,
    /// Requests admitted, by kind.
    pub requests: IntCounterVec,
    /// Requests refused or given up on, by reason.
    pub refused: IntCounterVec,
    /// Retries, by the reason for which the previous attempt failed.
    pub retries: IntCounterVec,
    /// Answers by which targets refused a request and asked for a back-off.
    pub backoffs: IntCounter,
    /// Attempts to resume a broken stream, by result.
    pub resumes: IntCounterVec,
    /// Requests in flight, by target.
    pub in_flight: IntGaugeVec,
    /// Requests in flight, by team.
    pub in_flight_team: IntGaugeVec,
    /// Payload bytes of control traffic, by direction and kind.
    pub control_bytes: IntCounterVec,
    /// Slot requests, by outcome.
    pub slot_asks: IntCounterVec,
    /// Datagrams with slot requests that were sent again.
    pub slot_rounds_resent: IntCounter,
    /// Connections closed to make room for others.
    pub connections_closed: IntCounter,
    /// Open connections of clients.
    pub connections: IntGauge,
    /// Bytes of memory held for clients.
    pub held_bytes: IntGauge,
    /// Revision of the configuration in force.
    pub config_revision: IntGauge,
    /// Seconds since the configuration was last proven fresh; -1 before the first proof.
    pub config_age: Gauge,
}

impl Metrics {
    /// Registers the metrics; series with a known set of labels start at zero, so that they show before their first
    /// event.
    ///
    /// # Errors
    /// When the metrics library rejects a name, which would be a bug in this module.
    pub fn new() -> Result<Self, prometheus::Error> {
        let set = MetricSet::default();
        let metrics = Metrics {
            connections_closed: set.counter(
                "latchmount_connections_closed_total",
                "Connections that were closed to make room for others.",
            )?,
            connections: set
                .gauge("latchmount_client_connections", "Open connections of clients.")?,
            held_bytes: set.gauge(
                "latchmount_held_bytes",
                "Bytes of memory that are held for clients: connections and requests.",
            )?,
            requests: set.counters("latchmount_requests_total", "Requests admitted.", &["kind"])?,
            refused: set.counters(
                "latchmount_refused_total",
                "Requests refused or given up on.",
                &["reason"],
            )?,
            retries: set.counters(
                "latchmount_retries_total",
                "Further attempts, by the reason that the one before failed for.",
                &["reason"],
            )?,
            backoffs: set.counter(
                "latchmount_rests_asked_total",
                "Answers of targets that turned a request away and want nothing more for a while.",
            )?,
            resumes: set.counters(
                "latchmount_resumes_total",
                "Streams taken up again after a break.",
                &["result"],
            )?,
            in_flight: set.gauges(
                "latchmount_in_flight",
                "Requests in flight at a target.",
                &["target"],
            )?,
            in_flight_team: set.gauges(
                "latchmount_in_flight_team",
                "Requests in flight of a team.",
                &["team"],
            )?,
            control_bytes: set.counters(
                "latchmount_control_bytes_total",
                "Payload bytes of control traffic.",
                &["direction", "kind"],
            )?,
            slot_asks: set.counters(
                "latchmount_slot_asks_total",
                "Asks for a slot at a target, by what came of them.",
                &["outcome"],
            )?,
            slot_rounds_resent: set.counter(
                "latchmount_slot_rounds_resent_total",
                "Datagrams with asks for slots that were sent again for want of an answer.",
            )?,
            config_revision: set
                .gauge("latchmount_config_revision", "Revision of the configuration in force.")?,
            config_age: set.float_gauge(
                "latchmount_config_age_seconds",
                "Time since the configuration was proven fresh; -1 before.",
            )?,
            set,
        };
        metrics.start_at_zero();
        Ok(metrics)
    }

    fn start_at_zero(&self) {
        for reason in Reason::ALL {
            self.refused.with_label_values(&[reason.code()]);
            self.retries.with_label_values(&[reason.code()]);
        }
        for outcome in SLOT_OUTCOMES {
            self.slot_asks.with_label_values(&[outcome]);
        }
        for kind in REQUEST_KINDS {
            self.requests.with_label_values(&[kind]);
        }
        for kind in CONTROL_KINDS {
            self.control_bytes.with_label_values(&["sent", kind]);
            self.control_bytes.with_label_values(&["received", kind]);
        }
    }

    /// Counts the payload bytes of one exchange of control traffic.
    pub fn count_control(&self, kind: &str, sent: usize, received: usize) {
        let bytes = &self.control_bytes;
        bytes.with_label_values(&["sent", kind]).inc_by(sent as u64);
        bytes.with_label_values(&["received", kind]).inc_by(received as u64);
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.set.render()
    }
}
