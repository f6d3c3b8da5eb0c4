//! How configurations come into force at the gateways of one member: how long each gateway waited,
//! counted from when the member held the change, and which gateway was the last.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Configurations that are followed at the same time. Where changes come faster than gateways take
/// them, the oldest is no longer told of.
const FOLLOWED: usize = 64;

/// A configuration that some gateway lacks.
#[derive(Debug)]
struct Change {
    version: u64,
    held_at: Duration,
    /// Gateways that it came into force at.
    reached: u32,
    last: Option<Slowest>,
}

/// The gateway that waited longest so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slowest {
    /// Its name.
    pub gateway: String,
    /// How long it waited.
    pub waited: Duration,
}

/// A configuration that all gateways have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Propagated {
    /// Its version.
    pub version: u64,
    /// Gateways that it came into force at.
    pub reached: u32,
    /// The one that waited longest, if any had to wait.
    pub slowest: Option<Slowest>,
}

/// A connection of a gateway; a gateway may have two for a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

#[derive(Debug)]
struct Follower {
    gateway: String,
    /// Version in force there; 0 for none.
    version: u64,
    since: Duration,
}

/// Configurations under way to the gateways that are connected here.
#[derive(Debug, Default)]
pub struct Propagation {
    /// Those that some gateway lacks, the oldest first.
    changes: VecDeque<Change>,
    followers: HashMap<ConnectionId, Follower>,
    connections: u64,
}

impl Propagation {
    /// The member holds a configuration.
    pub fn add_version(&mut self, now: Duration, version: u64) {
        if self.changes.len() >= FOLLOWED {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { version, held_at: now, reached: 0, last: None });
    }

    /// A gateway connected that works by `version`; 0 for none.
    pub fn connect(&mut self, now: Duration, gateway: &str, version: u64) -> ConnectionId {
        self.connections += 1;
        let connection = ConnectionId(self.connections);
        let follower = Follower { gateway: gateway.to_owned(), version, since: now };
        self.followers.insert(connection, follower);
        connection
    }

    /// A connection ended.
    pub fn disconnect(&mut self, connection: ConnectionId) {
        self.followers.remove(&connection);
    }

    /// Connections of gateways.
    pub fn connections(&self) -> usize {
        self.followers.len()
    }

    /// A gateway now works by `version`; tells how long it waited for the oldest change in that, since
    /// the member held it or the gateway connected.
    ///
    /// `None` where it did not wait: the first configuration of a gateway waited for the gateway.
    pub fn set_in_force(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        version: u64,
    ) -> Option<Duration> {
        let follower = self.followers.get_mut(&connection)?;
        let had = std::mem::replace(&mut follower.version, version);
        let came = |change: &&mut Change| had < change.version && change.version <= version;
        let mut longest = None;
        for change in self.changes.iter_mut().filter(came) {
            change.reached += 1;
            if had == 0 {
                continue;
            }
            let waited = now.saturating_sub(change.held_at.max(follower.since));
            longest = longest.max(Some(waited));
            if change.last.as_ref().is_none_or(|last| last.waited < waited) {
                change.last = Some(Slowest { gateway: follower.gateway.clone(), waited });
            }
        }
        longest
    }

    /// Takes out the changes that no gateway lacks any more.
    pub fn take_propagated(&mut self) -> Vec<Propagated> {
        let lowest = self.followers.values().map(|follower| follower.version).min();
        let everywhere =
            |change: &mut Change| lowest.is_some_and(|lowest| change.version <= lowest);
        let mut taken = Vec::new();
        while let Some(change) = self.changes.pop_front_if(everywhere) {
            let Change { version, reached, last, .. } = change;
            // Gateways that all had it when they connected have nothing to tell of.
            if reached > 0 {
                taken.push(Propagated { version, reached, slowest: last });
            }
        }
        taken
    }
}
