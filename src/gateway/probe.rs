//! Probes a target whose answer broke off, to find out whether the target has ended or only a connection was lost.
//!
//! A lost answer alone does not show that: targets also lose answers and reset connections while they run well. If a
//! target's process has ended, its address refuses connections at once, until a process is started there again.

use std::sync::Arc;

use slog::info;

use super::Gateway;
use super::connection::{ProbeResult, probe_target};
use super::exchange::RequestState;
use super::restart::RestartSign;
use super::target::Target;
use super::trace::{millis_since, text};
use crate::clock::Instant;
use crate::sync::{lock, read};

/// Maximum number of other targets to which a connection is opened to check that this gateway can reach any.
const MAX_CONTROLS: usize = 3;

impl Gateway {
    /// Records whether a target accepts connections. If its address refused them, the process that accepts the next one
    /// has just started and is cold, even if the members have not announced that start yet: the first requests may be
    /// sent before they do.
    pub(super) fn note_reachability(&self, target: &Target, found: ProbeResult) {
        match found {
            ProbeResult::Ended => {
                target.cold_state().note_absent();
                self.suspect_restart(target, RestartSign::Refused);
            }
            ProbeResult::Lives => target.cold_state().note_present(self.now()),
            ProbeResult::Unknown => {}
        }
    }

    /// Whether any of some other targets accepts a connection. If none does, this gateway may be cut off from all of
    /// them, and a refused connection does not show that a target has ended. Without other targets it is taken to.
    async fn reaches_another(&self, target: &Target) -> bool {
        let others = self.control_targets(target);
        let none_to_ask = others.is_empty();
        for other in others {
            if self.probe_one(&other).await == ProbeResult::Lives {
                return true;
            }
        }
        none_to_ask
    }

    async fn probe_one(&self, target: &Arc<Target>) -> ProbeResult {
        probe_target(target, self.connection_limits(&target.announcement.service)).await
    }

    /// Some other targets in random order, those of the same service first.
    fn control_targets(&self, target: &Target) -> Vec<Arc<Target>> {
        let targets = read(&self.targets);
        let usable = |other: &&Arc<Target>| {
            other.key != target.key && other.in_service() && !other.unresponsive()
        };
        let service = &target.announcement.service;
        let mut others: Vec<&Arc<Target>> = targets.all().filter(usable).collect();
        others.sort_by_cached_key(|other| {
            (other.announcement.service != *service, rand::random::<u32>())
        });
        others.into_iter().take(MAX_CONTROLS).cloned().collect()
    }

    /// Probes the target that lost its answer in a separate task, and records the result.
    pub(super) fn probe(self: &Arc<Self>, state: &RequestState, target: &Arc<Target>) {
        let (gateway, target) = (self.clone(), target.clone());
        let (id, service) = (state.outgoing.id.clone(), state.service.clone());
        let (fingerprint, suspects) = (state.fingerprint(), self.suspects(state));
        let prompt = state.outgoing.headers().get(&self.header_names().prompt).cloned();
        let had_events = state.events_since.is_some();
        let route = state.route.name.clone();
        let counted_under = state.counted_under.map(|(subject, _)| subject);
        // If the target is shutting down as planned, its end is not caused by a request.
        let leaves = target.draining();
        let withstands = self.withstands(&state.service);
        let fell = withstands.is_some_and(|one| target.fell_over(self.now(), one));
        let began = Instant::now();
        tokio::spawn(async move {
            let result = gateway.probe_one(&target).await;
            gateway.metrics.target_probed(&service, result);
            gateway.note_reachability(&target, result);
            if result == ProbeResult::Lives
                && let Some(subject) = counted_under
            {
                // The failure counts for the version only if the target still runs: one that has ended, or can't be
                // reached, shows nothing about its version.
                lock(&gateway.tallies).record_failure(subject);
            }
            // An end that the target's own rejections explain says nothing against the requests that it was running.
            let ended = result == ProbeResult::Ended && !leaves && !fell;
            if ended && gateway.reaches_another(&target).await {
                gateway.record_crash(suspects, target.key);
            }
            if let Some(stands_for) = lock(&gateway.probe_sampler).sample(gateway.now()) {
                info!(gateway.log, "probed target after its answer broke off"; "event" => "inquest",
                    "request" => text(Some(&id)), "target" => &target.announcement.id,
                    "found" => ?result, "fingerprint" => %fingerprint, "route" => route,
                    "prompt" => text(prompt.as_ref()), "had_events" => had_events,
                    "service" => service, "leaves" => leaves, "fell_over" => fell,
                    "took_ms" => millis_since(began), "stands_for" => stands_for);
            }
        });
    }
}
