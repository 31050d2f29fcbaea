//! Retry budget of a service, enforced over all instances without coordination.
//!
//! Each instance spends its own share: a ratio of the requests that it received itself, plus an
//! equal part of the extra retries. The sum over all instances then stays within the budget in
//! every window. This limits the load from retries when servers shed or fail many requests at once.

use std::collections::VecDeque;

use pollenshed_state::time::Instant;

/// Part of the share that is spent. The rest is a margin, because requests are counted where they
/// arrive and the known number of instances can lag behind.
const SPENT_RATIO: f64 = 0.7;

/// Length of a step, the unit of time in which requests and retries are counted.
const STEP_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
struct Step {
    start_ms: u64,
    requests: u32,
    retries: u32,
}

/// This instance's share of the retry budget of one service.
#[derive(Debug, Clone)]
pub struct RetryBudgetShare {
    ratio: f64,
    extra: f64,
    window_ms: u64,
    steps: VecDeque<Step>,
}

impl RetryBudgetShare {
    /// Creates the share of a budget that allows all instances together `ratio` retries for each
    /// request plus `extra` retries in every window of `window_ms`.
    pub fn new(ratio: f64, extra: f64, window_ms: u64) -> RetryBudgetShare {
        RetryBudgetShare { ratio, extra, window_ms: window_ms.max(STEP_MS), steps: VecDeque::new() }
    }

    /// Counts a request of a caller, which raises the number of allowed retries.
    pub fn record_request(&mut self, now: Instant) {
        self.step(now).requests += 1;
    }

    /// Spends a retry if the share allows it, and returns whether it does. `instances` is the
    /// number of live instances.
    pub fn try_retry(&mut self, instances: usize, now: Instant) -> bool {
        self.step(now);
        let (requests, retries) = self
            .steps
            .iter()
            .fold((0, 0), |(requests, retries), s| (requests + s.requests, retries + s.retries));
        let own_extra = self.extra / instances.max(1) as f64;
        let allowed = SPENT_RATIO * (self.ratio * f64::from(requests) + own_extra);
        let allows_retry = f64::from(retries) + 1.0 <= allowed;
        if allows_retry {
            self.step(now).retries += 1;
        }
        allows_retry
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
