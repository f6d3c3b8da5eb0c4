//! How attempts at targets went, over all gateways.
//!
//! A gateway meets each of a hundred targets once in many seconds, so that it learns late, at its own cost, what
//! others know. Gateways tell their members with the loads how their attempts went; members add up, tell each
//! other, and tell gateways of the targets at which attempts failed. What one gateway says counts little, since it
//! may be cut off itself, or wrong.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::loads::LoadKey;

/// Time in which what was told counts half: at seven requests a second for a target some ten outcomes count.
const HALF_LIFE: Duration = Duration::from_millis(700);
/// Most failures at a target that one gateway's word counts for.
const MOST_OF_ONE: f64 = 3.0;
/// Failures, as they count, below which a target is not told of any more.
const TOLD_FROM: f64 = 0.1;
/// Most targets in a word, some 10 bytes each. Where more fail, much fails alike and nothing is won by leaving any.
const MOST_TOLD: usize = 64;
/// How long another member's word counts.
const MEMBER_COUNTS_FOR: Duration = Duration::from_millis(2_000);

/// How a gateway's attempts at a target went since its last word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// The target.
    pub target: LoadKey,
    /// Attempts that failed.
    pub failed: u32,
    /// Attempts that were answered.
    pub answered: u32,
}

/// How attempts at a target went lately.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The target.
    pub target: LoadKey,
    /// Attempts that failed, the older the less they count.
    pub failed: f32,
    /// Attempts that were answered, likewise.
    pub answered: f32,
    /// Gateways at which attempts failed lately.
    pub reporters: u16,
}

/// What a member tells of the targets at which attempts failed; empty where too many do.
pub type Word = Vec<Evidence>;

/// What one gateway told of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    at: Duration,
    failed: f64,
    answered: f64,
}

impl Told {
    fn as_of(self, now: Duration) -> Told {
        let kept = kept_after(now.saturating_sub(self.at));
        Told { at: now, failed: self.failed * kept, answered: self.answered * kept }
    }
}

/// Part of what was told that still counts after so long.
fn kept_after(time: Duration) -> f64 {
    0.5_f64.powf(time.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// What is known of one target by the gateways of this member.
#[derive(Debug, Default)]
struct Record {
    by_gateway: HashMap<String, Told>,
}

/// How attempts went, as the gateways connected here and the other members tell.
#[derive(Debug, Default)]
pub struct EvidenceTotals {
    here: HashMap<LoadKey, Record>,
    members: HashMap<SocketAddr, (Duration, Word)>,
    /// The last word over all, and when it was made, for gateways that are told at about the same time.
    summed: Option<(Duration, Word)>,
}

impl EvidenceTotals {
    /// A gateway connected here tells how its attempts went.
    pub fn record_gateway(&mut self, now: Duration, gateway: &str, outcomes: &[Outcomes]) {
        for outcome in outcomes {
            let record = self.here.entry(outcome.target).or_default();
            let told = record.by_gateway.entry(gateway.to_owned()).or_default();
            *told = told.as_of(now);
            told.failed = (told.failed + f64::from(outcome.failed)).min(MOST_OF_ONE);
            told.answered += f64::from(outcome.answered);
        }
    }

    /// Another member tells what its gateways saw.
    pub fn record_member(&mut self, now: Duration, member: SocketAddr, word: Word) {
        self.members.insert(member, (now, word));
    }

    /// What the gateways connected here saw of the targets at which attempts failed; of too many, just more than
    /// are told of.
    pub fn local(&mut self, now: Duration) -> Word {
        self.here.retain(|_, record| {
            record.by_gateway.retain(|_, told| {
                let told = told.as_of(now);
                told.failed + told.answered >= TOLD_FROM
            });
            !record.by_gateway.is_empty()
        });
        let word = self.here.iter().filter_map(|(target, record)| record.evidence(now, *target));
        word.take(MOST_TOLD + 1).collect()
    }

    /// The same over all gateways, at most `slack` old; nothing where too many targets fail.
    pub fn total(&mut self, now: Duration, slack: Duration) -> Word {
        if let Some((_, word)) = self.summed.as_ref().filter(|(at, _)| now < *at + slack) {
            return word.clone();
        }
        let word = self.sum(now);
        self.summed = Some((now, word.clone()));
        word
    }

    fn sum(&mut self, now: Duration) -> Word {
        self.members.retain(|_, (at, _)| now < *at + MEMBER_COUNTS_FOR);
        let mut sums: HashMap<LoadKey, Evidence> =
            self.local(now).into_iter().map(|evidence| (evidence.target, evidence)).collect();
        for evidence in self.members.values().flat_map(|(_, word)| word) {
            sums.entry(evidence.target).and_modify(|sum| sum.add(evidence)).or_insert(*evidence);
        }
        let mut word: Word = sums.into_values().collect();
        if word.len() > MOST_TOLD {
            word.clear();
        }
        word.sort_by_key(|evidence| evidence.target);
        word
    }
}

impl Record {
    fn evidence(&self, now: Duration, target: LoadKey) -> Option<Evidence> {
        let told: Vec<Told> = self.by_gateway.values().map(|told| told.as_of(now)).collect();
        let failed: f64 = told.iter().map(|told| told.failed).sum();
        if failed < TOLD_FROM {
            return None;
        }
        let answered: f64 = told.iter().map(|told| told.answered).sum();
        let reporters = told.iter().filter(|told| told.failed >= TOLD_FROM).count();
        Some(Evidence {
            target,
            failed: failed as f32,
            answered: answered as f32,
            reporters: u16::try_from(reporters).unwrap_or(u16::MAX),
        })
    }
}

impl Evidence {
    /// What came to this since it was `before`, so long ago.
    pub fn since(&self, before: &Evidence, ago: Duration) -> Evidence {
        let kept = kept_after(ago) as f32;
        Evidence {
            failed: (self.failed - before.failed * kept).max(0.0),
            answered: (self.answered - before.answered * kept).max(0.0),
            ..*self
        }
    }

    fn add(&mut self, other: &Evidence) {
        self.failed += other.failed;
        self.answered += other.answered;
        self.reporters = self.reporters.saturating_add(other.reporters);
    }
}
