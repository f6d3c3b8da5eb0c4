//! The thread that owns a member's replica: takes inputs in batches, one disk sync for each batch.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use slog::{Logger, error, info};
use tokio::sync::{mpsc, oneshot, watch};

use crate::raft::{
    Disk, Envelope, FolderDisk, GroupId, Index, Members, Position, Replica, Role, Time, WalError,
};
use crate::rpc::ControlError;
use crate::store::{Answer, Command, Revision};

/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Most inputs in one batch.
const MAX_BATCH: usize = 512;

type Query = Box<dyn FnOnce(&mut Replica<FolderDisk>, Time) + Send>;
type AnswerSender = oneshot::Sender<Result<Answer, ControlError>>;

enum Input {
    Deliver(Vec<Envelope>),
    Propose(Command, AnswerSender),
    Query(Query),
}

/// Handle of the thread.
#[derive(Clone)]
pub(super) struct Member {
    inputs: Sender<Input>,
    revision: watch::Receiver<Revision>,
}

/// A member just started.
pub(super) struct Started {
    /// Handle of its thread.
    pub(super) member: Member,
    /// Messages to send.
    pub(super) outbox: Outbox,
    /// Gets the error that stops the thread.
    pub(super) failed: oneshot::Receiver<WalError>,
}

/// Messages to send, in batches.
pub(super) type Outbox = mpsc::UnboundedReceiver<Vec<Envelope>>;

impl Member {
    /// Opens the replica and starts its thread.
    pub(super) fn start(
        log: &Logger,
        open: impl FnOnce(Time) -> Result<Replica<FolderDisk>, WalError>,
    ) -> Result<Started, WalError> {
        let started = Instant::now();
        let replica = open(Time::ZERO)?;
        let (inputs, received) = channel();
        let (sent, outbox) = mpsc::unbounded_channel();
        let (revision, watched) = watch::channel(replica.store().revision());
        let (failed, failure) = oneshot::channel();
        let mut driver = Driver {
            started,
            role: replica.node().role(),
            replica,
            sent,
            revision,
            waiting: BTreeMap::new(),
            log: log.clone(),
        };
        std::thread::spawn(move || {
            if let Err(error) = driver.run(&received) {
                error!(driver.log, "member stops"; "event" => "disk_failed", "error" => %error);
                let _ = failed.send(error);
            }
        });
        let member = Member { inputs, revision: watched };
        Ok(Started { member, outbox, failed: failure })
    }

    /// Changes with each revision applied.
    pub(super) fn revision(&self) -> watch::Receiver<Revision> {
        self.revision.clone()
    }

    /// Hands over messages of other members.
    pub(super) fn deliver(&self, messages: Vec<Envelope>) {
        let _ = self.inputs.send(Input::Deliver(messages));
    }

    /// Proposes a command and waits for its answer.
    pub(super) async fn propose(&self, command: Command) -> Result<Answer, ControlError> {
        let (sender, answer) = oneshot::channel();
        let sent = self.inputs.send(Input::Propose(command, sender));
        sent.map_err(|_| ControlError::Stopping)?;
        answer.await.unwrap_or(Err(ControlError::Unknown))
    }

    /// Runs `ask` on the replica.
    pub(super) async fn query<T: Send + 'static>(
        &self,
        ask: impl FnOnce(&mut Replica<FolderDisk>, Time) -> T + Send + 'static,
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
    pub(super) async fn form(&self, group: GroupId, members: Members) -> Result<(), ControlError> {
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
    replica: Replica<D>,
    role: Role,
    sent: mpsc::UnboundedSender<Vec<Envelope>>,
    revision: watch::Sender<Revision>,
    /// Proposals under way, by index.
    waiting: BTreeMap<Index, Waiting>,
    log: Logger,
}

impl Driver<FolderDisk> {
    /// Runs until every handle is gone or the disk fails.
    fn run(&mut self, inputs: &Receiver<Input>) -> Result<(), WalError> {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => {
                    self.take(input);
                    inputs.try_iter().take(MAX_BATCH).for_each(|input| self.take(input));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if Instant::now() >= next_tick {
                self.replica.tick(self.started.elapsed());
                next_tick = Instant::now() + TICK;
            }
            self.flush()?;
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
        let revision = self.replica.store().revision();
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        Ok(())
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
