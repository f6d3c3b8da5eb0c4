//! The targets as one router sees them: the platform's lagging list, marks of leaving targets, and
//! the router's own evidence.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::availability::Availability;
use crate::choice::{Candidate, NameHash};
use crate::retry_after::RetryAfter;
use crate::template::Spec;

/// Failures in a row that open a target's circuit.
const CIRCUIT_FAILURES: u32 = 3;
/// First and longest time that a circuit stays open.
const CIRCUIT_OPEN: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));
/// How long a target that left the list is remembered, so that a stale list can't revive it.
const TOMBSTONE_KEPT: Duration = Duration::from_secs(600);

/// Time over which the routers come back to a target after a rest.
const RETURN_OVER: Duration = Duration::from_secs(1);

/// The platform's list of targets, as it publishes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Age of the list when it was answered, in milliseconds.
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
    /// Grows with each start of the target.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Partner whose control group gives it orders; routers of both may send it work.
    pub partner: String,
    /// Whether it refuses orders older than the newest it has carried out.
    #[serde(default)]
    pub fenced: bool,
    /// What it does.
    pub serves: Serves,
}

/// What a target does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// An engine, with what it has loaded.
    Models(Vec<Spec>),
    /// A plain service, by name.
    Service(String),
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need<'a> {
    /// An engine that has this loaded.
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
    /// What the choice is made on.
    pub candidate: Candidate,
}

#[derive(Clone, Debug)]
struct Target {
    listed: Listed,
    hash: NameHash,
    /// Whether it may be sent anything; begins anew with each incarnation.
    availability: Availability,
    /// When it was missing from the list first; `None` while it is listed.
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
        target.take(listed);
        target
    }

    /// Takes what the list says of this incarnation. Once it leaves, no later list revives it.
    fn take(&mut self, listed: Listed) {
        if listed.leaving {
            self.availability.record_shutdown();
        }
        self.listed = listed;
    }

    fn choice(&self) -> Choice {
        Choice {
            name: self.listed.name.clone(),
            url: self.listed.url.clone(),
            incarnation: self.listed.incarnation,
            candidate: Candidate { name: self.hash, load: self.in_flight },
        }
    }
}

/// Keeps work away from a target that fails again and again.
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
            let open = CIRCUIT_OPEN.0 * 2u32.pow(doublings);
            self.open_until = now + open.min(CIRCUIT_OPEN.1);
        }
    }

    fn closed(&self, now: Duration) -> bool {
        now >= self.open_until
    }
}

/// All targets that a router knows of.
#[derive(Clone, Debug)]
pub struct Targets {
    known: BTreeMap<String, Target>,
    /// When the newest list was made.
    list_made_at: Option<Duration>,
    list_max_age: Duration,
}

impl Targets {
    /// No targets yet; a list older than `list_max_age` no longer proves that a target lives.
    pub fn new(list_max_age: Duration) -> Self {
        Targets { known: BTreeMap::new(), list_made_at: None, list_max_age }
    }

    /// Takes a list received at `now`; one older than the newest is ignored.
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
            self.take(listed);
        }
        self.known.retain(|_, target| {
            let forgotten = target.missing_since.is_some_and(|at| now >= at + TOMBSTONE_KEPT);
            target.in_flight > 0 || !forgotten
        });
    }

    fn take(&mut self, listed: Listed) {
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
        target.take(listed);
    }

    /// Marks a target as leaving, on its own word.
    pub fn leave(&mut self, name: &str, incarnation: u64) {
        if let Some(target) = self.known.get_mut(name)
            && target.listed.incarnation <= incarnation
        {
            target.availability.record_shutdown();
        }
    }

    /// The target has turned a request away and wants nothing for a while; another incarnation begins clean.
    pub fn rest(&mut self, now: Duration, choice: &Choice, rest: RetryAfter) {
        if let Some(target) = self.known.get_mut(&choice.name)
            && target.listed.incarnation == choice.incarnation
        {
            let chance = rand::random();
            target.availability.back_off(now, rest, RETURN_OVER, chance);
        }
    }

    /// Time until the first target that could meet the need ends its rest; `None` where none rests.
    pub fn rest_left(
        &self,
        now: Duration,
        need: Need<'_>,
        closed: impl Fn(&str) -> bool,
    ) -> Option<Duration> {
        let suitable = self.suitable(now, need, &closed);
        suitable.filter_map(|target| target.availability.eligibility(now).backoff_left(now)).min()
    }

    /// Whether the platform's list is too old to prove that a target lives.
    pub fn list_suspect(&self, now: Duration) -> bool {
        self.list_made_at.is_none_or(|made_at| now > made_at + self.list_max_age)
    }

    /// Targets that may take a new request; `closed` tells of hosts and targets that get none.
    pub fn candidates(
        &self,
        now: Duration,
        need: Need<'_>,
        closed: impl Fn(&str) -> bool,
    ) -> Vec<Choice> {
        let usable = self.suitable(now, need, &closed);
        let usable = usable.filter(|target| target.availability.eligibility(now).accepts_work());
        let (hesitant, sound): (Vec<_>, Vec<_>) = usable.partition(|target| {
            let in_flight = u32::try_from(target.in_flight).unwrap_or(u32::MAX);
            target.availability.eligibility(now).over_return_limit(in_flight)
        });
        let usable = if sound.is_empty() { hesitant } else { sound };
        usable.into_iter().map(Target::choice).collect()
    }

    /// Targets that meet the need and live, whether or not they take work now.
    fn suitable<'a>(
        &'a self,
        now: Duration,
        need: Need<'a>,
        closed: &'a impl Fn(&str) -> bool,
    ) -> impl Iterator<Item = &'a Target> {
        let suspect = self.list_suspect(now);
        self.known.values().filter(move |target| {
            let answered = target.answered_at;
            let lives = !suspect || answered.is_some_and(|at| now < at + self.list_max_age);
            need.met_by(&target.listed.serves)
                && lives
                && target.missing_since.is_none()
                && target.circuit.closed(now)
                && !closed(&target.listed.name)
                && !closed(&target.listed.host)
        })
    }

    /// Notes that a request goes to `name`.
    pub fn begin(&mut self, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.in_flight += 1;
        }
    }

    /// Notes that a request at `name` has ended.
    pub fn end(&mut self, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Notes an answer of `name`.
    pub fn succeeded(&mut self, now: Duration, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.answered_at = Some(now);
            target.availability.record_answer(now);
            target.circuit = Circuit::default();
        }
    }

    /// Notes that `name` failed to answer.
    pub fn failed(&mut self, now: Duration, name: &str) {
        if let Some(target) = self.known.get_mut(name) {
            target.circuit.fail(now);
        }
    }

    /// The pool of each engine: all engines that serve the same model and version.
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

    /// Requests in flight at each target.
    pub fn in_flight(&self) -> impl Iterator<Item = (&str, usize)> {
        self.known.iter().map(|(name, target)| (name.as_str(), target.in_flight))
    }
}
