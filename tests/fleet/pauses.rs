//! Pauses processes with SIGSTOP at seeded random moments, as an overloaded or suspended host would.
//!
//! If `LATCHMOUNT_PAUSES` is set, all fleet tests run with such pauses. Its value gives the seed, the processes to pause
//! (`gateways`, `members` or `all`) and the longest pause in milliseconds, for example `11:gateways:2500`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest time between the end of one pause and the next.
const MAX_GAP: Duration = Duration::from_millis(1_500);

/// The pid of a process while it runs; shared with the thread that pauses it.
#[derive(Clone, Debug, Default)]
pub struct Pausable(Arc<Mutex<Option<Pid>>>);

impl Pausable {
    /// Sets the running process; `None` once it is about to end.
    pub fn set_running(&self, pid: Option<u32>) {
        *self.0.lock().expect("no panic") = pid.map(|pid| Pid::from_raw(pid as i32));
    }

    /// Stops the process for `length`; returns false if it was not running.
    fn pause(&self, length: Duration) -> bool {
        let stopped = self.signal(Signal::SIGSTOP);
        if stopped {
            std::thread::sleep(length);
            self.signal(Signal::SIGCONT);
        }
        stopped
    }

    fn signal(&self, signal: Signal) -> bool {
        let pid = self.0.lock().expect("no panic");
        pid.is_some_and(|pid| kill(pid, signal).is_ok())
    }
}

/// Which processes are paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paused {
    Gateways,
    Members,
    All,
}

/// Which processes to pause, and for how long at most; `seed` determines the moments and lengths.
#[derive(Clone, Copy, Debug)]
pub struct PausePlan {
    pub seed: u64,
    pub paused: Paused,
    pub max_pause: Duration,
}

impl PausePlan {
    /// Reads the plan from `LATCHMOUNT_PAUSES`, if that is set.
    ///
    /// # Panics
    ///
    /// If the value does not parse.
    pub fn from_env() -> Option<Self> {
        let text = std::env::var("LATCHMOUNT_PAUSES").ok()?;
        let plan = Self::parse(&text);
        Some(plan.unwrap_or_else(|| panic!("LATCHMOUNT_PAUSES={text}: not SEED:WHO:LONGEST_MS")))
    }

    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(':');
        let seed = parts.next()?.parse().ok()?;
        let paused = match parts.next()? {
            "gateways" => Paused::Gateways,
            "members" => Paused::Members,
            "all" => Paused::All,
            _ => return None,
        };
        let max_pause = Duration::from_millis(parts.next()?.parse().ok()?);
        Some(PausePlan { seed, paused, max_pause })
    }
}

/// Pauses random processes, one at a time, until dropped.
pub struct PauseInjector {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PauseInjector {
    /// Starts the thread that pauses the processes.
    pub fn start(plan: PausePlan, processes: Vec<Pausable>) -> Self {
        eprintln!("{plan:?}");
        let stop = Arc::new(AtomicBool::new(processes.is_empty()));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut rng = StdRng::seed_from_u64(plan.seed);
            while !stopped.load(Ordering::Relaxed) {
                std::thread::sleep(rng.random_range(Duration::ZERO..MAX_GAP));
                let process = &processes[rng.random_range(0..processes.len())];
                process.pause(rng.random_range(MIN_PAUSE..=plan.max_pause));
            }
        });
        PauseInjector { stop, thread: Some(thread) }
    }
}

impl Drop for PauseInjector {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // The thread ends its last pause with SIGCONT, so that no process stays stopped.
        let _ = self.thread.take().map(JoinHandle::join);
    }
}
