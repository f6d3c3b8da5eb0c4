//! How many gateways share the budgets, from what the members tell.

use std::collections::VecDeque;
use std::time::Duration;

/// Time in which members that start have heard of each other's gateways: they tell each other twice a second.
const SETTLES_IN: Duration = Duration::from_millis(1_200);

/// Numbers of gateways as they were told, as far back as a budget looks.
///
/// Members that restart count gateways anew from one. A gateway that believed them would take the
/// slack of all for itself, so that the most that was told within the window counts.
#[derive(Clone, Debug)]
pub struct FleetSize {
    window: Duration,
    /// When a number was told first.
    first_at: Option<Duration>,
    /// Told numbers with their times, each smaller than the one before.
    told: VecDeque<(Duration, u32)>,
}

impl FleetSize {
    /// Nothing has been told yet.
    pub fn new(window: Duration) -> Self {
        FleetSize { window, first_at: None, told: VecDeque::new() }
    }

    /// A member tells how many gateways are alive.
    pub fn note(&mut self, now: Duration, gateways: u32) {
        self.first_at.get_or_insert(now);
        while self.told.back().is_some_and(|(_, told)| *told <= gateways) {
            self.told.pop_back();
        }
        self.told.push_back((now, gateways));
    }

    /// The same, but 0 while numbers have been told for a short time only: members that have just started
    /// count few.
    pub fn settled(&mut self, now: Duration) -> u32 {
        let told_for_long = self.first_at.is_some_and(|first| now >= first + SETTLES_IN);
        if told_for_long { self.largest(now) } else { 0 }
    }

    /// The most that was told within the window; the newest if that is older; 0 before.
    pub fn largest(&mut self, now: Duration) -> u32 {
        while self.told.len() > 1 && self.told[0].0 + self.window < now {
            self.told.pop_front();
        }
        self.told.front().map_or(0, |(_, told)| *told)
    }
}
