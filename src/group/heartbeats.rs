//! Heartbeats of targets.
//!
//! Those that bring news go through the log. All others are answered by the member that they come
//! to, which tells the leader some times a second whom it heard: one leader could not answer
//! thousands of targets itself.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{Call, Reply};
use super::{Shared, Unavailable};
use crate::clock::Instant;
use crate::control::member::Published;
use crate::directory::{Announcement, Heartbeat};
use crate::level::Level;
use crate::store::{Answer, Command, Sight};
use crate::sync::lock;

/// Part of the targets' interval between two reports to the leader.
const REPORTS_IN_INTERVAL: u32 = 4;
/// Longest time between two reports to the leader.
const LONGEST_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a leader's answer lets this member answer targets by itself: a member that the leader
/// does not hear must send them elsewhere, well before they count as silent.
const TRUSTED_FOR: Duration = Duration::from_millis(1_500);

/// What a heartbeat that was taken brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Taken {
    /// Something that every gateway will be told.
    News,
    /// Nothing new.
    Known,
}

/// Targets heard here that the leader has not been told of.
#[derive(Debug, Default)]
pub(super) struct Heard {
    targets: HashSet<u64>,
    /// When the leader last took a heartbeat or a report from here.
    confirmed_at: Option<Duration>,
}

impl Heard {
    /// Notes a heartbeat that was answered here.
    pub(super) fn note(&mut self, target: u64) {
        self.targets.insert(target);
    }

    /// The leader took a heartbeat or a report.
    pub(super) fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Whether the leader has lately taken what this member told it.
    pub(super) fn trusted(&self, now: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + TRUSTED_FOR)
    }

    /// Targets to report; they come back by [`Heard::note`] if the leader does not take them.
    pub(super) fn take(&mut self) -> Vec<u64> {
        self.targets.drain().collect()
    }
}

impl Shared {
    /// Takes a heartbeat.
    pub(super) async fn take_heartbeat(
        &self,
        announcement: Announcement,
    ) -> Result<Taken, Unavailable> {
        // The leader decides what of it the log may hold.
        let held = announcement.clone().at(self.level());
        if self.answers_alone(&held) {
            lock(&self.heard).note(held.key());
            return Ok(Taken::Known);
        }
        self.announce(announcement).await
    }

    /// Whether this member may answer a heartbeat without asking the leader.
    fn answers_alone(&self, announcement: &Announcement) -> bool {
        let standing = self.member.standing();
        let trusted = || lock(&self.heard).trusted(self.now());
        let known = || self.judge(announcement) != Heartbeat::News;
        !standing.leads && standing.fresh(Instant::now()) && trusted() && known()
    }

    /// Whether an announcement bears the identity of a target of another service, and so comes from another writer:
    /// a start of a target keeps its service, and a new one has a service that there is.
    pub(super) fn names_another(&self, announcement: &Announcement) -> bool {
        let published = self.member.published();
        let published = published.borrow();
        let Some(known) = published.directory.get(&announcement.id) else {
            return false;
        };
        if known.service == announcement.service {
            return false;
        }
        let same_start = known.born == announcement.born || announcement.born.0.is_none();
        let held = published.document.as_ref();
        let held = held.and_then(|held| self.dialect.configuration(&held.bytes).ok());
        let there_is = held.is_some_and(|held| {
            held.services.iter().any(|service| service.name == announcement.service)
        });
        same_start || !there_is
    }

    /// What a heartbeat brings, by the directory held here.
    fn judge(&self, announcement: &Announcement) -> Heartbeat {
        self.member.published().borrow().directory.judge(announcement)
    }

    /// Takes heartbeats as the leader: all that bring news go into the log together.
    pub(super) async fn announce_here(&self, announcements: Vec<Announcement>) -> Reply {
        let now = self.run_clock.ran();
        let Published { directory, level, .. } = self.published();
        let mut taken = Vec::with_capacity(announcements.len());
        let mut sights = Vec::new();
        {
            let mut liveness = lock(&self.liveness);
            for announcement in announcements {
                let announcement = announcement.at(level);
                liveness.record_heartbeat(now, announcement.key());
                let news = directory.judge(&announcement) == Heartbeat::News;
                taken.push(if news { Taken::News } else { Taken::Known });
                if news {
                    let at_once = liveness.is_forming(now, &announcement.service, &directory);
                    sights.push(Sight { announcement, at_once });
                }
            }
        }
        if sights.is_empty() {
            return if self.leads() { Reply::Taken(taken) } else { Reply::Unknown };
        }
        match self.propose_sights(level, sights).await {
            Some(()) => Reply::Taken(taken),
            None => Reply::Unknown,
        }
    }

    /// Puts what targets announce in the log: together where the group may, else each by itself.
    async fn propose_sights(&self, level: Level, sights: Vec<Sight>) -> Option<()> {
        let commands: Vec<Command> = match level {
            Level::BASE => sights.into_iter().map(|sight| Command::Announce(vec![sight])).collect(),
            _ => vec![Command::Announce(sights)],
        };
        let replies = commands.into_iter().map(|command| self.propose_here(command));
        let replies = futures_util::future::join_all(replies).await;
        let listed = |reply: &Reply| matches!(reply, Reply::Answer(Answer::Listed));
        replies.iter().all(listed).then_some(())
    }

    /// Takes another member's report as the leader.
    pub(super) fn take_report(&self, targets: &[u64]) -> Reply {
        if !self.leads() {
            return Reply::Unknown;
        }
        let now = self.run_clock.ran();
        let mut liveness = lock(&self.liveness);
        targets.iter().for_each(|target| liveness.record_heartbeat(now, *target));
        Reply::Done
    }

    /// Where targets best send their next heartbeat: here, since they reached this member.
    pub(super) fn own_door(&self) -> Option<SocketAddr> {
        let port = self.settings.listen?.port();
        Some(SocketAddr::new(self.own_addr.ip(), port))
    }
}

/// Tells the leader, some times in the targets' interval, whom this member heard.
pub(super) async fn report(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.target_heartbeat_ms);
    let interval = (interval / REPORTS_IN_INTERVAL).min(LONGEST_REPORT_INTERVAL);
    loop {
        tokio::time::sleep(interval).await;
        let targets = lock(&shared.heard).take();
        if targets.is_empty() {
            continue;
        }
        match shared.call_leader(Call::Heard(targets.clone())).await {
            Ok(_) => lock(&shared.heard).confirm(shared.now()),
            Err(Unavailable) => {
                let mut heard = lock(&shared.heard);
                targets.into_iter().for_each(|target| heard.note(target));
            }
        }
    }
}
