//! Restarts of targets that the members have not announced yet.
//!
//! A stream may go on only at the version of the software that began it, and the version of a target is known from the
//! directory alone. So a target that may run as another incarnation than the listed one gets no request that resumes a
//! stream, until it reports its incarnation or the directory lists the next one.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::info;

use super::Gateway;
use super::attempt::Source;
use super::choice::Choice;
use super::connection::{Report, ask_for_report};
use super::exchange::RequestState;
use super::incarnation_check::ReportedIncarnation;
use super::target::Target;
use super::trace::millis_since;
use super::version_pin::VersionPin;
use crate::clock::Instant;
use crate::configuration::RouteKind;
use crate::directory::Born;
use crate::group::restarts::SuspectedRestart;
use crate::group::stream_origins::{ReportedBy, VersionKey};
use crate::sync::{lock, read};

/// Timeout for a target's report, including the connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of suspected targets that are asked for one request.
const MAX_ASKED: usize = 3;

/// Why the listed incarnation of a target may have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestartSign {
    /// A connection broke after a request was sent on it.
    Broke,
    /// Its address refused a connection.
    Refused,
}

impl RestartSign {
    /// Name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            RestartSign::Broke => "broke",
            RestartSign::Refused => "refused",
        }
    }
}

impl Gateway {
    /// Records a sign that the listed incarnation of a target ended, and tells a member.
    pub(super) fn suspect_restart(&self, target: &Target, sign: RestartSign) {
        let service = &target.announcement.service;
        let resumable = self.table().is_some_and(|table| table.resumes_streams(service));
        if !resumable || !target.may_restart_unseen() {
            return;
        }
        let now = self.now();
        target.incarnation_check().suspect(now);
        let suspicion = SuspectedRestart { target: target.key, age_ms: 0 };
        if !lock(&self.restarts).record(now, ReportedBy::Local, suspicion) {
            return;
        }
        self.restart_suspected.notify_one();
        self.metrics.restart_suspected(service, sign.label());
        if let Some(stands_for) = lock(&self.suspicion_sampler).sample(now) {
            info!(self.log, "target may have restarted"; "event" => "restart_suspected",
                "target" => &target.announcement.id, "service" => service,
                "born" => target.announcement.born.0, "sign" => sign.label(),
                "stands_for" => stands_for);
        }
    }

    /// Records that an attempt that began at `began` was answered. On a connection that was open before the target was
    /// suspected, that shows that it did not restart.
    pub(super) fn note_same_incarnation(&self, source: &Source, began: Instant) {
        let Source::Target { target, connection, .. } = source else {
            return;
        };
        if !target.may_restart_unseen() || !target.incarnation_check().has_signs() {
            return;
        }
        let ago = |at: Instant| self.now().saturating_sub(at.elapsed());
        target.incarnation_check().record_answer(ago(connection.opened_at), ago(began));
    }

    /// Records incarnations that may have ended, as a member reports them.
    pub(super) fn receive_suspected_restarts(&self, restarts: &[SuspectedRestart]) {
        if restarts.is_empty() {
            return;
        }
        let now = self.now();
        let mut known = lock(&self.restarts);
        for suspicion in restarts {
            known.record(now, ReportedBy::Remote, *suspicion);
        }
        drop(known);
        self.apply_suspected_restarts(restarts);
        if let Some(stands_for) = lock(&self.told_sampler).sample(now) {
            info!(self.log, "told of targets that may have restarted"; "event" => "restarts_told",
                "targets" => restarts.len(), "stands_for" => stands_for);
        }
    }

    /// Applies all known suspicions to the targets after the directory changed: a suspicion may arrive before its target.
    pub(super) fn reapply_suspected_restarts(&self) {
        let now = self.now();
        let mut applied = 0;
        loop {
            let (restarts, upto) = lock(&self.restarts).changes_after(now, applied);
            if restarts.is_empty() {
                return;
            }
            self.apply_suspected_restarts(&restarts);
            applied = upto;
        }
    }

    fn apply_suspected_restarts(&self, restarts: &[SuspectedRestart]) {
        let (now, targets) = (self.now(), read(&self.targets));
        for suspicion in restarts {
            let age = Duration::from_millis(suspicion.age_ms.into());
            if let Some(target) = targets.by_key(suspicion.target) {
                target.incarnation_check().suspect(now.saturating_sub(age));
            }
        }
    }

    /// Whether a request with this pin may go to a target, by its version and by how certain its incarnation is.
    pub(super) fn pin_allows(&self, now: Duration, pin: VersionPin, target: &Target) -> bool {
        pin.allows(target) && (pin == VersionPin::Free || !target.may_have_restarted(now))
    }

    /// The version of a target's software; ambiguous if it may have restarted as another one.
    pub(super) fn certain_version(&self, target: &Target) -> VersionKey {
        if target.may_have_restarted(self.now()) {
            return VersionKey::AMBIGUOUS;
        }
        target.version
    }

    /// Chooses a target that the request has not tried. Where it matters for a stream as which incarnation the target
    /// runs, asks it first.
    pub(super) async fn choose_confirmed(&self, state: &RequestState) -> Option<Choice> {
        loop {
            match self.choose(state) {
                Some(choice) if self.confirm_choice(state, &choice.target).await => {
                    return Some(choice);
                }
                Some(_) => {}
                None if self.confirm_suspected(state).await => {}
                None => return None,
            }
        }
    }

    /// Asks a target for its incarnation before an attempt if the request resumes a stream, or begins one where the target is
    /// suspected or the members may have missed a restart. Returns whether the request may still go there.
    async fn confirm_choice(&self, state: &RequestState, target: &Arc<Target>) -> bool {
        if state.route.kind != RouteKind::ResumableStream {
            return true;
        }
        let uncertain = || target.may_have_restarted(self.now()) || !self.directory_is_fresh();
        if state.pin != VersionPin::Free || uncertain() {
            self.ask_for_incarnation(state, target).await;
        }
        self.pin_allows(self.now(), state.pin, target)
    }

    /// Asks suspected targets of the version to which a request is pinned. Returns whether it may go to one of them now.
    async fn confirm_suspected(&self, state: &RequestState) -> bool {
        if state.pin == VersionPin::Free {
            return false;
        }
        let now = self.now();
        let suspected = |target: &&Arc<Target>| {
            state.pin.allows(target)
                && target.may_have_restarted(now)
                && target.eligibility(now).accepts_work()
                && !state.tried.contains(&target.key)
        };
        let targets: Vec<Arc<Target>> = {
            let known = read(&self.targets);
            let of_service = known.of(&state.service).iter();
            of_service.filter(suspected).take(MAX_ASKED).cloned().collect()
        };
        join_all(targets.iter().map(|target| self.ask_for_incarnation(state, target))).await;
        targets.iter().any(|target| self.pin_allows(self.now(), state.pin, target))
    }

    /// Asks a target for its incarnation, unless it was asked lately. Concurrent callers wait for the same answer.
    async fn ask_for_incarnation(&self, state: &RequestState, target: &Arc<Target>) {
        let Some(path) = self.report_path(target) else {
            return;
        };
        let _turn = target.question.lock().await;
        let asked_at = self.now();
        if !target.incarnation_check().begin_question(asked_at) {
            return;
        }
        let began = Instant::now();
        let limits = self.connection_limits(&state.service);
        let asking = ask_for_report(target, limits, path);
        let deadline = state.outgoing.deadline;
        let report = self.run_clock.within(REPORT_TIMEOUT, deadline, asking).await;
        let listed = target.announcement.born;
        let (reported, found) = match report {
            Some(Report::Body(body)) => {
                let reported = self.dialect.reported_start(&body);
                (reported, ReportedIncarnation::compare(listed, reported))
            }
            Some(Report::Unreadable) => (Born::default(), ReportedIncarnation::Untold),
            Some(Report::None) | None => (Born::default(), ReportedIncarnation::Unknown),
        };
        let mut check = target.incarnation_check();
        let suspicion_age = check.suspicion_age(asked_at);
        check.record_report(asked_at, found);
        drop(check);
        self.metrics.incarnation_asked(&state.service, found.label());
        info!(self.log, "asked a target for its incarnation"; "event" => "incarnation_asked",
            "target" => &target.announcement.id, "service" => &state.service,
            "found" => found.label(), "listed" => listed.0, "reported" => reported.0,
            "suspected_ms_ago" => suspicion_age.map(|age| age.as_millis() as u64),
            "took_ms" => millis_since(began));
    }

    /// Path of the target's report about itself, if it serves models and its incarnation needs confirmation.
    fn report_path(&self, target: &Target) -> Option<&'static str> {
        let path = self.dialect.target_report()?;
        let table = self.table()?;
        let engine = table.service(&target.announcement.service)?.engine;
        (engine && target.may_restart_unseen()).then_some(path)
    }
}
