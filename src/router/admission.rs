//! Admission: checks a client's headers and body and builds the request that the router may forward.

use std::sync::Arc;
use std::time::Duration;

use salvo::Request;
use salvo::http::header::HeaderMap;
use salvo::hyper::body::Bytes;
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::refusal::Refusal;
use super::{Shared, lock};
use crate::choice::Key;
use crate::claims::RequestKey;
use crate::reason::Reason;
use crate::serving::body_buffer::BodyError;
use crate::serving::buffers::ClientBuffer;
use crate::template::Policy;

/// Header with the client's team; required.
pub(super) const TEAM: &str = "latchmount-team";
/// Header with the identity of the chat; where it is missing, a chat completion is identified by its first messages.
pub(super) const CHAT: &str = "latchmount-chat";
/// Header with the time that the client will wait for the answer to begin, in milliseconds.
pub(super) const DEADLINE: &str = "latchmount-deadline-ms";

/// Header with the key of a request that must run at most once: a UUID of version 7.
pub(super) const REQUEST_KEY: &str = "latchmount-request-key";

/// Longer deadlines in [`DEADLINE`] are shortened to this.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Number of messages at the start of a chat that identify it when the client sends no [`CHAT`] header.
const OPENING_MESSAGES: usize = 2;

/// What the request asks for.
///
/// The Debug output goes into [`AdmittedRequest::digest`]. The control group compares digests of routers of different
/// builds, so names of variants and fields must not change.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Kind {
    /// A chat completion that is answered as a whole.
    Chat,
    /// A chat completion that is answered as a stream of server-sent events.
    ChatStream,
    /// A call to a service other than chat completions.
    Service {
        name: String,
        /// Path and query below `/services/NAME`.
        path: String,
        method: reqwest::Method,
    },
}

impl Kind {
    /// Value of the metrics label `kind`.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Kind::Chat => "chat",
            Kind::ChatStream => "chat_stream",
            Kind::Service { .. } => "service",
        }
    }
}

/// A request that passed all checks.
pub(super) struct AdmittedRequest {
    pub(super) kind: Kind,
    pub(super) team: String,
    pub(super) key: Key,
    /// Whether it begins a chat, so that no target can have its prefix cached yet.
    pub(super) first_turn: bool,
    pub(super) policy: Policy,
    pub(super) repeatable: bool,
    /// Key of a request that must run at most once across all routers.
    pub(super) request_key: Option<RequestKey>,
    /// When its answer must have begun, or be complete if it is not a stream; time since the router's start.
    pub(super) deadline: Duration,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl AdmittedRequest {
    /// Hash of team, kind and body, to detect a request key that is reused for another request.
    pub(super) fn digest(&self) -> u64 {
        let seed = xxh3_64(format!("{} {:?}", self.team, self.kind).as_bytes());
        xxh3_64_with_seed(&self.body, seed)
    }
}

/// The fields of a chat completion's body that the router reads.
#[derive(Deserialize)]
struct ChatBody {
    #[serde(default)]
    stream: bool,
    messages: Vec<Value>,
}

impl Shared {
    /// Admits a chat completion and sets its model to that of the team's policy.
    pub(super) async fn admit_chat(&self, req: &mut Request) -> Result<AdmittedRequest, Refusal> {
        let (team, policy) = self.admit_team(req)?;
        let deadline = self.deadline(req.headers())?;
        let request_key = request_key(req.headers())?;
        let body = self.read_body(req).await?;
        let mut document: Value = serde_json::from_slice(&body)
            .map_err(|error| bad_request(format!("body: not JSON: {error}")))?;
        let chat = ChatBody::deserialize(&document)
            .map_err(|error| bad_request(format!("body: {error}")))?;
        if chat.messages.is_empty() {
            return Err(bad_request("body: messages: must hold at least one message"));
        }
        document["model"] = Value::from(policy.spec.model.clone());
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let first_turn = !chat.messages.iter().any(|message| message["role"] == "assistant");
        let opening = &chat.messages[..chat.messages.len().min(OPENING_MESSAGES)];
        let key = match text_header(req.headers(), CHAT)? {
            Some(chat) => Key::chat(&team, chat.as_bytes()),
            None => Key::chat(&team, &serde_json::to_vec(opening).unwrap_or_default()),
        };
        Ok(AdmittedRequest {
            kind: if chat.stream { Kind::ChatStream } else { Kind::Chat },
            team,
            key,
            first_turn,
            repeatable: policy.repeatable.chat,
            request_key,
            policy,
            deadline,
            headers: HeaderMap::new(),
            body: body.into(),
        })
    }

    /// Admits a call of the service `name`, at `path` below `/services/NAME`.
    pub(super) async fn admit_service(
        &self,
        req: &mut Request,
        name: String,
        path: String,
    ) -> Result<AdmittedRequest, Refusal> {
        let (team, policy) = self.admit_team(req)?;
        let deadline = self.deadline(req.headers())?;
        let request_key = request_key(req.headers())?;
        let body = self.read_body(req).await?;
        let key = match text_header(req.headers(), CHAT)? {
            Some(chat) => Key::chat(&team, chat.as_bytes()),
            None => Key(rand::random()),
        };
        Ok(AdmittedRequest {
            repeatable: policy.repeatable.services.contains(&name),
            request_key,
            kind: Kind::Service { name, path, method: req.method().clone() },
            team,
            key,
            first_turn: true,
            policy,
            deadline,
            headers: req.headers().clone(),
            body,
        })
    }

    /// Returns the client's team and its policy; refuses while the router is stopping or its configuration is stale.
    fn admit_team(&self, req: &Request) -> Result<(String, Policy), Refusal> {
        if self.stopping.load(std::sync::atomic::Ordering::Acquire) {
            return Err(Refusal::from_reason(Reason::Stopping));
        }
        if !lock(&self.freshness).is_valid(self.now()) {
            return Err(Refusal::from_reason(Reason::StaleConfig));
        }
        let team = text_header(req.headers(), TEAM)?
            .ok_or_else(|| bad_request(format!("header {TEAM}: must name the caller's team")))?;
        let policy = self.config().policy(team).cloned();
        let policy = policy.ok_or_else(|| Refusal::from_reason(Reason::UnknownTeam))?;
        Ok((team.to_owned(), policy))
    }

    fn deadline(&self, headers: &HeaderMap) -> Result<Duration, Refusal> {
        let allowed = match text_header(headers, DEADLINE)? {
            Some(text) => {
                let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
                let millis = millis.ok_or_else(|| {
                    bad_request(format!(
                        "header {DEADLINE}: must be a number of milliseconds above 0"
                    ))
                })?;
                Duration::from_millis(millis).min(MAX_DEADLINE)
            }
            None => Duration::from_millis(self.settings.default_deadline_ms),
        };
        Ok(self.now() + allowed)
    }

    /// Reads the whole body, at most `router.max_body_kib` within `router.body_timeout_ms`.
    async fn read_body(&self, req: &mut Request) -> Result<Bytes, Refusal> {
        let limit = self.settings.max_body_kib * 1024;
        let timeout = Duration::from_millis(self.settings.body_timeout_ms);
        let Some(client) = req.extensions().get::<Arc<ClientBuffer>>().cloned() else {
            return Err(bad_request("body: its connection is not known"));
        };
        match client.read_body_within(timeout, req.take_body(), limit).await {
            Ok(body) => Ok(body),
            Err(BodyError::TooSlow) => Err(Refusal::from_reason(Reason::SlowCaller)),
            Err(BodyError::NoMemory) => Err(Refusal::from_reason(Reason::Overloaded)),
            Err(BodyError::TooLarge { .. }) => {
                let message = format!("body: larger than {} KiB", self.settings.max_body_kib);
                Err(Refusal::new(Reason::BodyTooLarge, message))
            }
            Err(error @ BodyError::BrokeOff) => Err(bad_request(format!("body: {error}"))),
        }
    }
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::new(Reason::BadRequest, message)
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(format!("header {name}: must stand once")));
    }
    let text = value.to_str().ok().filter(|text| !text.is_empty());
    let text = text.ok_or_else(|| bad_request(format!("header {name}: must be visible ASCII")))?;
    Ok(Some(text))
}

fn request_key(headers: &HeaderMap) -> Result<Option<RequestKey>, Refusal> {
    let Some(text) = text_header(headers, REQUEST_KEY)? else {
        return Ok(None);
    };
    let key = RequestKey::parse(text);
    let message = || bad_request(format!("header {REQUEST_KEY}: must be a UUID of version 7"));
    key.map(Some).ok_or_else(message)
}
