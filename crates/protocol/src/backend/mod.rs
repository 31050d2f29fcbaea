//! Names of the HTTP interface that backend servers offer.

use serde::{Deserialize, Serialize};

/// Request header: milliseconds left until nobody waits for the answer.
pub const DEADLINE_HEADER: &str = "pollenshed-deadline-ms";
/// Request and answer header: id of the request, used to match answers and to cancel.
pub const REQUEST_ID_HEADER: &str = "pollenshed-request-id";
/// Answer header with value `1`: the request was shed and did not run.
pub const SHED_HEADER: &str = "pollenshed-shed";
/// Answer header with value `1`: the server is leaving and wants no new work.
pub const DRAINING_HEADER: &str = "pollenshed-draining";

/// Body of `GET /health`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthBody {
    /// Whether the server takes new work.
    pub status: HealthStatus,
}

/// What a backend server says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthStatus {
    /// The server takes new work.
    Ok,
    /// The server finishes its work and takes no more.
    Draining,
}

/// Body of `GET /load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadBody {
    /// Requests that the server is running.
    pub in_use: u64,
    /// Requests that the server can run at the same time.
    pub slots: u64,
}
