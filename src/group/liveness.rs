//! Which targets have not been heard for long, as the leader sees it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::directory::{Announcement, Directory, Incarnation, TargetState};

/// Heartbeats that a target may miss before it counts as silent.
const MISSED: u32 = 4;
/// Heartbeats for which a target without a home waits for one that leaves.
const WAITS_FOR_HOME: u32 = 5;

/// When each target was last heard; kept in memory by the leader.
#[derive(Debug)]
pub(super) struct Liveness {
    patience: Duration,
    waits_for_home: Duration,
    /// Since when targets without a home have been seen.
    unsettled: HashMap<Incarnation, Duration>,
    heard: HashMap<u64, Duration>,
    /// When the first target of each service came, if it came here.
    first_seen: HashMap<String, Option<Duration>>,
    /// Since when this member leads, without a break.
    leading_since: Option<Duration>,
}

impl Liveness {
    pub(super) fn new(heartbeat: Duration) -> Self {
        Liveness {
            patience: heartbeat * MISSED,
            waits_for_home: heartbeat * WAITS_FOR_HOME,
            unsettled: HashMap::new(),
            heard: HashMap::new(),
            first_seen: HashMap::new(),
            leading_since: None,
        }
    }

    /// Notes a heartbeat of a target, by its short form.
    pub(super) fn record_heartbeat(&mut self, now: Duration, target: u64) {
        self.heard.insert(target, now);
    }

    /// Whether a service has only just had its first target: then newcomers replace nobody, and
    /// need not wait for a home that somebody leaves.
    pub(super) fn is_forming(
        &mut self,
        now: Duration,
        service: &str,
        directory: &Directory,
    ) -> bool {
        if let Some(first) = self.first_seen.get(service) {
            return first.is_some_and(|first| now < first + self.waits_for_home);
        }
        let first = (!directory.has_service(service)).then_some(now);
        self.first_seen.insert(service.to_owned(), first);
        first.is_some()
    }

    /// Targets that have become silent. A new leader gives every target the whole time.
    pub(super) fn silent(
        &mut self,
        now: Duration,
        leads: bool,
        directory: &Directory,
    ) -> Vec<Incarnation> {
        if !leads {
            self.leading_since = None;
            self.heard.clear();
            return Vec::new();
        }
        let since = *self.leading_since.get_or_insert(now);
        let patience = self.patience;
        // A target that is gone is forgotten once it would count as silent.
        self.heard.retain(|_, heard| now < *heard + patience);
        let overdue = directory.targets().filter(|target| {
            let heard = self.heard.get(&target.key()).copied().unwrap_or(since).max(since);
            target.state != TargetState::Silent && now >= heard + patience
        });
        overdue.map(Announcement::incarnation).collect()
    }

    /// Targets that have waited for a home long enough.
    pub(super) fn due_for_home(
        &mut self,
        now: Duration,
        leads: bool,
        directory: &Directory,
    ) -> Vec<Incarnation> {
        let waiting = directory.unsettled().filter(|_| leads);
        let waiting: HashSet<Incarnation> = waiting.map(Announcement::incarnation).collect();
        self.unsettled.retain(|target, _| waiting.contains(target));
        for target in waiting {
            self.unsettled.entry(target).or_insert(now);
        }
        let due = self.unsettled.iter().filter(|(_, since)| now >= **since + self.waits_for_home);
        due.map(|(target, _)| target.clone()).collect()
    }
}
