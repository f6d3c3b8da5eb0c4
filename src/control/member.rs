//! The thread that owns a member's Raft replica. It handles inputs in batches, with one disk sync for each batch.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

use slog::{Logger, error, info};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Instant;
use crate::directory::Directory;
use crate::document::Document;
use crate::evacuations::Evacuations;
use crate::level::Level;
use crate::raft::{
    BoxedDisk, Disk, Envelope, GroupId, Index, Members, Position, Replica, Role, Time, WalError,
};
use crate::rollout::Rollouts;
use crate::rpc::ControlError;
use crate::store::{Answer, Command, Revision};

/// Minimum time between two writes of the commit index to disk.
const COMMIT_SAVE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum of inputs that are handled after the first one before the next disk sync.
const MAX_BATCH: usize = 512;

type Query = Box<dyn FnOnce(&mut Replica<BoxedDisk>, Time) + Send>;
type AnswerSender = oneshot::Sender<Result<Answer, ControlError>>;

/// An input of the replica's thread.
enum Input {
    /// Raft messages from other members.
    Deliver(Vec<Envelope>),
    /// A command to replicate, and where its answer goes.
    Propose(Command, AnswerSender),
    /// A function to run on the replica.
    Query(Query),
}

/// Handle of the thread that owns the replica.
#[derive(Clone)]
pub(crate) struct Member {
    inputs: Sender<Input>,
    revision: watch::Receiver<Revision>,
    published: watch::Receiver<Published>,
    leadership: watch::Receiver<Leadership>,
}

/// Copy of the applied state, for readers that must not wait for the thread, which may be blocked on the disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    /// Feature level that the group may use.
    pub(crate) level: Level,
    /// Index of the last applied entry.
    pub(crate) applied: Index,
    /// Current revision of the store.
    pub(crate) revision: Revision,
    /// Configuration document in force.
    pub(crate) document: Option<Document>,
    /// Directory of the targets that announced themselves.
    pub(crate) directory: Directory,
    /// Evacuation orders for data halls.
    pub(crate) evacuations: Arc<Evacuations>,
    /// Roll-outs of services.
    pub(crate) rollouts: Arc<Rollouts>,
    /// Members of the group, as of the newest entry in the log.
    pub(crate) members: Members,
}

impl Published {
    /// Version of the configuration in force; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }
}

/// The term and leader of the group, as far as this member knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leadership {
    /// Newest term seen.
    pub(crate) term: u64,
    /// Whether this member leads.
    pub(crate) leads: bool,
    /// Address of the leader, if known.
    pub(crate) leader: Option<SocketAddr>,
    /// Until when the published state counts as fresh; `None` without contact with a leader.
    pub(crate) fresh_until: Option<Instant>,
}

impl Leadership {
    /// Whether the published state counts as fresh at `now`.
    pub(crate) fn fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }
}

/// A member whose thread was just started.
pub(crate) struct Started {
    /// Handle of the thread.
    pub(crate) member: Member,
    /// Messages for other members, which the caller must send.
    pub(crate) outbox: Outbox,
    /// Receives the disk error that stops the thread.
    pub(crate) failed: oneshot::Receiver<WalError>,
}

/// Messages for other members, in batches.
pub(crate) type Outbox = mpsc::UnboundedReceiver<Vec<Envelope>>;

impl Member {
    /// Opens the replica and starts its thread.
    pub(crate) fn start(
        log: &Logger,
        open: impl FnOnce(Time) -> Result<Replica<BoxedDisk>, WalError>,
    ) -> Result<Started, WalError> {
        let started = Instant::now();
        let replica = open(Time::ZERO)?;
        let (inputs, received) = channel();
        let (outbox_sender, outbox) = mpsc::unbounded_channel();
        let (revision, watched) = watch::channel(replica.store().revision());
        let (published, watched_published) = watch::channel(Published::default());
        let (leadership, watched_leadership) = watch::channel(Leadership::default());
        let (failed, failure) = oneshot::channel();
        let mut driver = Driver {
            started,
            commit_saved_at: started,
            role: replica.node().role(),
            replica,
            outbox: outbox_sender,
            revision,
            published,
            leadership,
            pending: BTreeMap::new(),
            log: log.clone(),
        };
        std::thread::spawn(move || {
            if let Err(error) = driver.run(&received) {
                error!(driver.log, "disk failed; member stops"; "event" => "disk_failed", "error" => %error);
                let _ = failed.send(error);
            }
        });
        let member = Member {
            inputs,
            revision: watched,
            published: watched_published,
            leadership: watched_leadership,
        };
        Ok(Started { member, outbox, failed: failure })
    }

    /// Watches the revision of the store.
    pub(crate) fn revision(&self) -> watch::Receiver<Revision> {
        self.revision.clone()
    }

    /// Watches the published state, which changes with each applied entry and each change of the members.
    pub(crate) fn published(&self) -> watch::Receiver<Published> {
        self.published.clone()
    }

    /// The term and leader that the member knows of now.
    pub(crate) fn leadership(&self) -> Leadership {
        *self.leadership.borrow()
    }

    /// Passes messages from other members to the replica.
    pub(crate) fn deliver(&self, messages: Vec<Envelope>) {
        let _ = self.inputs.send(Input::Deliver(messages));
    }

    /// Proposes a command and waits until it is applied, for its answer.
    ///
    /// [`ControlError::Unknown`] means that the command may or may not take effect.
    pub(crate) async fn propose(&self, command: Command) -> Result<Answer, ControlError> {
        let (sender, answer) = oneshot::channel();
        let sent = self.inputs.send(Input::Propose(command, sender));
        sent.map_err(|_| ControlError::Stopping)?;
        answer.await.unwrap_or(Err(ControlError::Unknown))
    }

    /// Runs `function` on the replica, in its thread.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        function: impl FnOnce(&mut Replica<BoxedDisk>, Time) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let (sender, answer) = oneshot::channel();
        let query: Query = Box::new(move |replica, now| {
            let _ = sender.send(function(replica, now));
        });
        let sent = self.inputs.send(Input::Query(query));
        sent.map_err(|_| ControlError::Stopping)?;
        answer.await.map_err(|_| ControlError::Stopping)
    }

    /// Initializes this blank member as the first of a new group. Fails if it belongs to a group already.
    pub(crate) async fn form(&self, group: GroupId, members: Members) -> Result<(), ControlError> {
        self.query(move |replica, _| {
            if !replica.blank() {
                return Err(ControlError::Form("this member belongs to a group already".into()));
            }
            replica.form(group, members);
            Ok(())
        })
        .await?
    }
}

/// A proposal that is not applied yet.
struct PendingProposal {
    /// Term of the proposed entry: another entry may be committed at its index in a later term.
    term: u64,
    answer: AnswerSender,
}

/// State of the thread.
struct Driver<D: Disk> {
    /// Start of the replica's clock.
    started: Instant,
    /// When the commit index was last written to disk.
    commit_saved_at: Instant,
    replica: Replica<D>,
    role: Role,
    outbox: mpsc::UnboundedSender<Vec<Envelope>>,
    revision: watch::Sender<Revision>,
    published: watch::Sender<Published>,
    leadership: watch::Sender<Leadership>,
    /// Proposals that are not applied yet, by log index.
    pending: BTreeMap<Index, PendingProposal>,
    log: Logger,
}

impl Driver<BoxedDisk> {
    /// Runs until every handle is dropped or the disk fails.
    fn run(&mut self, inputs: &Receiver<Input>) -> Result<(), WalError> {
        self.flush()?;
        loop {
            let wait = self.replica.node().next_tick().saturating_sub(self.started.elapsed());
            match inputs.recv_timeout(wait) {
                Ok(input) => {
                    self.handle(input);
                    inputs.try_iter().take(MAX_BATCH).for_each(|input| self.handle(input));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = self.started.elapsed();
            if now >= self.replica.node().next_tick() {
                self.replica.tick(now);
            }
            self.flush()?;
            if self.commit_saved_at.elapsed() >= COMMIT_SAVE_INTERVAL {
                self.commit_saved_at = Instant::now();
                self.replica.persist_commit()?;
            }
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.started.elapsed();
        match input {
            Input::Deliver(messages) => {
                for message in messages {
                    self.replica.receive(now, message);
                }
            }
            Input::Propose(command, answer) => self.propose(now, command, answer),
            Input::Query(query) => query(&mut self.replica, now),
        }
    }

    fn propose(&mut self, now: Time, command: Command, answer: AnswerSender) {
        match self.replica.propose(now, command) {
            Ok(Position { term, index }) => {
                self.pending.insert(index, PendingProposal { term, answer });
            }
            Err(not_leader) => {
                let members = self.replica.node().members();
                let leader = not_leader.leader.and_then(|id| members.get(id));
                let leader = leader.map(|member| member.addr);
                let _ = answer.send(Err(ControlError::NotLeader { leader }));
            }
        }
    }

    /// Syncs the log to disk, then sends the messages and answers that had to wait for it.
    fn flush(&mut self) -> Result<(), WalError> {
        let (messages, answered) = self.replica.flush()?;
        if !messages.is_empty() {
            let _ = self.outbox.send(messages);
        }
        for answered in answered {
            if let Some(pending) = self.pending.remove(&answered.at.index) {
                let overwritten = pending.term != answered.at.term;
                let answer =
                    if overwritten { Err(ControlError::Unknown) } else { Ok(answered.answer) };
                let _ = pending.answer.send(answer);
            }
        }
        self.update_role();
        self.publish();
        let revision = self.replica.store().revision();
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        Ok(())
    }

    /// Publishes the leadership, then the applied state.
    ///
    /// The order ensures that a reader who sees an entry applied also sees the leadership at that time or later.
    fn publish(&mut self) {
        let node = self.replica.node();
        let leader = node.leader().and_then(|id| node.members().get(id));
        let fresh_until = node.fresh_until(self.started.elapsed());
        self.leadership.send_replace(Leadership {
            term: node.hard().term,
            leads: node.role() == Role::Leader,
            leader: leader.map(|member| member.addr),
            fresh_until: fresh_until.map(|until| self.started + until),
        });
        let applied = self.replica.applied().index;
        let store = self.replica.store();
        let members = self.replica.node().members();
        self.published.send_if_modified(|current| {
            if current.applied == applied && current.members == *members {
                return false;
            }
            current.members.clone_from(members);
            if current.directory.revision() != store.directory().revision() {
                current.directory.clone_from(store.directory());
            }
            if *current.evacuations != *store.evacuations() {
                current.evacuations = Arc::new(store.evacuations().clone());
            }
            if *current.rollouts != *store.rollouts() {
                current.rollouts = Arc::new(store.rollouts().clone());
            }
            current.applied = applied;
            current.level = store.level();
            current.revision = store.revision();
            current.document = store.document().cloned();
            true
        });
    }

    /// Logs a change of role. Answers the pending proposals of a leader that was deposed: their outcome is unknown.
    fn update_role(&mut self) {
        let role = self.replica.node().role();
        if role == self.role {
            return;
        }
        if self.role == Role::Leader {
            for (_, pending) in std::mem::take(&mut self.pending) {
                let _ = pending.answer.send(Err(ControlError::Unknown));
            }
        }
        self.role = role;
        let term = self.replica.node().hard().term;
        info!(self.log, "role changed"; "event" => "role", "role" => ?role, "term" => term);
    }
}
