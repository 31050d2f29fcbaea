//! Deadline and backoff of one call.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::Options;

/// The deadline of one call and its backoff between attempts.
pub(crate) struct RetryTimer<'a> {
    options: &'a Options,
    deadline: Instant,
    retry_count: u32,
}

impl<'a> RetryTimer<'a> {
    pub fn new(options: &'a Options) -> RetryTimer<'a> {
        RetryTimer { options, deadline: Instant::now() + options.deadline, retry_count: 0 }
    }

    /// Returns the time until the deadline, or `None` after it.
    pub fn remaining(&self) -> Option<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Tells whether less than half of the time has passed.
    pub fn is_first_half(&self) -> bool {
        self.remaining().is_some_and(|remaining| remaining > self.options.deadline / 2)
    }

    /// Returns the timeout of the next attempt, or `None` after the deadline.
    pub fn attempt_timeout(&self) -> Option<Duration> {
        self.remaining().map(|remaining| remaining.min(self.options.attempt_timeout))
    }

    /// Sleeps before the next attempt, at least for `retry_after`. Returns false without sleeping
    /// if the pause would reach the deadline.
    pub fn back_off(&mut self, retry_after: Option<Duration>) -> bool {
        let doubled = self.options.initial_backoff.saturating_mul(1 << self.retry_count.min(16));
        let longest = doubled.min(self.options.max_backoff);
        // Without jitter, callers that were refused at the same time would retry at the same time.
        let jitter = longest.mul_f64(fastrand::f64());
        let pause = retry_after.unwrap_or(longest / 2) + jitter / 2;
        self.retry_count += 1;
        if self.remaining().is_none_or(|remaining| remaining <= pause) {
            return false;
        }
        thread::sleep(pause);
        true
    }
}
