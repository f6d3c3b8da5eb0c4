//! Requests that must run at most once across all routers. A router claims the request's key from the control group
//! before it sends the request to a target; a repeated request gets the answer stored by the router that holds the
//! claim.

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

/// Path at which routers fetch stored answers from each other.
pub(super) const ANSWERS_PATH: &str = "/internal/answers/";
/// Header with the HTTP status of the stored answer; the status of the transfer itself is 200.
pub(super) const STORED_STATUS_HEADER: &str = "latchmount-status";
/// Header with the partner's secret key, which proves that the request comes from another router of the partner.
pub(super) const PARTNER_KEY_HEADER: &str = "latchmount-key";
/// Timeout of one call to a control member.
pub(super) const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next control member is tried after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Timeout for fetching a stored answer from another router.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A claim that the control group granted to this router.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedClaim {
    pub(super) key: RequestKey,
    nonce: u64,
}

/// What to do with a request after its claim was decided.
pub(super) enum ClaimOutcome {
    /// This router may run it.
    Run(GrantedClaim),
    /// It has already run; this is its stored answer.
    Answered(StoredAnswer),
}

impl Shared {
    /// Claims `key` for `request`, or fetches the stored answer from the router that claimed it before.
    ///
    /// Refuses when that answer can't be fetched, the key was used for another request or is outside its time window,
    /// or the control group did not record the claim in time.
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

    /// Tries the control members in turn until one answers or the request's deadline passes. The nonce lets the control
    /// group recognise a claim that is sent again.
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
                    // The next claim starts with the member that answered this one.
                    *lock(&self.claim_members) = members;
                    return Ok(verdict);
                }
                Err(error) => ControlError::from(error),
            };
            members.switch_member(&error);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        // The control group may still record the claim late, which would block the request when the client repeats it.
        self.release_claim(GrantedClaim { key: claim.key, nonce: claim.nonce });
        Err(Refusal::from_reason(Reason::ClaimFailed))
    }

    /// Releases the claim of a request that no target ran, so that any router may run it. Tries each control member
    /// once in the background; a failure is ignored.
    pub(super) fn release_claim(&self, granted: GrantedClaim) {
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

    /// The answer stored by the router at `router_url`; `None` if it has none or can't be reached.
    async fn stored_answer(&self, router_url: &str, key: RequestKey) -> Option<StoredAnswer> {
        if router_url == self.url {
            return lock(&self.answer_cache).get(key);
        }
        let url = format!("{router_url}{ANSWERS_PATH}{:032x}", key.0);
        let fetch =
            self.http.get(url).header(PARTNER_KEY_HEADER, &self.key).timeout(ANSWER_TIMEOUT);
        let answer = fetch.send().await.ok()?;
        let status = answer.headers().get(STORED_STATUS_HEADER)?.to_str().ok()?.parse().ok()?;
        let content_type = answer.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = answer.error_for_status().ok()?.bytes().await.ok()?;
        Some(StoredAnswer { status, content_type, body })
    }

    /// Caches the complete answer of a claimed request.
    pub(super) fn store_answer(self: &Arc<Self>, key: RequestKey, answer: StoredAnswer) {
        lock(&self.answer_cache).put(self.now(), key, answer);
    }
}

impl StoredAnswer {
    /// Writes the answer to the client.
    pub(super) fn write(self, res: &mut Response) {
        res.status_code(StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY));
        let content_type = self.content_type.and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(content_type) = content_type {
            res.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        res.body(ResBody::Once(self.body));
    }
}
