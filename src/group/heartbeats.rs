//! Handles heartbeats of targets, which carry the announcement of the target each time.
//!
//! Heartbeats that change the directory are committed to the Raft log. All others are answered by the member that
//! receives them; it reports the targets to the leader a few times per second, since a single leader could not answer
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
use crate::directory::{Announcement, Directory, HeartbeatClass, TargetState};
use crate::level::Level;
use crate::store::{Answer, Command, Sight};
use crate::sync::lock;

/// Reports to the leader per heartbeat interval of the targets.
const REPORTS_PER_HEARTBEAT: u32 = 4;
/// Longest time between two reports to the leader.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long after a confirmation by the leader this member may answer targets by itself. A member whose reports do not
/// reach the leader must turn targets away, well before the leader marks them as unresponsive.
const CONFIRMATION_TTL: Duration = Duration::from_millis(1_500);

/// Effect of an accepted heartbeat on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatOutcome {
    /// It changed the directory; all gateways will be sent the change.
    Changed,
    /// It changed nothing.
    Unchanged,
}

/// Targets whose heartbeats were answered here and not yet reported to the leader.
#[derive(Debug, Default)]
pub(super) struct PendingReport {
    /// Keys of the targets.
    targets: HashSet<u64>,
    /// When the leader last accepted a heartbeat or a report from this member.
    confirmed_at: Option<Duration>,
}

impl PendingReport {
    /// Adds a target whose heartbeat was answered here.
    pub(super) fn add(&mut self, target: u64) {
        self.targets.insert(target);
    }

    /// Records that the leader accepted a heartbeat or a report.
    pub(super) fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Whether the leader accepted a heartbeat or a report recently.
    pub(super) fn confirmed_recently(&self, now: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + CONFIRMATION_TTL)
    }

    /// Takes the targets to report. If the report fails, they are to be added again.
    pub(super) fn take(&mut self) -> Vec<u64> {
        self.targets.drain().collect()
    }
}

/// What a heartbeat means for the directory. One that shows a draining incarnation as ready is stale, whatever its
/// sequence number: a target that has announced its shutdown does not come back but with its next incarnation.
fn classify(directory: &Directory, heartbeat: &Announcement) -> HeartbeatClass {
    let drains = directory
        .get(&heartbeat.id)
        .is_some_and(|known| known.state == TargetState::Draining && known.born == heartbeat.born);
    if drains && heartbeat.state == TargetState::Ready {
        return HeartbeatClass::Stale;
    }
    directory.classify(heartbeat)
}

impl Shared {
    /// Handles a heartbeat that a target sent to this member.
    pub(super) async fn handle_heartbeat(
        &self,
        announcement: Announcement,
    ) -> Result<HeartbeatOutcome, Unavailable> {
        // The leader gets the whole announcement, and reduces it itself to what the level of the group allows in the
        // log.
        let supported = announcement.clone().limited_to(self.level());
        if self.can_answer_locally(&supported) {
            lock(&self.pending_report).add(supported.key());
            return Ok(HeartbeatOutcome::Unchanged);
        }
        self.announce(announcement).await
    }

    /// Whether this member may answer a heartbeat without asking the leader.
    fn can_answer_locally(&self, announcement: &Announcement) -> bool {
        let leadership = self.member.leadership();
        let confirmed = || lock(&self.pending_report).confirmed_recently(self.now());
        let unchanged = || self.classify(announcement) != HeartbeatClass::Changed;
        !leadership.leads && leadership.fresh(Instant::now()) && confirmed() && unchanged()
    }

    /// Whether an announcement uses the id of a target of another service, and so can't come from that target. A target
    /// may change its service only with a new incarnation, and only to a service that is configured.
    pub(super) fn conflicts_with_target(&self, announcement: &Announcement) -> bool {
        let published = self.member.published();
        let published = published.borrow();
        let Some(known) = published.directory.get(&announcement.id) else {
            return false;
        };
        if known.service == announcement.service {
            return false;
        }
        let same_incarnation = known.born == announcement.born || announcement.born.0.is_none();
        let document = published.document.as_ref();
        let configuration =
            document.and_then(|document| self.dialect.configuration(&document.bytes).ok());
        let service_exists = configuration.is_some_and(|configuration| {
            configuration.services.iter().any(|service| service.name == announcement.service)
        });
        same_incarnation || !service_exists
    }

    /// Classifies a heartbeat by the directory that this member holds.
    fn classify(&self, announcement: &Announcement) -> HeartbeatClass {
        classify(&self.member.published().borrow().directory, announcement)
    }

    /// Handles heartbeats as the leader; those that change the directory are committed together.
    pub(super) async fn announce_here(&self, announcements: Vec<Announcement>) -> Reply {
        let now = self.run_clock.ran();
        let Published { directory, level, .. } = self.published();
        let mut outcomes = Vec::with_capacity(announcements.len());
        let mut new_announcements = Vec::new();
        {
            let mut liveness = lock(&self.liveness);
            for announcement in announcements {
                let announcement = announcement.limited_to(level);
                liveness.record_heartbeat(now, announcement.key());
                let changed = classify(&directory, &announcement) == HeartbeatClass::Changed;
                outcomes.push(if changed {
                    HeartbeatOutcome::Changed
                } else {
                    HeartbeatOutcome::Unchanged
                });
                if changed {
                    let at_once = liveness.is_forming(now, &announcement.service, &directory);
                    new_announcements.push(Sight { announcement, at_once });
                }
            }
        }
        if new_announcements.is_empty() {
            return if self.leads() { Reply::Announced(outcomes) } else { Reply::Unknown };
        }
        match self.propose_announcements(level, new_announcements).await {
            Some(()) => Reply::Announced(outcomes),
            None => Reply::Unknown,
        }
    }

    /// Commits announcements: in one command, or in one command each while the group has [`Level::BASE`].
    async fn propose_announcements(&self, level: Level, announcements: Vec<Sight>) -> Option<()> {
        let commands: Vec<Command> = match level {
            Level::BASE => {
                announcements.into_iter().map(|one| Command::Announce(vec![one])).collect()
            }
            _ => vec![Command::Announce(announcements)],
        };
        let replies = commands.into_iter().map(|command| self.propose_here(command));
        let replies = futures_util::future::join_all(replies).await;
        let listed = |reply: &Reply| matches!(reply, Reply::Answer(Answer::Listed));
        replies.iter().all(listed).then_some(())
    }

    /// Records, as the leader, the targets that another member reports as alive.
    pub(super) fn record_report(&self, targets: &[u64]) -> Reply {
        if !self.leads() {
            return Reply::Unknown;
        }
        let now = self.run_clock.ran();
        let mut liveness = lock(&self.liveness);
        targets.iter().for_each(|target| liveness.record_heartbeat(now, *target));
        Reply::Done
    }

    /// API address of this member. The answer to a heartbeat names it, so that targets send the next one there: they
    /// could reach it.
    pub(super) fn own_api_addr(&self) -> Option<SocketAddr> {
        let port = self.settings.listen?.port();
        Some(SocketAddr::new(self.own_addr.ip(), port))
    }
}

/// Periodically reports to the leader the targets whose heartbeats this member answered.
pub(super) async fn report(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.target_heartbeat_ms);
    let interval = (interval / REPORTS_PER_HEARTBEAT).min(MAX_REPORT_INTERVAL);
    loop {
        tokio::time::sleep(interval).await;
        let targets = lock(&shared.pending_report).take();
        if targets.is_empty() {
            continue;
        }
        match shared.call_leader(Call::ReportHeartbeats(targets.clone())).await {
            Ok(_) => lock(&shared.pending_report).confirm(shared.now()),
            Err(Unavailable) => {
                let mut pending = lock(&shared.pending_report);
                targets.into_iter().for_each(|target| pending.add(target));
            }
        }
    }
}
