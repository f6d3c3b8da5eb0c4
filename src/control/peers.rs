//! Sends a member's Raft messages to the other members, and asks them to admit it while it is no voter.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::mpsc;

use super::member::{Member, Outbox};
use super::rpc_handler::{AddressBook, RpcHandler};
use crate::raft::{Envelope, Members, StoreId};
use crate::rpc::{ControlClient, Newcomer, connect};

/// Maximum of batches queued for a peer. Further ones are dropped; Raft tolerates lost messages.
const QUEUE_LEN: usize = 64;
/// Timeout of one call to a peer.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two requests to be admitted.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks that send messages and ask for admission.
pub(super) fn start(handler: &RpcHandler, outbox: Outbox, log: &Logger) {
    let sender = Sender {
        member: handler.member().clone(),
        own_addr: handler.addr(),
        key: handler.key().to_owned(),
        addresses: handler.address_book(),
        log: log.clone(),
    };
    tokio::spawn(join(sender.clone(), handler.other_members()));
    tokio::spawn(sender.dispatch(outbox));
}

/// State shared by the tasks.
#[derive(Clone)]
struct Sender {
    member: Member,
    own_addr: SocketAddr,
    key: String,
    addresses: AddressBook,
    log: Logger,
}

impl Sender {
    /// Adds each message to the queue of its receiver's address; a message without a known address is dropped.
    async fn dispatch(self, mut outbox: Outbox) {
        let mut queues: BTreeMap<SocketAddr, mpsc::Sender<Vec<Envelope>>> = BTreeMap::new();
        while let Some(messages) = outbox.recv().await {
            let Ok(members) =
                self.member.query(|replica, _| replica.node().members().clone()).await
            else {
                return;
            };
            let mut batches: BTreeMap<SocketAddr, Vec<Envelope>> = BTreeMap::new();
            for message in messages {
                if let Some(addr) = self.address(&members, message.to) {
                    batches.entry(addr).or_default().push(message);
                }
            }
            for (addr, batch) in batches {
                let queue = queues.entry(addr).or_insert_with(|| {
                    let (queue, batches) = mpsc::channel(QUEUE_LEN);
                    tokio::spawn(self.clone().deliver(addr, batches));
                    queue
                });
                let _ = queue.try_send(batch);
            }
        }
    }

    /// Address of `id`: from the group's list of members, else the one that it sent with its own messages.
    fn address(&self, members: &Members, id: StoreId) -> Option<SocketAddr> {
        let known = members.get(id).map(|member| member.addr);
        let reported =
            || self.addresses.lock().unwrap_or_else(PoisonError::into_inner).get(&id).copied();
        known.or_else(reported)
    }

    /// Sends queued messages to one peer in order, all that are queued in one call. A failed call is not repeated.
    async fn deliver(self, addr: SocketAddr, mut batches: mpsc::Receiver<Vec<Envelope>>) {
        let client = match connect(addr, DELIVERY_TIMEOUT) {
            Ok(client) => client,
            Err(error) => {
                warn!(self.log, "can't create a client for the peer; sending it no messages";
                    "event" => "peer", "peer" => %addr, "error" => %error);
                return;
            }
        };
        let mut reachable = true;
        while let Some(mut messages) = batches.recv().await {
            while let Ok(more) = batches.try_recv() {
                messages.extend(more);
            }
            let delivered = client.deliver(self.key.clone(), self.own_addr, messages).await;
            if delivered.is_ok() != reachable {
                reachable = delivered.is_ok();
                warn!(self.log, "peer became reachable or unreachable";
                    "event" => "peer", "peer" => %addr, "reachable" => reachable);
            }
        }
    }
}

/// Asks every other member to admit this one, whenever it is no voter. Only the leader acts on it.
async fn join(sender: Sender, others: Vec<SocketAddr>) {
    let clients: Vec<_> =
        others.iter().filter_map(|other| connect(*other, DELIVERY_TIMEOUT).ok()).collect();
    loop {
        let membership = sender
            .member
            .query(|replica, _| {
                let node = replica.node();
                let voter = node.members().voters().any(|id| id == node.id());
                (node.id(), voter)
            })
            .await;
        let Ok((store, voter)) = membership else {
            return;
        };
        if !voter {
            for client in &clients {
                let _ = client
                    .join(sender.key.clone(), Newcomer { store, addr: sender.own_addr })
                    .await;
            }
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}
