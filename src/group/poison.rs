//! Poison requests at a member, that is, requests under which targets crashed: collects the reports of all gateways,
//! relays them to all, and lets operators list and lift blocks.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use slog::info;

use super::Shared;
use super::message::ToMember;
use crate::link::LinkError;
use crate::poison::{
    Fingerprint, MAX_REPORTS_PER_MESSAGE, Origin, Report, Reporter, log_block_changes,
};
use crate::sync::lock;

/// Time without a new report after which the next part of all that gateways are to know is sent to the other members
/// again: a member that was unreachable or has just started lacks it.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// A blocked request, for operators.
#[derive(Debug, Serialize)]
pub(super) struct BlockedRequest {
    fingerprint: String,
    team: Option<String>,
    route: String,
    /// Number of targets that crashed under it, as far as they are remembered.
    ends: usize,
    last_end_ms_ago: u64,
}

impl From<Report> for BlockedRequest {
    fn from(report: Report) -> Self {
        let last = report.crashes.iter().map(|crash| crash.ago_ms).min();
        BlockedRequest {
            fingerprint: report.suspect.fingerprint.to_string(),
            team: report.suspect.team,
            route: report.suspect.route,
            ends: report.crashes.len(),
            last_end_ms_ago: last.unwrap_or_default(),
        }
    }
}

impl Shared {
    /// Records the reports of a gateway. Only crashes that the gateway observed itself count, so that it can't report
    /// in the name of another.
    pub(super) fn record_gateway_poison(
        &self,
        gateway: &str,
        mut reports: Vec<Report>,
    ) -> Result<(), LinkError> {
        let by = Reporter::of(gateway);
        reports.iter_mut().for_each(|report| report.crashes.retain(|crash| crash.by == by));
        self.record_poison(Origin::Local, reports)
    }

    /// Records the reports of a gateway connected here or of another member.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] for more than [`MAX_REPORTS_PER_MESSAGE`] reports.
    pub(super) fn record_poison(
        &self,
        origin: Origin,
        reports: Vec<Report>,
    ) -> Result<(), LinkError> {
        if reports.len() > MAX_REPORTS_PER_MESSAGE {
            return Err(LinkError::Garbled);
        }
        let now = self.now();
        let mut tracker = lock(&self.poison);
        reports.into_iter().for_each(|report| tracker.apply(now, origin, report));
        drop(tracker);
        self.publish_poison();
        Ok(())
    }

    /// Logs changed blocks, and wakes the tasks that send changes to gateways and members and that save blocks.
    pub(super) fn publish_poison(&self) {
        let mut tracker = lock(&self.poison);
        if log_block_changes(&mut tracker, &self.log) {
            self.poison_blocks_changed.notify_one();
        }
        self.metrics.poison_dropped.inc_by(tracker.take_dropped());
        let newest = tracker.newest_gateway_change();
        drop(tracker);
        self.poison_updates.send_if_modified(|known| std::mem::replace(known, newest) != newest);
        self.poison_reported.notify_one();
    }

    /// The requests that are blocked.
    pub(super) fn list_poison(&self) -> Vec<BlockedRequest> {
        let blocked = lock(&self.poison).blocked(self.now());
        blocked.into_iter().map(BlockedRequest::from).collect()
    }

    /// Lifts the block of a request at all processes. Returns whether the request is known here.
    pub(super) fn lift_poison(&self, fingerprint: Fingerprint) -> bool {
        let known = lock(&self.poison).clear(self.now(), fingerprint);
        if known {
            info!(self.log, "block lifted"; "event" => "poison_lifted",
                "fingerprint" => %fingerprint);
            self.publish_poison();
        }
        known
    }

    /// Number of poison requests known, and number of those that are blocked.
    pub(super) fn count_poison(&self) -> (usize, usize) {
        let tracker = lock(&self.poison);
        (tracker.len(), tracker.blocked_len())
    }
}

/// Sends what gateways report here to the other members at once. While there is nothing new, resends all that gateways
/// are to know, one message per [`RESEND_INTERVAL`].
pub(super) async fn send_to_members(shared: Arc<Shared>) {
    let (mut sent, mut resent) = (0, 0);
    loop {
        let reported =
            tokio::time::timeout(RESEND_INTERVAL, shared.poison_reported.notified()).await;
        let now = shared.now();
        loop {
            let (reports, upto) = lock(&shared.poison).local_updates(now, sent);
            if reports.is_empty() {
                break;
            }
            sent = upto;
            shared.broadcast(&ToMember::MemberPoison { from: shared.own_addr, reports });
        }
        if reported.is_err() {
            let (reports, upto) = lock(&shared.poison).gateway_updates(now, resent);
            resent = if reports.is_empty() { 0 } else { upto };
            if !reports.is_empty() {
                shared.broadcast(&ToMember::MemberPoison { from: shared.own_addr, reports });
            }
        }
    }
}
