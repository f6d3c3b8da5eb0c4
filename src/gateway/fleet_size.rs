//! How many gateways share the budgets, from what the members tell.

use std::collections::VecDeque;
use std::time::Duration;

/// Time in which members that start have heard of each other's gateways: they tell each other twice a second.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(1_200);

/// Numbers of gateways as they were told, as far back as a budget looks.
///
/// Members that restart count gateways anew from one. A gateway that believed them would take the
/// slack of all for itself, so that the most that was told within the window counts.
#[derive(Clone, Debug)]
pub struct FleetSize {
    window: Duration,
    /// When a number was told first.
    first_report_at: Option<Duration>,
    /// Told numbers with their times, each smaller than the one before.
    reported: VecDeque<(Duration, u32)>,
}

impl FleetSize {
    /// Nothing has been told yet.
    pub fn new(window: Duration) -> Self {
        FleetSize { window, first_report_at: None, reported: VecDeque::new() }
    }

    /// A member tells how many gateways are alive.
    pub fn note(&mut self, now: Duration, gateways: u32) {
        self.first_report_at.get_or_insert(now);
        while self.reported.back().is_some_and(|(_, reported)| *reported <= gateways) {
            self.reported.pop_back();
        }
        self.reported.push_back((now, gateways));
    }

    /// The same, but 0 while numbers have been told for a short time only: members that have just started
    /// count few.
    pub fn confirmed(&mut self, now: Duration) -> u32 {
        let long_enough =
            self.first_report_at.is_some_and(|first| now >= first + CONFIRMATION_DELAY);
        if long_enough { self.largest(now) } else { 0 }
    }

    /// The most that was told within the window; the newest if that is older; 0 before.
    pub fn largest(&mut self, now: Duration) -> u32 {
        while self.reported.len() > 1 && self.reported[0].0 + self.window < now {
            self.reported.pop_front();
        }
        self.reported.front().map_or(0, |(_, reported)| *reported)
    }
}
