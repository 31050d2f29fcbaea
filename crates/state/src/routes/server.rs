//! A backend server as it announces itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerName, FailureDomainName, ServiceName};

/// Whether a backend server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to stop and takes no new requests.
    Draining,
}

/// A backend server as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerRecord {
    /// Its name.
    pub name: BackendServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: FailureDomainName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// How much longer it is cold, from the moment of the announcement.
    pub cold_remaining_ms: u64,
    /// Start of the server in milliseconds of its own clock. Another value is another start.
    pub started_at_ms: u64,
    /// Number of the announcement since the start.
    pub sequence: u64,
}
