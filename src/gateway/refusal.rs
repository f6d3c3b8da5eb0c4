//! Reasons for which requests are refused or given up on, with the status and Retry-After that clients get.

use std::time::Duration;

use http::StatusCode;

/// Bounds of Retry-After while the gateway has no configuration. The value is the gateway's uptime: one that has waited
/// long for its first update will likely wait as long again.
const STARTING_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(1));
/// Retry-After while the configuration is stale: the gateway switches to another member after about a second.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Retry-After if another gateway or target can likely serve the request right away.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Retry-After if all targets are in evacuated data halls. Operators withdraw an evacuation after seconds at the
/// earliest, so a client that retried sooner would be refused again.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-After if all targets are cold and this gateway has used up its share of the requests that they may be sent:
/// another gateway may still have some of its own.
const COLD_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry-After if the targets may have no room: some requests end meanwhile.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-After if neither this gateway nor its peers reach the targets: about the time between two probes of them.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry-After if no member told which version began a stream: another gateway may follow a member that knows it.
const ORIGIN_UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry-After if no target has the version that began a stream: one that crashed takes seconds to start again.
const VERSION_GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-After if it is not known whether targets restarted as another version: their next heartbeats tell.
const RESTART_SUSPECTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the gateway knows about when a refused request could be served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryHints {
    /// Time since the gateway started.
    pub uptime: Duration,
    /// Time until the first back-off of a target ends.
    pub backoff_left: Option<Duration>,
}

/// Why a request was refused or given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The gateway has no configuration yet.
    NoConfiguration,
    /// The gateway is shutting down.
    Stopping,
    /// The configuration may be stale, and the setting `on_stale` is `refuse`.
    Stale,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request has no id, an invalid deadline, or a body that can't be read.
    BadRequest,
    /// The head is larger than the configured limit.
    HeadTooLarge,
    /// The body is larger than the configured limit.
    BodyTooLarge,
    /// The body did not arrive in time, or its connection was closed to free memory for other clients.
    BodyTooSlow,
    /// The memory for clients' requests at this gateway is used up, or this gateway's part of the connections to every
    /// suitable target or of the request bodies there.
    NoRoom,
    /// The service has no target that could take the request.
    NoTarget,
    /// All targets of the service that could take the request are in evacuated data halls.
    Evacuated,
    /// All targets that could take the request are cold (slow right after start-up), and this gateway may not send them
    /// another request yet.
    Cold,
    /// The targets that could take the request fall over when they must reject requests, and may have no room for it.
    Full,
    /// The targets that could take the request have asked this gateway to back off.
    BackingOff,
    /// No target accepted a connection, so nothing was sent.
    ConnectFailed,
    /// Neither this gateway nor any peer can reach the targets of the service now.
    CutOff,
    /// The request resumes a stream, and it is not known here which version of the software began it.
    OriginUnknown,
    /// The request resumes a stream, and no target has the version of the software that began it.
    VersionGone,
    /// The request resumes a stream, and the targets of the version that began it may have restarted as another one.
    RestartSuspected,
    /// A target answered that it did not run the request.
    NotRun,
    /// The deadline passed before the request was sent.
    TooLate,
    /// The request was sent, and the connection broke before the answer was complete.
    AnswerLost,
    /// The request was sent, and the answer did not come in time.
    AnswerLate,
    /// The answer belonged to another request, or did not come from a target.
    WrongAnswer,
    /// The request is blocked as poison, since targets ended while running it. This time it was not sent.
    Poison,
    /// The request was found to be poison after it had been sent.
    PoisonAfterSend,
}

impl Refusal {
    /// Every reason.
    pub const ALL: [Refusal; 27] = [
        Refusal::NoConfiguration,
        Refusal::Stopping,
        Refusal::Stale,
        Refusal::NoRoute,
        Refusal::UnknownKey,
        Refusal::BadRequest,
        Refusal::HeadTooLarge,
        Refusal::BodyTooLarge,
        Refusal::BodyTooSlow,
        Refusal::NoRoom,
        Refusal::NoTarget,
        Refusal::Evacuated,
        Refusal::Cold,
        Refusal::Full,
        Refusal::BackingOff,
        Refusal::ConnectFailed,
        Refusal::CutOff,
        Refusal::OriginUnknown,
        Refusal::VersionGone,
        Refusal::RestartSuspected,
        Refusal::NotRun,
        Refusal::TooLate,
        Refusal::AnswerLost,
        Refusal::AnswerLate,
        Refusal::WrongAnswer,
        Refusal::Poison,
        Refusal::PoisonAfterSend,
    ];

    /// Code used in logs, metrics and response bodies; it never changes.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::NoConfiguration => "no_configuration",
            Refusal::Stopping => "stopping",
            Refusal::Stale => "stale_configuration",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::BadRequest => "bad_request",
            Refusal::HeadTooLarge => "head_too_large",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::BodyTooSlow => "body_too_slow",
            Refusal::NoRoom => "no_room",
            Refusal::NoTarget => "no_target",
            Refusal::Evacuated => "evacuated",
            Refusal::Cold => "cold",
            Refusal::Full => "full",
            Refusal::BackingOff => "resting",
            Refusal::ConnectFailed => "connect_failed",
            Refusal::CutOff => "cut_off",
            Refusal::OriginUnknown => "origin_unknown",
            Refusal::VersionGone => "version_gone",
            Refusal::RestartSuspected => "restart_suspected",
            Refusal::NotRun => "not_run",
            Refusal::TooLate => "too_late",
            Refusal::AnswerLost => "answer_lost",
            Refusal::AnswerLate => "answer_late",
            Refusal::WrongAnswer => "wrong_answer",
            Refusal::Poison => "ends_targets",
            Refusal::PoisonAfterSend => "ended_targets",
        }
    }

    /// The refusal with this code; `None` if there is none.
    pub fn from_code(code: &str) -> Option<Refusal> {
        Refusal::ALL.into_iter().find(|refusal| refusal.code() == code)
    }

    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::BadRequest => StatusCode::BAD_REQUEST,
            Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Refusal::AnswerLost | Refusal::WrongAnswer => StatusCode::BAD_GATEWAY,
            Refusal::AnswerLate => StatusCode::GATEWAY_TIMEOUT,
            // Not 503, which would make clients retry elsewhere: a retry of a poison request is blocked as well.
            Refusal::Poison | Refusal::PoisonAfterSend => StatusCode::INTERNAL_SERVER_ERROR,
            Refusal::NoConfiguration
            | Refusal::Stopping
            | Refusal::Stale
            | Refusal::NoRoom
            | Refusal::NoTarget
            | Refusal::Evacuated
            | Refusal::Cold
            | Refusal::Full
            | Refusal::BackingOff
            | Refusal::ConnectFailed
            | Refusal::CutOff
            | Refusal::OriginUnknown
            | Refusal::VersionGone
            | Refusal::RestartSuspected
            | Refusal::NotRun
            | Refusal::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether a target may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Refusal::AnswerLost
                | Refusal::AnswerLate
                | Refusal::WrongAnswer
                | Refusal::PoisonAfterSend
        )
    }

    /// Time after which the client should retry; `None` if it should not.
    pub fn retry_after(self, hints: RetryHints) -> Option<Duration> {
        match self {
            Refusal::NoConfiguration => {
                Some(hints.uptime.clamp(STARTING_RETRY_AFTER.0, STARTING_RETRY_AFTER.1))
            }
            Refusal::BackingOff => Some(hints.backoff_left.unwrap_or(DEFAULT_RETRY_AFTER)),
            Refusal::Stale => Some(STALE_RETRY_AFTER),
            Refusal::Evacuated => Some(EVACUATED_RETRY_AFTER),
            Refusal::Cold => Some(COLD_RETRY_AFTER),
            Refusal::Full => Some(FULL_RETRY_AFTER),
            Refusal::CutOff => Some(CUT_OFF_RETRY_AFTER),
            Refusal::OriginUnknown => Some(ORIGIN_UNKNOWN_RETRY_AFTER),
            Refusal::VersionGone => Some(VERSION_GONE_RETRY_AFTER),
            Refusal::RestartSuspected => Some(RESTART_SUSPECTED_RETRY_AFTER),
            Refusal::Stopping
            | Refusal::NoRoom
            | Refusal::NoTarget
            | Refusal::ConnectFailed
            | Refusal::NotRun
            | Refusal::TooLate => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }
}
