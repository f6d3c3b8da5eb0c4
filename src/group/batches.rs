//! Sends announcements that change the directory to the leader in batches.
//!
//! When thousands of targets start at once, a call and a log entry for each would take the leader longer than the
//! targets wait for the answer; they would then retry and add to the load. While [`CONCURRENT_BATCHES`] calls are in
//! progress, new announcements queue up for the next batch; otherwise an announcement is sent at once.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::heartbeats::HeartbeatOutcome;
use super::message::{Call, Reply};
use super::{Shared, Unavailable};
use crate::directory::Announcement;
use crate::sync::lock;

/// Announcements per batch. At some 250 bytes each, a batch is an entry of 50 KB, which takes 70 ms on a link of
/// 6 Mbit/s (computed).
const MAX_BATCH_LEN: usize = 200;
/// Queued announcements. With two batches of 200 in progress, a leader that takes 300 ms for each finishes this many in
/// the second that a target waits. Beyond that, a target is refused at once and has to retry later.
const MAX_QUEUED: usize = 1_400;
/// Batches that one member has in progress at the leader.
const CONCURRENT_BATCHES: usize = 2;

/// Where the answer to an announcement goes.
type AnswerSender = oneshot::Sender<Result<HeartbeatOutcome, Unavailable>>;

/// An announcement that waits for a batch.
struct Queued {
    announcement: Announcement,
    answer: AnswerSender,
}

/// Queue of the announcements that wait for a batch.
#[derive(Default)]
pub(super) struct Batches {
    queue: Mutex<VecDeque<Queued>>,
    wake: Notify,
}

impl Batches {
    /// Queues an announcement, and returns where its answer arrives; `None` if the queue is full.
    fn push(
        &self,
        announcement: Announcement,
    ) -> Option<oneshot::Receiver<Result<HeartbeatOutcome, Unavailable>>> {
        let (answer, receiver) = oneshot::channel();
        let mut queue = lock(&self.queue);
        if queue.len() >= MAX_QUEUED {
            return None;
        }
        queue.push_back(Queued { announcement, answer });
        self.wake.notify_one();
        Some(receiver)
    }

    /// Takes the next batch, the oldest first. Announcements that no one waits for any more are dropped.
    fn take(&self) -> Vec<Queued> {
        let mut queue = lock(&self.queue);
        queue.retain(|queued| !queued.answer.is_closed());
        let count = queue.len().min(MAX_BATCH_LEN);
        let batch = queue.drain(..count).collect();
        if !queue.is_empty() {
            self.wake.notify_one();
        }
        batch
    }

    /// Number of queued announcements.
    pub(super) fn len(&self) -> usize {
        lock(&self.queue).len()
    }
}

impl Shared {
    /// Sends an announcement to the leader with the next batch, and waits for the answer.
    pub(super) async fn announce(
        &self,
        announcement: Announcement,
    ) -> Result<HeartbeatOutcome, Unavailable> {
        let answer = self.batches.push(announcement).ok_or(Unavailable)?;
        let timeout = Duration::from_millis(self.settings.answer_within_ms);
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(Unavailable),
        }
    }

    /// Sends a batch to the leader, in further calls too if the leader handles only part of it.
    async fn send_batch(&self, batch: Vec<Queued>) {
        let mut remaining = VecDeque::from(batch);
        while !remaining.is_empty() {
            let announcements =
                remaining.iter().map(|queued| queued.announcement.clone()).collect();
            let reply = self.call_leader(Call::Announce(announcements)).await;
            let outcomes = reply.ok().and_then(outcomes);
            if outcomes.is_some() {
                lock(&self.pending_report).confirm(self.now());
            }
            let Some(outcomes) = outcomes.filter(|outcomes| !outcomes.is_empty()) else {
                for queued in remaining {
                    // Fails if the target has disconnected; nothing is lost then.
                    let _ = queued.answer.send(Err(Unavailable));
                }
                return;
            };
            for (queued, outcome) in
                remaining.drain(..outcomes.len().min(remaining.len())).zip(outcomes)
            {
                // As above.
                let _ = queued.answer.send(Ok(outcome));
            }
        }
    }
}

/// Outcomes of a batch's first announcements. A leader of the first build in production handles a single one and
/// replies with [`Reply::Answer`] or [`Reply::Done`].
fn outcomes(reply: Reply) -> Option<Vec<HeartbeatOutcome>> {
    match reply {
        Reply::Announced(outcomes) => Some(outcomes),
        Reply::Answer(_) => Some(vec![HeartbeatOutcome::Changed]),
        Reply::Done => Some(vec![HeartbeatOutcome::Unchanged]),
        _ => None,
    }
}

/// Spawns the tasks that send batches to the leader, one for each concurrent batch.
pub(super) fn spawn_senders(shared: &Arc<Shared>) {
    for _ in 0..CONCURRENT_BATCHES {
        let shared = shared.clone();
        tokio::spawn(async move {
            loop {
                shared.batches.wake.notified().await;
                let batch = shared.batches.take();
                if !batch.is_empty() {
                    shared.send_batch(batch).await;
                }
            }
        });
    }
}
