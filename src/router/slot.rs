//! Gets a slot, the right to have one request in flight at a target, for each attempt.
//!
//! Slots at model engines are requested from the router that owns the pool of targets, see [`crate::slots`]. Services,
//! and engines while the live routers are not known yet, are chosen by this router's own load alone.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::sync::oneshot;

use super::admission::{AdmittedRequest, Kind};
use super::{Shared, lock};
use crate::choice::{self, Candidate};
use crate::reason::Reason;
use crate::slots::{Ask, ChatTurn, Decision, Place, TeamId};
use crate::targets::{Choice, Need};

/// Maximum number of engines in one slot request; for a returning chat, the owner looks for its prefix at these only.
const MAX_TARGETS_PER_ASK: usize = 8;
/// Time without any answer from an owner after which a slot request fails. An owner that has ended is detected within
/// it, and one that is busy may still answer; failing earlier would not help, as any other router would have to ask the
/// same owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum wait before a slot is requested again.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(50);

/// A slot at a target, held while an attempt is in flight there.
pub(super) struct Slot {
    shared: Arc<Shared>,
    pub(super) target: Choice,
    /// The grant of the target's owner, which is returned on drop; `None` if no owner was asked.
    granted: Option<Place>,
}

impl Slot {
    /// Counts a request at `target` until the slot is dropped.
    fn take(shared: Arc<Shared>, target: Choice, granted: Option<Place>) -> Self {
        lock(&shared.targets).begin(&target.name);
        Slot { shared, target, granted }
    }
}

impl Drop for Slot {
    /// Frees the slot and wakes the first request in the queue that still waits.
    fn drop(&mut self) {
        lock(&self.shared.targets).end(&self.target.name);
        if let Some(place) = self.granted {
            self.shared.slots.release(self.shared.now(), place);
        }
        while let Some(next) = lock(&self.shared.queue).pop() {
            if next.send(()).is_ok() {
                break;
            }
        }
    }
}

impl Shared {
    /// Takes a slot. While every target is at its load bound or the owner does not answer, waits and tries again, at
    /// most for `router.queue_wait_ms` with the same reason and until the deadline.
    pub(super) async fn wait_for_slot(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        tried: &[String],
    ) -> Result<Slot, Reason> {
        let mut waiting: Option<(Reason, Duration)> = None;
        loop {
            let asked_at = self.now();
            let reason = match self.choose(request, tried).await {
                Err(reason @ (Reason::Overloaded | Reason::OwnerSilent)) => reason,
                chosen => return chosen,
            };
            // The wait is counted from the first of consecutive failures with the same reason.
            let since = match waiting {
                Some((before, since)) if before == reason => since,
                _ => asked_at,
            };
            waiting = Some((reason, since));
            let left = self.wait_left(request, since);
            let waited = match reason {
                _ if left.is_zero() => false,
                Reason::Overloaded => self.wait_in_queue(request, left.min(MAX_ASK_INTERVAL)).await,
                _ => {
                    let pause = MAX_ASK_INTERVAL.mul_f64(rand::random_range(0.5..1.0));
                    tokio::time::sleep(left.min(pause)).await;
                    true
                }
            };
            if !waited {
                return Err(reason);
            }
        }
    }

    /// Time for which a request that has waited since `since` may still wait.
    fn wait_left(&self, request: &AdmittedRequest, since: Duration) -> Duration {
        let max_wait = Duration::from_millis(self.settings.queue_wait_ms);
        request.deadline.min(since + max_wait).saturating_sub(self.now())
    }

    /// Waits until a slot at this router is freed, at most `max_wait`; returns false if the queue is full and this
    /// request is pushed out as the last in order.
    async fn wait_in_queue(&self, request: &AdmittedRequest, max_wait: Duration) -> bool {
        let (wake, woken) = oneshot::channel();
        let (ticket, refused) = lock(&self.queue).push(request.policy.priority, wake);
        // Dropping the sender of the request that the queue pushed out makes that request's own wait return false.
        drop(refused);
        match tokio::time::timeout(max_wait, woken).await {
            Ok(woken) => woken.is_ok(),
            Err(_) => {
                lock(&self.queue).remove(ticket);
                true
            }
        }
    }

    /// Takes a slot at the first target, in the rendezvous order of the request's key, that is below its load bound.
    async fn choose(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        tried: &[String],
    ) -> Result<Slot, Reason> {
        let need = need(request);
        let config = self.config();
        let closed = |name: &str| config.closed(name);
        let mut choices = lock(&self.targets).candidates(self.now(), need, closed);
        let usable = choices.len();
        if usable == 0 {
            let backing_off = self.backoff_left(request).is_some();
            return Err(if backing_off { Reason::Resting } else { Reason::NoTarget });
        }
        let max_in_flight = self.settings.max_in_flight_per_target;
        if matches!(need, Need::Model(_)) && self.slots.ready() {
            choices.retain(|choice| choice.candidate.load < max_in_flight);
            return self.ask_owner(request, tried, choices, usable).await;
        }
        if choices.iter().any(|choice| !tried.contains(&choice.name)) {
            choices.retain(|choice| !tried.contains(&choice.name));
        }
        let candidates: Vec<Candidate> = choices.iter().map(|choice| choice.candidate).collect();
        let total = candidates.iter().map(|candidate| candidate.load).sum::<usize>() + 1;
        let cap = choice::cap(total, candidates.len(), self.settings.load_bound).min(max_in_flight);
        let chosen = choice::choose(request.key, &candidates, cap).ok_or(Reason::Overloaded)?;
        Ok(Slot::take(self.clone(), choices.swap_remove(chosen), None))
    }

    /// Requests a slot at one of the engines from their owner, in the rendezvous order of the chat. For a
    /// returning chat, the owner first looks for an engine that has the chat's prefix cached.
    async fn ask_owner(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        tried: &[String],
        mut choices: Vec<Choice>,
        usable: usize,
    ) -> Result<Slot, Reason> {
        let usable = u16::try_from(usable).unwrap_or(u16::MAX);
        // Targets already tried come last but stay in the list: they may have room again while all others are at their
        // bound.
        let order = |choice: &Choice| {
            let score = choice::score(request.key, choice.candidate.name);
            (tried.contains(&choice.name), Reverse(score))
        };
        choices.sort_by_cached_key(order);
        choices.truncate(MAX_TARGETS_PER_ASK);
        let untried = choices.iter().filter(|choice| !tried.contains(&choice.name)).count();
        let team = TeamId::new(&request.team);
        let ask = Ask {
            ticket: 0,
            team,
            targets: choices.iter().map(|choice| choice.candidate.name).collect(),
            prefix_candidates: if request.first_turn { 0 } else { untried as u8 },
            usable,
            share: (request.policy.share_percent * 10.0) as u16,
            chat: request.key,
            turn: if request.first_turn { ChatTurn::FirstTurn } else { ChatTurn::Returning },
        };
        let now = self.now();
        match self.slots.ask(now, ask, OWNER_TIMEOUT, request.deadline).await {
            Some(Decision::Granted(place)) => {
                let at = choices.iter().position(|choice| choice.candidate.name == place.target);
                let at = at.ok_or(Reason::OwnerSilent)?;
                Ok(Slot::take(self.clone(), choices.swap_remove(at), Some(place)))
            }
            Some(Decision::Full) => Err(Reason::Overloaded),
            Some(Decision::Undecided) => Err(Reason::OwnerSilent),
            None => {
                self.log_unresponsive_owner(now, request);
                Err(Reason::OwnerSilent)
            }
        }
    }

    /// Logs that an owner did not answer; the lines are sampled.
    fn log_unresponsive_owner(&self, asked_at: Duration, request: &AdmittedRequest) {
        let now = self.now();
        if let Some(stands_for) = lock(&self.unresponsive_owner_log).sample(now) {
            warn!(self.log, "slot owner did not answer a slot request in time"; "event" => "owner_silent",
                "team" => &request.team, "waited" => ?now.saturating_sub(asked_at),
                "stands_for" => stands_for);
        }
    }
}

/// What a target must serve to be sent the request.
pub(super) fn need(request: &AdmittedRequest) -> Need<'_> {
    match &request.kind {
        Kind::Chat | Kind::ChatStream => Need::Model(&request.policy.spec),
        Kind::Service { name, .. } => Need::Service(name),
    }
}
