//! The feature level at a member: which level the member and its gateways support, and when the leader raises the level
//! of the group.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::Shared;
use super::message::Reply;
use crate::level::{GroupState, Level};
use crate::raft::StoreId;
use crate::store::Command;
use crate::sync::lock;

/// Interval at which the member checks whether the level may be raised.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same while a newly formed group waits for its level.
const FORMING_INTERVAL: Duration = Duration::from_millis(5);
/// Time from the start of a process that forms a group during which proposals wait for the group's level, so that
/// nothing has to be sent twice, before and after the level is raised.
const FORMING_WAIT: Duration = Duration::from_secs(2);
/// How long a gateway of an earlier build counts after its connection ended: it may be reconnecting to another member.
const DISCONNECTED_RETENTION: Duration = Duration::from_secs(15);

/// Gateways connected here, now or recently, that support a lower level than this build.
#[derive(Debug, Default)]
pub(super) struct GatewaysBehind(HashMap<String, Gateway>);

#[derive(Debug)]
struct Gateway {
    supported: Level,
    connections: usize,
    disconnected_at: Duration,
}

impl GatewaysBehind {
    /// Records the connection of a gateway and the level that it supports.
    pub(super) fn connect(&mut self, gateway: &str, supported: Level) {
        if supported >= Level::NEWEST {
            self.0.remove(gateway);
            return;
        }
        let known = self.0.entry(gateway.to_owned());
        let disconnected_at = Duration::ZERO;
        let known = known.or_insert(Gateway { supported, connections: 0, disconnected_at });
        known.supported = supported;
        known.connections += 1;
    }

    /// Records the end of a gateway's connection.
    pub(super) fn disconnect(&mut self, now: Duration, gateway: &str) {
        if let Some(gateway) = self.0.get_mut(gateway) {
            gateway.connections = gateway.connections.saturating_sub(1);
            gateway.disconnected_at = now;
        }
    }

    /// Highest level that this build and all these gateways support.
    fn common_level(&mut self, now: Duration) -> Level {
        self.0.retain(|_, gateway| {
            gateway.connections > 0 || now < gateway.disconnected_at + DISCONNECTED_RETENTION
        });
        let supported = self.0.values().map(|gateway| gateway.supported);
        supported.min().unwrap_or(Level::NEWEST).min(Level::NEWEST)
    }

    /// Number of these gateways.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

impl Shared {
    /// The level of the group, as far as this member has applied the log.
    pub(super) fn level(&self) -> Level {
        self.member.published().borrow().level
    }

    /// Highest level that this member and the gateways connected to it support.
    pub(super) fn supported_level(&self) -> Level {
        lock(&self.gateways_behind).common_level(self.now())
    }

    /// Number of gateways connected here that support a lower level than this build.
    pub(super) fn gateways_behind(&self) -> usize {
        lock(&self.gateways_behind).len()
    }

    /// Whether a store whose process supports this level may join the group.
    pub(super) fn may_join(&self, store: StoreId, supported: Level) -> bool {
        let level = self.level();
        if supported < level {
            warn!(self.log, "join refused: the member does not support the level of the group";
                "event" => "join_refused", "store" => %store, "knows" => %supported, "level" => %level);
        }
        supported >= level
    }

    /// Whether proposals have to wait: this process has just formed the group, which may still be raised above the
    /// lowest level.
    pub(super) fn awaits_level(&self) -> bool {
        if !self.formed_here || self.now() >= FORMING_WAIT || self.level() > Level::BASE {
            return false;
        }
        let published = self.published();
        lock(&self.readiness).level_pending(&published.members, published.level)
    }

    /// The level to which this member, as the leader, has to raise the group now.
    fn due_level(&self) -> Option<Level> {
        if self.level() >= Level::NEWEST {
            return None;
        }
        let (now, published, supported) = (self.now(), self.published(), self.supported_level());
        let mut readiness = lock(&self.readiness);
        readiness.record(now, self.store, supported);
        if !self.leads() {
            return None;
        }
        let group = GroupState {
            members: &published.members,
            level: published.level,
            formed_here: self.formed_here,
        };
        readiness.due(now, group)
    }
}

/// While this member leads, raises the level as soon as all processes support the next one. Logs the level whenever it
/// changes.
pub(super) async fn watch(shared: Arc<Shared>) {
    let mut logged = None;
    loop {
        if let Some(next) = shared.due_level()
            && let Reply::Answer(_) = shared.propose_here(Command::Raise(next)).await
        {
            info!(shared.log, "level of the group raised";
                "event" => "level_raised", "level" => %next);
        }
        let level = shared.level();
        if logged.replace(level) != Some(level) {
            info!(shared.log, "level of the group"; "event" => "level",
                "level" => %level, "knows" => %Level::NEWEST);
        }
        // Proposals to a newly formed group wait for its level, so it is checked more often then.
        tokio::time::sleep(if shared.awaits_level() { FORMING_INTERVAL } else { CHECK_INTERVAL })
            .await;
    }
}
