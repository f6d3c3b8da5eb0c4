//! Forwarding: the attempts of one request, until one is answered or it is given up on.

use std::sync::Arc;
use std::time::Duration;

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use salvo::Response;
use salvo::http::StatusCode;
use slog::info;

use super::admission::{CHAT, DEADLINE, Kind, REQUEST_KEY, TEAM, Work};
use super::answer::Refusal;
use super::claim::{Claimed, Granted};
use super::http::InFlight;
use super::relay::{Relay, relay};
use super::slot::{Slot, need};
use super::{Shared, lock};
use crate::claims::RequestKey;
use crate::reason::{Outcome, Reason};
use crate::retry::{Attempts, Next};
use crate::retry_after::RetryAfter;
use crate::targets::Choice;

/// Names one attempt; a target echoes it.
pub(super) const ATTEMPT: &str = "x-attempt-id";
/// Priority of the request, for the engine's queue.
const PRIORITY: &str = "x-priority";
/// Adapter to use on the model.
const ADAPTER: &str = "x-adapter";
/// Version of model and adapter to use.
const VERSION: &str = "x-model-version";
/// Time left for the request, in milliseconds.
const TIME_LEFT: &str = "x-deadline-ms";
/// Set by a target that did not run the request.
const NOT_RUN: &str = "x-not-run";
/// Set by a target that is leaving, to its incarnation.
const LEAVING: &str = "x-leaving";

/// Headers between two hops, which no router passes on, and those that are for the router.
const NOT_PASSED_ON: [&str; 14] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    DEADLINE,
    REQUEST_KEY,
    ATTEMPT,
];

/// An answer that has begun.
pub(super) struct Begun {
    pub(super) answer: reqwest::Response,
    pub(super) attempt: String,
    pub(super) slot: Slot,
}

impl Shared {
    /// Sends `work` to a target and starts its answer, or says why not, at once.
    pub(super) async fn forward(
        self: &Arc<Self>,
        work: Work,
        in_flight: InFlight,
        res: &mut Response,
    ) -> Result<(), Refusal> {
        match work.request_key.filter(|_| !work.repeatable) {
            Some(key) => self.run_once(work, key, in_flight, res).await,
            None => {
                let begun = self.attempts(&work).await;
                let begun = begun.map_err(|reason| self.refusal(&work, reason))?;
                self.answer(Relay::new(self.clone(), begun, &work, None, in_flight), res).await
            }
        }
    }

    /// Runs a request that must run at most once under its key, or gives its stored answer.
    async fn run_once(
        self: &Arc<Self>,
        work: Work,
        key: RequestKey,
        in_flight: InFlight,
        res: &mut Response,
    ) -> Result<(), Refusal> {
        let granted = match self.claim(&work, key).await? {
            Claimed::Run(granted) => granted,
            Claimed::Answered(answer) => {
                answer.write(res);
                return Ok(());
            }
        };
        if work.kind == Kind::ChatStream {
            let relay = self.begin_claimed(&work, granted, in_flight).await?;
            return self.answer(relay, res).await;
        }
        // Goes on when the caller leaves, so that a resent request finds the answer.
        let shared = self.clone();
        let running = tokio::spawn(async move {
            let relay = shared.begin_claimed(&work, granted, in_flight).await?;
            relay.finish().await
        });
        let answer = running.await.map_err(|_| Refusal::plain(Reason::AnswerLost))??;
        answer.write(res);
        Ok(())
    }

    /// Starts the answer of a claimed request; gives the claim back when it truly did not run.
    async fn begin_claimed(
        self: &Arc<Self>,
        work: &Work,
        granted: Granted,
        in_flight: InFlight,
    ) -> Result<Relay, Refusal> {
        match self.attempts(work).await {
            Ok(begun) => Ok(Relay::new(self.clone(), begun, work, Some(granted.key), in_flight)),
            Err(reason) => {
                if reason.outcome() == Outcome::NotRun {
                    self.give_back(granted);
                }
                Err(self.refusal(work, reason))
            }
        }
    }

    /// The refusal of a request that was given up on; where targets rest it tells when the first can be asked.
    fn refusal(&self, work: &Work, reason: Reason) -> Refusal {
        let wait = (reason == Reason::Resting).then(|| self.rest_left(work)).flatten();
        Refusal::plain(reason).coming_back_in(wait)
    }

    pub(super) fn rest_left(&self, work: &Work) -> Option<Duration> {
        let config = self.config();
        lock(&self.targets).backoff_left(self.now(), need(work), |name| config.closed(name))
    }

    /// Tries until an answer begins or the request is given up on.
    async fn attempts(self: &Arc<Self>, work: &Work) -> Result<Begun, Reason> {
        let mut attempts = Attempts::new(work.repeatable, work.deadline);
        let mut tried = Vec::new();
        loop {
            let reason = match self.attempt(work, &mut tried).await {
                Ok(begun) => {
                    lock(&self.budget).earn();
                    return Ok(begun);
                }
                Err(reason) => reason,
            };
            let next = {
                let mut budget = lock(&self.budget);
                attempts.failed(self.now(), reason, &mut budget, &mut rand::rng())
            };
            match next {
                Next::Retry(wait) => {
                    self.metrics.retries.with_label_values(&[reason.code()]).inc();
                    tokio::time::sleep(wait).await;
                }
                Next::GiveUp(reason) => return Err(reason),
            }
        }
    }

    /// Hands the caller an answer that has begun.
    async fn answer(self: &Arc<Self>, relayed: Relay, res: &mut Response) -> Result<(), Refusal> {
        let status = relayed.status();
        let headers = relayed.headers();
        relay(relayed, res).await?;
        res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
        for (name, value) in &headers {
            if passed_on(name) {
                res.headers_mut().append(name.clone(), value.clone());
            }
        }
        Ok(())
    }

    /// One attempt: chooses a target and waits until its answer begins.
    async fn attempt(
        self: &Arc<Self>,
        work: &Work,
        tried: &mut Vec<String>,
    ) -> Result<Begun, Reason> {
        let now = self.now();
        if now >= work.deadline {
            return Err(Reason::DeadlinePassed);
        }
        let slot = self.wait_for_slot(work, tried).await?;
        let now = self.now();
        if now >= work.deadline {
            return Err(Reason::DeadlinePassed);
        }
        tried.push(slot.target.name.clone());
        let attempt = format!("{:032x}", rand::random::<u128>());
        let request = self.request(work, &slot.target, &attempt, work.deadline - now);
        let sent = tokio::time::timeout(work.deadline - now, request.send()).await;
        let name = &slot.target.name;
        let answer = match sent {
            Err(_) => return Err(Reason::AnswerLate),
            Ok(Err(error)) => {
                lock(&self.targets).failed(self.now(), name);
                return Err(unsent_or_lost(&error));
            }
            Ok(Ok(answer)) => answer,
        };
        self.check(&answer, &attempt, &slot.target)?;
        lock(&self.targets).succeeded(self.now(), name);
        Ok(Begun { answer, attempt, slot })
    }

    fn request(
        &self,
        work: &Work,
        target: &Choice,
        attempt: &str,
        left: Duration,
    ) -> reqwest::RequestBuilder {
        let base = target.url.trim_end_matches('/');
        let request = match &work.kind {
            Kind::Chat | Kind::ChatStream => self
                .http
                .post(format!("{base}/v1/chat/completions"))
                .header("content-type", "application/json")
                .header(ADAPTER, &work.policy.spec.adapter)
                .header(VERSION, &work.policy.spec.version),
            Kind::Service { path, method, .. } => self
                .http
                .request(method.clone(), format!("{base}{path}"))
                .headers(service_headers(&work.headers)),
        };
        request
            .header(ATTEMPT, attempt)
            .header(PRIORITY, work.policy.priority.to_string())
            .header(TIME_LEFT, left.as_millis().to_string())
            .header(TEAM, &work.team)
            .body(work.body.clone())
    }

    /// Whether the answer is of this attempt, and not a refusal of the target.
    fn check(
        &self,
        answer: &reqwest::Response,
        attempt: &str,
        target: &Choice,
    ) -> Result<(), Reason> {
        let headers = answer.headers();
        if headers.get(ATTEMPT).is_some_and(|echo| echo.as_bytes() != attempt.as_bytes()) {
            lock(&self.targets).failed(self.now(), &target.name);
            return Err(Reason::WrongAnswer);
        }
        if let Some(incarnation) = number(headers, LEAVING) {
            lock(&self.targets).mark_draining(&target.name, incarnation);
        }
        if let Some(rest) = RetryAfter::of_refusal(answer.status(), headers) {
            lock(&self.targets).back_off(self.now(), target, rest);
            self.metrics.rests.inc();
            info!(self.log, "target asks for rest"; "event" => "target_rests",
                "target" => &target.name, "rest" => ?rest);
        }
        if headers.contains_key(NOT_RUN) {
            return Err(Reason::TargetRefused);
        }
        Ok(())
    }
}

/// A request whose connection was never made has not run; any other may have.
fn unsent_or_lost(error: &reqwest::Error) -> Reason {
    if error.is_connect() { Reason::ConnectFailed } else { Reason::AnswerLost }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn passed_on(name: &HeaderName) -> bool {
    !NOT_PASSED_ON.contains(&name.as_str())
}

fn service_headers(from: &HeaderMap) -> HeaderMap {
    let passed = from.iter().filter(|(name, _)| passed_on(name) && *name != CHAT && *name != TEAM);
    let mut headers = HeaderMap::new();
    for (name, value) in passed {
        headers.append(name.clone(), HeaderValue::clone(value));
    }
    headers
}
