//! The level of a group: what all its processes understand.
//!
//! Builds run side by side while machines are replaced one by one, and a machine may get the earlier build back. So a
//! member writes and proposes only what the level of its group allows, whatever it could. The level is part of the
//! replicated store. The leader raises it by a command once every member has said that it, and each gateway connected to
//! it, knows the next one. From then on no process of an earlier build can take part.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::raft::{Members, StoreId};

/// How long a member's word of the level that it knows counts. Members answer their leader several times a second.
const WORD_COUNTS_FOR: Duration = Duration::from_millis(1_500);
/// How long every member must have known a level before it is raised: until then the way back is open.
const KNOWN_FOR: Duration = Duration::from_secs(5);

/// What a process understands, and what its group may use.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Level(pub u32);

impl Level {
    /// Templates, whole configurations, and targets told apart by their identity.
    pub const BASE: Level = Level(0);
    /// Also starts and versions of targets, evacuations and roll-outs.
    pub const STARTS: Level = Level(1);
    /// The highest that this build knows.
    pub const NEWEST: Level = Level::STARTS;
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a member said last.
#[derive(Clone, Copy, Debug)]
struct Word {
    knows: Level,
    at: Duration,
}

/// What a leader looks at.
#[derive(Clone, Copy, Debug)]
pub struct Group<'a> {
    /// The members, those that stand by included.
    pub members: &'a Members,
    /// The level of the group.
    pub level: Level,
    /// Whether the leader's process formed the group, so that there is no earlier build to go back to.
    pub formed_here: bool,
}

/// Which level each member knows, as the leader has heard.
#[derive(Debug, Default)]
pub struct Readiness {
    words: HashMap<StoreId, Word>,
    /// The level that all members know, and since when.
    known: Option<(Level, Duration)>,
}

impl Readiness {
    /// Takes a member's word.
    pub fn hear(&mut self, now: Duration, member: StoreId, knows: Level) {
        self.words.insert(member, Word { knows, at: now });
    }

    /// The level that the group may be raised to now.
    pub fn due(&mut self, now: Duration, group: Group<'_>) -> Option<Level> {
        self.words.retain(|_, word| now < word.at + WORD_COUNTS_FOR);
        let next = self.known_to_all(group.members);
        if next <= group.level {
            self.known = None;
            return None;
        }
        let known = self.known.filter(|(level, _)| *level == next);
        let (_, since) = *self.known.insert(known.unwrap_or((next, now)));
        (group.formed_here || now >= since + KNOWN_FOR).then_some(next)
    }

    /// Whether the level of a group that has just been formed is still open: a member has said nothing yet, or all know
    /// a higher one.
    pub fn open(&self, members: &Members, level: Level) -> bool {
        let spoke = |id: &StoreId| self.words.contains_key(id);
        let silent = members.0.iter().any(|member| !spoke(&member.id));
        silent || self.known_to_all(members) > level
    }

    /// Members that have not said lately that they know more than `level`.
    pub fn holding_back(&self, members: &Members, level: Level) -> Vec<StoreId> {
        let ids = members.0.iter().map(|member| member.id);
        ids.filter(|id| self.word_of(*id) <= level).collect()
    }

    fn known_to_all(&self, members: &Members) -> Level {
        let words = members.0.iter().map(|member| self.word_of(member.id));
        words.min().unwrap_or_default()
    }

    fn word_of(&self, member: StoreId) -> Level {
        self.words.get(&member).map_or(Level::BASE, |word| word.knows)
    }
}
