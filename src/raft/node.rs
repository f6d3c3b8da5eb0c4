//! The consensus state machine of one member.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{
    AppendResult, Body, Entry, Envelope, GroupId, HardState, Index, Log, Members, Payload,
    Position, Snapshot, StoreId, Term, Time,
};

/// Most entries in one message.
const MAX_ENTRIES: usize = 256;

/// Intervals of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest silence after which a member campaigns; until then it votes for no one else.
    pub election_min: Duration,
    /// Longest silence after which a member campaigns, and a leader without a quorum steps down.
    pub election_max: Duration,
}

impl Timing {
    /// How long a quorum's answer to a heartbeat keeps a leader in office, from its sending.
    ///
    /// Shorter than the silence that voters keep, by a fifth, so that clocks may drift apart.
    pub fn lease(&self) -> Duration {
        self.election_min * 4 / 5
    }
}

/// Part that a member plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows the leader of the term, if there is one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks to be elected.
    Candidate,
    /// Leads.
    Leader,
}

/// The member can't take a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this member does not lead the group")]
pub struct NotLeader {
    /// The leader, where it is known.
    pub leader: Option<StoreId>,
}

/// One write to the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Group, term and vote.
    Hard(HardState),
    /// Drop the entries from this index on.
    Truncate(Index),
    /// Add an entry.
    Append(Entry),
    /// Replace the log up to the snapshot.
    Snapshot(Box<Snapshot>),
}

/// What is left to do after a step, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// To be written and synced before anything else is done.
    pub writes: Vec<Write>,
    /// To put in place of the store, before the committed entries.
    pub restore: Option<Box<Snapshot>>,
    /// To apply to the store, in order.
    pub committed: Vec<Entry>,
    /// To send.
    pub messages: Vec<Envelope>,
}

/// What a leader knows of another member.
#[derive(Clone, Debug)]
struct Progress {
    matched: Index,
    next: Index,
    /// Sending time of the newest round that the member answered.
    acked_at: Option<Time>,
    /// When a snapshot was last sent.
    snapshot_sent: Option<Time>,
}

/// The consensus state of one member.
pub struct Node {
    id: StoreId,
    timing: Timing,
    rng: SmallRng,
    hard: HardState,
    log: Log,
    role: Role,
    leader: Option<StoreId>,
    commit: Index,
    /// Last entry handed out as committed.
    handed: Index,
    votes: BTreeSet<StoreId>,
    progress: BTreeMap<StoreId, Progress>,
    /// First index of the leader's own term.
    term_start: Index,
    round: u64,
    /// Sending times of the rounds not older than the lease.
    rounds: VecDeque<(u64, Time)>,
    heartbeat_at: Time,
    campaign_at: Time,
    /// When a leader was last heard; at the start taken as just now, for a vote may be forgotten.
    heard_at: Time,
    ready: Ready,
}

impl Node {
    /// A member with what its disk held.
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
            handed: commit,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            term_start: 0,
            round: 0,
            rounds: VecDeque::new(),
            heartbeat_at: now,
            campaign_at: now,
            heard_at: now,
            ready: Ready::default(),
        };
        node.reset_campaign(now);
        node
    }

    /// Identity of this member's store.
    pub fn id(&self) -> StoreId {
        self.id
    }

    /// Group, term and vote.
    pub fn hard(&self) -> HardState {
        self.hard
    }

    /// Part played now.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Leader of the term, where known.
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

    /// Members in effect.
    pub fn members(&self) -> &Members {
        self.log.members().0
    }

    /// Takes out what is to be done.
    pub fn take_ready(&mut self) -> Ready {
        for entry in self.log.from(self.handed + 1) {
            if entry.index > self.commit {
                break;
            }
            self.ready.committed.push(entry.clone());
        }
        self.handed = self.handed.max(self.commit);
        std::mem::take(&mut self.ready)
    }

    /// Makes a blank member the first of a new group.
    pub fn form(&mut self, group: GroupId, members: Members) {
        self.set_hard(HardState { group, ..self.hard });
        let snapshot =
            Snapshot { at: Position { term: 1, index: 1 }, members, store: Default::default() };
        self.restore(snapshot);
    }

    /// Whether this member leads and surely no other does: a quorum has answered it within the
    /// lease, and all that earlier leaders committed is known to it.
    pub fn lease_valid(&self, now: Time) -> bool {
        if self.role != Role::Leader || self.commit < self.term_start {
            return false;
        }
        self.quorum_acked(now).is_some_and(|acked| now < acked + self.timing.lease())
    }

    /// Since when this member leads.
    pub fn leading_since(&self) -> Option<Time> {
        (self.role == Role::Leader).then_some(self.heard_at)
    }

    /// Whether the leader heard `id` within an election period, and the last index on its disk.
    pub fn heard(&self, now: Time, id: StoreId) -> (bool, Index) {
        (self.recently_heard(now, id), self.matched(id))
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        if self.role == Role::Leader {
            self.check_quorum(now);
            if self.role == Role::Leader && now >= self.heartbeat_at {
                self.broadcast(now);
            }
        } else if now >= self.campaign_at {
            self.pre_campaign(now);
        }
    }

    /// Adds an entry to the log of the group.
    ///
    /// # Errors
    /// [`NotLeader`] unless this member leads.
    pub fn propose(&mut self, now: Time, payload: Payload) -> Result<Position, NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        let position = self.append(payload);
        self.send_to_all(now);
        self.advance_commit();
        Ok(position)
    }

    /// Proposes the next step of bringing a newcomer in, if one can be taken now.
    pub fn admit(&mut self, now: Time, id: StoreId, addr: std::net::SocketAddr) {
        let (members, changed_at) = self.log.members();
        let settled = self.commit >= changed_at && self.commit >= self.term_start;
        if self.role != Role::Leader || !settled {
            return;
        }
        let occupant = members.0.iter().find(|member| member.addr == addr && member.id != id);
        if occupant.is_some_and(|member| self.recently_heard(now, member.id)) {
            return;
        }
        let progress = self.progress.get(&id);
        let caught_up = progress.is_some_and(|progress| progress.matched >= self.commit);
        if let Some(next) = members.next_step(id, addr, caught_up) {
            let _ = self.propose(now, Payload::Members(next));
        }
    }

    /// Puts the store as of `index` in place of the log up to there.
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

    /// Takes a message.
    pub fn receive(&mut self, now: Time, message: Envelope) {
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

    /// Compares the term of a message with ours; tells whether the message is to be handled.
    fn accept_term(&mut self, now: Time, message: &Envelope) -> bool {
        match &message.body {
            Body::PreVote { .. } => return true,
            Body::PreVoteReply { granted: true } => return message.term == self.hard.term + 1,
            Body::Vote { .. } if message.term > self.hard.term && self.hears_leader(now) => {
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

    /// Whether a leader was heard so recently that its lease may hold.
    fn hears_leader(&self, now: Time) -> bool {
        match self.role {
            Role::Leader => true,
            _ => now < self.heard_at + self.timing.election_min,
        }
    }

    fn on_pre_vote(&mut self, now: Time, from: StoreId, term: Term, last: Position) {
        let granted = term > self.hard.term && last >= self.log.last() && !self.hears_leader(now);
        let reply_term = if granted { term } else { self.hard.term };
        self.send_in(reply_term, from, Body::PreVoteReply { granted });
    }

    fn on_vote(&mut self, now: Time, from: StoreId, last: Position) {
        let free = self.hard.vote.is_none() || self.hard.vote == Some(from);
        let granted = free && last >= self.log.last() && self.role == Role::Follower;
        if granted {
            self.set_hard(HardState { vote: Some(from), ..self.hard });
            self.reset_campaign(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    fn on_vote_reply(&mut self, now: Time, from: StoreId, asked_as: Role, granted: bool) {
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

    fn on_append(&mut self, prev: Position, entries: Vec<Entry>, commit: Index) -> AppendResult {
        let covered = self.log.snapshot().at.index;
        if prev.index >= covered && self.log.term_at(prev.index) != Some(prev.term) {
            let hint = self.log.last().index.min(prev.index.saturating_sub(1));
            return AppendResult::Rejected { hint };
        }
        let matched = prev.index + entries.len() as Index;
        for entry in entries {
            self.take_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        AppendResult::Matched(matched)
    }

    /// Adds an entry of the leader unless it is there; what stands in its place goes.
    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().at.index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(entry.index > self.commit, "a committed entry would be replaced");
                self.log.truncate(entry.index);
                self.ready.writes.push(Write::Truncate(entry.index));
            }
            None => {}
        }
        self.log.push(entry.clone());
        self.ready.writes.push(Write::Append(entry));
    }

    fn on_install(&mut self, snapshot: Snapshot) -> AppendResult {
        let index = snapshot.at.index;
        if index > self.commit {
            self.restore(snapshot);
        }
        AppendResult::Matched(index)
    }

    fn restore(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot.clone());
        self.commit = snapshot.at.index;
        self.handed = self.commit;
        let snapshot = Box::new(snapshot);
        self.ready.writes.push(Write::Snapshot(snapshot.clone()));
        self.ready.restore = Some(snapshot);
    }

    fn on_append_reply(&mut self, now: Time, from: StoreId, round: u64, result: AppendResult) {
        if self.role != Role::Leader {
            return;
        }
        let sent_at = self.rounds.iter().find(|(sent, _)| *sent == round).map(|(_, at)| *at);
        let last = self.log.last().index;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_at = progress.acked_at.max(sent_at);
        match result {
            AppendResult::Matched(index) => {
                progress.matched = progress.matched.max(index);
                progress.next = progress.next.max(progress.matched + 1);
                progress.snapshot_sent = None;
                self.advance_commit();
            }
            AppendResult::Rejected { hint } => {
                progress.next = (hint + 1).clamp(progress.matched + 1, last + 1);
            }
        }
        if self.progress[&from].next <= last {
            self.send_entries(now, from);
        }
    }

    fn append(&mut self, payload: Payload) -> Position {
        let index = self.log.last().index + 1;
        let entry = Entry { term: self.hard.term, index, payload };
        self.log.push(entry.clone());
        self.ready.writes.push(Write::Append(entry));
        self.track_members();
        self.log.last()
    }

    /// Keeps a progress for each other member, and for no one else.
    fn track_members(&mut self) {
        let ids: BTreeSet<StoreId> = self.members().0.iter().map(|member| member.id).collect();
        self.progress.retain(|id, _| ids.contains(id));
        let next = self.log.last().index;
        for id in ids {
            if id != self.id {
                self.progress.entry(id).or_insert(Progress {
                    matched: 0,
                    next,
                    acked_at: None,
                    snapshot_sent: None,
                });
            }
        }
    }

    fn advance_commit(&mut self) {
        let members = self.members();
        let mut matched: Vec<Index> = members.voters().map(|id| self.matched(id)).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&agreed) = matched.get(members.quorum() - 1) else {
            return;
        };
        // Only entries of the own term commit by counting (Raft, section 5.4.2).
        if agreed > self.commit && self.log.term_at(agreed) == Some(self.hard.term) {
            self.commit = agreed;
        }
    }

    fn matched(&self, id: StoreId) -> Index {
        if id == self.id {
            return self.log.last().index;
        }
        self.progress.get(&id).map_or(0, |progress| progress.matched)
    }

    /// Sending time of the newest heartbeat that a quorum has answered.
    fn quorum_acked(&self, now: Time) -> Option<Time> {
        let members = self.members();
        let mut acked: Vec<Option<Time>> = members
            .voters()
            .map(|id| {
                if id == self.id {
                    return Some(now);
                }
                self.progress.get(&id).and_then(|progress| progress.acked_at)
            })
            .collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(members.quorum() - 1).copied().flatten()
    }

    fn recently_heard(&self, now: Time, id: StoreId) -> bool {
        let acked = self.progress.get(&id).and_then(|progress| progress.acked_at);
        id == self.id || acked.is_some_and(|at| now < at + self.timing.election_max)
    }

    fn check_quorum(&mut self, now: Time) {
        let elected_or_acked = self.quorum_acked(now).unwrap_or(Time::ZERO).max(self.heard_at);
        if now >= elected_or_acked + self.timing.election_max {
            self.become_follower(now, self.hard.term);
        }
    }

    fn pre_campaign(&mut self, now: Time) {
        self.reset_campaign(now);
        if !self.members().voters().any(|id| id == self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        let last = self.log.last();
        self.ask_voters(self.hard.term + 1, Body::PreVote { last });
        self.on_vote_reply(now, self.id, Role::PreCandidate, true);
    }

    fn campaign(&mut self, now: Time) {
        self.role = Role::Candidate;
        self.votes.clear();
        self.set_hard(HardState { term: self.hard.term + 1, vote: Some(self.id), ..self.hard });
        self.reset_campaign(now);
        let last = self.log.last();
        self.ask_voters(self.hard.term, Body::Vote { last });
        self.on_vote_reply(now, self.id, Role::Candidate, true);
    }

    fn ask_voters(&mut self, term: Term, body: Body) {
        let voters: Vec<StoreId> = self.members().voters().collect();
        for id in voters {
            if id != self.id {
                self.send_in(term, id, body.clone());
            }
        }
    }

    fn become_leader(&mut self, now: Time) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.heard_at = now;
        self.rounds.clear();
        self.progress.clear();
        self.term_start = self.append(Payload::Noop).index;
        self.broadcast(now);
        self.advance_commit();
    }

    fn become_follower(&mut self, now: Time, term: Term) {
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        if term > self.hard.term {
            self.set_hard(HardState { term, vote: None, ..self.hard });
        }
        self.reset_campaign(now);
    }

    /// Recognizes the sender of an append as the leader of the term.
    fn follow(&mut self, now: Time, leader: StoreId) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.heard_at = now;
        self.reset_campaign(now);
    }

    fn reset_campaign(&mut self, now: Time) {
        let spread = self.timing.election_min..self.timing.election_max;
        self.campaign_at = now + self.rng.random_range(spread);
    }

    /// Starts a new round and sends it to every member.
    fn broadcast(&mut self, now: Time) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        let oldest = now.saturating_sub(self.timing.election_max);
        while self.rounds.front().is_some_and(|(_, at)| *at < oldest) {
            self.rounds.pop_front();
        }
        self.heartbeat_at = now + self.timing.heartbeat;
        self.send_to_all(now);
    }

    fn send_to_all(&mut self, now: Time) {
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_entries(now, id);
        }
    }

    /// Sends what the member lacks, or a heartbeat.
    fn send_entries(&mut self, now: Time, to: StoreId) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let round = self.round;
        let index = progress.next - 1;
        let Some(term) = self.log.term_at(index) else {
            self.send_snapshot(now, to);
            return;
        };
        let missing = self.log.from(progress.next);
        let entries = missing[..missing.len().min(MAX_ENTRIES)].to_vec();
        progress.next += entries.len() as Index;
        let body =
            Body::Append { prev: Position { term, index }, entries, commit: self.commit, round };
        self.send(to, body);
    }

    /// Sends the snapshot, at most once in an election period; heartbeats in between.
    fn send_snapshot(&mut self, now: Time, to: StoreId) {
        let round = self.round;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let due = progress.snapshot_sent.is_none_or(|at| now >= at + self.timing.election_max);
        let body = if due {
            progress.snapshot_sent = Some(now);
            let snapshot = Box::new(self.log.snapshot().clone());
            Body::Install { snapshot, round }
        } else {
            Body::Append {
                prev: self.log.snapshot().at,
                entries: Vec::new(),
                commit: self.commit,
                round,
            }
        };
        self.send(to, body);
    }

    fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.ready.writes.push(Write::Hard(hard));
    }

    fn send(&mut self, to: StoreId, body: Body) {
        self.send_in(self.hard.term, to, body);
    }

    fn send_in(&mut self, term: Term, to: StoreId, body: Body) {
        self.ready.messages.push(Envelope {
            group: self.hard.group,
            from: self.id,
            to,
            term,
            body,
        });
    }
}
