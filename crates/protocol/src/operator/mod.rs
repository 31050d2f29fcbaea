//! JSON bodies of the operators' HTTP interface, described in `docs/operators.md`.

mod explain;

use std::net::SocketAddr;

use pollenshed_state::ids::{FailureDomainName, InstanceName};
use serde::{Deserialize, Serialize};

pub use explain::{ExplainBody, ExplainedBackendServer, ExplainedEntry, ExplainedFailureDomain};

/// Answer of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusBody {
    /// Instance that answers.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
    /// Its incarnation, 16 hexadecimal digits.
    pub incarnation: String,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration in force here; 0 for none.
    pub config_version: u64,
    /// Digest of that configuration; empty for none.
    pub config_digest: String,
    /// Members as this instance sees them.
    pub members: Vec<MemberStatus>,
    /// Backend servers that this instance owns.
    pub owned_backend_servers: Vec<OwnedBackendServer>,
    /// Log lines dropped because the reader of the log was slow.
    pub dropped_log_lines: u64,
}

/// One member in a [`StatusBody`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
    /// `alive`, `suspect`, `dead` or `leaving`.
    pub state: String,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Address where it accepts peers.
    pub peer_address: SocketAddr,
}

/// One owned backend server in a [`StatusBody`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnedBackendServer {
    /// Name of the backend server.
    pub name: String,
    /// Slots in use, as this owner counts them.
    pub in_use: u64,
    /// Slots that this owner uses at most now.
    pub limit: u64,
    /// `ok`, `cold`, `draining` or `down`.
    pub state: String,
}
