//! Where a service's traffic should go, from configuration and health.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_state::{
    config::{BackendServer, Config, Drain, Service},
    ids::FailureDomainName,
};

use super::position::{ONE_PPM, Shares};

/// What a failure domain can take of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DomainHealth {
    /// Backend servers of the service that take work.
    pub usable_backend_servers: u32,
    /// Of these, servers that are still ramping up.
    pub cold_backend_servers: u32,
    /// Requests per second that the owners take from other failure domains.
    pub headroom_per_s: u64,
}

/// Returns the shares that the traffic arriving in `home` should reach.
///
/// `home_ppm` is the share that the home failure domain can serve while it is usable; it is below
/// the whole only when the domain is overloaded. The rest goes to the other failure domains of the
/// home region that have headroom, and only if there are none to other regions, in proportion to
/// headroom. What nobody can take stays at home, where it is refused if it can't be served.
pub fn target_shares(
    config: &Config,
    service: &Service,
    home: &FailureDomainName,
    health: &BTreeMap<FailureDomainName, DomainHealth>,
    home_ppm: u32,
) -> Shares {
    let usable = usable_domains(config, service, health);
    let away_ppm = if usable.contains(home) { ONE_PPM - home_ppm.min(ONE_PPM) } else { ONE_PPM };
    let region = config.regions.iter().find(|r| r.failure_domains.contains(home));
    let is_near = |d: &FailureDomainName| region.is_some_and(|r| r.failure_domains.contains(d));
    let headroom = |d: &FailureDomainName| health.get(d).map_or(0, |h| h.headroom_per_s);
    let away = || usable.iter().filter(|d| *d != home && headroom(d) > 0);
    let near: Vec<_> = away().filter(|d| is_near(d)).collect();
    let chosen = if near.is_empty() { away().collect() } else { near };
    let weights: Vec<_> = chosen.iter().map(|d| headroom(d)).collect();
    let parts = split(away_ppm, &weights);
    Shares::away(chosen.into_iter().cloned().zip(parts))
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
