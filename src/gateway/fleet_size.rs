//! The number of gateways that share a budget, as reported by the members.

use std::collections::VecDeque;
use std::time::Duration;

/// How long members that have just started need to learn each other's gateways: they exchange the
/// numbers twice a second.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(1_200);

/// The numbers of gateways reported within a time window.
///
/// Members that restart count gateways anew from one. A gateway that used such a number would take
/// the slack of all gateways for itself, so the largest number of the window is used.
#[derive(Clone, Debug)]
pub struct FleetSize {
    window: Duration,
    /// When the first number was reported.
    first_report_at: Option<Duration>,
    /// Reported numbers with their times, oldest first. A number is dropped when one that is at
    /// least as large follows.
    reported: VecDeque<(Duration, u32)>,
}

impl FleetSize {
    /// Creates a window without any numbers.
    pub fn new(window: Duration) -> Self {
        FleetSize { window, first_report_at: None, reported: VecDeque::new() }
    }

    /// Records the number of live gateways that a member reports.
    pub fn note(&mut self, now: Duration, gateways: u32) {
        self.first_report_at.get_or_insert(now);
        while self.reported.back().is_some_and(|(_, reported)| *reported <= gateways) {
            self.reported.pop_back();
        }
        self.reported.push_back((now, gateways));
    }

    /// The largest number of the window, or 0 until `CONFIRMATION_DELAY` after the first report:
    /// members that have just started count too few.
    pub fn confirmed(&mut self, now: Duration) -> u32 {
        let long_enough =
            self.first_report_at.is_some_and(|first| now >= first + CONFIRMATION_DELAY);
        if long_enough { self.largest(now) } else { 0 }
    }

    /// The largest number of the window; the latest one if it is older; 0 if there is none.
    pub fn largest(&mut self, now: Duration) -> u32 {
        while self.reported.len() > 1 && self.reported[0].0 + self.window < now {
            self.reported.pop_front();
        }
        self.reported.front().map_or(0, |(_, reported)| *reported)
    }
}
