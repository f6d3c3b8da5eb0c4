//! Sends a member's messages to the others, and asks to be brought in while it belongs to no group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::mpsc;

use super::calls::Calls;
use super::member::{Member, Outbox};
use crate::raft::{Envelope, StoreId};
use crate::rpc::{ControlClient, Newcomer, connect};

/// Batches that wait for a peer; what does not fit is dropped, as the protocol allows.
const QUEUE_LEN: usize = 64;
/// Longest time for one delivery.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two requests to be brought in.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks.
pub(super) fn start(calls: &Calls, outbox: Outbox, log: &Logger) {
    let key = calls.key().to_owned();
    tokio::spawn(dispatch(calls.member().clone(), outbox, key.clone(), log.clone()));
    let others = calls.others();
    tokio::spawn(join(calls.member().clone(), calls.addr(), others, key));
}

/// Gives each message to the queue of its receiver's address.
async fn dispatch(member: Member, mut outbox: Outbox, key: String, log: Logger) {
    let mut queues: BTreeMap<SocketAddr, mpsc::Sender<Vec<Envelope>>> = BTreeMap::new();
    while let Some(messages) = outbox.recv().await {
        let Ok(addrs) = addresses(&member, &messages).await else {
            return;
        };
        let mut batches: BTreeMap<SocketAddr, Vec<Envelope>> = BTreeMap::new();
        for message in messages {
            if let Some(addr) = addrs.get(&message.to) {
                batches.entry(*addr).or_default().push(message);
            }
        }
        for (addr, batch) in batches {
            let queue = queues.entry(addr).or_insert_with(|| {
                let (queue, batches) = mpsc::channel(QUEUE_LEN);
                tokio::spawn(deliver(addr, batches, key.clone(), log.clone()));
                queue
            });
            let _ = queue.try_send(batch);
        }
    }
}

/// Where the receivers of `messages` take calls.
async fn addresses(
    member: &Member,
    messages: &[Envelope],
) -> Result<BTreeMap<StoreId, SocketAddr>, crate::rpc::ControlError> {
    let wanted: Vec<StoreId> = messages.iter().map(|message| message.to).collect();
    member
        .query(move |replica, _| {
            let members = &replica.node().members().0;
            let known = members.iter().filter(|member| wanted.contains(&member.id));
            known.map(|member| (member.id, member.addr)).collect()
        })
        .await
}

/// Delivers to one peer, all that waits in one call, in order.
async fn deliver(
    addr: SocketAddr,
    mut batches: mpsc::Receiver<Vec<Envelope>>,
    key: String,
    log: Logger,
) {
    let client = match connect(addr, DELIVERY_TIMEOUT) {
        Ok(client) => client,
        Err(error) => {
            warn!(log, "peer unusable"; "event" => "peer", "peer" => %addr, "error" => %error);
            return;
        }
    };
    let mut reachable = true;
    while let Some(mut messages) = batches.recv().await {
        while let Ok(more) = batches.try_recv() {
            messages.extend(more);
        }
        let delivered = client.deliver(key.clone(), messages).await;
        if delivered.is_ok() != reachable {
            reachable = delivered.is_ok();
            warn!(log, "peer changed"; "event" => "peer", "peer" => %addr, "reachable" => reachable);
        }
    }
}

/// Asks every other member to bring this one in, until it is a voter.
async fn join(member: Member, addr: SocketAddr, others: Vec<SocketAddr>, key: String) {
    let clients: Vec<_> =
        others.iter().filter_map(|other| connect(*other, DELIVERY_TIMEOUT).ok()).collect();
    loop {
        let standing = member
            .query(|replica, _| {
                let node = replica.node();
                let voter = node.members().voters().any(|id| id == node.id());
                (node.id(), voter)
            })
            .await;
        let Ok((store, voter)) = standing else {
            return;
        };
        if !voter {
            for client in &clients {
                let _ = client.join(key.clone(), Newcomer { store, addr }).await;
            }
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}
