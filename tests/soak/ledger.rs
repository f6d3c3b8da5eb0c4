//! What callers, targets and operators have seen.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    Resumable,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Safe, Kind::Unsafe, Kind::Stream, Kind::Resumable];

    pub fn path(self) -> &'static str {
        match self {
            Kind::Safe => "/safe/",
            Kind::Unsafe => "/unsafe/",
            Kind::Stream => "/stream/",
            Kind::Resumable => "/resumable/",
        }
    }

    pub fn idempotent(self) -> bool {
        matches!(self, Kind::Safe | Kind::Resumable)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a status; successes were checked to be whole.
    Status(u16),
    /// The connection ended with no whole answer.
    Cut,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    pub gateway: usize,
    pub sent: Duration,
    pub ended: Ended,
}

/// A request that reached a target, whether or not it ran there.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub target: String,
    pub gateway: IpAddr,
    pub at: Duration,
}

/// A target turned a gateway's request away and asked it for rest.
#[derive(Clone, Debug)]
pub struct Rest {
    pub target: String,
    pub gateway: IpAddr,
    pub at: Duration,
    pub until: Duration,
}

/// A gateway passed on an answer that says that its target leaves.
#[derive(Clone, Debug)]
pub struct LeavingTold {
    pub target: String,
    /// Number of the gateway.
    pub gateway: usize,
    pub at: Duration,
}

/// Who had a fault of its own, or a repair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Party {
    Gateway(IpAddr),
    Target(String),
}

/// A run at a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub gateway: IpAddr,
    pub at: Duration,
    pub team: String,
}

/// An order of the operator about a data hall.
#[derive(Clone, Debug)]
pub struct Order {
    pub data_hall: String,
    pub evacuate: bool,
    pub made: Duration,
    /// When it was first acknowledged.
    pub acknowledged: Option<Duration>,
}

/// Where a target stands, and since when.
#[derive(Clone, Debug)]
pub struct Place {
    pub data_hall: String,
    pub started: Duration,
}

/// What became of a request that ends targets, at a target.
#[derive(Clone, Debug)]
pub enum Bite {
    /// It reached one.
    Reached(Duration),
    /// One ended under it.
    Ended { at: Duration, target: String },
}

impl Bite {
    pub fn reached(&self) -> Option<Duration> {
        match self {
            Bite::Reached(at) => Some(*at),
            Bite::Ended { .. } => None,
        }
    }

    pub fn ended(&self) -> Option<(&str, Duration)> {
        match self {
            Bite::Reached(_) => None,
            Bite::Ended { at, target } => Some((target, *at)),
        }
    }
}

/// Everything seen in one run of the soak.
#[derive(Default)]
pub struct Book {
    pub seen: Vec<Seen>,
    pub runs: HashMap<String, Vec<Run>>,
    /// Addresses that gateways connect from, by number.
    pub gateways: Vec<IpAddr>,
    /// Who was struck by a fault or a repair, and when.
    pub struck: Vec<(Party, Duration)>,
    pub arrivals: Vec<Arrival>,
    pub rests: Vec<Rest>,
    pub leaving_told: Vec<LeavingTold>,
    /// Arrivals that were turned away as not run.
    pub turned_away: HashMap<String, u32>,
    pub sent_ids: HashSet<String>,
    /// Configurations sent, by version.
    pub configurations: BTreeMap<u64, String>,
    /// When each version was first acknowledged.
    pub acknowledged: BTreeMap<u64, Duration>,
    /// When the drain of a target was acknowledged.
    pub drained: HashMap<String, Duration>,
    /// Orders about data halls, in the order in which they were made.
    pub orders: Vec<Order>,
    /// Data hall and start of each target.
    pub targets: HashMap<String, Place>,
    /// Times at which some fault began or ended.
    pub disturbed: Vec<Duration>,
    /// Requests that end targets, by body.
    pub poisoned: HashMap<String, Vec<Bite>>,
    /// Innocent requests that were refused as if they ended targets.
    pub accused: u32,
    /// Reads of the configuration that were answered.
    pub reads: usize,
    /// Starts of gateways, which then know of nothing.
    pub gateway_starts: usize,
    /// When all faults had ended, and the halls were taken back into use.
    pub ended: Duration,
    /// Promises found broken while running.
    pub broken: Vec<String>,
}

/// A shared book with a clock.
#[derive(Clone)]
pub struct Ledger {
    book: Arc<Mutex<Book>>,
    started: Instant,
}

impl Ledger {
    pub fn new() -> Self {
        Ledger { book: Arc::default(), started: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().expect("no panic")
    }

    pub fn broken(&self, what: String) {
        self.book().broken.push(what);
    }

    /// A fault or a repair strikes somebody.
    pub fn strike(&self, party: Party) {
        let now = self.now();
        self.book().struck.push((party, now));
    }

    pub fn disturb(&self) {
        let now = self.now();
        self.book().disturbed.push(now);
    }
}
