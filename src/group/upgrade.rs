//! The group's level at a member: what it and its gateways know, and when the leader raises it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::Shared;
use super::message::Reply;
use crate::level::{Group, Level};
use crate::raft::StoreId;
use crate::store::Command;
use crate::sync::lock;

/// Between two looks at whether the level may be raised.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// The same while a group that has just been formed waits for its level.
const LOOK_SOON: Duration = Duration::from_millis(5);
/// Time from the start of a process that forms a group within which the group waits for its level, so that nothing is
/// told twice.
const FORMED_WITHIN: Duration = Duration::from_secs(2);
/// How long a gateway of an earlier build counts after its connection ended: it may be on its way to another member.
const REMEMBERED_FOR: Duration = Duration::from_secs(15);

/// Gateways that know less than this build.
#[derive(Debug, Default)]
pub(super) struct GatewaysBehind(HashMap<String, Gateway>);

#[derive(Debug)]
struct Gateway {
    knows: Level,
    connections: usize,
    left_at: Duration,
}

impl GatewaysBehind {
    /// A gateway connected.
    pub(super) fn connect(&mut self, gateway: &str, knows: Level) {
        if knows >= Level::NEWEST {
            self.0.remove(gateway);
            return;
        }
        let known = self.0.entry(gateway.to_owned());
        let left_at = Duration::ZERO;
        let known = known.or_insert(Gateway { knows, connections: 0, left_at });
        known.knows = knows;
        known.connections += 1;
    }

    /// A gateway's connection ended.
    pub(super) fn disconnect(&mut self, now: Duration, gateway: &str) {
        if let Some(gateway) = self.0.get_mut(gateway) {
            gateway.connections = gateway.connections.saturating_sub(1);
            gateway.left_at = now;
        }
    }

    /// Level that this build and all of them know.
    fn lowest(&mut self, now: Duration) -> Level {
        self.0
            .retain(|_, gateway| gateway.connections > 0 || now < gateway.left_at + REMEMBERED_FOR);
        let known = self.0.values().map(|gateway| gateway.knows);
        known.min().unwrap_or(Level::NEWEST).min(Level::NEWEST)
    }

    /// Their number.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

impl Shared {
    /// What the group may use, as far as this member has applied the log.
    pub(super) fn level(&self) -> Level {
        self.member.published().borrow().level
    }

    /// Level that this member and the gateways connected to it know.
    pub(super) fn knows(&self) -> Level {
        lock(&self.gateways_behind).lowest(self.now())
    }

    /// Gateways here that know less than this build.
    pub(super) fn gateways_behind(&self) -> usize {
        lock(&self.gateways_behind).len()
    }

    /// Whether a store that knows a level may join the group.
    pub(super) fn may_join(&self, store: StoreId, knows: Level) -> bool {
        let level = self.level();
        if knows < level {
            warn!(self.log, "store refused: its version is too old for the group";
                "event" => "join_refused", "store" => %store, "knows" => %knows, "level" => %level);
        }
        knows >= level
    }

    /// Whether proposals wait until the group that this process formed has its level.
    pub(super) fn awaits_level(&self) -> bool {
        if !self.formed_here || self.now() >= FORMED_WITHIN || self.level() > Level::BASE {
            return false;
        }
        let published = self.published();
        lock(&self.readiness).open(&published.members, published.level)
    }

    /// The level that the group is due to be raised to.
    fn due_level(&self) -> Option<Level> {
        if self.level() >= Level::NEWEST {
            return None;
        }
        let (now, published, knows) = (self.now(), self.published(), self.knows());
        let mut readiness = lock(&self.readiness);
        readiness.hear(now, self.store, knows);
        if !self.leads() {
            return None;
        }
        let group = Group {
            members: &published.members,
            level: published.level,
            formed_here: self.formed_here,
        };
        readiness.due(now, group)
    }
}

/// While this member leads, raises the level as soon as all know the next one; logs the level whenever it changes.
pub(super) async fn watch(shared: Arc<Shared>) {
    let mut told = None;
    loop {
        if let Some(next) = shared.due_level()
            && let Reply::Answer(_) = shared.propose_here(Command::Raise(next)).await
        {
            info!(shared.log, "level raised"; "event" => "level_raised", "level" => %next);
        }
        let level = shared.level();
        if told.replace(level) != Some(level) {
            info!(shared.log, "level of the group"; "event" => "level",
                "level" => %level, "knows" => %Level::NEWEST);
        }
        // A group that has just been formed waits for its level.
        tokio::time::sleep(if shared.awaits_level() { LOOK_SOON } else { LOOK_INTERVAL }).await;
    }
}
