//! Keeps what a member sends under a part of its link, in turns.
//!
//! A list of thousands of targets to each of a hundred gateways fills a small link for seconds;
//! heartbeats of the agreement would wait behind it, and the group would lose its leader.

use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};
use tokio::time::Instant;

/// Bytes a second for each Mbit/s of a link.
const BYTES_OF_MBIT: f64 = 125_000.0;

/// Lets senders go one after the other, as fast as the rate allows.
#[derive(Debug)]
pub(super) struct Pacer {
    /// When the next sender may go.
    free_at: Mutex<Instant>,
    bytes_per_s: f64,
}

/// The turn to send; no other has it until it is spent or dropped.
pub(super) struct Turn<'a> {
    free_at: MutexGuard<'a, Instant>,
    bytes_per_s: f64,
}

impl Pacer {
    /// Keeps senders under `part` of a link.
    pub(super) fn new(link_mbps: f64, part: f64) -> Self {
        let bytes_per_s = link_mbps * BYTES_OF_MBIT * part;
        Pacer { free_at: Mutex::new(Instant::now()), bytes_per_s }
    }

    /// Waits for a turn; those that wait longest go first.
    pub(super) async fn turn(&self) -> Turn<'_> {
        let free_at = self.free_at.lock().await;
        tokio::time::sleep_until(*free_at).await;
        Turn { free_at, bytes_per_s: self.bytes_per_s }
    }
}

impl Turn<'_> {
    /// Sends so many bytes, after which the next sender waits for as long as they take.
    pub(super) fn spend(mut self, bytes: usize) {
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *self.free_at = Instant::now() + takes;
    }
}
