use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendServerName, FailureDomainName, RegionName, ServiceName, UserName},
    units::{BitRate, ByteSize, Percent, Slots},
};

/// The whole configuration. Its printed form is described in `docs/configuration.md`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version of the document's format; must be 1, the [`FORMAT_VERSION`](super::FORMAT_VERSION).
    pub format: u32,
    /// The organisation that runs the services.
    pub user: UserName,
    /// Regions with their failure domains.
    pub regions: Vec<Region>,
    /// Delays and links between failure domains and regions.
    pub network: Network,
    /// One policy for each rank, the most urgent first.
    pub ranks: Vec<RankPolicy>,
    /// Services with their backend servers.
    pub services: Vec<Service>,
    /// Planned drains that are in force.
    #[serde(default)]
    pub drains: Vec<Drain>,
}

/// A region and its failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub name: RegionName,
    /// Failure domains of the region.
    pub failure_domains: Vec<FailureDomainName>,
}

/// Delays and capacity of the network between failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One-way delay between failure domains of a region.
    pub between_failure_domains_us: u64,
    /// One-way delay between regions.
    pub between_regions_us: u64,
    /// One-way delay between an entry instance and its clients.
    pub to_clients_us: u64,
    /// Capacity of the link of each pair of regions, each way, for all traffic.
    pub region_link_bits_per_s: BitRate,
    /// Share of a link that pollenshed may use, the rest being left to other traffic.
    pub region_link_share_percent: Percent,
}

/// Priority class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// Served first.
    Urgent,
    /// Served after urgent work.
    Standard,
    /// Served last.
    Deferrable,
}

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Rank; 3] = [Rank::Urgent, Rank::Standard, Rank::Deferrable];

    /// Returns the position of the rank, 0 being the most urgent.
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rank::Urgent => "urgent",
            Rank::Standard => "standard",
            Rank::Deferrable => "deferrable",
        })
    }
}

/// Error returned when a string is not a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseRankError;

impl fmt::Display for ParseRankError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected urgent, standard or deferrable")
    }
}

impl std::error::Error for ParseRankError {}

impl FromStr for Rank {
    type Err = ParseRankError;

    fn from_str(text: &str) -> Result<Rank, ParseRankError> {
        Rank::ALL.into_iter().find(|r| r.to_string() == text).ok_or(ParseRankError)
    }
}

/// Guaranteed share and default deadline of a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankPolicy {
    /// The rank that the policy is for.
    pub rank: Rank,
    /// Share of each owner's slots that this rank keeps when another rank is overloaded.
    pub min_share_percent: Percent,
    /// Deadline of a request that specifies none, and the longest one that a request gets.
    pub deadline_ms: u64,
}

/// A service and its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, part of the path of each request.
    pub name: ServiceName,
    /// Classes of requests that the service answers; the first match applies.
    pub operations: Vec<Operation>,
    /// Largest request body that is relayed in one piece.
    pub max_request_bytes: ByteSize,
    /// Largest answer body.
    pub max_answer_bytes: ByteSize,
    /// Largest whole upload, summed over its parts.
    pub max_upload_bytes: ByteSize,
    /// Limits on how fast traffic may move between failure domains.
    pub shift: ShiftPolicy,
    /// Allowed retries as a share of first attempts.
    pub retry_budget_percent: Percent,
    /// The servers that run the service.
    pub backend_servers: Vec<BackendServer>,
}

/// A class of requests to a service, identified by method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP methods in upper case.
    pub methods: Vec<String>,
    /// Start of the path below the service's root; `/` matches every path.
    pub path_prefix: String,
    /// Priority class of the request.
    pub rank: Rank,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Limits on how fast a service's traffic may move between failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftPolicy {
    /// Share of the service's traffic that may move in one interval.
    pub cap_percent: Percent,
    /// Lower cap that applies while the receiving servers are cold.
    pub cold_cap_percent: Percent,
    /// Length of the interval.
    pub interval_ms: u64,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique over all services.
    pub name: BackendServerName,
    /// Failure domain that the server is in.
    pub failure_domain: FailureDomainName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
    /// Maximum number of connections that it accepts.
    pub connections: u64,
}

/// A planned drain: the target gets no new work while this is in force.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Drain {
    /// Drains one backend server.
    BackendServer(BackendServerName),
    /// Drains all backend servers of a failure domain.
    FailureDomain(FailureDomainName),
    /// Drains all backend servers of a region.
    Region(RegionName),
}

impl fmt::Display for Drain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Drain::BackendServer(name) => write!(f, "backend server {name}"),
            Drain::FailureDomain(name) => write!(f, "failure domain {name}"),
            Drain::Region(name) => write!(f, "region {name}"),
        }
    }
}
