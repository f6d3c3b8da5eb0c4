//! Accepts connections from other members and from gateways, and dispatches the frames that arrive on them.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::brittle::ReportedBy as BrittleReportedBy;
use super::message::{Call, FromMember, ToMember};
use super::prefix_holders::ReportedBy;
use super::stream_origins::ReportedBy as StreamReportedBy;
use super::{Shared, feed};
use crate::link::{FrameSender, LinkError, framed};
use crate::poison::Origin;
use crate::serving::buffers::ClientBuffer;
use crate::sync::lock;

/// Replies queued for sending on one connection.
const REPLY_QUEUE_LEN: usize = 256;

/// Accepts connections for ever.
pub(super) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let (stream, client) = shared.peer_buffers.accept(&listener).await;
        let shared = shared.clone();
        tokio::spawn(async move {
            // Errors are ignored: the other side connects again.
            let _ = client.unless_closed(serve(shared, stream, client.clone())).await;
        });
    }
}

/// Serves one connection: the messages and calls of a member, or the subscription of a gateway.
async fn serve(
    shared: Arc<Shared>,
    stream: TcpStream,
    client: Arc<ClientBuffer>,
) -> Result<(), LinkError> {
    let (sender, receiver) = framed(stream, super::peers::LINK_TIMING)?;
    let mut receiver = receiver.counted(client);
    let (replies, queued) = mpsc::channel(REPLY_QUEUE_LEN);
    let mut sender = Some(sender);
    let mut queued = Some(queued);
    loop {
        match receiver.receive().await? {
            ToMember::Raft { from, messages, supported_level } => {
                if let Some(first) = messages.first() {
                    lock(&shared.store_addrs).insert(first.from, from);
                    lock(&shared.readiness).record(shared.now(), first.from, supported_level);
                }
                shared.member.deliver(messages);
            }
            ToMember::Presence(gateways) => {
                lock(&shared.presence).record_remote(shared.run_clock.ran(), gateways);
            }
            ToMember::MemberLoads { from, loads, evidence, prefix_holders, tallies, streams } => {
                shared.record_streams(StreamReportedBy::Remote, &streams);
                lock(&shared.load_totals).record_member(shared.now(), from, loads);
                lock(&shared.evidence).record_member(shared.now(), from, evidence);
                lock(&shared.prefix_holders).record(
                    shared.now(),
                    ReportedBy::Member,
                    &prefix_holders,
                );
                lock(&shared.rollouts).record_member(from, tallies);
            }
            ToMember::MemberPoison { reports, .. } => {
                shared.record_poison(Origin::Relayed, reports)?;
            }
            ToMember::MemberRelayPeers { from, peers } => {
                lock(&shared.relay_peers).record_member(shared.now(), from, peers);
            }
            ToMember::MemberBrittle { services, .. } => {
                lock(&shared.brittle).record(shared.now(), BrittleReportedBy::Member, &services);
            }
            ToMember::MemberSuspectedRestarts { restarts, .. } => {
                shared.record_restarts(StreamReportedBy::Remote, &restarts);
            }
            // Only a gateway sends these, after it has subscribed.
            ToMember::Loads { .. }
            | ToMember::Brittle(_)
            | ToMember::Streams(_)
            | ToMember::FindStreams(_)
            | ToMember::Poison(_)
            | ToMember::SuspectedRestarts(_)
            | ToMember::ConfigurationInForce(_)
            | ToMember::EvacuationsInForce(_)
            | ToMember::HasBlob(_)
            | ToMember::BlobFetchFailed(_) => {
                return Err(LinkError::Garbled);
            }
            ToMember::Call { id, call } => {
                if let (Some(sender), Some(queued)) = (sender.take(), queued.take()) {
                    tokio::spawn(send_replies(sender, queued));
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

async fn send_replies(mut sender: FrameSender, mut queued: mpsc::Receiver<FromMember>) {
    while let Some(reply) = queued.recv().await {
        if sender.send(&reply).await.is_err() {
            return;
        }
    }
}
