//! Automatic membership changes: the leader adds learners, promotes them to replace lost voters, and
//! removes members that no longer respond.

use std::net::SocketAddr;
use std::time::Duration;

use super::node::Node;
use super::{Member, Members, Payload, Role, Standing, StoreId, Time};

/// Rules by which a leader maintains the number of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipRules {
    /// Desired number of voters; further members stay learners, as standbys.
    pub voters: usize,
    /// Time without a reply after which a member counts as unresponsive: a voter is then demoted if a
    /// learner that has caught up can replace it, and a learner is removed if another member responds at
    /// its address.
    pub unresponsive_after: Duration,
    /// Time without a reply after which a learner is removed; it may join again.
    pub remove_after: Duration,
}

/// Health of a member, as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Time since the last message to which the member replied was sent.
    pub unresponsive_for: Duration,
    /// Whether its log covers the commit index.
    pub caught_up: bool,
}

impl Members {
    /// The next membership by the rules, or `None` when nothing is to be changed.
    ///
    /// Each step changes at most one voter, so that the quorums before and after overlap. A voter is
    /// removed or demoted only when a learner is ready to replace it in the next step.
    pub fn next_change(
        &self,
        rules: &MembershipRules,
        health: impl Fn(StoreId) -> Health,
    ) -> Option<Members> {
        let ready = self.0.iter().find(|member| {
            let health = health(member.id);
            let responsive = health.unresponsive_for < rules.unresponsive_after;
            member.kind == Standing::Learner && responsive && health.caught_up
        });
        let unresponsive =
            |member: &&Member| health(member.id).unresponsive_for >= rules.unresponsive_after;
        let voters = self.voters().count();
        if let Some(ready) = ready {
            if let Some(replaced) = self.predecessor(ready) {
                return Some(self.without(replaced));
            }
            if voters < rules.voters {
                return Some(self.with_kind(ready.id, Standing::Voter));
            }
            let voters = self.0.iter().filter(|member| member.kind == Standing::Voter);
            if let Some(lost) = voters.into_iter().find(unresponsive) {
                return Some(self.with_kind(lost.id, Standing::Learner));
            }
        }
        let learners = self.0.iter().filter(|member| member.kind == Standing::Learner);
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

    /// The voter that had the address of `learner` before; its disk is lost.
    fn predecessor(&self, learner: &Member) -> Option<StoreId> {
        let same = |member: &&Member| member.addr == learner.addr && member.id != learner.id;
        let voters = self.0.iter().filter(|member| member.kind == Standing::Voter);
        voters.into_iter().find(same).map(|member| member.id)
    }

    fn without(&self, id: StoreId) -> Members {
        Members(self.0.iter().filter(|member| member.id != id).copied().collect())
    }

    fn with_kind(&self, id: StoreId, kind: Standing) -> Members {
        let change = |member: &Member| match member.id == id {
            true => Member { kind, ..*member },
            false => *member,
        };
        Members(self.0.iter().map(change).collect())
    }
}

impl Node {
    /// Makes this member, while it leads, maintain the number of voters.
    pub fn set_membership_rules(&mut self, rules: MembershipRules) {
        self.membership_rules = Some(rules);
    }

    /// Adds a member as a learner, if this member leads and no member at that address has replied
    /// recently.
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
        members.0.retain(|member| member.addr != addr || member.kind == Standing::Voter);
        members.0.push(Member { id, addr, kind: Standing::Learner });
        // `propose` fails only if this member does not lead.
        let _ = self.propose(now, Payload::Members(members));
    }

    /// Proposes the next membership change that the rules ask for, if any.
    pub(super) fn maintain_members(&mut self, now: Time) {
        let Some(rules) = self.membership_rules else {
            return;
        };
        if !self.members_confirmed() {
            return;
        }
        let next = self.members().next_change(&rules, |id| self.health(now, id));
        if let Some(members) = next {
            // `propose` fails only if this member does not lead.
            let _ = self.propose(now, Payload::Members(members));
        }
    }

    /// Whether the last membership change and the first entry of this term are committed.
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
