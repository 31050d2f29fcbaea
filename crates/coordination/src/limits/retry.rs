//! Budget of retries, so that retries cannot multiply an overload.

use std::collections::VecDeque;

use pollenshed_state::{time::Instant, units::Percent};

/// Length of one count.
const BUCKET_MS: u64 = 1_000;
/// Counts that make up the window.
const BUCKETS: u64 = 10;
/// Retries allowed in a window with few first tries, so that a service with little traffic can
/// retry at all.
const FLOOR: u64 = 3;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    first_tries: u64,
    retries: u64,
}

/// Retries of one service at one entry, as a share of its first tries in the last 10 s.
#[derive(Debug)]
pub struct RetryBudget {
    share: Percent,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget of `share` of the first tries.
    pub fn new(share: Percent) -> RetryBudget {
        RetryBudget { share, buckets: VecDeque::new() }
    }

    /// Replaces the share.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.current(now).first_tries += 1;
    }

    /// Takes one retry from the budget. Returns false if the request must not be retried.
    ///
    /// Requests that are not idempotent are never retried, whatever is left.
    pub fn try_retry(&mut self, is_idempotent: bool, now: Instant) -> bool {
        if !is_idempotent {
            return false;
        }
        self.current(now);
        let first_tries: u64 = self.buckets.iter().map(|b| b.first_tries).sum();
        let retries: u64 = self.buckets.iter().map(|b| b.retries).sum();
        let allowed = FLOOR.max(first_tries.saturating_mul(self.share.0) / 100);
        if retries >= allowed {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    /// Returns the count of the current second, after dropping those outside the window.
    fn current(&mut self, now: Instant) -> &mut Bucket {
        let number = now.as_ms() / BUCKET_MS;
        let newest = self.buckets.back().map_or(number, |b| b.number.max(number));
        while self.buckets.front().is_some_and(|b| b.number + BUCKETS <= newest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < newest) {
            self.buckets.push_back(Bucket { number: newest, first_tries: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
