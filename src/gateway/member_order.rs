//! In which order a gateway turns to members: each has an order of its own over all of them.
//!
//! An order that all shared would send the gateways of a lost member to the same next one. Its link
//! is then full when a configuration grows, those that wait too long leave it together, and wait
//! again at the one after it.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pause before the first look whether a member that comes earlier can be followed again. With up
/// to as much again by chance, the gateways of a member that was away come back to it one by one.
const MIN_FAILBACK_DELAY: Duration = Duration::from_secs(2);
/// Longest pause between two looks, each twice the one before: a member that is gone for good is asked
/// for seldom.
const MAX_FAILBACK_DELAY: Duration = Duration::from_secs(30);

/// Members in the order of one gateway, and the one that it turns to now.
///
/// The order follows from the gateway's name and the members' addresses, so that each member comes first for about as
/// many gateways, and a member more or less changes the choice of those gateways only.
#[derive(Clone, Debug)]
pub struct MemberOrder {
    seed: u64,
    ranked: Vec<SocketAddr>,
    current: SocketAddr,
}

impl MemberOrder {
    /// Begins with the first of these members; `None` without any.
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

    /// All members, the current one first and the others in the order in which they are turned to.
    pub fn from_current(&self) -> Vec<SocketAddr> {
        let mut members = self.ranked.clone();
        members.rotate_left(self.position());
        members
    }

    /// Members that come before the current one.
    pub fn earlier(&self) -> &[SocketAddr] {
        &self.ranked[..self.position()]
    }

    /// Turns to the first member of the order.
    pub fn select_first(&mut self) {
        if let Some(first) = self.ranked.first() {
            self.current = *first;
        }
    }

    /// Turns to the member after the current one.
    pub fn select_next(&mut self) {
        self.current = self.ranked[(self.position() + 1) % self.ranked.len()];
    }

    /// Turns to a member, if it is one.
    pub fn select(&mut self, member: SocketAddr) {
        if self.ranked.contains(&member) {
            self.current = member;
        }
    }

    /// Takes the members that there are now. The current one stays the current one, unless it is none any
    /// more; without any, the known ones stay.
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

/// When to look whether an earlier member can be followed again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailbackBackoff {
    /// Looks since the gateway last stayed with the first member of its order.
    checks: u32,
}

impl FailbackBackoff {
    /// Pause before the next look; `chance` is from 0 to 1.
    pub fn delay(self, chance: f64) -> Duration {
        let doubled = 1_u32.checked_shl(self.checks).unwrap_or(u32::MAX);
        let delay = MIN_FAILBACK_DELAY.saturating_mul(doubled).min(MAX_FAILBACK_DELAY);
        delay + delay.mul_f64(chance)
    }

    /// A look was made. One that found a member counts too: where that is lost again soon, the gateway
    /// does not go to and fro.
    pub fn note_check(&mut self) {
        self.checks = self.checks.saturating_add(1);
    }

    /// The first member has been followed for a pause.
    pub fn reset(&mut self) {
        self.checks = 0;
    }
}
