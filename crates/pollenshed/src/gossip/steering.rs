//! Moves the ramps towards the target shares that configuration and health give.

use std::collections::BTreeMap;

use pollenshed_coordination::shift::{Demand, DomainHealth, target_shares};
use pollenshed_state::{
    config::{Config, Service},
    ids::FailureDomainName,
    time::Instant,
};

use crate::entry::Routing;

/// Recomputes the target of every service's ramp and moves each ramp by one step.
pub fn step(routing: &mut Routing, config: &Config, now: Instant) {
    for service in &config.services {
        let health = health_of(routing, service, now);
        let home_ppm = routing.update_home_ppm(&service.name);
        let Some(ramp) = routing.ramps.get_mut(&service.name) else { continue };
        let home = ramp.home().clone();
        let demand = Demand { home_ppm, requests_per_s: ramp.arrivals_per_s(now) };
        let target = target_shares(config, service, &home, &health, demand);
        if ramp.set_target(target) {
            log::debug!(
                service:% = service.name,
                home:%,
                home_ppm,
                requests_per_s = demand.requests_per_s,
                target_ppm:% = ramp.target();
                "shift: the target shares changed"
            );
        }
        let is_cold = ramp.target().iter().any(|(domain, _)| is_cold(&health, domain));
        let step = ramp.step(is_cold, now);
        if step.moved_ppm > 0 {
            log::info!(
                service:% = service.name,
                home:%,
                at_us = now.as_us(),
                moved_ppm = step.moved_ppm,
                left_ppm = step.left_ppm,
                position_ppm:% = ramp.position(),
                target_ppm:% = ramp.target(),
                home_ppm,
                receivers = if is_cold { "cold" } else { "warm" };
                "shift: traffic moves"
            );
        }
    }
}

fn is_cold(health: &BTreeMap<FailureDomainName, DomainHealth>, domain: &FailureDomainName) -> bool {
    health.get(domain).is_some_and(|h| h.cold_backend_servers > 0)
}

/// Sums up the advertisements of each failure domain's owners. Of their rates, only one entry's
/// part counts.
fn health_of(
    routing: &Routing,
    service: &Service,
    now: Instant,
) -> BTreeMap<FailureDomainName, DomainHealth> {
    let mut health: BTreeMap<FailureDomainName, DomainHealth> = BTreeMap::new();
    for advert in routing.router.advertisements.for_service(&service.name, now) {
        let domain = health.entry(advert.failure_domain.clone()).or_default();
        domain.usable_backend_servers += advert.usable_backend_servers;
        domain.cold_backend_servers += advert.cold_backend_servers;
        domain.headroom_per_s += advert.requests_per_s / advert.parts.max(1);
    }
    health
}
