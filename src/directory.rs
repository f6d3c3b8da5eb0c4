//! Targets that announce themselves: which are there, in which state, and what changed since when.
//!
//! The directory is part of the replicated store. First sights, changes of state and removals are
//! entries of the log; heartbeats that bring nothing new are not.
//!
//! Each target of a service has a *home*: a number that requests with an affinity are hashed to. A
//! target that leaves gives its home to one that came to replace it, so that only its own requests
//! meet a target that has not seen their prompts; a target that comes without another leaving gets
//! a home of its own a while later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// Removed targets that are remembered, so that late heartbeats of theirs are known as such.
pub const REMOVED_LEN: usize = 4_096;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It does.
    Ready,
    /// It ends what it has and then leaves.
    Draining,
    /// It has not been heard for long, and may be gone.
    Silent,
}

/// What a target says of itself in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity of this start of the target.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Data hall that it stands in.
    pub data_hall: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Grows with each heartbeat of this target.
    pub sequence: u64,
}

/// A target in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// What it said when it last brought something new.
    pub announcement: Announcement,
    /// Revision that brought it.
    pub revision: Revision,
    /// Its home, once it has one.
    pub home: Option<u32>,
}

/// A target as gateways are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// What it said when it last brought something new.
    pub announcement: Announcement,
    /// Its home, once it has one.
    pub home: Option<u32>,
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// It brings nothing new.
    Known,
    /// It must go into the log before it is acknowledged.
    News,
    /// It is older than what is known, or of a target that was removed.
    Late,
}

/// All targets that are there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    revision: Revision,
    targets: BTreeMap<String, DirectoryEntry>,
    /// Removed targets with the revision of their removal, oldest first.
    removed: VecDeque<(String, Revision)>,
    removed_ids: BTreeSet<String>,
    /// Removals up to this revision have been forgotten.
    forgotten: Revision,
}

/// What a router lacks of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Revision after applying it.
    pub revision: Revision,
    /// Whether it holds all targets, so that others are to be dropped.
    pub whole: bool,
    /// New and changed targets.
    pub changed: Vec<Listed>,
    /// Removed targets.
    pub removed: Vec<String>,
}

impl DirectoryEntry {
    fn listed(&self) -> Listed {
        Listed { announcement: self.announcement.clone(), home: self.home }
    }
}

impl Directory {
    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
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
        let same = Announcement { sequence: known.sequence, ..heartbeat.clone() } == *known;
        if same { Heartbeat::Known } else { Heartbeat::News }
    }

    /// Takes a heartbeat that brings news.
    pub fn announce(&mut self, index: Revision, heartbeat: Announcement) {
        if self.judge(&heartbeat) != Heartbeat::News {
            return;
        }
        let id = heartbeat.id.clone();
        let service = heartbeat.service.clone();
        let state = heartbeat.state;
        let home = self.targets.get(&id).and_then(|entry| entry.home);
        let entry = DirectoryEntry { revision: index, announcement: heartbeat, home };
        self.targets.insert(id.clone(), entry);
        self.revision = index;
        match state {
            TargetState::Draining => self.vacate(index, &service, &id),
            _ if home.is_none() => self.move_into_gap(index, &service, &id),
            _ => {}
        }
    }

    /// Gives homes of their own to targets that have been there for a while.
    pub fn settle(&mut self, index: Revision, ids: &[String]) {
        for id in ids {
            let Some(entry) = self.targets.get(id) else {
                continue;
            };
            let ready = entry.announcement.state == TargetState::Ready;
            if entry.home.is_none() && ready {
                let homes = self.homes(&entry.announcement.service.clone());
                let free = (0..).find(|home| !homes.contains(home));
                self.house(index, id, free);
            }
        }
    }

    /// Targets that take new work and have no home.
    pub fn unsettled(&self) -> impl Iterator<Item = &Announcement> {
        let ready = |entry: &&DirectoryEntry| entry.announcement.state == TargetState::Ready;
        let unsettled = self.targets.values().filter(|entry| entry.home.is_none());
        unsettled.filter(ready).map(|entry| &entry.announcement)
    }

    fn homes(&self, service: &str) -> BTreeSet<u32> {
        let of_service =
            self.targets.values().filter(|entry| entry.announcement.service == service);
        of_service.filter_map(|entry| entry.home).collect()
    }

    fn house(&mut self, index: Revision, id: &str, home: Option<u32>) {
        if let Some(entry) = self.targets.get_mut(id) {
            entry.home = home;
            entry.revision = index;
            self.revision = index;
        }
    }

    /// Gives a newcomer the home that somebody has left, if there is one.
    fn move_into_gap(&mut self, index: Revision, service: &str, id: &str) {
        let homes = self.homes(service);
        let highest = homes.last().copied().unwrap_or(0);
        let gap = (0..highest).find(|home| !homes.contains(home));
        if gap.is_some() {
            self.house(index, id, gap);
        }
    }

    /// Takes the home of a target that leaves, and gives it to the newest one without.
    fn vacate(&mut self, index: Revision, service: &str, id: &str) {
        let Some(home) = self.targets.get_mut(id).and_then(|entry| entry.home.take()) else {
            return;
        };
        let waiting = self.targets.values().filter(|entry| {
            let announcement = &entry.announcement;
            let ready = announcement.state == TargetState::Ready;
            entry.home.is_none() && ready && announcement.service == service
        });
        let newest = waiting.max_by_key(|entry| entry.revision);
        if let Some(newest) = newest.map(|entry| entry.announcement.id.clone()) {
            self.house(index, &newest, Some(home));
        }
    }

    /// Marks targets that have not been heard for long.
    pub fn silence(&mut self, index: Revision, ids: &[String]) {
        for id in ids {
            if let Some(entry) = self.targets.get_mut(id)
                && entry.announcement.state != TargetState::Silent
            {
                entry.announcement.state = TargetState::Silent;
                entry.revision = index;
                self.revision = index;
            }
        }
    }

    /// Removes a target for good.
    pub fn remove(&mut self, index: Revision, id: &str) {
        if !self.removed_ids.insert(id.to_owned()) {
            return;
        }
        if let Some(service) = self.get(id).map(|target| target.service.clone()) {
            self.vacate(index, &service, id);
        }
        self.targets.remove(id);
        self.removed.push_back((id.to_owned(), index));
        self.revision = index;
        if self.removed.len() > REMOVED_LEN
            && let Some((oldest, revision)) = self.removed.pop_front()
        {
            self.removed_ids.remove(&oldest);
            self.forgotten = revision;
        }
    }

    /// What a router that has revision `known` lacks; `None` when it lacks nothing.
    pub fn since(&self, known: Revision) -> Option<DirectoryDelta> {
        if known == self.revision {
            return None;
        }
        let whole = known == 0 || known < self.forgotten || known > self.revision;
        let from = if whole { 0 } else { known };
        let changed = self.targets.values().filter(|entry| entry.revision > from);
        let removed = self.removed.iter().filter(|(_, revision)| !whole && *revision > from);
        Some(DirectoryDelta {
            revision: self.revision,
            whole,
            changed: changed.map(DirectoryEntry::listed).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
        })
    }
}
