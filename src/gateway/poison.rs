//! Poison requests, under which targets crash: what this gateway has observed of them, and whether
//! a request may be sent.
//!
//! Every request is checked here before each attempt, including retries and resumed streams.

use slog::info;

use super::Gateway;
use super::exchange::RequestState;
use crate::poison::{Origin, Report, Reporter, Suspect, Verdict, log_block_changes};
use crate::sync::lock;

impl Gateway {
    /// Whether a request must not be sent because targets ended while processing it. A request that
    /// is let through as a trial is recorded as tried.
    pub(super) fn is_blocked_as_poison(&self, state: &RequestState) -> bool {
        if !self.may_be_known_poison(state) {
            return false;
        }
        let (now, fingerprint) = (self.now(), state.fingerprint());
        let mut tracker = lock(&self.poison);
        match tracker.verdict(now, fingerprint, self.gateways()) {
            Verdict::Blocked => true,
            Verdict::Trial => {
                tracker.record_trial(now, fingerprint);
                info!(self.log, "poison request let through as a trial"; "event" => "poison_trial",
                    "fingerprint" => %fingerprint, "ends" => tracker.crash_count(fingerprint));
                false
            }
            Verdict::Free | Verdict::Watched => false,
        }
    }

    /// Whether a similar request is tracked. A cheap check that does not read the body excludes
    /// most requests.
    fn may_be_known_poison(&self, state: &RequestState) -> bool {
        let tracker = lock(&self.poison);
        !tracker.is_empty() && tracker.may_contain(state.identity().quick_hash())
    }

    /// Records that a target ended while processing a request.
    pub(super) fn record_crash(&self, suspect: Suspect, target: u64) {
        let by = Reporter::of(&self.settings.host);
        lock(&self.poison).record_crash(self.now(), suspect, target, by);
        self.poison_changed.notify_one();
        self.log_poison();
    }

    /// Records that a request was answered completely and successfully, so that it is not the cause
    /// of targets' ends.
    pub(super) fn record_not_poison(&self, state: &RequestState) {
        if !self.may_be_known_poison(state) {
            return;
        }
        let cleared = lock(&self.poison).record_success(self.now(), state.fingerprint());
        if cleared {
            self.metrics.poison_cleared();
            self.poison_changed.notify_one();
            self.log_poison();
        }
    }

    /// Applies what other gateways reported.
    pub(super) fn receive_poison_reports(&self, reports: &[Report]) {
        if reports.is_empty() {
            return;
        }
        let now = self.now();
        let mut tracker = lock(&self.poison);
        reports.iter().for_each(|report| tracker.apply(now, Origin::Relayed, report.clone()));
        drop(tracker);
        self.log_poison();
    }

    /// This gateway's reports since change `known`, and the number of the latest change.
    pub(super) fn poison_reports_since(&self, known: u64) -> (Vec<Report>, u64) {
        lock(&self.poison).local_updates(self.now(), known)
    }

    /// Number of tracked requests, and how many of them are blocked.
    pub(super) fn count_poison(&self) -> (usize, usize) {
        let tracker = lock(&self.poison);
        (tracker.len(), tracker.blocked_len())
    }

    /// Logs which requests became blocked or unblocked, and counts the ones dropped from the
    /// tracker.
    fn log_poison(&self) {
        let mut tracker = lock(&self.poison);
        self.metrics.poison_dropped.inc_by(tracker.take_dropped());
        log_block_changes(&mut tracker, &self.log);
    }
}
