//! Live gateways of the group. Each member reports the gateways connected to it to the other members.

use std::collections::HashMap;
use std::time::Duration;

/// How long a gateway counts as live after it was last reported or disconnected.
const GATEWAY_TTL: Duration = Duration::from_millis(2_500);

/// How long a count of gateways is reused. Every update to a gateway carries the count, and with hundreds of gateways
/// counting takes longer than the rest of the update.
const COUNT_TTL: Duration = Duration::from_millis(50);

/// Gateways connected to this member, and those that other members reported.
#[derive(Debug, Default)]
pub(super) struct Presence {
    /// Number of connections by gateway; a gateway may have two for a moment.
    connected: HashMap<String, usize>,
    last_seen: HashMap<String, Duration>,
    /// The last count, and when it was made.
    counted: Option<(Duration, u32)>,
}

impl Presence {
    /// Adds a gateway's connection.
    pub(super) fn connect(&mut self, gateway: &str) {
        *self.connected.entry(gateway.to_owned()).or_default() += 1;
    }

    /// Removes a gateway's connection; the gateway counts as live for a while longer.
    pub(super) fn disconnect(&mut self, now: Duration, gateway: &str) {
        if let Some(connections) = self.connected.get_mut(gateway) {
            *connections -= 1;
            if *connections == 0 {
                self.connected.remove(gateway);
            }
        }
        self.last_seen.insert(gateway.to_owned(), now);
    }

    /// Records the gateways that another member reports as connected to it.
    pub(super) fn record_remote(&mut self, now: Duration, gateways: Vec<String>) {
        self.last_seen.extend(gateways.into_iter().map(|gateway| (gateway, now)));
        self.last_seen.retain(|_, seen| now < *seen + GATEWAY_TTL);
    }

    /// Names of the gateways connected to this member.
    pub(super) fn connected(&self) -> Vec<String> {
        self.connected.keys().cloned().collect()
    }

    /// Whether any gateway is connected to this member.
    pub(super) fn any_connected(&self) -> bool {
        !self.connected.is_empty()
    }

    /// Number of live gateways; may be as old as [`COUNT_TTL`].
    pub(super) fn alive(&mut self, now: Duration) -> u32 {
        if let Some((at, count)) = self.counted
            && now < at + COUNT_TTL
        {
            return count;
        }
        let count = self.count(now);
        self.counted = Some((now, count));
        count
    }

    fn count(&self, now: Duration) -> u32 {
        let remote = self.last_seen.iter().filter(|(gateway, seen)| {
            now < **seen + GATEWAY_TTL && !self.connected.contains_key(*gateway)
        });
        (self.connected.len() + remote.count()) as u32
    }
}
