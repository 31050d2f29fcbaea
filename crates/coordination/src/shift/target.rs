//! Target shares of a service's traffic, computed from configuration and health.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{
    config::{BackendServer, Config, Drain, Service},
    ids::FailureDomainName,
};

use super::position::{Shares, WHOLE_PPM};

/// Capacity of a failure domain for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DomainHealth {
    /// Number of backend servers of the service that accept requests.
    pub usable_backend_servers: u32,
    /// Number of the usable backend servers that are still ramping up.
    pub cold_backend_servers: u32,
    /// Requests per second that the owners accept from this entry.
    pub headroom_per_s: u64,
}

/// Traffic of one service that arrives at this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Share in parts per million that the home failure domain can serve while it is usable; below
    /// [`WHOLE_PPM`] only if the failure domain is overloaded.
    pub home_ppm: u32,
    /// Mean rate of arrivals.
    pub requests_per_s: u64,
}

/// Returns the target shares for the traffic that arrives in `home`.
///
/// Traffic that the home failure domain can't serve goes to the other failure domains of the home
/// region up to their headroom for this entry, and the rest to other regions, in proportion to
/// headroom. If no other region has headroom, all of it stays in the home region. If no other
/// failure domain has headroom, it stays in the home failure domain, which refuses it if it can't
/// serve it.
pub fn target_shares(
    config: &Config,
    service: &Service,
    home: &FailureDomainName,
    health: &BTreeMap<FailureDomainName, DomainHealth>,
    demand: Demand,
) -> Shares {
    let usable = usable_domains(config, service, health);
    let remote_ppm =
        if usable.contains(home) { WHOLE_PPM - demand.home_ppm.min(WHOLE_PPM) } else { WHOLE_PPM };
    let region = config.regions.iter().find(|r| r.failure_domains.contains(home));
    let is_same_region =
        |d: &FailureDomainName| region.is_some_and(|r| r.failure_domains.contains(d));
    let headroom = |d: &FailureDomainName| health.get(d).map_or(0, |h| h.headroom_per_s);
    let candidates = || usable.iter().filter(|d| *d != home && headroom(d) > 0);
    let (same_region, other_regions): (Vec<_>, Vec<_>) =
        candidates().partition(|d| is_same_region(d));
    let weights = |domains: &[&FailureDomainName]| domains.iter().map(|d| headroom(d)).collect();
    let (same_region_weights, other_region_weights): (Vec<_>, Vec<_>) =
        (weights(&same_region), weights(&other_regions));
    let same_region_headroom = same_region_weights.iter().sum();
    let same_region_ppm = if other_regions.is_empty() {
        remote_ppm
    } else {
        remote_ppm.min(ppm_of_whole(same_region_headroom, demand.requests_per_s))
    };
    let same_region_parts = split_by_weight(same_region_ppm, &same_region_weights);
    let other_region_parts = split_by_weight(remote_ppm - same_region_ppm, &other_region_weights);
    let parts = same_region_parts.into_iter().chain(other_region_parts);
    Shares::from_remote(same_region.into_iter().chain(other_regions).cloned().zip(parts))
}

/// Returns `part` as a share of `whole` in parts per million, at most [`WHOLE_PPM`].
fn ppm_of_whole(part: u64, whole: u64) -> u32 {
    let share = u128::from(part) * u128::from(WHOLE_PPM) / u128::from(whole.max(1));
    share.min(u128::from(WHOLE_PPM)) as u32
}

/// Splits `whole` in proportion to `weights`. The remainder of rounding goes to the first part.
fn split_by_weight(whole: u32, weights: &[u64]) -> Vec<u32> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let part = |weight: &u64| (u128::from(whole) * u128::from(*weight) / sum) as u32;
    let mut parts: Vec<u32> = weights.iter().map(part).collect();
    let remainder = whole - parts.iter().sum::<u32>();
    if let Some(first) = parts.first_mut() {
        *first += remainder;
    }
    parts
}

/// Returns the failure domains that are not drained and have a usable backend server of `service`.
fn usable_domains(
    config: &Config,
    service: &Service,
    health: &BTreeMap<FailureDomainName, DomainHealth>,
) -> BTreeSet<FailureDomainName> {
    let has_undrained_server = |d: &FailureDomainName| {
        let is_drained =
            |s: &BackendServer| config.drains.contains(&Drain::BackendServer(s.name.clone()));
        service.backend_servers.iter().any(|s| s.failure_domain == *d && !is_drained(s))
    };
    let mut usable = BTreeSet::new();
    for region in &config.regions {
        if config.drains.contains(&Drain::Region(region.name.clone())) {
            continue;
        }
        for domain in &region.failure_domains {
            let is_drained = config.drains.contains(&Drain::FailureDomain(domain.clone()));
            let has_usable_server =
                health.get(domain).is_some_and(|h| h.usable_backend_servers > 0);
            if !is_drained && has_usable_server && has_undrained_server(domain) {
                usable.insert(domain.clone());
            }
        }
    }
    usable
}
