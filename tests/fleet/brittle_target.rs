//! A brittle target: it falls over when it must reject more requests in a second than it withstands, and is started
//! again, under a new id, after a delay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::restarting_target::listen_again;
use crate::standin::{Arrival, Behaviour, Standin};

/// Time between an end and the next start.
pub const DOWN: Duration = Duration::from_secs(2);

/// What a target did, over all its starts.
#[derive(Default)]
struct History {
    falls: usize,
    rejections: usize,
    /// Number of requests that reached each start.
    arrivals: Vec<usize>,
    /// Whether the next end is not a fall.
    ends: bool,
}

/// State that the target's task shares with the test.
struct Shared {
    behaviour: Mutex<Behaviour>,
    /// For how long each start after the first is cold, in milliseconds.
    cold_ms: AtomicU64,
    /// What answers state; `None` if the target is not brittle any more.
    states: Mutex<Option<&'static str>>,
    running: Mutex<Option<Standin>>,
    history: Mutex<History>,
    /// Ends the running start.
    end: Notify,
}

/// A target that is started again after each end. Stopped when dropped.
pub struct BrittleTarget {
    name: String,
    task: JoinHandle<()>,
    shared: Arc<Shared>,
}

impl Drop for BrittleTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BrittleTarget {
    /// Runs a target of service `s` with the id `{name}-{number of earlier starts}`, whose answers state that it
    /// withstands `states` rejections in a second.
    pub async fn start(
        name: String,
        members: Vec<SocketAddr>,
        behaviour: Behaviour,
        states: &'static str,
    ) -> Self {
        let shared = Arc::new(Shared {
            behaviour: Mutex::new(behaviour),
            cold_ms: AtomicU64::new(0),
            states: Mutex::new(Some(states)),
            running: Mutex::default(),
            history: Mutex::default(),
            end: Notify::new(),
        });
        let task = tokio::spawn(run(name.clone(), members, shared.clone()));
        BrittleTarget { name, task, shared }
    }

    /// Handles requests differently from now on, also after the next starts.
    pub fn behave(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().expect("not poisoned") = behaviour;
        if let Some(standin) = &*self.shared.running.lock().expect("not poisoned") {
            standin.behave(behaviour);
        }
    }

    /// Makes the next starts report that they are cold.
    pub fn start_cold(&self, cold_ms: u64) {
        self.shared.cold_ms.store(cold_ms, Ordering::Relaxed);
    }

    /// States nothing in answers from now on, also after the next starts.
    pub fn cease_to_be_brittle(&self) {
        *self.shared.states.lock().expect("not poisoned") = None;
        if let Some(standin) = &*self.shared.running.lock().expect("not poisoned") {
            standin.clear_headers();
        }
    }

    /// The requests that reached the running start.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let running = self.shared.running.lock().expect("not poisoned");
        running.as_ref().map(Standin::arrivals).unwrap_or_default()
    }

    /// Ends the running start, which does not count as a fall.
    pub fn end(&self) {
        self.shared.history.lock().expect("not poisoned").ends = true;
        self.shared.end.notify_one();
    }

    /// How often the target fell over.
    pub fn falls(&self) -> usize {
        self.shared.history.lock().expect("not poisoned").falls
    }

    /// What the target did, for people.
    pub fn summary(&self) -> String {
        let history = self.shared.history.lock().expect("not poisoned");
        let running = self.shared.running.lock().expect("not poisoned");
        let arrivals = running.as_ref().map(|standin| standin.arrivals().len());
        let rejections = running.as_ref().map_or(0, |standin| standin.rejections().len());
        format!(
            "{}: {} falls, {} rejections, arrivals at each start {:?} and {arrivals:?}",
            self.name,
            history.falls,
            history.rejections + rejections,
            history.arrivals
        )
    }
}

async fn run(name: String, members: Vec<SocketAddr>, shared: Arc<Shared>) {
    let mut listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    for start in 0.. {
        let falls = Arc::new(Notify::new());
        let id = format!("{name}-{start}");
        let members = members.clone();
        let standin = Standin::serve(listener, "hall-a", &id, "s", members, Some(falls.clone()));
        if let Some(states) = *shared.states.lock().expect("not poisoned") {
            standin.add_header("server-brittle", states);
        }
        if start > 0 {
            standin.set_cold_left(shared.cold_ms.load(Ordering::Relaxed));
        }
        standin.behave(*shared.behaviour.lock().expect("not poisoned"));
        *shared.running.lock().expect("not poisoned") = Some(standin);
        tokio::select! {
            () = falls.notified() => {}
            () = shared.end.notified() => {}
        }
        let ended = shared.running.lock().expect("not poisoned").take().expect("running");
        {
            let mut history = shared.history.lock().expect("not poisoned");
            let ends = std::mem::take(&mut history.ends);
            history.falls += usize::from(!ends);
            history.rejections += ended.rejections().len();
            history.arrivals.push(ended.arrivals().len());
        }
        drop(ended);
        tokio::time::sleep(DOWN).await;
        listener = listen_again(addr).await;
    }
}
