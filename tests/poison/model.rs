//! A fleet in virtual time: callers, gateways, members and targets, with poison requests among innocent ones.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use latchmount::poison::{
    Fingerprint, Identity, Origin, PoisonTracker, Report, Reporter, Rule, Suspect, Verdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MEMBERS: usize = 5;
/// How long a poison request runs until its target ends.
const ENDS_AFTER_MS: u64 = 70;
/// Most targets that a try is sent to.
const ATTEMPTS: u32 = 2;
/// Time of a gateway to find that a connection broke, and what the target is.
const FINDS_AFTER_MS: u64 = 4;

/// How suspects are treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    pub rule: Rule,
    /// Suspects run at the target with the least to lose, and not beside each other.
    pub apart: bool,
}

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// At 5 s 15% of the targets end at once.
    Crash,
    /// From 5 to 15 s, each second a tenth of the targets ends.
    Flapping,
    /// At 5 s a quarter of the targets ends at once, and stays away.
    HallLost,
    /// From 5 s on, each second one target ends with all that it runs.
    Rolling,
}

#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub gateways: usize,
    pub targets: usize,
    pub killers: usize,
    /// Innocent requests a second.
    pub rate: f64,
    pub trouble: Trouble,
    /// Part of the gateways whose news come two seconds late.
    pub late: f64,
    pub seconds: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Targets that ended under poison.
    pub ended: usize,
    /// Innocent tries, and those that were refused as poison.
    pub tries: usize,
    pub refused: usize,
    /// Innocent runs that ended with their target under poison.
    pub lost: usize,
    /// Time from the third end of a killer until the last gateway whose news are not late blocks it, in milliseconds.
    pub known_after_ms: Vec<u64>,
    /// Reports sent, over all.
    pub reports: usize,
}

impl Figures {
    /// Adds those of another play.
    pub fn add(&mut self, other: Figures) {
        self.ended += other.ended;
        self.tries += other.tries;
        self.refused += other.refused;
        self.lost += other.lost;
        self.reports += other.reports;
        self.known_after_ms.extend(other.known_after_ms);
    }
}

#[derive(Clone, Debug)]
struct Request {
    /// Number of a killer, or none for an innocent one.
    killer: Option<usize>,
    suspect: Suspect,
    resumable: bool,
    tries_left: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Arrives {
        request: Request,
    },
    RunEnds {
        run: u64,
    },
    TargetStarts {
        target: usize,
    },
    /// A gateway found that a run's target had ended.
    Found {
        gateway: usize,
        run: Run,
        key: u64,
    },
    Told {
        to: Node,
        from: Node,
        reports: Vec<Report>,
    },
    Strikes,
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
}

pub struct Model {
    scene: Scene,
    way: Way,
    rng: StdRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    boards: Vec<PoisonTracker>,
    members: Vec<PoisonTracker>,
    told: Vec<u64>,
    told_members: Vec<u64>,
    told_gateways: Vec<u64>,
    late: Vec<bool>,
    /// Key of what runs at each place; none while it is down.
    places: Vec<Option<u64>>,
    keys: u64,
    runs: BTreeMap<u64, Run>,
    at: Vec<HashSet<u64>>,
    third: HashMap<Fingerprint, (u64, HashSet<usize>)>,
    ends_of: HashMap<Fingerprint, usize>,
    figures: Figures,
}

fn suspect(team: &str, body: &str) -> Suspect {
    let identity = Identity { team: Some(team), host: "h", path: "/p/", body: body.as_bytes() };
    Suspect::new(&identity, identity.fingerprint(), "r")
}

impl Model {
    pub fn play(scene: Scene, way: Way, seed: u64) -> Figures {
        let mut rng = StdRng::seed_from_u64(seed);
        let late = (0..scene.gateways).map(|_| rng.random_bool(scene.late)).collect();
        let board =
            |at: usize| PoisonTracker::new(way.rule, Some(Reporter::of(&format!("g-{at}"))));
        let mut model = Model {
            scene,
            way,
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            boards: (0..scene.gateways).map(board).collect(),
            members: (0..MEMBERS).map(|_| PoisonTracker::new(way.rule, None)).collect(),
            told: vec![0; scene.gateways],
            told_members: vec![0; MEMBERS],
            told_gateways: vec![0; scene.gateways],
            late,
            places: (0..scene.targets as u64).map(Some).collect(),
            keys: scene.targets as u64,
            runs: BTreeMap::new(),
            at: vec![HashSet::new(); scene.targets],
            third: HashMap::new(),
            ends_of: HashMap::new(),
            figures: Figures::default(),
        };
        model.run();
        model.figures
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + ms, self.next)));
        self.events.insert(self.next, event);
    }

    fn run(&mut self) {
        for killer in 0..self.scene.killers {
            let request = Request {
                killer: Some(killer),
                suspect: suspect("k", &format!("poison {killer}")),
                resumable: true,
                tries_left: u32::MAX,
            };
            let at = 3_000 + self.rng.random_range(0..4_000);
            self.after(at, Event::Arrives { request });
        }
        self.innocent(0);
        self.after(5_000, Event::Strikes);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.scene.seconds * 1_000 {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("queued");
            self.take(event);
        }
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// The next innocent request; a tenth of them are asked for again and again.
    fn innocent(&mut self, number: u64) {
        let body = match self.rng.random_bool(0.1) {
            true => format!("often {}", self.rng.random_range(0..50)),
            false => format!("once {number}"),
        };
        let request = Request {
            killer: None,
            suspect: suspect(&format!("t-{}", number % 10), &body),
            resumable: self.rng.random_bool(0.5),
            tries_left: 1,
        };
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.scene.rate * 1_000.0;
        self.after(gap as u64, Event::Arrives { request });
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives { request } => {
                if request.killer.is_none() && request.tries_left == 1 {
                    let number = self.next;
                    self.innocent(number);
                }
                let gateway = self.rng.random_range(0..self.scene.gateways);
                self.figures.tries += usize::from(request.killer.is_none());
                self.send(Run { request, gateway, target: 0, sends: 0 });
            }
            Event::RunEnds { run } => self.end_run(run),
            Event::TargetStarts { target } => {
                self.keys += 1;
                self.places[target] = Some(self.keys);
            }
            Event::Found { gateway, run, key } => self.found(gateway, run, key),
            Event::Told { to, from, reports } => self.hear(to, from, reports),
            Event::Strikes => self.strike(),
        }
    }

    /// Sends a request to a target, if its gateway's board lets it.
    fn send(&mut self, mut run: Run) {
        let (now, gateways) = (self.clock(), self.scene.gateways as u32);
        let fingerprint = run.request.suspect.fingerprint;
        let verdict = self.boards[run.gateway].verdict(now, fingerprint, gateways);
        if matches!(verdict, Verdict::Blocked | Verdict::Trial) {
            self.figures.refused += usize::from(run.request.killer.is_none());
            return self.repeat(run.request);
        }
        let Some(target) = self.choose(verdict == Verdict::Watched) else {
            return self.repeat(run.request);
        };
        run.target = target;
        run.sends += 1;
        let lasts = match run.request.killer {
            Some(_) => ENDS_AFTER_MS,
            None => 50 + (-self.rng.random::<f64>().max(1e-9).ln() * 500.0) as u64,
        };
        self.next += 1;
        let id = self.next;
        self.runs.insert(id, run);
        self.at[target].insert(id);
        self.after(lasts, Event::RunEnds { run: id });
    }

    fn choose(&mut self, suspected: bool) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.places.len()).filter(|at| self.places[*at].is_some()).collect();
        if self.way.apart && suspected {
            return up.into_iter().min_by_key(|at| self.at[*at].len());
        }
        // The less loaded one of two.
        let draw = |rng: &mut StdRng| up.get(rng.random_range(0..up.len().max(1))).copied();
        let (one, other) = (draw(&mut self.rng)?, draw(&mut self.rng)?);
        Some(if self.at[one].len() <= self.at[other].len() { one } else { other })
    }

    fn end_run(&mut self, id: u64) {
        let Some(run) = self.runs.get(&id).cloned() else {
            return;
        };
        if run.request.killer.is_some() {
            return self.end_target(run.target, true);
        }
        self.runs.remove(&id);
        self.at[run.target].remove(&id);
        let now = self.clock();
        self.boards[run.gateway].record_success(now, run.request.suspect.fingerprint);
        self.tell(run.gateway);
    }

    fn end_target(&mut self, target: usize, poison: bool) {
        let Some(key) = self.places[target].take() else {
            return;
        };
        self.figures.ended += usize::from(poison);
        for id in std::mem::take(&mut self.at[target]) {
            let run = self.runs.remove(&id).expect("it runs");
            self.figures.lost += usize::from(poison && run.request.killer.is_none());
            if run.request.killer.is_some() {
                let ends = self.ends_of.entry(run.request.suspect.fingerprint).or_default();
                *ends += 1;
                if *ends == 3 {
                    let third = (self.now, HashSet::new());
                    self.third.insert(run.request.suspect.fingerprint, third);
                }
            }
            let finds = FINDS_AFTER_MS + self.rng.random_range(0..4);
            self.after(finds, Event::Found { gateway: run.gateway, run, key });
        }
        let away = self.rng.random_range(2_000..4_000);
        self.after(away, Event::TargetStarts { target });
    }

    fn found(&mut self, gateway: usize, run: Run, key: u64) {
        let by = Reporter::of(&format!("g-{gateway}"));
        let now = self.clock();
        self.boards[gateway].record_crash(now, run.request.suspect.clone(), key, by);
        self.note_known(gateway);
        self.tell(gateway);
        if run.request.resumable && run.sends < ATTEMPTS {
            return self.send(run);
        }
        self.repeat(run.request);
    }

    /// The caller asks again: a killer always, another once.
    fn repeat(&mut self, mut request: Request) {
        let pause = match request.killer {
            Some(_) => self.rng.random_range(50..400),
            None if request.tries_left == 0 => return,
            None => 20,
        };
        request.tries_left -= 1;
        self.after(pause, Event::Arrives { request });
    }

    fn delay(&mut self, gateway: usize) -> u64 {
        let usual = 1 + self.rng.random_range(0..20);
        if self.late[gateway] { usual + 2_000 } else { usual }
    }

    /// A gateway tells its member what is new.
    fn tell(&mut self, gateway: usize) {
        let (word, upto) = self.boards[gateway].local_updates(self.clock(), self.told[gateway]);
        if word.is_empty() {
            return;
        }
        self.told[gateway] = upto;
        self.figures.reports += word.len();
        let delay = self.delay(gateway);
        let (from, to) = (Node::Gateway(gateway), Node::Member(gateway % MEMBERS));
        self.after(delay, Event::Told { to, from, reports: word });
    }

    fn hear(&mut self, to: Node, from: Node, reports: Vec<Report>) {
        let now = self.clock();
        match to {
            Node::Gateway(gateway) => {
                for report in reports {
                    self.boards[gateway].apply(now, Origin::Relayed, report);
                }
                self.note_known(gateway);
            }
            Node::Member(member) => {
                let origin = match from {
                    Node::Gateway(_) => Origin::Local,
                    Node::Member(_) => Origin::Relayed,
                };
                for report in reports {
                    self.members[member].apply(now, origin, report);
                }
                self.pass_on(member);
            }
        }
    }

    /// A member tells the other members and its gateways.
    fn pass_on(&mut self, member: usize) {
        let now = self.clock();
        let known = self.told_members[member];
        let (word, upto) = self.members[member].local_updates(now, known);
        if !word.is_empty() {
            self.told_members[member] = upto;
            for other in (0..MEMBERS).filter(|other| *other != member) {
                let delay = 1 + self.rng.random_range(0..20);
                self.figures.reports += word.len();
                let (from, to) = (Node::Member(member), Node::Member(other));
                self.after(delay, Event::Told { to, from, reports: word.clone() });
            }
        }
        for gateway in (member..self.scene.gateways).step_by(MEMBERS) {
            let known = self.told_gateways[gateway];
            let (word, upto) = self.members[member].gateway_updates(now, known);
            if word.is_empty() {
                continue;
            }
            self.told_gateways[gateway] = upto;
            self.figures.reports += word.len();
            let delay = self.delay(gateway);
            let (from, to) = (Node::Member(member), Node::Gateway(gateway));
            self.after(delay, Event::Told { to, from, reports: word });
        }
    }

    /// Notes which killers this gateway blocks from now on.
    fn note_known(&mut self, gateway: usize) {
        if self.late[gateway] {
            return;
        }
        let on_time = self.late.iter().filter(|late| !**late).count();
        let (now, gateways) = (self.clock(), self.scene.gateways as u32);
        for (fingerprint, (third, known)) in &mut self.third {
            let verdict = self.boards[gateway].verdict(now, *fingerprint, gateways);
            if verdict == Verdict::Blocked && known.insert(gateway) && known.len() == on_time {
                self.figures.known_after_ms.push(self.now - *third);
            }
        }
    }

    fn strike(&mut self) {
        let targets = self.scene.targets;
        match self.scene.trouble {
            Trouble::None => {}
            Trouble::Crash => self.end_some(targets * 15 / 100),
            Trouble::HallLost => (0..targets / 4).for_each(|target| self.end_target(target, false)),
            Trouble::Flapping if self.now < 15_000 => {
                self.end_some(targets.div_ceil(10));
                self.after(1_000, Event::Strikes);
            }
            Trouble::Rolling => {
                self.end_some(1);
                self.after(1_000, Event::Strikes);
            }
            Trouble::Flapping => {}
        }
    }

    fn end_some(&mut self, count: usize) {
        for _ in 0..count {
            let target = self.rng.random_range(0..self.scene.targets);
            self.end_target(target, false);
        }
    }
}
