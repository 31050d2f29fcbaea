//! Deadlines and pauses of one call.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::Options;

/// Time and tries of one call.
pub(crate) struct RetryTimer<'a> {
    options: &'a Options,
    deadline: Instant,
    retry_count: u32,
}

impl<'a> RetryTimer<'a> {
    pub fn new(options: &'a Options) -> RetryTimer<'a> {
        RetryTimer { options, deadline: Instant::now() + options.deadline, retry_count: 0 }
    }

    /// Returns the time left; nothing when the deadline has passed.
    pub fn remaining(&self) -> Option<Duration> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Tells whether less than half of the time has passed.
    pub fn is_first_half(&self) -> bool {
        self.remaining().is_some_and(|left| left > self.options.deadline / 2)
    }

    /// Returns the timeout of the next attempt; nothing when the deadline has passed.
    pub fn attempt_timeout(&self) -> Option<Duration> {
        self.remaining().map(|left| left.min(self.options.attempt_timeout))
    }

    /// Pauses before the next attempt, at least for as long as an entry asked. False when that would
    /// last beyond the deadline.
    pub fn back_off(&mut self, retry_after: Option<Duration>) -> bool {
        let doubled = self.options.min_backoff.saturating_mul(1 << self.retry_count.min(16));
        let longest = doubled.min(self.options.max_backoff);
        // Without jitter, callers that were refused together would come back together.
        let jitter = longest.mul_f64(fastrand::f64());
        let pause = retry_after.unwrap_or(longest / 2) + jitter / 2;
        self.retry_count += 1;
        if self.remaining().is_none_or(|left| left <= pause) {
            return false;
        }
        thread::sleep(pause);
        true
    }
}
