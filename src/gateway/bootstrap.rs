//! The first news at a start: asks every member, and takes them from the first that tells any.
//!
//! When all power comes back, members and gateways start in any order. A gateway that asks one member
//! after the other, and waits for each that is still dark, refuses its clients for longer than it takes
//! the first member to come up.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::clock::Instant;
use crate::group::message::{FromMember, Subscription, ToMember, Update};
use crate::link::{FrameReceiver, FrameSender, LinkError, LinkTimeouts, dial};

/// How fast connections give up: a member that is dark now may answer in a moment, and an opening packet
/// that was lost is sent again only after a second. A round trip takes some milliseconds.
const TIMING: LinkTimeouts = LinkTimeouts {
    connect: Duration::from_millis(50),
    unacknowledged: Duration::from_millis(1_000),
};
/// Pause after a member could not be reached.
const PAUSE: Duration = Duration::from_millis(10);
/// Lead of each member over the next in the order: where the first answers at once, no other has to
/// prepare its whole list for this gateway.
const LEAD: Duration = Duration::from_millis(40);
/// How long a member that hears a leader is given to tell a configuration; then it has none, or many
/// gateways wait before this one, and its word that it lives is enough.
const TELLS_WITHIN: Duration = Duration::from_millis(300);
/// Silence after which a member is asked anew.
const SILENCE: Duration = Duration::from_millis(1_000);

/// A member that this gateway is subscribed at.
pub(super) struct Subscribed {
    pub(super) member: SocketAddr,
    pub(super) sender: FrameSender,
    pub(super) receiver: FrameReceiver,
    /// What it has told already.
    pub(super) first: Option<Update>,
}

/// Subscribes at all of them, and drops all but the first that has something to tell.
///
/// Does not return while none has.
pub(super) async fn first_to_tell(
    source: Option<IpAddr>,
    members: &[SocketAddr],
    subscription: &Subscription,
) -> Subscribed {
    first(members, |member| subscribe(source, member, subscription)).await
}

/// Asks all of them where the members are, and takes the word of the first that tells.
///
/// Does not return while none does.
pub(super) async fn first_to_name(
    source: Option<IpAddr>,
    members: &[SocketAddr],
    subscription: &Subscription,
) -> Vec<SocketAddr> {
    first(members, |member| named_by(source, member, subscription)).await
}

/// What the first of the members gives, each with a lead over the next, and asked again while it fails.
async fn first<T, Asked: Future<Output = Result<T, LinkError>>>(
    members: &[SocketAddr],
    ask: impl Fn(SocketAddr) -> Asked,
) -> T {
    let ask = &ask;
    let enter = |(place, member): (usize, &SocketAddr)| {
        let (member, delay) = (*member, LEAD * place as u32);
        async move {
            tokio::time::sleep(delay).await;
            loop {
                if let Ok(given) = ask(member).await {
                    return given;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    };
    let mut entered: FuturesUnordered<_> = members.iter().enumerate().map(enter).collect();
    match entered.next().await {
        Some(first) => first,
        None => std::future::pending().await,
    }
}

/// Asks a member where all members are.
async fn named_by(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
) -> Result<Vec<SocketAddr>, LinkError> {
    let (_sender, mut receiver) = open(source, member, subscription, TIMING).await?;
    loop {
        let update = next_update(&mut receiver).await?;
        if let Some(members) = update.members.filter(|members| !members.is_empty()) {
            return Ok(members);
        }
    }
}

/// Subscribes at a member, and waits until it has something to tell.
async fn subscribe(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
) -> Result<Subscribed, LinkError> {
    let (sender, mut receiver) = open(source, member, subscription, TIMING).await?;
    let since = Instant::now();
    let mut first = Update::default();
    loop {
        first = next_update(&mut receiver).await?.after(first);
        let lives = first.fresh && since.elapsed() >= TELLS_WITHIN;
        if !first.parcels.is_empty() || first.elsewhere.is_some() || lives {
            return Ok(Subscribed { member, sender, receiver, first: Some(first) });
        }
    }
}

/// Subscribes at a member to hear its first word, and leaves again.
pub(super) async fn ask(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
) -> Result<Update, LinkError> {
    let (_sender, mut receiver) = open(source, member, subscription, TIMING).await?;
    next_update(&mut receiver).await
}

/// Connects to a member and subscribes there.
///
/// # Errors
/// [`LinkError`] when it can't be reached in time.
pub(super) async fn open(
    source: Option<IpAddr>,
    member: SocketAddr,
    subscription: &Subscription,
    timing: LinkTimeouts,
) -> Result<(FrameSender, FrameReceiver), LinkError> {
    let (mut sender, receiver) = dial(source, member, timing).await?;
    sender.send(&ToMember::Subscribe(subscription.clone())).await?;
    Ok((sender, receiver))
}

async fn next_update(receiver: &mut FrameReceiver) -> Result<Update, LinkError> {
    let received = tokio::time::timeout(SILENCE, receiver.receive());
    match received.await.map_err(|_| LinkError::Timeout)?? {
        FromMember::Update(update) => Ok(*update),
        FromMember::Reply { .. } => Err(LinkError::Garbled),
    }
}
