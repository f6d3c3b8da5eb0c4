//! Forwarding: sends one request to targets, with retries, until an answer begins or the request is given up on.

use std::sync::Arc;
use std::time::Duration;

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use salvo::Response;
use salvo::http::StatusCode;
use slog::info;

use super::admission::{AdmittedRequest, CHAT, DEADLINE, Kind, REQUEST_KEY, TEAM};
use super::claim::{ClaimOutcome, GrantedClaim};
use super::http::InFlightGuard;
use super::refusal::Refusal;
use super::relay::{Relay, relay_body};
use super::slot::{Slot, need};
use super::{Shared, lock};
use crate::claims::RequestKey;
use crate::reason::{Outcome, Reason};
use crate::retry::{Attempts, Next};
use crate::retry_after::RetryAfter;
use crate::targets::Choice;

/// Header with the identity of one attempt; the target echoes it in its answer.
pub(super) const ATTEMPT: &str = "x-attempt-id";
/// Header with the request's priority, for the queue of a model engine.
const PRIORITY: &str = "x-priority";
/// Header with the adapter to use on the model.
const ADAPTER: &str = "x-adapter";
/// Header with the version of model and adapter to use.
const VERSION: &str = "x-model-version";
/// Header with the time left for the request, in milliseconds.
const TIME_LEFT: &str = "x-deadline-ms";
/// Header set by a target that did not run the request.
const NOT_RUN: &str = "x-not-run";
/// Header set by a target that is shutting down, to its incarnation.
const LEAVING: &str = "x-leaving";

/// Headers that are not forwarded: hop-by-hop headers and those between client and router or router and target only.
const NOT_FORWARDED: [&str; 14] = [
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

/// An answer whose headers have been received, with the attempt and the slot it belongs to.
pub(super) struct StartedAnswer {
    pub(super) answer: reqwest::Response,
    pub(super) attempt: String,
    pub(super) slot: Slot,
}

impl Shared {
    /// Sends `request` to a target and relays the answer to `res`.
    ///
    /// A request with a request key is claimed first, unless its policy allows it to run more than once.
    pub(super) async fn forward(
        self: &Arc<Self>,
        request: AdmittedRequest,
        in_flight: InFlightGuard,
        res: &mut Response,
    ) -> Result<(), Refusal> {
        match request.request_key.filter(|_| !request.repeatable) {
            Some(key) => self.run_once(request, key, in_flight, res).await,
            None => {
                let started = self.run_attempts(&request).await;
                let started = started.map_err(|reason| self.refusal(&request, reason))?;
                self.send_answer(Relay::new(self.clone(), started, &request, None, in_flight), res)
                    .await
            }
        }
    }

    /// Claims and runs a request that must run at most once, or writes its stored answer.
    async fn run_once(
        self: &Arc<Self>,
        request: AdmittedRequest,
        key: RequestKey,
        in_flight: InFlightGuard,
        res: &mut Response,
    ) -> Result<(), Refusal> {
        let granted = match self.claim(&request, key).await? {
            ClaimOutcome::Run(granted) => granted,
            ClaimOutcome::Answered(answer) => {
                answer.write(res);
                return Ok(());
            }
        };
        if request.kind == Kind::ChatStream {
            let relay = self.start_claimed(&request, granted, in_flight).await?;
            return self.send_answer(relay, res).await;
        }
        // Runs on if the client disconnects, so that the answer is stored for when the client repeats its request.
        let shared = self.clone();
        let running = tokio::spawn(async move {
            let relay = shared.start_claimed(&request, granted, in_flight).await?;
            relay.read_to_end().await
        });
        let answer = running.await.map_err(|_| Refusal::from_reason(Reason::AnswerLost))??;
        answer.write(res);
        Ok(())
    }

    /// Sends a claimed request; releases the claim when it is certain that no target ran the request.
    async fn start_claimed(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        granted: GrantedClaim,
        in_flight: InFlightGuard,
    ) -> Result<Relay, Refusal> {
        match self.run_attempts(request).await {
            Ok(started) => {
                Ok(Relay::new(self.clone(), started, request, Some(granted.key), in_flight))
            }
            Err(reason) => {
                if reason.outcome() == Outcome::NotRun {
                    self.release_claim(granted);
                }
                Err(self.refusal(request, reason))
            }
        }
    }

    /// The refusal of a request that was given up on. If targets are backing off, `Retry-After` is the time until the
    /// first of them can be sent requests again.
    fn refusal(&self, request: &AdmittedRequest, reason: Reason) -> Refusal {
        let wait = (reason == Reason::Resting).then(|| self.backoff_left(request)).flatten();
        Refusal::from_reason(reason).with_retry_after(wait)
    }

    /// Time until the first suitable target's back-off ends; `None` if no suitable target is backing off.
    pub(super) fn backoff_left(&self, request: &AdmittedRequest) -> Option<Duration> {
        let config = self.config();
        lock(&self.targets).backoff_left(self.now(), need(request), |name| config.closed(name))
    }

    /// Makes attempts until an answer begins or retry rules, retry budget or deadline allow no other.
    async fn run_attempts(
        self: &Arc<Self>,
        request: &AdmittedRequest,
    ) -> Result<StartedAnswer, Reason> {
        let mut attempts = Attempts::new(request.repeatable, request.deadline);
        let mut tried = Vec::new();
        loop {
            let reason = match self.try_target(request, &mut tried).await {
                Ok(started) => {
                    lock(&self.budget).earn();
                    return Ok(started);
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

    /// Relays an answer with its status and headers to the client.
    async fn send_answer(
        self: &Arc<Self>,
        relay: Relay,
        res: &mut Response,
    ) -> Result<(), Refusal> {
        let status = relay.status();
        let headers = relay.headers();
        relay_body(relay, res).await?;
        res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
        for (name, value) in &headers {
            if is_forwarded(name) {
                res.headers_mut().append(name.clone(), value.clone());
            }
        }
        Ok(())
    }

    /// One attempt: waits for a slot at a target, sends the request and waits until the answer's headers arrive.
    async fn try_target(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        tried: &mut Vec<String>,
    ) -> Result<StartedAnswer, Reason> {
        let now = self.now();
        if now >= request.deadline {
            return Err(Reason::DeadlinePassed);
        }
        let slot = self.wait_for_slot(request, tried).await?;
        let now = self.now();
        if now >= request.deadline {
            return Err(Reason::DeadlinePassed);
        }
        tried.push(slot.target.name.clone());
        let attempt = format!("{:032x}", rand::random::<u128>());
        let outgoing = self.target_request(request, &slot.target, &attempt, request.deadline - now);
        let sent = tokio::time::timeout(request.deadline - now, outgoing.send()).await;
        let name = &slot.target.name;
        let answer = match sent {
            Err(_) => return Err(Reason::AnswerLate),
            Ok(Err(error)) => {
                lock(&self.targets).failed(self.now(), name);
                return Err(send_error_reason(&error));
            }
            Ok(Ok(answer)) => answer,
        };
        self.check_answer(&answer, &attempt, &slot.target)?;
        lock(&self.targets).succeeded(self.now(), name);
        Ok(StartedAnswer { answer, attempt, slot })
    }

    fn target_request(
        &self,
        request: &AdmittedRequest,
        target: &Choice,
        attempt: &str,
        remaining: Duration,
    ) -> reqwest::RequestBuilder {
        let base = target.url.trim_end_matches('/');
        let outgoing = match &request.kind {
            Kind::Chat | Kind::ChatStream => self
                .http
                .post(format!("{base}/v1/chat/completions"))
                .header("content-type", "application/json")
                .header(ADAPTER, &request.policy.spec.adapter)
                .header(VERSION, &request.policy.spec.version),
            Kind::Service { path, method, .. } => self
                .http
                .request(method.clone(), format!("{base}{path}"))
                .headers(service_headers(&request.headers)),
        };
        outgoing
            .header(ATTEMPT, attempt)
            .header(PRIORITY, request.policy.priority.to_string())
            .header(TIME_LEFT, remaining.as_millis().to_string())
            .header(TEAM, &request.team)
            .body(request.body.clone())
    }

    /// Checks that the answer belongs to this attempt and that the target did not turn the request away; records a
    /// shutdown or back-off that the target announces.
    fn check_answer(
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
        if let Some(incarnation) = number_header(headers, LEAVING) {
            lock(&self.targets).mark_draining(&target.name, incarnation);
        }
        if let Some(backoff) = RetryAfter::of_refusal(answer.status(), headers) {
            lock(&self.targets).back_off(self.now(), target, backoff);
            self.metrics.backoffs.inc();
            info!(self.log, "target refused a request and asked for a back-off"; "event" => "target_rests",
                "target" => &target.name, "rest" => ?backoff);
        }
        if headers.contains_key(NOT_RUN) {
            return Err(Reason::TargetRefused);
        }
        Ok(())
    }
}

/// Reason for an error in sending: a request has certainly not run if no connection was made, otherwise it may have.
fn send_error_reason(error: &reqwest::Error) -> Reason {
    if error.is_connect() { Reason::ConnectFailed } else { Reason::AnswerLost }
}

fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn is_forwarded(name: &HeaderName) -> bool {
    !NOT_FORWARDED.contains(&name.as_str())
}

fn service_headers(from: &HeaderMap) -> HeaderMap {
    let forwarded =
        from.iter().filter(|(name, _)| is_forwarded(name) && *name != CHAT && *name != TEAM);
    let mut headers = HeaderMap::new();
    for (name, value) in forwarded {
        headers.append(name.clone(), HeaderValue::clone(value));
    }
    headers
}
