//! Sends a member's messages to the others, and asks to be brought in while it belongs to no group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::mpsc;

use super::calls::{AddressBook, Calls};
use super::member::{Member, Outbox};
use crate::raft::{Envelope, Members, StoreId};
use crate::rpc::{ControlClient, JoinRequest, connect};

/// Batches that wait for a peer; what does not fit is dropped, as the protocol allows.
const QUEUE_LEN: usize = 64;
/// Longest time for one delivery.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two requests to be brought in.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks.
pub(super) fn start(calls: &Calls, outbox: Outbox, log: &Logger) {
    let sender = Sender {
        member: calls.member().clone(),
        own: calls.addr(),
        key: calls.key().to_owned(),
        book: calls.address_book(),
        log: log.clone(),
    };
    tokio::spawn(join(sender.clone(), calls.others()));
    tokio::spawn(sender.dispatch(outbox));
}

/// What the tasks share.
#[derive(Clone)]
struct Sender {
    member: Member,
    own: SocketAddr,
    key: String,
    book: AddressBook,
    log: Logger,
}

impl Sender {
    /// Gives each message to the queue of its receiver's address.
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

    /// Where `id` takes calls, by the members or else by its own word.
    fn address(&self, members: &Members, id: StoreId) -> Option<SocketAddr> {
        let known = members.get(id).map(|member| member.addr);
        let told = || self.book.lock().unwrap_or_else(PoisonError::into_inner).get(&id).copied();
        known.or_else(told)
    }

    /// Delivers to one peer, all that waits in one call, in order.
    async fn deliver(self, addr: SocketAddr, mut batches: mpsc::Receiver<Vec<Envelope>>) {
        let client = match connect(addr, DELIVERY_TIMEOUT) {
            Ok(client) => client,
            Err(error) => {
                warn!(self.log, "peer unusable"; "event" => "peer", "peer" => %addr, "error" => %error);
                return;
            }
        };
        let mut reachable = true;
        while let Some(mut messages) = batches.recv().await {
            while let Ok(more) = batches.try_recv() {
                messages.extend(more);
            }
            let delivered = client.deliver(self.key.clone(), self.own, messages).await;
            if delivered.is_ok() != reachable {
                reachable = delivered.is_ok();
                warn!(self.log, "peer changed"; "event" => "peer", "peer" => %addr, "reachable" => reachable);
            }
        }
    }
}

/// Asks every other member to bring this one in, until it is a voter.
async fn join(sender: Sender, others: Vec<SocketAddr>) {
    let clients: Vec<_> =
        others.iter().filter_map(|other| connect(*other, DELIVERY_TIMEOUT).ok()).collect();
    loop {
        let standing = sender
            .member
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
                let _ =
                    client.join(sender.key.clone(), JoinRequest { store, addr: sender.own }).await;
            }
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}
