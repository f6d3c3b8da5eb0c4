//! How many further arrivals at a service its requests allow, over all gateways together.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the allowance that is used, so that windows that slide differently still hold it.
pub const USED_FRACTION: f64 = 0.8;
/// Slices that a window is counted in.
const SLICES: u32 = 20;

/// The rule that a budget keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Further arrivals, as a part of the requests.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Further arrivals in a window beyond the ratio, for all gateways together.
    pub slack: f64,
    /// Part of the allowance that is used.
    pub used_fraction: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts of one service at one gateway.
#[derive(Clone, Debug)]
pub struct ServiceBudget {
    rule: BudgetRule,
    slices: VecDeque<Slice>,
}

impl ServiceBudget {
    /// A budget that has counted nothing yet.
    pub fn new(rule: BudgetRule) -> Self {
        ServiceBudget { rule, slices: VecDeque::new() }
    }

    /// Counts a request for the service.
    pub fn count_request(&mut self, now: Duration) {
        self.slice(now).requests += 1;
    }

    /// Takes one further arrival, if there is one, while so many gateways are alive.
    pub fn try_spend(&mut self, now: Duration, gateways: u32) -> bool {
        let remaining = self.remaining(now, gateways);
        if remaining < 1.0 {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// Further arrivals that are left now.
    pub fn remaining(&mut self, now: Duration, gateways: u32) -> f64 {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        // Without news of the others none of the slack is safe to take.
        let slack = if gateways == 0 { 0.0 } else { self.rule.slack / f64::from(gateways) };
        self.rule.used_fraction * (self.rule.ratio * f64::from(requests) + slack)
            - f64::from(retries)
    }

    /// The slice of `now`; those that have left the window are dropped.
    fn slice(&mut self, now: Duration) -> &mut Slice {
        let length = self.rule.window / SLICES;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        let oldest = number.saturating_sub(u64::from(SLICES));
        while self.slices.front().is_some_and(|slice| slice.number < oldest) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
