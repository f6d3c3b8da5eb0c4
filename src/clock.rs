//! A monotonic clock that also advances while the host is suspended (`CLOCK_BOOTTIME`).
//!
//! With `CLOCK_MONOTONIC`, which stops during a suspension, a host would after resuming still trust a lease that
//! another host has taken over, a list received before the suspension, or a deadline that the caller has given up on.
//! All leases, deadlines, ages and time windows therefore use this clock. Timers of the async runtime stop during a
//! suspension, so code that a timer wakes must read this clock to decide what has expired.

use std::ops::{Add, AddAssign};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A point in time of hyper's timers, which are built on another clock. Only the time left until it has a meaning.
pub type HyperInstant = std::time::Instant;

/// A point in time, as the time since the host booted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// The current time.
    pub fn now() -> Self {
        let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Instant(boot_time.expect("CLOCK_BOOTTIME is available on every Linux").into())
    }

    /// Time from the boot of the host to this instant.
    pub fn since_boot(self) -> Duration {
        self.0
    }

    /// Time since this instant; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Instant::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this instant; zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

/// The time of the async runtime at which a timer for this instant is to fire. A suspension of the host before then
/// makes the timer late.
impl From<Instant> for tokio::time::Instant {
    fn from(moment: Instant) -> Self {
        let (now, timer_now) = (Instant::now(), tokio::time::Instant::now());
        let ahead = moment.saturating_duration_since(now);
        let behind = now.saturating_duration_since(moment);
        // A time before the boot of the host can't be represented; the timer then fires at once.
        (timer_now + ahead).checked_sub(behind).unwrap_or(timer_now)
    }
}

/// Maximum time between the two clock reads of [`read_both`] on a busy host; a smaller difference is no suspension.
const MAX_READ_SKEW: Duration = Duration::from_millis(200);

/// Detects suspensions of the host: `CLOCK_BOOTTIME` advances during one, and `CLOCK_MONOTONIC` does not.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    boot_time: Duration,
    monotonic: Duration,
}

impl SuspendDetector {
    /// Starts from a reading of each clock, both taken at about the same time.
    pub fn from_readings(boot_time: Duration, monotonic: Duration) -> Self {
        SuspendDetector { boot_time, monotonic }
    }

    /// Starts from the current time.
    pub fn start() -> Self {
        let (boot_time, monotonic) = read_both();
        SuspendDetector::from_readings(boot_time, monotonic)
    }

    /// How long the host was suspended since the previous readings; `None` if it was not.
    pub fn update(&mut self, boot_time: Duration, monotonic: Duration) -> Option<Duration> {
        let elapsed = boot_time.saturating_sub(self.boot_time);
        let suspended = elapsed.saturating_sub(monotonic.saturating_sub(self.monotonic));
        *self = SuspendDetector { boot_time, monotonic };
        (suspended > MAX_READ_SKEW).then_some(suspended)
    }

    /// How long the host was suspended since the last check; `None` if it was not.
    pub fn check(&mut self) -> Option<Duration> {
        let (boot_time, monotonic) = read_both();
        self.update(boot_time, monotonic)
    }
}

/// Reads `CLOCK_BOOTTIME` and `CLOCK_MONOTONIC`, in this order in the result.
fn read_both() -> (Duration, Duration) {
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC);
    (Instant::now().0, monotonic.expect("CLOCK_MONOTONIC is available on every Linux").into())
}
