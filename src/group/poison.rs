//! Requests under which targets ended: gathered from all gateways, passed on to all, listed and lifted by operators.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use slog::info;

use super::Shared;
use super::message::ToMember;
use crate::link::LinkError;
use crate::poison::{Fingerprint, MOST_IN_WORD, Origin, Report, Reporter, log_turned};
use crate::sync::lock;

/// Between two words to other members of what they may have missed: one that was cut off, or has just started, knows
/// of nothing.
const TOLD_AGAIN_AFTER: Duration = Duration::from_secs(2);

/// A blocked request, for operators.
#[derive(Debug, Serialize)]
pub(super) struct BlockedRequest {
    fingerprint: String,
    team: Option<String>,
    route: String,
    /// Targets that ended under it, as far as they are remembered.
    ends: usize,
    last_end_ms_ago: u64,
}

impl From<Report> for BlockedRequest {
    fn from(report: Report) -> Self {
        let last = report.ends.iter().map(|end| end.ago_ms).min();
        BlockedRequest {
            fingerprint: report.suspect.fingerprint.to_string(),
            team: report.suspect.team,
            route: report.suspect.route,
            ends: report.ends.len(),
            last_end_ms_ago: last.unwrap_or_default(),
        }
    }
}

impl Shared {
    /// Takes what a gateway tells. Of ends only those count that it saw itself, so that it can accuse in no other's
    /// name.
    pub(super) fn record_gateway_poison(
        &self,
        gateway: &str,
        mut word: Vec<Report>,
    ) -> Result<(), LinkError> {
        let by = Reporter::of(gateway);
        word.iter_mut().for_each(|report| report.ends.retain(|end| end.by == by));
        self.record_poison(Origin::Here, word)
    }

    /// Takes what a gateway here or another member tells.
    ///
    /// # Errors
    /// [`LinkError::Garbled`] for a word that is longer than any may be.
    pub(super) fn record_poison(&self, origin: Origin, word: Vec<Report>) -> Result<(), LinkError> {
        if word.len() > MOST_IN_WORD {
            return Err(LinkError::Garbled);
        }
        let now = self.now();
        let mut board = lock(&self.poison);
        word.into_iter().for_each(|report| board.take(now, origin, report));
        drop(board);
        self.note_poison();
        Ok(())
    }

    /// Tells gateways and members that there may be news.
    pub(super) fn note_poison(&self) {
        let mut board = lock(&self.poison);
        if log_turned(&mut board, &self.log) {
            self.poison_turned.notify_one();
        }
        self.metrics.poison_dropped.inc_by(board.take_dropped());
        let newest = board.newest_for_gateways();
        drop(board);
        self.poison_updates.send_if_modified(|known| std::mem::replace(known, newest) != newest);
        self.poison_heard.notify_one();
    }

    /// Requests that are blocked.
    pub(super) fn list_poison(&self) -> Vec<BlockedRequest> {
        let blocked = lock(&self.poison).blocked(self.now());
        blocked.into_iter().map(BlockedRequest::from).collect()
    }

    /// Lifts the block of a request here and everywhere; tells whether the request is known.
    pub(super) fn lift_poison(&self, fingerprint: Fingerprint) -> bool {
        let known = lock(&self.poison).settle(self.now(), fingerprint);
        if known {
            info!(self.log, "block lifted"; "event" => "poison_lifted",
                "fingerprint" => %fingerprint);
            self.note_poison();
        }
        known
    }

    /// Requests under which targets ended, and those of them that are blocked.
    pub(super) fn count_poison(&self) -> (usize, usize) {
        let board = lock(&self.poison);
        (board.len(), board.blocked_len())
    }
}

/// Tells the other members what gateways told here, at once, and by turns what all gateways are to know.
pub(super) async fn tell_members(shared: Arc<Shared>) {
    let (mut told, mut told_again) = (0, 0);
    loop {
        let heard = tokio::time::timeout(TOLD_AGAIN_AFTER, shared.poison_heard.notified()).await;
        let now = shared.now();
        loop {
            let (word, upto) = lock(&shared.poison).news_from_here(now, told);
            if word.is_empty() {
                break;
            }
            told = upto;
            shared.broadcast(&ToMember::MemberPoison { from: shared.own_addr, reports: word });
        }
        if heard.is_err() {
            let (word, upto) = lock(&shared.poison).news_for_gateways(now, told_again);
            told_again = if word.is_empty() { 0 } else { upto };
            if !word.is_empty() {
                shared.broadcast(&ToMember::MemberPoison { from: shared.own_addr, reports: word });
            }
        }
    }
}
