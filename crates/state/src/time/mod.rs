//! Points in time as plain values. Decisions take the current time as an argument and never read
//! a clock.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in microseconds since its start.
///
/// Instants of different processes must not be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instant(u64);

impl Instant {
    /// The start of the process.
    pub const START: Instant = Instant(0);

    /// Builds an instant from microseconds since the start.
    pub const fn from_us(us: u64) -> Instant {
        Instant(us)
    }

    /// Builds an instant from milliseconds since the start.
    ///
    /// A value that does not fit saturates, because it can come from a caller's ticket.
    pub const fn from_ms(ms: u64) -> Instant {
        Instant(ms.saturating_mul(1000))
    }

    /// Returns the microseconds since the start.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the start.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the instant `ms` milliseconds later.
    pub const fn plus_ms(self, ms: u64) -> Instant {
        Instant(self.0.saturating_add(ms.saturating_mul(1000)))
    }

    /// Returns the instant `us` microseconds later.
    pub const fn plus_us(self, us: u64) -> Instant {
        Instant(self.0.saturating_add(us))
    }

    /// Returns the microseconds from `earlier` to this instant, or 0 if `earlier` is later.
    pub const fn since_us(self, earlier: Instant) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds from `earlier` to this instant, or 0 if `earlier` is later.
    pub const fn since_ms(self, earlier: Instant) -> u64 {
        self.since_us(earlier) / 1000
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
