//! Selection and order of the entries in a lookup answer.

use std::net::SocketAddr;

use pollenshed_state::{
    config::Config,
    ids::{FailureDomainName, Incarnation, InstanceName, ServiceName},
    time::Instant,
};

use crate::{
    membership::{MemberRecord, MemberState, Membership, hash::stable_hash},
    shift::Ramp,
};

/// An entry named in a lookup answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankedEntry {
    /// Instance that runs the entry.
    pub instance: InstanceName,
    /// Incarnation of the entry, which goes into the binding of a ticket.
    pub incarnation: Incarnation,
    /// Time in milliseconds on the entry's clock as last received by gossip, for the binding.
    pub stamp_ms: u64,
    /// Failure domain that the entry is in.
    pub failure_domain: FailureDomainName,
    /// Address that callers connect to.
    pub address: SocketAddr,
}

/// Returns up to `limit` live entries: those of `first_domain` first, then the others of its
/// region, then the other regions in the order of the configuration.
///
/// `first_domain` is the client's home failure domain, or the one that
/// [`crate::shift::Ramp::admit_lookup`] allowed instead. Within a failure domain, the order depends
/// on a hash of `client` and `service`, so that clients spread evenly; entries whose heartbeats are
/// late come last. An answer whose first entry is outside the client's home failure domain moves
/// traffic, so the shift cap must have admitted it before.
pub fn rank_entries(
    config: &Config,
    membership: &Membership,
    service: &ServiceName,
    first_domain: &FailureDomainName,
    client: &[u8],
    limit: usize,
    now: Instant,
) -> Vec<RankedEntry> {
    let order = domains_by_distance(config, first_domain);
    let mut ranked: Vec<_> = membership
        .members(now)
        .filter(|(_, state)| state.is_live())
        .filter_map(|(record, state)| {
            let distance = order.iter().position(|d| **d == record.failure_domain)?;
            let is_late = state != MemberState::Alive;
            Some(((distance, is_late, entry_hash(record, service, client)), record))
        })
        .collect();
    ranked.sort_unstable_by_key(|(key, _)| *key);
    ranked.into_iter().take(limit).map(|(_, record)| ranked_entry(record)).collect()
}

fn entry_hash(record: &MemberRecord, service: &ServiceName, client: &[u8]) -> u64 {
    stable_hash(&[client, service.as_str().as_bytes(), record.instance.as_str().as_bytes()])
}

fn ranked_entry(record: &MemberRecord) -> RankedEntry {
    RankedEntry {
        instance: record.instance.clone(),
        incarnation: record.incarnation,
        stamp_ms: record.stamp_ms,
        failure_domain: record.failure_domain.clone(),
        address: record.caller_address,
    }
}

/// Counts a lookup and returns the failure domain whose entries come first in the answer.
///
/// `ramp` belongs to the service and the client's home failure domain, and `has_entries` returns
/// whether a failure domain has live entries. `None` means that the shift cap admits no answer now.
pub fn choose_lookup_domain(
    config: &Config,
    ramp: &mut Ramp,
    has_entries: impl Fn(&FailureDomainName) -> bool,
    now: Instant,
) -> Option<FailureDomainName> {
    ramp.record_lookup(now);
    let home = ramp.home().clone();
    let order = domains_to_try(config, &home, ramp);
    let mut candidates = order.into_iter().filter(|d| has_entries(d));
    candidates.find(|d| ramp.admit_lookup(d, now).is_ok()).cloned()
}

/// Returns the failure domains that have a share, nearest first and the ramp's base last.
///
/// The base takes what rounding down the shares of the others leaves, so the others are tried
/// first.
pub(super) fn domains_to_try<'a>(
    config: &'a Config,
    home: &'a FailureDomainName,
    ramp: &Ramp,
) -> Vec<&'a FailureDomainName> {
    let mut order = domains_by_distance(config, home);
    order.retain(|d| ramp.share_ppm(d) > 0);
    order.sort_by_key(|d| *d == ramp.base_domain());
    order
}

/// Returns all failure domains: `home`, the others of its region, then those of the other regions.
fn domains_by_distance<'a>(
    config: &'a Config,
    home: &'a FailureDomainName,
) -> Vec<&'a FailureDomainName> {
    let mut order = vec![home];
    let (own, other): (Vec<_>, Vec<_>) =
        config.regions.iter().partition(|r| r.failure_domains.contains(home));
    for region in own.into_iter().chain(other) {
        order.extend(region.failure_domains.iter().filter(|d| *d != home));
    }
    order
}
