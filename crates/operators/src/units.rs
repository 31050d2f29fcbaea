use std::time::Duration;

use pollenshed_state::units::{BitRate, ByteSize, Percent, Slots};

/// Returns a share in whole percent.
pub const fn percent(n: u64) -> Percent {
    Percent(n)
}

/// Returns a number of requests that a backend server runs at the same time.
pub const fn slots(n: u64) -> Slots {
    Slots(n)
}

/// Returns a size in bytes.
pub const fn bytes(n: u64) -> ByteSize {
    ByteSize(n)
}

/// Returns a size in units of 1,024 bytes. An overflow saturates, and the check then refuses the
/// size.
pub const fn kibibytes(n: u64) -> ByteSize {
    ByteSize(n.saturating_mul(1 << 10))
}

/// Returns a size in units of 1,048,576 bytes. An overflow saturates, and the check then refuses
/// the size.
pub const fn mebibytes(n: u64) -> ByteSize {
    ByteSize(n.saturating_mul(1 << 20))
}

/// Returns a rate in units of 1,000,000,000 bits per second. An overflow saturates, and the check
/// then refuses the rate.
pub const fn gigabits_per_s(n: u64) -> BitRate {
    BitRate(n.saturating_mul(1_000_000_000))
}

/// Returns a duration in milliseconds.
pub const fn milliseconds(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a duration in microseconds.
pub const fn microseconds(n: u64) -> Duration {
    Duration::from_micros(n)
}
