//! A token bucket in integer arithmetic, so that rounding never adds tokens.

use pollenshed_state::time::Instant;

/// Units per token. A rate of one token per second is [`PER_SECOND`] units per microsecond, so a
/// rate can be divided among many entries with little rounding loss.
pub(super) const TOKEN: i128 = 1_000_000_000_000;

/// The rate of one token per second, in units per microsecond.
pub(super) const PER_SECOND: i128 = 1_000_000;

/// Token bucket whose rate and size can change.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    units: i128,
    size_units: i128,
    units_per_us: i128,
    refilled_at: Instant,
}

impl Bucket {
    /// Returns an empty bucket that refills from `now` on.
    pub(super) fn new(units_per_us: i128, size_units: i128, now: Instant) -> Bucket {
        Bucket { units: 0, size_units, units_per_us, refilled_at: now }
    }

    /// Changes rate and size from `now` on. Tokens above the new size are discarded.
    pub(super) fn set_rate(&mut self, units_per_us: i128, size_units: i128, now: Instant) {
        self.refill(now);
        self.units_per_us = units_per_us;
        self.size_units = size_units;
        self.units = self.units.min(size_units);
    }

    fn refill(&mut self, now: Instant) {
        // The rate comes from a peer and can have any value, so the arithmetic saturates.
        let gained = i128::from(now.since_us(self.refilled_at)).saturating_mul(self.units_per_us);
        self.units = self.units.saturating_add(gained).min(self.size_units);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether the bucket holds at least `units`.
    pub(super) fn has(&mut self, units: i128, now: Instant) -> bool {
        self.refill(now);
        self.units >= units
    }

    /// Takes `units`. The level may become negative; [`Bucket::has`] then fails until the bucket
    /// has refilled. A negative number returns units that were taken in excess.
    pub(super) fn take(&mut self, units: i128) {
        self.units = (self.units - units).min(self.size_units);
    }
}
