//! One member as a whole: the state machine, its log on disk and its store.

use std::net::SocketAddr;

use super::{
    Disk, Envelope, GroupId, Index, Members, MembershipRules, Node, NotLeader, Payload, Position,
    StoreId, TailPolicy, Time, Timing, Wal, WalError,
};
use crate::store::{Answer, Command, Store};

/// A committed command and its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedCommand {
    /// Where in the log the command stands.
    pub at: Position,
    /// The store's answer.
    pub answer: Answer,
}

/// A member that writes before it speaks.
///
/// Feed it any number of inputs, then [`flush`](Replica::flush) them with one sync.
pub struct Replica<D> {
    node: Node,
    wal: Wal<D>,
    store: Store,
    applied: Position,
    compact_after: usize,
    /// Commit index last hinted_commit beside the log.
    hinted_commit: Index,
    /// Commit index that is surely on disk.
    persisted_commit: Index,
}

impl<D: Disk> Replica<D> {
    /// Recovers a member from its disk, or starts a blank one under the identity `new_id`.
    ///
    /// The log is cut to a snapshot each time it has `compact_after` applied entries.
    ///
    /// # Errors
    /// [`WalError`] when the log can't be read.
    pub fn open(
        disk: D,
        new_id: StoreId,
        timing: Timing,
        compact_after: usize,
        now: Time,
        seed: u64,
    ) -> Result<Self, WalError> {
        Self::open_with(disk, TailPolicy::Strict, new_id, timing, compact_after, now, seed)
    }

    /// The same, with a rule for a damaged tail of the log.
    ///
    /// # Errors
    /// [`WalError`] when the log can't be read.
    pub fn open_with(
        disk: D,
        tail: TailPolicy,
        new_id: StoreId,
        timing: Timing,
        compact_after: usize,
        now: Time,
        seed: u64,
    ) -> Result<Self, WalError> {
        let (wal, recovered) = Wal::open(disk, tail, new_id)?;
        let snapshot = recovered.log.snapshot();
        let store = snapshot.store.clone();
        let applied = snapshot.at;
        let commit = recovered.commit;
        let mut node = Node::new(recovered.store, timing, recovered.hard, recovered.log, now, seed);
        node.restore_commit(commit);
        Ok(Replica {
            node,
            wal,
            store,
            applied,
            compact_after,
            hinted_commit: commit,
            persisted_commit: commit,
        })
    }

    /// Format of the log's file.
    pub fn log_format(&self) -> u32 {
        self.wal.format()
    }

    /// The consensus state.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The store, up to [`Replica::applied`].
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Last entry in the store.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// Whether this member belongs to no group yet.
    pub fn blank(&self) -> bool {
        self.node.hard().group == GroupId::default()
    }

    /// Makes this blank member the first of a new group.
    pub fn form(&mut self, group: GroupId, members: Members) {
        self.node.form(group, members);
    }

    /// Lets the group keep its number of voters up by itself.
    pub fn set_membership_rules(&mut self, rules: MembershipRules) {
        self.node.set_membership_rules(rules);
    }

    /// Takes a store in as a learner, if this member leads.
    pub fn join(&mut self, now: Time, id: StoreId, addr: SocketAddr) {
        self.node.join(now, id, addr);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.node.tick(now);
    }

    /// Takes a message of another member.
    pub fn receive(&mut self, now: Time, message: Envelope) {
        self.node.receive(now, message);
    }

    /// Puts a command in the log.
    ///
    /// # Errors
    /// [`NotLeader`] unless this member leads.
    pub fn propose(&mut self, now: Time, command: Command) -> Result<Position, NotLeader> {
        self.node.propose(now, Payload::Command(command))
    }

    /// Takes the next step of bringing a newcomer in, if this member leads.
    pub fn admit(&mut self, now: Time, id: StoreId, addr: SocketAddr) {
        self.node.admit(now, id, addr);
    }

    /// Writes, syncs and applies all that the inputs so far have led to.
    ///
    /// Returns the messages to send and the answers to give, which only now may leave.
    ///
    /// # Errors
    /// [`WalError`] when the disk fails; the member must stop, and nothing may leave.
    pub fn flush(&mut self) -> Result<(Vec<Envelope>, Vec<AppliedCommand>), WalError> {
        let ready = self.node.take_ready();
        self.wal.write(&ready.writes, self.node.hard(), self.node.log())?;
        if let Some(snapshot) = ready.restore {
            self.applied = snapshot.at;
            self.store = snapshot.store;
        }
        let mut answers = Vec::new();
        for entry in ready.committed {
            let at = Position { term: entry.term, index: entry.index };
            if let Payload::Command(command) = entry.payload {
                let answer = self.store.apply(entry.index, command);
                answers.push(AppliedCommand { at, answer });
            }
            self.applied = at;
        }
        if self.applied.index > self.hinted_commit {
            self.hinted_commit = self.applied.index;
            self.wal.write_commit_hint(self.hinted_commit);
        }
        self.compact()?;
        Ok((ready.messages, answers))
    }

    /// Puts on disk up to where the log is committed, unless it is there already.
    ///
    /// A member whose power is lost then knows so much at its next start without asking.
    ///
    /// # Errors
    /// [`WalError`] when the disk fails; the member must stop.
    pub fn persist_commit(&mut self) -> Result<(), WalError> {
        if self.applied.index > self.persisted_commit {
            self.persisted_commit = self.applied.index;
            self.wal.write_commit(self.persisted_commit)?;
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), WalError> {
        let covered = self.node.log().snapshot().at.index;
        if self.applied.index < covered + self.compact_after as u64 {
            return Ok(());
        }
        self.node.compact(self.applied.index, self.store.clone());
        let ready = self.node.take_ready();
        self.wal.write(&ready.writes, self.node.hard(), self.node.log())
    }
}

/// Draws an identity for an empty disk.
pub fn random_store_id() -> StoreId {
    StoreId(rand::random())
}
