//! Takes connections of other members and of gateways.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::message::{Call, FromMember, ToMember};
use super::prefix_holders::ReportedBy;
use super::{Shared, feed};
use crate::link::{FrameSender, LinkError, frames};
use crate::poison::Origin;
use crate::sync::lock;

/// Replies that wait to be sent on one connection.
const REPLIES_LEN: usize = 256;
/// Pause after the listener fails, for example without descriptors.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Takes connections for ever.
pub(super) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), stream));
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) -> Result<(), LinkError> {
    let (sender, mut receiver) = frames(stream, super::peers::TIMING)?;
    let (replies, waiting) = mpsc::channel(REPLIES_LEN);
    let mut sender = Some(sender);
    let mut waiting = Some(waiting);
    loop {
        match receiver.receive().await? {
            ToMember::Agreement { from, messages, knows } => {
                if let Some(first) = messages.first() {
                    lock(&shared.store_addrs).insert(first.from, from);
                    lock(&shared.readiness).hear(shared.now(), first.from, knows);
                }
                shared.member.deliver(messages);
            }
            ToMember::Presence(gateways) => {
                lock(&shared.presence).hear(shared.run_clock.ran(), gateways);
            }
            ToMember::MemberLoads { from, loads, evidence, keepers, tallies } => {
                lock(&shared.load_totals).record_member(shared.now(), from, loads);
                lock(&shared.evidence).record_member(shared.now(), from, evidence);
                lock(&shared.prefix_holders).record(shared.now(), ReportedBy::Member, &keepers);
                lock(&shared.rollouts).record_member(from, tallies);
            }
            ToMember::MemberPoison { reports, .. } => {
                shared.record_poison(Origin::Elsewhere, reports)?;
            }
            ToMember::Loads { .. }
            | ToMember::Poison(_)
            | ToMember::InForce(_)
            | ToMember::Obeys(_)
            | ToMember::Has(_)
            | ToMember::Lacks(_) => {
                return Err(LinkError::Garbled);
            }
            ToMember::Call { id, call } => {
                if let (Some(sender), Some(waiting)) = (sender.take(), waiting.take()) {
                    tokio::spawn(send_replies(sender, waiting));
                }
                tokio::spawn(answer(shared.clone(), id, call, replies.clone()));
            }
            ToMember::Subscribe(subscription) => {
                let Some(sender) = sender.take() else {
                    return Err(LinkError::Garbled);
                };
                return feed::serve(&shared, subscription, sender, receiver).await;
            }
        }
    }
}

async fn answer(shared: Arc<Shared>, id: u64, call: Call, replies: mpsc::Sender<FromMember>) {
    let reply = shared.execute(call).await;
    let _ = replies.send(FromMember::Reply { id, reply }).await;
}

async fn send_replies(mut sender: FrameSender, mut waiting: mpsc::Receiver<FromMember>) {
    while let Some(reply) = waiting.recv().await {
        if sender.send(&reply).await.is_err() {
            return;
        }
    }
}
