//! Calls at the doors of members of a group that forms itself.

use std::time::Duration;

use http::Method;

use super::{OperatorError, TRY_PAUSE};
use crate::cli::{Doors, EvacuationCommand, PoisonCommand, RolloutCommand};
use crate::clock::Instant;
use crate::dialect::{Dialect, RolloutCall};
use crate::jsonc::{Fault, Validate};
use crate::retry_after::RetryAfter;

/// Longest time for one call at a member's door, which answers within 0.9 s.
const DOOR_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Orders or withdraws an evacuation, or lists those in force.
///
/// # Errors
/// [`OperatorError::Faulty`] for what a member refuses, [`OperatorError::NoAnswer`] without a clear answer.
pub async fn evacuation(
    command: &EvacuationCommand,
    dialect: &dyn Dialect,
) -> Result<String, OperatorError> {
    let prefix = dialect.paths().evacuations;
    let doors = command.doors();
    match command {
        EvacuationCommand::Order { data_hall, .. } => {
            call_doors(doors, Method::POST, &format!("{prefix}{}", escape(data_hall))).await?;
            Ok(format!("{data_hall} is evacuated"))
        }
        EvacuationCommand::Withdraw { data_hall, .. } => {
            call_doors(doors, Method::DELETE, &format!("{prefix}{}", escape(data_hall))).await?;
            Ok(format!("{data_hall} takes work"))
        }
        EvacuationCommand::List(_) => call_doors(doors, Method::GET, prefix).await,
    }
}

/// Lists requests that are sent nowhere because targets ended under them, or lifts the block of one.
///
/// # Errors
/// [`OperatorError::Faulty`] for what a member refuses, [`OperatorError::NoAnswer`] without a clear answer.
pub async fn poison(
    command: &PoisonCommand,
    dialect: &dyn Dialect,
) -> Result<String, OperatorError> {
    let prefix = dialect.paths().poison;
    match command {
        PoisonCommand::List(doors) => call_doors(doors, Method::GET, prefix).await,
        PoisonCommand::Lift { doors, fingerprint } => {
            call_doors(doors, Method::DELETE, &format!("{prefix}{fingerprint}")).await?;
            Ok(format!("{fingerprint} is sent to targets again"))
        }
    }
}

/// Starts, shows, lists or withdraws roll-outs.
///
/// # Errors
/// [`OperatorError::Faulty`] for what a member refuses, [`OperatorError::NoAnswer`] without a clear answer.
pub async fn rollout(
    command: &RolloutCommand,
    dialect: &dyn Dialect,
) -> Result<String, OperatorError> {
    let path = dialect.paths().rollouts;
    let doors = command.doors();
    match command {
        RolloutCommand::Start { within_s, service, version, .. } => {
            let lasts_ms = within_s.saturating_mul(1_000);
            let call = RolloutCall { service: service.clone(), version: version.clone(), lasts_ms };
            let faults = call.faults();
            if !faults.is_empty() {
                return Err(OperatorError::Faulty(faults));
            }
            send_to_doors(doors, Method::POST, path, dialect.rollout_body(&call)).await?;
            Ok(format!("{service} moves to {version}"))
        }
        RolloutCommand::Show { service, .. } => {
            call_doors(doors, Method::GET, &format!("{path}/{}", escape(service))).await
        }
        RolloutCommand::List(_) => call_doors(doors, Method::GET, path).await,
        RolloutCommand::Withdraw { service, .. } => {
            call_doors(doors, Method::DELETE, &format!("{path}/{}", escape(service))).await?;
            Ok(format!("{service} is rolled back"))
        }
    }
}

/// A name as one segment of a path.
fn escape(name: &str) -> String {
    percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC).to_string()
}

/// Calls members, each no sooner than it has said, until one gives a clear answer; returns its body.
async fn call_doors(doors: &Doors, method: Method, path: &str) -> Result<String, OperatorError> {
    send_to_doors(doors, method, path, String::new()).await
}

/// The same with a body.
async fn send_to_doors(
    doors: &Doors,
    method: Method,
    path: &str,
    body: String,
) -> Result<String, OperatorError> {
    let client = reqwest::Client::builder().timeout(DOOR_TIMEOUT).build()?;
    let deadline = Instant::now() + Duration::from_secs(doors.timeout_s);
    let mut turns = Turns::new(doors.member.len());
    while let Some(at) = turns.next(deadline).await {
        let member = doors.member[at];
        let call = client.request(method.clone(), format!("http://{member}{path}"));
        let mut pause = TRY_PAUSE;
        if let Ok(answer) = call.body(body.clone()).send().await {
            if let Some(RetryAfter::In(rest)) = RetryAfter::of(answer.headers()) {
                pause = pause.max(rest);
            }
            let (status, text) = (answer.status(), answer.text().await?);
            if status.is_success() {
                return Ok(text);
            }
            if status.is_client_error() {
                return Err(OperatorError::Faulty(faults_in(&text)));
            }
        }
        turns.pause(at, pause);
    }
    Err(OperatorError::NoAnswer { seconds: doors.timeout_s })
}

/// Whose turn it is among members, each of which may say when to come back.
struct Turns(Vec<Instant>);

impl Turns {
    fn new(members: usize) -> Self {
        Turns(vec![Instant::now(); members])
    }

    /// Waits until the first member may be asked; `None` where that is after the deadline.
    async fn next(&self, deadline: Instant) -> Option<usize> {
        let (at, from) = self.0.iter().enumerate().min_by_key(|(_, from)| **from)?;
        if *from >= deadline {
            return None;
        }
        tokio::time::sleep_until((*from).into()).await;
        Some(at)
    }

    /// Leaves a member alone for a while.
    fn pause(&mut self, at: usize, pause: Duration) {
        self.0[at] = Instant::now() + pause;
    }
}

/// The faults that a member names in its answer.
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
