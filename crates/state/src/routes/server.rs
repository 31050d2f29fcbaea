//! Announcements that backend servers make about themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendServerName, FailureDomainName, ServiceName};

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server is about to stop and accepts no new requests.
    Draining,
}

/// The announcement of one backend server about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerRecord {
    /// Its name.
    pub name: BackendServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: FailureDomainName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Time for which it stays cold, counted from the announcement.
    pub cold_remaining_ms: u64,
    /// Start time in milliseconds of the server's own clock; a different value means a restart.
    pub started_at_ms: u64,
    /// Sequence number of the announcement since the start.
    pub sequence: u64,
}
