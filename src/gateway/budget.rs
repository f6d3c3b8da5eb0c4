//! Retry budgets: the retries allowed for a service in a sliding window, as a fraction of its
//! requests, across all gateways.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the allowance that is used. The rest allows for windows that begin at different
/// times.
pub const USED_FRACTION: f64 = 0.8;
/// Slices into which a window is divided for counting.
const SLICES: u32 = 20;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Allowed retries as a fraction of the requests.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed in a window in addition to the ratio, for all gateways together.
    pub slack: f64,
    /// Fraction of the allowance that is used.
    pub used_fraction: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one gateway.
#[derive(Clone, Debug)]
pub struct ServiceBudget {
    rule: BudgetRule,
    slices: VecDeque<Slice>,
}

impl ServiceBudget {
    /// Creates a budget without any requests counted.
    pub fn new(rule: BudgetRule) -> Self {
        ServiceBudget { rule, slices: VecDeque::new() }
    }

    /// Counts a request for the service.
    pub fn count_request(&mut self, now: Duration) {
        self.slice(now).requests += 1;
    }

    /// Takes one retry if there is one left, where the slack is shared by `gateways`.
    pub fn try_spend(&mut self, now: Duration, gateways: u32) -> bool {
        let remaining = self.remaining(now, gateways);
        if remaining < 1.0 {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// Retries that are left now.
    pub fn remaining(&mut self, now: Duration, gateways: u32) -> f64 {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        // While the number of gateways is unknown, no part of the slack is safe to use.
        let slack = if gateways == 0 { 0.0 } else { self.rule.slack / f64::from(gateways) };
        self.rule.used_fraction * (self.rule.ratio * f64::from(requests) + slack)
            - f64::from(retries)
    }

    /// The slice of `now`. Drops the slices that are outside the window.
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
