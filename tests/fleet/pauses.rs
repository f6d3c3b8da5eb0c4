//! Pauses of processes at moments drawn from a seed, as a starved or suspended host makes them.
//!
//! Every fleet test runs under them when `LATCHMOUNT_PAUSES` names a seed, which processes are paused (`gateways`,
//! `members` or `all`) and the longest pause, for example `11:gateways:2500`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Shortest pause.
const SHORTEST: Duration = Duration::from_millis(50);
/// Longest time between two pauses.
const LONGEST_GAP: Duration = Duration::from_millis(1_500);

/// A process that may be paused while it runs.
#[derive(Clone, Debug, Default)]
pub struct Pausable(Arc<Mutex<Option<Pid>>>);

impl Pausable {
    /// Sets which process runs now, if any.
    pub fn set_running(&self, pid: Option<u32>) {
        *self.0.lock().expect("no panic") = pid.map(|pid| Pid::from_raw(pid as i32));
    }

    /// Stops the process for so long, unless it ends meanwhile; tells whether it ran.
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

/// What is to be paused, for how long at most, at moments drawn from a seed.
#[derive(Clone, Copy, Debug)]
pub struct PausePlan {
    pub seed: u64,
    pub paused: Paused,
    pub max_pause: Duration,
}

impl PausePlan {
    /// The plan that the environment names, if it names one.
    pub fn from_env() -> Option<Self> {
        let text = std::env::var("LATCHMOUNT_PAUSES").ok()?;
        let plan = Self::read(&text);
        Some(plan.unwrap_or_else(|| panic!("LATCHMOUNT_PAUSES={text}: not SEED:WHO:LONGEST_MS")))
    }

    fn read(text: &str) -> Option<Self> {
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

/// Pauses processes in turn until dropped.
pub struct PauseInjector {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PauseInjector {
    /// Begins, one process at a time.
    pub fn start(plan: PausePlan, processes: Vec<Pausable>) -> Self {
        eprintln!("{plan:?}");
        let over = Arc::new(AtomicBool::new(processes.is_empty()));
        let until = over.clone();
        let thread = std::thread::spawn(move || {
            let mut rng = StdRng::seed_from_u64(plan.seed);
            while !until.load(Ordering::Relaxed) {
                std::thread::sleep(rng.random_range(Duration::ZERO..LONGEST_GAP));
                let process = &processes[rng.random_range(0..processes.len())];
                process.pause(rng.random_range(SHORTEST..=plan.max_pause));
            }
        });
        PauseInjector { over, thread: Some(thread) }
    }
}

impl Drop for PauseInjector {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // No process stays stopped.
        let _ = self.thread.take().map(JoinHandle::join);
    }
}
