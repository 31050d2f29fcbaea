use std::time::Duration;

use pollenshed_state::{
    config::Rank,
    units::{BitRate, ByteSize, Percent, Slots},
};

/// Everything that operators declare.
#[derive(Debug, Clone)]
pub struct Declaration {
    /// The organisation whose services these are.
    pub user: String,
    /// Regions with their failure domains.
    pub regions: Vec<Region>,
    /// Delays and links between failure domains and regions.
    pub network: Network,
    /// One policy for each of the three ranks, in any order.
    pub ranks: Vec<RankPolicy>,
    /// Services with their backend servers.
    pub services: Vec<Service>,
    /// Planned drains that are in force.
    pub drains: Vec<Drain>,
}

/// A region and its failure domains.
#[derive(Debug, Clone)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Names of its failure domains.
    pub failure_domains: Vec<String>,
}

impl Region {
    /// Declares a region.
    pub fn new(name: &str, failure_domains: &[&str]) -> Region {
        Region { name: name.to_owned(), failure_domains: owned(failure_domains) }
    }
}

/// What the network between the failure domains offers. Delays are whole microseconds.
#[derive(Debug, Clone)]
pub struct Network {
    /// One-way delay between failure domains of a region.
    pub between_failure_domains: Duration,
    /// One-way delay between regions.
    pub between_regions: Duration,
    /// One-way delay between an entry instance and its clients.
    pub to_clients: Duration,
    /// Capacity of the link of each pair of regions, each way, for all traffic.
    pub region_link: BitRate,
    /// Share of a link that pollenshed may use, the rest being left to other traffic.
    pub region_link_share: Percent,
}

/// What a rank is granted under contention.
#[derive(Debug, Clone)]
pub struct RankPolicy {
    /// The rank that the policy is for.
    pub rank: Rank,
    /// Share of each owner's slots that this rank keeps in a flood of any other rank.
    pub min_share: Percent,
    /// Deadline of a request that carries none, in whole milliseconds.
    pub deadline: Duration,
}

/// A service and its backend servers.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service, part of the path of each request.
    pub name: String,
    /// Kinds of requests that the service answers; the first match applies.
    pub operations: Vec<Operation>,
    /// Largest request body that is relayed in one piece.
    pub max_request: ByteSize,
    /// Largest answer body.
    pub max_answer: ByteSize,
    /// Largest whole upload, summed over its parts; 0 for no uploads.
    pub max_upload: ByteSize,
    /// How fast traffic may move between failure domains.
    pub shift: Shift,
    /// Retries allowed, as a share of first tries.
    pub retry_budget: Percent,
    /// The servers that run the service.
    pub backend_servers: Vec<BackendServer>,
}

/// A kind of request of a service, told by method and path.
#[derive(Debug, Clone)]
pub struct Operation {
    /// HTTP methods in upper case.
    pub methods: Vec<String>,
    /// Start of the path below the service's root; `/` matches every path.
    pub path_prefix: String,
    /// How urgent the request is.
    pub rank: Rank,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

impl Operation {
    /// Declares requests that may run more than once, such as reads.
    pub fn idempotent(rank: Rank, methods: &[&str], path_prefix: &str) -> Operation {
        let path_prefix = path_prefix.to_owned();
        Operation { methods: owned(methods), path_prefix, rank, idempotent: true }
    }

    /// Declares requests that must run at most once, such as filings and commits.
    pub fn at_most_once(rank: Rank, methods: &[&str], path_prefix: &str) -> Operation {
        Operation { idempotent: false, ..Operation::idempotent(rank, methods, path_prefix) }
    }
}

/// Cap on moving a service's traffic.
#[derive(Debug, Clone)]
pub struct Shift {
    /// Share of the service's traffic that may move in one interval.
    pub cap: Percent,
    /// Lower cap that applies while the receiving servers are cold.
    pub cold_cap: Percent,
    /// Length of the interval, in whole milliseconds.
    pub interval: Duration,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct BackendServer {
    /// Name, unique over all services.
    pub name: String,
    /// Name of the failure domain that the server is in.
    pub failure_domain: String,
    /// IP address and port of its HTTP interface.
    pub address: String,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Connections that it accepts.
    pub connections: u64,
}

/// A planned drain: the target gets no new work while this is in force.
#[derive(Debug, Clone)]
pub enum Drain {
    /// Drains the backend server of this name.
    BackendServer(String),
    /// Drains all backend servers of the failure domain of this name.
    FailureDomain(String),
    /// Drains all backend servers of the region of this name.
    Region(String),
}

fn owned(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|&text| text.to_owned()).collect()
}
