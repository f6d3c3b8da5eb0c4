//! Outgoing connections to other members, for Raft messages, reports, and calls with their replies.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::message::{Call, FromMember, Reply, ToMember};
use crate::link::{FrameReceiver, FrameSender, LinkError, LinkTimeouts, dial};
use crate::sync::lock;

/// Frames queued for one peer. Frames beyond that are dropped, which Raft tolerates.
const QUEUE_LEN: usize = 256;
/// Pause after a failed connection attempt; frames that were queued for the peer by its end are dropped.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Timeouts of connections between members.
pub(super) const LINK_TIMING: LinkTimeouts = LinkTimeouts {
    connect: Duration::from_millis(500),
    unacknowledged: Duration::from_millis(1_000),
};

/// A call failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// There was no reply in time; the call may have been carried out.
    #[error("no reply from the member in time; the call may have been carried out")]
    NoReply,
}

/// Calls that wait for a reply, by their ids.
type PendingCalls = Arc<Mutex<HashMap<u64, oneshot::Sender<Reply>>>>;

/// Connections to the other members, each opened when the first frame is sent to its address.
#[derive(Clone)]
pub(super) struct Peers {
    /// Local address that connections are made from, if one is set.
    source: Option<IpAddr>,
    queues: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<ToMember>>>>,
    pending: PendingCalls,
    next_call: Arc<AtomicU64>,
}

impl Peers {
    pub(super) fn new(source: Option<IpAddr>) -> Self {
        Peers { source, queues: Arc::default(), pending: Arc::default(), next_call: Arc::default() }
    }

    /// Queues a frame for a member, or drops it if the queue is full.
    pub(super) fn send(&self, addr: SocketAddr, frame: ToMember) {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(addr).or_insert_with(|| {
            let (queue, frames) = mpsc::channel(QUEUE_LEN);
            tokio::spawn(run(self.source, addr, frames, self.pending.clone()));
            queue
        });
        let _ = queue.try_send(frame);
    }

    /// Calls a member and waits for its reply.
    pub(super) async fn call(
        &self,
        addr: SocketAddr,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let id = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, reply) = oneshot::channel();
        self.pending().insert(id, sender);
        self.send(addr, ToMember::Call { id, call });
        let reply = tokio::time::timeout(timeout, reply).await;
        self.pending().remove(&id);
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(CallError::NoReply),
        }
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Reply>>> {
        lock(&self.pending)
    }
}

/// Sends the frames for one peer. Connects when there is a frame to send and no connection.
async fn run(
    source: Option<IpAddr>,
    addr: SocketAddr,
    mut frames: mpsc::Receiver<ToMember>,
    pending: PendingCalls,
) {
    while let Some(first) = frames.recv().await {
        let Ok((sender, receiver)) = dial(source, addr, LINK_TIMING).await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            while frames.try_recv().is_ok() {}
            continue;
        };
        let _ = exchange(first, &mut frames, sender, receiver, &pending).await;
    }
}

/// Sends frames and hands replies to their callers, until the connection fails.
async fn exchange(
    first: ToMember,
    frames: &mut mpsc::Receiver<ToMember>,
    mut sender: FrameSender,
    mut receiver: FrameReceiver,
    pending: &PendingCalls,
) -> Result<(), LinkError> {
    let sending = async {
        sender.send(&first).await?;
        while let Some(frame) = frames.recv().await {
            sender.send(&frame).await?;
        }
        Err::<(), LinkError>(LinkError::Closed)
    };
    let receiving = async {
        loop {
            if let FromMember::Reply { id, reply } = receiver.receive().await? {
                let caller = lock(pending).remove(&id);
                if let Some(caller) = caller {
                    let _ = caller.send(reply);
                }
            }
        }
    };
    tokio::select! {
        ended = sending => ended,
        ended = receiving => ended,
    }
}
