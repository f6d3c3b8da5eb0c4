//! The platform's side: its lagging list of hosts and targets, and calls to single targets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use reqwest::StatusCode;
use reqwest::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::targets::Listing;

/// The platform or a target did not answer as it should.
#[derive(Debug, thiserror::Error)]
#[error("the platform can't be asked: {0}")]
pub struct PlatformError(#[from] reqwest::Error);

/// Age of the list, in milliseconds, as the platform tells it with every answer.
const LIST_AGE_HEADER: &str = "x-list-age-ms";

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    http: reqwest::Client,
    list_url: String,
    /// The last list read, with its tag: an unchanged list is not sent again.
    last: Arc<Mutex<Option<CachedList>>>,
}

#[derive(Clone, Debug)]
struct CachedList {
    tag: HeaderValue,
    listing: Listing,
}

/// A list that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct ListResponse {
    /// The list.
    pub listing: Listing,
    /// Bytes sent for it: URL and tag.
    pub sent_bytes: usize,
    /// Bytes received: the body, empty when nothing has changed.
    pub received_bytes: usize,
}

impl Platform {
    /// A client of the platform at `url`.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        let list_url = format!("{}/targets", url.trim_end_matches('/'));
        Platform { http, list_url, last: Arc::default() }
    }

    /// Reads the list, or finds that it has not changed.
    ///
    /// # Errors
    /// When it is not answered whole within `timeout`.
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
    /// When it is not answered whole within `timeout`.
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
    /// When the target refuses, or does not answer within `timeout`.
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
