//! Requests that must run at most once across all routers: claimed before they are sent, answered
//! again from the router that ran them.

use std::sync::Arc;
use std::time::Duration;

use salvo::Response;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::http::{ResBody, StatusCode};

use super::admission::AdmittedRequest;
use super::answer_cache::StoredAnswer;
use super::refusal::Refusal;
use super::{Shared, lock};
use crate::claims::{Claim, Release, RequestKey, Verdict};
use crate::reason::Reason;
use crate::rpc::{ControlClient, ControlError};

/// Where routers ask each other for stored answers.
pub(super) const ANSWERS_PATH: &str = "/internal/answers/";
/// Status that the stored answer had.
pub(super) const STORED_STATUS_HEADER: &str = "latchmount-status";
/// Shows that another router of the partner asks.
pub(super) const PARTNER_KEY_HEADER: &str = "latchmount-key";
/// Longest time for one call to control.
pub(super) const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Before asking another member after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest time to ask another router for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A claim that was granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedClaim {
    pub(super) key: RequestKey,
    nonce: u64,
}

/// What came of asking for a claim.
pub(super) enum ClaimOutcome {
    /// Run it.
    Run(GrantedClaim),
    /// It ran already; this is its answer.
    Answered(StoredAnswer),
}

impl Shared {
    /// Claims the key of `work`, or finds what became of it.
    pub(super) async fn claim(
        &self,
        request: &AdmittedRequest,
        key: RequestKey,
    ) -> Result<ClaimOutcome, Refusal> {
        let nonce = rand::random();
        let claim =
            Claim { key, digest: request.digest(), router_url: self.url.clone(), nonce, now_ms: 0 };
        match self.request_claim(request, claim).await? {
            Verdict::Granted => Ok(ClaimOutcome::Run(GrantedClaim { key, nonce })),
            Verdict::Held { router_url } => match self.stored_answer(&router_url, key).await {
                Some(answer) => Ok(ClaimOutcome::Answered(answer)),
                None => Err(Refusal::from_reason(Reason::OutcomeUnknown)),
            },
            Verdict::Mismatch => Err(Refusal::from_reason(Reason::KeyReused)),
            Verdict::TooOld | Verdict::Ahead => Err(Refusal::from_reason(Reason::KeyTooOld)),
            Verdict::Full => Err(Refusal::from_reason(Reason::ClaimFailed)),
        }
    }

    /// Asks one member after the other; a resent claim is known by its nonce.
    async fn request_claim(
        &self,
        request: &AdmittedRequest,
        claim: Claim,
    ) -> Result<Verdict, Refusal> {
        let mut members = lock(&self.claim_members).clone();
        while self.now() < request.deadline {
            let reply = members.current().claim(self.key.clone(), claim.clone()).await;
            let error = match reply {
                Ok(verdict) => {
                    // The next claim begins with the member that answered this one.
                    *lock(&self.claim_members) = members;
                    return Ok(verdict);
                }
                Err(error) => ControlError::from(error),
            };
            members.turn(&error);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        // A claim that arrives late is not to stand in the way of a resent request.
        self.release_claim(GrantedClaim { key: claim.key, nonce: claim.nonce });
        Err(Refusal::from_reason(Reason::ClaimFailed))
    }

    /// Gives a claim back when its request truly did not run.
    pub(super) fn release_claim(&self, granted: GrantedClaim) {
        let release = Release { key: granted.key, nonce: granted.nonce };
        let (mut members, key) = (lock(&self.claim_members).clone(), self.key.clone());
        tokio::spawn(async move {
            for _ in 0..members.len() {
                match members.current().release(key.clone(), release).await {
                    Ok(()) => return,
                    Err(error) => members.turn(&error.into()),
                }
            }
        });
    }

    /// The answer that the router at `router_url` has stored, if it can be had.
    async fn stored_answer(&self, router_url: &str, key: RequestKey) -> Option<StoredAnswer> {
        if router_url == self.url {
            return lock(&self.answer_cache).get(key);
        }
        let url = format!("{router_url}{ANSWERS_PATH}{:032x}", key.0);
        let asked =
            self.http.get(url).header(PARTNER_KEY_HEADER, &self.key).timeout(ANSWER_TIMEOUT);
        let answer = asked.send().await.ok()?;
        let status = answer.headers().get(STORED_STATUS_HEADER)?.to_str().ok()?.parse().ok()?;
        let content_type = answer.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = answer.error_for_status().ok()?.bytes().await.ok()?;
        Some(StoredAnswer { status, content_type, body })
    }

    /// Keeps the whole answer of a claimed request.
    pub(super) fn store_answer(self: &Arc<Self>, key: RequestKey, answer: StoredAnswer) {
        lock(&self.answer_cache).put(self.now(), key, answer);
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
