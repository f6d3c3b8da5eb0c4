//! Which services have brittle targets, by the answers that this gateway received and by the members' word.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::group::brittle::{BrittleService, ServiceKey};

/// How long a service counts as brittle after an answer last said so, if no answer arrives.
const STATED_TTL: Duration = Duration::from_secs(30);
/// An answer that states nothing ends the brittleness only if no other stated it for this long: answers that were begun
/// before may still arrive.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// How long a gateway reports a service after an answer last said that its targets are brittle.
const REPORTED_FOR: Duration = Duration::from_secs(1);

/// Maximum number of targets of a service of which it is known that they stated something.
const MAX_STATING: usize = 1_024;

/// What answers stated about the targets of a service.
#[derive(Clone, Debug, Default)]
struct Stated {
    /// When an answer last stated something.
    at: Duration,
    withstands: u32,
    /// Keys of the targets whose answers did.
    by: HashSet<u64>,
}

/// The services with brittle targets, as a gateway knows them.
#[derive(Debug, Default)]
pub struct BrittleServices {
    stated: HashMap<ServiceKey, Stated>,
    told: HashMap<ServiceKey, u32>,
}

impl BrittleServices {
    /// Records what an answer of a target of the service states; `None` if it states nothing.
    pub fn note_answer(
        &mut self,
        now: Duration,
        service: ServiceKey,
        target: u64,
        withstands: Option<u32>,
    ) {
        if let Some(withstands) = withstands {
            self.note_stated(now, service, target, withstands);
            return;
        }
        // Others of the service may never have been brittle.
        let ended =
            |stated: &Stated| now >= stated.at + SETTLING_TIME && stated.by.contains(&target);
        if self.stated.get(&service).is_some_and(ended) {
            self.stated.remove(&service);
            self.told.remove(&service);
        }
    }

    fn note_stated(&mut self, now: Duration, service: ServiceKey, target: u64, withstands: u32) {
        let stated = self.stated.entry(service).or_default();
        stated.at = now;
        stated.withstands = withstands;
        if stated.by.len() < MAX_STATING {
            stated.by.insert(target);
        }
    }

    /// Replaces what members told.
    pub fn note_told(&mut self, services: &[BrittleService]) {
        self.told = services.iter().map(|told| (told.service, told.withstands)).collect();
    }

    /// Rejections in a second that a target of the service withstands; `None` if the service is not brittle.
    pub fn withstands(&self, now: Duration, service: ServiceKey) -> Option<u32> {
        let stated = self.stated.get(&service).filter(|stated| now < stated.at + STATED_TTL);
        stated.map(|stated| stated.withstands).or_else(|| self.told.get(&service).copied())
    }

    /// What this gateway reports to members: what answers stated lately.
    pub fn reports(&self, now: Duration) -> Vec<BrittleService> {
        let recent = self.stated.iter().filter(|(_, stated)| now < stated.at + REPORTED_FOR);
        let report = |(service, stated): (&ServiceKey, &Stated)| BrittleService {
            service: *service,
            withstands: stated.withstands,
        };
        recent.map(report).collect()
    }

    /// Whether no service is brittle.
    pub fn is_empty(&self) -> bool {
        self.stated.is_empty() && self.told.is_empty()
    }
}
