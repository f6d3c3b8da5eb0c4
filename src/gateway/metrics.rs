//! Metrics of a gateway.

use http::StatusCode;
use prometheus::{Encoder, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use super::reason::Refusal;

/// All metrics of one gateway.
pub(super) struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    answers: IntCounterVec,
    refused: IntCounterVec,
    attempts_failed: IntCounterVec,
    retries: IntCounterVec,
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
            retries: counters(
                "latchmount_gateway_retries_total",
                "Requests sent again after an answer had begun.",
                "reason",
            )?,
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

    pub(super) fn retried(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// The text for a scrape.
    pub(super) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on a metric without samples, which is then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
