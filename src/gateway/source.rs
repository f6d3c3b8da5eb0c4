//! Where a chosen target may fetch what it lacks of a prompt: from whoever gateways told of, from its home in an
//! evacuated hall or at rest, or from whoever most likely keeps it.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use super::balance::{Affinity, Candidate, earlier_home, is_first_home, likely_keeper};
use super::mechanism::Mechanism;
use super::target::Target;
use super::targets::Targets;
use crate::availability::Standing;
use crate::group::keepers::PromptKey;
use crate::group::loads::LoadKey;
use crate::sync::lock;

/// How long after its hall was taken back into use a target is thought to lack what others read meanwhile.
const RETURNED_FOR: Duration = Duration::from_secs(20);

/// What a search for a source goes by.
pub(super) struct Search<'a> {
    pub(super) now: Duration,
    pub(super) known: &'a Targets,
    /// All targets of the service.
    pub(super) of_service: &'a [Arc<Target>],
    /// Those that could have been chosen.
    pub(super) targets: &'a [&'a Arc<Target>],
    /// The same, as they were weighed.
    pub(super) candidates: &'a [Candidate],
    /// Which of them was chosen.
    pub(super) chosen: usize,
    /// What the request shares with others.
    pub(super) affinity: Affinity,
}

/// What gateways told of a prompt.
enum Told<'a> {
    /// Nothing that is of use.
    Nothing,
    /// The chosen target keeps it.
    Chosen,
    /// This one does.
    Other(&'a Arc<Target>),
}

impl Gateway {
    /// The target to fetch from, if any is worth naming.
    pub(super) fn source<'a>(&self, search: &Search<'a>) -> Option<&'a Arc<Target>> {
        match self.told_keeper(search) {
            Told::Chosen => None,
            Told::Other(keeper) => Some(keeper),
            Told::Nothing if self.uses(Mechanism::FetchOut) => {
                self.home_away(search).or_else(|| search.likely(search.returned_lately()))
            }
            Told::Nothing => search.likely(false),
        }
    }

    /// Of the keepers that gateways told of the newest, one in the data hall of the chosen target first.
    fn told_keeper<'a>(&self, search: &Search<'a>) -> Told<'a> {
        if !self.uses(Mechanism::Keepers) {
            return Told::Nothing;
        }
        let prompt = PromptKey::of(search.affinity.hash);
        let told: Vec<LoadKey> = lock(&self.prefix_holders).of(search.now, prompt).collect();
        let chosen = search.chosen();
        if told.contains(&LoadKey::of(chosen.key)) {
            return Told::Chosen;
        }
        let sound = |target: &&Arc<Target>| !target.silent() && !target.health().paused(search.now);
        let keepers = told.iter().filter_map(|told| {
            let mut sound = search.of_service.iter().filter(sound);
            sound.find(|target| LoadKey::of(target.key) == *told)
        });
        let keepers: Vec<&Arc<Target>> = keepers.collect();
        let near = keepers.iter().find(|keeper| keeper.hall == chosen.hall);
        near.or(keepers.first()).map_or(Told::Nothing, |keeper| Told::Other(keeper))
    }

    /// The prompt's home, if that keeps it and is sent nothing: it stands in an evacuated hall, rests, or turns requests away.
    fn home_away<'a>(&self, search: &Search<'a>) -> Option<&'a Arc<Target>> {
        let homes = self.uses(Mechanism::Homes);
        let keeps = |target: &&Arc<Target>| match target.standing(search.now) {
            Standing::Evacuated | Standing::Resting { .. } => true,
            Standing::Leaving => false,
            Standing::Open | Standing::Returning { .. } => target.health().turns_away(search.now),
        };
        let others = search.of_service.iter().filter(|target| target.key != search.chosen().key);
        let keepers: Vec<&Arc<Target>> = others.filter(keeps).collect();
        if keepers.is_empty() {
            return None;
        }
        let away = keepers.iter().map(|target| Candidate {
            key: target.key,
            home: target.home().filter(|_| homes),
            load: 0.0,
            slots: target.announcement.slots,
            strain: 1.0,
            near: false,
            doubtful: false,
        });
        let away: Vec<Candidate> = away.collect();
        let sound = search.candidates.iter().filter(|candidate| !candidate.doubtful);
        let sound: Vec<Candidate> = sound.copied().collect();
        earlier_home(&sound, &away, search.affinity).map(|at| keepers[at])
    }
}

impl<'a> Search<'a> {
    fn chosen(&self) -> &'a Arc<Target> {
        self.targets[self.chosen]
    }

    /// Who most likely keeps what the chosen target may lack: for the first home of an affinity only while it is new
    /// there, or has just returned.
    fn likely(&self, returned_lately: bool) -> Option<&'a Arc<Target>> {
        let (candidates, chosen, affinity) = (self.candidates, self.chosen, self.affinity);
        let other = || likely_keeper(candidates, chosen, affinity).map(|at| self.targets[at]);
        if returned_lately || !is_first_home(candidates, chosen, affinity) {
            return other();
        }
        let former = self.known.moved_in_lately(self.chosen())?;
        former.or_else(other)
    }

    /// Whether the chosen target's hall was taken back into use a short time ago: others have served its affinities
    /// meanwhile.
    fn returned_lately(&self) -> bool {
        let returned_at = self.chosen().warmth().returned_at();
        returned_at.is_some_and(|at| self.now < at + RETURNED_FOR)
    }
}
