//! HTTP client for the platform that hosts the targets: reads its list of targets, which lags behind reality, and calls
//! single targets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use reqwest::StatusCode;
use reqwest::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::targets::Listing;

/// A request to the platform or to a target failed.
#[derive(Debug, thiserror::Error)]
#[error("request to the platform or a target failed: {0}")]
pub struct PlatformError(#[from] reqwest::Error);

/// Answer header with the age of the list, in milliseconds.
const LIST_AGE_HEADER: &str = "x-list-age-ms";

/// A client for the platform and its targets.
#[derive(Clone, Debug)]
pub struct Platform {
    http: reqwest::Client,
    list_url: String,
    /// The last list read, for conditional requests: the platform does not send an unchanged list again.
    last: Arc<Mutex<Option<CachedList>>>,
}

/// A list with its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
    tag: HeaderValue,
    listing: Listing,
}

/// Result of reading the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListResponse {
    /// The list.
    pub listing: Listing,
    /// Size of the URL and tag sent, in bytes.
    pub sent_bytes: usize,
    /// Size of the body received, in bytes; 0 when the list has not changed.
    pub received_bytes: usize,
}

impl Platform {
    /// Creates a client for the platform at `url`.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        let list_url = format!("{}/targets", url.trim_end_matches('/'));
        Platform { http, list_url, last: Arc::default() }
    }

    /// Reads the list; the cached one if it has not changed.
    ///
    /// # Errors
    /// When the request fails or there is no complete answer within `timeout`.
    pub async fn list(&self, timeout: Duration) -> Result<ListResponse, PlatformError> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut request = self.http.get(&self.list_url).timeout(timeout);
        let mut sent_bytes = self.list_url.len();
        if let Some(last) = &last {
            request = request.header(IF_NONE_MATCH, last.tag.clone());
            sent_bytes += last.tag.len();
        }
        let answer = request.send().await?.error_for_status()?;
        let age =
            answer.headers().get(LIST_AGE_HEADER).and_then(|age| age.to_str().ok()?.parse().ok());
        let tag = answer.headers().get(ETAG).cloned();
        let unchanged = last.filter(|_| answer.status() == StatusCode::NOT_MODIFIED);
        let (mut listing, received_bytes) = match unchanged {
            Some(last) => (last.listing, 0),
            None => {
                let bytes = answer.content_length().unwrap_or_default() as usize;
                (answer.json::<Listing>().await?, bytes)
            }
        };
        listing.age_ms = age.unwrap_or(listing.age_ms);
        if let Some(tag) = tag {
            let cached = CachedList { tag, listing: listing.clone() };
            *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Some(cached);
        }
        Ok(ListResponse { listing, sent_bytes, received_bytes })
    }

    /// Reads `path` of the target at `url`.
    ///
    /// # Errors
    /// When the request fails or there is no complete answer within `timeout`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let url = format!("{}{path}", url.trim_end_matches('/'));
        let answer = self.http.get(url).timeout(timeout).send().await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    /// Sends `message` to `path` of the target at `url`.
    ///
    /// # Errors
    /// When the target answers with an error status, or does not answer within `timeout`.
    pub async fn post(
        &self,
        url: &str,
        path: &str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<(), PlatformError> {
        let url = format!("{}{path}", url.trim_end_matches('/'));
        let answer = self.http.post(url).json(message).timeout(timeout).send().await?;
        answer.error_for_status()?;
        Ok(())
    }
}
