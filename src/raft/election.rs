//! Elections: pre-votes and votes. A voter that has contact with a leader grants neither, so that a
//! leader is not replaced while its lease may hold.

use rand::RngExt;

use super::node::Node;
use super::{Body, HardState, Position, Role, StoreId, Term, Time};

impl Node {
    /// Whether this member leads or has had contact with a leader so recently that the leader's lease
    /// may still hold.
    pub(super) fn has_leader_contact(&self, now: Time) -> bool {
        match self.role {
            Role::Leader => true,
            _ => now < self.leader_contact_at + self.timing.election_min,
        }
    }

    pub(super) fn on_pre_vote(&mut self, now: Time, from: StoreId, term: Term, last: Position) {
        let granted =
            term > self.hard.term && last >= self.log.last() && !self.has_leader_contact(now);
        let reply_term = if granted { term } else { self.hard.term };
        self.send_in(reply_term, from, Body::PreVoteReply { granted });
    }

    pub(super) fn on_vote(&mut self, now: Time, from: StoreId, last: Position) {
        let vote_free = self.hard.vote.is_none() || self.hard.vote == Some(from);
        let granted = vote_free && last >= self.log.last() && self.role == Role::Follower;
        if granted {
            self.set_hard(HardState { vote: Some(from), ..self.hard });
            self.reset_campaign(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Time,
        from: StoreId,
        asked_as: Role,
        granted: bool,
    ) {
        if self.role != asked_as || !granted {
            return;
        }
        self.votes.insert(from);
        let members = self.members();
        let votes = members.voters().filter(|id| self.votes.contains(id)).count();
        if votes < members.quorum() {
            return;
        }
        match asked_as {
            Role::PreCandidate => self.campaign(now),
            _ => self.become_leader(now),
        }
    }

    /// Starts a pre-vote, if this member is a voter.
    pub(super) fn pre_campaign(&mut self, now: Time) {
        self.reset_campaign(now);
        if !self.members().voters().any(|id| id == self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        let last = self.log.last();
        self.send_to_voters(self.hard.term + 1, Body::PreVote { last });
        self.on_vote_reply(now, self.id, Role::PreCandidate, true);
    }

    /// Raises the term, votes for itself and requests the other votes.
    pub(super) fn campaign(&mut self, now: Time) {
        self.role = Role::Candidate;
        self.votes.clear();
        self.set_hard(HardState { term: self.hard.term + 1, vote: Some(self.id), ..self.hard });
        self.reset_campaign(now);
        let last = self.log.last();
        self.send_to_voters(self.hard.term, Body::Vote { last });
        self.on_vote_reply(now, self.id, Role::Candidate, true);
    }

    pub(super) fn send_to_voters(&mut self, term: Term, body: Body) {
        let voters: Vec<StoreId> = self.members().voters().collect();
        for id in voters {
            if id != self.id {
                self.send_in(term, id, body.clone());
            }
        }
    }

    /// Draws a new random time at which this member campaigns unless a leader contacts it before.
    pub(super) fn reset_campaign(&mut self, now: Time) {
        let timeout_range = self.timing.election_min..self.timing.election_max;
        self.campaign_at = now + self.rng.random_range(timeout_range);
    }
}
