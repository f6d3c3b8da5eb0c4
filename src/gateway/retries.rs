//! Decides whether a request may be sent to one more target.

use std::time::Duration;

use super::Gateway;
use super::budget::{BudgetRule, ServiceBudget, USED_FRACTION};
use super::exchange::RequestState;
use super::mechanism::Mechanism;
use crate::clock::Instant;
use crate::sync::lock;

impl Gateway {
    /// Counts a request for a service, which adds to the service's retry budget.
    pub(super) fn count_request(&self, service: &str) {
        let now = self.now();
        self.metrics.requested(service);
        self.with_budget(service, |budget| budget.count_request(now));
    }

    fn with_budget<T>(&self, service: &str, with: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(service) {
            let rule = BudgetRule {
                ratio: self.settings.retry_ratio,
                window: Duration::from_secs_f64(self.settings.retry_window_s),
                slack: self.settings.retry_slack,
                used_fraction: if self.uses(Mechanism::BudgetCaution) {
                    USED_FRACTION
                } else {
                    1.0
                },
            };
            budgets.insert(service.to_owned(), ServiceBudget::new(rule));
        }
        with(budgets.get_mut(service).expect("just put in"))
    }

    /// Whether the request could be sent to one more target if the attempt under way is given up.
    pub(super) fn could_retry_after_current(&self, state: &RequestState) -> bool {
        self.may_spend_retry_after_current(state)
            && self.choose(state).is_some_and(|choice| choice.last_resort < choice.candidates)
    }

    /// Whether the route's maximum number of attempts and the budget allow one more attempt after the one under way.
    pub(super) fn may_spend_retry_after_current(&self, state: &RequestState) -> bool {
        let (now, gateways) = (self.now(), self.sharing_gateways());
        self.uses(Mechanism::Silence)
            && state.sends + 1 < state.max_sends
            && self.with_budget(&state.service, |budget| budget.remaining(now, gateways) >= 1.0)
    }

    /// Whether the request could be sent to one more target now.
    pub(super) fn could_retry(&self, state: &RequestState) -> bool {
        let (now, gateways) = (self.now(), self.sharing_gateways());
        state.sends < state.max_sends
            && Instant::now() < state.outgoing.deadline
            && self.with_budget(&state.service, |budget| budget.remaining(now, gateways) >= 1.0)
            && self.choose(state).is_some()
    }

    /// Takes one retry out of the budget, if the route's maximum number of attempts and the budget
    /// allow it.
    pub(super) fn try_spend_retry(&self, state: &RequestState) -> bool {
        if state.sends >= state.max_sends {
            return false;
        }
        let (now, gateways) = (self.now(), self.sharing_gateways());
        let allowed = self.with_budget(&state.service, |budget| budget.try_spend(now, gateways));
        self.metrics.retried(&state.service, allowed);
        allowed
    }

    /// Retries that the budget of a service has left.
    pub(super) fn budget_left(&self, service: &str) -> i64 {
        let (now, gateways) = (self.now(), self.sharing_gateways());
        self.with_budget(service, |budget| budget.remaining(now, gateways)).floor() as i64
    }
}
