//! Sizes and rates as newtypes.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! unit_type {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{} ", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.trim_end_matches($suffix).trim_end().parse().map($name)
            }
        }
    };
}

unit_type!(
    /// A size in bytes.
    ByteSize,
    "B"
);
unit_type!(
    /// A data rate in bits per second.
    BitRate,
    "bit/s"
);
unit_type!(
    /// A rate of requests in thousandths of a request per second.
    RequestRate,
    "mreq/s"
);
unit_type!(
    /// A share in whole percent.
    Percent,
    "%"
);
unit_type!(
    /// A number of requests that a backend server runs at the same time.
    Slots,
    "slots"
);

impl RequestRate {
    /// Returns the number of requests in `ms` milliseconds.
    pub fn requests_in_ms(self, ms: u64) -> f64 {
        self.0 as f64 * ms as f64 / 1_000_000.0
    }
}

impl Percent {
    /// Returns the share as a fraction of 1.
    pub fn fraction(self) -> f64 {
        self.0 as f64 / 100.0
    }
}
