//! The consensus state machine of one member.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    AppendResult, Body, Entry, Envelope, GroupId, HardState, Index, Log, Members, MembershipRules,
    NotLeader, Payload, Position, Ready, Role, Snapshot, StoreId, Term, Time, Timing, Write,
};

/// Replication state of another member, kept by the leader.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Highest index up to which the member's log is known to match the leader's.
    pub(super) matched: Index,
    /// Index of the next entry to send.
    pub(super) next: Index,
    /// When the newest heartbeat round to which the member replied was sent.
    pub(super) acked_at: Option<Time>,
    /// When a snapshot was last sent.
    pub(super) snapshot_sent: Option<Time>,
    /// Whether the member rejected entries and has accepted none since. Then at most one message with
    /// entries is sent per heartbeat interval.
    pub(super) probing: bool,
    /// When the last such message was sent.
    pub(super) probed_at: Option<Time>,
    /// When the leader began to track the member.
    pub(super) since: Time,
}

/// The consensus state of one member.
pub struct Node {
    pub(super) id: StoreId,
    pub(super) timing: Timing,
    pub(super) rng: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<StoreId>,
    pub(super) commit: Index,
    /// Index of the last committed entry put into a [`Ready`].
    pub(super) delivered: Index,
    pub(super) votes: BTreeSet<StoreId>,
    pub(super) progress: BTreeMap<StoreId, Progress>,
    /// Index of the leader's first entry in its term.
    pub(super) term_start: Index,
    pub(super) round: u64,
    /// Heartbeat rounds of the last `election_max`, with the time at which each was sent.
    pub(super) rounds: VecDeque<(u64, Time)>,
    pub(super) heartbeat_at: Time,
    pub(super) campaign_at: Time,
    /// When this member last had contact with a leader; for a leader, when it was elected. At start-up
    /// it is the current time, since a vote or a contact from before the restart may be forgotten.
    pub(super) leader_contact_at: Time,
    /// Time of the last input.
    pub(super) now: Time,
    /// Rules by which this member, while it leads, changes the membership by itself; `None` for never.
    pub(super) membership_rules: Option<MembershipRules>,
    pub(super) ready: Ready,
}

impl Node {
    /// A follower with the state recovered from its disk.
    pub fn new(
        id: StoreId,
        timing: Timing,
        hard: HardState,
        log: Log,
        now: Time,
        seed: u64,
    ) -> Self {
        let commit = log.snapshot().at.index;
        let mut node = Node {
            id,
            timing,
            rng: SmallRng::seed_from_u64(seed),
            hard,
            log,
            role: Role::Follower,
            leader: None,
            commit,
            delivered: commit,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            term_start: 0,
            round: 0,
            rounds: VecDeque::new(),
            heartbeat_at: now,
            campaign_at: now,
            leader_contact_at: now,
            now,
            membership_rules: None,
            ready: Ready::default(),
        };
        node.reset_campaign(now);
        node
    }

    /// Sets the commit index recovered from the member's own disk.
    pub(super) fn restore_commit(&mut self, commit: Index) {
        self.commit = self.commit.max(commit.min(self.log.last().index));
    }

    /// Identity of this member's disk.
    pub fn id(&self) -> StoreId {
        self.id
    }

    /// Group, term and vote.
    pub fn hard(&self) -> HardState {
        self.hard
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Leader of the term, if known.
    pub fn leader(&self) -> Option<StoreId> {
        self.leader
    }

    /// Index up to which entries are committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Membership in effect.
    pub fn members(&self) -> &Members {
        self.log.members().0
    }

    /// Takes the outputs that have accumulated since the last call.
    pub fn take_ready(&mut self) -> Ready {
        for entry in self.log.from(self.delivered + 1) {
            if entry.index > self.commit {
                break;
            }
            self.ready.committed.push(entry.clone());
        }
        self.delivered = self.delivered.max(self.commit);
        std::mem::take(&mut self.ready)
    }

    /// Forms a new group from this member, which must not belong to one yet.
    pub fn form(&mut self, group: GroupId, members: Members) {
        self.set_hard(HardState { group, ..self.hard });
        let snapshot =
            Snapshot { at: Position { term: 1, index: 1 }, members, store: Default::default() };
        self.restore(snapshot);
    }

    /// Whether this member certainly is the only leader and knows all committed entries: a quorum has
    /// replied to a heartbeat sent within the lease, and an entry of its own term is committed.
    pub fn lease_valid(&self, now: Time) -> bool {
        if self.role != Role::Leader || self.commit < self.term_start {
            return false;
        }
        self.quorum_acked_at(now).is_some_and(|acked| now < acked + self.timing.lease())
    }

    /// Time until which the applied state is up to date, but for the time that a leader's message
    /// takes to arrive; `None` without contact with a leader.
    pub fn fresh_until(&self, now: Time) -> Option<Time> {
        match self.role {
            Role::Leader if self.commit < self.term_start => None,
            Role::Leader => Some(self.quorum_acked_at(now)? + self.timing.lease()),
            _ => self.leader.map(|_| self.leader_contact_at + self.timing.election_min),
        }
    }

    /// When this member was elected, if it leads.
    pub fn leading_since(&self) -> Option<Time> {
        (self.role == Role::Leader).then_some(self.leader_contact_at)
    }

    /// For the leader: whether `id` has replied recently, and the last index that it has on disk.
    pub fn follower_progress(&self, now: Time, id: StoreId) -> (bool, Index) {
        (self.recently_acked(now, id), self.matched(id))
    }

    /// When [`Node::tick`] must be called next, unless another input comes first.
    pub fn next_tick(&self) -> Time {
        if self.role == Role::Leader { self.heartbeat_at } else { self.campaign_at }
    }

    /// Handles the heartbeat or the election timeout, if due.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        if self.role == Role::Leader {
            self.check_quorum(now);
            if self.role == Role::Leader && now >= self.heartbeat_at {
                self.maintain_members(now);
                self.broadcast(now);
            }
        } else if now >= self.campaign_at {
            self.pre_campaign(now);
        }
    }

    /// Appends an entry to the log and sends it to the other members.
    ///
    /// # Errors
    /// [`NotLeader`] unless this member leads.
    pub fn propose(&mut self, now: Time, payload: Payload) -> Result<Position, NotLeader> {
        self.now = now;
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        let position = self.append(payload);
        self.send_new_entries(now);
        self.advance_commit();
        Ok(position)
    }

    /// Proposes the next step by which `id` becomes a voter, if this member leads and a step is possible
    /// now. The address must not belong to another member that has replied recently.
    pub fn admit(&mut self, now: Time, id: StoreId, addr: std::net::SocketAddr) {
        let (members, changed_at) = self.log.members();
        let confirmed = self.commit >= changed_at && self.commit >= self.term_start;
        if self.role != Role::Leader || !confirmed {
            return;
        }
        let occupant = members.0.iter().find(|member| member.addr == addr && member.id != id);
        if occupant.is_some_and(|member| self.recently_acked(now, member.id)) {
            return;
        }
        let progress = self.progress.get(&id);
        let caught_up = progress.is_some_and(|progress| progress.matched >= self.commit);
        if let Some(next) = members.next_step(id, addr, caught_up) {
            let _ = self.propose(now, Payload::Members(next));
        }
    }

    /// Replaces the log up to `index` by a snapshot of the store at that index.
    pub fn compact(&mut self, index: Index, store: crate::store::Store) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            at: Position { term, index },
            members: self.log.members_as_of(index).clone(),
            store,
        };
        self.log.compact(snapshot.clone());
        self.ready.writes.push(Write::Snapshot(Box::new(snapshot)));
    }

    /// Handles a message from another member; drops it if it is for another member or group.
    pub fn receive(&mut self, now: Time, message: Envelope) {
        self.now = now;
        let blank = self.hard.group == GroupId::default();
        if message.to != self.id || (message.group != self.hard.group && !blank) {
            return;
        }
        if !self.accept_term(now, &message) {
            return;
        }
        if blank {
            self.set_hard(HardState { group: message.group, ..self.hard });
        }
        let from = message.from;
        match message.body {
            Body::PreVote { last } => self.on_pre_vote(now, from, message.term, last),
            Body::PreVoteReply { granted } => {
                self.on_vote_reply(now, from, Role::PreCandidate, granted);
            }
            Body::Vote { last } => self.on_vote(now, from, last),
            Body::VoteReply { granted } => self.on_vote_reply(now, from, Role::Candidate, granted),
            Body::Append { prev, entries, commit, round } => {
                self.follow(now, from);
                let result = self.on_append(prev, entries, commit);
                self.send(from, Body::AppendReply { round, result });
            }
            Body::Install { snapshot, round } => {
                self.follow(now, from);
                let result = self.on_install(*snapshot);
                self.send(from, Body::AppendReply { round, result });
            }
            Body::AppendReply { round, result } => self.on_append_reply(now, from, round, result),
        }
    }

    /// Compares the term of a message with this member's, and follows a higher term. Returns whether the
    /// message is to be handled.
    fn accept_term(&mut self, now: Time, message: &Envelope) -> bool {
        match &message.body {
            Body::PreVote { .. } => return true,
            Body::PreVoteReply { granted: true } => return message.term == self.hard.term + 1,
            Body::Vote { .. } if message.term > self.hard.term && self.has_leader_contact(now) => {
                return false;
            }
            _ => {}
        }
        if message.term > self.hard.term {
            self.become_follower(now, message.term);
        }
        if message.term == self.hard.term {
            return true;
        }
        match message.body {
            Body::Vote { .. } => self.send(message.from, Body::VoteReply { granted: false }),
            Body::Append { round, .. } | Body::Install { round, .. } => {
                let result = AppendResult::Rejected { hint: 0 };
                self.send(message.from, Body::AppendReply { round, result });
            }
            _ => {}
        }
        false
    }

    pub(super) fn append(&mut self, payload: Payload) -> Position {
        let index = self.log.last().index + 1;
        let entry = Entry { term: self.hard.term, index, payload };
        self.log.push(entry.clone());
        self.ready.writes.push(Write::Append(entry));
        self.track_members();
        self.log.last()
    }

    pub(super) fn become_leader(&mut self, now: Time) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_contact_at = now;
        self.rounds.clear();
        self.progress.clear();
        self.term_start = self.append(Payload::Noop).index;
        self.broadcast(now);
        self.advance_commit();
    }

    pub(super) fn become_follower(&mut self, now: Time, term: Term) {
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        if term > self.hard.term {
            self.set_hard(HardState { term, vote: None, ..self.hard });
        }
        self.reset_campaign(now);
    }

    /// Follows the sender of an append or a snapshot as the leader of the term.
    pub(super) fn follow(&mut self, now: Time, leader: StoreId) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_contact_at = now;
        self.reset_campaign(now);
    }

    pub(super) fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.ready.writes.push(Write::Hard(hard));
    }

    pub(super) fn send(&mut self, to: StoreId, body: Body) {
        self.send_in(self.hard.term, to, body);
    }

    pub(super) fn send_in(&mut self, term: Term, to: StoreId, body: Body) {
        self.ready.messages.push(Envelope {
            group: self.hard.group,
            from: self.id,
            to,
            term,
            body,
        });
    }
}
