//! The order in which a gateway connects to members. Each gateway has its own order.
//!
//! With one order for all, the gateways of a failed member would all move to the same next member.
//! The link of that member would be saturated when a large configuration is pushed; the gateways
//! that time out would then move to the one after it together, and so on.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Delay before the first check whether an earlier member can be followed again. A random part of
/// up to the same length is added, so that the gateways of a member that was down return to it one
/// by one.
const MIN_FAILBACK_DELAY: Duration = Duration::from_secs(2);
/// Maximum delay between two checks, which doubles each time, so that a member that is unreachable for
/// good is rarely contacted.
const MAX_FAILBACK_DELAY: Duration = Duration::from_secs(30);

/// The members in the order of one gateway, and the one it currently uses.
///
/// The order is computed by rendezvous hashing from the gateway's name and the members' addresses.
/// Each member comes first for about the same number of gateways, and adding or removing a member
/// changes the choice of those gateways only.
#[derive(Clone, Debug)]
pub struct MemberOrder {
    seed: u64,
    ranked: Vec<SocketAddr>,
    current: SocketAddr,
}

impl MemberOrder {
    /// Starts with the first of the members; `None` if there are none.
    pub fn new(gateway: &str, members: Vec<SocketAddr>) -> Option<Self> {
        let seed = xxh3_64_with_seed(gateway.as_bytes(), 0);
        let ranked = rank(seed, members);
        let current = *ranked.first()?;
        Some(MemberOrder { seed, ranked, current })
    }

    /// The member to follow.
    pub fn current(&self) -> SocketAddr {
        self.current
    }

    /// All members, beginning with the current one.
    pub fn from_current(&self) -> Vec<SocketAddr> {
        let mut members = self.ranked.clone();
        members.rotate_left(self.position());
        members
    }

    /// Members that come before the current one.
    pub fn earlier(&self) -> &[SocketAddr] {
        &self.ranked[..self.position()]
    }

    /// Makes the first member of the order the current one.
    pub fn select_first(&mut self) {
        if let Some(first) = self.ranked.first() {
            self.current = *first;
        }
    }

    /// Makes the member after the current one the current one.
    pub fn select_next(&mut self) {
        self.current = self.ranked[(self.position() + 1) % self.ranked.len()];
    }

    /// Makes `member` the current one, if it is in the order.
    pub fn select(&mut self, member: SocketAddr) {
        if self.ranked.contains(&member) {
            self.current = member;
        }
    }

    /// Replaces the members. The current one stays current if it is among them, else the first
    /// becomes current. An empty list changes nothing.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        let ranked = rank(self.seed, members);
        let Some(first) = ranked.first() else {
            return;
        };
        if !ranked.contains(&self.current) {
            self.current = *first;
        }
        self.ranked = ranked;
    }

    fn position(&self) -> usize {
        self.ranked.iter().position(|member| *member == self.current).unwrap_or(0)
    }
}

fn rank(seed: u64, mut members: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let score = |member: &SocketAddr| xxh3_64_with_seed(member.to_string().as_bytes(), seed);
    members.sort_by_cached_key(|member| (score(member), *member));
    members.dedup();
    members
}

/// Schedules the checks whether an earlier member can be followed again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailbackBackoff {
    /// Checks since the gateway last followed the first member of its order for a whole delay.
    checks: u32,
}

impl FailbackBackoff {
    /// Delay before the next check. `chance` is from 0 to 1.
    pub fn delay(self, chance: f64) -> Duration {
        let doubled = 1_u32.checked_shl(self.checks).unwrap_or(u32::MAX);
        let delay = MIN_FAILBACK_DELAY.saturating_mul(doubled).min(MAX_FAILBACK_DELAY);
        delay + delay.mul_f64(chance)
    }

    /// Counts a check. One that found a member counts too, so that a gateway does not switch back
    /// and forth if that member fails again soon.
    pub fn note_check(&mut self) {
        self.checks = self.checks.saturating_add(1);
    }

    /// Starts again from the minimum delay, once the first member has been followed for a whole
    /// delay.
    pub fn reset(&mut self) {
        self.checks = 0;
    }
}
