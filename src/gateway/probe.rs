//! Looks at a target whose answer broke off: whether it has ended, or only a connection was lost.
//!
//! A lost answer alone does not tell: targets lose answers and reset connections while they run well. One whose
//! process has ended refuses connections at once, until it or another starts there again.

use std::sync::Arc;

use slog::info;

use super::Gateway;
use super::connection::{ProbeResult, probe_target};
use super::exchange::Plan;
use super::target::Target;
use super::trace::{millis_since, text};
use crate::clock::Instant;
use crate::sync::lock;

impl Gateway {
    /// Notes whether somebody was met at a target's address. Where nobody was, who is met there next has just started,
    /// and is cold whatever was known before: word of that start may come later than the first requests.
    pub(super) fn note_reachability(&self, target: &Target, found: ProbeResult) {
        match found {
            ProbeResult::Ended => target.warmth().left(),
            ProbeResult::Lives => target.warmth().met(self.now()),
            ProbeResult::Unknown => {}
        }
    }

    /// Finds out, beside the request, what became of the target that lost its answer.
    pub(super) fn probe(self: &Arc<Self>, plan: &Plan, target: &Arc<Target>) {
        let (gateway, target) = (self.clone(), target.clone());
        let (id, service) = (plan.outgoing.id.clone(), plan.service.clone());
        let (fingerprint, suspect) = (plan.fingerprint(), plan.suspect());
        let route = plan.route.name.clone();
        let counted_under = plan.counted_under.map(|(subject, _)| subject);
        // Where it leaves as planned, its end is no request's doing.
        let leaves = target.leaving();
        let began = Instant::now();
        tokio::spawn(async move {
            let found = probe_target(&target, gateway.connection_limits(&service)).await;
            gateway.metrics.inquired(&service, found);
            gateway.note_reachability(&target, found);
            if found == ProbeResult::Lives
                && let Some(subject) = counted_under
            {
                // A target that ended, or can't be reached, says nothing of its version.
                lock(&gateway.tallies).note_failed(subject);
            }
            if found == ProbeResult::Ended && !leaves {
                gateway.note_end(suspect, target.key);
            }
            if let Some(stands_for) = lock(&gateway.probe_sampler).keep(gateway.now()) {
                info!(gateway.log, "looked at a target"; "event" => "inquest",
                    "request" => text(Some(&id)), "target" => &target.announcement.id,
                    "found" => ?found, "fingerprint" => %fingerprint, "route" => route,
                    "service" => service, "leaves" => leaves,
                    "took_ms" => millis_since(began), "stands_for" => stands_for);
            }
        });
    }
}
