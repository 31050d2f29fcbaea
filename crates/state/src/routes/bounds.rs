//! Bounds that the operators of a deployment set for the system.

use serde::{Deserialize, Serialize};

/// Bounds that the operators of a deployment set for the system and that decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Bounds {
    /// Longest time that a leaving backend server may get new requests.
    pub drain_ms: u64,
    /// Time between the signal to stop and the end by force.
    pub stop_ms: u64,
    /// Further attempts that a service may get, relative to the requests for it.
    pub retry_ratio: f64,
    /// Further attempts that a service may get beyond the ratio in a window.
    pub retry_extra: f64,
    /// Length of the sliding window for further attempts.
    pub retry_window_ms: u64,
    /// Requests that a cold backend server tolerates in a second beyond that.
    pub cold_slack: f64,
    /// Longest time for which callers may keep the answer of a lookup.
    pub lookup_ttl_max_ms: u64,
}

impl Default for Bounds {
    /// The strictest figures of the users' deployments, for settings that name none.
    fn default() -> Bounds {
        Bounds {
            drain_ms: 2_000,
            stop_ms: 6_000,
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window_ms: 10_000,
            cold_slack: 5.0,
            lookup_ttl_max_ms: 5_000,
        }
    }
}
