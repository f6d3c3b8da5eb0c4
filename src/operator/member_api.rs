//! Commands for members of a group that forms itself, sent to the HTTP API of the members.

use std::time::Duration;

use http::Method;

use super::{OperatorError, RETRY_INTERVAL};
use crate::cli::{EvacuationCommand, MemberEndpoints, PoisonCommand, RolloutCommand};
use crate::clock::Instant;
use crate::dialect::{Dialect, RolloutCall};
use crate::jsonc::{Fault, Validate};
use crate::retry_after::RetryAfter;

/// Timeout of one call; a member answers within 0.9 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Orders or withdraws the evacuation of a data hall, or lists those in force.
///
/// # Errors
/// [`OperatorError::Invalid`] when a member refuses the call, [`OperatorError::NoAnswer`] when none gives a
/// clear answer in time.
pub async fn evacuation(
    command: &EvacuationCommand,
    dialect: &dyn Dialect,
) -> Result<String, OperatorError> {
    let prefix = dialect.paths().evacuations;
    let args = command.endpoints();
    match command {
        EvacuationCommand::Order { data_hall, .. } => {
            call_members(args, Method::POST, &format!("{prefix}{}", escape(data_hall))).await?;
            Ok(format!("{data_hall} is evacuated"))
        }
        EvacuationCommand::Withdraw { data_hall, .. } => {
            call_members(args, Method::DELETE, &format!("{prefix}{}", escape(data_hall))).await?;
            Ok(format!("{data_hall} takes work"))
        }
        EvacuationCommand::List(_) => call_members(args, Method::GET, prefix).await,
    }
}

/// Lists poison requests, which are blocked because targets ended while processing them, or lifts the block
/// of one.
///
/// # Errors
/// [`OperatorError::Invalid`] when a member refuses the call, [`OperatorError::NoAnswer`] when none gives a
/// clear answer in time.
pub async fn poison(
    command: &PoisonCommand,
    dialect: &dyn Dialect,
) -> Result<String, OperatorError> {
    let prefix = dialect.paths().poison;
    match command {
        PoisonCommand::List(args) => call_members(args, Method::GET, prefix).await,
        PoisonCommand::Lift { endpoints: args, fingerprint } => {
            call_members(args, Method::DELETE, &format!("{prefix}{fingerprint}")).await?;
            Ok(format!("{fingerprint} is sent to targets again"))
        }
    }
}

/// Starts, shows, lists or withdraws the roll-out of a service's version.
///
/// # Errors
/// [`OperatorError::Invalid`] when a member refuses the call, [`OperatorError::NoAnswer`] when none gives a
/// clear answer in time.
pub async fn rollout(
    command: &RolloutCommand,
    dialect: &dyn Dialect,
) -> Result<String, OperatorError> {
    let path = dialect.paths().rollouts;
    let args = command.endpoints();
    match command {
        RolloutCommand::Start { within_s, service, version, .. } => {
            let lasts_ms = within_s.saturating_mul(1_000);
            let call = RolloutCall { service: service.clone(), version: version.clone(), lasts_ms };
            let faults = call.faults();
            if !faults.is_empty() {
                return Err(OperatorError::Invalid(faults));
            }
            send_to_members(args, Method::POST, path, dialect.rollout_body(&call)).await?;
            Ok(format!("{service} moves to {version}"))
        }
        RolloutCommand::Show { service, .. } => {
            call_members(args, Method::GET, &format!("{path}/{}", escape(service))).await
        }
        RolloutCommand::List(_) => call_members(args, Method::GET, path).await,
        RolloutCommand::Withdraw { service, .. } => {
            call_members(args, Method::DELETE, &format!("{path}/{}", escape(service))).await?;
            Ok(format!("{service} is rolled back"))
        }
    }
}

/// Escapes a name for use as one path segment.
fn escape(name: &str) -> String {
    percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC).to_string()
}

/// Calls members until one answers with success or a client error, and returns the body. Observes the
/// `Retry-After` of each member.
async fn call_members(
    args: &MemberEndpoints,
    method: Method,
    path: &str,
) -> Result<String, OperatorError> {
    send_to_members(args, method, path, String::new()).await
}

/// Like [`call_members`], with a request body.
async fn send_to_members(
    args: &MemberEndpoints,
    method: Method,
    path: &str,
    body: String,
) -> Result<String, OperatorError> {
    let client = reqwest::Client::builder().timeout(CALL_TIMEOUT).build()?;
    let deadline = Instant::now() + Duration::from_secs(args.timeout_s);
    let mut schedule = MemberSchedule::new(args.member.len());
    while let Some(at) = schedule.next(deadline).await {
        let member = args.member[at];
        let call = client.request(method.clone(), format!("http://{member}{path}"));
        let mut delay = RETRY_INTERVAL;
        if let Ok(answer) = call.body(body.clone()).send().await {
            if let Some(RetryAfter::In(retry_after)) = RetryAfter::of(answer.headers()) {
                delay = delay.max(retry_after);
            }
            let (status, text) = (answer.status(), answer.text().await?);
            if status.is_success() {
                return Ok(text);
            }
            if status.is_client_error() {
                return Err(OperatorError::Invalid(faults_in(&text)));
            }
        }
        schedule.postpone(at, delay);
    }
    Err(OperatorError::NoAnswer { seconds: args.timeout_s })
}

/// From when on each member may be called, by its position among the addresses.
struct MemberSchedule(Vec<Instant>);

impl MemberSchedule {
    fn new(members: usize) -> Self {
        MemberSchedule(vec![Instant::now(); members])
    }

    /// Waits until some member may be called and returns its position; `None` if that is after the deadline.
    async fn next(&self, deadline: Instant) -> Option<usize> {
        let (at, from) = self.0.iter().enumerate().min_by_key(|(_, from)| **from)?;
        if *from >= deadline {
            return None;
        }
        tokio::time::sleep_until((*from).into()).await;
        Some(at)
    }

    /// Does not return the member for the time `delay`.
    fn postpone(&mut self, at: usize, delay: Duration) {
        self.0[at] = Instant::now() + delay;
    }
}

/// The faults in a member's response; a response of another form becomes one fault.
fn faults_in(text: &str) -> Vec<Fault> {
    #[derive(serde::Deserialize)]
    struct Refusal {
        faults: Vec<Fault>,
    }
    match serde_json::from_str::<Refusal>(text) {
        Ok(refusal) => refusal.faults,
        Err(_) => vec![Fault::new("", text)],
    }
}
