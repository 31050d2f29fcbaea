//! Routing rules: which service serves a host and path, and under which limits.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::Workspaces;
use crate::ids::{ConfigVersion, RegionName, ServiceName};

/// Urgency of a route; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteRank(pub u32);

impl fmt::Display for RouteRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RouteRank {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<RouteRank, Self::Err> {
        text.parse().map(RouteRank)
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// The request is idempotent.
    Idempotent,
    /// The request is idempotent and its answer is large.
    IdempotentLarge,
    /// The request runs at most once.
    AtMostOnce,
    /// The request runs at most once and has a large body.
    AtMostOnceLarge,
}

impl Repeatability {
    /// Returns whether the request must not run more than once.
    pub fn is_at_most_once(self) -> bool {
        matches!(self, Repeatability::AtMostOnce | Repeatability::AtMostOnceLarge)
    }

    /// Returns whether the answer is large, so that it occupies memory and links for some time.
    pub fn has_large_answer(self) -> bool {
        self == Repeatability::IdempotentLarge
    }
}

/// A service that receives a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other destinations.
    pub weight: u32,
}

/// Requests of one host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Start of the paths; it begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: Repeatability,
    /// Longest time until the final answer. `None` leaves the limit to the caller.
    pub timeout_ms: Option<u64>,
    /// Target for the time until the answer; a later answer is of less value to the caller.
    pub target_ms: Option<u64>,
    /// Urgency among the routes of a service.
    pub rank: RouteRank,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether a backend server that recently served the same affinity key is faster.
    pub affinity: bool,
    /// Services that receive the requests. Never empty.
    pub destinations: Vec<Destination>,
    /// Regions in which requests may be served. Empty allows all.
    pub home_regions: Vec<RegionName>,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Returns whether requests may be served in `region`.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        self.home_regions.is_empty() || self.home_regions.contains(region)
    }
}

/// Load limits of a service's backend servers and the path of their health check.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceRules {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections of a backend server from all instances together.
    pub max_connections: u32,
    /// Time that a backend server stays cold after its start.
    pub cold_start_ms: u64,
    /// Requests per second that a cold backend server tolerates from all instances together.
    pub cold_requests_per_s: f64,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_head_bytes: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Time within which a request head must arrive.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection may be closed.
    pub idle_timeout_ms: u64,
}

/// Reason why no route matches a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MatchError {
    /// No route has this host.
    UnknownHost,
    /// The path begins with no prefix of the host's routes.
    UnknownPath,
}

impl fmt::Display for MatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MatchError::UnknownHost => "unknown-host",
            MatchError::UnknownPath => "unknown-path",
        })
    }
}

/// All routes and services of one configuration version.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutePlan {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes by host.
    pub hosts: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// Limits on what callers may send.
    pub caller_limits: CallerLimits,
    /// Workspaces and their keys. If there are none, callers need no key.
    pub workspaces: Workspaces,
}

impl RoutePlan {
    /// Builds a plan and sorts the routes of each host by prefix length, the longest first.
    pub fn new(
        version: ConfigVersion,
        mut hosts: BTreeMap<String, Vec<Route>>,
        services: BTreeMap<ServiceName, ServiceRules>,
        caller_limits: CallerLimits,
        workspaces: Workspaces,
    ) -> RoutePlan {
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RoutePlan { version, hosts, services, caller_limits, workspaces }
    }

    /// Returns the route with the longest prefix of `path` at `host`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, MatchError> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))
            .ok_or(MatchError::UnknownHost)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).ok_or(MatchError::UnknownPath)
    }
}
