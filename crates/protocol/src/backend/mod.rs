//! Names of the HTTP interface that backend servers offer.

use serde::{Deserialize, Serialize};

/// Request header: milliseconds left until the caller no longer waits for the answer.
pub const DEADLINE_HEADER: &str = "pollenshed-deadline-ms";
/// Request and answer header: id of the request, used to match answers and to cancel.
pub const REQUEST_ID_HEADER: &str = "pollenshed-request-id";
/// Answer header with value `1`: the request was shed and did not run.
pub const SHED_HEADER: &str = "pollenshed-shed";
/// Answer header with value `1`: the server is draining and must get no new requests.
pub const DRAINING_HEADER: &str = "pollenshed-draining";

/// Body of `GET /health`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthBody {
    /// Whether the server accepts new requests.
    pub status: HealthStatus,
}

/// State that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthStatus {
    /// The server accepts new requests.
    Ok,
    /// The server finishes its running requests and accepts no new ones.
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
