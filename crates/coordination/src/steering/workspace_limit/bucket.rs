//! Token bucket for a part of a limit.

use pollenshed_state::time::Instant;

use super::shared_limit::SharedLimit;

/// A part of a limit, in units of [`Part::WHOLE`]. Whole numbers, so that sums are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Part(pub(super) u64);

impl Part {
    /// The whole limit.
    pub(super) const WHOLE: Part = Part(1 << 40);

    /// Returns the part as a fraction of 1.
    pub(super) fn fraction(self) -> f64 {
        self.0 as f64 / Part::WHOLE.0 as f64
    }

    /// Returns this many sixteenths of the part, rounded down.
    pub(super) fn sixteenths(self, parts: u8) -> Part {
        Part(self.0 / 16 * u64::from(parts.min(16)))
    }
}

/// Tokens of the holder of a part of a limit, one for each request.
///
/// A part brings no tokens with it: its holder gets them as time passes. Tokens beyond the burst of
/// the part are dropped. So all buckets together never hold more than the burst of the limit, and
/// never fill faster than its rate.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    limit: SharedLimit,
    part: Part,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    /// Creates an empty bucket without a part.
    pub(super) fn new(limit: SharedLimit, now: Instant) -> Bucket {
        Bucket { limit, part: Part::default(), tokens: 0.0, at: now }
    }

    pub(super) fn part(&self) -> Part {
        self.part
    }

    fn capacity(&self) -> f64 {
        self.limit.burst_requests * self.part.fraction()
    }

    fn requests_per_ms(&self) -> f64 {
        self.limit.requests_per_ms * self.part.fraction()
    }

    fn advance(&mut self, now: Instant) {
        let elapsed_ms = now.since_us(self.at) as f64 / 1_000.0;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + elapsed_ms * self.requests_per_ms()).min(self.capacity());
    }

    pub(super) fn set_part(&mut self, part: Part, now: Instant) {
        self.advance(now);
        self.part = part;
        self.tokens = self.tokens.min(self.capacity());
    }

    pub(super) fn set_limit(&mut self, limit: SharedLimit, now: Instant) {
        self.advance(now);
        self.limit = limit;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes up to `wanted` tokens and returns how many there were.
    pub(super) fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        self.advance(now);
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Puts tokens back for requests that did not run.
    pub(super) fn give_back(&mut self, tokens: u32, now: Instant) {
        self.advance(now);
        self.tokens = (self.tokens + f64::from(tokens)).min(self.capacity());
    }

    /// Returns the time until there is a whole token, `None` if there will be none.
    pub(super) fn next_token_ms(&self) -> Option<u64> {
        self.token_after_ms(0.0)
    }

    /// Returns the time until there is a whole token beyond so many others, `None` if there will be
    /// none.
    pub(super) fn token_after_ms(&self, others: f64) -> Option<u64> {
        let missing = (others + 1.0 - self.tokens).max(0.0);
        let can_fill = self.capacity() >= 1.0 && self.requests_per_ms() > 0.0;
        can_fill.then(|| (missing / self.requests_per_ms()).ceil() as u64)
    }
}
