//! Poison requests and parts of prompts, under which targets crash: what this gateway has observed of them, and whether a
//! request may be sent.
//!
//! Every request is checked here before each attempt, including retries and resumed streams.

use std::time::Duration;

use http::HeaderMap;
use slog::info;

use super::Gateway;
use super::exchange::RequestState;
use crate::poison::{
    Fingerprint, FingerprintKind, Origin, PoisonTracker, PromptPart, Report, Reporter, Suspect,
    Verdict, log_block_changes,
};
use crate::sync::lock;

/// Maximum number of a prompt's parts that are checked.
const MAX_PARTS: usize = 32;
/// Time after a success of a request for which it is not suspected. A poison request never succeeds.
const REQUEST_TRUST: Duration = Duration::from_secs(5);
/// A stream whose target crashes later than this after its first event is not taken to be the cause: a poison request
/// crashes its target when it begins to answer. One that lasts so long shows that its parts are sound.
const CRASH_ONSET: Duration = Duration::from_millis(500);

impl Gateway {
    /// Fingerprints of the parts of a request's prompt that other requests may share: all but the last.
    pub(super) fn shared_parts(&self, service: &str, headers: &HeaderMap) -> Vec<Fingerprint> {
        self.named_parts(headers)
            .iter()
            .map(|id| PromptPart { service, id }.fingerprint())
            .collect()
    }

    fn named_parts<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a str> {
        let value = headers.get(&self.header_names().prompt).and_then(|value| value.to_str().ok());
        let mut parts = self.dialect.prompt(value.unwrap_or(""));
        parts.pop();
        parts.truncate(MAX_PARTS);
        parts.into_iter().map(|part| part.id).collect()
    }

    /// Whether a request must not be sent because targets crashed while processing it or others with a part of its
    /// prompt; if so, what is blocked. A request that is let through as a trial is recorded as tried.
    pub(super) fn blocked_as_poison(&self, state: &RequestState) -> Option<Fingerprint> {
        let may_be_known = self.may_be_known_poison(state);
        if !may_be_known && !self.may_hold_known_part(state) {
            return None;
        }
        let (now, gateways) = (self.now(), self.gateways());
        let request = may_be_known.then(|| state.fingerprint());
        let mut tracker = lock(&self.poison);
        let on_request = request.map_or((Verdict::Free, None), |fingerprint| {
            (tracker.verdict(now, fingerprint, gateways), request)
        });
        let on_parts = tracker.verdict_on_parts(now, &state.parts, gateways);
        let verdicts = [on_request, on_parts];
        if let Some((_, blocked)) = verdicts.iter().find(|(one, _)| *one == Verdict::Blocked) {
            return *blocked;
        }
        for (verdict, fingerprint) in verdicts {
            if let (Verdict::Trial, Some(fingerprint)) = (verdict, fingerprint) {
                tracker.record_trial(now, fingerprint);
                info!(self.log, "poison request let through as a trial"; "event" => "poison_trial",
                    "fingerprint" => %fingerprint, "kind" => ?fingerprint.kind(),
                    "ends" => tracker.crash_count(fingerprint));
            }
        }
        None
    }

    /// Whether a similar request is tracked. A cheap check that does not read the body excludes
    /// most requests.
    fn may_be_known_poison(&self, state: &RequestState) -> bool {
        let tracker = lock(&self.poison);
        !tracker.is_empty() && tracker.may_contain(state.identity().quick_hash())
    }

    /// Whether a part of the request's prompt is tracked.
    fn may_hold_known_part(&self, state: &RequestState) -> bool {
        let tracker = lock(&self.poison);
        let known = |part: &Fingerprint| tracker.may_contain(part.part_hash());
        !tracker.is_empty() && state.parts.iter().any(known)
    }

    /// The request, and the parts of its prompt, as suspects of the crash of its target. Of a stream that had lasted for
    /// a while, the parts are not suspected.
    pub(super) fn suspects(&self, state: &RequestState) -> Vec<Suspect> {
        let mut suspects = vec![state.suspect()];
        if !state.outlived_onset(CRASH_ONSET) {
            let (service, team) = (&state.service, state.team.as_ref());
            let team = team.map(|team| team.name.as_str());
            let named = self.named_parts(state.outgoing.headers());
            let parts = named.into_iter().map(|id| PromptPart { service, id });
            suspects.extend(parts.map(|part| Suspect::part(&part, team)));
        }
        suspects
    }

    /// Records that a target ended while processing a request, by the suspects that [`Gateway::suspects`] returned. A
    /// request that succeeded shortly before is not suspected.
    pub(super) fn record_crash(&self, suspects: Vec<Suspect>, target: u64) {
        let (now, by) = (self.now(), Reporter::of(&self.settings.host));
        let suspects =
            suspects.into_iter().filter(|one| !self.succeeded_lately(now, one.fingerprint));
        let suspects: Vec<Suspect> = suspects.collect();
        let mut tracker = lock(&self.poison);
        for suspect in suspects {
            let fingerprint = suspect.fingerprint;
            tracker.record_crash(now, suspect, target, by);
            self.clear_by_earlier_success(&mut tracker, fingerprint);
        }
        drop(tracker);
        self.poison_changed.notify_one();
        self.log_poison();
    }

    /// Whether a request is known to have succeeded within [`REQUEST_TRUST`].
    fn succeeded_lately(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let last = lock(&self.successes).last(&fingerprint);
        fingerprint.kind() == FingerprintKind::Request
            && last.is_some_and(|at| now < at + REQUEST_TRUST)
    }

    /// Clears a part if a request with it succeeded here shortly before the crashes under it. Returns whether it did.
    fn clear_by_earlier_success(&self, tracker: &mut PoisonTracker, part: Fingerprint) -> bool {
        if part.kind() == FingerprintKind::Request {
            return false;
        }
        let last = lock(&self.successes).last(&part);
        last.is_some_and(|at| tracker.record_earlier_success(self.now(), part, at))
    }

    /// Records that a request was answered completely and successfully, so that neither it nor a part of its prompt is
    /// the cause of targets' crashes.
    pub(super) fn record_not_poison(&self, state: &RequestState) {
        if self.may_be_known_poison(state) {
            self.record_success(state.fingerprint());
        }
        // Brittle targets that fall over end under many requests at once.
        if self.withstands(&state.service).is_some() {
            lock(&self.successes).note(self.now(), state.fingerprint());
        }
        self.record_parts_sound(state);
    }

    /// Records that a stream has lasted so long that no part of its prompt is the cause of targets' crashes. Returns
    /// whether it has.
    pub(super) fn record_if_outlived(&self, state: &RequestState) -> bool {
        let outlived = state.outlived_onset(CRASH_ONSET);
        if outlived {
            self.record_parts_sound(state);
        }
        outlived
    }

    fn record_parts_sound(&self, state: &RequestState) {
        let now = self.now();
        let mut successes = lock(&self.successes);
        state.parts.iter().for_each(|part| successes.note(now, *part));
        drop(successes);
        if self.may_hold_known_part(state) {
            state.parts.iter().for_each(|part| self.record_success(*part));
        }
    }

    fn record_success(&self, fingerprint: Fingerprint) {
        let cleared = lock(&self.poison).record_success(self.now(), fingerprint);
        if cleared {
            self.metrics.poison_cleared();
            self.poison_changed.notify_one();
            self.log_poison();
        }
    }

    /// Applies what other gateways reported, and clears parts with which requests succeeded here.
    pub(super) fn receive_poison_reports(&self, reports: &[Report]) {
        if reports.is_empty() {
            return;
        }
        let now = self.now();
        let mut tracker = lock(&self.poison);
        let mut cleared = false;
        for report in reports {
            tracker.apply(now, Origin::Relayed, report.clone());
            cleared |= self.clear_by_earlier_success(&mut tracker, report.suspect.fingerprint);
        }
        drop(tracker);
        if cleared {
            self.poison_changed.notify_one();
        }
        self.log_poison();
    }

    /// This gateway's reports since change `known`, and the number of the latest change.
    pub(super) fn poison_reports_since(&self, known: u64) -> (Vec<Report>, u64) {
        lock(&self.poison).local_updates(self.now(), known)
    }

    /// Number of tracked requests and parts, and how many of them are blocked.
    pub(super) fn count_poison(&self) -> (usize, usize) {
        let tracker = lock(&self.poison);
        (tracker.len(), tracker.blocked_len())
    }

    /// Logs which requests and parts became blocked or unblocked, and counts the ones dropped from the
    /// tracker.
    fn log_poison(&self) {
        let mut tracker = lock(&self.poison);
        self.metrics.poison_dropped.inc_by(tracker.take_dropped());
        log_block_changes(&mut tracker, &self.log);
    }
}
