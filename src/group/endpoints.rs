//! Calls of operators and targets.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use tokio::net::TcpListener;

use super::evacuation::OrderError;
use super::heartbeats::Taken;
use super::rollout::RolloutError;
use super::{Shared, Unavailable};
use crate::dialect::Door;
use crate::directory::{Announcement, Born, Incarnation};
use crate::document::{Document, MAX_DOCUMENT_BYTES};
use crate::jsonc::{Fault, Validate};
use crate::level::Level;
use crate::poison::NotAFingerprint;
use crate::rollout::Stage;
use crate::store::{Answer, Command};
use crate::sync::lock;

/// Longest time that a connection is idle, or takes for the head of a call.
const IDLE: Duration = Duration::from_secs(30);
/// Longest time for the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after the listener fails, for example without descriptors.
const PAUSE: Duration = Duration::from_millis(50);
/// Tries to put a document in the log; more than one when others come in between.
const CONFIGURE_TRIES: usize = 6;
/// What callers are told when the group can't answer, in seconds.
const COME_BACK_S: &str = "0.3";
/// What callers are told whose call must wait for the end of an upgrade, in seconds.
const AFTER_UPGRADE_S: &str = "5";

/// Largest body of any other call: an announcement has some hundred bytes.
const MAX_WORD_BYTES: usize = 64 * 1024;
/// Longest identity of a target, in bytes.
const LONGEST_ID: usize = 256;
/// Longest message of a fault that is told: it may quote what was sent.
const LONGEST_MESSAGE: usize = 300;

type Answered = Response<Full<Bytes>>;

/// Takes connections for ever.
pub(super) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let _ = crate::link::give_up_after(&stream, IDLE);
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let shared = shared.clone();
                async move { Ok::<_, Infallible>(answer(&shared, request).await) }
            });
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(shared: &Shared, request: Request<Incoming>) -> Answered {
    let (head, body) = request.into_parts();
    let Some(door) = shared.dialect.door(&head.method, head.uri.path()) else {
        return faulty(StatusCode::NOT_FOUND, &[Fault::new("", "no such call")]);
    };
    let longest = match door {
        Door::PutConfiguration => MAX_DOCUMENT_BYTES,
        _ => MAX_WORD_BYTES,
    };
    let body = Limited::new(body, longest).collect();
    let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            return faulty(StatusCode::PAYLOAD_TOO_LARGE, &[Fault::new("", error.to_string())]);
        }
        Err(_) => return faulty(StatusCode::REQUEST_TIMEOUT, &[Fault::new("", "body too slow")]),
    };
    let (call, answered) = match door {
        Door::PutConfiguration => ("put_configuration", put_configuration(shared, body).await),
        Door::GetConfiguration => ("get_configuration", get_configuration(shared).await),
        Door::Announce { id } => ("heartbeat", announce(shared, id, &body).await),
        Door::Remove { id } => ("remove", remove(shared, id, &body).await),
        Door::Order { data_hall, evacuate } => {
            let call = if evacuate { "evacuate" } else { "withdraw_evacuation" };
            (call, order(shared, data_hall, evacuate, &body).await)
        }
        Door::ListOrders => ("list_evacuations", list_orders(shared).await),
        Door::StartRollout => ("start_rollout", start_rollout(shared, &body).await),
        Door::ShowRollout { service } => ("show_rollout", show_rollout(shared, service).await),
        Door::ListRollouts => ("list_rollouts", list_rollouts(shared).await),
        Door::WithdrawRollout { service } => {
            ("withdraw_rollout", withdraw_rollout(shared, service).await)
        }
        Door::ListPoison => ("list_poison", list_poison(shared)),
        Door::LiftPoison { fingerprint } => ("lift_poison", lift_poison(shared, fingerprint)),
    };
    shared.metrics.count_call(call, answered.status().as_str());
    answered
}

async fn put_configuration(shared: &Shared, body: Bytes) -> Answered {
    let parsed = shared.dialect.configuration(&body);
    let checked = parsed.and_then(|configuration| match configuration.faults() {
        faults if faults.is_empty() => Ok(configuration.version),
        faults => Err(renamed(shared, faults)),
    });
    let version = match checked {
        Ok(version) => version,
        Err(faults) => {
            info!(shared.log, "configuration refused"; "event" => "configuration_refused",
                "bytes" => body.len(), "fault" => %faults[0]);
            return faulty(StatusCode::BAD_REQUEST, &faults);
        }
    };
    let document = Document { version, bytes: body };
    match configure(shared, &document).await {
        Ok(held) => {
            info!(shared.log, "configuration acknowledged"; "event" => "configuration_acknowledged",
                "version" => version, "held" => held, "bytes" => document.bytes.len());
            empty(StatusCode::OK)
        }
        Err(Unavailable) => unavailable(shared, "configuration"),
    }
}

/// Faults under the names that the sender knows its fields by.
fn renamed(shared: &Shared, mut faults: Vec<Fault>) -> Vec<Fault> {
    for fault in &mut faults {
        fault.path = shared.dialect.field(&fault.path);
    }
    faults
}

/// Puts a document in the log unless its version, or a higher one, is held; returns what is held.
async fn configure(shared: &Shared, document: &Document) -> Result<u64, Unavailable> {
    for _ in 0..CONFIGURE_TRIES {
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

async fn get_configuration(shared: &Shared) -> Answered {
    match shared.read().await {
        Ok(published) => match published.document {
            Some(document) => json(StatusCode::OK, document.bytes),
            None => unavailable(shared, "read_configuration"),
        },
        Err(Unavailable) => unavailable(shared, "read_configuration"),
    }
}

async fn announce(shared: &Shared, id: &str, body: &[u8]) -> Answered {
    let announcement = match read_announcement(shared, id, body) {
        Ok(announcement) => announcement,
        Err(faults) => return refuse_announcement(shared, id, &faults),
    };
    match shared.take_heartbeat(announcement.clone()).await {
        Ok(Taken::News) => {
            info!(shared.log, "target announced"; "event" => "target_announced", "target" => id,
                "service" => &announcement.service, "state" => ?announcement.state,
                "addr" => %announcement.addr, "born" => announcement.born.0,
                "sequence" => announcement.sequence);
            heartbeat_answer(shared)
        }
        Ok(Taken::Known) => heartbeat_answer(shared),
        Err(Unavailable) => unavailable(shared, "heartbeat"),
    }
}

/// Reads an announcement; one that can't be a target's names none and harms none.
fn read_announcement(shared: &Shared, id: &str, body: &[u8]) -> Result<Announcement, Vec<Fault>> {
    if id.len() > LONGEST_ID {
        let message = format!("must have at most {LONGEST_ID} bytes");
        return Err(vec![Fault::new("id", message)]);
    }
    let announcement = shared.dialect.announcement(id, body)?;
    if shared.names_another(&announcement) {
        let message = "is not the service of the target that has this identity";
        return Err(vec![Fault::new("service", message)]);
    }
    Ok(announcement)
}

fn refuse_announcement(shared: &Shared, id: &str, faults: &[Fault]) -> Answered {
    let faults: Vec<Fault> = faults.iter().map(shortened).collect();
    shared.metrics.count_refused_announcement(&faults[0].path);
    if let Some(stands_for) = lock(&shared.refused_lines).keep(shared.now()) {
        let id: String = id.chars().take(LONGEST_ID).collect();
        info!(shared.log, "heartbeat refused"; "event" => "heartbeat_refused",
            "target" => id, "fault" => %faults[0], "stands_for" => stands_for);
    }
    faulty(StatusCode::BAD_REQUEST, &faults)
}

/// A fault whose message quotes no more than is useful.
fn shortened(fault: &Fault) -> Fault {
    let message = fault.message.chars().take(LONGEST_MESSAGE).collect();
    Fault { message, ..fault.clone() }
}

fn heartbeat_answer(shared: &Shared) -> Answered {
    let next = shared.own_door();
    json(StatusCode::OK, shared.dialect.heartbeat_answer(next).into())
}

async fn remove(shared: &Shared, id: &str, body: &[u8]) -> Answered {
    let born = match shared.dialect.departure(body) {
        Ok(born) => born,
        Err(faults) => {
            info!(shared.log, "removal refused"; "event" => "removal_refused",
                "target" => id, "fault" => %faults[0]);
            return faulty(StatusCode::BAD_REQUEST, &faults);
        }
    };
    let published = shared.published();
    let born = if published.level < Level::STARTS { Born::default() } else { born };
    if published.directory.was_removed(id) || published.directory.is_over(id, born) {
        return empty(StatusCode::OK);
    }
    match shared.propose(Command::Remove(Incarnation { id: id.to_owned(), born })).await {
        Ok(_) => {
            info!(shared.log, "target removed"; "event" => "target_removed", "target" => id,
                "born" => born.0);
            empty(StatusCode::OK)
        }
        Err(Unavailable) => unavailable(shared, "remove"),
    }
}

async fn order(shared: &Shared, data_hall: &str, evacuate: bool, body: &[u8]) -> Answered {
    let (status, fault) = match shared.order_evacuation(data_hall, evacuate, body).await {
        Ok(()) => return empty(StatusCode::OK),
        Err(OrderError::Unavailable) => return unavailable(shared, "order"),
        Err(OrderError::Upgrading) => return upgrading(shared, "order"),
        // To come again would undo the newer order.
        Err(error @ OrderError::Overtaken) => {
            (StatusCode::CONFLICT, Fault::new("data_hall", error.to_string()))
        }
        Err(OrderError::Invalid(fault)) => (StatusCode::BAD_REQUEST, fault),
        Err(OrderError::UnknownHall(fault)) => (StatusCode::NOT_FOUND, fault),
    };
    info!(shared.log, "order refused"; "event" => "order_refused", "hall" => data_hall,
        "evacuate" => evacuate, "fault" => %fault);
    faulty(status, &[fault])
}

async fn list_orders(shared: &Shared) -> Answered {
    match shared.read().await {
        Ok(published) => {
            let halls = published.evacuations.halls();
            let listed: Vec<&str> =
                halls.filter(|(_, order)| order.evacuated).map(|(hall, _)| hall).collect();
            let text = serde_json::json!({ "evacuated": listed }).to_string();
            json(StatusCode::OK, text.into())
        }
        Err(Unavailable) => unavailable(shared, "list_evacuations"),
    }
}

async fn start_rollout(shared: &Shared, body: &[u8]) -> Answered {
    match shared.start_rollout(body).await {
        Ok(()) => empty(StatusCode::OK),
        Err(error) => refuse_rollout(shared, &error),
    }
}

async fn show_rollout(shared: &Shared, service: &str) -> Answered {
    match shared.show_rollout(service).await {
        Ok(rollout) => json(StatusCode::OK, shared.dialect.rollout_answer(&rollout).into()),
        Err(error) => refuse_rollout(shared, &error),
    }
}

async fn withdraw_rollout(shared: &Shared, service: &str) -> Answered {
    match shared.withdraw_rollout(service).await {
        Ok(Stage::RolledBack) => empty(StatusCode::OK),
        Ok(_) => {
            let fault = Fault::new("service", "its roll-out is completed");
            faulty(StatusCode::CONFLICT, &[fault])
        }
        Err(error) => refuse_rollout(shared, &error),
    }
}

async fn list_rollouts(shared: &Shared) -> Answered {
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
            json(StatusCode::OK, serde_json::json!({ "rollouts": listed }).to_string().into())
        }
        Err(Unavailable) => unavailable(shared, "list_rollouts"),
    }
}

fn refuse_rollout(shared: &Shared, error: &RolloutError) -> Answered {
    let (status, faults) = match error {
        RolloutError::Unavailable => return unavailable(shared, "rollout"),
        RolloutError::Upgrading => return upgrading(shared, "rollout"),
        RolloutError::Invalid(faults) => (StatusCode::BAD_REQUEST, faults.clone()),
        RolloutError::Unknown(fault) => (StatusCode::NOT_FOUND, vec![fault.clone()]),
        RolloutError::UnderWay(fault) => (StatusCode::CONFLICT, vec![fault.clone()]),
    };
    info!(shared.log, "roll-out refused"; "event" => "rollout_refused",
        "status" => status.as_u16(), "fault" => %error);
    faulty(status, &faults)
}

/// What this member knows; all are told the same within some milliseconds.
fn list_poison(shared: &Shared) -> Answered {
    let text = serde_json::json!({ "blocked": shared.list_poison() }).to_string();
    json(StatusCode::OK, text.into())
}

fn lift_poison(shared: &Shared, fingerprint: &str) -> Answered {
    let fingerprint = match fingerprint.parse() {
        Ok(fingerprint) => fingerprint,
        Err(error) => {
            let error: NotAFingerprint = error;
            let fault = Fault::new("fingerprint", error.to_string());
            return faulty(StatusCode::BAD_REQUEST, &[fault]);
        }
    };
    match shared.lift_poison(fingerprint) {
        true => empty(StatusCode::OK),
        false => {
            let fault = Fault::new("fingerprint", "no target ended under such a request");
            faulty(StatusCode::NOT_FOUND, &[fault])
        }
    }
}

fn unavailable(shared: &Shared, call: &'static str) -> Answered {
    let standing = shared.member.standing();
    warn!(shared.log, "call not answered"; "event" => "unavailable", "call" => call,
        "term" => standing.term, "leader" => ?standing.leader, "leads" => standing.leads);
    let mut response = faulty(StatusCode::SERVICE_UNAVAILABLE, &[Fault::new("", "no leader")]);
    response.headers_mut().insert(RETRY_AFTER, http::HeaderValue::from_static(COME_BACK_S));
    response
}

/// The group can't do this before every process knows how.
fn upgrading(shared: &Shared, call: &'static str) -> Answered {
    let (published, knows) = (shared.published(), shared.supported_level());
    let behind = lock(&shared.readiness).holding_back(&published.members, published.level);
    warn!(shared.log, "call refused during an upgrade"; "event" => "upgrading", "call" => call,
        "level" => %published.level, "knows" => %knows, "gateways_behind" => shared.gateways_behind(),
        "members_behind" => ?behind);
    let why = "an upgrade is under way: not all members and gateways know this call yet";
    let mut response = faulty(StatusCode::SERVICE_UNAVAILABLE, &[Fault::new("", why)]);
    response.headers_mut().insert(RETRY_AFTER, http::HeaderValue::from_static(AFTER_UPGRADE_S));
    response
}

fn faulty(status: StatusCode, faults: &[Fault]) -> Answered {
    let text = serde_json::to_vec(&serde_json::json!({ "faults": faults })).unwrap_or_default();
    json(status, text.into())
}

fn json(status: StatusCode, body: Bytes) -> Answered {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn empty(status: StatusCode) -> Answered {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
