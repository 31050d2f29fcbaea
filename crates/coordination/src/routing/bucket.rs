//! A token bucket in integers, so that no rounding adds tokens.

use pollenshed_state::time::Instant;

/// One token in the bucket's units. A rate of one token per second is [`PER_SECOND`] units per
/// microsecond, so a rate can be divided among many entries without losing much to rounding.
pub(super) const TOKEN: i128 = 1_000_000_000_000;

/// One token per second, in units per microsecond.
pub(super) const PER_SECOND: i128 = 1_000_000;

/// Holds tokens up to a size and refills at a rate that may change.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    units: i128,
    size_units: i128,
    units_per_us: i128,
    filled_at: Instant,
}

impl Bucket {
    /// Starts empty.
    pub(super) fn new(units_per_us: i128, size_units: i128, now: Instant) -> Bucket {
        Bucket { units: 0, size_units, units_per_us, filled_at: now }
    }

    /// Changes rate and size from now on; tokens above the new size are lost.
    pub(super) fn set_rate(&mut self, units_per_us: i128, size_units: i128, now: Instant) {
        self.fill(now);
        self.units_per_us = units_per_us;
        self.size_units = size_units;
        self.units = self.units.min(size_units);
    }

    fn fill(&mut self, now: Instant) {
        // A rate comes from a peer, so it can have any value.
        let gained = i128::from(now.since_us(self.filled_at)).saturating_mul(self.units_per_us);
        self.units = self.units.saturating_add(gained).min(self.size_units);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns whether `units` are there.
    pub(super) fn has(&mut self, units: i128, now: Instant) -> bool {
        self.fill(now);
        self.units >= units
    }

    /// Takes `units`, which can leave a debt that blocks until it is refilled. A negative number
    /// gives back what was taken in excess.
    pub(super) fn take(&mut self, units: i128) {
        self.units = (self.units - units).min(self.size_units);
    }
}
