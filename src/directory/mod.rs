//! Targets that announce themselves: which are there, in which state, and what changed since when.
//!
//! The directory is part of the replicated store. First sights, changes of state and removals are
//! entries of the log; heartbeats that bring nothing new are not.
//!
//! A target may start again under its identity. Each start is a target of its own that holds and knows nothing: it takes
//! the place of the one before, whose home is given away, and nothing late of that one counts any more.
//!
//! Each target of a service has a *home*: a number that requests with an affinity are hashed to. A
//! target that leaves gives its home to one that came to replace it, so that only its own requests
//! meet a target that has not seen their prompts; a target that comes without another leaving gets
//! a home of its own a while later.

mod entry;

use std::sync::Arc;

use imbl::{OrdMap, OrdSet, Vector};
use serde::{Deserialize, Serialize};

pub use self::entry::{
    Announcement, DirectoryDelta, DirectoryEntry, HeartbeatClass, Incarnation, Listed, Moved,
    StartTime, TargetState, key,
};
use crate::store::Revision;

/// Starts of targets that are over and are remembered, so that late heartbeats of theirs are known as such.
pub const MAX_ENDED_INCARNATIONS: usize = 4_096;

/// All targets that are there.
///
/// Copies share their parts, so that a copy for readers costs little whatever the number of targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Saved", into = "Saved")]
pub struct Directory {
    revision: Revision,
    targets: OrdMap<Id, Arc<DirectoryEntry>>,
    /// Starts that are over with the revision that ended them, oldest first.
    over: Vector<(Id, StartTime, Revision)>,
    /// The same by target.
    over_by_id: OrdMap<Id, OrdSet<StartTime>>,
    /// Ends up to this revision have been forgotten.
    forgotten: Revision,
    /// Targets by the revision that last changed them.
    by_revision: OrdSet<(Revision, Id)>,
    /// Homes in use, by service.
    homes: OrdMap<Id, OrdSet<u32>>,
    /// Targets that take new work and have no home, by service.
    homeless: OrdMap<Id, OrdSet<(Revision, Id)>>,
    /// Targets known by their identity alone, whose next word may tell when they started.
    undated: OrdSet<Id>,
}

/// An identity or a name that many places hold.
type Id = Arc<str>;

/// What a directory is saved as; the rest follows from it.
#[derive(Serialize, Deserialize)]
pub(crate) struct Saved {
    pub(crate) revision: Revision,
    pub(crate) entries: Vec<DirectoryEntry>,
    pub(crate) over: Vec<(String, StartTime, Revision)>,
    pub(crate) forgotten: Revision,
}

impl From<Directory> for Saved {
    fn from(directory: Directory) -> Self {
        let entries = directory.targets.values().map(|entry| DirectoryEntry::clone(entry));
        let over = directory.over.iter();
        let over = over.map(|(id, born, revision)| (id.to_string(), *born, *revision));
        Saved {
            revision: directory.revision,
            entries: entries.collect(),
            over: over.collect(),
            forgotten: directory.forgotten,
        }
    }
}

impl From<Saved> for Directory {
    fn from(saved: Saved) -> Self {
        let mut directory = Directory {
            revision: saved.revision,
            forgotten: saved.forgotten,
            ..Directory::default()
        };
        for entry in saved.entries {
            directory.put(entry);
        }
        for (id, born, revision) in saved.over {
            directory.remember(Id::from(id), born, revision);
        }
        directory
    }
}

impl Directory {
    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Whether any target of a service is there, or has a home there.
    pub fn has_service(&self, service: &str) -> bool {
        self.homes.contains_key(service) || self.homeless.contains_key(service)
    }

    /// Every target.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|entry| &entry.announcement)
    }

    /// The target with this identity.
    pub fn get(&self, id: &str) -> Option<&Announcement> {
        self.targets.get(id).map(|entry| &entry.announcement)
    }

    /// Whether this start of a target was removed, or another one followed it.
    pub fn has_ended(&self, id: &str, born: StartTime) -> bool {
        self.over_by_id.get(id).is_some_and(|over| over.contains(&born))
    }

    /// Whether a target with this identity was there, and is no more.
    pub fn was_removed(&self, id: &str) -> bool {
        self.over_by_id.contains_key(id) && self.get(id).is_none()
    }

    /// What a heartbeat brings.
    pub fn classify(&self, heartbeat: &Announcement) -> HeartbeatClass {
        if self.has_ended(&heartbeat.id, heartbeat.born) {
            return HeartbeatClass::Stale;
        }
        let Some(known) = self.get(&heartbeat.id) else {
            // One that said before when it started always says so.
            let says_less = heartbeat.born.0.is_none() && self.was_removed(&heartbeat.id);
            return if says_less { HeartbeatClass::Stale } else { HeartbeatClass::Changed };
        };
        if heartbeat.born != known.born {
            return match self.dates(known, heartbeat) {
                true => HeartbeatClass::Changed,
                false => follows(known, heartbeat),
            };
        }
        if heartbeat.sequence < known.sequence {
            return HeartbeatClass::Stale;
        }
        if DirectoryEntry::says_nothing_new(known, heartbeat) {
            HeartbeatClass::Unchanged
        } else {
            HeartbeatClass::Changed
        }
    }

    /// Takes a heartbeat that brings news.
    pub fn announce(&mut self, index: Revision, heartbeat: Announcement) {
        if self.classify(&heartbeat) != HeartbeatClass::Changed {
            return;
        }
        let (id, service) = (heartbeat.id.clone(), heartbeat.service.clone());
        let restarted =
            |known: &Announcement| known.born != heartbeat.born && !self.dates(known, &heartbeat);
        if self.get(&id).is_some_and(restarted) {
            self.end(index, &id);
        }
        if heartbeat.born.0.is_some() {
            self.undated.remove(id.as_str());
        }
        let known = self.targets.get(id.as_str());
        let home = known.and_then(|entry| entry.home);
        let known = known.filter(|entry| entry.same_place(&heartbeat));
        let since = known.map_or(index, |entry| entry.since);
        let leaves = heartbeat.state == TargetState::Draining;
        let kept = home.filter(|_| !leaves);
        self.put(DirectoryEntry { revision: index, since, announcement: heartbeat, home: kept });
        self.revision = index;
        match home {
            Some(home) if leaves => self.give_away(index, &service, home),
            None if !leaves => self.move_into_gap(index, &id, &service),
            _ => {}
        }
    }

    /// Gives homes of their own to targets that have been there for a while.
    pub fn assign_homes(&mut self, index: Revision, targets: &[Incarnation]) {
        for target in targets {
            let Some(entry) = self.start_of(target) else {
                continue;
            };
            let ready = entry.announcement.state == TargetState::Ready;
            if entry.home.is_none() && ready {
                let free = self.first_free_home(&entry.announcement.service.clone());
                self.house(index, &target.id, free);
            }
        }
    }

    /// From now on the targets that are there may tell when they started, and are the same targets.
    pub fn expect_start_times(&mut self) {
        let undated = self.targets.iter().filter(|(_, entry)| entry.announcement.born.0.is_none());
        self.undated = undated.map(|(id, _)| id.clone()).collect();
    }

    /// Targets whose next word may tell when they started.
    pub(crate) fn undated(&self) -> Vec<String> {
        self.undated.iter().map(|id| id.to_string()).collect()
    }

    pub(crate) fn with_undated(self, undated: Vec<String>) -> Self {
        Directory { undated: undated.into_iter().map(Id::from).collect(), ..self }
    }

    /// Whether a heartbeat is of the known start, which could not be told before. One whose count begins anew is of the
    /// next start.
    fn dates(&self, known: &Announcement, heartbeat: &Announcement) -> bool {
        self.undated.contains(known.id.as_str())
            && heartbeat.born.0.is_some()
            && heartbeat.sequence >= known.sequence
            && heartbeat.addr == known.addr
            && heartbeat.service == known.service
    }

    /// A target that is there, if it is in this start.
    fn start_of(&self, target: &Incarnation) -> Option<&Arc<DirectoryEntry>> {
        let entry = self.targets.get(target.id.as_str())?;
        (entry.announcement.born == target.born).then_some(entry)
    }

    /// Targets that take new work and have no home.
    pub fn ready_without_home(&self) -> impl Iterator<Item = &Announcement> {
        let ids = self.homeless.values().flat_map(|of_service| of_service.iter());
        ids.filter_map(|(_, id)| self.get(id))
    }

    /// Puts an entry in place, and keeps in order all that follows from the entries.
    fn put(&mut self, entry: DirectoryEntry) {
        let id = Id::from(entry.announcement.id.as_str());
        self.take(&id);
        let service = Id::from(entry.announcement.service.as_str());
        self.by_revision.insert((entry.revision, id.clone()));
        if let Some(home) = entry.home {
            self.homes.entry(service).or_default().insert(home);
        } else if entry.announcement.state == TargetState::Ready {
            let homeless = self.homeless.entry(service).or_default();
            homeless.insert((entry.revision, id.clone()));
        }
        self.targets.insert(id, Arc::new(entry));
    }

    /// Takes an entry out, with all that follows from it.
    fn take(&mut self, id: &str) -> Option<Arc<DirectoryEntry>> {
        let (id, entry) = self.targets.remove_with_key(id)?;
        let service = entry.announcement.service.as_str();
        let place = (entry.revision, id);
        self.by_revision.remove(&place);
        if let Some(home) = entry.home {
            drop_from(&mut self.homes, service, &home);
        }
        drop_from(&mut self.homeless, service, &place);
        Some(entry)
    }

    /// Changes an entry, which then is from the revision `index`.
    fn change(&mut self, index: Revision, id: &str, change: impl FnOnce(&mut DirectoryEntry)) {
        if let Some(entry) = self.targets.get(id) {
            let mut entry = DirectoryEntry::clone(entry);
            change(&mut entry);
            entry.revision = index;
            self.put(entry);
            self.revision = index;
        }
    }

    fn house(&mut self, index: Revision, id: &str, home: u32) {
        self.change(index, id, |entry| entry.home = Some(home));
    }

    /// The lowest home that nobody of the service has.
    fn first_free_home(&self, service: &str) -> u32 {
        let Some(homes) = self.homes.get(service) else {
            return 0;
        };
        let in_row = homes.get_max().is_none_or(|last| *last as usize + 1 == homes.len());
        if in_row {
            return homes.len() as u32;
        }
        let gap = homes.iter().zip(0..).find(|(home, at)| **home != *at);
        gap.map_or(homes.len() as u32, |(_, at)| at)
    }

    /// Gives a newcomer the home that somebody has left, if there is one.
    fn move_into_gap(&mut self, index: Revision, id: &str, service: &str) {
        let free = self.first_free_home(service);
        let last = self.homes.get(service).and_then(OrdSet::get_max);
        if last.is_some_and(|last| free < *last) {
            self.house(index, id, free);
        }
    }

    /// Gives the home of a target that leaves to the newest one without.
    fn give_away(&mut self, index: Revision, service: &str, home: u32) {
        let newest = self.homeless.get(service).and_then(OrdSet::get_max);
        if let Some((_, newest)) = newest.cloned() {
            self.house(index, &newest, home);
        }
    }

    /// Marks targets that have not been heard for long.
    pub fn mark_unresponsive(&mut self, index: Revision, targets: &[Incarnation]) {
        for target in targets {
            let entry = self.start_of(target);
            if entry.is_some_and(|entry| entry.announcement.state != TargetState::Silent) {
                self.change(index, &target.id, |entry| {
                    entry.announcement.state = TargetState::Silent;
                });
            }
        }
    }

    /// Removes a target for good, in the start that says so; in whichever it is where that is not said. Word of a start
    /// that is over, or that was never heard, removes nothing.
    pub fn remove(&mut self, index: Revision, id: &str, born: StartTime) {
        if self.was_removed(id) {
            return;
        }
        match self.get(id).map(|known| known.born) {
            Some(known) if born.0.is_none() || born == known => self.end(index, id),
            // Late word of an earlier start.
            Some(_) => {}
            None => {
                self.remember(Id::from(id), born, index);
                self.revision = index;
            }
        }
    }

    /// Ends the present start of a target: its home goes to another, and nothing late of it counts.
    fn end(&mut self, index: Revision, id: &str) {
        let Some(gone) = self.take(id) else {
            return;
        };
        self.undated.remove(id);
        if let Some(home) = gone.home {
            self.give_away(index, &gone.announcement.service, home);
        }
        self.remember(Id::from(id), gone.announcement.born, index);
        self.revision = index;
    }

    /// Remembers a start that is over, and forgets the oldest of too many.
    fn remember(&mut self, id: Id, born: StartTime, index: Revision) {
        self.over_by_id.entry(id.clone()).or_default().insert(born);
        self.over.push_back((id, born, index));
        if self.over.len() > MAX_ENDED_INCARNATIONS
            && let Some((oldest, born, revision)) = self.over.pop_front()
        {
            drop_from(&mut self.over_by_id, &oldest, &born);
            self.forgotten = revision;
        }
    }

    /// Whether what changed since the revision `known` is known; else a gateway that has it needs the whole list.
    pub fn has_changes_since(&self, known: Revision) -> bool {
        known > 0 && known >= self.forgotten && known <= self.revision
    }

    /// What a gateway that has revision `known` lacks; `None` when it lacks nothing.
    pub fn delta_since(&self, known: Revision) -> Option<DirectoryDelta> {
        if known == self.revision {
            return None;
        }
        let whole = !self.has_changes_since(known);
        let (changed, moved) = if whole { (self.all(), Vec::new()) } else { self.after(known) };
        let newest_first = self.over.iter().rev();
        let over = newest_first.take_while(|(.., revision)| !whole && *revision > known);
        Some(DirectoryDelta {
            revision: self.revision,
            whole,
            changed,
            moved,
            removed: over.map(|(id, ..)| id.to_string()).collect(),
        })
    }

    fn all(&self) -> Vec<Listed> {
        self.targets.values().map(|entry| entry.listed()).collect()
    }

    /// What is new, and what is otherwise changed, after a revision.
    fn after(&self, known: Revision) -> (Vec<Listed>, Vec<Moved>) {
        let changed = self.by_revision.range((known + 1, Id::from(""))..);
        let entries = changed.filter_map(|(_, id)| self.targets.get(id));
        let (new, moved): (Vec<_>, Vec<_>) = entries.partition(|entry| entry.since > known);
        let new = new.into_iter().map(|entry| entry.listed()).collect();
        (new, moved.into_iter().map(|entry| entry.moved()).collect())
    }
}

/// Whether a heartbeat of another start than the known one is of one that follows it.
///
/// A later time tells so. An earlier one may be of a start before, whose first word was held up; or of a clock that
/// stepped back, and then the known one is heard no more.
fn follows(known: &Announcement, heartbeat: &Announcement) -> HeartbeatClass {
    let later = heartbeat.born > known.born;
    let stepped_back = heartbeat.born.0.is_some() && known.state == TargetState::Silent;
    if later || stepped_back { HeartbeatClass::Changed } else { HeartbeatClass::Stale }
}

/// Drops a value from a service's set, and the set once it is empty, so that equal directories have
/// equal parts.
fn drop_from<T: Clone + Ord>(sets: &mut OrdMap<Id, OrdSet<T>>, service: &str, value: &T) {
    if let Some(set) = sets.get_mut(service) {
        set.remove(value);
        if set.is_empty() {
            sets.remove(service);
        }
    }
}
