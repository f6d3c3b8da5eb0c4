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
const LEAST_TOKENS: u64 = 1_024;
/// How long a target is thought to keep a prompt after it was told of: twice the time after which it is told of again, so
/// that a word that is lost or late leaves no gap.
const KEPT_FOR: Duration = Duration::from_secs(20);
/// Age from which a prompt that is still asked for there is told of again.
const TOLD_AGAIN_AFTER: Duration = Duration::from_secs(10);
/// Targets that are remembered for one prompt: most that lose theirs have had one or two others.
const MOST_TARGETS: usize = 3;
/// Prompts that are remembered, some 100 bytes each, so that a gateway's memory stays within a megabyte whatever it is
/// told; the days played have some 2,000 prompts.
const MOST_PROMPTS: usize = 8_192;
/// Shortest time between two looks through all of them for old ones.
const ROOM_APART: Duration = Duration::from_secs(1);

/// A target that keeps a prompt, as known here.
#[derive(Clone, Copy, Debug)]
struct Known {
    target: LoadKey,
    at: Duration,
}

/// What is known of who keeps what.
#[derive(Debug, Default)]
pub struct Keepers {
    /// Keepers of each prompt, the newest last.
    known: HashMap<PromptKey, Vec<Known>>,
    untold: Vec<Keeper>,
    /// When old entries were last dropped to make room.
    made_room_at: Option<Duration>,
}

impl Keepers {
    /// A target has read a prompt that nobody expects it to keep; it is told of unless that was done lately.
    pub fn note_read(&mut self, now: Duration, keeper: Keeper) {
        let known = self.known.get(&keeper.prompt).map_or(&[][..], Vec::as_slice);
        let known = known.iter().find(|known| known.target == keeper.target);
        if known.is_some_and(|known| now < known.at + TOLD_AGAIN_AFTER) {
            return;
        }
        self.remember(now, keeper);
        if self.untold.len() < MOST_IN_WORD {
            self.untold.push(keeper);
        }
    }

    /// Takes what others tell.
    pub fn hear(&mut self, now: Duration, word: &[Keeper]) {
        word.iter().for_each(|keeper| self.remember(now, *keeper));
    }

    /// What is to be told, and counts as told from now on.
    pub fn tell(&mut self) -> Vec<Keeper> {
        std::mem::take(&mut self.untold)
    }

    /// Targets that keep a prompt, the newest word first.
    pub fn of(&self, now: Duration, prompt: PromptKey) -> impl Iterator<Item = LoadKey> {
        let known = self.known.get(&prompt).map_or(&[][..], Vec::as_slice);
        let fresh = known.iter().rev().filter(move |known| now < known.at + KEPT_FOR);
        fresh.map(|known| known.target)
    }

    fn remember(&mut self, now: Duration, keeper: Keeper) {
        if self.known.len() >= MOST_PROMPTS {
            self.make_room(now);
        }
        if self.known.len() >= MOST_PROMPTS && !self.known.contains_key(&keeper.prompt) {
            return;
        }
        let known = self.known.entry(keeper.prompt).or_default();
        known.retain(|known| known.target != keeper.target);
        known.push(Known { target: keeper.target, at: now });
        if known.len() > MOST_TARGETS {
            known.remove(0);
        }
    }

    /// Drops prompts that nobody was told of for long; not more often than is worth the time that it takes.
    fn make_room(&mut self, now: Duration) {
        if self.made_room_at.is_some_and(|at| now < at + ROOM_APART) {
            return;
        }
        self.made_room_at = Some(now);
        self.known.retain(|_, known| known.iter().any(|known| now < known.at + KEPT_FOR));
    }
}

impl Gateway {
    /// A target has answered a request, and so has read its prompt.
    pub(super) fn note_read(&self, plan: &Plan, choice: &Choice) {
        let dear = plan.affinity.filter(|affinity| affinity.tokens >= LEAST_TOKENS);
        let Some(affinity) = dear.filter(|_| !choice.expected && self.uses(Mechanism::Keepers))
        else {
            return;
        };
        let target = LoadKey::of(choice.target.key);
        let keeper = Keeper { prompt: PromptKey::of(affinity.hash), target };
        lock(&self.prefix_holders).note_read(self.now(), keeper);
    }
}
