//! Failback to a preferred member: while a gateway is subscribed to one member, checks from time to time whether
//! a member that comes earlier in the gateway's order is available again.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::bootstrap;
use super::member_order::{FailbackBackoff, MemberOrder};
use crate::group::message::Subscription;

/// Timeout for the check of one member.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// What [`Failback::next`] returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailbackEvent {
    /// A check is due.
    CheckDue,
    /// A check found that the gateway can subscribe to this earlier member.
    Available(SocketAddr),
}

/// Schedules and runs the checks.
pub(super) struct Failback {
    source: Option<IpAddr>,
    schedule: FailbackBackoff,
    next_check_at: Instant,
    /// The running check, which finds an available member or none.
    check: JoinSet<Option<SocketAddr>>,
}

impl Failback {
    /// Checks connect from the address `source`, where one is set.
    pub(super) fn new(source: Option<IpAddr>) -> Self {
        let next_check_at = Instant::now();
        Failback {
            source,
            schedule: FailbackBackoff::default(),
            next_check_at,
            check: JoinSet::new(),
        }
    }

    /// Starts anew when the gateway has subscribed to a member: aborts a running check and drops its result.
    pub(super) fn restart(&mut self) {
        self.check = JoinSet::new();
        self.schedule_next();
    }

    /// Waits until a check is due, or until the running check has found an available member.
    pub(super) async fn next(&mut self) -> FailbackEvent {
        loop {
            if self.check.is_empty() {
                tokio::time::sleep_until(self.next_check_at).await;
                return FailbackEvent::CheckDue;
            }
            if let Some(Ok(found)) = self.check.join_next().await {
                self.schedule.note_check();
                self.schedule_next();
                if let Some(member) = found {
                    return FailbackEvent::Available(member);
                }
            }
        }
    }

    /// Starts a check of the members that come before the current one in `order`; `subscription` is what the gateway
    /// would send them.
    pub(super) fn start_check(&mut self, order: &MemberOrder, subscription: Subscription) {
        if order.earlier().is_empty() {
            self.schedule.reset();
            return self.schedule_next();
        }
        let (source, members) = (self.source, order.earlier().to_vec());
        self.check.spawn(async move { first_available(source, members, subscription).await });
    }

    fn schedule_next(&mut self) {
        self.next_check_at = Instant::now() + self.schedule.delay(rand::random());
    }
}

/// The first member that answers in time, has contact with a leader, and has a configuration at least as new as the
/// gateway's.
async fn first_available(
    source: Option<IpAddr>,
    members: Vec<SocketAddr>,
    subscription: Subscription,
) -> Option<SocketAddr> {
    for member in members {
        let answered = tokio::time::timeout(
            CHECK_TIMEOUT,
            bootstrap::first_update(source, member, &subscription),
        );
        if let Ok(Ok(first)) = answered.await
            && first.fresh
            && first.version >= subscription.version
        {
            return Some(member);
        }
    }
    None
}
