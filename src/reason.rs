//! Reason codes of refusals, failures and retries: stable names for clients, metrics and the operators' documentation.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

/// Whether a request that was refused or given up has run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target ran it: no byte of it was written to a target, or the target reported that it did not run it.
    NotRun,
    /// A target ran it.
    Ran,
    /// It may have run.
    Unknown,
}

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A header or the body is malformed.
    BadRequest,
    /// The body is larger than the router accepts.
    BodyTooLarge,
    /// The client did not send the whole body in time.
    SlowCaller,
    /// No template in force covers the team.
    UnknownTeam,
    /// The router can't prove that its configuration is the one in force, since its freshness lease has expired.
    StaleConfig,
    /// The router is stopping.
    Stopping,
    /// No live target serves the model or service.
    NoTarget,
    /// Every live target that serves it has asked this router to back off (Retry-After).
    Resting,
    /// Every target that could serve it is at its load bound.
    Overloaded,
    /// The router that grants slots at the targets did not answer in time.
    OwnerSilent,
    /// The request key could not be claimed in time.
    ClaimFailed,
    /// The time in the request key is older than the window in which keys are remembered, or in the future.
    KeyTooOld,
    /// The request key was used before with a different request.
    KeyReused,
    /// A request with this key was claimed before, and this router does not have its answer.
    OutcomeUnknown,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// Connecting to the target failed before anything was sent.
    ConnectFailed,
    /// The target reported that it did not run the request.
    TargetRefused,
    /// The connection failed after the request was sent and before its answer began.
    AnswerLost,
    /// The deadline passed before the answer arrived.
    AnswerLate,
    /// The answer carries the id of another attempt.
    WrongAnswer,
    /// The answer broke off after its first byte.
    AnswerBroken,
}

impl Reason {
    /// Every reason, in the order of the operators' documentation.
    pub const ALL: [Reason; 21] = [
        Reason::BadRequest,
        Reason::BodyTooLarge,
        Reason::SlowCaller,
        Reason::UnknownTeam,
        Reason::StaleConfig,
        Reason::Stopping,
        Reason::NoTarget,
        Reason::Resting,
        Reason::Overloaded,
        Reason::OwnerSilent,
        Reason::ClaimFailed,
        Reason::KeyTooOld,
        Reason::KeyReused,
        Reason::OutcomeUnknown,
        Reason::DeadlinePassed,
        Reason::ConnectFailed,
        Reason::TargetRefused,
        Reason::AnswerLost,
        Reason::AnswerLate,
        Reason::WrongAnswer,
        Reason::AnswerBroken,
    ];

    /// The stable code, as in answers to clients and in metrics.
    pub fn code(self) -> &'static str {
        match self {
            Reason::BadRequest => "bad_request",
            Reason::BodyTooLarge => "body_too_large",
            Reason::SlowCaller => "slow_caller",
            Reason::UnknownTeam => "unknown_team",
            Reason::StaleConfig => "stale_config",
            Reason::Stopping => "stopping",
            Reason::NoTarget => "no_target",
            Reason::Resting => "resting",
            Reason::Overloaded => "overloaded",
            Reason::OwnerSilent => "owner_silent",
            Reason::ClaimFailed => "claim_failed",
            Reason::KeyTooOld => "key_too_old",
            Reason::KeyReused => "key_reused",
            Reason::OutcomeUnknown => "outcome_unknown",
            Reason::DeadlinePassed => "deadline_passed",
            Reason::ConnectFailed => "connect_failed",
            Reason::TargetRefused => "target_refused",
            Reason::AnswerLost => "answer_lost",
            Reason::AnswerLate => "answer_late",
            Reason::WrongAnswer => "wrong_answer",
            Reason::AnswerBroken => "answer_broken",
        }
    }

    /// Explanation for the client.
    pub fn explain(self) -> &'static str {
        match self {
            Reason::BadRequest => "the request can't be used as it is",
            Reason::BodyTooLarge => "the body is larger than this router takes",
            Reason::SlowCaller => "the body came too slowly",
            Reason::UnknownTeam => "no template in force covers this team",
            Reason::StaleConfig => "this router can't prove its configuration fresh; ask another",
            Reason::Stopping => "this router is stopping; ask another",
            Reason::NoTarget => "no live target serves this",
            Reason::Resting => "every target that serves this has asked for rest",
            Reason::Overloaded => "every target that serves this is at its bound",
            Reason::OwnerSilent => "the router that admits to the targets did not decide in time",
            Reason::ClaimFailed => "the request key could not be claimed in time",
            Reason::KeyTooOld => "the request key is older than the window, or of the future",
            Reason::KeyReused => "the request key was used for another request",
            Reason::OutcomeUnknown => {
                "a request with this key was sent before and its answer is not at hand"
            }
            Reason::DeadlinePassed => "the deadline passed before the request was sent",
            Reason::ConnectFailed => "no target could be connected to",
            Reason::TargetRefused => "the target did not take the request",
            Reason::AnswerLost => "the connection broke after the request was sent",
            Reason::AnswerLate => "the answer did not come before the deadline",
            Reason::WrongAnswer => "the target answered another request",
            Reason::AnswerBroken => "the answer broke off and can't be completed",
        }
    }

    /// Whether a request that ends for this reason has run at a target.
    pub fn outcome(self) -> Outcome {
        match self {
            Reason::AnswerLost
            | Reason::AnswerLate
            | Reason::WrongAnswer
            | Reason::KeyReused
            | Reason::OutcomeUnknown => Outcome::Unknown,
            Reason::AnswerBroken => Outcome::Ran,
            _ => Outcome::NotRun,
        }
    }

    /// HTTP status of the answer to the client.
    pub fn status(self) -> u16 {
        match self {
            Reason::BadRequest | Reason::KeyTooOld => 400,
            Reason::BodyTooLarge => 413,
            Reason::SlowCaller => 408,
            Reason::UnknownTeam => 403,
            Reason::KeyReused | Reason::OutcomeUnknown => 409,
            Reason::Overloaded => 429,
            Reason::AnswerLost | Reason::WrongAnswer | Reason::AnswerBroken => 502,
            Reason::DeadlinePassed | Reason::AnswerLate => 504,
            _ => 503,
        }
    }

    /// Default Retry-After of the answer; `None` when a retry makes no sense.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Reason::StaleConfig | Reason::NoTarget => Some(Duration::from_secs(5)),
            Reason::Stopping
            | Reason::Resting
            | Reason::ClaimFailed
            | Reason::Overloaded
            | Reason::OwnerSilent
            | Reason::ConnectFailed
            | Reason::TargetRefused => Some(Duration::from_secs(1)),
            _ => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
