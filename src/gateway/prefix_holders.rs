//! Which targets keep a prompt, as this gateway saw itself and as others tell, and whom to name to fetch from.

use std::collections::HashMap;
use std::time::Duration;

use super::Gateway;
use super::choice::Choice;
use super::exchange::Plan;
use super::mechanism::Mechanism;
use crate::group::keepers::{Keeper, MOST_IN_WORD, PromptKey};
use crate::group::loads::LoadKey;
use crate::sync::lock;

/// Tokens in common from which a prompt is told of. On two days nine tenths of the tokens that were read again, because
/// the wrong target was named or none, belonged to such prompts, and six of ten requests (other values were not tried).
const MIN_SHARED_TOKENS: u64 = 1_024;
/// How long a target is thought to keep a prompt after it was told of: twice the time after which it is told of again, so
/// that a word that is lost or late leaves no gap.
const HOLDER_TTL: Duration = Duration::from_secs(20);
/// Age from which a prompt that is still asked for there is told of again.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Targets that are remembered for one prompt: most that lose theirs have had one or two others.
const MAX_HOLDERS_PER_PROMPT: usize = 3;
/// Prompts that are remembered, some 100 bytes each, so that a gateway's memory stays within a megabyte whatever it is
/// told; the days played have some 2,000 prompts.
const MAX_PROMPTS: usize = 8_192;
/// Shortest time between two looks through all of them for old ones.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// A target that keeps a prompt, as known here.
#[derive(Clone, Copy, Debug)]
struct KnownHolder {
    target: LoadKey,
    at: Duration,
}

/// What is known of who keeps what.
#[derive(Debug, Default)]
pub struct PrefixHolders {
    /// Keepers of each prompt, the newest last.
    known: HashMap<PromptKey, Vec<KnownHolder>>,
    pending: Vec<Keeper>,
    /// When old entries were last dropped to make room.
    evicted_at: Option<Duration>,
}

impl PrefixHolders {
    /// A target has read a prompt that nobody expects it to keep; it is told of unless that was done lately.
    pub fn note_prompt_read(&mut self, now: Duration, keeper: Keeper) {
        let known = self.known.get(&keeper.prompt).map_or(&[][..], Vec::as_slice);
        let known = known.iter().find(|known| known.target == keeper.target);
        if known.is_some_and(|known| now < known.at + REPORT_INTERVAL) {
            return;
        }
        self.remember(now, keeper);
        if self.pending.len() < MOST_IN_WORD {
            self.pending.push(keeper);
        }
    }

    /// Takes what others tell.
    pub fn record(&mut self, now: Duration, reports: &[Keeper]) {
        reports.iter().for_each(|keeper| self.remember(now, *keeper));
    }

    /// What is to be told, and counts as told from now on.
    pub fn take_pending(&mut self) -> Vec<Keeper> {
        std::mem::take(&mut self.pending)
    }

    /// Targets that keep a prompt, the newest word first.
    pub fn of(&self, now: Duration, prompt: PromptKey) -> impl Iterator<Item = LoadKey> {
        let known = self.known.get(&prompt).map_or(&[][..], Vec::as_slice);
        let live = known.iter().rev().filter(move |known| now < known.at + HOLDER_TTL);
        live.map(|known| known.target)
    }

    fn remember(&mut self, now: Duration, keeper: Keeper) {
        if self.known.len() >= MAX_PROMPTS {
            self.evict_expired(now);
        }
        if self.known.len() >= MAX_PROMPTS && !self.known.contains_key(&keeper.prompt) {
            return;
        }
        let known = self.known.entry(keeper.prompt).or_default();
        known.retain(|known| known.target != keeper.target);
        known.push(KnownHolder { target: keeper.target, at: now });
        if known.len() > MAX_HOLDERS_PER_PROMPT {
            known.remove(0);
        }
    }

    /// Drops prompts that nobody was told of for long; not more often than is worth the time that it takes.
    fn evict_expired(&mut self, now: Duration) {
        if self.evicted_at.is_some_and(|at| now < at + EVICTION_INTERVAL) {
            return;
        }
        self.evicted_at = Some(now);
        self.known.retain(|_, known| known.iter().any(|known| now < known.at + HOLDER_TTL));
    }
}

impl Gateway {
    /// A target has answered a request, and so has read its prompt.
    pub(super) fn note_prompt_read(&self, plan: &Plan, choice: &Choice) {
        let long_enough = plan.affinity.filter(|affinity| affinity.tokens >= MIN_SHARED_TOKENS);
        let Some(affinity) =
            long_enough.filter(|_| !choice.expected_holder && self.uses(Mechanism::Keepers))
        else {
            return;
        };
        let target = LoadKey::of(choice.target.key);
        let keeper = Keeper { prompt: PromptKey::of(affinity.hash), target };
        lock(&self.keepers).note_prompt_read(self.now(), keeper);
    }
}
