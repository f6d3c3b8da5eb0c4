//! How a group keeps its number of voters up by itself: who joins, who takes whose place.

use std::net::SocketAddr;
use std::time::Duration;

use super::node::Node;
use super::{Member, MemberKind, Members, Payload, Role, StoreId, Time};

/// Rules by which a leader keeps the number of voters up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipRules {
    /// Voters wanted; further members stand by as learners.
    pub voters: usize,
    /// Silence after which a voter gives its place to a learner that has caught up.
    pub unresponsive_after: Duration,
    /// Silence after which a learner is removable; it may join again.
    pub remove_after: Duration,
}

/// What a leader knows of a member's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// How long the member has not answered.
    pub unresponsive_for: Duration,
    /// Whether its log covers the commit index.
    pub caught_up: bool,
}

impl Members {
    /// The one next change that the rules ask for, or `None` when nothing is to be done.
    ///
    /// Each changes at most one voter, so that quorums before and after overlap. A voter leaves only
    /// when a learner is ready to follow in the next step.
    pub fn next_change(
        &self,
        rules: &MembershipRules,
        health: impl Fn(StoreId) -> Health,
    ) -> Option<Members> {
        let ready = self.0.iter().find(|member| {
            let health = health(member.id);
            let answers = health.unresponsive_for < rules.unresponsive_after;
            member.kind == MemberKind::Learner && answers && health.caught_up
        });
        let unresponsive =
            |member: &&Member| health(member.id).unresponsive_for >= rules.unresponsive_after;
        let voters = self.voters().count();
        if let Some(ready) = ready {
            if let Some(replaced) = self.predecessor(ready) {
                return Some(self.without(replaced));
            }
            if voters < rules.voters {
                return Some(self.with_kind(ready.id, MemberKind::Voter));
            }
            let voters = self.0.iter().filter(|member| member.kind == MemberKind::Voter);
            if let Some(lost) = voters.into_iter().find(unresponsive) {
                return Some(self.with_kind(lost.id, MemberKind::Learner));
            }
        }
        let learners = self.0.iter().filter(|member| member.kind == MemberKind::Learner);
        let removable = |member: &&Member| {
            let superseded = self.0.iter().any(|other| {
                other.id != member.id
                    && other.addr == member.addr
                    && health(other.id).unresponsive_for < rules.unresponsive_after
            });
            let unresponsive_for = health(member.id).unresponsive_for;
            unresponsive_for >= rules.remove_after
                || (superseded && unresponsive_for >= rules.unresponsive_after)
        };
        let removed = learners.into_iter().find(removable)?;
        Some(self.without(removed.id))
    }

    /// The voter whose address `learner` took over: its disk is lost.
    fn predecessor(&self, learner: &Member) -> Option<StoreId> {
        let same = |member: &&Member| member.addr == learner.addr && member.id != learner.id;
        let voters = self.0.iter().filter(|member| member.kind == MemberKind::Voter);
        voters.into_iter().find(same).map(|member| member.id)
    }

    fn without(&self, id: StoreId) -> Members {
        Members(self.0.iter().filter(|member| member.id != id).copied().collect())
    }

    fn with_kind(&self, id: StoreId, kind: MemberKind) -> Members {
        let change = |member: &Member| match member.id == id {
            true => Member { kind, ..*member },
            false => *member,
        };
        Members(self.0.iter().map(change).collect())
    }
}

impl Node {
    /// Lets this member, while it leads, keep the number of voters up.
    pub fn set_membership_rules(&mut self, rules: MembershipRules) {
        self.membership_rules = Some(rules);
    }

    /// Takes a store in as a learner, if this member leads and the address is not in use.
    pub fn join(&mut self, now: Time, id: StoreId, addr: SocketAddr) {
        self.now = now;
        if self.role != Role::Leader
            || !self.members_confirmed()
            || self.members().get(id).is_some()
        {
            return;
        }
        let occupant = self.members().0.iter().find(|member| member.addr == addr);
        if occupant.is_some_and(|member| self.recently_acked(now, member.id)) {
            return;
        }
        let mut members = self.members().clone();
        members.0.retain(|member| member.addr != addr || member.kind == MemberKind::Voter);
        members.0.push(Member { id, addr, kind: MemberKind::Learner });
        // A leader takes every proposal.
        let _ = self.propose(now, Payload::Members(members));
    }

    /// Takes the next step of upkeep, if one is due.
    pub(super) fn maintain_members(&mut self, now: Time) {
        let Some(rules) = self.membership_rules else {
            return;
        };
        if !self.members_confirmed() {
            return;
        }
        let next = self.members().next_change(&rules, |id| self.health(now, id));
        if let Some(members) = next {
            // A leader takes every proposal.
            let _ = self.propose(now, Payload::Members(members));
        }
    }

    /// Whether the last change of members and the first entry of this term are committed.
    fn members_confirmed(&self) -> bool {
        let (_, changed_at) = self.log.members();
        self.commit >= changed_at && self.commit >= self.term_start
    }

    fn health(&self, now: Time, id: StoreId) -> Health {
        if id == self.id {
            return Health { unresponsive_for: Duration::ZERO, caught_up: true };
        }
        let Some(progress) = self.progress.get(&id) else {
            return Health { unresponsive_for: Duration::ZERO, caught_up: false };
        };
        let last_ack = progress.acked_at.unwrap_or(progress.since);
        let unresponsive_for = now.saturating_sub(last_ack);
        let caught_up = progress.acked_at.is_some() && progress.matched >= self.commit;
        Health { unresponsive_for, caught_up }
    }
}
