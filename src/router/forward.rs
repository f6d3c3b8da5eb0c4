//! Forwarding: the attempts of one request, until one is answered or it is given up on.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use salvo::Response;
use salvo::http::StatusCode;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::admission::{CHAT, DEADLINE, Kind, REQUEST_KEY, TEAM, Work};
use super::answer::Refusal;
use super::claim::{Claimed, Granted};
use super::http::InFlight;
use super::relay::{Relay, relay};
use super::{Shared, lock};
use crate::choice::{self, Candidate};
use crate::claims::RequestKey;
use crate::reason::{Outcome, Reason};
use crate::retry::{Attempts, Next};
use crate::retry_after::RetryAfter;
use crate::slots::{Ask, Decision, Place, TeamId, Wish};
use crate::targets::{Choice, Need};

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

/// Engines asked for a slot before a request waits, and for the prefix of a chat that returns.
const MAX_ASKS: usize = 8;
/// Longest silence of an owner after which a request is refused: one that has ended is found out meanwhile, one that
/// is busy may still answer, and any other router would have to ask the same.
const OWNER_PATIENCE: Duration = Duration::from_secs(5);
/// Longest wait before engines are asked again for a slot.
const ASK_AGAIN: Duration = Duration::from_millis(50);

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

/// A slot at a target, held while an attempt is in flight there.
pub(super) struct Slot {
    shared: Arc<Shared>,
    pub(super) target: Choice,
    /// What the owner of the target granted, if it was asked.
    granted: Option<Place>,
}

impl Slot {
    fn take(shared: Arc<Shared>, target: Choice, granted: Option<Place>) -> Self {
        lock(&shared.targets).begin(&target.name);
        Slot { shared, target, granted }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.shared.targets).end(&self.target.name);
        if let Some(place) = self.granted {
            self.shared.slots.give(self.shared.now(), place);
        }
        while let Some(next) = lock(&self.shared.queue).pop() {
            if next.send(()).is_ok() {
                break;
            }
        }
    }
}

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

    fn rest_left(&self, work: &Work) -> Option<Duration> {
        let config = self.config();
        lock(&self.targets).rest_left(self.now(), need(work), |name| config.closed(name))
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

    /// Takes a slot, or waits for one in the queue while every target is at its bound.
    async fn wait_for_slot(
        self: &Arc<Self>,
        work: &Work,
        tried: &[String],
    ) -> Result<Slot, Reason> {
        let mut waits: Option<(Reason, Duration)> = None;
        loop {
            let began = self.now();
            let reason = match self.choose(work, tried).await {
                Err(reason @ (Reason::Overloaded | Reason::OwnerSilent)) => reason,
                chosen => return chosen,
            };
            // What counts is how long it has waited for this reason without another in between.
            let since = match waits {
                Some((before, since)) if before == reason => since,
                _ => began,
            };
            waits = Some((reason, since));
            let left = self.left_to_wait(work, since);
            let waited = match reason {
                _ if left.is_zero() => false,
                Reason::Overloaded => self.wait_in_queue(work, left.min(ASK_AGAIN)).await,
                _ => {
                    let pause = ASK_AGAIN.mul_f64(rand::random_range(0.5..1.0));
                    tokio::time::sleep(left.min(pause)).await;
                    true
                }
            };
            if !waited {
                return Err(reason);
            }
        }
    }

    /// Time that a request may still wait that has waited since then.
    fn left_to_wait(&self, work: &Work, since: Duration) -> Duration {
        let longest = Duration::from_millis(self.settings.queue_wait_ms);
        work.deadline.min(since + longest).saturating_sub(self.now())
    }

    /// Waits for a slot to come free here, at most `longest`; false when the queue had no room.
    async fn wait_in_queue(&self, work: &Work, longest: Duration) -> bool {
        let (wakes, woken) = oneshot::channel();
        let (ticket, refused) = lock(&self.queue).push(work.policy.priority, wakes);
        // Dropping what wakes the last in order tells it that it is refused.
        drop(refused);
        match tokio::time::timeout(longest, woken).await {
            Ok(woken) => woken.is_ok(),
            Err(_) => {
                lock(&self.queue).remove(ticket);
                true
            }
        }
    }

    /// Takes a slot at the first target in the request's order that is below its bound.
    async fn choose(self: &Arc<Self>, work: &Work, tried: &[String]) -> Result<Slot, Reason> {
        let need = need(work);
        let config = self.config();
        let closed = |name: &str| config.closed(name);
        let mut choices = lock(&self.targets).candidates(self.now(), need, closed);
        let usable = choices.len();
        if usable == 0 {
            let rests = self.rest_left(work).is_some();
            return Err(if rests { Reason::Resting } else { Reason::NoTarget });
        }
        let most = self.settings.max_in_flight_per_target;
        if matches!(need, Need::Model(_)) && self.slots.ready() {
            choices.retain(|choice| choice.candidate.load < most);
            return self.ask_owners(work, tried, choices, usable).await;
        }
        if choices.iter().any(|choice| !tried.contains(&choice.name)) {
            choices.retain(|choice| !tried.contains(&choice.name));
        }
        let candidates: Vec<Candidate> = choices.iter().map(|choice| choice.candidate).collect();
        let total = candidates.iter().map(|candidate| candidate.load).sum::<usize>() + 1;
        let cap = choice::cap(total, candidates.len(), self.settings.load_bound).min(most);
        let chosen = choice::choose(work.key, &candidates, cap).ok_or(Reason::Overloaded)?;
        Ok(Slot::take(self.clone(), choices.swap_remove(chosen), None))
    }

    /// Asks for a slot at one of the engines, in the chat's order. For a chat that returns the owner
    /// first looks for its prefix at all of them.
    async fn ask_owners(
        self: &Arc<Self>,
        work: &Work,
        tried: &[String],
        mut choices: Vec<Choice>,
        usable: usize,
    ) -> Result<Slot, Reason> {
        let usable = u16::try_from(usable).unwrap_or(u16::MAX);
        // One that was tried comes last: the others may all be at their bound while it has room again.
        let order = |choice: &Choice| {
            let score = choice::score(work.key, choice.candidate.name);
            (tried.contains(&choice.name), Reverse(score))
        };
        choices.sort_by_cached_key(order);
        choices.truncate(MAX_ASKS);
        let untried = choices.iter().filter(|choice| !tried.contains(&choice.name)).count();
        let team = TeamId::new(&work.team);
        let ask = Ask {
            ticket: 0,
            team,
            targets: choices.iter().map(|choice| choice.candidate.name).collect(),
            homes: if work.first_turn { 0 } else { untried as u8 },
            usable,
            share: (work.policy.share_percent * 10.0) as u16,
            chat: work.key,
            wish: if work.first_turn { Wish::FirstTurn } else { Wish::Returning },
        };
        let now = self.now();
        match self.slots.ask(now, ask, OWNER_PATIENCE, work.deadline).await {
            Some(Decision::Granted(place)) => {
                let at = choices.iter().position(|choice| choice.candidate.name == place.target);
                let at = at.ok_or(Reason::OwnerSilent)?;
                Ok(Slot::take(self.clone(), choices.swap_remove(at), Some(place)))
            }
            Some(Decision::Full) => Err(Reason::Overloaded),
            Some(Decision::Undecided) => Err(Reason::OwnerSilent),
            None => {
                self.tell_silent(now, work);
                Err(Reason::OwnerSilent)
            }
        }
    }

    fn tell_silent(&self, asked_at: Duration, work: &Work) {
        let now = self.now();
        if let Some(stands_for) = lock(&self.silent_lines).keep(now) {
            warn!(self.log, "no answer to an ask for a slot"; "event" => "owner_silent",
                "team" => &work.team, "waited" => ?now.saturating_sub(asked_at),
                "stands_for" => stands_for);
        }
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
            lock(&self.targets).leave(&target.name, incarnation);
        }
        if let Some(rest) = RetryAfter::of_refusal(answer.status(), headers) {
            lock(&self.targets).rest(self.now(), target, rest);
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

/// What a request needs of a target.
fn need(work: &Work) -> Need<'_> {
    match &work.kind {
        Kind::Chat | Kind::ChatStream => Need::Model(&work.policy.spec),
        Kind::Service { name, .. } => Need::Service(name),
    }
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
