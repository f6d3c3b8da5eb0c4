//! Time in which this process ran, by which it judges the silence of others.
//!
//! A process that is stopped, or gets no processor time, hears nobody: whoever it waits for may have answered long ago.
//! So silence counts only while this process ran, and what arrived during a pause is read before a wait for it ends.
//! What this process owes to others, such as a lease, still goes by [`Instant`].

use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};

use crate::clock::Instant;
use crate::sync::lock;

/// Between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);
/// Longest time between two looks in which the process ran all the time.
const LONGEST_STEP: Duration = Duration::from_millis(100);
/// Past a deadline, longest wait for what follows at once.
const NEXT_WITHIN: Duration = Duration::from_millis(50);
/// Past a deadline, or a pause over which it passed, time in which an answer that lies ready is read and passed on.
const OVERRUN: Duration = Duration::from_secs(1);
/// Longer than the runtime takes to look at its sockets once more: a process that resumes sees its timers first.
const SOCKETS_READ: Duration = Duration::from_millis(2);
/// Pauses from this length on are logged.
const LOGGED_FROM: Duration = Duration::from_millis(250);

/// How long a process ran, from looks at the clock.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    looked: Instant,
    ran: Duration,
    paused: Duration,
    /// When the last pause ended.
    resumed: Option<Instant>,
}

impl RunTime {
    /// Counts from `now` on.
    pub fn since(now: Instant) -> Self {
        RunTime { looked: now, ran: Duration::ZERO, paused: Duration::ZERO, resumed: None }
    }

    /// Looks at the clock; a long time since the last look was a pause that ends now.
    pub fn advance(&mut self, now: Instant) {
        let step = now.saturating_duration_since(self.looked);
        self.looked = now;
        if step <= LONGEST_STEP {
            self.ran += step;
        } else {
            self.paused += step;
            self.resumed = Some(now);
        }
    }

    /// Time in which the process ran, up to the last look.
    pub fn ran(&self) -> Duration {
        self.ran
    }

    /// Time in which it did not.
    pub fn paused(&self) -> Duration {
        self.paused
    }

    /// Until when an answer with this deadline is passed on while it lies ready.
    pub fn latest_delivery(&self, deadline: Instant) -> Instant {
        self.resumed.map_or(deadline, |resumed| deadline.max(resumed)) + OVERRUN
    }

    /// When a wait for a part of it ends that began at `began`.
    pub fn wait_end(&self, began: Instant, deadline: Instant) -> Instant {
        deadline.max(self.latest_delivery(deadline).min(began + NEXT_WITHIN))
    }
}

/// The run time of this process.
#[derive(Debug)]
pub struct RunClock(Mutex<RunTime>);

impl RunClock {
    /// Starts to count, and looks at the clock from now on.
    pub fn start(log: &Logger) -> Arc<Self> {
        let clock = Arc::new(RunClock(Mutex::new(RunTime::since(Instant::now()))));
        tokio::spawn(clock.clone().tick(log.clone()));
        clock
    }

    async fn tick(self: Arc<Self>, log: Logger) {
        let mut told = Duration::ZERO;
        loop {
            tokio::time::sleep(TICK).await;
            let paused = self.advance().paused();
            let since_told = paused.saturating_sub(told);
            told = paused;
            if since_told >= LOGGED_FROM {
                info!(log, "this process stood still"; "event" => "process_paused",
                    "paused_ms" => since_told.as_millis() as u64);
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

    /// Time in which it did not, as far as the ticks show.
    pub fn paused(&self) -> Duration {
        lock(&self.0).paused()
    }

    /// Whether an answer with this deadline can't be passed on any more, even if it lies ready.
    pub fn is_past(&self, deadline: Instant) -> bool {
        Instant::now() >= self.advance().latest_delivery(deadline)
    }

    /// Waits until `deadline`, or where that is over, as long as what lies ready takes to be read.
    async fn sleep_until(&self, deadline: Instant) {
        let began = Instant::now();
        loop {
            let ends = self.advance().wait_end(began, deadline);
            if Instant::now() >= ends {
                break;
            }
            tokio::time::sleep_until(ends.into()).await;
        }
        tokio::time::sleep(SOCKETS_READ).await;
    }

    /// Waits until this process has run for so long.
    pub async fn sleep(&self, longest: Duration) {
        let end = self.ran() + longest;
        loop {
            let left = end.saturating_sub(self.ran());
            if left.is_zero() {
                break;
            }
            tokio::time::sleep(left).await;
        }
        tokio::time::sleep(SOCKETS_READ).await;
    }

    /// What a future gives before `deadline`, or what lies ready then.
    pub async fn before<T>(&self, deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = future => Some(done),
            () = self.sleep_until(deadline) => None,
        }
    }

    /// The same, if it comes while this process runs for `longest`.
    pub async fn within<T>(
        &self,
        longest: Duration,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = future => Some(done),
            () = self.sleep(longest) => None,
            () = self.sleep_until(deadline) => None,
        }
    }
}
