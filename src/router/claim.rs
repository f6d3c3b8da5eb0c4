//! Requests that must run at most once across all routers: claimed before they are sent, answered
//! again from the router that ran them.

use std::sync::Arc;
use std::time::Duration;

use salvo::Response;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::http::{ResBody, StatusCode};

use super::admission::Work;
use super::answer::Refusal;
use super::answers::StoredAnswer;
use super::{Shared, lock};
use crate::claims::{Claim, Release, RequestKey, Verdict};
use crate::reason::Reason;
use crate::rpc::{ControlClient, ControlError};

/// Where routers ask each other for stored answers.
pub(super) const ANSWERS_PATH: &str = "/internal/answers/";
/// Status that the stored answer had.
pub(super) const STORED_STATUS: &str = "latchmount-status";
/// Shows that another router of the partner asks.
pub(super) const KEY_HEADER: &str = "latchmount-key";
/// Longest time for one call to control.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Before asking another member after a failure.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest time to ask another router for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A claim that was granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Granted {
    pub(super) key: RequestKey,
    nonce: u64,
}

/// What came of asking for a claim.
pub(super) enum Claimed {
    /// Run it.
    Run(Granted),
    /// It ran already; this is its answer.
    Answered(StoredAnswer),
}

impl Shared {
    /// Claims the key of `work`, or finds what became of it.
    pub(super) async fn claim(&self, work: &Work, key: RequestKey) -> Result<Claimed, Refusal> {
        let nonce = rand::random();
        let claim =
            Claim { key, digest: work.digest(), router_url: self.url.clone(), nonce, now_ms: 0 };
        match self.ask_for_claim(work, claim).await? {
            Verdict::Granted => Ok(Claimed::Run(Granted { key, nonce })),
            Verdict::Held { router_url } => match self.stored_answer(&router_url, key).await {
                Some(answer) => Ok(Claimed::Answered(answer)),
                None => Err(Refusal::plain(Reason::OutcomeUnknown)),
            },
            Verdict::Mismatch => Err(Refusal::plain(Reason::KeyReused)),
            Verdict::TooOld | Verdict::Ahead => Err(Refusal::plain(Reason::KeyTooOld)),
            Verdict::Full => Err(Refusal::plain(Reason::ClaimFailed)),
        }
    }

    /// Asks one member after the other; a resent claim is known by its nonce.
    async fn ask_for_claim(&self, work: &Work, claim: Claim) -> Result<Verdict, Refusal> {
        let mut members = lock(&self.claim_members).clone();
        while self.now() < work.deadline {
            let reply = members.current().claim(self.key.clone(), claim.clone()).await;
            let error = match reply {
                Ok(verdict) => {
                    // The next claim begins with the member that answered this one.
                    *lock(&self.claim_members) = members;
                    return Ok(verdict);
                }
                Err(error) => ControlError::from(error),
            };
            members.switch_member(&error);
            tokio::time::sleep(PAUSE).await;
        }
        // A claim that arrives late is not to stand in the way of a resent request.
        self.give_back(Granted { key: claim.key, nonce: claim.nonce });
        Err(Refusal::plain(Reason::ClaimFailed))
    }

    /// Gives a claim back when its request truly did not run.
    pub(super) fn give_back(&self, granted: Granted) {
        let release = Release { key: granted.key, nonce: granted.nonce };
        let (mut members, key) = (lock(&self.claim_members).clone(), self.key.clone());
        tokio::spawn(async move {
            for _ in 0..members.len() {
                match members.current().release(key.clone(), release).await {
                    Ok(()) => return,
                    Err(error) => members.switch_member(&error.into()),
                }
            }
        });
    }

    /// The answer that the router at `router_url` has stored, if it can be had.
    async fn stored_answer(&self, router_url: &str, key: RequestKey) -> Option<StoredAnswer> {
        if router_url == self.url {
            return lock(&self.answers).get(key);
        }
        let url = format!("{router_url}{ANSWERS_PATH}{:032x}", key.0);
        let asked = self.http.get(url).header(KEY_HEADER, &self.key).timeout(ANSWER_TIMEOUT);
        let answer = asked.send().await.ok()?;
        let status = answer.headers().get(STORED_STATUS)?.to_str().ok()?.parse().ok()?;
        let content_type = answer.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = answer.error_for_status().ok()?.bytes().await.ok()?;
        Some(StoredAnswer { status, content_type, body })
    }

    /// Keeps the whole answer of a claimed request.
    pub(super) fn store_answer(self: &Arc<Self>, key: RequestKey, answer: StoredAnswer) {
        lock(&self.answers).put(self.now(), key, answer);
    }
}

impl StoredAnswer {
    /// Writes the answer for the caller.
    pub(super) fn write(self, res: &mut Response) {
        res.status_code(StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY));
        let content_type = self.content_type.and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(content_type) = content_type {
            res.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        res.body(ResBody::Once(self.body));
    }
}
