//! How the outside speaks: names of headers, paths of calls and forms of bodies.
//!
//! Routers and members decide nothing by these names; they ask a [`Dialect`]. [`OwnDialect`] is the
//! project's own. Another one may be given to a process at its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::checks::Checks;
use crate::configuration::Configuration;
use crate::directory::{Announcement, StartTime, TargetState};
use crate::jsonc::{self, Fault, Validate};
use crate::retry_after::RetryAfter;
use crate::rollout::{Rollout, Stage};

/// Names of the headers that routers read and write.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identity of a request; targets echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender still waits.
    pub deadline_ms: HeaderName,
    /// Key of the caller.
    pub credential: HeaderName,
    /// Team that holds the key, told to targets.
    pub team: HeaderName,
    /// Identity of the target that a request is meant for.
    pub expect_target: HeaderName,
    /// In an answer: the target did not run the request.
    pub not_run: HeaderName,
    /// In an answer: signature of the target.
    pub stamp: HeaderName,
    /// In an answer: load of the target.
    pub load: HeaderName,
    /// In an answer: the target is about to leave.
    pub leaving: HeaderName,
    /// Begin the names of headers that are the dialect's own.
    pub own_prefixes: &'static [&'static str],
    /// Further headers of the dialect's own that are only passed on.
    pub passed_on: Vec<HeaderName>,
    /// Parts of the prompt.
    pub prompt: HeaderName,
    /// Target from which another is to fetch what it keeps of the prompt.
    pub fetch_from: HeaderName,
    /// Rank of a request, told to targets.
    pub priority: HeaderName,
    /// Last event of a stream that the sender has.
    pub last_event_id: HeaderName,
    /// Further headers that only routers may set on requests to targets.
    pub reserved: Vec<HeaderName>,
}

impl Headers {
    /// Every header that only routers set on requests to targets: whatever a client sends under
    /// these names is dropped, since it would act on a target in the system's name.
    pub fn set_by_routers(&self) -> impl Iterator<Item = &HeaderName> {
        let own = [&self.credential, &self.team, &self.expect_target, &self.fetch_from];
        own.into_iter().chain([&self.priority]).chain(&self.reserved)
    }

    /// Whether a header of an answer is one of the dialect's own that is neither read nor known to be only passed on.
    pub fn unread(&self, name: &HeaderName) -> bool {
        let own = self.own_prefixes.iter().any(|prefix| name.as_str().starts_with(prefix));
        let read = [&self.request_id, &self.not_run, &self.stamp, &self.load, &self.leaving];
        own && !read.into_iter().chain(&self.passed_on).any(|known| known == name)
    }
}

/// A call at the door of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door<'a> {
    /// An operator sends a configuration.
    PutConfiguration,
    /// An operator reads the configuration.
    GetConfiguration,
    /// A target sends a heartbeat.
    Announce {
        /// The target.
        id: &'a str,
    },
    /// A target leaves.
    Remove {
        /// The target.
        id: &'a str,
    },
    /// An operator evacuates a data hall, or takes it back into use.
    Order {
        /// The hall as the path names it, with its escapes.
        data_hall: &'a str,
        /// True for the order, false for its withdrawal.
        evacuate: bool,
    },
    /// An operator asks which data halls are evacuated.
    ListOrders,
    /// An operator wants the traffic of a service to move to another version.
    StartRollout,
    /// An operator asks how far the roll-out of a service is.
    ShowRollout {
        /// The service as the path names it, with its escapes.
        service: &'a str,
    },
    /// An operator asks for all roll-outs.
    ListRollouts,
    /// An operator wants a service's roll-out undone.
    WithdrawRollout {
        /// The service as the path names it, with its escapes.
        service: &'a str,
    },
    /// An operator asks which requests are sent nowhere because targets ended under them.
    ListPoison,
    /// An operator has such a request sent again.
    LiftPoison {
        /// Its fingerprint, as the path has it.
        fingerprint: &'a str,
    },
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart<'a> {
    /// Identity of the text.
    pub id: &'a str,
    /// Its length, in tokens.
    pub tokens: u64,
}

/// Load of a target, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// How long work takes there now, in percent of what is usual, where it tells: its machine is shared with others.
    pub strain_percent: Option<u32>,
}

/// What an answer says of the target that gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetWord {
    /// Its load, where it tells.
    pub load: Option<TargetLoad>,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether it did not run the request.
    pub turned_away: bool,
    /// For how long it wants nothing more, where it turned the request away.
    pub rest: Option<RetryAfter>,
}

/// Paths of calls.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Where a router tells whether it is ready.
    pub ready: &'static str,
    /// Where the configuration is put and read.
    pub configuration: &'static str,
    /// What precedes the identity of a target.
    pub targets: &'static str,
    /// What precedes the name of a data hall in orders about it.
    pub evacuations: &'static str,
    /// Where roll-outs are ordered and listed, and what precedes the name of a service, without the last slash.
    pub rollouts: &'static str,
    /// What precedes the fingerprint of a request under which targets ended.
    pub poison: &'static str,
}

/// How the outside speaks.
pub trait Dialect: Send + Sync + 'static {
    /// Names of the headers.
    fn headers(&self) -> &Headers;

    /// Paths of the calls.
    fn paths(&self) -> Paths;

    /// Decodes a configuration; its values are checked by the caller.
    ///
    /// # Errors
    /// What can't be read, with the path of the field.
    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, Vec<Fault>>;

    /// Name, in this dialect, of a field of a configuration that is known here as `path`.
    fn field(&self, path: &str) -> String {
        path.to_owned()
    }

    /// Decodes a heartbeat of the target `id`.
    ///
    /// # Errors
    /// What can't be read, with the path of the field.
    fn announcement(&self, id: &str, bytes: &[u8]) -> Result<Announcement, Vec<Fault>>;

    /// Decodes what a target says that leaves for good: when it started, if it tells.
    ///
    /// # Errors
    /// What can't be read, with the path of the field.
    fn departure(&self, bytes: &[u8]) -> Result<StartTime, Vec<Fault>> {
        if bytes.is_empty() {
            return Ok(StartTime::default());
        }
        let departure: Departure = jsonc::from_open_slice(bytes)?;
        Ok(StartTime(departure.born))
    }

    /// Decodes an operator's call for a roll-out.
    ///
    /// # Errors
    /// What can't be read, with the path of the field.
    fn rollout(&self, bytes: &[u8]) -> Result<RolloutCall, Vec<Fault>> {
        jsonc::from_slice(bytes)
    }

    /// Body of an operator's call for a roll-out.
    fn rollout_body(&self, call: &RolloutCall) -> String {
        serde_json::json!({
            "service": call.service, "version": call.version, "lasts_ms": call.lasts_ms,
        })
        .to_string()
    }

    /// What an operator is told of a roll-out.
    fn rollout_answer(&self, rollout: &Rollout) -> String {
        rollout_text("version", rollout)
    }

    /// Body of the answer to a heartbeat; later ones are best sent to `next`.
    fn heartbeat_answer(&self, next: Option<SocketAddr>) -> String;

    /// The call that a method and path make.
    fn door<'a>(&self, method: &Method, path: &'a str) -> Option<Door<'a>> {
        let paths = self.paths();
        if path == paths.configuration {
            return match *method {
                Method::PUT => Some(Door::PutConfiguration),
                Method::GET => Some(Door::GetConfiguration),
                _ => None,
            };
        }
        if let Some(data_hall) = path.strip_prefix(paths.evacuations) {
            return match *method {
                Method::POST => Some(Door::Order { data_hall, evacuate: true }),
                Method::DELETE => Some(Door::Order { data_hall, evacuate: false }),
                Method::GET if data_hall.is_empty() => Some(Door::ListOrders),
                _ => None,
            };
        }
        if let Some(service) = path.strip_prefix(paths.rollouts) {
            return rollout_door(method, service);
        }
        if let Some(fingerprint) = path.strip_prefix(paths.poison) {
            return match *method {
                Method::GET if fingerprint.is_empty() => Some(Door::ListPoison),
                Method::DELETE => Some(Door::LiftPoison { fingerprint }),
                _ => None,
            };
        }
        let id = path.strip_prefix(paths.targets).filter(|id| !id.is_empty())?;
        match *method {
            Method::PUT => Some(Door::Announce { id }),
            Method::DELETE => Some(Door::Remove { id }),
            _ => None,
        }
    }

    /// Parts of a prompt, in order: `ID:TOKENS`, joined by commas.
    fn prompt<'a>(&self, value: &'a str) -> Vec<PromptPart<'a>> {
        let part = |text: &'a str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some(PromptPart { id, tokens: tokens.parse().ok()? })
        };
        value.split(',').filter_map(part).collect()
    }

    /// Load that a target tells of itself: requests running and waiting, joined by a comma; more
    /// numbers may follow.
    fn load(&self, value: &str) -> Option<TargetLoad> {
        let mut numbers = value.split(',').map(|number| number.trim().parse());
        let running = numbers.next()?.ok()?;
        let waiting = numbers.next()?.ok()?;
        Some(TargetLoad { running, waiting, strain_percent: None })
    }

    /// What the head of an answer says of its target.
    fn word(&self, status: StatusCode, headers: &HeaderMap) -> TargetWord {
        let names = self.headers();
        let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        TargetWord {
            load: text(&names.load).and_then(|value| self.load(value)),
            leaving: text(&names.leaving).is_some_and(|value| value.trim() == "1"),
            turned_away: headers.contains_key(&names.not_run),
            rest: RetryAfter::of_refusal(status, headers),
        }
    }
}

/// What an operator wants of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutCall {
    /// The service.
    pub service: String,
    /// Version that its traffic is to move to.
    pub version: String,
    /// Time in which that is to be done, in milliseconds.
    pub lasts_ms: u64,
}

/// Longest roll-out: a day.
const LONGEST_ROLLOUT_MS: u64 = 86_400_000;

impl Validate for RolloutCall {
    fn faults(&self) -> Vec<Fault> {
        let mut checks = Checks::default();
        checks.demand(!self.service.is_empty(), "service", "must not be empty");
        checks.demand(!self.version.is_empty(), "version", "must not be empty");
        let length = (1..=LONGEST_ROLLOUT_MS).contains(&self.lasts_ms);
        checks.demand(length, "lasts_ms", "must be above 0 and at most a day");
        checks.faults()
    }
}

/// The call that a method makes on what follows the path of roll-outs.
fn rollout_door<'a>(method: &Method, rest: &'a str) -> Option<Door<'a>> {
    let service = rest.strip_prefix('/').unwrap_or(rest);
    match (method, service.is_empty()) {
        (&Method::POST, true) => Some(Door::StartRollout),
        (&Method::GET, true) => Some(Door::ListRollouts),
        (&Method::GET, false) => Some(Door::ShowRollout { service }),
        (&Method::DELETE, false) => Some(Door::WithdrawRollout { service }),
        _ => None,
    }
}

/// A roll-out as text, the version under the given name.
pub fn rollout_text(version: &str, rollout: &Rollout) -> String {
    let state = match rollout.stage {
        Stage::Part(_) | Stage::Shifted => "running",
        Stage::Completed => "completed",
        Stage::RolledBack => "rolled_back",
    };
    let mut told = serde_json::Map::new();
    told.insert("state".to_owned(), state.into());
    told.insert(version.to_owned(), rollout.order.version.as_str().into());
    serde_json::Value::Object(told).to_string()
}

/// A dialect shared by the parts of a process.
pub type SharedDialect = Arc<dyn Dialect>;

/// The project's own dialect.
pub struct OwnDialect {
    headers: Headers,
}

impl Default for OwnDialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        OwnDialect {
            headers: Headers {
                request_id: name("latchmount-request-id"),
                deadline_ms: name("latchmount-deadline-ms"),
                credential: name("latchmount-key"),
                team: name("latchmount-team"),
                expect_target: name("latchmount-expect-target"),
                not_run: name("latchmount-not-run"),
                stamp: name("latchmount-stamp"),
                load: name("latchmount-load"),
                leaving: name("latchmount-leaving"),
                own_prefixes: &["latchmount-"],
                passed_on: Vec::new(),
                prompt: name("latchmount-prompt"),
                fetch_from: name("latchmount-fetch-from"),
                priority: name("latchmount-priority"),
                last_event_id: name("last-event-id"),
                reserved: Vec::new(),
            },
        }
    }
}

/// A heartbeat in the project's own form.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnHeartbeat {
    service: String,
    #[serde(default)]
    version: String,
    addr: SocketAddr,
    data_hall: String,
    slots: u32,
    state: TargetState,
    #[serde(default)]
    cold_left_ms: u64,
    #[serde(default)]
    born: Option<u64>,
    sequence: u64,
}

/// What a target says that leaves for good.
#[derive(Debug, Deserialize)]
struct Departure {
    #[serde(default)]
    born: Option<u64>,
}

impl Validate for Departure {
    fn faults(&self) -> Vec<Fault> {
        Vec::new()
    }
}

impl Validate for OwnHeartbeat {
    fn faults(&self) -> Vec<Fault> {
        let silent = self.state == TargetState::Silent;
        let fault = Fault::new("state", "must be ready or draining");
        if silent { vec![fault] } else { Vec::new() }
    }
}

/// The answer to a heartbeat in the project's own form.
#[derive(Debug, Serialize)]
struct OwnHeartbeatAnswer {
    next: Option<SocketAddr>,
}

impl Dialect for OwnDialect {
    fn headers(&self) -> &Headers {
        &self.headers
    }

    fn paths(&self) -> Paths {
        Paths {
            ready: "/healthz",
            configuration: "/v1/configuration",
            targets: "/v1/targets/",
            evacuations: "/v1/evacuations/",
            rollouts: "/v1/rollouts",
            poison: "/v1/poison/",
        }
    }

    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, Vec<Fault>> {
        jsonc::from_slice(bytes)
    }

    fn announcement(&self, id: &str, bytes: &[u8]) -> Result<Announcement, Vec<Fault>> {
        let heartbeat: OwnHeartbeat = jsonc::from_slice(bytes)?;
        Ok(Announcement {
            id: id.to_owned(),
            born: StartTime(heartbeat.born),
            service: heartbeat.service,
            version: heartbeat.version,
            addr: heartbeat.addr,
            data_hall: heartbeat.data_hall,
            slots: heartbeat.slots,
            state: heartbeat.state,
            cold_left: Duration::from_millis(heartbeat.cold_left_ms),
            sequence: heartbeat.sequence,
        })
    }

    fn heartbeat_answer(&self, next: Option<SocketAddr>) -> String {
        serde_json::to_string(&OwnHeartbeatAnswer { next }).unwrap_or_default()
    }
}
