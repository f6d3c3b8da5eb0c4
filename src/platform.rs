//! The platform's side: its lagging list of hosts and targets, and calls to single targets.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::targets::Listing;

/// The platform or a target did not answer as it should.
#[derive(Debug, thiserror::Error)]
#[error("the platform can't be asked: {0}")]
pub struct PlatformError(#[from] reqwest::Error);

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    http: reqwest::Client,
    list_url: String,
}

/// A list that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadList {
    /// The list.
    pub listing: Listing,
    /// Bytes sent for it: the URL.
    pub sent_bytes: usize,
    /// Bytes received: the body.
    pub received_bytes: usize,
}

impl Platform {
    /// A client of the platform at `url`.
    pub fn new(http: reqwest::Client, url: &str) -> Self {
        let list_url = format!("{}/targets", url.trim_end_matches('/'));
        Platform { http, list_url }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// When it is not answered whole within `timeout`.
    pub async fn list(&self, timeout: Duration) -> Result<ReadList, PlatformError> {
        let answer = self.http.get(&self.list_url).timeout(timeout).send().await?;
        let answer = answer.error_for_status()?;
        let received_bytes = answer.content_length().unwrap_or_default() as usize;
        let listing = answer.json().await?;
        Ok(ReadList { listing, sent_bytes: self.list_url.len(), received_bytes })
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
