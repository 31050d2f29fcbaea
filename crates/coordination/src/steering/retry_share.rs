//! Further attempts at requests, bounded over all instances without asking them.
//!
//! Each instance spends its own part: the ratio of the requests that it received itself, and an
//! equal part of what is allowed beyond that. The sum over all instances then keeps the bound in
//! every window. This answers servers that shed or fail many requests at once.

use std::collections::VecDeque;

use pollenshed_state::time::Instant;

/// Part of the allowance that is used, because requests are counted where they arrive and the
/// number of instances can lag.
const USED_PART: f64 = 0.7;

/// Length of the steps in which requests and attempts are counted.
const STEP_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
struct Step {
    start_ms: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and further attempts of one service at one instance.
#[derive(Debug, Clone)]
pub struct RetryBudgetShare {
    ratio: f64,
    extra: f64,
    window_ms: u64,
    steps: VecDeque<Step>,
}

impl RetryBudgetShare {
    /// Creates a budget for a window of `window_ms`.
    pub fn new(ratio: f64, extra: f64, window_ms: u64) -> RetryBudgetShare {
        RetryBudgetShare { ratio, extra, window_ms: window_ms.max(STEP_MS), steps: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.step(now).requests += 1;
    }

    /// Takes a further attempt out of the budget. `instances` is the number of those that live.
    pub fn try_retry(&mut self, instances: usize, now: Instant) -> bool {
        self.step(now);
        let (requests, retries) = self
            .steps
            .iter()
            .fold((0, 0), |(requests, retries), s| (requests + s.requests, retries + s.retries));
        let own_extra = self.extra / instances.max(1) as f64;
        let allowed = USED_PART * (self.ratio * f64::from(requests) + own_extra);
        let taken = f64::from(retries) + 1.0 <= allowed;
        if taken {
            self.step(now).retries += 1;
        }
        taken
    }

    fn step(&mut self, now: Instant) -> &mut Step {
        let start_ms = now.as_ms() - now.as_ms() % STEP_MS;
        while self.steps.front().is_some_and(|s| s.start_ms + self.window_ms + STEP_MS <= start_ms)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| s.start_ms < start_ms) {
            self.steps.push_back(Step { start_ms, requests: 0, retries: 0 });
        }
        self.steps.back_mut().expect("a step was just added")
    }
}
