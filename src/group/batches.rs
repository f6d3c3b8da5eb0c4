//! Announcements that bring news wait here for each other, and go to the leader together.
//!
//! When thousands of targets start at once, a call and an entry of the log for each would take the leader longer than
//! the targets wait, who then come again and make it worse. While calls are under way the next announcements gather;
//! where none is, one goes at once.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::heartbeats::HeartbeatOutcome;
use super::message::{Call, Reply};
use super::{Shared, Unavailable};
use crate::directory::Announcement;
use crate::sync::lock;

/// Most announcements of one batch: at some 250 bytes each an entry of 50 KB, 70 ms of a link of 6 Mbit/s by computation.
const MOST_IN_BATCH: usize = 200;
/// Most announcements that wait. At 200 in each of two batches a leader that takes 300 ms for one has them done in the
/// second that a target waits; who comes to a full queue is told at once to come later.
const MOST_WAITING: usize = 1_400;
/// Batches that one member has under way at the leader.
const UNDER_WAY: usize = 2;

/// What waits for an announcement's answer.
type Waiter = oneshot::Sender<Result<HeartbeatOutcome, Unavailable>>;

/// An announcement that waits.
struct Waiting {
    announcement: Announcement,
    waiter: Waiter,
}

/// Announcements that wait.
#[derive(Default)]
pub(super) struct Batches {
    waiting: Mutex<VecDeque<Waiting>>,
    wake: Notify,
}

impl Batches {
    /// Puts an announcement in the next batch; `None` where too many wait.
    fn push(
        &self,
        announcement: Announcement,
    ) -> Option<oneshot::Receiver<Result<HeartbeatOutcome, Unavailable>>> {
        let (waiter, answer) = oneshot::channel();
        let mut waiting = lock(&self.waiting);
        if waiting.len() >= MOST_WAITING {
            return None;
        }
        waiting.push_back(Waiting { announcement, waiter });
        self.wake.notify_one();
        Some(answer)
    }

    /// The next batch, the oldest first, without those whose targets have gone meanwhile.
    fn take(&self) -> Vec<Waiting> {
        let mut waiting = lock(&self.waiting);
        waiting.retain(|one| !one.waiter.is_closed());
        let count = waiting.len().min(MOST_IN_BATCH);
        let batch = waiting.drain(..count).collect();
        if !waiting.is_empty() {
            self.wake.notify_one();
        }
        batch
    }

    /// Announcements that wait.
    pub(super) fn len(&self) -> usize {
        lock(&self.waiting).len()
    }
}

impl Shared {
    /// Has an announcement go to the leader with the next batch, and waits for its answer.
    pub(super) async fn announce(
        &self,
        announcement: Announcement,
    ) -> Result<HeartbeatOutcome, Unavailable> {
        let answer = self.batches.push(announcement).ok_or(Unavailable)?;
        let longest = Duration::from_millis(self.settings.answer_within_ms);
        match tokio::time::timeout(longest, answer).await {
            Ok(Ok(taken)) => taken,
            _ => Err(Unavailable),
        }
    }

    async fn carry_batch(&self, batch: Vec<Waiting>) {
        let mut left = VecDeque::from(batch);
        while !left.is_empty() {
            let announcements = left.iter().map(|one| one.announcement.clone()).collect();
            let reply = self.call_leader(Call::Announce(announcements)).await;
            let taken = reply.ok().and_then(taken);
            if taken.is_some() {
                lock(&self.heard).confirm(self.now());
            }
            let Some(taken) = taken.filter(|taken| !taken.is_empty()) else {
                for one in left {
                    // A target that has gone waits for nothing.
                    let _ = one.waiter.send(Err(Unavailable));
                }
                return;
            };
            for (one, taken) in left.drain(..taken.len().min(left.len())).zip(taken) {
                // As above.
                let _ = one.waiter.send(Ok(taken));
            }
        }
    }
}

/// What a leader took of a batch, from its beginning: one of the first build takes a single announcement.
fn taken(reply: Reply) -> Option<Vec<HeartbeatOutcome>> {
    match reply {
        Reply::Announced(taken) => Some(taken),
        Reply::Answer(_) => Some(vec![HeartbeatOutcome::Changed]),
        Reply::Done => Some(vec![HeartbeatOutcome::Unchanged]),
        _ => None,
    }
}

/// Carries batches to the leader, a few at a time.
pub(super) fn spawn_senders(shared: &Arc<Shared>) {
    for _ in 0..UNDER_WAY {
        let shared = shared.clone();
        tokio::spawn(async move {
            loop {
                shared.batches.wake.notified().await;
                let batch = shared.batches.take();
                if !batch.is_empty() {
                    shared.carry_batch(batch).await;
                }
            }
        });
    }
}
