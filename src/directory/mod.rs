//! The directory of targets, which announce themselves with heartbeats: the targets, their states,
//! and the revisions at which they changed.
//!
//! The directory is part of the replicated store. First heartbeats, changes and removals of targets
//! are entries of the log; heartbeats that change nothing are not.
//!
//! A target may restart under the same identity. Each incarnation counts as a new target without requests or cached
//! prompts. It replaces the incarnation before it, whose home is reassigned and whose late heartbeats are ignored.
//!
//! Each target of a service has a *home*: a hash slot to which requests with an affinity are mapped.
//! The home of a target that shuts down or is removed is reassigned to the newest target without one,
//! so that only the requests of that home get a target that has not cached their prompts. A new target
//! that inherits no home gets one of its own after a while.

mod entry;

use std::sync::Arc;

use imbl::{OrdMap, OrdSet, Vector};
use serde::{Deserialize, Serialize};

pub use self::entry::{
    Announcement, Born, DirectoryDelta, DirectoryEntry, HeartbeatClass, Incarnation, Listed, Moved,
    TargetState, key,
};
use crate::store::Revision;

/// Maximum number of ended incarnations that are kept, to detect late heartbeats from them.
pub const MAX_ENDED_INCARNATIONS: usize = 4_096;

/// All targets, with the indexes that follow from their entries.
///
/// Clones share their data, so that cloning is cheap for any number of targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Saved", into = "Saved")]
pub struct Directory {
    revision: Revision,
    targets: OrdMap<Id, Arc<DirectoryEntry>>,
    /// Ended incarnations with the revision that ended them, oldest first.
    over: Vector<(Id, Born, Revision)>,
    /// The same by identity.
    over_by_id: OrdMap<Id, OrdSet<Born>>,
    /// Revision of the newest ended incarnation that was dropped from `over`; 0 if none was.
    forgotten: Revision,
    /// Targets by the revision that last changed them.
    by_revision: OrdSet<(Revision, Id)>,
    /// Homes in use, by service.
    homes: OrdMap<Id, OrdSet<u32>>,
    /// Ready targets without a home, by service.
    homeless: OrdMap<Id, OrdSet<(Revision, Id)>>,
    /// Targets whose start time is not known yet, and whose next heartbeat may add it.
    undated: OrdSet<Id>,
}

/// An identity of a target or name of a service, shared by several collections.
type Id = Arc<str>;

/// Form in which a directory is saved. The indexes are rebuilt from it.
#[derive(Serialize, Deserialize)]
pub(crate) struct Saved {
    pub(crate) revision: Revision,
    pub(crate) entries: Vec<DirectoryEntry>,
    pub(crate) over: Vec<(String, Born, Revision)>,
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
            directory.insert(entry);
        }
        for (id, born, revision) in saved.over {
            directory.record_end(Id::from(id), born, revision);
        }
        directory
    }
}

impl Directory {
    /// Revision of the last change of any target.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the directory has no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Whether any target of a service has a home or waits for one.
    pub fn has_service(&self, service: &str) -> bool {
        self.homes.contains_key(service) || self.homeless.contains_key(service)
    }

    /// The last announcement of every target.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|entry| &entry.announcement)
    }

    /// The last announcement of the target with this identity.
    pub fn get(&self, id: &str) -> Option<&Announcement> {
        self.targets.get(id).map(|entry| &entry.announcement)
    }

    /// Whether an incarnation of a target is known to have been removed or replaced.
    pub fn has_ended(&self, id: &str, born: Born) -> bool {
        self.over_by_id.get(id).is_some_and(|over| over.contains(&born))
    }

    /// Whether the target with this identity is known to have been removed and has not come back.
    pub fn was_removed(&self, id: &str) -> bool {
        self.over_by_id.contains_key(id) && self.get(id).is_none()
    }

    /// Whether a heartbeat changes the directory.
    pub fn classify(&self, heartbeat: &Announcement) -> HeartbeatClass {
        if self.has_ended(&heartbeat.id, heartbeat.born) {
            return HeartbeatClass::Stale;
        }
        let Some(known) = self.get(&heartbeat.id) else {
            // A target that has sent its start time before always sends it.
            let lacks_start_time = heartbeat.born.0.is_none() && self.was_removed(&heartbeat.id);
            return if lacks_start_time { HeartbeatClass::Stale } else { HeartbeatClass::Changed };
        };
        if heartbeat.born != known.born {
            return match self.adds_start_time(known, heartbeat) {
                true => HeartbeatClass::Changed,
                false => classify_other_incarnation(known, heartbeat),
            };
        }
        if heartbeat.sequence < known.sequence {
            return HeartbeatClass::Stale;
        }
        if DirectoryEntry::is_unchanged(known, heartbeat) {
            HeartbeatClass::Unchanged
        } else {
            HeartbeatClass::Changed
        }
    }

    /// Applies a heartbeat, if it changes the directory.
    pub fn announce(&mut self, index: Revision, heartbeat: Announcement) {
        if self.classify(&heartbeat) != HeartbeatClass::Changed {
            return;
        }
        let (id, service) = (heartbeat.id.clone(), heartbeat.service.clone());
        let restarted = |known: &Announcement| {
            known.born != heartbeat.born && !self.adds_start_time(known, &heartbeat)
        };
        if self.get(&id).is_some_and(restarted) {
            self.end_incarnation(index, &id);
        }
        if heartbeat.born.0.is_some() {
            self.undated.remove(id.as_str());
        }
        let known = self.targets.get(id.as_str());
        let home = known.and_then(|entry| entry.home);
        let known = known.filter(|entry| entry.same_except_state(&heartbeat));
        let since = known.map_or(index, |entry| entry.since);
        let draining = heartbeat.state == TargetState::Draining;
        let kept = home.filter(|_| !draining);
        self.insert(DirectoryEntry { revision: index, since, announcement: heartbeat, home: kept });
        self.revision = index;
        match home {
            Some(home) if draining => self.reassign_home(index, &service, home),
            None if !draining => self.assign_vacated_home(index, &id, &service),
            _ => {}
        }
    }

    /// Assigns the lowest free home of the service to each of the targets that is ready and has none. Called for
    /// targets that have waited long enough to inherit a home.
    pub fn assign_homes(&mut self, index: Revision, targets: &[Incarnation]) {
        for target in targets {
            let Some(entry) = self.current_entry(target) else {
                continue;
            };
            let ready = entry.announcement.state == TargetState::Ready;
            if entry.home.is_none() && ready {
                let free = self.first_free_home(&entry.announcement.service.clone());
                self.set_home(index, &target.id, free);
            }
        }
    }

    /// Allows each target whose start time is not known to add it with a later heartbeat, without counting as a new
    /// incarnation.
    pub fn expect_start_times(&mut self) {
        let undated = self.targets.iter().filter(|(_, entry)| entry.announcement.born.0.is_none());
        self.undated = undated.map(|(id, _)| id.clone()).collect();
    }

    /// Identities of targets whose start time is not known yet, and whose next heartbeat may add it.
    pub(crate) fn undated(&self) -> Vec<String> {
        self.undated.iter().map(|id| id.to_string()).collect()
    }

    pub(crate) fn with_undated(self, undated: Vec<String>) -> Self {
        Directory { undated: undated.into_iter().map(Id::from).collect(), ..self }
    }

    /// Whether a heartbeat is from the incarnation in the directory and adds its start time. One whose sequence starts
    /// anew is from the next incarnation.
    fn adds_start_time(&self, known: &Announcement, heartbeat: &Announcement) -> bool {
        self.undated.contains(known.id.as_str())
            && heartbeat.born.0.is_some()
            && heartbeat.sequence >= known.sequence
            && heartbeat.addr == known.addr
            && heartbeat.service == known.service
    }

    /// The entry of a target, if the given incarnation is the current one.
    fn current_entry(&self, target: &Incarnation) -> Option<&Arc<DirectoryEntry>> {
        let entry = self.targets.get(target.id.as_str())?;
        (entry.announcement.born == target.born).then_some(entry)
    }

    /// Ready targets that have no home.
    pub fn ready_without_home(&self) -> impl Iterator<Item = &Announcement> {
        let ids = self.homeless.values().flat_map(|of_service| of_service.iter());
        ids.filter_map(|(_, id)| self.get(id))
    }

    /// Inserts or replaces an entry, and updates the indexes.
    fn insert(&mut self, entry: DirectoryEntry) {
        let id = Id::from(entry.announcement.id.as_str());
        self.remove_entry(&id);
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

    /// Removes an entry, also from the indexes.
    fn remove_entry(&mut self, id: &str) -> Option<Arc<DirectoryEntry>> {
        let (id, entry) = self.targets.remove_with_key(id)?;
        let service = entry.announcement.service.as_str();
        let key = (entry.revision, id);
        self.by_revision.remove(&key);
        if let Some(home) = entry.home {
            remove_from_set(&mut self.homes, service, &home);
        }
        remove_from_set(&mut self.homeless, service, &key);
        Some(entry)
    }

    /// Changes an entry, and sets its revision to `index`.
    fn update(&mut self, index: Revision, id: &str, change: impl FnOnce(&mut DirectoryEntry)) {
        if let Some(entry) = self.targets.get(id) {
            let mut entry = DirectoryEntry::clone(entry);
            change(&mut entry);
            entry.revision = index;
            self.insert(entry);
            self.revision = index;
        }
    }

    fn set_home(&mut self, index: Revision, id: &str, home: u32) {
        self.update(index, id, |entry| entry.home = Some(home));
    }

    /// The lowest home that no target of the service has.
    fn first_free_home(&self, service: &str) -> u32 {
        let Some(homes) = self.homes.get(service) else {
            return 0;
        };
        let contiguous = homes.get_max().is_none_or(|last| *last as usize + 1 == homes.len());
        if contiguous {
            return homes.len() as u32;
        }
        let gap = homes.iter().zip(0..).find(|(home, at)| **home != *at);
        gap.map_or(homes.len() as u32, |(_, at)| at)
    }

    /// Assigns a vacated home of the service, one below its highest, to a new target, if there is one.
    fn assign_vacated_home(&mut self, index: Revision, id: &str, service: &str) {
        let free = self.first_free_home(service);
        let last = self.homes.get(service).and_then(OrdSet::get_max);
        if last.is_some_and(|last| free < *last) {
            self.set_home(index, id, free);
        }
    }

    /// Assigns a home that has become free to the newest ready target of the service without one.
    fn reassign_home(&mut self, index: Revision, service: &str, home: u32) {
        let newest = self.homeless.get(service).and_then(OrdSet::get_max);
        if let Some((_, newest)) = newest.cloned() {
            self.set_home(index, &newest, home);
        }
    }

    /// Marks targets from which no heartbeat has arrived within the timeout.
    pub fn mark_unresponsive(&mut self, index: Revision, targets: &[Incarnation]) {
        for target in targets {
            let entry = self.current_entry(target);
            if entry.is_some_and(|entry| entry.announcement.state != TargetState::Silent) {
                self.update(index, &target.id, |entry| {
                    entry.announcement.state = TargetState::Silent;
                });
            }
        }
    }

    /// Removes a target if `born` is its current incarnation or does not name one. A request to remove an earlier
    /// incarnation removes nothing. If the target is not known, the incarnation is recorded as ended.
    pub fn remove(&mut self, index: Revision, id: &str, born: Born) {
        if self.was_removed(id) {
            return;
        }
        match self.get(id).map(|known| known.born) {
            Some(known) if born.0.is_none() || born == known => self.end_incarnation(index, id),
            // A late request from another incarnation.
            Some(_) => {}
            None => {
                self.record_end(Id::from(id), born, index);
                self.revision = index;
            }
        }
    }

    /// Removes the current incarnation of a target, reassigns its home, and records that it ended.
    fn end_incarnation(&mut self, index: Revision, id: &str) {
        let Some(ended) = self.remove_entry(id) else {
            return;
        };
        self.undated.remove(id);
        if let Some(home) = ended.home {
            self.reassign_home(index, &ended.announcement.service, home);
        }
        self.record_end(Id::from(id), ended.announcement.born, index);
        self.revision = index;
    }

    /// Records that an incarnation ended, and drops the oldest record beyond [`MAX_ENDED_INCARNATIONS`].
    fn record_end(&mut self, id: Id, born: Born, index: Revision) {
        self.over_by_id.entry(id.clone()).or_default().insert(born);
        self.over.push_back((id, born, index));
        if self.over.len() > MAX_ENDED_INCARNATIONS
            && let Some((oldest, born, revision)) = self.over.pop_front()
        {
            remove_from_set(&mut self.over_by_id, &oldest, &born);
            self.forgotten = revision;
        }
    }

    /// Whether all changes since the revision `known` are known. If not, a gateway at that revision needs the whole
    /// directory.
    pub fn has_changes_since(&self, known: Revision) -> bool {
        known > 0 && known >= self.forgotten && known <= self.revision
    }

    /// The changes that a gateway at revision `known` lacks; `None` if it lacks none.
    pub fn delta_since(&self, known: Revision) -> Option<DirectoryDelta> {
        if known == self.revision {
            return None;
        }
        let whole = !self.has_changes_since(known);
        let (changed, moved) =
            if whole { (self.all_listed(), Vec::new()) } else { self.changes_after(known) };
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

    fn all_listed(&self) -> Vec<Listed> {
        self.targets.values().map(|entry| entry.listed()).collect()
    }

    /// Entries changed after a revision: those to be sent whole, and those of which only state, remaining cold time or
    /// home changed.
    fn changes_after(&self, known: Revision) -> (Vec<Listed>, Vec<Moved>) {
        let changed = self.by_revision.range((known + 1, Id::from(""))..);
        let entries = changed.filter_map(|(_, id)| self.targets.get(id));
        let (whole, moved): (Vec<_>, Vec<_>) = entries.partition(|entry| entry.since > known);
        let listed = whole.into_iter().map(|entry| entry.listed()).collect();
        (listed, moved.into_iter().map(|entry| entry.moved()).collect())
    }
}

/// Classifies a heartbeat from another incarnation than the one in the directory: [`Changed`](HeartbeatClass::Changed)
/// if that incarnation is the later one.
///
/// It is if its start time is later. An earlier start time may be that of a former incarnation whose first heartbeat
/// was delayed, or of a later one whose clock has stepped back; in the second case the incarnation in the directory is
/// unresponsive.
fn classify_other_incarnation(known: &Announcement, heartbeat: &Announcement) -> HeartbeatClass {
    let later = heartbeat.born > known.born;
    let clock_stepped_back = heartbeat.born.0.is_some() && known.state == TargetState::Silent;
    if later || clock_stepped_back { HeartbeatClass::Changed } else { HeartbeatClass::Stale }
}

/// Removes a value from the set under `key`, and the set once it is empty, so that directories with
/// equal content compare equal.
fn remove_from_set<T: Clone + Ord>(sets: &mut OrdMap<Id, OrdSet<T>>, key: &str, value: &T) {
    if let Some(set) = sets.get_mut(key) {
        set.remove(value);
        if set.is_empty() {
            sets.remove(key);
        }
    }
}
