//! Requests in flight at each target, summed over all gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::loads::{LoadKey, Loads, TargetLoad};

/// What was told, and when.
#[derive(Debug)]
struct Told {
    at: Duration,
    loads: Loads,
}

/// Loads as the gateways connected here and the other members tell them.
#[derive(Debug, Default)]
pub(super) struct LoadTotals {
    gateways: HashMap<String, Told>,
    members: HashMap<SocketAddr, Told>,
    /// The last sum over all, for readers that ask at about the same time.
    summed: Option<Told>,
}

impl LoadTotals {
    /// A gateway connected here tells what it has in flight.
    pub(super) fn record_gateway(&mut self, now: Duration, gateway: &str, loads: Loads) {
        self.gateways.insert(gateway.to_owned(), Told { at: now, loads });
    }

    /// The connection of a gateway ended.
    pub(super) fn forget_gateway(&mut self, gateway: &str) {
        self.gateways.remove(gateway);
    }

    /// Another member tells what its gateways have in flight.
    pub(super) fn record_member(&mut self, now: Duration, member: SocketAddr, loads: Loads) {
        self.members.insert(member, Told { at: now, loads });
    }

    /// What the gateways connected here have in flight, of words no older than `longest`.
    pub(super) fn local(&mut self, now: Duration, longest: Duration) -> Loads {
        self.gateways.retain(|_, told| now < told.at + longest);
        sum(self.gateways.values())
    }

    /// What all gateways have in flight, of words no older than `longest`; may itself be as old as
    /// `slack`.
    pub(super) fn total(&mut self, now: Duration, longest: Duration, slack: Duration) -> Loads {
        if let Some(summed) = self.summed.as_ref().filter(|summed| now < summed.at + slack) {
            return summed.loads.clone();
        }
        self.gateways.retain(|_, told| now < told.at + longest);
        self.members.retain(|_, told| now < told.at + longest);
        let loads = sum(self.gateways.values().chain(self.members.values()));
        self.summed = Some(Told { at: now, loads: loads.clone() });
        loads
    }

    /// Targets that had anything in flight at the last sum.
    pub(super) fn busy(&self) -> usize {
        self.summed.as_ref().map_or(0, |summed| summed.loads.len())
    }
}

fn sum<'a>(told: impl Iterator<Item = &'a Told>) -> Loads {
    let mut sums: HashMap<LoadKey, u32> = HashMap::new();
    for load in told.flat_map(|told| told.loads.all()) {
        *sums.entry(load.target).or_default() += load.requests;
    }
    sums.into_iter().map(|(target, requests)| TargetLoad { target, requests }).collect()
}
