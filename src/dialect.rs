//! External HTTP interface of the fleet: header names, paths and body formats.
//!
//! The rest of the code uses no such name directly but asks a [`Dialect`], so that the fleet can run behind different
//! external interfaces. [`NativeDialect`] is the default; the option `--dialect` selects another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::checks::Checks;
use crate::configuration::Configuration;
use crate::directory::{Announcement, Born, TargetState};
use crate::jsonc::{self, Fault, Validate};
use crate::retry_after::RetryAfter;
use crate::rollout::{Rollout, Stage};

/// Names of the headers that gateways read and write.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of a request; targets echo it in their answers.
    pub request_id: HeaderName,
    /// Time left until the deadline of the request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// API key of the client.
    pub credential: HeaderName,
    /// Team that the API key belongs to; sent to targets.
    pub team: HeaderName,
    /// Id of the target that a request is meant for.
    pub expect_target: HeaderName,
    /// In an answer: present if the target did not run the request.
    pub not_run: HeaderName,
    /// In an answer: signature of the target.
    pub stamp: HeaderName,
    /// In an answer: load that the target reports.
    pub load: HeaderName,
    /// In an answer: `1` if the target is shutting down.
    pub leaving: HeaderName,
    /// In an answer: number of rejections in a second that a brittle target withstands.
    pub brittle: HeaderName,
    /// Prefixes of header names that belong to the dialect.
    pub prefixes: &'static [&'static str],
    /// Further headers of the dialect that gateways forward without reading them.
    pub forwarded: Vec<HeaderName>,
    /// Ids and lengths of the parts of the prompt.
    pub prompt: HeaderName,
    /// Target that holds a cached prefix of the prompt, from which the receiving target is to fetch it.
    pub fetch_from: HeaderName,
    /// Priority of a request; sent to targets.
    pub priority: HeaderName,
    /// Id of the last event of a stream that the sender has received.
    pub last_event_id: HeaderName,
    /// Id of the request that began the stream which a client resumes.
    pub resumes: HeaderName,
    /// Further headers that only gateways may set on requests to targets.
    pub reserved: Vec<HeaderName>,
}

impl Headers {
    /// Headers that only gateways may set on requests to targets. A client's headers of these names are dropped, since
    /// targets would take them for set by a gateway.
    pub fn gateway_only(&self) -> impl Iterator<Item = &HeaderName> {
        let own = [&self.credential, &self.team, &self.expect_target, &self.fetch_from];
        own.into_iter().chain([&self.priority]).chain(&self.reserved)
    }

    /// Whether the header of an answer has a prefix of the dialect, but is neither read nor listed in `forwarded`.
    pub fn is_unknown(&self, name: &HeaderName) -> bool {
        let own = self.prefixes.iter().any(|prefix| name.as_str().starts_with(prefix));
        let read = [&self.request_id, &self.not_run, &self.stamp, &self.load, &self.leaving];
        let read = read.into_iter().chain([&self.brittle]);
        own && !read.chain(&self.forwarded).any(|known| known == name)
    }
}

/// A call to the HTTP API of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiCall<'a> {
    /// An operator replaces the configuration.
    PutConfiguration,
    /// An operator reads the configuration.
    GetConfiguration,
    /// A target sends a heartbeat.
    Announce {
        /// Id of the target.
        id: &'a str,
    },
    /// A target is removed, since it shuts down.
    Remove {
        /// Id of the target.
        id: &'a str,
    },
    /// An operator orders or withdraws the evacuation of a data hall.
    Order {
        /// Name of the data hall as in the path, still percent-encoded.
        data_hall: &'a str,
        /// True to order the evacuation, false to withdraw it.
        evacuate: bool,
    },
    /// An operator lists the evacuated data halls.
    ListOrders,
    /// An operator starts to move the traffic of a service to another version.
    StartRollout,
    /// An operator reads the progress of the roll-out of a service.
    ShowRollout {
        /// Name of the service as in the path, still percent-encoded.
        service: &'a str,
    },
    /// An operator lists the last roll-out of each service.
    ListRollouts,
    /// An operator withdraws the roll-out of a service.
    WithdrawRollout {
        /// Name of the service as in the path, still percent-encoded.
        service: &'a str,
    },
    /// An operator lists the poison requests, which are sent to no target since targets ended while running them.
    ListPoison,
    /// An operator unblocks a poison request.
    LiftPoison {
        /// Fingerprint of the request, as in the path.
        fingerprint: &'a str,
    },
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart<'a> {
    /// Id of its text.
    pub id: &'a str,
    /// Length in tokens.
    pub tokens: u64,
}

/// Load of a target, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of requests that it is running.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// How long work takes at the target now, in percent of the usual time, if it reports that. Work slows down when
    /// other processes use the same machine.
    pub slowdown_percent: Option<u32>,
}

/// What the head of an answer reports about its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetStatus {
    /// Load of the target, if it reports one.
    pub load: Option<TargetLoad>,
    /// Whether the target is shutting down.
    pub draining: bool,
    /// Whether the target rejected the request without running it.
    pub rejected: bool,
    /// Number of rejections for want of room in a second that the target withstands, if it says that it is brittle.
    pub brittle: Option<u32>,
    /// Retry-After of a rejection: how long the target is to be sent nothing.
    pub backoff: Option<RetryAfter>,
}

/// Paths of the HTTP API.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Readiness check of a gateway.
    pub ready: &'static str,
    /// Where the configuration is replaced (PUT) and read (GET).
    pub configuration: &'static str,
    /// Prefix of paths that end in the id of a target.
    pub targets: &'static str,
    /// Prefix of paths that end in the name of a data hall; the list of evacuations by itself.
    pub evacuations: &'static str,
    /// Where roll-outs are started and listed. Followed by a slash, the prefix of paths that end in the name of a
    /// service.
    pub rollouts: &'static str,
    /// Prefix of paths that end in the fingerprint of a poison request; the list of them by itself.
    pub poison: &'static str,
}

/// An external HTTP interface: header names, paths and body formats.
pub trait Dialect: Send + Sync + 'static {
    /// The header names.
    fn headers(&self) -> &Headers;

    /// The paths of the HTTP API.
    fn paths(&self) -> Paths;

    /// Decodes a configuration. The caller validates its values.
    ///
    /// # Errors
    /// The faults found, with the path of each field.
    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, Vec<Fault>>;

    /// Path in this dialect of the configuration field `path`.
    fn field(&self, path: &str) -> String {
        path.to_owned()
    }

    /// Decodes a heartbeat of the target `id`.
    ///
    /// # Errors
    /// The faults found, with the path of each field.
    fn announcement(&self, id: &str, bytes: &[u8]) -> Result<Announcement, Vec<Fault>>;

    /// Decodes the body of a target's call to remove itself: the start time of the target, if the body holds one.
    ///
    /// # Errors
    /// The faults found, with the path of each field.
    fn removal(&self, bytes: &[u8]) -> Result<Born, Vec<Fault>> {
        if bytes.is_empty() {
            return Ok(Born::default());
        }
        let removal: Departure = jsonc::from_slice_lenient(bytes)?;
        Ok(Born(removal.born))
    }

    /// Decodes the body of an operator's call to start a roll-out.
    ///
    /// # Errors
    /// The faults found, with the path of each field.
    fn rollout(&self, bytes: &[u8]) -> Result<RolloutCall, Vec<Fault>> {
        jsonc::from_slice(bytes)
    }

    /// Encodes the body of an operator's call to start a roll-out.
    fn rollout_body(&self, call: &RolloutCall) -> String {
        serde_json::json!({
            "service": call.service, "version": call.version, "lasts_ms": call.lasts_ms,
        })
        .to_string()
    }

    /// Body of the answer to an operator who reads the state of a roll-out.
    fn rollout_answer(&self, rollout: &Rollout) -> String {
        rollout_json("version", rollout)
    }

    /// Body of the answer to a heartbeat. `next` is the member that the target should send its next heartbeats to.
    fn heartbeat_answer(&self, next: Option<SocketAddr>) -> String;

    /// The API call for a method and path; `None` if there is none.
    fn api_call<'a>(&self, method: &Method, path: &'a str) -> Option<ApiCall<'a>> {
        let paths = self.paths();
        if path == paths.configuration {
            return match *method {
                Method::PUT => Some(ApiCall::PutConfiguration),
                Method::GET => Some(ApiCall::GetConfiguration),
                _ => None,
            };
        }
        if let Some(data_hall) = path.strip_prefix(paths.evacuations) {
            return match *method {
                Method::POST => Some(ApiCall::Order { data_hall, evacuate: true }),
                Method::DELETE => Some(ApiCall::Order { data_hall, evacuate: false }),
                Method::GET if data_hall.is_empty() => Some(ApiCall::ListOrders),
                _ => None,
            };
        }
        if let Some(service) = path.strip_prefix(paths.rollouts) {
            return rollout_api_call(method, service);
        }
        if let Some(fingerprint) = path.strip_prefix(paths.poison) {
            return match *method {
                Method::GET if fingerprint.is_empty() => Some(ApiCall::ListPoison),
                Method::DELETE => Some(ApiCall::LiftPoison { fingerprint }),
                _ => None,
            };
        }
        let id = path.strip_prefix(paths.targets).filter(|id| !id.is_empty())?;
        match *method {
            Method::PUT => Some(ApiCall::Announce { id }),
            Method::DELETE => Some(ApiCall::Remove { id }),
            _ => None,
        }
    }

    /// Decodes the parts of a prompt, in order: `ID:TOKENS`, separated by commas. Malformed parts are skipped.
    fn prompt<'a>(&self, value: &'a str) -> Vec<PromptPart<'a>> {
        let part = |text: &'a str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some(PromptPart { id, tokens: tokens.parse().ok()? })
        };
        value.split(',').filter_map(part).collect()
    }

    /// Decodes the load that a target reports: the number of running and of waiting requests, separated by a comma.
    /// Further numbers may follow and are ignored.
    fn load(&self, value: &str) -> Option<TargetLoad> {
        let mut numbers = value.split(',').map(|number| number.trim().parse());
        let running = numbers.next()?.ok()?;
        let waiting = numbers.next()?.ok()?;
        Some(TargetLoad { running, waiting, slowdown_percent: None })
    }

    /// Path at which a target that serves models reports about itself, if the dialect has one.
    fn target_report(&self) -> Option<&'static str> {
        None
    }

    /// Decodes when a target started from its report about itself; unknown if the report does not tell.
    fn reported_start(&self, report: &[u8]) -> Born {
        let report: Result<Departure, _> = jsonc::from_slice_lenient(report);
        report.map_or(Born::default(), |report| Born(report.born))
    }

    /// Decodes what the head of an answer reports about its target.
    fn target_status(&self, status: StatusCode, headers: &HeaderMap) -> TargetStatus {
        let names = self.headers();
        let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        TargetStatus {
            load: text(&names.load).and_then(|value| self.load(value)),
            draining: text(&names.leaving).is_some_and(|value| value.trim() == "1"),
            rejected: headers.contains_key(&names.not_run),
            brittle: text(&names.brittle).and_then(|value| value.trim().parse().ok()),
            backoff: RetryAfter::of_refusal(status, headers),
        }
    }
}

/// An operator's call to start a roll-out.
// Serde's errors, which callers see, name this type.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutCall {
    /// The service whose traffic is to move.
    pub service: String,
    /// Version that the traffic is to move to.
    pub version: String,
    /// Duration of the roll-out, in milliseconds.
    pub lasts_ms: u64,
}

/// Maximum duration of a roll-out: a day.
const MAX_ROLLOUT_MS: u64 = 86_400_000;

impl Validate for RolloutCall {
    fn faults(&self) -> Vec<Fault> {
        let mut checks = Checks::default();
        checks.require(!self.service.is_empty(), "service", "must not be empty");
        checks.require(!self.version.is_empty(), "version", "must not be empty");
        let length = (1..=MAX_ROLLOUT_MS).contains(&self.lasts_ms);
        checks.require(length, "lasts_ms", "must be above 0 and at most a day");
        checks.faults()
    }
}

/// The API call for a method and the part of the path after that of the roll-outs; `None` if there is none.
fn rollout_api_call<'a>(method: &Method, rest: &'a str) -> Option<ApiCall<'a>> {
    let service = rest.strip_prefix('/').unwrap_or(rest);
    match (method, service.is_empty()) {
        (&Method::POST, true) => Some(ApiCall::StartRollout),
        (&Method::GET, true) => Some(ApiCall::ListRollouts),
        (&Method::GET, false) => Some(ApiCall::ShowRollout { service }),
        (&Method::DELETE, false) => Some(ApiCall::WithdrawRollout { service }),
        _ => None,
    }
}

/// The state of a roll-out as JSON, with its version under the key `version`.
pub fn rollout_json(version: &str, rollout: &Rollout) -> String {
    let state = match rollout.stage {
        Stage::Part(_) | Stage::Shifted => "running",
        Stage::Completed => "completed",
        Stage::RolledBack => "rolled_back",
    };
    let mut fields = serde_json::Map::new();
    fields.insert("state".to_owned(), state.into());
    fields.insert(version.to_owned(), rollout.order.version.as_str().into());
    serde_json::Value::Object(fields).to_string()
}

/// A dialect that several parts of a process share.
pub type SharedDialect = Arc<dyn Dialect>;

/// The default dialect, with headers that start with `latchmount-`.
pub struct NativeDialect {
    headers: Headers,
}

impl Default for NativeDialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        NativeDialect {
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
                brittle: name("latchmount-brittle"),
                prefixes: &["latchmount-"],
                forwarded: Vec::new(),
                prompt: name("latchmount-prompt"),
                fetch_from: name("latchmount-fetch-from"),
                priority: name("latchmount-priority"),
                last_event_id: name("last-event-id"),
                resumes: name("latchmount-resumes"),
                reserved: Vec::new(),
            },
        }
    }
}

/// Body of a heartbeat in the default dialect.
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

/// Body of a target's call to remove itself, in the default dialect.
// Serde's errors, which callers see, name this type.
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

/// Body of the answer to a heartbeat in the default dialect.
#[derive(Debug, Serialize)]
struct NativeHeartbeatAnswer {
    next: Option<SocketAddr>,
}

impl Dialect for NativeDialect {
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
            born: Born(heartbeat.born),
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
        serde_json::to_string(&NativeHeartbeatAnswer { next }).unwrap_or_default()
    }
}
