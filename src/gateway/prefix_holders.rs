//! Tracks which targets have prompt prefixes cached, as observed by this gateway and reported by
//! others, in order to name a target to fetch from.

use std::collections::HashMap;
use std::time::Duration;

use super::Gateway;
use super::choice::Choice;
use super::exchange::RequestState;
use super::mechanism::Mechanism;
use crate::group::loads::LoadKey;
use crate::group::prefix_holders::{MAX_HOLDERS_PER_MESSAGE, PrefixHolder, PromptKey};
use crate::sync::lock;

/// Minimum number of shared tokens for which a prefix is reported. In two simulated days these
/// prefixes had nine tenths of the tokens that were processed again because no target or the wrong
/// one was named, and six tenths of the requests. Other values were not tried.
const MIN_SHARED_TOKENS: u64 = 1_024;
/// How long a target is assumed to keep a prefix after a report: twice the report interval, so that
/// a lost or late report leaves no gap.
const HOLDER_TTL: Duration = Duration::from_secs(20);
/// Age after which a prefix that is still used at the target is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of holders remembered per prefix: most prompts that lose their holder have had
/// one or two others.
const MAX_HOLDERS_PER_PROMPT: usize = 3;
/// Maximum number of prefixes remembered. At some 100 bytes each, they stay below 1 MB whatever is
/// reported. The simulated days have some 2,000 prompts.
const MAX_PROMPTS: usize = 8_192;
/// Minimum time between two scans for expired entries.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// A target that holds a prefix.
#[derive(Clone, Copy, Debug)]
struct KnownHolder {
    target: LoadKey,
    at: Duration,
}

/// The known holders of prompt prefixes.
#[derive(Debug, Default)]
pub struct PrefixHolders {
    /// Holders of each prefix, most recently reported last.
    known: HashMap<PromptKey, Vec<KnownHolder>>,
    pending: Vec<PrefixHolder>,
    /// When expired entries were last evicted.
    evicted_at: Option<Duration>,
}

impl PrefixHolders {
    /// Records that a target has processed a prompt although other gateways do not expect it there,
    /// and queues a report unless one was made within `REPORT_INTERVAL`.
    pub fn note_prompt_read(&mut self, now: Duration, holder: PrefixHolder) {
        let known = self.known.get(&holder.prompt).map_or(&[][..], Vec::as_slice);
        let known = known.iter().find(|known| known.target == holder.target);
        if known.is_some_and(|known| now < known.at + REPORT_INTERVAL) {
            return;
        }
        self.remember(now, holder);
        if self.pending.len() < MAX_HOLDERS_PER_MESSAGE {
            self.pending.push(holder);
        }
    }

    /// Records what other gateways reported.
    pub fn record(&mut self, now: Duration, reports: &[PrefixHolder]) {
        reports.iter().for_each(|holder| self.remember(now, *holder));
    }

    /// Takes the holders that are not yet reported to a member.
    pub fn take_pending(&mut self) -> Vec<PrefixHolder> {
        std::mem::take(&mut self.pending)
    }

    /// Targets that hold a prompt's prefix, most recently reported first.
    pub fn of(&self, now: Duration, prompt: PromptKey) -> impl Iterator<Item = LoadKey> {
        let known = self.known.get(&prompt).map_or(&[][..], Vec::as_slice);
        let live = known.iter().rev().filter(move |known| now < known.at + HOLDER_TTL);
        live.map(|known| known.target)
    }

    fn remember(&mut self, now: Duration, holder: PrefixHolder) {
        if self.known.len() >= MAX_PROMPTS {
            self.evict_expired(now);
        }
        if self.known.len() >= MAX_PROMPTS && !self.known.contains_key(&holder.prompt) {
            return;
        }
        let known = self.known.entry(holder.prompt).or_default();
        known.retain(|known| known.target != holder.target);
        known.push(KnownHolder { target: holder.target, at: now });
        if known.len() > MAX_HOLDERS_PER_PROMPT {
            known.remove(0);
        }
    }

    /// Evicts prefixes whose reports have all expired, at most once per [`EVICTION_INTERVAL`].
    fn evict_expired(&mut self, now: Duration) {
        if self.evicted_at.is_some_and(|at| now < at + EVICTION_INTERVAL) {
            return;
        }
        self.evicted_at = Some(now);
        self.known.retain(|_, known| known.iter().any(|known| now < known.at + HOLDER_TTL));
    }
}

impl Gateway {
    /// Records that a target answered a request and so has its prompt cached.
    pub(super) fn note_prompt_read(&self, state: &RequestState, choice: &Choice) {
        let long_enough = state.affinity.filter(|affinity| affinity.tokens >= MIN_SHARED_TOKENS);
        let Some(affinity) =
            long_enough.filter(|_| !choice.expected_holder && self.uses(Mechanism::Keepers))
        else {
            return;
        };
        let target = LoadKey::of(choice.target.key);
        let holder = PrefixHolder { prompt: PromptKey::of(affinity.hash), target };
        lock(&self.prefix_holders).note_prompt_read(self.now(), holder);
    }
}
