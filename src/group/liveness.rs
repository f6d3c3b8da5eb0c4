//! Detection of unresponsive targets by the leader, and of new targets that are due for a home.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::directory::{Announcement, Directory, Incarnation, TargetState};

/// Heartbeats that a target may miss before it counts as unresponsive.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Heartbeat intervals for which a target without a home waits for the home of a target that shuts down.
const HOME_WAIT_HEARTBEATS: u32 = 5;

/// Targets from which no heartbeat has arrived within the timeout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Overdue {
    /// Those that were ready.
    pub(super) unresponsive: Vec<Incarnation>,
    /// Those that were draining. They have ended, or are about to, so they are removed: marked as unresponsive they would
    /// no longer count as draining.
    pub(super) drained: Vec<Incarnation>,
}

/// When each target last sent a heartbeat; kept in the leader's memory only.
#[derive(Debug)]
pub(super) struct Liveness {
    timeout: Duration,
    home_wait: Duration,
    /// Targets without a home, and when each was first seen.
    without_home: HashMap<Incarnation, Duration>,
    /// Time of the last heartbeat, by [`Announcement::key`].
    last_heartbeats: HashMap<u64, Duration>,
    /// When the first target of each service announced itself; `None` for services that had targets before.
    first_seen: HashMap<String, Option<Duration>>,
    /// Since when this member has led without interruption.
    leading_since: Option<Duration>,
}

impl Liveness {
    pub(super) fn new(heartbeat: Duration) -> Self {
        Liveness {
            timeout: heartbeat * MAX_MISSED_HEARTBEATS,
            home_wait: heartbeat * HOME_WAIT_HEARTBEATS,
            without_home: HashMap::new(),
            last_heartbeats: HashMap::new(),
            first_seen: HashMap::new(),
            leading_since: None,
        }
    }

    /// Records a heartbeat of the target with this [`Announcement::key`].
    pub(super) fn record_heartbeat(&mut self, now: Duration, target: u64) {
        self.last_heartbeats.insert(target, now);
    }

    /// Whether the first target of a service has only just announced itself. New targets then replace
    /// none, and need not wait for the home of one that shuts down.
    pub(super) fn is_forming(
        &mut self,
        now: Duration,
        service: &str,
        directory: &Directory,
    ) -> bool {
        if let Some(first) = self.first_seen.get(service) {
            return first.is_some_and(|first| now < first + self.home_wait);
        }
        let first = (!directory.has_service(service)).then_some(now);
        self.first_seen.insert(service.to_owned(), first);
        first.is_some()
    }

    /// Targets whose heartbeats are overdue. After a change of leader every target has the full timeout again.
    pub(super) fn overdue(&mut self, now: Duration, leads: bool, directory: &Directory) -> Overdue {
        if !leads {
            self.leading_since = None;
            self.last_heartbeats.clear();
            return Overdue::default();
        }
        let since = *self.leading_since.get_or_insert(now);
        let timeout = self.timeout;
        // An entry is dropped once its timeout has passed, so that targets that are gone take no memory.
        self.last_heartbeats.retain(|_, last| now < *last + timeout);
        let overdue = directory.targets().filter(|target| {
            let last = self.last_heartbeats.get(&target.key()).copied().unwrap_or(since).max(since);
            target.state != TargetState::Silent && now >= last + timeout
        });
        let (drained, unresponsive): (Vec<&Announcement>, Vec<&Announcement>) =
            overdue.partition(|target| target.state == TargetState::Draining);
        let incarnations = |targets: Vec<&Announcement>| {
            targets.into_iter().map(Announcement::incarnation).collect()
        };
        Overdue { unresponsive: incarnations(unresponsive), drained: incarnations(drained) }
    }

    /// Targets that have waited long enough to get a home of their own.
    pub(super) fn due_for_home(
        &mut self,
        now: Duration,
        leads: bool,
        directory: &Directory,
    ) -> Vec<Incarnation> {
        let waiting = directory.ready_without_home().filter(|_| leads);
        let waiting: HashSet<Incarnation> = waiting.map(Announcement::incarnation).collect();
        self.without_home.retain(|target, _| waiting.contains(target));
        for target in waiting {
            self.without_home.entry(target).or_insert(now);
        }
        let due = self.without_home.iter().filter(|(_, since)| now >= **since + self.home_wait);
        due.map(|(target, _)| target.clone()).collect()
    }
}
