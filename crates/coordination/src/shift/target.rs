//! Where a service's traffic should go, from configuration and health.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{
    config::{BackendServer, Config, Drain, Service},
    ids::FailureDomainName,
};

use super::position::{Shares, WHOLE_PPM};

/// What a failure domain can take of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DomainHealth {
    /// Backend servers of the service that take work.
    pub usable_backend_servers: u32,
    /// Of these, servers that are still ramping up.
    pub cold_backend_servers: u32,
    /// Requests per second that the owners take from this entry.
    pub headroom_per_s: u64,
}

/// Traffic of one service that arrives at this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Share that the home failure domain can serve while it is usable; it is below the whole only
    /// when the domain is overloaded.
    pub home_ppm: u32,
    /// Requests per second.
    pub requests_per_s: u64,
}

/// Returns the shares that the traffic arriving in `home` should reach.
///
/// What the home failure domain can't serve goes to the other failure domains of the home region, as
/// far as their headroom for this entry goes, and the rest to other regions, in proportion to
/// headroom. What nobody can take stays at home, where it is refused if it can't be served.
pub fn target_shares(
    config: &Config,
    service: &Service,
    home: &FailureDomainName,
    health: &BTreeMap<FailureDomainName, DomainHealth>,
    demand: Demand,
) -> Shares {
    let usable = usable_domains(config, service, health);
    let away_ppm =
        if usable.contains(home) { WHOLE_PPM - demand.home_ppm.min(WHOLE_PPM) } else { WHOLE_PPM };
    let region = config.regions.iter().find(|r| r.failure_domains.contains(home));
    let is_near = |d: &FailureDomainName| region.is_some_and(|r| r.failure_domains.contains(d));
    let headroom = |d: &FailureDomainName| health.get(d).map_or(0, |h| h.headroom_per_s);
    let away = || usable.iter().filter(|d| *d != home && headroom(d) > 0);
    let (near, far): (Vec<_>, Vec<_>) = away().partition(|d| is_near(d));
    let weights = |domains: &[&FailureDomainName]| domains.iter().map(|d| headroom(d)).collect();
    let (near_weights, far_weights): (Vec<_>, Vec<_>) = (weights(&near), weights(&far));
    let near_sum = near_weights.iter().sum();
    let near_ppm = if far.is_empty() {
        away_ppm
    } else {
        away_ppm.min(share_of(near_sum, demand.requests_per_s))
    };
    let near_parts = split(near_ppm, &near_weights);
    let far_parts = split(away_ppm - near_ppm, &far_weights);
    let parts = near_parts.into_iter().chain(far_parts);
    Shares::from_remote(near.into_iter().chain(far).cloned().zip(parts))
}

/// Returns `part` as a share of `whole`, at most everything.
fn share_of(part: u64, whole: u64) -> u32 {
    let share = u128::from(part) * u128::from(WHOLE_PPM) / u128::from(whole.max(1));
    share.min(u128::from(WHOLE_PPM)) as u32
}

/// Splits `whole` in proportion to `weights`; what rounding leaves goes to the first.
fn split(whole: u32, weights: &[u64]) -> Vec<u32> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let part = |weight: &u64| (u128::from(whole) * u128::from(*weight) / sum) as u32;
    let mut parts: Vec<u32> = weights.iter().map(part).collect();
    let rest = whole - parts.iter().sum::<u32>();
    if let Some(first) = parts.first_mut() {
        *first += rest;
    }
    parts
}

/// Returns the failure domains with a usable backend server of `service` that are not drained.
fn usable_domains(
    config: &Config,
    service: &Service,
    health: &BTreeMap<FailureDomainName, DomainHealth>,
) -> BTreeSet<FailureDomainName> {
    let has_server = |d: &FailureDomainName| {
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
            let is_up = health.get(domain).is_some_and(|h| h.usable_backend_servers > 0);
            if !is_drained && is_up && has_server(domain) {
                usable.insert(domain.clone());
            }
        }
    }
    usable
}
