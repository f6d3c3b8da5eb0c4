//! Connections to other members: messages of the agreement, and calls with their replies.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::message::{Call, FromMember, Reply, ToMember};
use crate::link::{FrameReceiver, FrameSender, LinkError, LinkTimeouts, dial};
use crate::sync::lock;

/// Frames that wait for a peer; what does not fit is dropped, as the agreement allows.
const QUEUE_LEN: usize = 256;
/// Pause after a failed connection, in which frames for the peer are dropped.
const PAUSE: Duration = Duration::from_millis(100);
/// How fast connections between members give up.
pub(super) const TIMING: LinkTimeouts = LinkTimeouts {
    connect: Duration::from_millis(500),
    unacknowledged: Duration::from_millis(1_000),
};

/// A call failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// There was no reply in time; the call may have been carried out.
    #[error("no reply in time")]
    NoReply,
}

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<Reply>>>>;

/// Connections to every other member that was ever spoken to.
#[derive(Clone)]
pub(super) struct Peers {
    /// Address that this host connects from, where one is set.
    source: Option<IpAddr>,
    queues: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<ToMember>>>>,
    pending: Pending,
    next_call: Arc<AtomicU64>,
}

impl Peers {
    pub(super) fn new(source: Option<IpAddr>) -> Self {
        Peers { source, queues: Arc::default(), pending: Arc::default(), next_call: Arc::default() }
    }

    /// Sends a frame, if there is room for it.
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

/// Keeps a connection to one peer for as long as there is something to send.
async fn run(
    source: Option<IpAddr>,
    addr: SocketAddr,
    mut frames: mpsc::Receiver<ToMember>,
    pending: Pending,
) {
    while let Some(first) = frames.recv().await {
        let Ok((sender, receiver)) = dial(source, addr, TIMING).await else {
            tokio::time::sleep(PAUSE).await;
            while frames.try_recv().is_ok() {}
            continue;
        };
        let _ = exchange(first, &mut frames, sender, receiver, &pending).await;
    }
}

async fn exchange(
    first: ToMember,
    frames: &mut mpsc::Receiver<ToMember>,
    mut sender: FrameSender,
    mut receiver: FrameReceiver,
    pending: &Pending,
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
                let waiting = lock(pending).remove(&id);
                if let Some(waiting) = waiting {
                    let _ = waiting.send(reply);
                }
            }
        }
    };
    tokio::select! {
        ended = sending => ended,
        ended = receiving => ended,
    }
}
