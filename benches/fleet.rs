//! Compares policies for choosing a target on the same simulated requests: cache reuse, load skew against the bound, control
//! bytes, and time per decision. Prints JSON lines.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use latchmount::choice::{Candidate, Key, NameHash, cap, choose, score};
use latchmount::slots::{
    Ask, Bounds, ChatTurn, Decision, Holder, Message, Owner, Place, PoolLoad, Recent, RouterId,
    TeamId, Verdict,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

const SEED: u64 = 20_261_202;
/// Maximum load of an engine, relative to the mean load.
const LOAD_BOUND: f64 = 1.25;
/// Number of engines that may refuse a request before it is refused.
const MAX_ASKS: usize = 8;
/// Seconds between two broadcasts of the load board.
const BOARD_INTERVAL_S: f64 = 1.0;
/// Fraction of the board's entries that get lost.
const BOARD_LOSS: f64 = 0.1;
/// Size of the IP and UDP headers of a datagram.
const DATAGRAM_BYTES: usize = 28;

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    routers: usize,
    engines: usize,
    seconds: f64,
    /// New chats per second.
    chats: f64,
    /// Mean number of turns of a chat.
    turns: f64,
    /// Mean time between an answer and the chat's next turn, in seconds.
    pause: f64,
    /// Mean time that an answer takes, in seconds.
    answer: f64,
    /// Factor by which the rate of new chats grows in the middle fifth of the time.
    surge: f64,
    /// Number of chats whose prefix one engine caches.
    cache: usize,
    /// Fraction of engines replaced per minute.
    churn: f64,
}

struct Arrival {
    at: f64,
    chat: u64,
    turn: u32,
    answer: f64,
    router: usize,
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Random arrivals of all turns of all chats, in order of time.
fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let (mut arrivals, mut at) = (Vec::new(), 0.0);
    while at < scenario.seconds {
        let middle = (0.4..0.6).contains(&(at / scenario.seconds));
        let rate = scenario.chats * if middle { scenario.surge } else { 1.0 };
        at += exponential(&mut rng, 1.0 / rate);
        let (chat, mut turn, mut next) = (rng.random(), 0, at);
        while next < scenario.seconds {
            let answer = exponential(&mut rng, scenario.answer);
            let router = rng.random_range(0..scenario.routers);
            arrivals.push(Arrival { at: next, chat, turn, answer, router });
            next += answer + exponential(&mut rng, scenario.pause);
            turn += 1;
            if rng.random_bool(1.0 / scenario.turns) {
                break;
            }
        }
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    arrivals
}

/// How a router chooses an engine.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// The ideal: every load and cache is known at once.
    Central,
    /// Rendezvous hashing of the chat, whatever the load.
    Rendezvous,
    /// The less loaded of two random engines, by the load board.
    TwoChoices,
    /// Rendezvous hashing with a load bound, by the router's own requests.
    OwnCounts,
    /// The same by the load board, plus the router's requests since then times the number of routers.
    Board,
    /// Slots granted by the owner of each engine; with the load bound of first turns, and the number of engines in which a
    /// returning chat looks for its prefix.
    Slots(f64, usize),
}

impl Policy {
    fn name(self) -> String {
        match self {
            Policy::Central => "ideal_central".into(),
            Policy::Rendezvous => "rendezvous".into(),
            Policy::TwoChoices => "two_choices_lagged".into(),
            Policy::OwnCounts => "bounded_own_counts".into(),
            Policy::Board => "lagged_board_divided".into(),
            Policy::Slots(first, 0) => format!("slots_first_turn_{first}"),
            Policy::Slots(first, homes) => format!("slots_first_turn_{first}_cached_of_{homes}"),
        }
    }
}

struct Engine {
    name: NameHash,
    load: usize,
    cached: Recent,
}

struct Fleet {
    scenario: Scenario,
    policy: Policy,
    rng: SmallRng,
    engines: Vec<Engine>,
    own: Vec<Vec<u16>>,
    board: Vec<usize>,
    sent_since_board: Vec<Vec<u16>>,
    owner: Owner,
    holders: BTreeMap<RouterId, Holder>,
    total: usize,
    names: u64,
    control_bytes: usize,
    slot_bytes: usize,
}

impl Fleet {
    fn new(scenario: Scenario, policy: Policy) -> Self {
        let routers = scenario.routers;
        let engines = scenario.engines;
        let mut fleet = Fleet {
            scenario,
            policy,
            rng: SmallRng::seed_from_u64(SEED + 1),
            engines: Vec::new(),
            own: vec![vec![0; engines]; routers],
            board: vec![0; engines],
            sent_since_board: vec![vec![0; engines]; routers],
            owner: Owner::default(),
            holders: BTreeMap::new(),
            total: 0,
            names: 0,
            control_bytes: 0,
            slot_bytes: 0,
        };
        let ask = Message::Ask(ask(100_000, vec![NameHash(u64::MAX); MAX_ASKS], u64::MAX));
        let answer = Message::Answer { ticket: 100_000, verdict: Verdict::Granted(0) };
        let size = |message| {
            postcard::to_stdvec(message).expect("a message encodes").len() + DATAGRAM_BYTES
        };
        fleet.slot_bytes = size(&ask) + size(&answer);
        for _ in 0..engines {
            fleet.join();
        }
        fleet.assign_owners();
        fleet
    }

    fn join(&mut self) -> Engine {
        self.names += 1;
        let name = NameHash::new(&format!("engine-{}", self.names));
        let new = || Engine { name, load: 0, cached: Recent::default() };
        if self.engines.len() < self.scenario.engines {
            self.engines.push(new());
        }
        new()
    }

    /// Assigns an owner to every engine, and lets every router report the slots that it holds.
    fn assign_owners(&mut self) {
        if !matches!(self.policy, Policy::Slots(..)) {
            return;
        }
        let ids: Vec<RouterId> = (0..self.scenario.routers).map(|id| RouterId(id as u64)).collect();
        let names: BTreeSet<NameHash> = self.engines.iter().map(|engine| engine.name).collect();
        self.owner.set_view(ids.iter().copied().collect(), &names);
        for router in ids {
            let statement = self.holders.entry(router).or_default().statement(true);
            self.owner.apply_statement(router, &statement);
        }
    }

    fn pick(&mut self, arrival: &Arrival) -> Option<usize> {
        let key = Key(arrival.chat);
        let ordered = |load: &dyn Fn(usize) -> usize, cap: usize, engines: &[Engine]| {
            let candidates: Vec<Candidate> = engines
                .iter()
                .enumerate()
                .map(|(at, engine)| Candidate { name: engine.name, load: load(at) })
                .collect();
            choose(key, &candidates, cap)
        };
        let engines = self.engines.len();
        match self.policy {
            Policy::Central => {
                let cap = cap(self.total + 1, engines, LOAD_BOUND);
                let free = (0..engines).filter(|at| self.engines[*at].load < cap);
                free.min_by_key(|at| {
                    let engine = &self.engines[*at];
                    (!engine.cached.contains(Key(arrival.chat)), engine.load)
                })
            }
            Policy::Rendezvous => ordered(&|_| 0, 1, &self.engines),
            Policy::TwoChoices => {
                let (a, b) = (self.rng.random_range(0..engines), self.rng.random_range(0..engines));
                Some(if self.board[a] <= self.board[b] { a } else { b })
            }
            Policy::OwnCounts => {
                let own = &self.own[arrival.router];
                let total = own.iter().map(|load| usize::from(*load)).sum::<usize>() + 1;
                ordered(&|at| usize::from(own[at]), cap(total, engines, LOAD_BOUND), &self.engines)
            }
            Policy::Board => {
                let cap = cap(self.board.iter().sum::<usize>() + 1, engines, LOAD_BOUND);
                let sent = &self.sent_since_board[arrival.router];
                let share = self.scenario.routers;
                let load = |at: usize| self.board[at] + usize::from(sent[at]) * share;
                ordered(&load, cap, &self.engines)
            }
            Policy::Slots(first, homes) => self.ask(arrival, first, homes),
        }
    }

    /// Asks the owners of the engines in the chat's order of preference: a returning chat first looks for its prefix in the
    /// first `homes` engines.
    fn ask(&mut self, arrival: &Arrival, first_turn: f64, homes: usize) -> Option<usize> {
        let cached_chats = self.scenario.cache;
        let bounds =
            Bounds { returning: LOAD_BOUND, first_turn, engine_slots: usize::MAX, cached_chats };
        let pool = PoolLoad { load: self.total, targets: self.engines.len() };
        let mut scores: Vec<(u64, usize)> = self
            .engines
            .iter()
            .enumerate()
            .map(|(at, engine)| (score(Key(arrival.chat), engine.name), at))
            .collect();
        let asks = MAX_ASKS.min(scores.len());
        scores.select_nth_unstable_by(asks - 1, |a, b| b.cmp(a));
        scores[..asks].sort_unstable_by(|a, b| b.cmp(a));
        let order = || scores[..asks].iter().map(|(_, at)| *at);
        let (homes, turn) = match arrival.turn {
            0 => (0, ChatTurn::FirstTurn),
            _ => (homes as u8, ChatTurn::Returning),
        };
        let router = RouterId(arrival.router as u64);
        let targets = order().map(|at| self.engines[at].name).collect();
        let mut ask = Ask { prefix_candidates: homes, turn, ..ask(0, targets, arrival.chat) };
        let holder = self.holders.entry(router).or_default();
        holder.ask(&mut ask);
        let verdict = self.owner.ask(router, &ask, pool, &bounds);
        self.control_bytes += self.slot_bytes;
        match holder.record_answer(ask.ticket, verdict) {
            Decision::Granted(place) => order().find(|at| self.engines[*at].name == place.target),
            Decision::Full | Decision::Undecided => None,
        }
    }

    /// Starts an answer; returns whether the chat's prefix was cached.
    fn begin(&mut self, router: usize, at: usize, chat: u64) -> bool {
        self.total += 1;
        self.own[router][at] += 1;
        self.sent_since_board[router][at] += 1;
        let engine = &mut self.engines[at];
        engine.load += 1;
        engine.cached.touch(Key(chat), self.scenario.cache)
    }

    /// Ends an answer and releases its slot; nothing is released if the engine has been replaced.
    fn end(&mut self, router: usize, at: usize, name: NameHash) {
        self.total -= 1;
        self.own[router][at] = self.own[router][at].saturating_sub(1);
        if self.engines[at].name != name {
            return;
        }
        self.engines[at].load -= 1;
        if matches!(self.policy, Policy::Slots(..)) {
            let router = RouterId(router as u64);
            let sequence = self.holders.entry(router).or_default().release(place(name));
            self.owner.release(router, sequence, place(name));
            self.control_bytes += self.slot_bytes / 2;
        }
    }

    /// Broadcasts the load board and replaces some engines.
    fn tick(&mut self) {
        for (at, engine) in self.engines.iter().enumerate() {
            if !self.rng.random_bool(BOARD_LOSS) {
                self.board[at] = engine.load;
            }
        }
        self.sent_since_board.iter_mut().for_each(|sent| sent.fill(0));
        if matches!(self.policy, Policy::TwoChoices | Policy::Board) {
            let board = 2 * self.engines.len() + DATAGRAM_BYTES;
            self.control_bytes += board * self.scenario.routers;
        }
        let replaced = self.scenario.churn * BOARD_INTERVAL_S / 60.0 * self.engines.len() as f64;
        let replaced = replaced as usize + usize::from(self.rng.random_bool(replaced.fract()));
        for _ in 0..replaced {
            let at = self.rng.random_range(0..self.engines.len());
            let new = self.join();
            self.engines[at] = new;
            self.board[at] = 0;
        }
        if replaced > 0 {
            self.assign_owners();
        }
    }
}

fn place(target: NameHash) -> Place {
    Place { target, team: TeamId(u32::MAX) }
}

fn ask(ticket: u32, targets: Vec<NameHash>, chat: u64) -> Ask {
    Ask {
        ticket,
        team: TeamId(u32::MAX),
        targets,
        prefix_candidates: 0,
        usable: u16::MAX,
        share: 1_000,
        chat: Key(chat),
        turn: ChatTurn::FirstTurn,
    }
}

fn run(scenario: Scenario, policy: Policy, arrivals: &[Arrival], ideal: Option<f64>) -> f64 {
    let mut fleet = Fleet::new(scenario, policy);
    let mut completions: BinaryHeap<(std::cmp::Reverse<u64>, usize, usize, NameHash)> =
        BinaryHeap::new();
    let (mut hits, mut returning, mut refused) = (0.0, 0.0, 0.0);
    let (mut skews, mut excess, mut spent) = (Vec::new(), 0i64, Duration::ZERO);
    let mut next_tick = 0.0;
    for arrival in arrivals {
        let micros = (arrival.at * 1e6) as u64;
        while completions.peek().is_some_and(|end| end.0.0 <= micros) {
            let (_, router, at, name) = completions.pop().expect("an end");
            fleet.end(router, at, name);
        }
        while arrival.at >= next_tick {
            next_tick += BOARD_INTERVAL_S;
            if arrival.at > scenario.seconds / 4.0 {
                let most = fleet.engines.iter().map(|engine| engine.load).max().unwrap_or(0);
                let loads: usize = fleet.engines.iter().map(|engine| engine.load).sum();
                let mean = loads as f64 / fleet.engines.len() as f64;
                skews.push(most as f64 / mean);
                excess = excess.max(most as i64 - (mean * LOAD_BOUND).ceil() as i64);
            }
            fleet.tick();
        }
        let started = Instant::now();
        let picked = fleet.pick(arrival);
        spent += started.elapsed();
        returning += f64::from(u8::from(arrival.turn > 0));
        let Some(at) = picked else {
            refused += 1.0;
            continue;
        };
        let hit = fleet.begin(arrival.router, at, arrival.chat);
        hits += f64::from(u8::from(hit && arrival.turn > 0));
        let end = ((arrival.at + arrival.answer) * 1e6) as u64;
        completions.push((std::cmp::Reverse(end), arrival.router, at, fleet.engines[at].name));
    }
    skews.sort_by(f64::total_cmp);
    let quantile = |share: f64| skews[((skews.len() - 1) as f64 * share) as usize];
    let reuse = hits / returning;
    let state = fleet.engines.len() * size_of::<Candidate>();
    let control = fleet.control_bytes as f64 / scenario.seconds / scenario.routers as f64;
    println!(
        "{}",
        json!({
            "scenario": scenario.name, "policy": policy.name(), "routers": scenario.routers,
            "engines": scenario.engines, "requests": arrivals.len(), "reuse": reuse,
            "reuse_ideal": ideal.unwrap_or(reuse), "skew_p50": quantile(0.5),
            "skew_p99": quantile(0.99), "skew_max": quantile(1.0), "bound": LOAD_BOUND,
            "excess_over_bound": excess, "control_bytes_per_s_per_router": control.round(),
            "refused_share": refused / arrivals.len() as f64,
            "decision_ns": spent.as_nanos() as usize / arrivals.len(), "bytes_per_router": state,
        })
    );
    reuse
}

fn main() {
    let portwell = Scenario {
        name: "portwell_today",
        routers: 8,
        engines: 20,
        seconds: 600.0,
        chats: 20.0,
        turns: 4.0,
        pause: 40.0,
        answer: 6.0,
        surge: 2.0,
        cache: 1_500,
        churn: 0.1,
    };
    let trinacria = Scenario {
        name: "trinacria_today",
        chats: 5.0,
        turns: 15.0,
        pause: 60.0,
        surge: 1.5,
        ..portwell
    };
    let large = |name, scenario: Scenario| Scenario {
        name,
        routers: 340,
        engines: 790,
        seconds: 60.0,
        chats: 6_800.0 / scenario.turns,
        pause: 15.0,
        answer: 18.0,
        ..scenario
    };
    let only = std::env::args().nth(1).filter(|arg| !arg.starts_with("--"));
    let all = [
        portwell,
        trinacria,
        large("portwell_target", portwell),
        large("trinacria_target", trinacria),
    ];
    println!("{}", json!({ "seed": SEED }));
    for scenario in
        all.into_iter().filter(|one| only.as_deref().is_none_or(|only| one.name == only))
    {
        let arrivals = arrivals(&scenario);
        let ideal = run(scenario, Policy::Central, &arrivals, None);
        let policies = [Policy::Rendezvous, Policy::TwoChoices, Policy::OwnCounts, Policy::Board];
        let slots = [(1.25, 0), (1.15, 0), (1.25, 4), (1.15, 4), (1.1, 4), (1.1, 8)];
        let slots = slots.map(|(first, homes)| Policy::Slots(first, homes));
        for policy in policies.into_iter().chain(slots) {
            run(scenario, policy, &arrivals, Some(ideal));
        }
    }
}
