//! Keeps what a member sends under a part of its link, in turns.
//!
//! A list of thousands of targets to each of a hundred gateways fills a small link for seconds;
//! heartbeats of the agreement would wait behind it, and the group would lose its leader.

use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};
use tokio::time::Instant;

/// Bytes a second for each Mbit/s of a link.
const BYTES_OF_MBIT: f64 = 125_000.0;

/// Part of the link for small parcels: word of targets that leave, and most configurations, which
/// nothing else may keep waiting.
pub const SMALL_BLOBS_SHARE: f64 = 0.25;
/// Part of the link for large parcels, which gateways pass on. With the small ones and with words about
/// loads (0.25 at most) a fifth of the link is left for the agreement and for calls.
pub const LARGE_BLOBS_SHARE: f64 = 0.3;

/// Part of the link for word of requests under which targets ended. In virtual time 372 gateways of 790 targets, a tenth of
/// which end each second, would be told some 2 MB a second by each member, of the 0.75 MB that a link of 6 Mbit/s takes.
pub const POISON_SHARE: f64 = 0.1;

/// What may be sent of large parcels at once after a rest, as time that it takes at their part of
/// the link: after a loss of all power many gateways start together, and refuse their clients until
/// some have everything and pass it on. It is 22 KB on 6 Mbit/s; more would keep
/// the names of those that have it waiting.
pub const LARGE_BLOBS_BURST: Duration = Duration::from_millis(100);

/// Lets senders go one after the other, as fast as the rate allows.
#[derive(Debug)]
pub struct Pacer {
    /// When the next sender may go.
    free_at: Mutex<Instant>,
    bytes_per_s: f64,
    /// How long before that a sender may go already.
    burst: Duration,
}

/// The turn to send; no other has it until it is spent or dropped.
pub struct Turn<'a> {
    free_at: MutexGuard<'a, Instant>,
    bytes_per_s: f64,
}

impl Pacer {
    /// Keeps senders under `part` of a link.
    pub fn new(link_mbps: f64, part: f64) -> Self {
        let bytes_per_s = link_mbps * BYTES_OF_MBIT * part;
        Pacer { free_at: Mutex::new(Instant::now()), bytes_per_s, burst: Duration::ZERO }
    }

    /// The same, where what is sent in so much time may go at once after a rest.
    pub fn with_burst(self, burst: Duration) -> Self {
        Pacer { burst, ..self }
    }

    /// How long so many bytes keep the next sender waiting.
    pub fn send_time(&self, bytes: usize) -> Duration {
        takes(bytes, self.bytes_per_s)
    }

    /// Waits for a turn; those that wait longest go first.
    pub async fn turn(&self) -> Turn<'_> {
        let free_at = self.free_at.lock().await;
        tokio::time::sleep_until(*free_at - self.burst).await;
        Turn { free_at, bytes_per_s: self.bytes_per_s }
    }
}

impl Turn<'_> {
    /// Sends so many bytes, after which the next sender waits for as long as they take.
    pub fn spend(mut self, bytes: usize) {
        *self.free_at = Instant::now().max(*self.free_at) + takes(bytes, self.bytes_per_s);
    }
}

fn takes(bytes: usize, bytes_per_s: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_s)
}
