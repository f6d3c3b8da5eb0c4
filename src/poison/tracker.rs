//! Tracks, in one process, the requests during which targets crashed, and decides which of them are blocked.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use super::report::ago_ms;
use super::{
    CrashReport, Fingerprint, FingerprintKind, MAX_REPORTS_PER_MESSAGE, QuickHash, Report,
    Reporter, Suspect,
};

/// Maximum number of crashes kept for one request; more give no new information.
const MAX_CRASHES: usize = 8;
/// Maximum number of requests that all processes block on the reports of a single gateway. This limits the harm that a
/// faulty gateway can do. If reports of two gateways were always required, the last of eight gateways would block a
/// request after 376 ms instead of 54, and each of six simultaneous requests would crash 3.2 targets instead of 3.0 (a
/// trial in virtual time with one seed).
const MAX_BLOCKS_PER_REPORTER: usize = 4;
/// Two reports that a request was cleared count as one if their times differ by less than this: they are the same
/// report, received over two paths with different delays.
const SAME_CLEARING_WINDOW: Duration = Duration::from_secs(1);
/// An eviction removes one in so many of the matching records, so that evictions are rare.
const EVICTION_DIVISOR: usize = 8;

/// When a request is blocked and for how long, and how many records are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Number of targets that must have crashed under a request before it is blocked: the limit that the users'
    /// platform sets.
    pub crashes_to_block: usize,
    /// Whether a request that succeeds is cleared.
    pub clears: bool,
    /// Time after the last crash during which a request is sent to no target. Callers fix their requests, or operators
    /// the targets, within minutes, and the trial afterwards may cost one target per such period.
    pub block_duration: Duration,
    /// The same for a part of prompts. It is shorter, since a part that is blocked by mistake hinders many requests.
    pub part_block_duration: Duration,
    /// Time after a success of a part for which crashes under it do not count: a part that crashes targets never
    /// succeeds, and a sound one does so again and again.
    pub part_trust: Duration,
    /// Average time between the trials of two gateways once a block has expired. A report of a crash during the first
    /// trial reaches the other gateways within this time.
    pub trial_interval: Duration,
    /// Time after the last crash or clearing for which a record is kept. A blocked request that is repeated within this
    /// time gets a single trial.
    pub retention: Duration,
    /// Maximum number of records, of about 200 bytes each.
    pub max_records: usize,
    /// Maximum number of records of one team.
    pub max_records_per_team: usize,
}

impl Default for Rule {
    fn default() -> Self {
        Rule {
            crashes_to_block: 3,
            clears: true,
            block_duration: Duration::from_secs(600),
            part_block_duration: Duration::from_secs(60),
            part_trust: Duration::from_secs(5),
            trial_interval: Duration::from_millis(500),
            retention: Duration::from_secs(3_600),
            max_records: 4_096,
            max_records_per_team: 1_024,
        }
    }
}

/// Who reported a change, and so whether this process forwards it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Observed by this process, or reported by a process that reports to this one only. This process forwards it.
    Local,
    /// Reported by a process that sends it to all others as well. It is not forwarded.
    Relayed,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It may be sent; its success is to be recorded with [`PoisonTracker::record_success`].
    Watched,
    /// It may be sent once, to find out whether targets still crash.
    Trial,
    /// It must not be sent.
    Blocked,
}

/// A request that became blocked or unblocked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// The request.
    pub suspect: Suspect,
    /// Number of targets that crashed under it, of those that are still recorded.
    pub crashes: usize,
    /// Whether it is blocked now.
    pub blocked: bool,
}

/// A crash of a target during a request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    target: u64,
    by: Reporter,
    at: Duration,
}

#[derive(Debug)]
struct Record {
    suspect: Suspect,
    /// Crashes since it was last cleared, oldest first.
    crashes: Vec<Crash>,
    /// When it last succeeded, or an operator lifted its block.
    cleared: Option<Duration>,
    /// When this process last started a trial.
    tried: Option<Duration>,
    /// Whether enough credible crashes were reported that it is not sent, except for trials.
    blocked: bool,
    /// Other parts that explain the same crashes. Only requests with all of them are blocked.
    companions: Vec<Fingerprint>,
    /// Number of its last change in [`PoisonTracker::local_changes`].
    local_change: Option<u64>,
    /// Number of its last change in [`PoisonTracker::gateway_changes`].
    gateway_change: Option<u64>,
    /// Time after a clearing for which crashes do not count.
    trust: Duration,
}

/// All tracked requests of one process.
#[derive(Debug)]
pub struct PoisonTracker {
    rule: Rule,
    /// This process, if it is a gateway. It believes its own observations without reports of others.
    own: Option<Reporter>,
    records: HashMap<Fingerprint, Record>,
    quick_hashes: HashMap<QuickHash, Vec<Fingerprint>>,
    /// Number of records of each team.
    per_team: HashMap<Option<String>, usize>,
    /// Requests with changes of [`Origin::Local`], by the number of the last one.
    local_changes: BTreeMap<u64, Fingerprint>,
    /// Requests with changes that gateways must receive, by the number of the last one.
    gateway_changes: BTreeMap<u64, Fingerprint>,
    /// Number of the last change.
    changes: u64,
    /// Changes since [`PoisonTracker::take_block_changes`] was last called.
    block_changes: Vec<BlockChange>,
    /// Records evicted since [`PoisonTracker::take_dropped`] was last called.
    dropped: u64,
    /// When expired records were last removed.
    swept_at: Duration,
}

impl PoisonTracker {
    /// Creates an empty tracker. `own` is the gateway that uses it; `None` for a member, which sends no requests
    /// itself.
    pub fn new(rule: Rule, own: Option<Reporter>) -> Self {
        PoisonTracker {
            rule,
            own,
            records: HashMap::new(),
            quick_hashes: HashMap::new(),
            per_team: HashMap::new(),
            local_changes: BTreeMap::new(),
            gateway_changes: BTreeMap::new(),
            changes: 0,
            block_changes: Vec::new(),
            dropped: 0,
            swept_at: Duration::ZERO,
        }
    }

    /// Number of tracked requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a request with this hash is tracked. Callers compute the more expensive fingerprint only then.
    pub fn may_contain(&self, quick_hash: QuickHash) -> bool {
        self.quick_hashes.contains_key(&quick_hash)
    }

    /// Returns the requests that became blocked or unblocked since the last call.
    pub fn take_block_changes(&mut self) -> Vec<BlockChange> {
        std::mem::take(&mut self.block_changes)
    }

    /// Returns the number of records evicted since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Records that a target crashed under a request, observed by `by`.
    pub fn record_crash(&mut self, now: Duration, suspect: Suspect, target: u64, by: Reporter) {
        let crashes = vec![CrashReport { target, by, ago_ms: 0 }];
        let report = Report { suspect, crashes, cleared_ago_ms: None };
        self.apply(now, Origin::Local, report);
    }

    /// Records that a request succeeded. Returns whether this cleared it.
    pub fn record_success(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let suspected =
            self.records.get(&fingerprint).is_some_and(|record| !record.crashes.is_empty());
        self.rule.clears && suspected && self.clear(now, fingerprint)
    }

    /// Records that a tracked part succeeded at `at`, some time before `now`. Returns whether this cleared it.
    pub fn record_earlier_success(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        at: Duration,
    ) -> bool {
        let wanted = |record: &&Record| {
            let trusted_until = at + record.trust;
            record.crashes.iter().any(|crash| crash.at <= trusted_until)
        };
        let Some(record) = self.records.get(&fingerprint).filter(wanted) else {
            return false;
        };
        let suspect = record.suspect.clone();
        let cleared_ago_ms = Some(ago_ms(now, at));
        self.apply(now, Origin::Local, Report { suspect, crashes: Vec::new(), cleared_ago_ms });
        true
    }

    /// Clears a request: its crashes so far no longer count. Returns whether it was tracked.
    pub fn clear(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get(&fingerprint) else {
            return false;
        };
        let suspect = record.suspect.clone();
        let report = Report { suspect, crashes: Vec::new(), cleared_ago_ms: Some(0) };
        self.apply(now, Origin::Local, report);
        true
    }

    /// Merges a report about a request. Applying the same report again changes nothing.
    pub fn apply(&mut self, now: Duration, origin: Origin, report: Report) {
        self.remove_expired(now);
        let fingerprint = report.suspect.fingerprint;
        if !self.records.contains_key(&fingerprint) {
            self.insert(report.suspect);
        }
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        let reported = report.crashes.iter().map(|crash| Crash {
            target: crash.target,
            by: crash.by,
            at: now.saturating_sub(Duration::from_millis(crash.ago_ms)),
        });
        let cleared =
            report.cleared_ago_ms.map(|ago| now.saturating_sub(Duration::from_millis(ago)));
        let cleared = record.clear(cleared);
        let new_crashes = reported.filter(|crash| record.add(*crash)).count();
        if cleared || new_crashes > 0 {
            self.record_change(origin, fingerprint);
            self.update_blocks(fingerprint);
        }
    }

    /// Whether a request may be sent now. `gateways` is the number of live gateways, over which trials are spread.
    pub fn verdict(&self, now: Duration, fingerprint: Fingerprint, gateways: u32) -> Verdict {
        let Some(record) =
            self.records.get(&fingerprint).filter(|record| !record.crashes.is_empty())
        else {
            return Verdict::Free;
        };
        if !record.blocked {
            return Verdict::Watched;
        }
        let position = self.own.map_or(0.0, |own| own.trial_position(fingerprint));
        let spread = self.rule.trial_interval.mul_f64(position * f64::from(gateways));
        let block_duration = match fingerprint.kind() {
            FingerprintKind::Request => self.rule.block_duration,
            FingerprintKind::Part => self.rule.part_block_duration,
        };
        let trial_at = record.last_crash() + block_duration + spread;
        let tried = record.tried.is_some_and(|at| now < at + block_duration);
        if now < trial_at || tried { Verdict::Blocked } else { Verdict::Trial }
    }

    /// Whether a request with these parts in its prompt may be sent now, and the part that decides. A part that is blocked
    /// together with others counts only in requests with all of them.
    pub fn verdict_on_parts(
        &self,
        now: Duration,
        parts: &[Fingerprint],
        gateways: u32,
    ) -> (Verdict, Option<Fingerprint>) {
        let mut decisive = (Verdict::Free, None);
        for part in parts {
            let record = self.records.get(part);
            let mut companions = record.iter().flat_map(|record| &record.companions);
            if !companions.all(|companion| parts.contains(companion)) {
                continue;
            }
            match self.verdict(now, *part, gateways) {
                Verdict::Blocked => return (Verdict::Blocked, Some(*part)),
                Verdict::Trial => decisive = (Verdict::Trial, Some(*part)),
                Verdict::Free | Verdict::Watched => {}
            }
        }
        decisive
    }

    /// Records that this process starts a trial. The next one follows only after the request was cleared, or after
    /// [`Rule::block_duration`].
    pub fn record_trial(&mut self, now: Duration, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.tried = Some(now);
        }
    }

    /// Number of targets that crashed under a request, of those that are still recorded.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.crashes.len())
    }

    /// Number of requests that are blocked.
    pub fn blocked_len(&self) -> usize {
        self.records.values().filter(|record| record.blocked).count()
    }

    /// Reports of [`Origin::Local`] that changed after change `known`, and the number of the change up to which they
    /// go.
    pub fn local_updates(&self, now: Duration, known: u64) -> (Vec<Report>, u64) {
        self.changes_since(now, &self.local_changes, known)
    }

    /// Reports for gateways that changed after change `known`, and the number of the change up to which they go:
    /// requests that are one crash short of a block (two crashes by default) or have more, and those of them that were
    /// cleared since.
    pub fn gateway_updates(&self, now: Duration, known: u64) -> (Vec<Report>, u64) {
        self.changes_since(now, &self.gateway_changes, known)
    }

    /// Number of the last change that gateways must receive; 0 for none.
    pub fn newest_gateway_change(&self) -> u64 {
        self.gateway_changes.last_key_value().map_or(0, |(change, _)| *change)
    }

    /// Number of the last change of [`Origin::Local`]; 0 for none.
    pub fn newest_local_change(&self) -> u64 {
        self.local_changes.last_key_value().map_or(0, |(change, _)| *change)
    }

    /// Reports of all blocked requests, for operators.
    pub fn blocked(&self, now: Duration) -> Vec<Report> {
        let blocked = self.records.values().filter(|record| record.blocked);
        blocked.map(|record| record.report(now)).collect()
    }

    fn changes_since(
        &self,
        now: Duration,
        changes: &BTreeMap<u64, Fingerprint>,
        known: u64,
    ) -> (Vec<Report>, u64) {
        let mut after = changes.range(known + 1..);
        let next: Vec<_> = after.by_ref().take(MAX_REPORTS_PER_MESSAGE).collect();
        let reports = next.iter().filter_map(|(_, fingerprint)| self.records.get(*fingerprint));
        let reports = reports.map(|record| record.report(now)).collect();
        // A change whose record was removed is skipped, so that no receiver waits for it.
        let upto = match (after.next(), next.last()) {
            (Some(_), Some((last, _))) => **last,
            _ => self.changes.max(known),
        };
        (reports, upto)
    }

    fn record_change(&mut self, origin: Origin, fingerprint: Fingerprint) {
        self.changes += 1;
        let change = self.changes;
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if origin == Origin::Local {
            if let Some(before) = record.local_change.replace(change) {
                self.local_changes.remove(&before);
            }
            self.local_changes.insert(change, fingerprint);
        }
        if record.crashes.len() + 1 >= self.rule.crashes_to_block || record.gateway_change.is_some()
        {
            if let Some(before) = record.gateway_change.replace(change) {
                self.gateway_changes.remove(&before);
            }
            self.gateway_changes.insert(change, fingerprint);
        }
    }

    /// Decides again which requests are blocked, after the record of one has changed.
    fn update_blocks(&mut self, fingerprint: Fingerprint) {
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        if record.crashes.len() < self.rule.crashes_to_block && !record.blocked {
            return;
        }
        let mut to_block = self.requests_to_block();
        for (fingerprint, record) in &mut self.records {
            let companions = to_block.remove(fingerprint);
            let blocked = companions.is_some();
            record.companions = companions.unwrap_or_default();
            if std::mem::replace(&mut record.blocked, blocked) != blocked {
                let (suspect, crashes) = (record.suspect.clone(), record.crashes.len());
                self.block_changes.push(BlockChange { suspect, crashes, blocked });
            }
        }
    }

    /// Requests and parts under which enough targets crashed, by credible reports, with the companions of each part.
    fn requests_to_block(&self) -> HashMap<Fingerprint, Vec<Fingerprint>> {
        let enough = self
            .records
            .values()
            .filter(|record| record.crashes.len() >= self.rule.crashes_to_block);
        let mut candidates: Vec<&Record> = enough.collect();
        // In the order in which they reached the threshold, so that later ones don't displace a request that is already
        // blocked.
        candidates.sort_by_key(|record| {
            (record.crashes[self.rule.crashes_to_block - 1].at, record.suspect.fingerprint)
        });
        let (mut requests, parts): (Vec<&Record>, Vec<&Record>) =
            candidates.into_iter().partition(|record| record.kind() == FingerprintKind::Request);
        let mut single_reporter: HashMap<Reporter, usize> = HashMap::new();
        requests.retain(|record| self.credible(record, &mut single_reporter));
        let parts = parts.into_iter().filter(|part| !self.ran_beside(part, &requests)).collect();
        let mut groups = self.parts_that_explain(parts);
        single_reporter.clear();
        groups.retain(|group| self.credible(group[0], &mut single_reporter));
        let requests = requests.iter().map(|record| (record.suspect.fingerprint, Vec::new()));
        requests.chain(groups.iter().flat_map(|group| with_companions(group))).collect()
    }

    /// Whether a blocked request ran under as many crashes as the part, and under enough of the same: the request is
    /// then to blame, unless another crash tells otherwise.
    fn ran_beside(&self, part: &Record, requests: &[&Record]) -> bool {
        let targets = part.unexplained(&HashSet::new());
        requests.iter().any(|request| {
            let under_both = request.crashes.iter().filter(|crash| targets.contains(&crash.target));
            request.crashes.len() >= part.crashes.len()
                && under_both.count() >= self.rule.crashes_to_block
        })
    }

    /// The fewest parts that explain the crashes, as far as a greedy choice finds them: the one with the most crashes
    /// comes first, and a crash of a target under which a chosen part ran counts for no other. Parts with the same
    /// crashes are chosen as a group, since it is not known which of them is to blame.
    fn parts_that_explain<'a>(&self, mut parts: Vec<&'a Record>) -> Vec<Vec<&'a Record>> {
        let mut explained: HashSet<u64> = HashSet::new();
        let mut groups = Vec::new();
        loop {
            parts.retain(|part| part.unexplained(&explained).len() >= self.rule.crashes_to_block);
            // Equal numbers are decided by the targets, so that all processes choose alike.
            let crashes = parts.iter().map(|part| part.unexplained(&explained));
            let Some(crashes) = crashes.max_by_key(|crashes| (crashes.len(), crashes.clone()))
            else {
                return groups;
            };
            let alike = |part: &&&Record| part.unexplained(&explained) == crashes;
            groups.push(parts.iter().filter(alike).copied().collect());
            explained.extend(crashes);
        }
    }

    /// Whether the crashes count: several gateways reported them, or this process observed enough of them itself, or
    /// their single reporter has not exceeded [`MAX_BLOCKS_PER_REPORTER`], counted in `single_reporter`.
    fn credible(&self, record: &Record, single_reporter: &mut HashMap<Reporter, usize>) -> bool {
        let own = record.crashes.iter().filter(|crash| Some(crash.by) == self.own).count();
        let first = record.crashes[0].by;
        if own >= self.rule.crashes_to_block || record.crashes.iter().any(|crash| crash.by != first)
        {
            return true;
        }
        let blocks = single_reporter.entry(first).or_default();
        *blocks += 1;
        *blocks <= MAX_BLOCKS_PER_REPORTER
    }

    fn insert(&mut self, suspect: Suspect) {
        let team = suspect.team.clone();
        if self.per_team.get(&team).is_some_and(|count| *count >= self.rule.max_records_per_team) {
            self.evict(|record| record.suspect.team == team);
        }
        if self.records.len() >= self.rule.max_records {
            self.evict(|_| true);
        }
        let fingerprint = suspect.fingerprint;
        *self.per_team.entry(team).or_default() += 1;
        self.quick_hashes.entry(suspect.quick_hash).or_default().push(fingerprint);
        let record = Record {
            suspect,
            crashes: Vec::new(),
            cleared: None,
            tried: None,
            blocked: false,
            companions: Vec::new(),
            local_change: None,
            gateway_change: None,
            trust: match fingerprint.kind() {
                FingerprintKind::Request => Duration::ZERO,
                FingerprintKind::Part => self.rule.part_trust,
            },
        };
        self.records.insert(fingerprint, record);
    }

    /// Evicts one in [`EVICTION_DIVISOR`] of the records that match: those with the fewest crashes, oldest first.
    fn evict(&mut self, matches: impl Fn(&Record) -> bool) {
        let matching = self.records.values().filter(|record| matches(record));
        let mut weakest: Vec<_> = matching
            .map(|record| (record.crashes.len(), record.last_change(), record.suspect.fingerprint))
            .collect();
        weakest.sort_unstable();
        let dropped = weakest.len().div_ceil(EVICTION_DIVISOR);
        weakest.iter().take(dropped).for_each(|(_, _, fingerprint)| self.remove(*fingerprint));
        self.dropped += dropped as u64;
    }

    fn remove_expired(&mut self, now: Duration) {
        // The retention is long, so it is enough to scan all records once per 1/64 of it.
        if now < self.swept_at + self.rule.retention / 64 {
            return;
        }
        self.swept_at = now;
        let retention = self.rule.retention;
        let expired =
            self.records.values().filter(|record| now >= record.last_change() + retention);
        let expired: Vec<Fingerprint> = expired.map(|record| record.suspect.fingerprint).collect();
        expired.into_iter().for_each(|fingerprint| self.remove(fingerprint));
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        let Some(record) = self.records.remove(&fingerprint) else {
            return;
        };
        if let Some(same_hash) = self.quick_hashes.get_mut(&record.suspect.quick_hash) {
            same_hash.retain(|known| *known != fingerprint);
            if same_hash.is_empty() {
                self.quick_hashes.remove(&record.suspect.quick_hash);
            }
        }
        if let Some(count) = self.per_team.get_mut(&record.suspect.team) {
            *count -= 1;
            if *count == 0 {
                self.per_team.remove(&record.suspect.team);
            }
        }
        record.local_change.iter().for_each(|change| {
            self.local_changes.remove(change);
        });
        record.gateway_change.iter().for_each(|change| {
            self.gateway_changes.remove(change);
        });
    }
}

/// The parts of a group, each with the others as its companions.
fn with_companions(group: &[&Record]) -> Vec<(Fingerprint, Vec<Fingerprint>)> {
    let fingerprints = || group.iter().map(|part| part.suspect.fingerprint);
    let others = |part| fingerprints().filter(|other| *other != part).collect();
    fingerprints().map(|part| (part, others(part))).collect()
}

impl Record {
    /// Applies that the request was cleared at `at`. Returns whether that is new.
    fn clear(&mut self, at: Option<Duration>) -> bool {
        let Some(at) = at else {
            return false;
        };
        if self.cleared.is_some_and(|known| at < known + SAME_CLEARING_WINDOW) {
            return false;
        }
        self.cleared = Some(at);
        self.tried = None;
        let trusted_until = at + self.trust;
        self.crashes.retain(|crash| crash.at > trusted_until);
        true
    }

    /// Adds a crash. Returns whether it is new: not before the last clearing, and of another target than those
    /// recorded.
    fn add(&mut self, crash: Crash) -> bool {
        if self.cleared.is_some_and(|cleared| crash.at <= cleared + self.trust) {
            return false;
        }
        if self.crashes.iter().any(|known| known.target == crash.target) {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            if crash.at <= self.crashes[0].at {
                return false;
            }
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        true
    }

    /// Targets that crashed under it, except for those whose crashes are explained.
    fn unexplained(&self, explained: &HashSet<u64>) -> BTreeSet<u64> {
        let targets = self.crashes.iter().map(|crash| crash.target);
        targets.filter(|target| !explained.contains(target)).collect()
    }

    fn kind(&self) -> FingerprintKind {
        self.suspect.fingerprint.kind()
    }

    fn last_crash(&self) -> Duration {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
    }

    fn last_change(&self) -> Duration {
        self.last_crash().max(self.cleared.unwrap_or_default())
    }

    fn report(&self, now: Duration) -> Report {
        let crash_report = |crash: &Crash| CrashReport {
            target: crash.target,
            by: crash.by,
            ago_ms: ago_ms(now, crash.at),
        };
        Report {
            suspect: self.suspect.clone(),
            crashes: self.crashes.iter().map(crash_report).collect(),
            cleared_ago_ms: self.cleared.map(|at| ago_ms(now, at)),
        }
    }
}
