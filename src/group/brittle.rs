//! Services whose targets say that they are brittle. Gateways tell members, which tell each other and all gateways, so
//! that a gateway knows before it has an answer of its own.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::loads::own_loads_interval;
use crate::directory::key;

/// Minimum time for which a report counts.
const MIN_TTL: Duration = Duration::from_millis(800);
/// Maximum number of services in a report.
pub const MAX_REPORTED: usize = 64;

/// Identifies a service in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(u64);

impl ServiceKey {
    /// The key of the service with this name.
    pub fn of(name: &str) -> Self {
        ServiceKey(key(name))
    }
}

/// A service whose targets say that they are brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BrittleService {
    /// The service.
    pub service: ServiceKey,
    /// Rejections in a second that each of its targets withstands.
    pub withstands: u32,
}

/// Who reported a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportedBy {
    /// A gateway that is connected to this member.
    Gateway,
    /// Another member.
    Member,
}

/// The services that were reported lately, as a member knows them.
#[derive(Debug, Default)]
pub struct BrittleServices(HashMap<(ReportedBy, ServiceKey), Reported>);

/// A report, and when it came.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Duration,
    withstands: u32,
}

impl BrittleServices {
    /// Records a report.
    pub fn record(&mut self, now: Duration, by: ReportedBy, services: &[BrittleService]) {
        for told in services.iter().take(MAX_REPORTED) {
            let reported = Reported { at: now, withstands: told.withstands };
            self.0.insert((by, told.service), reported);
        }
    }

    /// Services that gateways connected to this member reported; `gateways` are alive.
    pub fn local(&mut self, now: Duration, gateways: u32) -> Vec<BrittleService> {
        self.expire(now, gateways);
        let local = self.0.iter().filter(|((by, _), _)| *by == ReportedBy::Gateway);
        merge(local)
    }

    /// All services that were reported; `gateways` are alive.
    pub fn all(&mut self, now: Duration, gateways: u32) -> Vec<BrittleService> {
        self.expire(now, gateways);
        merge(self.0.iter())
    }

    fn expire(&mut self, now: Duration, gateways: u32) {
        let ttl = MIN_TTL.max(own_loads_interval(gateways) * 3);
        self.0.retain(|_, reported| now < reported.at + ttl);
    }
}

/// One entry for each service, with the smallest number of rejections that was reported for it.
fn merge<'a>(
    reports: impl Iterator<Item = (&'a (ReportedBy, ServiceKey), &'a Reported)>,
) -> Vec<BrittleService> {
    let mut services: Vec<BrittleService> = reports
        .map(|((_, service), reported)| BrittleService {
            service: *service,
            withstands: reported.withstands,
        })
        .collect();
    services.sort_unstable();
    services.dedup_by_key(|told| told.service);
    services.truncate(MAX_REPORTED);
    services
}
