//! Records what callers, targets and operators observe, for the checks after a run.
//!
//! Names of types and fields that the checks print with Debug are part of the soak's output.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The route that a request takes, which decides whether it may be retried or resumed.
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
pub enum Outcome {
    /// The whole response arrived; the body of a success was checked.
    Status(u16),
    /// The connection ended, or time ran out, before the whole response arrived.
    Cut,
}

/// A finished request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    pub gateway: usize,
    pub sent: Duration,
    pub ended: Outcome,
}

/// The arrival of a request at a target, whether or not it ran there.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub target: String,
    pub gateway: IpAddr,
    pub at: Duration,
}

/// A target rejected a gateway's request and asked for a pause with Retry-After, which ends at `until`.
#[derive(Clone, Debug)]
pub struct Rest {
    pub target: String,
    pub gateway: IpAddr,
    pub at: Duration,
    pub until: Duration,
}

/// A gateway forwarded a response whose header says that its target is shutting down.
#[derive(Clone, Debug)]
pub struct ShutdownNotice {
    pub target: String,
    /// Number of the gateway.
    pub gateway: usize,
    pub at: Duration,
}

/// A gateway or target on which a fault or a repair acted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Component {
    Gateway(IpAddr),
    Target(String),
}

/// A time in which a gateway was cut off from all targets, or had another fault that lasts.
#[derive(Clone, Copy, Debug)]
pub struct GatewayFault {
    /// Number of the gateway.
    pub gateway: usize,
    pub from: Duration,
    /// `None` while it lasts.
    pub until: Option<Duration>,
}

/// The execution of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub gateway: IpAddr,
    pub at: Duration,
    pub team: String,
}

/// An operator's order to evacuate a data hall, or to withdraw the evacuation.
#[derive(Clone, Debug)]
pub struct Order {
    pub data_hall: String,
    pub evacuate: bool,
    pub made: Duration,
    /// When it was first acknowledged.
    pub acknowledged: Option<Duration>,
}

/// Data hall and start time of a target.
#[derive(Clone, Debug)]
pub struct Place {
    pub data_hall: String,
    pub started: Duration,
}

/// An event of a poison request, which ends each target that runs it.
#[derive(Clone, Debug)]
pub enum PoisonEvent {
    /// The request reached a target.
    Reached(Duration),
    /// A target exited because of the request.
    Ended { at: Duration, target: String },
}

impl PoisonEvent {
    pub fn reached(&self) -> Option<Duration> {
        match self {
            PoisonEvent::Reached(at) => Some(*at),
            PoisonEvent::Ended { .. } => None,
        }
    }

    pub fn ended(&self) -> Option<(&str, Duration)> {
        match self {
            PoisonEvent::Reached(_) => None,
            PoisonEvent::Ended { at, target } => Some((target, *at)),
        }
    }
}

/// Everything observed in one run of the soak.
#[derive(Default)]
pub struct Observations {
    /// Finished requests of the callers.
    pub seen: Vec<Seen>,
    /// Executions of each request, by request id.
    pub runs: HashMap<String, Vec<Run>>,
    /// Source addresses of the gateways, by number.
    pub gateways: Vec<IpAddr>,
    /// Times of the faults and repairs of each component.
    pub component_faults: Vec<(Component, Duration)>,
    pub arrivals: Vec<Arrival>,
    pub backoffs: Vec<Rest>,
    pub shutdown_notices: Vec<ShutdownNotice>,
    /// Brittle targets that fell over, and when.
    pub falls: Vec<(String, Duration)>,
    /// How often each request was rejected by a target as not run.
    pub turned_away: HashMap<String, u32>,
    pub sent_ids: HashSet<String>,
    /// Configurations sent, by version.
    pub configurations: BTreeMap<u64, String>,
    /// When each version was first acknowledged.
    pub acknowledged: BTreeMap<u64, Duration>,
    /// When the drain of each target was acknowledged, by target name.
    pub drained: HashMap<String, Duration>,
    /// Orders about data halls, in the order in which they were made.
    pub orders: Vec<Order>,
    /// Data hall and start time of each target, by name.
    pub targets: HashMap<String, Place>,
    pub cuts: Vec<GatewayFault>,
    /// Times in which gateways were killed, stopped, paused or cut off from the members.
    pub gateway_faults: Vec<GatewayFault>,
    /// Times at which any fault began or ended.
    pub fault_times: Vec<Duration>,
    /// Events of each poison request, by its body.
    pub poison_events: HashMap<String, Vec<PoisonEvent>>,
    /// Number of innocent requests that were blocked as poison.
    pub blocked_innocent: u32,
    /// Number of broken streams that callers resumed by requests of their own, and of those that went on.
    pub resumptions: usize,
    pub resumptions_served: usize,
    /// Number of answered reads of the configuration.
    pub reads: usize,
    /// Number of gateway starts. A gateway that has just started knows no poison requests.
    pub gateway_starts: usize,
    /// When all faults had ended and the evacuations were about to be withdrawn.
    pub ended: Duration,
    /// Violated promises found during the run.
    pub violations: Vec<String>,
}

/// A shared handle to the observations, with the clock of the run.
#[derive(Clone)]
pub struct Recorder {
    observations: Arc<Mutex<Observations>>,
    started: Instant,
}

impl Recorder {
    pub fn new() -> Self {
        Recorder { observations: Arc::default(), started: Instant::now() }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().expect("the lock is not poisoned")
    }

    pub fn record_violation(&self, what: String) {
        self.lock().violations.push(what);
    }

    /// Records a fault or a repair of this component.
    pub fn record_fault_of(&self, component: Component) {
        let now = self.now();
        self.lock().component_faults.push((component, now));
    }

    /// Records that some fault began or ended.
    pub fn record_fault(&self) {
        let now = self.now();
        self.lock().fault_times.push(now);
    }
}
