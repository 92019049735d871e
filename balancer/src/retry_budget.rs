//! The retry budget: limits how many attempts beyond each request's first a node may make.

use std::collections::VecDeque;

use crate::interface::Seconds;
use crate::settings::RetryBudgetRule;

/// The retry budget if the settings state none; prevents retry storms.
const DEFAULT_RULE: RetryBudgetRule = RetryBudgetRule { window: 10.0, min_retries: 20.0, retry_ratio: 0.1 };

/// The times of requests accepted and retries made in the budget's window. An exact sliding window, because a
/// token bucket would allow bursts over the budget.
pub struct RetryBudget {
    rule: RetryBudgetRule,
    /// Tolerance for the delay with which the host passes events on.
    margin: Seconds,
    requests: VecDeque<Seconds>,
    retries: VecDeque<Seconds>,
}

impl RetryBudget {
    /// A budget for the `rule` of the settings, or for the default rule if they state none.
    pub fn new(rule: Option<RetryBudgetRule>, margin: Seconds) -> Self {
        RetryBudget {
            rule: rule.unwrap_or(DEFAULT_RULE),
            margin,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request that was accepted at `now`.
    pub fn record_request(&mut self, now: Seconds) {
        // Expired entries are removed here too, so that memory stays bounded if there are no retries.
        self.forget_expired(now);
        self.requests.push_back(now);
    }

    /// Counts a retry that is made at `now`.
    pub fn record_retry(&mut self, now: Seconds) {
        self.retries.push_back(now);
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&mut self, now: Seconds) -> bool {
        let RetryBudgetRule { min_retries, retry_ratio, .. } = self.rule;
        self.allows(min_retries, retry_ratio, now)
    }

    /// Whether one more hedged request is within half of the budget. The other half is reserved for retries
    /// after failures: when hedged requests could use all of it, none was left for retries after many resets.
    pub fn allows_hedged_request(&mut self, now: Seconds) -> bool {
        let RetryBudgetRule { min_retries, retry_ratio, .. } = self.rule;
        self.allows(min_retries / 2.0, retry_ratio / 2.0, now)
    }

    fn allows(&mut self, min_retries: f64, retry_ratio: f64, now: Seconds) -> bool {
        self.forget_expired(now);
        self.retries.len() as f64 + 1.0 <= min_retries + retry_ratio * self.requests.len() as f64
    }

    fn forget_expired(&mut self, now: Seconds) {
        let window_start = now - self.rule.window;
        let expired_requests = self.requests.partition_point(|&at| at < window_start + self.margin);
        self.requests.drain(..expired_requests);
        let expired_retries = self.retries.partition_point(|&at| at < window_start - self.margin);
        self.retries.drain(..expired_retries);
    }
}
