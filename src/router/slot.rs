//! A slot at a target for each attempt: chosen here, or asked for at the owner of the target's pool.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::sync::oneshot;

use super::admission::{Kind, Work};
use super::{Shared, lock};
use crate::choice::{self, Candidate};
use crate::reason::Reason;
use crate::slots::{Ask, ChatTurn, Decision, Place, TeamId};
use crate::targets::{Choice, Need};

/// Engines asked for a slot before a request waits, and for the prefix of a chat that returns.
const MAX_ASKS: usize = 8;
/// Longest silence of an owner after which a request is refused: one that has ended is found out meanwhile, one that
/// is busy may still answer, and any other router would have to ask the same.
const OWNER_PATIENCE: Duration = Duration::from_secs(5);
/// Longest wait before engines are asked again for a slot.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// A slot at a target, held while an attempt is in flight there.
pub(super) struct Slot {
    shared: Arc<Shared>,
    pub(super) target: Choice,
    /// What the owner of the target granted, if it was asked.
    granted: Option<Place>,
}

impl Slot {
    fn take(shared: Arc<Shared>, target: Choice, granted: Option<Place>) -> Self {
        lock(&shared.targets).begin(&target.name);
        Slot { shared, target, granted }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.shared.targets).end(&self.target.name);
        if let Some(place) = self.granted {
            self.shared.slots.give(self.shared.now(), place);
        }
        while let Some(next) = lock(&self.shared.queue).pop() {
            if next.send(()).is_ok() {
                break;
            }
        }
    }
}

impl Shared {
    /// Takes a slot, or waits for one in the queue while every target is at its bound.
    pub(super) async fn wait_for_slot(
        self: &Arc<Self>,
        work: &Work,
        tried: &[String],
    ) -> Result<Slot, Reason> {
        let mut waits: Option<(Reason, Duration)> = None;
        loop {
            let began = self.now();
            let reason = match self.choose(work, tried).await {
                Err(reason @ (Reason::Overloaded | Reason::OwnerSilent)) => reason,
                chosen => return chosen,
            };
            // What counts is how long it has waited for this reason without another in between.
            let since = match waits {
                Some((before, since)) if before == reason => since,
                _ => began,
            };
            waits = Some((reason, since));
            let left = self.left_to_wait(work, since);
            let waited = match reason {
                _ if left.is_zero() => false,
                Reason::Overloaded => self.wait_in_queue(work, left.min(ASK_AGAIN)).await,
                _ => {
                    let pause = ASK_AGAIN.mul_f64(rand::random_range(0.5..1.0));
                    tokio::time::sleep(left.min(pause)).await;
                    true
                }
            };
            if !waited {
                return Err(reason);
            }
        }
    }

    /// Time that a request may still wait that has waited since then.
    fn left_to_wait(&self, work: &Work, since: Duration) -> Duration {
        let longest = Duration::from_millis(self.settings.queue_wait_ms);
        work.deadline.min(since + longest).saturating_sub(self.now())
    }

    /// Waits for a slot to come free here, at most `longest`; false when the queue had no room.
    async fn wait_in_queue(&self, work: &Work, longest: Duration) -> bool {
        let (wakes, woken) = oneshot::channel();
        let (ticket, refused) = lock(&self.queue).push(work.policy.priority, wakes);
        // Dropping what wakes the last in order tells it that it is refused.
        drop(refused);
        match tokio::time::timeout(longest, woken).await {
            Ok(woken) => woken.is_ok(),
            Err(_) => {
                lock(&self.queue).remove(ticket);
                true
            }
        }
    }

    /// Takes a slot at the first target in the request's order that is below its bound.
    async fn choose(self: &Arc<Self>, work: &Work, tried: &[String]) -> Result<Slot, Reason> {
        let need = need(work);
        let config = self.config();
        let closed = |name: &str| config.closed(name);
        let mut choices = lock(&self.targets).candidates(self.now(), need, closed);
        let usable = choices.len();
        if usable == 0 {
            let rests = self.rest_left(work).is_some();
            return Err(if rests { Reason::Resting } else { Reason::NoTarget });
        }
        let most = self.settings.max_in_flight_per_target;
        if matches!(need, Need::Model(_)) && self.slots.ready() {
            choices.retain(|choice| choice.candidate.load < most);
            return self.ask_owners(work, tried, choices, usable).await;
        }
        if choices.iter().any(|choice| !tried.contains(&choice.name)) {
            choices.retain(|choice| !tried.contains(&choice.name));
        }
        let candidates: Vec<Candidate> = choices.iter().map(|choice| choice.candidate).collect();
        let total = candidates.iter().map(|candidate| candidate.load).sum::<usize>() + 1;
        let cap = choice::cap(total, candidates.len(), self.settings.load_bound).min(most);
        let chosen = choice::choose(work.key, &candidates, cap).ok_or(Reason::Overloaded)?;
        Ok(Slot::take(self.clone(), choices.swap_remove(chosen), None))
    }

    /// Asks for a slot at one of the engines, in the chat's order. For a chat that returns the owner
    /// first looks for its prefix at all of them.
    async fn ask_owners(
        self: &Arc<Self>,
        work: &Work,
        tried: &[String],
        mut choices: Vec<Choice>,
        usable: usize,
    ) -> Result<Slot, Reason> {
        let usable = u16::try_from(usable).unwrap_or(u16::MAX);
        // One that was tried comes last: the others may all be at their bound while it has room again.
        let order = |choice: &Choice| {
            let score = choice::score(work.key, choice.candidate.name);
            (tried.contains(&choice.name), Reverse(score))
        };
        choices.sort_by_cached_key(order);
        choices.truncate(MAX_ASKS);
        let untried = choices.iter().filter(|choice| !tried.contains(&choice.name)).count();
        let team = TeamId::new(&work.team);
        let ask = Ask {
            ticket: 0,
            team,
            targets: choices.iter().map(|choice| choice.candidate.name).collect(),
            prefix_candidates: if work.first_turn { 0 } else { untried as u8 },
            usable,
            share: (work.policy.share_percent * 10.0) as u16,
            chat: work.key,
            turn: if work.first_turn { ChatTurn::FirstTurn } else { ChatTurn::Returning },
        };
        let now = self.now();
        match self.slots.ask(now, ask, OWNER_PATIENCE, work.deadline).await {
            Some(Decision::Granted(place)) => {
                let at = choices.iter().position(|choice| choice.candidate.name == place.target);
                let at = at.ok_or(Reason::OwnerSilent)?;
                Ok(Slot::take(self.clone(), choices.swap_remove(at), Some(place)))
            }
            Some(Decision::Full) => Err(Reason::Overloaded),
            Some(Decision::Undecided) => Err(Reason::OwnerSilent),
            None => {
                self.tell_silent(now, work);
                Err(Reason::OwnerSilent)
            }
        }
    }

    fn tell_silent(&self, asked_at: Duration, work: &Work) {
        let now = self.now();
        if let Some(stands_for) = lock(&self.silent_lines).keep(now) {
            warn!(self.log, "no answer to an ask for a slot"; "event" => "owner_silent",
                "team" => &work.team, "waited" => ?now.saturating_sub(asked_at),
                "stands_for" => stands_for);
        }
    }
}

/// What a request needs of a target.
pub(super) fn need(work: &Work) -> Need<'_> {
    match &work.kind {
        Kind::Chat | Kind::ChatStream => Need::Model(&work.policy.spec),
        Kind::Service { name, .. } => Need::Service(name),
    }
}
