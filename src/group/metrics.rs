//! Metrics of a member, read off its state at each scrape.

use std::sync::Arc;
use std::time::Instant;

use prometheus::{Encoder, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use tokio::net::TcpListener;

use super::Shared;
use crate::raft::Standing;
use crate::small_server;
use crate::sync::lock;

/// All metrics of one member.
pub(super) struct MemberMetrics {
    registry: Registry,
    /// Calls of operators and targets, by call and outcome.
    pub(super) calls: IntCounterVec,
    term: IntGauge,
    leads: IntGauge,
    fresh: IntGauge,
    applied: IntGauge,
    version: IntGauge,
    voters: IntGauge,
    targets: IntGauge,
    gateways: IntGauge,
}

impl MemberMetrics {
    /// Metrics that start at zero.
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("latchmount_member_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let opts = Opts::new("latchmount_member_calls_total", "Calls of operators and targets.");
        let calls = IntCounterVec::new(opts, &["call", "outcome"])?;
        registry.register(Box::new(calls.clone()))?;
        Ok(MemberMetrics {
            calls,
            term: gauge("term", "Newest term seen.")?,
            leads: gauge("leads", "Whether this member leads.")?,
            fresh: gauge("hears_leader", "Whether a leader was heard lately, or leads here.")?,
            applied: gauge("applied_index", "Last entry of the log applied.")?,
            version: gauge("configuration_version", "Version of the configuration held.")?,
            voters: gauge("voters", "Members that vote.")?,
            targets: gauge("targets", "Targets in the directory.")?,
            gateways: gauge("gateways", "Gateways alive.")?,
            registry,
        })
    }

    /// Counts a call.
    pub(super) fn called(&self, call: &str, outcome: &str) {
        self.calls.with_label_values(&[call, outcome]).inc();
    }

    fn render(&self, shared: &Shared) -> Vec<u8> {
        let (published, standing) = (shared.published(), shared.member.standing());
        let now = shared.now();
        let votes = published.members.0.iter().filter(|one| one.standing == Standing::Voter);
        let version = published.document.as_ref().map_or(0, |document| document.version);
        self.term.set(standing.term as i64);
        self.leads.set(i64::from(standing.leads));
        self.fresh.set(i64::from(standing.fresh(Instant::now())));
        self.applied.set(published.applied as i64);
        self.version.set(version as i64);
        self.voters.set(votes.count() as i64);
        self.targets.set(published.directory.targets().count() as i64);
        self.gateways.set(i64::from(lock(&shared.presence).alive(now)));
        let mut text = Vec::new();
        // Writing to memory fails only on a metric without samples, which is then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Serves metrics for ever.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    small_server::serve(listener, move |_| (http::StatusCode::OK, shared.metrics.render(&shared)))
        .await;
}
