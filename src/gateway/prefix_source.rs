//! Selects the target from which the chosen target may fetch the cached prefix of a prompt: a prefix holder that
//! gateways reported, the prompt's home if that is evacuated or backing off, or the most likely holder.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::balance::{Affinity, Candidate, earlier_home, is_first_home, likely_holder};
use super::mechanism::Mechanism;
use super::target::Target;
use super::targets::Targets;
use crate::availability::Eligibility;
use crate::group::loads::LoadKey;
use crate::group::prefix_holders::PromptKey;
use crate::sync::lock;

/// After the evacuation of its data hall was withdrawn, a target is assumed for this long to lack the prefixes that
/// others have processed meanwhile.
const RETURN_WINDOW: Duration = Duration::from_secs(20);

/// Input of the search for a source.
pub(super) struct PrefixSearch<'a> {
    pub(super) now: Duration,
    pub(super) known: &'a Targets,
    /// All targets of the service.
    pub(super) of_service: &'a [Arc<Target>],
    /// Targets that could have been chosen.
    pub(super) targets: &'a [&'a Arc<Target>],
    /// The same targets in the same order, as the balancer saw them.
    pub(super) candidates: &'a [Candidate],
    /// Index of the chosen target.
    pub(super) chosen: usize,
    /// Prompt prefix that the request shares with earlier ones.
    pub(super) affinity: Affinity,
}

/// Prefix holder of a prompt, from the reports of gateways.
enum Reported<'a> {
    /// No usable holder was reported.
    Nobody,
    /// The chosen target holds the prefix itself.
    Chosen,
    /// Another target holds it.
    Other(&'a Arc<Target>),
}

impl Gateway {
    /// The target to fetch the prefix from, if one is likely to have it.
    pub(super) fn prefix_source<'a>(&self, search: &PrefixSearch<'a>) -> Option<&'a Arc<Target>> {
        match self.reported_holder(search) {
            Reported::Chosen => None,
            Reported::Other(holder) => Some(holder),
            Reported::Nobody if self.uses(Mechanism::FetchOut) => self
                .unavailable_home(search)
                .or_else(|| search.likely_holder(search.returned_recently())),
            Reported::Nobody => search.likely_holder(false),
        }
    }

    /// The holder that gateways reported last, those in the chosen target's data hall first. Unresponsive and ejected
    /// targets are left out.
    fn reported_holder<'a>(&self, search: &PrefixSearch<'a>) -> Reported<'a> {
        if !self.uses(Mechanism::Keepers) {
            return Reported::Nobody;
        }
        let prompt = PromptKey::of(search.affinity.hash);
        let reported: Vec<LoadKey> = lock(&self.prefix_holders).of(search.now, prompt).collect();
        let chosen = search.chosen();
        if reported.contains(&LoadKey::of(chosen.key)) {
            return Reported::Chosen;
        }
        let usable =
            |target: &&Arc<Target>| !target.unresponsive() && !target.health().ejected(search.now);
        let holders = reported.iter().filter_map(|key| {
            let mut usable = search.of_service.iter().filter(usable);
            usable.find(|target| LoadKey::of(target.key) == *key)
        });
        let holders: Vec<&Arc<Target>> = holders.collect();
        let near = holders.iter().find(|holder| holder.hall_key == chosen.hall_key);
        near.or(holders.first()).map_or(Reported::Nobody, |holder| Reported::Other(holder))
    }

    /// The prompt's home, if it still runs but gets no requests: its data hall is evacuated, it is backing off, or it
    /// turns requests away.
    fn unavailable_home<'a>(&self, search: &PrefixSearch<'a>) -> Option<&'a Arc<Target>> {
        let uses_homes = self.uses(Mechanism::Homes);
        let unavailable = |target: &&Arc<Target>| match target.eligibility(search.now) {
            Eligibility::Evacuated | Eligibility::BackingOff { .. } => true,
            Eligibility::ShuttingDown => false,
            Eligibility::Open | Eligibility::Returning { .. } => {
                target.health().rejects_work(search.now)
            }
        };
        let others = search.of_service.iter().filter(|target| target.key != search.chosen().key);
        let others: Vec<&Arc<Target>> = others.filter(unavailable).collect();
        if others.is_empty() {
            return None;
        }
        let homes = others.iter().map(|target| Candidate {
            key: target.key,
            home: target.home().filter(|_| uses_homes),
            load: 0.0,
            slots: target.announcement.slots,
            slowdown: 1.0,
            near: false,
            last_resort: false,
        });
        let homes: Vec<Candidate> = homes.collect();
        let usable = search.candidates.iter().filter(|candidate| !candidate.last_resort);
        let usable: Vec<Candidate> = usable.copied().collect();
        earlier_home(&usable, &homes, search.affinity).map(|at| others[at])
    }
}

impl<'a> PrefixSearch<'a> {
    fn chosen(&self) -> &'a Arc<Target> {
        self.targets[self.chosen]
    }

    /// The most likely holder of a prefix that the chosen target may lack. If the chosen target is the home of the
    /// affinity, it may lack the prefix only while it is new as that home, or has just returned.
    fn likely_holder(&self, returned_recently: bool) -> Option<&'a Arc<Target>> {
        let (candidates, chosen, affinity) = (self.candidates, self.chosen, self.affinity);
        let other = || likely_holder(candidates, chosen, affinity).map(|at| self.targets[at]);
        if returned_recently || !is_first_home(candidates, chosen, affinity) {
            return other();
        }
        let former = self.known.former_home_owner(self.chosen())?;
        former.or_else(other)
    }

    /// Whether the evacuation of the chosen target's data hall was withdrawn within [`RETURN_WINDOW`]. Other targets
    /// served its affinities meanwhile.
    fn returned_recently(&self) -> bool {
        let returned_at = self.chosen().cold_state().returned_at();
        returned_at.is_some_and(|at| self.now < at + RETURN_WINDOW)
    }
}
