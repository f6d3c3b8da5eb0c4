//! Which services have brittle targets, by the answers that this gateway received and by the members' word.

use std::collections::HashMap;
use std::time::Duration;

use crate::group::brittle::{BrittleService, ServiceKey};

/// How long a service counts as brittle after an answer last said so, if no answer arrives.
const STATED_TTL: Duration = Duration::from_secs(30);
/// An answer that states nothing ends the brittleness only if no other stated it for this long: answers that were begun
/// before may still arrive.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// How long a gateway reports a service after an answer last said that its targets are brittle.
const REPORTED_FOR: Duration = Duration::from_secs(1);

/// How long the members' word counts after an update of a member. Later it may have changed without this gateway being
/// told.
const TOLD_TTL: Duration = Duration::from_secs(10);

/// What answers stated about the targets of a service.
#[derive(Clone, Copy, Debug)]
struct Stated {
    at: Duration,
    withstands: u32,
}

/// The services with brittle targets, as a gateway knows them.
#[derive(Debug, Default)]
pub struct BrittleServices {
    stated: HashMap<ServiceKey, Stated>,
    /// By the members' word.
    told: HashMap<ServiceKey, u32>,
    /// Until when that word counts.
    told_until: Duration,
}

impl BrittleServices {
    /// Records what an answer of a target of the service states; `None` if it states nothing.
    ///
    /// An answer that states nothing does not refute the members' word: another target of the service may be brittle.
    pub fn note_answer(&mut self, now: Duration, service: ServiceKey, withstands: Option<u32>) {
        if let Some(withstands) = withstands {
            self.stated.insert(service, Stated { at: now, withstands });
            return;
        }
        let ended = |stated: &Stated| now >= stated.at + SETTLING_TIME;
        if self.stated.get(&service).is_some_and(ended) {
            self.stated.remove(&service);
        }
    }

    /// Records an update of a member: the services with brittle targets by its word, if they changed.
    pub fn note_update(&mut self, now: Duration, services: Option<&[BrittleService]>) {
        self.told_until = now + TOLD_TTL;
        if let Some(services) = services {
            self.told = services.iter().map(|told| (told.service, told.withstands)).collect();
        }
    }

    /// Rejections in a second that a target of the service withstands; `None` if the service is not brittle.
    pub fn withstands(&self, now: Duration, service: ServiceKey) -> Option<u32> {
        let stated = self.stated.get(&service).filter(|stated| now < stated.at + STATED_TTL);
        let told = self.told.get(&service).filter(|_| now < self.told_until);
        stated.map(|stated| stated.withstands).or(told.copied())
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
