//! Requests in flight at each target, summed over all gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::loads::{LoadKey, Loads, TargetLoad};

/// A load report and the time of its arrival.
#[derive(Debug)]
struct Report {
    at: Duration,
    loads: Loads,
}

/// The last load report of each gateway connected here and of each other member.
#[derive(Debug, Default)]
pub(super) struct LoadTotals {
    gateways: HashMap<String, Report>,
    members: HashMap<SocketAddr, Report>,
    /// The last total, reused for readers that ask shortly after.
    cached_total: Option<Report>,
}

impl LoadTotals {
    /// Replaces the report of a gateway that is connected here.
    pub(super) fn record_gateway(&mut self, now: Duration, gateway: &str, loads: Loads) {
        self.gateways.insert(gateway.to_owned(), Report { at: now, loads });
    }

    /// Drops the report of a gateway whose connection ended.
    pub(super) fn forget_gateway(&mut self, gateway: &str) {
        self.gateways.remove(gateway);
    }

    /// Replaces the report of another member, which covers the gateways connected to it.
    pub(super) fn record_member(&mut self, now: Duration, member: SocketAddr, loads: Loads) {
        self.members.insert(member, Report { at: now, loads });
    }

    /// Requests in flight from the gateways connected here, by reports no older than `ttl`.
    pub(super) fn local(&mut self, now: Duration, ttl: Duration) -> Loads {
        self.gateways.retain(|_, report| now < report.at + ttl);
        sum(self.gateways.values())
    }

    /// Requests in flight from all gateways, by reports no older than `ttl`. The total itself may be as
    /// old as `max_age`.
    pub(super) fn total(&mut self, now: Duration, ttl: Duration, max_age: Duration) -> Loads {
        if let Some(total) = self.cached_total.as_ref().filter(|total| now < total.at + max_age) {
            return total.loads.clone();
        }
        self.gateways.retain(|_, report| now < report.at + ttl);
        self.members.retain(|_, report| now < report.at + ttl);
        let loads = sum(self.gateways.values().chain(self.members.values()));
        self.cached_total = Some(Report { at: now, loads: loads.clone() });
        loads
    }

    /// Number of targets with requests in flight in the last total.
    pub(super) fn busy_targets(&self) -> usize {
        self.cached_total.as_ref().map_or(0, |total| total.loads.len())
    }
}

fn sum<'a>(reports: impl Iterator<Item = &'a Report>) -> Loads {
    let mut sums: HashMap<LoadKey, u32> = HashMap::new();
    for load in reports.flat_map(|report| report.loads.all()) {
        *sums.entry(load.target).or_default() += load.requests;
    }
    sums.into_iter().map(|(target, requests)| TargetLoad { target, requests }).collect()
}
