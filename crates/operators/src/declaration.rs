use std::time::Duration;

use pollenshed_state::{
    config::Rank,
    units::{BitRate, ByteSize, Percent, Slots},
};

/// A complete configuration as operators declare it.
#[derive(Debug, Clone)]
pub struct Declaration {
    /// Name of the organisation that owns the services.
    pub user: String,
    /// Regions with their failure domains.
    pub regions: Vec<Region>,
    /// Delays and links between failure domains and regions.
    pub network: Network,
    /// One policy for each of the three ranks, in any order.
    pub ranks: Vec<RankPolicy>,
    /// Services with their backend servers.
    pub services: Vec<Service>,
    /// Planned drains. Each stays in force as long as it is declared.
    pub drains: Vec<Drain>,
}

/// A region and its failure domains.
#[derive(Debug, Clone)]
pub struct Region {
    /// Name that drains refer to.
    pub name: String,
    /// Names of its failure domains.
    pub failure_domains: Vec<String>,
}

impl Region {
    /// Creates a region from its name and the names of its failure domains.
    pub fn new(name: &str, failure_domains: &[&str]) -> Region {
        Region { name: name.to_owned(), failure_domains: to_strings(failure_domains) }
    }
}

/// Delays and capacity of the network. Delays are whole microseconds.
#[derive(Debug, Clone)]
pub struct Network {
    /// One-way delay between failure domains of the same region.
    pub between_failure_domains: Duration,
    /// One-way delay between regions.
    pub between_regions: Duration,
    /// One-way delay between an entry instance and its clients.
    pub to_clients: Duration,
    /// Capacity of the link between each pair of regions, in each direction, for all traffic.
    pub region_link: BitRate,
    /// Share of a link that pollenshed may use. The rest is left to other traffic.
    pub region_link_share: Percent,
}

/// Guarantees and defaults of a rank.
#[derive(Debug, Clone)]
pub struct RankPolicy {
    /// The rank that the policy is for.
    pub rank: Rank,
    /// Share of each owner's slots that this rank keeps while any other rank is overloaded.
    pub min_share: Percent,
    /// Default deadline of a request without one, in whole milliseconds.
    pub deadline: Duration,
}

/// A service and its backend servers.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service, which is part of the path of each request.
    pub name: String,
    /// Operations that the service offers. The first one that matches a request applies.
    pub operations: Vec<Operation>,
    /// Largest request body outside of an upload.
    pub max_request: ByteSize,
    /// Largest answer body.
    pub max_answer: ByteSize,
    /// Largest total size of the parts of an upload. 0 disables uploads.
    pub max_upload: ByteSize,
    /// Limits on how fast traffic may move between failure domains.
    pub shift: Shift,
    /// Retries allowed, as a share of first attempts.
    pub retry_budget: Percent,
    /// The servers that run the service.
    pub backend_servers: Vec<BackendServer>,
}

/// A kind of request to a service, identified by method and path.
#[derive(Debug, Clone)]
pub struct Operation {
    /// HTTP methods in upper case.
    pub methods: Vec<String>,
    /// Prefix of the path below the root of the service. `/` matches every path.
    pub path_prefix: String,
    /// Priority class of the request.
    pub rank: Rank,
    /// Whether the request may run more than once, so that it is safe to retry.
    pub idempotent: bool,
}

impl Operation {
    /// Creates an operation for requests that may run more than once, such as reads.
    pub fn idempotent(rank: Rank, methods: &[&str], path_prefix: &str) -> Operation {
        let path_prefix = path_prefix.to_owned();
        Operation { methods: to_strings(methods), path_prefix, rank, idempotent: true }
    }

    /// Creates an operation for requests that must run at most once, such as filings and commits.
    pub fn at_most_once(rank: Rank, methods: &[&str], path_prefix: &str) -> Operation {
        Operation { idempotent: false, ..Operation::idempotent(rank, methods, path_prefix) }
    }
}

/// Caps on moving the traffic of a service between failure domains.
#[derive(Debug, Clone)]
pub struct Shift {
    /// Share of the traffic that may move in one interval.
    pub cap: Percent,
    /// Lower cap that applies while the receiving servers have cold caches.
    pub cold_cap: Percent,
    /// Length of the interval, in whole milliseconds.
    pub interval: Duration,
}

/// A backend server of a service.
#[derive(Debug, Clone)]
pub struct BackendServer {
    /// Name that is unique over all services.
    pub name: String,
    /// Name of the failure domain that the server is in.
    pub failure_domain: String,
    /// IP address and port of its HTTP interface, such as `10.0.0.1:8000`.
    pub address: String,
    /// Number of requests that it runs at the same time.
    pub slots: Slots,
    /// Number of connections that it accepts.
    pub connections: u64,
}

/// A planned drain. Its target gets no new work while the drain is in force.
#[derive(Debug, Clone)]
pub enum Drain {
    /// Drains the backend server of this name.
    BackendServer(String),
    /// Drains all backend servers of the failure domain of this name.
    FailureDomain(String),
    /// Drains all backend servers of the region of this name.
    Region(String),
}

fn to_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|&text| text.to_owned()).collect()
}
