//! What a process uses, as the operating system tells, and the guard by which these tests run one at a time.

use std::time::{Duration, Instant};

use tokio::sync::{Mutex, MutexGuard};

/// Interval at which the processor time of a process is read.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
/// Clock ticks in that interval up to which a process counts as at rest: its heartbeats take some.
const SETTLED_TICKS: u64 = 4;
/// Longest wait until a process is at rest. It is checked all the same then.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

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

/// Waits until a process has taken in what the crowd sent it: until it is at rest.
pub async fn wait_until_settled(process_id: u32) {
    let began = Instant::now();
    let mut ticks = cpu_ticks(process_id);
    while began.elapsed() < SETTLE_TIMEOUT {
        tokio::time::sleep(SETTLE_INTERVAL).await;
        let now = cpu_ticks(process_id);
        if now - ticks <= SETTLED_TICKS {
            return;
        }
        ticks = now;
    }
}

/// Processor time of a process so far, in clock ticks.
fn cpu_ticks(process_id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat"));
    let stat = stat.expect("the process lives");
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    fields[11..13].iter().filter_map(|field| field.parse::<u64>().ok()).sum()
}

/// Largest resident memory of a process since its start, in MiB.
fn peak_mib(process_id: u32) -> f64 {
    memory_mib(process_id, "VmHWM")
}

/// Resident memory of a process, in MiB.
pub fn resident_mib(process_id: u32) -> f64 {
    memory_mib(process_id, "VmRSS")
}

fn memory_mib(process_id: u32, field: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"));
    let status = status.expect("the process lives");
    let line = status.lines().find(|line| line.starts_with(field)).expect("the process lives");
    let kib: f64 = line.split_whitespace().nth(1).expect("a number").parse().expect("a number");
    kib / 1_024.0
}

/// Number of descriptors that a process has open.
fn open_descriptors(process_id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process_id}/fd")).expect("the process lives").count()
}
