//! The level of a group: the features that all its processes support.
//!
//! Builds of different age run side by side while machines are replaced one by one, and a machine may be rolled back to
//! the earlier build. So a member writes and proposes only what the level of its group allows, even if it supports
//! more. The level is part of the replicated store. The leader raises it by a command once every member has reported
//! that it, and each gateway connected to it, supports the next one. From then on no process of an earlier build can
//! take part.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::raft::{Members, StoreId};

/// How long a member's report of its supported level is valid. Members answer their leader several times a second.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// How long every member must have supported a level before it is raised. Until then a roll-back to the earlier build
/// is possible.
const SUPPORTED_WINDOW: Duration = Duration::from_secs(5);

/// A feature level: the highest that a process supports, or the one that its group may use.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Level(pub u32);

impl Level {
    /// Templates, configurations of the whole group, and targets that are identified by their id alone.
    pub const BASE: Level = Level(0);
    /// Adds incarnations and versions of targets, evacuations and roll-outs.
    pub const INCARNATIONS: Level = Level(1);
    /// The highest level that this build supports.
    pub const NEWEST: Level = Level::INCARNATIONS;
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A member's last report.
#[derive(Clone, Copy, Debug)]
struct SupportReport {
    supports: Level,
    at: Duration,
}

/// State of a group from which its leader decides whether to raise the level.
#[derive(Clone, Copy, Debug)]
pub struct GroupState<'a> {
    /// The members, including learners.
    pub members: &'a Members,
    /// The level of the group.
    pub level: Level,
    /// Whether the leader's process formed the group, so that there is no earlier build to roll back to.
    pub formed_here: bool,
}

/// Which level each member supports, as reported to the leader.
#[derive(Debug, Default)]
pub struct Readiness {
    reports: HashMap<StoreId, SupportReport>,
    /// The level that all members support, and since when.
    common: Option<(Level, Duration)>,
}

impl Readiness {
    /// Records the level that a member reports as supported.
    pub fn record(&mut self, now: Duration, member: StoreId, supports: Level) {
        self.reports.insert(member, SupportReport { supports, at: now });
    }

    /// The level to which the group may be raised now, if it is higher than the present one.
    pub fn due(&mut self, now: Duration, group: GroupState<'_>) -> Option<Level> {
        self.reports.retain(|_, report| now < report.at + REPORT_TTL);
        let next = self.common_level(group.members);
        if next <= group.level {
            self.common = None;
            return None;
        }
        let common = self.common.filter(|(level, _)| *level == next);
        let (_, since) = *self.common.insert(common.unwrap_or((next, now)));
        (group.formed_here || now >= since + SUPPORTED_WINDOW).then_some(next)
    }

    /// Whether the level of a newly formed group may still be about to rise: a member has not reported yet, or all
    /// support a higher level.
    pub fn level_pending(&self, members: &Members, level: Level) -> bool {
        let reported = |id: &StoreId| self.reports.contains_key(id);
        let missing = members.0.iter().any(|member| !reported(&member.id));
        missing || self.common_level(members) > level
    }

    /// Members without a valid report that they support more than `level`.
    pub fn members_behind(&self, members: &Members, level: Level) -> Vec<StoreId> {
        let ids = members.0.iter().map(|member| member.id);
        ids.filter(|id| self.supported_by(*id) <= level).collect()
    }

    fn common_level(&self, members: &Members) -> Level {
        let levels = members.0.iter().map(|member| self.supported_by(member.id));
        levels.min().unwrap_or_default()
    }

    fn supported_by(&self, member: StoreId) -> Level {
        self.reports.get(&member).map_or(Level::BASE, |report| report.supports)
    }
}
