//! Settings of one instance: its name, its addresses, its peers and its limits.
//!
//! `docs/settings.md` lists every setting with its unit, default and accepted range.

mod rules;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    findings::{Findings, Violations},
    ids::{FailureDomainName, InstanceName},
    reader::{self, read_defaulted_struct, read_struct},
    units::ByteSize,
};

pub use rules::{
    MAX_CALLER_MEMORY_BYTES, MIN_PLATFORM_POLL_MS, PLANNED_READERS, POLL_READS_PER_S,
    READS_PER_POLL,
};

/// Reads and checks settings in JSON with comments.
///
/// Returns all findings of the text at once, sorted by position. `file_name` is only used in
/// the findings.
pub fn parse(file_name: &str, text: &str) -> Result<Settings, Findings> {
    reader::read_document(file_name, text, rules::check)
}

/// Reads settings as [`parse`] does and also checks them against the configuration in force.
pub fn parse_for(file_name: &str, text: &str, config: &Config) -> Result<Settings, Findings> {
    reader::read_document(file_name, text, |settings, violations: &mut Violations| {
        rules::check(settings, violations);
        rules::check_against(settings, config, violations);
    })
}

impl Settings {
    /// Checks settings that were built in code by the same rules as [`parse`].
    ///
    /// The findings have no position.
    pub fn check(&self) -> Result<(), Findings> {
        let mut violations = Violations::default();
        rules::check(self, &mut violations);
        Findings::ok_if_empty(violations.into_findings(), ())
    }
}

read_struct!(Settings {
    instance,
    failure_domain,
    caller_address,
    peer_address,
    relay_address,
    operator_address,
    platform_address,
} optional {
    announced_peer_address,
    announced_relay_address,
    seed_peers,
    metrics_address,
    timing,
    caller_limits
});
read_defaulted_struct!(Timing {
    lookup_ttl_ms,
    binding_lifetime_ms,
    gossip_period_ms,
    suspect_after_ms,
    dead_after_ms,
    fence_after_ms,
    platform_poll_ms,
    platform_timeout_ms,
    probe_period_ms,
    headroom_ttl_ms,
    stop_timeout_ms,
});
read_defaulted_struct!(CallerLimits {
    max_connections,
    max_head_bytes,
    head_timeout_ms,
    body_pause_timeout_ms,
    max_buffered_bytes,
});

/// Settings file of one instance, described in `docs/settings.md`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, unique among all instances of the user.
    pub instance: InstanceName,
    /// Failure domain that the instance is in.
    pub failure_domain: FailureDomainName,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for control messages of other instances.
    pub peer_address: SocketAddr,
    /// Listen address for callers' requests that other instances relay.
    pub relay_address: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    /// Address announced to other instances instead of `peer_address`, for example behind NAT.
    #[serde(default)]
    pub announced_peer_address: Option<SocketAddr>,
    /// Address announced to other instances instead of `relay_address`.
    #[serde(default)]
    pub announced_relay_address: Option<SocketAddr>,
    /// Address of the platform's table service, object store and instance list.
    pub platform_address: SocketAddr,
    /// Peers to contact while the platform's instance list is not available.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// UDP destination of metrics; `None` disables metrics.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Periods and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub caller_limits: CallerLimits,
}

/// Periods and timeouts of one instance. All instances of a user should use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a caller may cache a lookup answer.
    pub lookup_ttl_ms: u64,
    /// How long a ticket can be used after its binding was issued.
    pub binding_lifetime_ms: u64,
    /// Interval between two rounds of gossip.
    pub gossip_period_ms: u64,
    /// Silence after which a member is suspect.
    pub suspect_after_ms: u64,
    /// Silence after which a member is dead and its backend servers move.
    pub dead_after_ms: u64,
    /// Pause of its own control loop after which an owner stops dispatching.
    pub fence_after_ms: u64,
    /// Interval at which readers poll the platform.
    pub platform_poll_ms: u64,
    /// Timeout of one call to the platform.
    pub platform_timeout_ms: u64,
    /// Interval at which owners read the health and load of their backend servers.
    pub probe_period_ms: u64,
    /// Time for which advertised headroom is valid.
    pub headroom_ttl_ms: u64,
    /// Longest time that a planned stop waits for requests in flight.
    pub stop_timeout_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lookup_ttl_ms: 5_000,
            binding_lifetime_ms: 600_000,
            gossip_period_ms: 250,
            suspect_after_ms: 1_500,
            dead_after_ms: 3_000,
            fence_after_ms: 1_000,
            platform_poll_ms: 1_000,
            platform_timeout_ms: 2_000,
            probe_period_ms: 500,
            headroom_ttl_ms: 2_000,
            stop_timeout_ms: 60_000,
        }
    }
}

/// Limits that protect an entry from its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    pub max_connections: u64,
    /// Maximum size of a request's head.
    pub max_head_bytes: ByteSize,
    /// Time within which a request's head must arrive.
    pub head_timeout_ms: u64,
    /// Longest pause between two pieces of a request's body.
    pub body_pause_timeout_ms: u64,
    /// Maximum total size of the request bodies that are held in memory.
    pub max_buffered_bytes: ByteSize,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_connections: 4_096,
            max_head_bytes: ByteSize(16 * 1024),
            head_timeout_ms: 10_000,
            body_pause_timeout_ms: 10_000,
            max_buffered_bytes: ByteSize(64 * 1024 * 1024),
        }
    }
}
