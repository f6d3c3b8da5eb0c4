//! What one router knows of the targets: from the platform's list, which lags behind reality, from targets that report
//! their shutdown, and from the outcomes of the router's own requests.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::availability::Availability;
use crate::choice::{Candidate, NameHash};
use crate::retry_after::RetryAfter;
use crate::template::Spec;

/// Number of consecutive failures that open a target's circuit.
const CIRCUIT_FAILURES: u32 = 3;
/// Initial and maximum time that a circuit stays open.
const CIRCUIT_OPEN_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(10));
/// How long a target that is missing from the list is remembered, so that a stale list can't bring back one that shut
/// down.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Time over which the routers spread their return to a target after its back-off.
const BACKOFF_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// The platform's list of targets, as it publishes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Age of the list when the platform sent it, in milliseconds.
    pub age_ms: u64,
    /// The targets.
    pub targets: Vec<Listed>,
}

/// One target on the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// Name, unique in the pool.
    pub name: String,
    /// Host that it runs on.
    pub host: String,
    /// Data hall of the host.
    pub data_hall: String,
    /// Base URL.
    pub url: String,
    /// Number that increases with each start of the target.
    pub incarnation: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Partner whose control group gives it orders; the routers of both partners may send it requests.
    pub partner: String,
    /// Whether it refuses orders that are older than the newest one that it has carried out.
    #[serde(default)]
    pub fenced: bool,
    /// What it serves.
    pub serves: Serves,
}

/// What a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// An engine, with the models that it has loaded.
    Models(Vec<Spec>),
    /// A plain service of this name.
    Service(String),
}

/// What a request needs of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need<'a> {
    /// An engine that has this model loaded.
    Model(&'a Spec),
    /// This plain service.
    Service(&'a str),
}

impl Need<'_> {
    fn met_by(&self, serves: &Serves) -> bool {
        match (self, serves) {
            (Need::Model(spec), Serves::Models(loaded)) => loaded.contains(spec),
            (Need::Service(service), Serves::Service(name)) => name == service,
            _ => false,
        }
    }
}

/// A target that may take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its name.
    pub name: String,
    /// Its base URL.
    pub url: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Properties by which targets are compared.
    pub candidate: Candidate,
}

#[derive(Clone, Debug)]
struct Target {
    listed: Listed,
    hash: NameHash,
    /// Whether it may be sent requests; reset for each incarnation.
    availability: Availability,
    /// When it was first missing from the list; `None` while it is listed.
    missing_since: Option<Duration>,
    answered_at: Option<Duration>,
    in_flight: usize,
    circuit: Circuit,
}

impl Target {
    fn new(listed: Listed) -> Self {
        let mut target = Target {
            hash: NameHash::new(&listed.name),
            availability: Availability::default(),
            missing_since: None,
            answered_at: None,
            in_flight: 0,
            circuit: Circuit::default(),
            listed: listed.clone(),
        };
        target.update(listed);
        target
    }

    /// Applies the entry of the list for this incarnation. One that is shutting down stays so, whatever a later list
    /// has.
    fn update(&mut self, listed: Listed) {
        if listed.leaving {
            self.availability.record_shutdown();
        }
        self.listed = listed;
    }

    fn to_choice(&self) -> Choice {
        Choice {
            name: self.listed.name.clone(),
            url: self.listed.url.clone(),
            incarnation: self.listed.incarnation,
            candidate: Candidate { name: self.hash, load: self.in_flight },
        }
    }
}

/// Circuit breaker: keeps requests away from a target that fails repeatedly.
#[derive(Clone, Copy, Debug, Default)]
struct Circuit {
    failures: u32,
    open_until: Duration,
}

impl Circuit {
    fn fail(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= CIRCUIT_FAILURES {
            let doublings = (self.failures - CIRCUIT_FAILURES).min(8);
            let open = CIRCUIT_OPEN_RANGE.0 * 2u32.pow(doublings);
            self.open_until = now + open.min(CIRCUIT_OPEN_RANGE.1);
        }
    }

    fn closed(&self, now: Duration) -> bool {
        now >= self.open_until
    }
}

/// All targets that a router knows.
#[derive(Clone, Debug)]
pub struct Targets {
    known: BTreeMap<String, Target>,
    /// When the platform made the newest list that was applied.
    list_made_at: Option<Duration>,
    list_max_age: Duration,
}

impl Targets {
    /// Creates an empty set. A list older than `list_max_age` is no longer proof that a target is alive.
    pub fn new(list_max_age: Duration) -> Self {
        Targets { known: BTreeMap::new(), list_made_at: None, list_max_age }
    }

    /// Applies a list received at `now`; one older than the newest applied is ignored.
    pub fn apply(&mut self, now: Duration, listing: Listing) {
        let made_at = now.saturating_sub(Duration::from_millis(listing.age_ms));
        if self.list_made_at.is_some_and(|newest| made_at < newest) {
            return;
        }
        self.list_made_at = Some(made_at);
        for target in self.known.values_mut() {
            target.missing_since = target.missing_since.or(Some(now));
        }
        for listed in listing.targets {
            self.update(listed);
        }
        self.known.retain(|_, target| {
            let forgotten = target.missing_since.is_some_and(|at| now >= at + TOMBSTONE_RETENTION);
            target.in_flight > 0 || !forgotten
        });
    }

    fn update(&mut self, listed: Listed) {
        let Some(target) = self.known.get_mut(&listed.name) else {
            self.known.insert(listed.name.clone(), Target::new(listed));
            return;
        };
        if listed.incarnation < target.listed.incarnation {
            return;
        }
        if listed.incarnation > target.listed.incarnation {
            target.availability = Availability::default();
            target.answered_at = None;
            target.circuit = Circuit::default();
        }
        target.missing_since = None;
        target.update(listed);
    }

    /// Records that `incarnation` of a target reported its own shutdown; ignored if a newer one is listed.
    pub fn mark_draining(&mut self, name: &str, incarnation: u64) {
        if let Some(target) = self.known.get_mut(name)
            && target.listed.incarnation <= incarnation
        {
            target.availability.record_shutdown();
        }
    }

    /// Records that the target rejected a request and asked for a back-off, which ends with its incarnation.
    pub fn back_off(&mut self, now: Duration, choice: &Choice, backoff: RetryAfter) {
        if let Some(target) = self.known.get_mut(&choice.name)
            && target.listed.incarnation == choice.incarnation
        {
            let chance = rand::random();
            target.availability.back_off(now, backoff, BACKOFF_RETURN_SPREAD, chance);
        }
    }

    /// Time until the first back-off of a suitable target ends; `None` when none is backing off.
    pub fn backoff_left(
        &self,
        now: Duration,
        need: Need<'_>,
        excluded: impl Fn(&str) -> bool,
    ) -> Option<Duration> {
        let suitable = self.suitable(now, need, &excluded);
        suitable.filter_map(|target| target.availability.eligibility(now).backoff_left(now)).min()
    }

    /// Whether the platform's list is too old to be proof that a target is alive.
    pub fn list_is_stale(&self, now: Duration) -> bool {
        self.list_made_at.is_none_or(|made_at| now > made_at + self.list_max_age)
    }

    /// Targets that may be sent a new request. `excluded` returns true for names of hosts and targets to be sent none.
    ///
    /// A target that returns from a back-off and has its allowed number of requests is a candidate only if there is
    /// no other.
    pub fn candidates(
        &self,
        now: Duration,
        need: Need<'_>,
        excluded: impl Fn(&str) -> bool,
    ) -> Vec<Choice> {
        let usable = self.suitable(now, need, &excluded);
        let usable = usable.filter(|target| target.availability.eligibility(now).accepts_work());
        let (ramping_up, fully_open): (Vec<_>, Vec<_>) = usable.partition(|target| {
            let in_flight = u32::try_from(target.in_flight).unwrap_or(u32::MAX);
            target.availability.eligibility(now).over_return_limit(in_flight)
        });
        let usable = if fully_open.is_empty() { ramping_up } else { fully_open };
        usable.into_iter().map(Target::to_choice).collect()
    }

    /// Targets that serve the need and are alive, including those that are backing off or shutting down. While the
    /// list is stale, only a target that answered recently counts as alive.
    fn suitable<'a>(
        &'a self,
        now: Duration,
        need: Need<'a>,
        excluded: &'a impl Fn(&str) -> bool,
    ) -> impl Iterator<Item = &'a Target> {
        let stale = self.list_is_stale(now);
        self.known.values().filter(move |target| {
            let answered = target.answered_at;
            let alive = !stale || answered.is_some_and(|at| now < at + self.list_max_age);
            need.met_by(&target.listed.serves)
                && alive
                && target.missing_since.is_none()
                && target.circuit.closed(now)
                && !excluded(&target.listed.name)
                && !excluded(&target.listed.host)
        })
    }

    /// Records that a request is sent to `name`.
    pub fn begin(&mut self, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.in_flight += 1;
        }
    }

    /// Records that a request at `name` has ended.
    pub fn end(&mut self, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Records that `name` answered a request.
    pub fn succeeded(&mut self, now: Duration, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.answered_at = Some(now);
            target.availability.record_answer(now);
            target.circuit = Circuit::default();
        }
    }

    /// Records that `name` failed to answer a request.
    pub fn failed(&mut self, now: Duration, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.circuit.fail(now);
        }
    }

    /// The pool of each listed engine. Engines of the same model and version form a pool.
    pub fn pools(&self) -> BTreeMap<NameHash, NameHash> {
        let listed = self.known.values().filter(|target| target.missing_since.is_none());
        listed
            .filter_map(|target| match &target.listed.serves {
                Serves::Models(loaded) => {
                    let base = loaded.first()?.base().to_string();
                    Some((target.hash, NameHash::new(&base)))
                }
                Serves::Service(_) => None,
            })
            .collect()
    }

    /// Number of requests in flight from this router at each target.
    pub fn in_flight(&self) -> impl Iterator<Item = (&str, usize)> {
        self.known.iter().map(|(name, target)| (name.as_str(), target.in_flight))
    }
}
