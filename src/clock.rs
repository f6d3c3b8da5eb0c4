//! The clock of the project: steady like that of the system, but it goes on while the host is suspended.
//!
//! A lease that another host has long given away, a list that was told before the suspension, or a deadline that the
//! caller has given up on would otherwise pass for as fresh as before. Every lease, deadline, age and window goes by this
//! clock. Timers of the runtime stand still meanwhile, so that one that wakes late decides by a reading of this clock.

use std::ops::{Add, AddAssign};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A moment, counted from the start of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// The present moment.
    pub fn now() -> Self {
        let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Instant(boot_time.expect("every Linux has this clock").into())
    }

    /// Time from the start of the host to this moment.
    pub fn since_boot(self) -> Duration {
        self.0
    }

    /// Time since this moment; none before it.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Time from an earlier moment to this one; none where that is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, time: Duration) -> Instant {
        Instant(self.0.saturating_add(time))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, time: Duration) {
        *self = *self + time;
    }
}

/// When a timer of the runtime fires that is set for the moment now, if the host is not suspended until then.
impl From<Instant> for tokio::time::Instant {
    fn from(moment: Instant) -> Self {
        let (now, timer_now) = (Instant::now(), tokio::time::Instant::now());
        let ahead = moment.saturating_duration_since(now);
        let behind = now.saturating_duration_since(moment);
        // A moment before the start of the host is as good as now.
        (timer_now + ahead).checked_sub(behind).unwrap_or(timer_now)
    }
}

/// Longest difference between two clocks that are read one after the other on a busy host.
const MAX_READ_SKEW: Duration = Duration::from_millis(200);

/// Tells when the host was suspended: this clock went on meanwhile, and the runtime's did not.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    boot_time: Duration,
    monotonic: Duration,
}

impl SuspendDetector {
    /// Counts from two readings of the clocks at about the same moment.
    pub fn from_readings(boot_time: Duration, monotonic: Duration) -> Self {
        SuspendDetector { boot_time, monotonic }
    }

    /// Counts from now on.
    pub fn start() -> Self {
        let (boot_time, monotonic) = read_both();
        SuspendDetector::from_readings(boot_time, monotonic)
    }

    /// For how long the host was suspended since the last look, by two readings; nothing where it was not.
    pub fn update(&mut self, boot_time: Duration, monotonic: Duration) -> Option<Duration> {
        let elapsed = boot_time.saturating_sub(self.boot_time);
        let suspended = elapsed.saturating_sub(monotonic.saturating_sub(self.monotonic));
        *self = SuspendDetector { boot_time, monotonic };
        (suspended > MAX_READ_SKEW).then_some(suspended)
    }

    /// For how long the host was suspended since the last look.
    pub fn check(&mut self) -> Option<Duration> {
        let (boot_time, monotonic) = read_both();
        self.update(boot_time, monotonic)
    }
}

fn read_both() -> (Duration, Duration) {
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC);
    (Instant::now().0, monotonic.expect("every Linux has this clock").into())
}
