//! Retry budget, which keeps retries from amplifying an overload.

use std::collections::VecDeque;

use pollenshed_state::{time::Instant, units::Percent};

/// Interval covered by one bucket.
const BUCKET_MS: u64 = 1_000;
/// Number of buckets in the window.
const BUCKETS: u64 = 10;
/// Retries always allowed per window, so that a service with little traffic can retry at all.
const MIN_RETRIES: u64 = 3;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    first_attempts: u64,
    retries: u64,
}

/// Limits the retries of one service at one entry to a share of its first attempts, over a
/// window of 10 s.
#[derive(Debug)]
pub struct RetryBudget {
    share: Percent,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates an empty budget that allows `share` retries per 100 first attempts.
    pub fn new(share: Percent) -> RetryBudget {
        RetryBudget { share, buckets: VecDeque::new() }
    }

    /// Replaces the share. Attempts in the window stay counted.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Counts a first attempt, which raises the number of allowed retries.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.current(now).first_attempts += 1;
    }

    /// Takes one retry from the budget. Returns false if the request must not be retried.
    ///
    /// Requests that are not idempotent are never retried, whatever the budget.
    pub fn try_retry(&mut self, is_idempotent: bool, now: Instant) -> bool {
        if !is_idempotent {
            return false;
        }
        self.current(now);
        let first_attempts: u64 = self.buckets.iter().map(|b| b.first_attempts).sum();
        let retries: u64 = self.buckets.iter().map(|b| b.retries).sum();
        let allowed = MIN_RETRIES.max(first_attempts.saturating_mul(self.share.0) / 100);
        if retries >= allowed {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    /// Returns the bucket of the current second, after dropping those outside the window.
    fn current(&mut self, now: Instant) -> &mut Bucket {
        let number = now.as_ms() / BUCKET_MS;
        let newest = self.buckets.back().map_or(number, |b| b.number.max(number));
        while self.buckets.front().is_some_and(|b| b.number + BUCKETS <= newest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < newest) {
            self.buckets.push_back(Bucket { number: newest, first_attempts: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
