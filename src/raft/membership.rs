//! How a group keeps its number of voters up by itself: who joins, who takes whose place.

use std::net::SocketAddr;
use std::time::Duration;

use super::node::Node;
use super::{Member, Members, Payload, Role, Standing, StoreId, Time};

/// Rules by which a leader keeps the number of voters up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upkeep {
    /// Voters wanted; further members stand by as learners.
    pub voters: usize,
    /// Silence after which a voter gives its place to a learner that has caught up.
    pub silence: Duration,
    /// Silence after which a learner is forgotten; it may join again.
    pub forget: Duration,
}

/// What a leader knows of a member's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// How long the member has not answered.
    pub silent_for: Duration,
    /// Whether its log covers the commit index.
    pub caught_up: bool,
}

impl Members {
    /// The one next change that the rules ask for, or `None` when nothing is to be done.
    ///
    /// Each changes at most one voter, so that quorums before and after overlap. A voter leaves only
    /// when a learner is ready to follow in the next step.
    pub fn upkeep(&self, rules: &Upkeep, health: impl Fn(StoreId) -> Health) -> Option<Members> {
        let ready = self.0.iter().find(|member| {
            let health = health(member.id);
            let answers = health.silent_for < rules.silence;
            member.standing == Standing::Learner && answers && health.caught_up
        });
        let silent = |member: &&Member| health(member.id).silent_for >= rules.silence;
        let voters = self.voters().count();
        if let Some(ready) = ready {
            if let Some(replaced) = self.predecessor(ready) {
                return Some(self.without(replaced));
            }
            if voters < rules.voters {
                return Some(self.with_standing(ready.id, Standing::Voter));
            }
            let voters = self.0.iter().filter(|member| member.standing == Standing::Voter);
            if let Some(lost) = voters.into_iter().find(silent) {
                return Some(self.with_standing(lost.id, Standing::Learner));
            }
        }
        let learners = self.0.iter().filter(|member| member.standing == Standing::Learner);
        let forgotten = |member: &&Member| {
            let superseded = self.0.iter().any(|other| {
                other.id != member.id
                    && other.addr == member.addr
                    && health(other.id).silent_for < rules.silence
            });
            let silent_for = health(member.id).silent_for;
            silent_for >= rules.forget || (superseded && silent_for >= rules.silence)
        };
        let gone = learners.into_iter().find(forgotten)?;
        Some(self.without(gone.id))
    }

    /// The voter whose address `learner` took over: its disk is lost.
    fn predecessor(&self, learner: &Member) -> Option<StoreId> {
        let same = |member: &&Member| member.addr == learner.addr && member.id != learner.id;
        let voters = self.0.iter().filter(|member| member.standing == Standing::Voter);
        voters.into_iter().find(same).map(|member| member.id)
    }

    fn without(&self, id: StoreId) -> Members {
        Members(self.0.iter().filter(|member| member.id != id).copied().collect())
    }

    fn with_standing(&self, id: StoreId, standing: Standing) -> Members {
        let change = |member: &Member| match member.id == id {
            true => Member { standing, ..*member },
            false => *member,
        };
        Members(self.0.iter().map(change).collect())
    }
}

impl Node {
    /// Lets this member, while it leads, keep the number of voters up.
    pub fn keep_up(&mut self, upkeep: Upkeep) {
        self.upkeep = Some(upkeep);
    }

    /// Takes a store in as a learner, if this member leads and the address is not in use.
    pub fn join(&mut self, now: Time, id: StoreId, addr: SocketAddr) {
        self.now = now;
        if self.role != Role::Leader || !self.settled() || self.members().get(id).is_some() {
            return;
        }
        let occupant = self.members().0.iter().find(|member| member.addr == addr);
        if occupant.is_some_and(|member| self.recently_heard(now, member.id)) {
            return;
        }
        let mut members = self.members().clone();
        members.0.retain(|member| member.addr != addr || member.standing == Standing::Voter);
        members.0.push(Member { id, addr, standing: Standing::Learner });
        // A leader takes every proposal.
        let _ = self.propose(now, Payload::Members(members));
    }

    /// Takes the next step of upkeep, if one is due.
    pub(super) fn maintain(&mut self, now: Time) {
        let Some(rules) = self.upkeep else {
            return;
        };
        if !self.settled() {
            return;
        }
        let next = self.members().upkeep(&rules, |id| self.health(now, id));
        if let Some(members) = next {
            // A leader takes every proposal.
            let _ = self.propose(now, Payload::Members(members));
        }
    }

    /// Whether the last change of members and the first entry of this term are committed.
    fn settled(&self) -> bool {
        let (_, changed_at) = self.log.members();
        self.commit >= changed_at && self.commit >= self.term_start
    }

    fn health(&self, now: Time, id: StoreId) -> Health {
        if id == self.id {
            return Health { silent_for: Duration::ZERO, caught_up: true };
        }
        let Some(progress) = self.progress.get(&id) else {
            return Health { silent_for: Duration::ZERO, caught_up: false };
        };
        let heard = progress.acked_at.unwrap_or(progress.since);
        let silent_for = now.saturating_sub(heard);
        let caught_up = progress.acked_at.is_some() && progress.matched >= self.commit;
        Health { silent_for, caught_up }
    }
}
