//! What a process uses, as the operating system tells, and the guard by which these tests run one at a time.

use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};

use crate::usage::{cpu_ticks, open_descriptors, peak_mib};

/// Interval at which the processor time of a process is read.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
/// Clock ticks in that interval up to which a process counts as at rest: its heartbeats take some.
const SETTLED_TICKS: u64 = 4;
/// Looks after which a process is checked all the same, at rest or not.
const MAX_LOOKS: usize = 80;

/// Held by each test while it runs: crowds beside each other would share the processor and descriptors of this process.
pub async fn one_at_a_time() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

/// Bounds on what a process uses.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest resident memory since the start, in MiB.
    pub memory_mib: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Bounds {
    /// Checks a process, which must run.
    pub fn check(&self, process_id: u32) {
        let peak = peak_mib(process_id);
        let descriptors = open_descriptors(process_id);
        println!(
            "peak {peak:.0} of {:.0} MiB, {descriptors} of {} descriptors",
            self.memory_mib, self.descriptors
        );
        assert!(peak <= self.memory_mib, "{peak:.0} MiB, {:.0} allowed", self.memory_mib);
        assert!(descriptors <= self.descriptors, "{descriptors} of {}", self.descriptors);
    }
}

/// Waits until a process has taken in what the crowd sent it: until it is at rest. This is no check.
pub async fn wait_until_settled(process_id: u32) {
    let mut ticks = cpu_ticks(process_id);
    for _ in 0..MAX_LOOKS {
        tokio::time::sleep(SETTLE_INTERVAL).await;
        let now = cpu_ticks(process_id);
        if now - ticks <= SETTLED_TICKS {
            return;
        }
        ticks = now;
    }
}
