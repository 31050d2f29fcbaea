//! The number of instances among which limits are divided.

use pollenshed_state::time::Instant;

/// Time for which an instance that is no longer known still counts. One that is only cut off goes
/// on using its share for [`CONFIRMED_MS`](super::exchange::CONFIRMED_MS).
pub(super) const ABSENCE_MS: u64 = 60_000;

/// The largest number of instances that was known of late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Divisor {
    /// The number in force, and when it was last known to hold.
    peak: Option<(usize, Instant)>,
    /// The largest number since the one in force was last known to hold.
    next: usize,
    /// When the number last grew.
    grown_at: Option<Instant>,
}

impl Divisor {
    pub(super) fn record(&mut self, known: usize, now: Instant) {
        let known = known.max(1);
        if self.peak.is_none_or(|(peak, _)| known > peak) {
            self.grown_at = Some(now);
        }
        match self.peak {
            Some((peak, at)) if known < peak && now.since_ms(at) < ABSENCE_MS => {
                self.next = self.next.max(known);
            }
            Some((peak, _)) if known < peak => {
                self.peak = Some((self.next.max(known), now));
                self.next = 0;
            }
            _ => {
                self.peak = Some((known, now));
                self.next = 0;
            }
        }
    }

    /// Returns whether the number is known and has not grown for `ms`.
    pub(super) fn is_steady(&self, ms: u64, now: Instant) -> bool {
        self.grown_at.is_some_and(|at| now.since_ms(at) >= ms)
    }

    pub(super) fn count(&self) -> usize {
        self.peak.map_or(1, |(peak, _)| peak)
    }
}
