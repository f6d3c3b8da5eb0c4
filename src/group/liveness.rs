//! Which targets have not been heard for long, as the leader sees it.

use std::collections::HashMap;
use std::time::Duration;

use crate::directory::{Directory, TargetState};

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
    unsettled: HashMap<String, Duration>,
    heard: HashMap<String, Duration>,
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
            leading_since: None,
        }
    }

    /// Notes a heartbeat.
    pub(super) fn hear(&mut self, now: Duration, id: &str) {
        match self.heard.get_mut(id) {
            Some(heard) => *heard = now,
            None => {
                self.heard.insert(id.to_owned(), now);
            }
        }
    }

    /// Targets that have become silent. A new leader gives every target the whole time.
    pub(super) fn silent(
        &mut self,
        now: Duration,
        leads: bool,
        directory: &Directory,
    ) -> Vec<String> {
        if !leads {
            self.leading_since = None;
            self.heard.clear();
            return Vec::new();
        }
        let since = *self.leading_since.get_or_insert(now);
        self.heard.retain(|id, _| directory.get(id).is_some());
        let overdue = directory.targets().filter(|target| {
            let heard = self.heard.get(&target.id).copied().unwrap_or(since).max(since);
            target.state != TargetState::Silent && now >= heard + self.patience
        });
        overdue.map(|target| target.id.clone()).collect()
    }

    /// Targets that have waited for a home long enough.
    pub(super) fn due_for_home(
        &mut self,
        now: Duration,
        leads: bool,
        directory: &Directory,
    ) -> Vec<String> {
        let waiting: Vec<String> =
            directory.unsettled().map(|target| target.id.clone()).filter(|_| leads).collect();
        self.unsettled.retain(|id, _| waiting.contains(id));
        for id in &waiting {
            self.unsettled.entry(id.clone()).or_insert(now);
        }
        let due = self.unsettled.iter().filter(|(_, since)| now >= **since + self.waits_for_home);
        due.map(|(id, _)| id.clone()).collect()
    }
}
