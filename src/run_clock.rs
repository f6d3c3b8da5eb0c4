//! A clock that counts only the time in which this process ran, for timeouts on other processes.
//!
//! A process that is stopped, or gets no CPU time, reads no data: the other side may have answered long ago. So
//! timeouts count only the time in which this process ran, and data that arrived during a pause is read before a
//! wait for it ends. Promises to other processes, such as leases, are measured with [`Instant`].

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::rt::{Sleep, Timer};
use slog::{Logger, info};

use crate::clock::{HyperInstant, Instant};
use crate::sync::lock;

/// Interval between readings of the clock.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// If two readings are further apart than this, the process was paused in between.
const MAX_STEP: Duration = Duration::from_millis(100);
/// After a deadline, how long to wait for further data that is probably ready to be read.
const LATE_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Data that is ready to be read is still delivered for this long after the deadline, or after the end of a pause
/// during which the deadline passed.
const MAX_OVERRUN: Duration = Duration::from_secs(1);
/// Extra wait after a timer, in which the runtime polls its sockets once more: after a pause, timers fire before data
/// that has arrived is read. Longer than such a poll takes.
const SOCKET_POLL_TIME: Duration = Duration::from_millis(2);
/// Shortest pause that is logged.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(250);

/// How long a process ran, from periodic readings of the clock.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    /// Time of the last reading.
    last_reading: Instant,
    ran: Duration,
    paused: Duration,
    /// When the last pause ended.
    resumed: Option<Instant>,
}

impl RunTime {
    /// Starts to count at `now`.
    pub fn since(now: Instant) -> Self {
        RunTime { last_reading: now, ran: Duration::ZERO, paused: Duration::ZERO, resumed: None }
    }

    /// Counts the time since the last reading, as a pause that ends now if it is longer than `MAX_STEP`.
    pub fn advance(&mut self, now: Instant) {
        let step = now.saturating_duration_since(self.last_reading);
        self.last_reading = now;
        if step <= MAX_STEP {
            self.ran += step;
        } else {
            self.paused += step;
            self.resumed = Some(now);
        }
    }

    /// Time in which the process ran, up to the last reading.
    pub fn ran(&self) -> Duration {
        self.ran
    }

    /// Time in which the process was paused.
    pub fn paused(&self) -> Duration {
        self.paused
    }

    /// Until when data that is ready to be read is still delivered, if it was due at `deadline`.
    pub fn latest_delivery(&self, deadline: Instant) -> Instant {
        self.resumed.map_or(deadline, |resumed| deadline.max(resumed)) + MAX_OVERRUN
    }

    /// When a wait for a part of that data ends, if the wait began at `began`: at the deadline or, if that is later,
    /// `LATE_READ_TIMEOUT` after `began` and at most at [`RunTime::latest_delivery`].
    pub fn wait_end(&self, began: Instant, deadline: Instant) -> Instant {
        deadline.max(self.latest_delivery(deadline).min(began + LATE_READ_TIMEOUT))
    }
}

/// The run time of this process.
#[derive(Debug)]
pub struct RunClock(Mutex<RunTime>);

impl RunClock {
    /// Starts to count, and a task that reads the clock periodically and logs pauses.
    pub fn start(log: &Logger) -> Arc<Self> {
        let clock = Arc::new(RunClock(Mutex::new(RunTime::since(Instant::now()))));
        tokio::spawn(clock.clone().tick(log.clone()));
        clock
    }

    async fn tick(self: Arc<Self>, log: Logger) {
        let mut logged = Duration::ZERO;
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let paused = self.advance().paused();
            let new_pause = paused.saturating_sub(logged);
            logged = paused;
            if new_pause >= MIN_LOGGED_PAUSE {
                info!(log, "this process was paused"; "event" => "process_paused",
                    "paused_ms" => new_pause.as_millis() as u64);
            }
        }
    }

    fn advance(&self) -> RunTime {
        let mut time = lock(&self.0);
        time.advance(Instant::now());
        *time
    }

    /// Time in which this process ran.
    pub fn ran(&self) -> Duration {
        self.advance().ran()
    }

    /// Time in which this process was paused, up to the last reading.
    pub fn paused(&self) -> Duration {
        lock(&self.0).paused()
    }

    /// Whether data that was due at `deadline` is too late to be delivered, even if it is ready to be read.
    pub fn is_past(&self, deadline: Instant) -> bool {
        Instant::now() >= self.advance().latest_delivery(deadline)
    }

    /// Waits until `deadline`; after it, for as long as data that is ready takes to be read.
    async fn sleep_until(&self, deadline: Instant) {
        let began = Instant::now();
        loop {
            let ends = self.advance().wait_end(began, deadline);
            if Instant::now() >= ends {
                break;
            }
            tokio::time::sleep_until(ends.into()).await;
        }
        tokio::time::sleep(SOCKET_POLL_TIME).await;
    }

    /// Waits until this process has run for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        let end = self.ran() + duration;
        loop {
            let remaining = end.saturating_sub(self.ran());
            if remaining.is_zero() {
                break;
            }
            tokio::time::sleep(remaining).await;
        }
        tokio::time::sleep(SOCKET_POLL_TIME).await;
    }

    /// The future's output, if it completes before `deadline` or, after it, from data that is ready to be read.
    pub async fn before<T>(&self, deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = future => Some(done),
            () = self.sleep_until(deadline) => None,
        }
    }

    /// Like [`RunClock::before`], but also gives up after this process has run for `timeout`.
    pub async fn within<T>(
        &self,
        timeout: Duration,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = future => Some(done),
            () = self.sleep(timeout) => None,
            () = self.sleep_until(deadline) => None,
        }
    }
}

/// Lets hyper's timeouts count only the time in which this process ran.
#[derive(Clone, Debug)]
pub struct RunTimer(Arc<RunClock>);

impl RunTimer {
    /// A timer by this clock.
    pub fn new(clock: Arc<RunClock>) -> Self {
        RunTimer(clock)
    }
}

impl Timer for RunTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        let clock = self.0.clone();
        Box::pin(RunSleep(Box::pin(async move { clock.sleep(duration).await })))
    }

    fn sleep_until(&self, deadline: HyperInstant) -> Pin<Box<dyn Sleep>> {
        self.sleep(deadline.saturating_duration_since(self.now()))
    }
}

/// A wait until this process has run for some time.
struct RunSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for RunSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl Sleep for RunSleep {}
