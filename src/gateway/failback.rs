//! Looks whether a member that comes earlier in a gateway's order can be followed again, while another
//! is followed.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::bootstrap;
use super::member_order::{FailbackBackoff, MemberOrder};
use crate::group::message::Subscription;

/// Longest time for one member to answer a look.
const LOOKS_FOR: Duration = Duration::from_millis(500);

/// What becomes of looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Look {
    /// It is time for one.
    Due,
    /// This member can be followed.
    Found(SocketAddr),
}

/// Looks at members now and then.
pub(super) struct Failback {
    source: Option<IpAddr>,
    looks: FailbackBackoff,
    look_at: Instant,
    /// The look that is under way; finds a member or none.
    looking: JoinSet<Option<SocketAddr>>,
}

impl Failback {
    /// Connects from `source`, where one is set.
    pub(super) fn new(source: Option<IpAddr>) -> Self {
        let look_at = Instant::now();
        Failback { source, looks: FailbackBackoff::default(), look_at, looking: JoinSet::new() }
    }

    /// A member is followed from now on.
    pub(super) fn start(&mut self) {
        // Dropped with what it may have found already.
        self.looking = JoinSet::new();
        self.pause();
    }

    /// Waits until it is time for a look, or until the look that is under way has found a member.
    pub(super) async fn next(&mut self) -> Look {
        loop {
            if self.looking.is_empty() {
                tokio::time::sleep_until(self.look_at).await;
                return Look::Due;
            }
            if let Some(Ok(found)) = self.looking.join_next().await {
                self.looks.note_check();
                self.pause();
                if let Some(member) = found {
                    return Look::Found(member);
                }
            }
        }
    }

    /// Looks at the members that come before the current one, as one that subscribes.
    pub(super) fn look(&mut self, order: &MemberOrder, subscription: Subscription) {
        if order.earlier().is_empty() {
            self.looks.reset();
            return self.pause();
        }
        let (source, members) = (self.source, order.earlier().to_vec());
        self.looking.spawn(async move { first_to_follow(source, members, subscription).await });
    }

    fn pause(&mut self) {
        self.look_at = Instant::now() + self.looks.delay(rand::random());
    }
}

/// The first of the members that answers, hears a leader, and holds no less than the gateway.
async fn first_to_follow(
    source: Option<IpAddr>,
    members: Vec<SocketAddr>,
    subscription: Subscription,
) -> Option<SocketAddr> {
    for member in members {
        let answered =
            tokio::time::timeout(LOOKS_FOR, bootstrap::ask(source, member, &subscription));
        if let Ok(Ok(first)) = answered.await
            && first.fresh
            && first.version >= subscription.version
        {
            return Some(member);
        }
    }
    None
}
