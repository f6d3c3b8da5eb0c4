//! Why a request was refused or given up on.

use std::time::Duration;

use http::StatusCode;

/// When a gateway that starts may have its first news: the sooner the shorter it has waited, since one that has waited
/// for long will likely wait as long again.
const FIRST_NEWS_WITHIN: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(1));
/// When a gateway that lost touch may have news again: it turns to another member after about a second.
const NEWS_WITHIN: Duration = Duration::from_millis(400);
/// Time for a caller to come back for another gateway or target.
const ELSEWHERE: Duration = Duration::from_millis(60);

/// Time for a caller to come back when all targets stand in evacuated data halls: operators withdraw such an
/// order after seconds at the least, and a caller that comes sooner is refused again.
const EVACUATED: Duration = Duration::from_secs(1);

/// Time for a caller to come back when all targets are cold and have had what they bear: another gateway may have
/// a turn at one of them meanwhile.
const COLD: Duration = Duration::from_millis(250);

/// What a gateway knows of when a request that it refuses could be served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryHints {
    /// Time since the gateway started.
    pub uptime: Duration,
    /// Time until the first target that has asked for rest can be asked again.
    pub backoff_left: Option<Duration>,
}

/// Why a request was refused or given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// The gateway is about to end.
    Stopping,
    /// The configuration is stale, and the settings say to refuse then.
    Stale,
    /// No route fits.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request has no id or a faulty header.
    BadRequest,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The body came too slowly.
    BodyTooSlow,
    /// There is no room to hold the request here, or at any target that could take it.
    NoRoom,
    /// No target of the service is known.
    NoTarget,
    /// All targets of the service that could take the request stand in evacuated data halls.
    Evacuated,
    /// All targets that could take the request are slow after a start, and have had what they bear.
    Cold,
    /// The targets that could take the request have asked this gateway for rest.
    BackingOff,
    /// No target could be connected to, and nothing was sent.
    ConnectFailed,
    /// A target said that it did not run the request.
    NotRun,
    /// The time was over before the request was sent.
    TooLate,
    /// The request was sent, and the connection broke before there was an answer.
    AnswerLost,
    /// The request was sent, and there was no answer in time.
    AnswerLate,
    /// The answer belonged to another request, or was not a target's.
    WrongAnswer,
    /// Targets ended under this request before, and it is sent to none. It was not sent in this try.
    Poison,
    /// The same, found when it had been sent in this try.
    PoisonAfterSend,
}

impl Refusal {
    /// Every reason.
    pub const ALL: [Refusal; 22] = [
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
        Refusal::BackingOff,
        Refusal::ConnectFailed,
        Refusal::NotRun,
        Refusal::TooLate,
        Refusal::AnswerLost,
        Refusal::AnswerLate,
        Refusal::WrongAnswer,
        Refusal::Poison,
        Refusal::PoisonAfterSend,
    ];

    /// Stable code for logs, metrics and bodies.
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
            Refusal::BackingOff => "resting",
            Refusal::ConnectFailed => "connect_failed",
            Refusal::NotRun => "not_run",
            Refusal::TooLate => "too_late",
            Refusal::AnswerLost => "answer_lost",
            Refusal::AnswerLate => "answer_late",
            Refusal::WrongAnswer => "wrong_answer",
            Refusal::Poison => "ends_targets",
            Refusal::PoisonAfterSend => "ended_targets",
        }
    }

    /// Status of the answer.
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
            // A fault that stays, unlike those of 503, which would have callers try again elsewhere.
            Refusal::Poison | Refusal::PoisonAfterSend => StatusCode::INTERNAL_SERVER_ERROR,
            Refusal::NoConfiguration
            | Refusal::Stopping
            | Refusal::Stale
            | Refusal::NoRoom
            | Refusal::NoTarget
            | Refusal::Evacuated
            | Refusal::Cold
            | Refusal::BackingOff
            | Refusal::ConnectFailed
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

    /// When the caller should come back, for requests that did not run.
    pub fn retry_after(self, hints: RetryHints) -> Option<Duration> {
        match self {
            Refusal::NoConfiguration => {
                Some(hints.uptime.clamp(FIRST_NEWS_WITHIN.0, FIRST_NEWS_WITHIN.1))
            }
            Refusal::BackingOff => Some(hints.backoff_left.unwrap_or(ELSEWHERE)),
            Refusal::Stale => Some(NEWS_WITHIN),
            Refusal::Evacuated => Some(EVACUATED),
            Refusal::Cold => Some(COLD),
            Refusal::Stopping
            | Refusal::NoRoom
            | Refusal::NoTarget
            | Refusal::ConnectFailed
            | Refusal::NotRun
            | Refusal::TooLate => Some(ELSEWHERE),
            _ => None,
        }
    }
}
