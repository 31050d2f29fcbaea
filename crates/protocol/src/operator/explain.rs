use std::net::IpAddr;

use pollenshed_state::ids::{BackendServerName, FailureDomainName, InstanceName, ServiceName};
use serde::{Deserialize, Serialize};

/// Answer of `GET /v1/explain?service=NAME[&client=IP]`: where a request would be sent now and why.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainBody {
    /// Instance that answers; others may have received other gossip.
    pub instance: InstanceName,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Service that was asked about.
    pub service: ServiceName,
    /// Client that was asked about.
    #[serde(default)]
    pub client: Option<IpAddr>,
    /// Entries that a lookup names, the first one first.
    pub entries: Vec<ExplainedEntry>,
    /// Failure domains in the order in which a request is offered to them.
    pub failure_domains: Vec<ExplainedFailureDomain>,
}

/// One entry in an [`ExplainBody`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainedEntry {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
    /// `alive`, `suspect`, `dead` or `leaving`.
    pub state: String,
}

/// One failure domain in an [`ExplainBody`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainedFailureDomain {
    /// Name of the failure domain.
    pub failure_domain: FailureDomainName,
    /// Share of this entry's traffic of the service that goes there now, in parts per million.
    pub share_ppm: u32,
    /// Requests per second that its owners advertise and that has not expired.
    pub headroom_requests_per_s: u64,
    /// Why the share is what it is, in a few words.
    pub reason: String,
    /// Its backend servers of the service.
    pub backend_servers: Vec<ExplainedBackendServer>,
}

/// One backend server in an [`ExplainBody`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainedBackendServer {
    /// Name of the backend server.
    pub name: BackendServerName,
    /// Instance that dispatches to it, if there is one.
    #[serde(default)]
    pub owner: Option<InstanceName>,
    /// `ok`, `cold`, `draining` or `down`.
    pub state: String,
}
