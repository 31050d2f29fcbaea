use std::time::Duration;

use pollenshed_state::units::{BitRate, ByteSize, Percent, Slots};

/// A share in whole percent.
pub const fn percent(n: u64) -> Percent {
    Percent(n)
}

/// A number of requests that a backend server runs at the same time.
pub const fn slots(n: u64) -> Slots {
    Slots(n)
}

/// A size in bytes.
pub const fn bytes(n: u64) -> ByteSize {
    ByteSize(n)
}

/// A size in units of 1,024 bytes; a size that does not fit saturates and is refused by the check.
pub const fn kibibytes(n: u64) -> ByteSize {
    ByteSize(n.saturating_mul(1 << 10))
}

/// A size in units of 1,048,576 bytes; a size that does not fit saturates and is refused by the
/// check.
pub const fn mebibytes(n: u64) -> ByteSize {
    ByteSize(n.saturating_mul(1 << 20))
}

/// A rate in units of 1,000,000,000 bits per second; a rate that does not fit saturates and is
/// refused by the check.
pub const fn gigabits_per_s(n: u64) -> BitRate {
    BitRate(n.saturating_mul(1_000_000_000))
}

/// A duration in milliseconds.
pub const fn milliseconds(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A duration in microseconds.
pub const fn microseconds(n: u64) -> Duration {
    Duration::from_micros(n)
}
