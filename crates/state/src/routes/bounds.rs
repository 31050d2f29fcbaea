//! Limits that the operators of a deployment set for the system.

use serde::{Deserialize, Serialize};

/// Limits that the operators of a deployment set for the system and that decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Bounds {
    /// Longest time for which a leaving backend server may still get new requests.
    pub drain_ms: u64,
    /// Time between the stop signal and the forced exit.
    pub stop_ms: u64,
    /// Retries allowed for a service as a ratio of its requests.
    pub retry_ratio: f64,
    /// Retries allowed for a service in a window in addition to the ratio.
    pub retry_extra: f64,
    /// Length of the sliding window in which retries are counted.
    pub retry_window_ms: u64,
    /// Requests in a second that a cold backend server tolerates beyond
    /// [`cold_requests_per_s`](super::ServiceRules::cold_requests_per_s).
    pub cold_slack: f64,
    /// Longest time for which callers may cache a lookup answer.
    pub lookup_ttl_max_ms: u64,
    /// Length of the sliding window in which the requests of a workspace are counted.
    pub quota_window_ms: u64,
    /// Requests of a workspace that are tolerated in a window as a ratio of its limit.
    pub quota_overage: f64,
    /// Requests of a workspace that are tolerated in a window in addition to that.
    pub quota_slack: f64,
}

impl Default for Bounds {
    /// Returns the strictest values of the users' deployments, for settings that omit a bound.
    fn default() -> Bounds {
        Bounds {
            drain_ms: 2_000,
            stop_ms: 6_000,
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window_ms: 10_000,
            cold_slack: 5.0,
            lookup_ttl_max_ms: 5_000,
            quota_window_ms: 5_000,
            quota_overage: 0.0,
            quota_slack: 0.0,
        }
    }
}
