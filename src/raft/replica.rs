//! One member: the Raft state machine, its write-ahead log and its store.

use std::net::SocketAddr;

use super::{
    Disk, Envelope, GroupId, Index, Members, MembershipRules, Node, NotLeader, Payload, Position,
    StoreId, TailPolicy, Time, Timing, Wal, WalError,
};
use crate::store::{Answer, Command, Store};

/// A committed command that was applied to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedCommand {
    /// Position of the command in the log.
    pub at: Position,
    /// The store's answer.
    pub answer: Answer,
}

/// A member that syncs its writes before it sends messages or answers.
///
/// Call any number of input methods, then [`flush`](Replica::flush) to write their results with one
/// sync.
pub struct Replica<D> {
    node: Node,
    wal: Wal<D>,
    store: Store,
    applied: Position,
    compact_after: usize,
    /// Commit index last written to the commit hint, which is not synced.
    hinted_commit: Index,
    /// Commit index synced to the log, or read from the disk at start-up.
    persisted_commit: Index,
}

impl<D: Disk> Replica<D> {
    /// Recovers a member from its disk; on an empty disk, starts one that belongs to no group, with the
    /// identity `new_id`.
    ///
    /// The log is compacted to a snapshot each time it has `compact_after` applied entries.
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

    /// Like [`Replica::open`], with a policy for a damaged last record of the log.
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

    /// Format version of the log file.
    pub fn log_format(&self) -> u32 {
        self.wal.format()
    }

    /// The Raft state machine.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The store, as of [`Replica::applied`].
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Position of the last entry applied to the store.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// Whether this member belongs to no group yet.
    pub fn blank(&self) -> bool {
        self.node.hard().group == GroupId::default()
    }

    /// Forms a new group from this member, which must not belong to one yet.
    pub fn form(&mut self, group: GroupId, members: Members) {
        self.node.form(group, members);
    }

    /// Makes this member, while it leads, maintain the number of voters.
    pub fn set_membership_rules(&mut self, rules: MembershipRules) {
        self.node.set_membership_rules(rules);
    }

    /// Adds a member as a learner, if this member leads.
    pub fn join(&mut self, now: Time, id: StoreId, addr: SocketAddr) {
        self.node.join(now, id, addr);
    }

    /// Handles the heartbeat or the election timeout, if due.
    pub fn tick(&mut self, now: Time) {
        self.node.tick(now);
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Time, message: Envelope) {
        self.node.receive(now, message);
    }

    /// Appends a command to the log.
    ///
    /// # Errors
    /// [`NotLeader`] unless this member leads.
    pub fn propose(&mut self, now: Time, command: Command) -> Result<Position, NotLeader> {
        self.node.propose(now, Payload::Command(command))
    }

    /// Proposes the next step by which `id` becomes a voter, if this member leads.
    pub fn admit(&mut self, now: Time, id: StoreId, addr: SocketAddr) {
        self.node.admit(now, id, addr);
    }

    /// Writes and syncs the results of the inputs so far, and applies the committed entries.
    ///
    /// Returns the messages and answers to send; they must not be sent before this returns.
    ///
    /// # Errors
    /// [`WalError`] when the disk fails; the member must then stop without sending anything.
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

    /// Syncs the commit index to the log, unless it is there already, so that the member knows it at its
    /// next start even after a power failure, without contact with the others.
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

/// Draws a random identity for an empty disk.
pub fn random_store_id() -> StoreId {
    StoreId(rand::random())
}
