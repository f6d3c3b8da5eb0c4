//! Routers alive, as the members tell each other.

use std::collections::HashMap;
use std::time::Duration;

/// How long a router counts after it was last heard of.
const COUNTS_FOR: Duration = Duration::from_millis(2_500);

/// Routers connected here, and those that other members have told of.
#[derive(Debug, Default)]
pub(super) struct Presence {
    connected: HashMap<String, usize>,
    heard: HashMap<String, Duration>,
}

impl Presence {
    /// A router connected.
    pub(super) fn connect(&mut self, router: &str) {
        *self.connected.entry(router.to_owned()).or_default() += 1;
    }

    /// A router's connection ended at `now`; it counts a while longer.
    pub(super) fn disconnect(&mut self, now: Duration, router: &str) {
        if let Some(connections) = self.connected.get_mut(router) {
            *connections -= 1;
            if *connections == 0 {
                self.connected.remove(router);
            }
        }
        self.heard.insert(router.to_owned(), now);
    }

    /// Another member tells of its routers.
    pub(super) fn hear(&mut self, now: Duration, routers: Vec<String>) {
        self.heard.extend(routers.into_iter().map(|router| (router, now)));
        self.heard.retain(|_, heard| now < *heard + COUNTS_FOR);
    }

    /// Routers connected here.
    pub(super) fn connected(&self) -> Vec<String> {
        self.connected.keys().cloned().collect()
    }

    /// Number of routers alive.
    pub(super) fn alive(&self, now: Duration) -> u32 {
        let told = self.heard.iter().filter(|(router, heard)| {
            now < **heard + COUNTS_FOR && !self.connected.contains_key(*router)
        });
        (self.connected.len() + told.count()) as u32
    }
}
