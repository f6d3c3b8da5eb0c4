//! HTTP API of a member for operators and targets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioTimer;
use slog::{info, warn};
use tokio::net::TcpListener;

use super::evacuation::OrderError;
use super::heartbeats::HeartbeatOutcome;
use super::rollout::RolloutError;
use super::{Shared, Unavailable};
use crate::dialect::ApiCall;
use crate::directory::{Announcement, Born, Incarnation};
use crate::document::{Document, MAX_DOCUMENT_BYTES};
use crate::jsonc::{Fault, Validate};
use crate::level::Level;
use crate::poison::InvalidFingerprint;
use crate::rollout::Stage;
use crate::serving::body_buffer::BodyError;
use crate::serving::buffers::ClientBuffer;
use crate::serving::http::{self as http_connection, HttpLimits};
use crate::store::{Answer, Command};
use crate::sync::lock;

/// Timeout for an idle connection, and for the head of a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of attempts to propose a document as a difference; an attempt fails when another document was
/// committed in between. After that the whole document is proposed.
const MAX_DIFFERENCE_ATTEMPTS: usize = 6;
/// Value of `Retry-After` when the group can't answer, in seconds.
const RETRY_AFTER_S: &str = "0.3";
/// Value of `Retry-After` for a call that has to wait for the end of an upgrade, in seconds.
const UPGRADE_RETRY_AFTER_S: &str = "5";

/// Maximum size of any body other than a configuration: an announcement has some hundred bytes.
const MAX_CALL_BYTES: usize = 64 * 1024;
/// Maximum length of a target's identity.
const MAX_ID_BYTES: usize = 256;
/// Maximum length of the message of a fault in an announcement, which may quote the request.
const MAX_FAULT_MESSAGE_CHARS: usize = 300;

type ApiResponse = Response<Full<Bytes>>;

/// Accepts and serves connections; never returns.
pub(super) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let (stream, client) = shared.api_buffers.accept(&listener).await;
        let _ = crate::link::set_tcp_timeouts(&stream, IDLE_TIMEOUT);
        let shared = shared.clone();
        tokio::spawn(async move {
            let limits = HttpLimits {
                timer: TokioTimer::new(),
                idle_timeout: IDLE_TIMEOUT,
                max_head_bytes: MAX_HEAD_BYTES,
            };
            let respond = |request| {
                let (shared, client) = (shared.clone(), client.clone());
                async move { answer(&shared, &client, request).await }
            };
            http_connection::serve(stream, &client, limits, std::future::pending(), respond).await;
        });
    }
}

/// The response to a call whose body could not be read. Callers repeat it after a 408 or 503.
fn refuse_body(shared: &Shared, error: BodyError) -> ApiResponse {
    let status = error.status();
    shared.metrics.count_call("body", status.as_str());
    let mut response = fault_response(status, &[Fault::new("", error.to_string())]);
    if error == BodyError::NoMemory {
        response.headers_mut().insert(RETRY_AFTER, http::HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

/// Reads a request, executes the call, and counts it in the metrics.
async fn answer(
    shared: &Shared,
    client: &Arc<ClientBuffer>,
    request: Request<Incoming>,
) -> ApiResponse {
    let (head, body) = request.into_parts();
    let Some(api_call) = shared.dialect.api_call(&head.method, head.uri.path()) else {
        return fault_response(StatusCode::NOT_FOUND, &[Fault::new("", "no such call")]);
    };
    let max_bytes = match api_call {
        ApiCall::PutConfiguration => MAX_DOCUMENT_BYTES,
        _ => MAX_CALL_BYTES,
    };
    let body = match client.read_body_within(BODY_TIMEOUT, body, max_bytes).await {
        Ok(body) => body,
        Err(error) => return refuse_body(shared, error),
    };
    let (call, response) = match api_call {
        ApiCall::PutConfiguration => ("put_configuration", put_configuration(shared, body).await),
        ApiCall::GetConfiguration => ("get_configuration", get_configuration(shared).await),
        ApiCall::Announce { id } => ("heartbeat", announce(shared, id, &body).await),
        ApiCall::Remove { id } => ("remove", remove(shared, id, &body).await),
        ApiCall::Order { data_hall, evacuate } => {
            let call = if evacuate { "evacuate" } else { "withdraw_evacuation" };
            (call, order_evacuation(shared, data_hall, evacuate, &body).await)
        }
        ApiCall::ListOrders => ("list_evacuations", list_evacuations(shared).await),
        ApiCall::StartRollout => ("start_rollout", start_rollout(shared, &body).await),
        ApiCall::ShowRollout { service } => ("show_rollout", show_rollout(shared, service).await),
        ApiCall::ListRollouts => ("list_rollouts", list_rollouts(shared).await),
        ApiCall::WithdrawRollout { service } => {
            ("withdraw_rollout", withdraw_rollout(shared, service).await)
        }
        ApiCall::ListPoison => ("list_poison", list_poison(shared)),
        ApiCall::LiftPoison { fingerprint } => ("lift_poison", lift_poison(shared, fingerprint)),
    };
    shared.metrics.count_call(call, response.status().as_str());
    response
}

async fn put_configuration(shared: &Shared, body: Bytes) -> ApiResponse {
    let parsed = shared.dialect.configuration(&body);
    let checked = parsed.and_then(|configuration| match configuration.faults() {
        faults if faults.is_empty() => Ok(configuration.version),
        faults => Err(with_outer_names(shared, faults)),
    });
    let version = match checked {
        Ok(version) => version,
        Err(faults) => {
            info!(shared.log, "configuration refused"; "event" => "configuration_refused",
                "bytes" => body.len(), "fault" => %faults[0]);
            return fault_response(StatusCode::BAD_REQUEST, &faults);
        }
    };
    let document = Document { version, bytes: body };
    match configure(shared, &document).await {
        Ok(held) => {
            info!(shared.log, "configuration acknowledged"; "event" => "configuration_acknowledged",
                "version" => version, "held" => held, "bytes" => document.bytes.len());
            empty_response(StatusCode::OK)
        }
        Err(Unavailable) => unavailable(shared, "configuration"),
    }
}

/// Replaces the paths of fields in faults by the names that the sender's dialect has for them.
fn with_outer_names(shared: &Shared, mut faults: Vec<Fault>) -> Vec<Fault> {
    for fault in &mut faults {
        fault.path = shared.dialect.field(&fault.path);
    }
    faults
}

/// Commits a document unless the group holds its version or a higher one already. Returns the version that the group
/// holds afterwards.
async fn configure(shared: &Shared, document: &Document) -> Result<u64, Unavailable> {
    for _ in 0..MAX_DIFFERENCE_ATTEMPTS {
        let published = shared.published();
        let base = published.document.as_ref();
        if let Some(held) = base.filter(|held| held.version >= document.version) {
            return Ok(held.version);
        }
        let packed = document.pack(base).map_err(|_| Unavailable)?;
        match shared.propose(Command::Configure(packed)).await? {
            Answer::Configured { held } => return Ok(held),
            Answer::WrongBase => {
                let mut changes = shared.member.published();
                let later = changes.wait_for(|now| now.applied > published.applied);
                let _ = tokio::time::timeout(Duration::from_millis(100), later).await;
            }
            _ => return Err(Unavailable),
        }
    }
    let packed = document.pack(None).map_err(|_| Unavailable)?;
    match shared.propose(Command::Configure(packed)).await? {
        Answer::Configured { held } => Ok(held),
        _ => Err(Unavailable),
    }
}

async fn get_configuration(shared: &Shared) -> ApiResponse {
    match shared.read().await {
        Ok(published) => match published.document {
            Some(document) => json_response(StatusCode::OK, document.bytes),
            None => unavailable(shared, "read_configuration"),
        },
        Err(Unavailable) => unavailable(shared, "read_configuration"),
    }
}

async fn announce(shared: &Shared, id: &str, body: &[u8]) -> ApiResponse {
    let announcement = match parse_announcement(shared, id, body) {
        Ok(announcement) => announcement,
        Err(faults) => return refuse_announcement(shared, id, &faults),
    };
    match shared.handle_heartbeat(announcement.clone()).await {
        Ok(HeartbeatOutcome::Changed) => {
            info!(shared.log, "target announced"; "event" => "target_announced", "target" => id,
                "service" => &announcement.service, "state" => ?announcement.state,
                "addr" => %announcement.addr, "born" => announcement.born.0,
                "sequence" => announcement.sequence);
            heartbeat_answer(shared)
        }
        Ok(HeartbeatOutcome::Unchanged) => heartbeat_answer(shared),
        Err(Unavailable) => unavailable(shared, "heartbeat"),
    }
}

/// Parses and checks an announcement. An invalid one is refused as a whole, before it is attributed to any target.
fn parse_announcement(shared: &Shared, id: &str, body: &[u8]) -> Result<Announcement, Vec<Fault>> {
    if id.len() > MAX_ID_BYTES {
        let message = format!("must have at most {MAX_ID_BYTES} bytes");
        return Err(vec![Fault::new("id", message)]);
    }
    let announcement = shared.dialect.announcement(id, body)?;
    if shared.conflicts_with_target(&announcement) {
        let message = "is not the service of the target that has this identity";
        return Err(vec![Fault::new("service", message)]);
    }
    Ok(announcement)
}

fn refuse_announcement(shared: &Shared, id: &str, faults: &[Fault]) -> ApiResponse {
    let faults: Vec<Fault> = faults.iter().map(truncated).collect();
    shared.metrics.count_refused_announcement(&faults[0].path);
    if let Some(stands_for) = lock(&shared.refused_lines).sample(shared.now()) {
        let id: String = id.chars().take(MAX_ID_BYTES).collect();
        info!(shared.log, "heartbeat refused"; "event" => "heartbeat_refused",
            "target" => id, "fault" => %faults[0], "stands_for" => stands_for);
    }
    fault_response(StatusCode::BAD_REQUEST, &faults)
}

/// The fault with its message cut to [`MAX_FAULT_MESSAGE_CHARS`].
fn truncated(fault: &Fault) -> Fault {
    let message = fault.message.chars().take(MAX_FAULT_MESSAGE_CHARS).collect();
    Fault { message, ..fault.clone() }
}

fn heartbeat_answer(shared: &Shared) -> ApiResponse {
    let next = shared.own_api_addr();
    json_response(StatusCode::OK, shared.dialect.heartbeat_answer(next).into())
}

async fn remove(shared: &Shared, id: &str, body: &[u8]) -> ApiResponse {
    let born = match shared.dialect.removal(body) {
        Ok(born) => born,
        Err(faults) => {
            info!(shared.log, "removal refused"; "event" => "removal_refused",
                "target" => id, "fault" => %faults[0]);
            return fault_response(StatusCode::BAD_REQUEST, &faults);
        }
    };
    let published = shared.published();
    let born = if published.level < Level::INCARNATIONS { Born::default() } else { born };
    if published.directory.was_removed(id) || published.directory.has_ended(id, born) {
        return empty_response(StatusCode::OK);
    }
    match shared.propose(Command::Remove(Incarnation { id: id.to_owned(), born })).await {
        Ok(_) => {
            info!(shared.log, "target removed"; "event" => "target_removed", "target" => id,
                "born" => born.0);
            empty_response(StatusCode::OK)
        }
        Err(Unavailable) => unavailable(shared, "remove"),
    }
}

async fn order_evacuation(
    shared: &Shared,
    data_hall: &str,
    evacuate: bool,
    body: &[u8],
) -> ApiResponse {
    let (status, fault) = match shared.order_evacuation(data_hall, evacuate, body).await {
        Ok(()) => return empty_response(StatusCode::OK),
        Err(OrderError::Unavailable) => return unavailable(shared, "order"),
        Err(OrderError::Upgrading) => return upgrading(shared, "order"),
        // A status that callers don't retry on: repeating the call would undo the newer order.
        Err(error @ OrderError::Overtaken) => {
            (StatusCode::CONFLICT, Fault::new("data_hall", error.to_string()))
        }
        Err(OrderError::Invalid(fault)) => (StatusCode::BAD_REQUEST, fault),
        Err(OrderError::UnknownHall(fault)) => (StatusCode::NOT_FOUND, fault),
    };
    info!(shared.log, "evacuation order refused"; "event" => "order_refused", "hall" => data_hall,
        "evacuate" => evacuate, "fault" => %fault);
    fault_response(status, &[fault])
}

async fn list_evacuations(shared: &Shared) -> ApiResponse {
    match shared.read().await {
        Ok(published) => {
            let halls = published.evacuations.halls();
            let listed: Vec<&str> =
                halls.filter(|(_, order)| order.evacuated).map(|(hall, _)| hall).collect();
            let text = serde_json::json!({ "evacuated": listed }).to_string();
            json_response(StatusCode::OK, text.into())
        }
        Err(Unavailable) => unavailable(shared, "list_evacuations"),
    }
}

async fn start_rollout(shared: &Shared, body: &[u8]) -> ApiResponse {
    match shared.start_rollout(body).await {
        Ok(()) => empty_response(StatusCode::OK),
        Err(error) => refuse_rollout(shared, &error),
    }
}

async fn show_rollout(shared: &Shared, service: &str) -> ApiResponse {
    match shared.show_rollout(service).await {
        Ok(rollout) => {
            json_response(StatusCode::OK, shared.dialect.rollout_answer(&rollout).into())
        }
        Err(error) => refuse_rollout(shared, &error),
    }
}

async fn withdraw_rollout(shared: &Shared, service: &str) -> ApiResponse {
    match shared.withdraw_rollout(service).await {
        Ok(Stage::RolledBack) => empty_response(StatusCode::OK),
        Ok(_) => {
            let fault = Fault::new("service", "its roll-out is completed");
            fault_response(StatusCode::CONFLICT, &[fault])
        }
        Err(error) => refuse_rollout(shared, &error),
    }
}

async fn list_rollouts(shared: &Shared) -> ApiResponse {
    match shared.list_rollouts().await {
        Ok(rollouts) => {
            let listed = rollouts.all().map(|rollout| {
                serde_json::json!({
                    "service": rollout.order.service, "version": rollout.order.version,
                    "lasts_ms": rollout.order.lasts_ms, "stage": rollout.stage.label(),
                    "share": rollout.stage.share(),
                })
            });
            let listed: Vec<serde_json::Value> = listed.collect();
            json_response(
                StatusCode::OK,
                serde_json::json!({ "rollouts": listed }).to_string().into(),
            )
        }
        Err(Unavailable) => unavailable(shared, "list_rollouts"),
    }
}

fn refuse_rollout(shared: &Shared, error: &RolloutError) -> ApiResponse {
    let (status, faults) = match error {
        RolloutError::Unavailable => return unavailable(shared, "rollout"),
        RolloutError::Upgrading => return upgrading(shared, "rollout"),
        RolloutError::Invalid(faults) => (StatusCode::BAD_REQUEST, faults.clone()),
        RolloutError::Unknown(fault) => (StatusCode::NOT_FOUND, vec![fault.clone()]),
        RolloutError::UnderWay(fault) => (StatusCode::CONFLICT, vec![fault.clone()]),
    };
    info!(shared.log, "call about a roll-out refused"; "event" => "rollout_refused",
        "status" => status.as_u16(), "fault" => %error);
    fault_response(status, &faults)
}

/// Lists the blocked requests that this member knows. Members exchange them within milliseconds, so no other is asked.
fn list_poison(shared: &Shared) -> ApiResponse {
    let text = serde_json::json!({ "blocked": shared.list_poison() }).to_string();
    json_response(StatusCode::OK, text.into())
}

fn lift_poison(shared: &Shared, fingerprint: &str) -> ApiResponse {
    let fingerprint = match fingerprint.parse() {
        Ok(fingerprint) => fingerprint,
        Err(error) => {
            let error: InvalidFingerprint = error;
            let fault = Fault::new("fingerprint", error.to_string());
            return fault_response(StatusCode::BAD_REQUEST, &[fault]);
        }
    };
    match shared.lift_poison(fingerprint) {
        true => empty_response(StatusCode::OK),
        false => {
            let fault = Fault::new("fingerprint", "no target ended under such a request");
            fault_response(StatusCode::NOT_FOUND, &[fault])
        }
    }
}

fn unavailable(shared: &Shared, call: &'static str) -> ApiResponse {
    let leadership = shared.member.leadership();
    warn!(shared.log, "call answered with status 503"; "event" => "unavailable", "call" => call,
        "term" => leadership.term, "leader" => ?leadership.leader, "leads" => leadership.leads);
    let mut response =
        fault_response(StatusCode::SERVICE_UNAVAILABLE, &[Fault::new("", "no leader")]);
    response.headers_mut().insert(RETRY_AFTER, http::HeaderValue::from_static(RETRY_AFTER_S));
    response
}

/// The response to a call that the group can't execute before all its processes support it.
fn upgrading(shared: &Shared, call: &'static str) -> ApiResponse {
    let (published, supported) = (shared.published(), shared.supported_level());
    let behind = lock(&shared.readiness).members_behind(&published.members, published.level);
    warn!(shared.log, "call refused during an upgrade"; "event" => "upgrading", "call" => call,
        "level" => %published.level, "knows" => %supported, "gateways_behind" => shared.gateways_behind(),
        "members_behind" => ?behind);
    let why = "an upgrade is under way: not all members and gateways know this call yet";
    let mut response = fault_response(StatusCode::SERVICE_UNAVAILABLE, &[Fault::new("", why)]);
    response
        .headers_mut()
        .insert(RETRY_AFTER, http::HeaderValue::from_static(UPGRADE_RETRY_AFTER_S));
    response
}

fn fault_response(status: StatusCode, faults: &[Fault]) -> ApiResponse {
    let text = serde_json::to_vec(&serde_json::json!({ "faults": faults })).unwrap_or_default();
    json_response(status, text.into())
}

fn json_response(status: StatusCode, body: Bytes) -> ApiResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn empty_response(status: StatusCode) -> ApiResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
