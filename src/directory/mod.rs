//! Targets that announce themselves: which are there, in which state, and what changed since when.
//!
//! The directory is part of the replicated store. First sights, changes of state and removals are
//! entries of the log; heartbeats that bring nothing new are not.
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
    Announcement, DirectoryDelta, DirectoryEntry, Heartbeat, Listed, Moved, TargetState, key,
};
use crate::store::Revision;

/// Removed targets that are remembered, so that late heartbeats of theirs are known as such.
pub const REMOVED_LEN: usize = 4_096;

/// All targets that are there.
///
/// Copies share their parts, so that a copy for readers costs little whatever the number of targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Saved", into = "Saved")]
pub struct Directory {
    revision: Revision,
    targets: OrdMap<Id, Arc<DirectoryEntry>>,
    /// Removed targets with the revision of their removal, oldest first.
    removed: Vector<(Id, Revision)>,
    removed_ids: OrdSet<Id>,
    /// Removals up to this revision have been forgotten.
    forgotten: Revision,
    /// Targets by the revision that last changed them.
    by_revision: OrdSet<(Revision, Id)>,
    /// Homes in use, by service.
    homes: OrdMap<Id, OrdSet<u32>>,
    /// Targets that take new work and have no home, by service.
    homeless: OrdMap<Id, OrdSet<(Revision, Id)>>,
}

/// An identity or a name that many places hold.
type Id = Arc<str>;

/// What a directory is saved as; the rest follows from it.
#[derive(Serialize, Deserialize)]
struct Saved {
    revision: Revision,
    entries: Vec<DirectoryEntry>,
    removed: Vec<(String, Revision)>,
    forgotten: Revision,
}

impl From<Directory> for Saved {
    fn from(directory: Directory) -> Self {
        let entries = directory.targets.values().map(|entry| DirectoryEntry::clone(entry));
        let removed = directory.removed.iter().map(|(id, revision)| (id.to_string(), *revision));
        Saved {
            revision: directory.revision,
            entries: entries.collect(),
            removed: removed.collect(),
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
        for (id, revision) in saved.removed {
            let id = Id::from(id);
            directory.removed_ids.insert(id.clone());
            directory.removed.push_back((id, revision));
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

    /// Whether a target with this identity was removed.
    pub fn was_removed(&self, id: &str) -> bool {
        self.removed_ids.contains(id)
    }

    /// What a heartbeat brings.
    pub fn judge(&self, heartbeat: &Announcement) -> Heartbeat {
        if self.was_removed(&heartbeat.id) {
            return Heartbeat::Late;
        }
        let Some(known) = self.get(&heartbeat.id) else {
            return Heartbeat::News;
        };
        if heartbeat.sequence < known.sequence {
            return Heartbeat::Late;
        }
        if DirectoryEntry::says_nothing_new(known, heartbeat) {
            Heartbeat::Known
        } else {
            Heartbeat::News
        }
    }

    /// Takes a heartbeat that brings news.
    pub fn announce(&mut self, index: Revision, heartbeat: Announcement) {
        if self.judge(&heartbeat) != Heartbeat::News {
            return;
        }
        let (id, service) = (heartbeat.id.clone(), heartbeat.service.clone());
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
    pub fn settle(&mut self, index: Revision, ids: &[String]) {
        for id in ids {
            let Some(entry) = self.targets.get(id.as_str()) else {
                continue;
            };
            let ready = entry.announcement.state == TargetState::Ready;
            if entry.home.is_none() && ready {
                let free = self.first_free_home(&entry.announcement.service.clone());
                self.house(index, id, free);
            }
        }
    }

    /// Targets that take new work and have no home.
    pub fn unsettled(&self) -> impl Iterator<Item = &Announcement> {
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
    pub fn silence(&mut self, index: Revision, ids: &[String]) {
        for id in ids {
            if self.get(id).is_some_and(|target| target.state != TargetState::Silent) {
                self.change(index, id, |entry| entry.announcement.state = TargetState::Silent);
            }
        }
    }

    /// Removes a target for good.
    pub fn remove(&mut self, index: Revision, id: &str) {
        if self.was_removed(id) {
            return;
        }
        if let Some(gone) = self.take(id)
            && let Some(home) = gone.home
        {
            self.give_away(index, &gone.announcement.service, home);
        }
        let id = Id::from(id);
        self.removed_ids.insert(id.clone());
        self.removed.push_back((id, index));
        self.revision = index;
        if self.removed.len() > REMOVED_LEN
            && let Some((oldest, revision)) = self.removed.pop_front()
        {
            self.removed_ids.remove(&oldest);
            self.forgotten = revision;
        }
    }

    /// What a gateway that has revision `known` lacks; `None` when it lacks nothing.
    pub fn since(&self, known: Revision) -> Option<DirectoryDelta> {
        if known == self.revision {
            return None;
        }
        let whole = known == 0 || known < self.forgotten || known > self.revision;
        let (changed, moved) = if whole { (self.all(), Vec::new()) } else { self.after(known) };
        let newest_first = self.removed.iter().rev();
        let removed = newest_first.take_while(|(_, revision)| !whole && *revision > known);
        Some(DirectoryDelta {
            revision: self.revision,
            whole,
            changed,
            moved,
            removed: removed.map(|(id, _)| id.to_string()).collect(),
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
