//! What one process knows of requests under which targets ended, and what follows for them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::report::ago_ms;
use super::{EndReport, Fingerprint, MOST_IN_WORD, Outline, Report, Reporter, Suspect};

/// Most ends that are kept of one request; more say nothing new.
const MOST_ENDS: usize = 8;
/// Most requests that are blocked everywhere on the word of one gateway alone: it may be wrong, and this is the harm
/// that it can do. Where two gateways were always needed, the last of eight blocked after 376 ms instead of 54, and six
/// requests at once ended 3.2 targets each instead of 3.0 (one seed in virtual time, a trial).
const MOST_ACCUSED_ALONE: usize = 4;
/// Two words that a request ended well that lie closer together are one, told on two ways of different length.
const SAME_SETTLEMENT: Duration = Duration::from_secs(1);
/// Part of the records that goes at once when there are too many, so that making room is rare.
const DROPPED_AT_ONCE: usize = 8;

/// When a request is blocked, for how long, and how much is remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Targets that must have ended under it: as many as a request may end on the users' platform.
    pub ends: usize,
    /// Whether a request that ended well is cleared.
    pub clears: bool,
    /// Time from the last end for which it is sent to no target: a caller mends its request, or operators the
    /// targets, in minutes, and one target in so long is what a trial may cost.
    pub blocked_for: Duration,
    /// Time between the trials of two gateways once a block is over, on average: the word of the first trial's end
    /// reaches the others within it.
    pub trials_apart: Duration,
    /// Time from the last end after which all is forgotten: a blocked request that comes again by then has one trial.
    pub remembered_for: Duration,
    /// Most requests that are remembered, some 200 bytes each.
    pub most: usize,
    /// Most of them of one team.
    pub most_of_team: usize,
}

impl Default for Rule {
    fn default() -> Self {
        Rule {
            ends: 3,
            clears: true,
            blocked_for: Duration::from_secs(600),
            trials_apart: Duration::from_millis(500),
            remembered_for: Duration::from_secs(3_600),
            most: 4_096,
            most_of_team: 1_024,
        }
    }
}

/// Where a change comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Seen by this process, or told by those that only it hears.
    Here,
    /// Told by others, who tell it to everybody else too.
    Elsewhere,
}

/// What follows for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It may be sent, and it is to be told if it ends well.
    Watched,
    /// It may be sent once, to see whether targets still end under it.
    Trial,
    /// It is sent nowhere.
    Blocked,
}

/// A request that was blocked, or is no more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turned {
    /// The request.
    pub suspect: Suspect,
    /// Targets that ended under it, as far as they are remembered.
    pub ends: usize,
    /// Whether it is blocked now.
    pub blocked: bool,
}

/// A target that ended under a request.
#[derive(Clone, Copy, Debug)]
struct End {
    target: u64,
    by: Reporter,
    at: Duration,
}

#[derive(Debug)]
struct Record {
    suspect: Suspect,
    ends: Vec<End>,
    /// When it last ended well, or was lifted.
    settled: Option<Duration>,
    /// When a trial last began here.
    tried: Option<Duration>,
    /// Whether enough ends were seen that it is sent nowhere, or once at most.
    convicted: bool,
    /// Number of the last change, among those that came from here and among those that gateways are to know.
    told_here: Option<u64>,
    told_widely: Option<u64>,
}

/// What is known of requests under which targets ended.
#[derive(Debug)]
pub struct Board {
    rule: Rule,
    /// Who this is, if it sends requests itself: what it saw alone is enough for itself.
    own: Option<Reporter>,
    records: HashMap<Fingerprint, Record>,
    outlines: HashMap<Outline, Vec<Fingerprint>>,
    of_team: HashMap<Option<String>, usize>,
    /// Requests by the number of their last change: seen here, and such that gateways are to know of it.
    here: BTreeMap<u64, Fingerprint>,
    widely: BTreeMap<u64, Fingerprint>,
    /// Number of the last change.
    changes: u64,
    /// Requests that were blocked, or are no more, since this was last asked.
    turned: Vec<Turned>,
    /// Records dropped for want of room, not told yet.
    dropped: u64,
    looked_at: Duration,
}

impl Board {
    /// An empty board of a gateway, or of a member that sends nothing itself.
    pub fn new(rule: Rule, own: Option<Reporter>) -> Self {
        Board {
            rule,
            own,
            records: HashMap::new(),
            outlines: HashMap::new(),
            of_team: HashMap::new(),
            here: BTreeMap::new(),
            widely: BTreeMap::new(),
            changes: 0,
            turned: Vec::new(),
            dropped: 0,
            looked_at: Duration::ZERO,
        }
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a request with this outline is remembered, so that its fingerprint is worth computing.
    pub fn may_know(&self, outline: Outline) -> bool {
        self.outlines.contains_key(&outline)
    }

    /// Requests that were blocked, or are no more, since this was last asked.
    pub fn take_turned(&mut self) -> Vec<Turned> {
        std::mem::take(&mut self.turned)
    }

    /// Records dropped for want of room since this was last asked.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// A target ended under a request.
    pub fn note_end(&mut self, now: Duration, suspect: Suspect, target: u64, by: Reporter) {
        let ends = vec![EndReport { target, by, ago_ms: 0 }];
        let report = Report { suspect, ends, settled_ago_ms: None };
        self.take(now, Origin::Here, report);
    }

    /// A request ended well; tells whether that changes anything.
    pub fn note_ended_well(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let accused = self.records.get(&fingerprint).is_some_and(|record| !record.ends.is_empty());
        self.rule.clears && accused && self.settle(now, fingerprint)
    }

    /// An operator lifts the block of a request; tells whether it is known.
    pub fn settle(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get(&fingerprint) else {
            return false;
        };
        let suspect = record.suspect.clone();
        let report = Report { suspect, ends: Vec::new(), settled_ago_ms: Some(0) };
        self.take(now, Origin::Here, report);
        true
    }

    /// Takes what is told of a request; what is known already changes nothing.
    pub fn take(&mut self, now: Duration, origin: Origin, report: Report) {
        self.forget_old(now);
        let fingerprint = report.suspect.fingerprint;
        if !self.records.contains_key(&fingerprint) {
            self.insert(report.suspect);
        }
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        let told = report.ends.iter().map(|end| End {
            target: end.target,
            by: end.by,
            at: now.saturating_sub(Duration::from_millis(end.ago_ms)),
        });
        let settled =
            report.settled_ago_ms.map(|ago| now.saturating_sub(Duration::from_millis(ago)));
        let settled = record.settle(settled);
        let new_ends = told.filter(|end| record.add(*end)).count();
        if settled || new_ends > 0 {
            self.note_change(origin, fingerprint);
            self.judge(fingerprint);
        }
    }

    /// What follows for a request now, while so many gateways are alive.
    pub fn verdict(&self, now: Duration, fingerprint: Fingerprint, gateways: u32) -> Verdict {
        let Some(record) = self.records.get(&fingerprint).filter(|one| !one.ends.is_empty()) else {
            return Verdict::Free;
        };
        if !record.convicted {
            return Verdict::Watched;
        }
        let turn = self.own.map_or(0.0, |own| own.draw(fingerprint));
        let spread = self.rule.trials_apart.mul_f64(turn * f64::from(gateways));
        let trial_at = record.last_end() + self.rule.blocked_for + spread;
        let tried = record.tried.is_some_and(|at| now < at + self.rule.blocked_for);
        if now < trial_at || tried { Verdict::Blocked } else { Verdict::Trial }
    }

    /// A trial begins here: there is no other before it has shown something, or that is long ago.
    pub fn note_trial(&mut self, now: Duration, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.tried = Some(now);
        }
    }

    /// Targets that ended under a request, as far as they are remembered.
    pub fn ends(&self, fingerprint: Fingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.ends.len())
    }

    /// Number of requests that are blocked.
    pub fn blocked_len(&self) -> usize {
        self.records.values().filter(|record| record.convicted).count()
    }

    /// What was seen here since change `known`, and up to which change that is.
    pub fn news_from_here(&self, now: Duration, known: u64) -> (Vec<Report>, u64) {
        self.news(now, &self.here, known)
    }

    /// What gateways are to know since change `known`, and up to which change that is: requests under which two
    /// targets or more ended, and those of them that are settled.
    pub fn news_for_gateways(&self, now: Duration, known: u64) -> (Vec<Report>, u64) {
        self.news(now, &self.widely, known)
    }

    /// Number of the last change that gateways are to know.
    pub fn newest_for_gateways(&self) -> u64 {
        self.widely.last_key_value().map_or(0, |(change, _)| *change)
    }

    /// Number of the last change that was seen here.
    pub fn newest_from_here(&self) -> u64 {
        self.here.last_key_value().map_or(0, |(change, _)| *change)
    }

    /// All that is known of blocked requests, for operators.
    pub fn blocked(&self, now: Duration) -> Vec<Report> {
        let convicted = self.records.values().filter(|record| record.convicted);
        convicted.map(|record| record.report(now)).collect()
    }

    fn news(
        &self,
        now: Duration,
        of: &BTreeMap<u64, Fingerprint>,
        known: u64,
    ) -> (Vec<Report>, u64) {
        let mut after = of.range(known + 1..);
        let next: Vec<_> = after.by_ref().take(MOST_IN_WORD).collect();
        let reports = next.iter().filter_map(|(_, one)| self.records.get(*one));
        let word = reports.map(|record| record.report(now)).collect();
        // A change whose record is gone is told to nobody, and waited for by nobody.
        let upto = match (after.next(), next.last()) {
            (Some(_), Some((last, _))) => **last,
            _ => self.changes.max(known),
        };
        (word, upto)
    }

    fn note_change(&mut self, origin: Origin, fingerprint: Fingerprint) {
        self.changes += 1;
        let change = self.changes;
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if origin == Origin::Here {
            if let Some(before) = record.told_here.replace(change) {
                self.here.remove(&before);
            }
            self.here.insert(change, fingerprint);
        }
        if record.ends.len() + 1 >= self.rule.ends || record.told_widely.is_some() {
            if let Some(before) = record.told_widely.replace(change) {
                self.widely.remove(&before);
            }
            self.widely.insert(change, fingerprint);
        }
    }

    /// Decides anew which requests are blocked, after what is known of one has changed.
    fn judge(&mut self, fingerprint: Fingerprint) {
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        if record.ends.len() < self.rule.ends && !record.convicted {
            return;
        }
        let convicted = self.convict();
        for (fingerprint, record) in &mut self.records {
            let blocked = convicted.contains(fingerprint);
            if std::mem::replace(&mut record.convicted, blocked) != blocked {
                let (suspect, ends) = (record.suspect.clone(), record.ends.len());
                self.turned.push(Turned { suspect, ends, blocked });
            }
        }
    }

    /// Requests under which enough targets ended, as gateways tell that are believed.
    fn convict(&self) -> HashSet<Fingerprint> {
        let enough = self.records.values().filter(|record| record.ends.len() >= self.rule.ends);
        let mut accused: Vec<&Record> = enough.collect();
        // From the first to have had enough on: what is blocked stays so while others come after it.
        accused
            .sort_by_key(|record| (record.ends[self.rule.ends - 1].at, record.suspect.fingerprint));
        let mut alone: HashMap<Reporter, usize> = HashMap::new();
        accused.retain(|record| self.believed(record, &mut alone));
        accused.iter().map(|record| record.suspect.fingerprint).collect()
    }

    /// Whether the ends are believed: of several gateways, of this one, or of one that accused few others alone.
    fn believed(&self, record: &Record, alone: &mut HashMap<Reporter, usize>) -> bool {
        let seen_here = record.ends.iter().filter(|end| Some(end.by) == self.own).count();
        let first = record.ends[0].by;
        if seen_here >= self.rule.ends || record.ends.iter().any(|end| end.by != first) {
            return true;
        }
        let accused = alone.entry(first).or_default();
        *accused += 1;
        *accused <= MOST_ACCUSED_ALONE
    }

    fn insert(&mut self, suspect: Suspect) {
        let team = suspect.team.clone();
        if self.of_team.get(&team).is_some_and(|count| *count >= self.rule.most_of_team) {
            self.make_room(|record| record.suspect.team == team);
        }
        if self.records.len() >= self.rule.most {
            self.make_room(|_| true);
        }
        let fingerprint = suspect.fingerprint;
        *self.of_team.entry(team).or_default() += 1;
        self.outlines.entry(suspect.outline).or_default().push(fingerprint);
        let record = Record {
            suspect,
            ends: Vec::new(),
            settled: None,
            tried: None,
            convicted: false,
            told_here: None,
            told_widely: None,
        };
        self.records.insert(fingerprint, record);
    }

    /// Drops a part of the records that fit: those with the fewest ends, the oldest first.
    fn make_room(&mut self, fits: impl Fn(&Record) -> bool) {
        let fitting = self.records.values().filter(|record| fits(record));
        let mut weakest: Vec<_> = fitting
            .map(|record| (record.ends.len(), record.last_change(), record.suspect.fingerprint))
            .collect();
        weakest.sort_unstable();
        let dropped = weakest.len().div_ceil(DROPPED_AT_ONCE);
        weakest.iter().take(dropped).for_each(|(_, _, fingerprint)| self.remove(*fingerprint));
        self.dropped += dropped as u64;
    }

    fn forget_old(&mut self, now: Duration) {
        // A look at all of them now and then is enough: they are kept for long.
        if now < self.looked_at + self.rule.remembered_for / 64 {
            return;
        }
        self.looked_at = now;
        let kept_for = self.rule.remembered_for;
        let old = self.records.values().filter(|record| now >= record.last_change() + kept_for);
        let old: Vec<Fingerprint> = old.map(|record| record.suspect.fingerprint).collect();
        old.into_iter().for_each(|fingerprint| self.remove(fingerprint));
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        let Some(record) = self.records.remove(&fingerprint) else {
            return;
        };
        if let Some(of_outline) = self.outlines.get_mut(&record.suspect.outline) {
            of_outline.retain(|one| *one != fingerprint);
            if of_outline.is_empty() {
                self.outlines.remove(&record.suspect.outline);
            }
        }
        if let Some(count) = self.of_team.get_mut(&record.suspect.team) {
            *count -= 1;
            if *count == 0 {
                self.of_team.remove(&record.suspect.team);
            }
        }
        record.told_here.iter().for_each(|change| {
            self.here.remove(change);
        });
        record.told_widely.iter().for_each(|change| {
            self.widely.remove(change);
        });
    }
}

impl Record {
    /// Takes word that the request ended well or was lifted; tells whether that is new.
    fn settle(&mut self, at: Option<Duration>) -> bool {
        let Some(at) = at else {
            return false;
        };
        if self.settled.is_some_and(|known| at < known + SAME_SETTLEMENT) {
            return false;
        }
        self.settled = Some(at);
        self.tried = None;
        self.ends.retain(|end| end.at > at);
        true
    }

    /// Takes an end; tells whether it is new.
    fn add(&mut self, end: End) -> bool {
        if self.settled.is_some_and(|settled| end.at <= settled) {
            return false;
        }
        if self.ends.iter().any(|known| known.target == end.target) {
            return false;
        }
        if self.ends.len() == MOST_ENDS {
            if end.at <= self.ends[0].at {
                return false;
            }
            self.ends.remove(0);
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| end.at);
        true
    }

    fn last_end(&self) -> Duration {
        self.ends.iter().map(|end| end.at).max().unwrap_or_default()
    }

    fn last_change(&self) -> Duration {
        self.last_end().max(self.settled.unwrap_or_default())
    }

    fn report(&self, now: Duration) -> Report {
        let told =
            |end: &End| EndReport { target: end.target, by: end.by, ago_ms: ago_ms(now, end.at) };
        Report {
            suspect: self.suspect.clone(),
            ends: self.ends.iter().map(told).collect(),
            settled_ago_ms: self.settled.map(|at| ago_ms(now, at)),
        }
    }
}
