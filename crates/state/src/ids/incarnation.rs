use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Distinguishes one run of an instance from the next, so that a restart is not taken for a pause.
///
/// It is chosen at random at start and written as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Error returned when a string is not an incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIncarnationError;

impl fmt::Display for ParseIncarnationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected 16 hexadecimal digits")
    }
}

impl std::error::Error for ParseIncarnationError {}

impl FromStr for Incarnation {
    type Err = ParseIncarnationError;

    fn from_str(text: &str) -> Result<Incarnation, ParseIncarnationError> {
        if text.len() != 16 {
            return Err(ParseIncarnationError);
        }
        u64::from_str_radix(text, 16).map(Incarnation).map_err(|_| ParseIncarnationError)
    }
}

/// Version number of an accepted configuration. It only increases; 0 means that none is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ConfigVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<ConfigVersion, Self::Err> {
        text.parse().map(ConfigVersion)
    }
}
