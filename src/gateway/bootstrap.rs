//! The first update after a start: asks all members at once, and uses the first that sends data.
//!
//! After a power failure members and gateways start in any order. A gateway that tried one member after the
//! other, and waited for each that is still down, would refuse its clients for longer than the first member
//! takes to start.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::clock::Instant;
use crate::group::message::{FromMember, Subscription, ToMember, Update};
use crate::link::{FrameReceiver, FrameSender, LinkError, LinkTimeouts, dial};

/// Timeouts of connections to members. A round trip takes some milliseconds. The connect timeout is short,
/// since a member that is down now may be up a moment later, and TCP retransmits a lost SYN only after a second.
const TIMEOUTS: LinkTimeouts = LinkTimeouts {
    connect: Duration::from_millis(50),
    unacknowledged: Duration::from_millis(1_000),
};
/// Delay before a member that failed is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Interval between the first attempts at successive members. When the first member answers within it, no
/// other has to prepare its whole list of targets for this gateway.
const STAGGER: Duration = Duration::from_millis(40);
/// How long a member that has contact with a leader may take to send a configuration or targets. After that the
/// gateway stays subscribed without one: the member has none, or serves many other gateways first.
const FIRST_BLOB_TIMEOUT: Duration = Duration::from_millis(300);
/// A member that sends no update for this long is asked again on a new connection.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An open subscription at a member.
pub(super) struct Subscribed {
    pub(super) member: SocketAddr,
    pub(super) sender: FrameSender,
    pub(super) receiver: FrameReceiver,
    /// What the member has sent so far, merged into one update.
    pub(super) first: Option<Update>,
}

/// Subscribes at all `members`, and keeps the subscription of the first that sends data.
///
/// Waits until one does.
pub(super) async fn subscribe_to_first(
    source: Option<IpAddr>,
    members: &[SocketAddr],
    subscription: &Subscription,
) -> Subscribed {
    race(members, |member| subscribe(source, member, subscription)).await
}

/// Asks all `members` for the addresses of the group's members, and returns the first answer.
///
/// Waits until one answers.
pub(super) async fn discover_members(
    source: Option<IpAddr>,
    members: &[SocketAddr],
    subscription: &Subscription,
) -> Vec<SocketAddr> {
    race(members, |member| query_members(source, member, subscription)).await
}

/// Sends a request to all members, each [`STAGGER`] after the one before and repeated until it succeeds, and
/// returns the first result.
async fn race<T, Request: Future<Output = Result<T, LinkError>>>(
    members: &[SocketAddr],
    request: impl Fn(SocketAddr) -> Request,
) -> T {
    let request = &request;
    let attempt = |(position, member): (usize, &SocketAddr)| {
        let (member, delay) = (*member, STAGGER * position as u32);
        async move {
            tokio::time::sleep(delay).await;
            loop {
                if let Ok(result) = request(member).await {
                    return result;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    };
    let mut attempts: FuturesUnordered<_> = members.iter().enumerate().map(attempt).collect();
    match attempts.next().await {
        Some(first) => first,
        None => std::future::pending().await,
    }
}

/// Asks one member for the addresses of all members.
async fn query_members(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
) -> Result<Vec<SocketAddr>, LinkError> {
    let (_sender, mut receiver) = open(source, member, subscription, TIMEOUTS).await?;
    loop {
        let update = next_update(&mut receiver).await?;
        if let Some(members) = update.members.filter(|members| !members.is_empty()) {
            return Ok(members);
        }
    }
}

/// Subscribes at a member, and waits until it has sent a blob or the source of one, or [`FIRST_BLOB_TIMEOUT`] has
/// passed and its last update says that it has contact with a leader.
async fn subscribe(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
) -> Result<Subscribed, LinkError> {
    let (sender, mut receiver) = open(source, member, subscription, TIMEOUTS).await?;
    let since = Instant::now();
    let mut first = Update::default();
    loop {
        first = next_update(&mut receiver).await?.merge_earlier(first);
        let has_none = first.fresh && since.elapsed() >= FIRST_BLOB_TIMEOUT;
        if !first.blobs.is_empty() || first.blob_source.is_some() || has_none {
            return Ok(Subscribed { member, sender, receiver, first: Some(first) });
        }
    }
}

/// Connects to a member, returns the first update that it sends, and closes the connection.
///
/// # Errors
/// [`LinkError`] when the member can't be reached or sends no update in time.
pub(super) async fn first_update(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
) -> Result<Update, LinkError> {
    let (_sender, mut receiver) = open(source, member, subscription, TIMEOUTS).await?;
    next_update(&mut receiver).await
}

/// Connects to a member and subscribes there.
///
/// # Errors
/// [`LinkError`] when the member can't be reached in time.
pub(super) async fn open(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
    timeouts: LinkTimeouts,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let (mut sender, receiver) = dial(source, member, timeouts).await?;
    sender.send(&ToMember::Subscribe(subscription.clone())).await?;
    Ok((sender, receiver))
}

async fn next_update(receiver: &mut FrameReceiver) -> Result<Update, LinkError> {
    let received = tokio::time::timeout(UPDATE_TIMEOUT, receiver.receive());
    match received.await.map_err(|_| LinkError::Timeout)?? {
        FromMember::Update(update) => Ok(*update),
        FromMember::Reply { .. } => Err(LinkError::Garbled),
    }
}
