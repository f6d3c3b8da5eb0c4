//! Limits the rate of what a member sends to gateways to a share of its link; senders take turns.
//!
//! Thousands of targets sent to each of a hundred gateways fill a small link for seconds. Raft heartbeats would queue
//! behind that, and the group would lose its leader.

use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};
use tokio::time::Instant;

/// Bytes per second in 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Share of the link for small blobs: changes of targets, such as those that shut down, and most configurations. They
/// must not queue behind anything else.
pub const SMALL_BLOBS_SHARE: f64 = 0.25;
/// Share of the link for large blobs, which gateways relay to peers. With the small ones and the loads (0.25 at most),
/// this leaves a fifth of the link for Raft and for calls.
pub const LARGE_BLOBS_SHARE: f64 = 0.3;

/// Share of the link for reports of suspected poison requests. In a simulation of 372 gateways and 790 targets, a tenth
/// of which end each second, each member would send some 2 MB/s of them, over a link of 6 Mbit/s that carries 0.75
/// MB/s.
pub const POISON_SHARE: f64 = 0.1;

/// What may be sent of large blobs at once after an idle time, as the time that it takes at their share of the link.
/// After a power loss many gateways start together, and refuse their clients until some have everything and relay it.
/// It is 22 KB on 6 Mbit/s; a larger burst would delay the messages that name peers to fetch from.
pub const LARGE_BLOBS_BURST: Duration = Duration::from_millis(100);

/// Lets senders go one after the other, as fast as the rate allows.
#[derive(Debug)]
pub struct Pacer {
    /// When the bytes sent so far are through, at the rate.
    free_at: Mutex<Instant>,
    bytes_per_s: f64,
    /// How long before `free_at` the next sender may go.
    burst: Duration,
}

/// The turn to send; held by one sender until it is spent or dropped.
pub struct Turn<'a> {
    free_at: MutexGuard<'a, Instant>,
    bytes_per_s: f64,
}

impl Pacer {
    /// Creates a pacer for a share of the link, from 0 to 1.
    pub fn new(link_mbps: f64, share: f64) -> Self {
        let bytes_per_s = link_mbps * BYTES_PER_MBIT * share;
        Pacer { free_at: Mutex::new(Instant::now()), bytes_per_s, burst: Duration::ZERO }
    }

    /// Allows a burst after an idle time, given as the time that it takes at the rate.
    pub fn with_burst(self, burst: Duration) -> Self {
        Pacer { burst, ..self }
    }

    /// How long sending this many bytes takes at the rate.
    pub fn send_time(&self, bytes: usize) -> Duration {
        send_time(bytes, self.bytes_per_s)
    }

    /// Waits for a turn, in the order of the calls.
    pub async fn turn(&self) -> Turn<'_> {
        let free_at = self.free_at.lock().await;
        tokio::time::sleep_until(*free_at - self.burst).await;
        Turn { free_at, bytes_per_s: self.bytes_per_s }
    }
}

impl Turn<'_> {
    /// Ends the turn after sending this many bytes, and delays the next one by the time that they take.
    pub fn spend(mut self, bytes: usize) {
        *self.free_at = Instant::now().max(*self.free_at) + send_time(bytes, self.bytes_per_s);
    }
}

fn send_time(bytes: usize, bytes_per_s: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_s)
}
