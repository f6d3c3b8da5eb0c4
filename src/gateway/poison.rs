//! Requests under which targets ended: what this gateway saw of them, and whether one may be sent.
//!
//! Every way to a target asks here before each sending: first attempts, retries and resumed streams alike.

use slog::info;

use super::Gateway;
use super::exchange::Plan;
use crate::poison::{Origin, Report, Reporter, Suspect, Verdict, log_turned};
use crate::sync::lock;

impl Gateway {
    /// Whether a request is to be sent to no target, because targets ended under it. One that is let through as a
    /// trial counts as tried from now on.
    pub(super) fn blocks_as_poison(&self, plan: &Plan) -> bool {
        if !self.may_know_as_poison(plan) {
            return false;
        }
        let (now, fingerprint) = (self.now(), plan.fingerprint());
        let mut board = lock(&self.poison);
        match board.verdict(now, fingerprint, self.gateways()) {
            Verdict::Blocked => true,
            Verdict::Trial => {
                board.note_trial(now, fingerprint);
                info!(self.log, "tried again"; "event" => "poison_trial",
                    "fingerprint" => %fingerprint, "ends" => board.ends(fingerprint));
                false
            }
            Verdict::Free | Verdict::Watched => false,
        }
    }

    /// Whether anything like the request is remembered: most are told apart by a look that does not read the body.
    fn may_know_as_poison(&self, plan: &Plan) -> bool {
        let board = lock(&self.poison);
        !board.is_empty() && board.may_know(plan.identity().outline())
    }

    /// A target ended under a request.
    pub(super) fn note_end(&self, suspect: Suspect, target: u64) {
        let by = Reporter::of(&self.settings.host);
        lock(&self.poison).note_end(self.now(), suspect, target, by);
        self.poison_changed.notify_one();
        self.log_poison();
    }

    /// A request was answered whole and well: targets do not end under it.
    pub(super) fn note_ended_well(&self, plan: &Plan) {
        if !self.may_know_as_poison(plan) {
            return;
        }
        let cleared = lock(&self.poison).note_ended_well(self.now(), plan.fingerprint());
        if cleared {
            self.metrics.poison_cleared();
            self.poison_changed.notify_one();
            self.log_poison();
        }
    }

    /// Takes what other gateways saw.
    pub(super) fn take_poison_news(&self, word: &[Report]) {
        if word.is_empty() {
            return;
        }
        let now = self.now();
        let mut board = lock(&self.poison);
        word.iter().for_each(|report| board.take(now, Origin::Elsewhere, report.clone()));
        drop(board);
        self.log_poison();
    }

    /// What was seen here since a change, and up to which change that is.
    pub(super) fn poison_news_since(&self, known: u64) -> (Vec<Report>, u64) {
        lock(&self.poison).news_from_here(self.now(), known)
    }

    /// Requests under which targets ended, and those of them that are blocked.
    pub(super) fn count_poison(&self) -> (usize, usize) {
        let board = lock(&self.poison);
        (board.len(), board.blocked_len())
    }

    /// Logs which requests are blocked from now on, or no more, and counts what was forgotten.
    fn log_poison(&self) {
        let mut board = lock(&self.poison);
        self.metrics.poison_dropped.inc_by(board.take_dropped());
        log_turned(&mut board, &self.log);
    }
}
