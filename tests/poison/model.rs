//! Simulates a fleet in virtual time: callers, gateways, members and targets, with poison requests among innocent ones.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use latchmount::poison::{
    Fingerprint, Identity, Origin, PoisonTracker, PromptPart, RecentSuccesses, Report, Reporter,
    Rule, Suspect, Verdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MEMBERS: usize = 5;
/// Time from the start of a poison request until its target crashes.
const CRASH_AFTER_MS: u64 = 70;
/// Age of a run from which on its parts are not suspected when its target crashes.
const ONSET_MS: u64 = CRASH_AFTER_MS + 500;
/// First parts that requests share, and the documents behind them.
const FIRST_PARTS: u64 = 4;
const DOCUMENTS: u64 = 200;
/// Maximum number of targets that a request is sent to before its caller gets an error.
const MAX_ATTEMPTS: u32 = 2;
/// Minimum time in which a gateway detects that a connection broke because the target crashed.
const MIN_DETECTION_MS: u64 = 4;

/// How gateways treat suspected requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    pub rule: Rule,
    /// Send suspected requests to the target with the fewest requests, so that they seldom share one.
    pub isolate_suspects: bool,
}

/// Crashes that no poison request causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// At 5 s, 15% of the targets crash at once.
    Crash,
    /// From 5 to 15 s, a tenth of the targets crashes each second.
    Flapping,
    /// At 5 s, a quarter of the targets crashes at once.
    HallLost,
    /// From 5 s on, one target with all its requests crashes each second.
    Rolling,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub gateways: usize,
    pub targets: usize,
    /// Number of distinct poison requests (killers); each is repeated until the end.
    pub killers: usize,
    /// Whether requests have prompts, and a killer is a part of prompts: no two requests with it are alike.
    pub parts: bool,
    /// Innocent requests per second.
    pub rate: f64,
    pub trouble: Trouble,
    /// Fraction of gateways whose reports and updates are delayed by 2 s.
    pub late: f64,
    pub seconds: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Targets that a poison request crashed.
    pub crashed: usize,
    /// Poison requests sent to a target later than 0.5 s after the fifth crash by the same killer.
    pub late_sends: usize,
    /// Innocent requests sent, and those that were refused as poison.
    pub attempts: usize,
    pub refused: usize,
    /// Innocent requests in flight on a target that a poison request crashed.
    pub lost: usize,
    /// Time from the third crash by a killer until all gateways without delay block it, in milliseconds.
    pub blocked_after_ms: Vec<u64>,
    /// Reports sent between all nodes.
    pub reports: usize,
}

impl Totals {
    /// Adds the totals of another simulation.
    pub fn add(&mut self, other: Totals) {
        self.crashed += other.crashed;
        self.late_sends += other.late_sends;
        self.attempts += other.attempts;
        self.refused += other.refused;
        self.lost += other.lost;
        self.reports += other.reports;
        self.blocked_after_ms.extend(other.blocked_after_ms);
    }
}

#[derive(Clone, Debug)]
struct Request {
    /// Number of the killer; `None` for an innocent request.
    killer: Option<usize>,
    suspect: Suspect,
    /// Parts of its prompt that others share.
    parts: Vec<Suspect>,
    resumable: bool,
    retries_left: u32,
}

#[derive(Clone, Debug)]
enum Event {
    RequestArrives {
        request: Request,
    },
    RunEnds {
        run: u64,
    },
    TargetStarts {
        target: usize,
    },
    /// A gateway detects that the target of a run has crashed.
    CrashDetected {
        gateway: usize,
        run: Run,
        key: u64,
    },
    ReportsArrive {
        to: Node,
        from: Node,
        reports: Vec<Report>,
    },
    /// The scenario's [`Trouble`] crashes targets.
    TroubleStep,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Node {
    Gateway(usize),
    Member(usize),
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    gateway: usize,
    target: usize,
    sends: u32,
    /// When it was last sent.
    began: u64,
}

pub struct Model {
    scenario: Scenario,
    policy: Policy,
    rng: StdRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    gateway_trackers: Vec<PoisonTracker>,
    member_trackers: Vec<PoisonTracker>,
    sound_parts: Vec<RecentSuccesses>,
    /// Newest change that was sent: by each gateway to its member, by each member to the others, and to each gateway.
    sent_by_gateways: Vec<u64>,
    sent_to_members: Vec<u64>,
    sent_to_gateways: Vec<u64>,
    /// Whether each gateway's reports and updates are delayed.
    late: Vec<bool>,
    /// Key of the incarnation of each target; `None` while it is down.
    target_keys: Vec<Option<u64>>,
    last_key: u64,
    runs: BTreeMap<u64, Run>,
    /// Runs at each target.
    runs_at: Vec<HashSet<u64>>,
    /// Time of each killer's third crash, and the gateways without delay that block it since.
    third_crashes: HashMap<Fingerprint, (u64, HashSet<usize>)>,
    crash_counts: HashMap<Fingerprint, usize>,
    /// Time of each killer's fifth crash.
    fifth_crashes: HashMap<usize, u64>,
    totals: Totals,
}

fn suspect(team: &str, body: &str) -> Suspect {
    let identity = Identity { team: Some(team), host: "h", path: "/p/", body: body.as_bytes() };
    Suspect::new(&identity, identity.fingerprint(), "r")
}

fn part(id: &str) -> Suspect {
    Suspect::part(&PromptPart { service: "s", id }, None)
}

impl Request {
    /// What crashes targets: the request, or a part of its prompt.
    fn culprit(&self) -> Fingerprint {
        self.parts.last().unwrap_or(&self.suspect).fingerprint
    }

    fn part_fingerprints(&self) -> Vec<Fingerprint> {
        self.parts.iter().map(|part| part.fingerprint).collect()
    }
}

impl Model {
    pub fn simulate(scenario: Scenario, policy: Policy, seed: u64) -> Totals {
        let mut rng = StdRng::seed_from_u64(seed);
        let late = (0..scenario.gateways).map(|_| rng.random_bool(scenario.late)).collect();
        let tracker =
            |at: usize| PoisonTracker::new(policy.rule, Some(Reporter::of(&format!("g-{at}"))));
        let mut model = Model {
            scenario,
            policy,
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            gateway_trackers: (0..scenario.gateways).map(tracker).collect(),
            sound_parts: vec![RecentSuccesses::new(policy.rule.part_trust); scenario.gateways],
            member_trackers: (0..MEMBERS).map(|_| PoisonTracker::new(policy.rule, None)).collect(),
            sent_by_gateways: vec![0; scenario.gateways],
            sent_to_members: vec![0; MEMBERS],
            sent_to_gateways: vec![0; scenario.gateways],
            late,
            target_keys: (0..scenario.targets as u64).map(Some).collect(),
            last_key: scenario.targets as u64,
            runs: BTreeMap::new(),
            runs_at: vec![HashSet::new(); scenario.targets],
            third_crashes: HashMap::new(),
            crash_counts: HashMap::new(),
            fifth_crashes: HashMap::new(),
            totals: Totals::default(),
        };
        model.process_events();
        model.totals
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + ms, self.next)));
        self.events.insert(self.next, event);
    }

    fn process_events(&mut self) {
        for killer in 0..self.scenario.killers {
            let request = Request {
                killer: Some(killer),
                suspect: suspect("k", &format!("poison {killer}")),
                parts: match self.scenario.parts {
                    true => vec![part("first 0"), part(&format!("poison {killer}"))],
                    false => Vec::new(),
                },
                resumable: true,
                retries_left: u32::MAX,
            };
            let at = 3_000 + self.rng.random_range(0..4_000);
            self.schedule(at, Event::RequestArrives { request });
        }
        self.schedule_innocent(0);
        self.schedule(5_000, Event::TroubleStep);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.scenario.seconds * 1_000 {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("a queued event is known");
            self.handle(event);
        }
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Schedules the next innocent request; a tenth of them have bodies that recur often.
    fn schedule_innocent(&mut self, number: u64) {
        let body = match self.rng.random_bool(0.1) {
            true => format!("often {}", self.rng.random_range(0..50)),
            false => format!("once {number}"),
        };
        let parts = match self.scenario.parts {
            true => {
                let first = self.rng.random_range(0..FIRST_PARTS);
                let document = self.rng.random_range(0..DOCUMENTS);
                vec![part(&format!("first {first}")), part(&format!("document {document}"))]
            }
            false => Vec::new(),
        };
        let request = Request {
            killer: None,
            parts,
            suspect: suspect(&format!("t-{}", number % 10), &body),
            resumable: self.rng.random_bool(0.5),
            retries_left: 1,
        };
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.scenario.rate * 1_000.0;
        self.schedule(gap as u64, Event::RequestArrives { request });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives { request } => {
                if request.killer.is_none() && request.retries_left == 1 {
                    let number = self.next;
                    self.schedule_innocent(number);
                }
                let gateway = self.rng.random_range(0..self.scenario.gateways);
                self.totals.attempts += usize::from(request.killer.is_none());
                self.send(Run { request, gateway, target: 0, sends: 0, began: 0 });
            }
            Event::RunEnds { run } => self.finish_run(run),
            Event::TargetStarts { target } => {
                self.last_key += 1;
                self.target_keys[target] = Some(self.last_key);
            }
            Event::CrashDetected { gateway, run, key } => self.detect_crash(gateway, run, key),
            Event::ReportsArrive { to, from, reports } => self.receive(to, from, reports),
            Event::TroubleStep => self.cause_trouble(),
        }
    }

    /// Sends a request to a target unless its gateway's tracker blocks it.
    fn send(&mut self, mut run: Run) {
        let (now, gateways) = (self.clock(), self.scenario.gateways as u32);
        let fingerprint = run.request.suspect.fingerprint;
        let tracker = &self.gateway_trackers[run.gateway];
        let verdict = tracker.verdict(now, fingerprint, gateways);
        let parts = run.request.part_fingerprints();
        let (on_parts, _) = tracker.verdict_on_parts(now, &parts, gateways);
        let refuses = |verdict| matches!(verdict, Verdict::Blocked | Verdict::Trial);
        if refuses(verdict) || refuses(on_parts) {
            self.totals.refused += usize::from(run.request.killer.is_none());
            return self.retry_later(run.request);
        }
        let Some(target) = self.choose(verdict == Verdict::Watched) else {
            return self.retry_later(run.request);
        };
        run.target = target;
        run.sends += 1;
        run.began = self.now;
        let fifth = run.request.killer.and_then(|killer| self.fifth_crashes.get(&killer));
        self.totals.late_sends += usize::from(fifth.is_some_and(|at| self.now > at + 500));
        let lasts = match run.request.killer {
            Some(_) => CRASH_AFTER_MS,
            None => 50 + (-self.rng.random::<f64>().max(1e-9).ln() * 500.0) as u64,
        };
        self.next += 1;
        let id = self.next;
        self.runs.insert(id, run);
        self.runs_at[target].insert(id);
        self.schedule(lasts, Event::RunEnds { run: id });
    }

    fn choose(&mut self, suspected: bool) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.target_keys.len()).filter(|at| self.target_keys[*at].is_some()).collect();
        if self.policy.isolate_suspects && suspected {
            return up.into_iter().min_by_key(|at| self.runs_at[*at].len());
        }
        // The less loaded one of two random targets.
        let draw = |rng: &mut StdRng| up.get(rng.random_range(0..up.len().max(1))).copied();
        let (one, other) = (draw(&mut self.rng)?, draw(&mut self.rng)?);
        Some(if self.runs_at[one].len() <= self.runs_at[other].len() { one } else { other })
    }

    fn finish_run(&mut self, id: u64) {
        let Some(run) = self.runs.get(&id).cloned() else {
            return;
        };
        if run.request.killer.is_some() {
            return self.crash_target(run.target, true);
        }
        self.runs.remove(&id);
        self.runs_at[run.target].remove(&id);
        let now = self.clock();
        let tracker = &mut self.gateway_trackers[run.gateway];
        tracker.record_success(now, run.request.suspect.fingerprint);
        for part in run.request.part_fingerprints() {
            self.sound_parts[run.gateway].note(now, part);
            tracker.record_success(now, part);
        }
        self.report_to_member(run.gateway);
    }

    fn crash_target(&mut self, target: usize, poison: bool) {
        let Some(key) = self.target_keys[target].take() else {
            return;
        };
        self.totals.crashed += usize::from(poison);
        for id in std::mem::take(&mut self.runs_at[target]) {
            let run = self.runs.remove(&id).expect("a run at a target is known");
            self.totals.lost += usize::from(poison && run.request.killer.is_none());
            if let Some(killer) = run.request.killer {
                let culprit = run.request.culprit();
                let crashes = self.crash_counts.entry(culprit).or_default();
                *crashes += 1;
                if *crashes == 3 {
                    self.third_crashes.insert(culprit, (self.now, HashSet::new()));
                }
                if *crashes == 5 {
                    self.fifth_crashes.insert(killer, self.now);
                }
            }
            let detection = MIN_DETECTION_MS + self.rng.random_range(0..4);
            self.schedule(detection, Event::CrashDetected { gateway: run.gateway, run, key });
        }
        let down = self.rng.random_range(2_000..4_000);
        self.schedule(down, Event::TargetStarts { target });
    }

    fn detect_crash(&mut self, gateway: usize, run: Run, key: u64) {
        let by = Reporter::of(&format!("g-{gateway}"));
        let now = self.clock();
        self.gateway_trackers[gateway].record_crash(now, run.request.suspect.clone(), key, by);
        if self.now < run.began + ONSET_MS {
            for part in &run.request.parts {
                self.gateway_trackers[gateway].record_crash(now, part.clone(), key, by);
                self.clear_by_earlier_success(gateway, part.fingerprint);
            }
        }
        self.record_blocked(gateway);
        self.report_to_member(gateway);
        if run.request.resumable && run.sends < MAX_ATTEMPTS {
            return self.send(run);
        }
        self.retry_later(run.request);
    }

    fn clear_by_earlier_success(&mut self, gateway: usize, part: Fingerprint) {
        let now = self.clock();
        if let Some(at) = self.sound_parts[gateway].last(&part) {
            self.gateway_trackers[gateway].record_earlier_success(now, part, at);
        }
    }

    /// The caller repeats the request: a killer always, an innocent one once.
    fn retry_later(&mut self, mut request: Request) {
        let pause = match request.killer {
            Some(_) => self.rng.random_range(50..400),
            None if request.retries_left == 0 => return,
            None => 20,
        };
        request.retries_left -= 1;
        if request.killer.is_some() && self.scenario.parts {
            request.suspect = suspect("k", &format!("poison {} {}", request.culprit(), self.next));
        }
        self.schedule(pause, Event::RequestArrives { request });
    }

    fn delay(&mut self, gateway: usize) -> u64 {
        let usual = 1 + self.rng.random_range(0..20);
        if self.late[gateway] { usual + 2_000 } else { usual }
    }

    /// A gateway sends its new reports to its member.
    fn report_to_member(&mut self, gateway: usize) {
        let (reports, newest) = self.gateway_trackers[gateway]
            .local_updates(self.clock(), self.sent_by_gateways[gateway]);
        if reports.is_empty() {
            return;
        }
        self.sent_by_gateways[gateway] = newest;
        self.totals.reports += reports.len();
        let delay = self.delay(gateway);
        let (from, to) = (Node::Gateway(gateway), Node::Member(gateway % MEMBERS));
        self.schedule(delay, Event::ReportsArrive { to, from, reports });
    }

    fn receive(&mut self, to: Node, from: Node, reports: Vec<Report>) {
        let now = self.clock();
        match to {
            Node::Gateway(gateway) => {
                for report in reports {
                    let fingerprint = report.suspect.fingerprint;
                    self.gateway_trackers[gateway].apply(now, Origin::Relayed, report);
                    self.clear_by_earlier_success(gateway, fingerprint);
                }
                self.record_blocked(gateway);
                self.report_to_member(gateway);
            }
            Node::Member(member) => {
                let origin = match from {
                    Node::Gateway(_) => Origin::Local,
                    Node::Member(_) => Origin::Relayed,
                };
                for report in reports {
                    self.member_trackers[member].apply(now, origin, report);
                }
                self.distribute(member);
            }
        }
    }

    /// A member sends its updates to the other members and to its gateways.
    fn distribute(&mut self, member: usize) {
        let now = self.clock();
        let known = self.sent_to_members[member];
        let (reports, newest) = self.member_trackers[member].local_updates(now, known);
        if !reports.is_empty() {
            self.sent_to_members[member] = newest;
            for other in (0..MEMBERS).filter(|other| *other != member) {
                let delay = 1 + self.rng.random_range(0..20);
                self.totals.reports += reports.len();
                let (from, to) = (Node::Member(member), Node::Member(other));
                self.schedule(delay, Event::ReportsArrive { to, from, reports: reports.clone() });
            }
        }
        for gateway in (member..self.scenario.gateways).step_by(MEMBERS) {
            let known = self.sent_to_gateways[gateway];
            let (reports, newest) = self.member_trackers[member].gateway_updates(now, known);
            if reports.is_empty() {
                continue;
            }
            self.sent_to_gateways[gateway] = newest;
            self.totals.reports += reports.len();
            let delay = self.delay(gateway);
            let (from, to) = (Node::Member(member), Node::Gateway(gateway));
            self.schedule(delay, Event::ReportsArrive { to, from, reports });
        }
    }

    /// Records which killers this gateway blocks by now, and the time once all gateways without delay do.
    fn record_blocked(&mut self, gateway: usize) {
        if self.late[gateway] {
            return;
        }
        let on_time = self.late.iter().filter(|late| !**late).count();
        let (now, gateways) = (self.clock(), self.scenario.gateways as u32);
        for (fingerprint, (third_crash, blocked_at)) in &mut self.third_crashes {
            let verdict = self.gateway_trackers[gateway].verdict(now, *fingerprint, gateways);
            if verdict == Verdict::Blocked
                && blocked_at.insert(gateway)
                && blocked_at.len() == on_time
            {
                self.totals.blocked_after_ms.push(self.now - *third_crash);
            }
        }
    }

    fn cause_trouble(&mut self) {
        let targets = self.scenario.targets;
        match self.scenario.trouble {
            Trouble::None => {}
            Trouble::Crash => self.crash_random(targets * 15 / 100),
            Trouble::HallLost => {
                (0..targets / 4).for_each(|target| self.crash_target(target, false))
            }
            Trouble::Flapping if self.now < 15_000 => {
                self.crash_random(targets.div_ceil(10));
                self.schedule(1_000, Event::TroubleStep);
            }
            Trouble::Rolling => {
                self.crash_random(1);
                self.schedule(1_000, Event::TroubleStep);
            }
            Trouble::Flapping => {}
        }
    }

    fn crash_random(&mut self, count: usize) {
        for _ in 0..count {
            let target = self.rng.random_range(0..self.scenario.targets);
            self.crash_target(target, false);
        }
    }
}
