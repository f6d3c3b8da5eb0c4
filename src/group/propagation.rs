//! Tracks how versions, of the configuration or of the evacuation orders, come into force at the gateways connected to
//! this member: how long each gateway waited since the member held the version, and which gateway waited longest.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Versions tracked at the same time. Where changes come faster than gateways apply them, the oldest is dropped and not
/// reported.
const MAX_TRACKED_VERSIONS: usize = 64;

/// A version that some gateway lacks.
#[derive(Debug)]
struct Change {
    version: u64,
    held_at: Duration,
    /// Number of gateways where it has come into force.
    reached: u32,
    slowest: Option<Slowest>,
}

/// The gateway that waited longest for a version so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slowest {
    /// Its name.
    pub gateway: String,
    /// How long it waited.
    pub waited: Duration,
}

/// A version that is in force at all connected gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Propagated {
    /// The version.
    pub version: u64,
    /// Number of gateways where it came into force.
    pub reached: u32,
    /// The gateway that waited longest, if any had to wait.
    pub slowest: Option<Slowest>,
}

/// Id of a gateway's connection; a gateway may have two connections for a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

#[derive(Debug)]
struct ConnectedGateway {
    name: String,
    /// Version in force there; 0 for none.
    version: u64,
    connected_at: Duration,
}

/// Versions on their way to the gateways that are connected to this member.
#[derive(Debug, Default)]
pub struct Propagation {
    /// Versions that some gateway lacks, the oldest first.
    changes: VecDeque<Change>,
    gateways: HashMap<ConnectionId, ConnectedGateway>,
    last_id: u64,
}

impl Propagation {
    /// Starts to track a version that the member now holds.
    pub fn add_version(&mut self, now: Duration, version: u64) {
        if self.changes.len() >= MAX_TRACKED_VERSIONS {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { version, held_at: now, reached: 0, slowest: None });
    }

    /// Adds a gateway's connection; `version` is in force at the gateway, 0 for none.
    pub fn connect(&mut self, now: Duration, gateway: &str, version: u64) -> ConnectionId {
        self.last_id += 1;
        let connection = ConnectionId(self.last_id);
        let gateway = ConnectedGateway { name: gateway.to_owned(), version, connected_at: now };
        self.gateways.insert(connection, gateway);
        connection
    }

    /// Removes a connection that ended.
    pub fn disconnect(&mut self, connection: ConnectionId) {
        self.gateways.remove(&connection);
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.gateways.len()
    }

    /// Records that `version` is now in force at a gateway. Returns how long the gateway waited for the oldest version
    /// that it lacked until now, counted from when the member held that version or the gateway connected.
    ///
    /// `None` if it lacked no version, or had none before: the version was there before the gateway, which did not
    /// wait.
    pub fn set_in_force(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        version: u64,
    ) -> Option<Duration> {
        let gateway = self.gateways.get_mut(&connection)?;
        let previous = std::mem::replace(&mut gateway.version, version);
        let applied = |change: &&mut Change| previous < change.version && change.version <= version;
        let mut longest = None;
        for change in self.changes.iter_mut().filter(applied) {
            change.reached += 1;
            if previous == 0 {
                continue;
            }
            let waited = now.saturating_sub(change.held_at.max(gateway.connected_at));
            longest = longest.max(Some(waited));
            if change.slowest.as_ref().is_none_or(|slowest| slowest.waited < waited) {
                change.slowest = Some(Slowest { gateway: gateway.name.clone(), waited });
            }
        }
        longest
    }

    /// Removes and returns the versions that no connected gateway lacks any more, the oldest first.
    pub fn take_propagated(&mut self) -> Vec<Propagated> {
        let lowest = self.gateways.values().map(|gateway| gateway.version).min();
        let propagated =
            |change: &mut Change| lowest.is_some_and(|lowest| change.version <= lowest);
        let mut taken = Vec::new();
        while let Some(change) = self.changes.pop_front_if(propagated) {
            let Change { version, reached, slowest, .. } = change;
            // Nothing to report if all gateways had the version when they connected.
            if reached > 0 {
                taken.push(Propagated { version, reached, slowest });
            }
        }
        taken
    }
}
