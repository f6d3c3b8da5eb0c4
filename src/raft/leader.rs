//! The leader: replicates its log, advances the commit index, and renews its lease.

use std::collections::BTreeSet;
use std::time::Duration;

use super::node::{Node, Progress};
use super::{AppendResult, Body, Index, Position, Role, StoreId, Time};

const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// Maximum number of entries sent to a member that it has not acknowledged yet.
const MAX_UNACKED_ENTRIES: Index = 512;
/// Maximum delay before a heartbeat announces a new commit index to the other members.
const MAX_COMMIT_NOTICE_DELAY: Duration = Duration::from_millis(5);

impl Node {
    pub(super) fn on_append_reply(
        &mut self,
        now: Time,
        from: StoreId,
        round: u64,
        result: AppendResult,
    ) {
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
                progress.probing = false;
                progress.probed_at = None;
                self.advance_commit();
            }
            AppendResult::Rejected { hint } => {
                progress.next = (hint + 1).clamp(progress.matched + 1, last + 1);
                progress.probing = true;
            }
        }
        if self.may_send(now, from) {
            self.send_entries(now, from);
        }
    }

    /// Commits the entries that a quorum has on disk.
    pub(super) fn advance_commit(&mut self) {
        let members = self.members();
        let mut matched: Vec<Index> = members.voters().map(|id| self.matched(id)).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&quorum_matched) = matched.get(members.quorum() - 1) else {
            return;
        };
        // Only entries of the current term are committed by counting replicas (Raft, section 5.4.2).
        if quorum_matched > self.commit && self.log.term_at(quorum_matched) == Some(self.hard.term)
        {
            self.commit = quorum_matched;
            self.heartbeat_at = self.heartbeat_at.min(self.now + MAX_COMMIT_NOTICE_DELAY);
        }
    }

    /// Highest index up to which the log of `id` is known to match the leader's.
    pub(super) fn matched(&self, id: StoreId) -> Index {
        if id == self.id {
            return self.log.last().index;
        }
        self.progress.get(&id).map_or(0, |progress| progress.matched)
    }

    /// When the newest heartbeat to which a quorum has replied was sent.
    pub(super) fn quorum_acked_at(&self, now: Time) -> Option<Time> {
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

    /// Whether `id` has replied to a message sent within the last `election_max`.
    pub(super) fn recently_acked(&self, now: Time, id: StoreId) -> bool {
        let acked = self.progress.get(&id).and_then(|progress| progress.acked_at);
        id == self.id || acked.is_some_and(|at| now < at + self.timing.election_max)
    }

    /// Steps down if no quorum has replied within `election_max`.
    pub(super) fn check_quorum(&mut self, now: Time) {
        let last_contact =
            self.quorum_acked_at(now).unwrap_or(Time::ZERO).max(self.leader_contact_at);
        if now >= last_contact + self.timing.election_max {
            self.become_follower(now, self.hard.term);
        }
    }

    /// Starts a new heartbeat round: sends entries or a heartbeat to every member.
    pub(super) fn broadcast(&mut self, now: Time) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        let oldest = now.saturating_sub(self.timing.election_max);
        while self.rounds.front().is_some_and(|(_, at)| *at < oldest) {
            self.rounds.pop_front();
        }
        self.heartbeat_at = now + self.timing.heartbeat;
        self.send_to_all(now);
    }

    pub(super) fn send_to_all(&mut self, now: Time) {
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_entries(now, id);
        }
    }

    /// Sends entries to each member that lacks some and may be sent more now.
    pub(super) fn send_new_entries(&mut self, now: Time) {
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        for id in ids {
            if self.may_send(now, id) {
                self.send_entries(now, id);
            }
        }
    }

    /// Whether entries may be sent to a member now: it lacks some and has fewer than
    /// [`MAX_UNACKED_ENTRIES`] unacknowledged.
    ///
    /// When a busy link loses a message, the member rejects every message after it. While `probing`,
    /// entries are sent again at most once per heartbeat interval, not once per rejection, which
    /// would keep the link full.
    fn may_send(&self, now: Time, to: StoreId) -> bool {
        let Some(progress) = self.progress.get(&to) else {
            return false;
        };
        let unacked = (progress.next - 1).saturating_sub(progress.matched);
        let below_limit = match progress.probing {
            true => progress.probed_at.is_none_or(|at| now >= at + self.timing.heartbeat),
            false => unacked < MAX_UNACKED_ENTRIES,
        };
        below_limit && progress.next <= self.log.last().index
    }

    /// Sends entries if [`Node::may_send`] allows, else a heartbeat; a snapshot if the log no longer has
    /// the entries that the member needs.
    pub(super) fn send_entries(&mut self, now: Time, to: StoreId) {
        let may_send = self.may_send(now, to);
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
        let max = if may_send { MAX_ENTRIES_PER_MESSAGE } else { 0 };
        let entries = missing[..missing.len().min(max)].to_vec();
        if progress.probing && may_send {
            progress.probed_at = Some(now);
        } else {
            progress.next += entries.len() as Index;
        }
        let body =
            Body::Append { prev: Position { term, index }, entries, commit: self.commit, round };
        self.send(to, body);
    }

    /// Sends the snapshot, at most once per `election_max`, and heartbeats in between.
    pub(super) fn send_snapshot(&mut self, now: Time, to: StoreId) {
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

    /// Adds progress for new members and removes that of former ones.
    pub(super) fn track_members(&mut self) {
        let ids: BTreeSet<StoreId> = self.members().0.iter().map(|member| member.id).collect();
        self.progress.retain(|id, _| ids.contains(id));
        let next = self.log.last().index;
        let since = self.now;
        for id in ids {
            if id != self.id {
                self.progress.entry(id).or_insert(Progress {
                    matched: 0,
                    next,
                    acked_at: None,
                    snapshot_sent: None,
                    probing: false,
                    probed_at: None,
                    since,
                });
            }
        }
    }
}
