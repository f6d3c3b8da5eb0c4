//! Metrics of a gateway.

use std::time::Duration;

use http::StatusCode;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use super::reason::Refusal;

/// Upper bounds of the histogram of answers, in seconds.
const SECONDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// All metrics of one gateway.
pub(super) struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    answers: IntCounterVec,
    refused: IntCounterVec,
    attempts_failed: IntCounterVec,
    cut: IntCounterVec,
    resumed: IntCounter,
    left: IntCounter,
    seconds: HistogramVec,
    /// Version of the configuration in force.
    pub(super) version: IntGauge,
    /// Targets known.
    pub(super) targets: IntGauge,
    /// Gateways alive.
    pub(super) gateways: IntGauge,
}

impl GatewayMetrics {
    /// Metrics that start at zero.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let vec = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let seconds = HistogramOpts::new(
            "latchmount_gateway_answer_seconds",
            "Time from a request's head to its answer, for streams to the first event.",
        );
        let seconds = HistogramVec::new(seconds.buckets(SECONDS.to_vec()), &["service"])?;
        registry.register(Box::new(seconds.clone()))?;
        let metrics = GatewayMetrics {
            requests: counters(
                "latchmount_gateway_requests_total",
                "Requests for a service.",
                "service",
            )?,
            answers: counters(
                "latchmount_gateway_answers_total",
                "Answers of targets passed on, by status.",
                "status",
            )?,
            refused: counters(
                "latchmount_gateway_refused_total",
                "Requests refused or given up on.",
                "reason",
            )?,
            attempts_failed: counters(
                "latchmount_gateway_attempts_failed_total",
                "Attempts at a target that gave no whole answer.",
                "reason",
            )?,
            cut: counters(
                "latchmount_gateway_streams_cut_total",
                "Streams cut after they had begun.",
                "reason",
            )?,
            resumed: counter(
                "latchmount_gateway_streams_resumed_total",
                "Streams that went on at another target.",
            )?,
            left: counter(
                "latchmount_gateway_clients_left_total",
                "Clients that left before their final answer.",
            )?,
            seconds,
            version: gauge(
                "latchmount_gateway_configuration_version",
                "Version of the configuration in force.",
            )?,
            targets: gauge("latchmount_gateway_targets", "Targets known.")?,
            gateways: gauge("latchmount_gateway_gateways", "Gateways alive.")?,
            registry: registry.clone(),
        };
        for refusal in Refusal::ALL {
            metrics.refused.with_label_values(&[refusal.code()]);
            metrics.attempts_failed.with_label_values(&[refusal.code()]);
        }
        Ok(metrics)
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

    pub(super) fn took(&self, service: &str, time: Duration) {
        self.seconds.with_label_values(&[service]).observe(time.as_secs_f64());
    }

    /// The text for a scrape.
    pub(super) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on a metric without samples, which is then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
