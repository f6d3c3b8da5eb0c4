//! Retry budgets, summed over all gateways.

use latchmount::gateway::budget::{BudgetRule, ServiceBudget, USED_FRACTION};
use latchmount::gateway::fleet_size::FleetSize;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

use crate::seeds;

/// A member that has just started reports too few gateways. A gateway that believed it would take too large a part of
/// the slack, which all gateways share.
#[test]
fn a_dip_in_the_number_of_gateways_counts_only_once_it_has_lasted_a_window() {
    let seconds = Duration::from_secs;
    let mut size = FleetSize::new(seconds(10));
    assert_eq!(size.largest(seconds(1)), 0);
    size.note(seconds(1), 62);
    size.note(seconds(20), 1);
    assert_eq!(size.largest(seconds(20)), 1, "a number from before the window does not count");
    size.note(seconds(21), 60);
    size.note(seconds(22), 3);
    size.note(seconds(23), 8);
    assert_eq!(size.largest(seconds(24)), 60);
    assert_eq!(size.largest(seconds(32)), 8);
    assert_eq!(size.largest(seconds(90)), 8, "the newest counts however old it is");
}

/// The retries of all gateways together obey the rule in every window, whatever requests each gets.
#[test]
fn budgets_of_all_gateways_hold_the_rule_in_every_window() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let rule = BudgetRule {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 56.0,
        used_fraction: USED_FRACTION,
    };
    for round in 0..8 {
        let gateways = rng.random_range(1..12u32);
        let mut budgets = vec![ServiceBudget::new(rule); gateways as usize];
        let mut events: Vec<(f64, bool)> = Vec::new();
        let mut now = 0.0;
        while now < 60.0 {
            now += rng.random_range(0.0..0.02);
            let at = rng.random_range(0..budgets.len());
            let time = Duration::from_secs_f64(now);
            budgets[at].count_request(time);
            events.push((now, false));
            for _ in 0..rng.random_range(0..4) {
                if budgets[at].try_spend(time, gateways) {
                    events.push((now, true));
                }
            }
        }
        let mut in_window: VecDeque<(f64, bool)> = VecDeque::new();
        for event in events {
            in_window.push_back(event);
            while in_window.front().is_some_and(|(at, _)| *at <= event.0 - 10.0) {
                in_window.pop_front();
            }
            let retries = in_window.iter().filter(|(_, retries)| *retries).count() as f64;
            let requests = in_window.len() as f64 - retries;
            assert!(
                retries <= 0.2 * requests + 56.0,
                "seed {seed} round {round}: {retries} for {requests} at {}",
                event.0
            );
        }
    }
}

#[test]
fn a_gateway_that_knows_of_no_other_takes_no_slack() {
    let rule = BudgetRule {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 56.0,
        used_fraction: USED_FRACTION,
    };
    let mut budget = ServiceBudget::new(rule);
    assert!(!budget.try_spend(Duration::ZERO, 0));
    assert!(budget.try_spend(Duration::ZERO, 8));
}
