//! The thread that owns a member's replica: takes inputs in batches, one disk sync for each batch.

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

/// Shortest time between two writes of the commit index.
const REMEMBER_INTERVAL: Duration = Duration::from_millis(100);
/// Most inputs in one batch.
const MAX_BATCH: usize = 512;

type Query = Box<dyn FnOnce(&mut Replica<BoxedDisk>, Time) + Send>;
type AnswerSender = oneshot::Sender<Result<Answer, ControlError>>;

enum Input {
    Deliver(Vec<Envelope>),
    Propose(Command, AnswerSender),
    Query(Query),
}

/// Handle of the thread.
#[derive(Clone)]
pub(crate) struct Member {
    inputs: Sender<Input>,
    revision: watch::Receiver<Revision>,
    published: watch::Receiver<Published>,
    leadership: watch::Receiver<Leadership>,
}

/// What the store holds, for readers that must not wait for the disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    /// What the group may use.
    pub(crate) level: Level,
    /// Last entry applied.
    pub(crate) applied: Index,
    /// Revision in force.
    pub(crate) revision: Revision,
    /// Configuration document held.
    pub(crate) document: Option<Document>,
    /// Targets that announced themselves.
    pub(crate) directory: Directory,
    /// Orders about data halls.
    pub(crate) evacuations: Arc<Evacuations>,
    /// Roll-outs of services.
    pub(crate) rollouts: Arc<Rollouts>,
    /// Members of the group, as of the newest entry in the log.
    pub(crate) members: Members,
}

impl Published {
    /// Version of the configuration that is held; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }
}

/// What the member believes of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leadership {
    /// Newest term seen.
    pub(crate) term: u64,
    /// Whether this member leads.
    pub(crate) leads: bool,
    /// Where the leader is reached, where known.
    pub(crate) leader: Option<SocketAddr>,
    /// Until when what is published counts as fresh.
    pub(crate) fresh_until: Option<Instant>,
}

impl Leadership {
    /// Whether what is published counts as fresh.
    pub(crate) fn fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }
}

/// A member just started.
pub(crate) struct Started {
    /// Handle of its thread.
    pub(crate) member: Member,
    /// Messages to send.
    pub(crate) outbox: Outbox,
    /// Gets the error that stops the thread.
    pub(crate) failed: oneshot::Receiver<WalError>,
}

/// Messages to send, in batches.
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
        let (sent, outbox) = mpsc::unbounded_channel();
        let (revision, watched) = watch::channel(replica.store().revision());
        let (published, watched_published) = watch::channel(Published::default());
        let (leadership, watched_leadership) = watch::channel(Leadership::default());
        let (failed, failure) = oneshot::channel();
        let mut driver = Driver {
            started,
            remembered_at: started,
            role: replica.node().role(),
            replica,
            sent,
            revision,
            published,
            leadership,
            waiting: BTreeMap::new(),
            log: log.clone(),
        };
        std::thread::spawn(move || {
            if let Err(error) = driver.run(&received) {
                error!(driver.log, "member stops"; "event" => "disk_failed", "error" => %error);
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

    /// Changes with each revision applied.
    pub(crate) fn revision(&self) -> watch::Receiver<Revision> {
        self.revision.clone()
    }

    /// Changes with each entry applied.
    pub(crate) fn published(&self) -> watch::Receiver<Published> {
        self.published.clone()
    }

    /// What the member believes of the group now.
    pub(crate) fn leadership(&self) -> Leadership {
        *self.leadership.borrow()
    }

    /// Hands over messages of other members.
    pub(crate) fn deliver(&self, messages: Vec<Envelope>) {
        let _ = self.inputs.send(Input::Deliver(messages));
    }

    /// Proposes a command and waits for its answer.
    pub(crate) async fn propose(&self, command: Command) -> Result<Answer, ControlError> {
        let (sender, answer) = oneshot::channel();
        let sent = self.inputs.send(Input::Propose(command, sender));
        sent.map_err(|_| ControlError::Stopping)?;
        answer.await.unwrap_or(Err(ControlError::Unknown))
    }

    /// Runs `ask` on the replica.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        ask: impl FnOnce(&mut Replica<BoxedDisk>, Time) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let (sender, answer) = oneshot::channel();
        let query: Query = Box::new(move |replica, now| {
            let _ = sender.send(ask(replica, now));
        });
        let sent = self.inputs.send(Input::Query(query));
        sent.map_err(|_| ControlError::Stopping)?;
        answer.await.map_err(|_| ControlError::Stopping)
    }

    /// Makes this blank member the first of a new group.
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

struct Waiting {
    term: u64,
    answer: AnswerSender,
}

struct Driver<D: Disk> {
    started: Instant,
    /// When the commit index was last put on disk.
    remembered_at: Instant,
    replica: Replica<D>,
    role: Role,
    sent: mpsc::UnboundedSender<Vec<Envelope>>,
    revision: watch::Sender<Revision>,
    published: watch::Sender<Published>,
    leadership: watch::Sender<Leadership>,
    /// Proposals under way, by index.
    waiting: BTreeMap<Index, Waiting>,
    log: Logger,
}

impl Driver<BoxedDisk> {
    /// Runs until every handle is gone or the disk fails.
    fn run(&mut self, inputs: &Receiver<Input>) -> Result<(), WalError> {
        self.flush()?;
        loop {
            let wait = self.replica.node().next_tick().saturating_sub(self.started.elapsed());
            match inputs.recv_timeout(wait) {
                Ok(input) => {
                    self.take(input);
                    inputs.try_iter().take(MAX_BATCH).for_each(|input| self.take(input));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let now = self.started.elapsed();
            if now >= self.replica.node().next_tick() {
                self.replica.tick(now);
            }
            self.flush()?;
            if self.remembered_at.elapsed() >= REMEMBER_INTERVAL {
                self.remembered_at = Instant::now();
                self.replica.remember_commit()?;
            }
        }
    }

    fn take(&mut self, input: Input) {
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
                self.waiting.insert(index, Waiting { term, answer });
            }
            Err(not_leader) => {
                let members = self.replica.node().members();
                let leader = not_leader.leader.and_then(|id| members.get(id));
                let leader = leader.map(|member| member.addr);
                let _ = answer.send(Err(ControlError::NotLeader { leader }));
            }
        }
    }

    fn flush(&mut self) -> Result<(), WalError> {
        let (messages, answered) = self.replica.flush()?;
        if !messages.is_empty() {
            let _ = self.sent.send(messages);
        }
        for answered in answered {
            if let Some(waiting) = self.waiting.remove(&answered.at.index) {
                let lost = waiting.term != answered.at.term;
                let answer = if lost { Err(ControlError::Unknown) } else { Ok(answered.answer) };
                let _ = waiting.answer.send(answer);
            }
        }
        self.note_role();
        self.publish();
        let revision = self.replica.store().revision();
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        Ok(())
    }

    /// Shows what the member believes, and what was applied.
    ///
    /// In this order, so that who sees an entry applied sees at least as new a leader.
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
        self.published.send_if_modified(|shown| {
            if shown.applied == applied && shown.members == *members {
                return false;
            }
            shown.members.clone_from(members);
            if shown.directory.revision() != store.directory().revision() {
                shown.directory.clone_from(store.directory());
            }
            if *shown.evacuations != *store.evacuations() {
                shown.evacuations = Arc::new(store.evacuations().clone());
            }
            if *shown.rollouts != *store.rollouts() {
                shown.rollouts = Arc::new(store.rollouts().clone());
            }
            shown.applied = applied;
            shown.level = store.level();
            shown.revision = store.revision();
            shown.document = store.document().cloned();
            true
        });
    }

    /// Logs a change of role; proposals of a leader that lost its place have an unknown outcome.
    fn note_role(&mut self) {
        let role = self.replica.node().role();
        if role == self.role {
            return;
        }
        if self.role == Role::Leader {
            for (_, waiting) in std::mem::take(&mut self.waiting) {
                let _ = waiting.answer.send(Err(ControlError::Unknown));
            }
        }
        self.role = role;
        let term = self.replica.node().hard().term;
        info!(self.log, "role changed"; "event" => "role", "role" => ?role, "term" => term);
    }
}
