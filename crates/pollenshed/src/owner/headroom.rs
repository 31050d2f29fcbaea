//! What this owner offers to other failure domains.

use std::collections::BTreeMap;

use pollenshed_coordination::{
    limits::{ServerSnapshot, ServerState},
    routing::{Advertisement, Intake},
};
use pollenshed_state::{
    config::Service,
    ids::{BackendServerName, FailureDomainName},
    time::Instant,
};

use crate::{config::InForce, instance::Shared, util::lock};

/// Builds the advertisements of this owner, one for each service and failure domain of its servers.
///
/// `entries` is the number of entries that can send requests here.
pub fn advertisements(
    shared: &Shared,
    current: &InForce,
    entries: u64,
    now: Instant,
) -> Vec<Advertisement> {
    let mut state = lock(&shared.owner.state);
    state.advertised += 1;
    let sequence = state.advertised;
    let snapshot = state.scheduler.snapshot(now);
    let may_dispatch = !shared.is_leaving();
    let mut adverts = Vec::new();
    for service in &current.config.services {
        let domains = usable_by_domain(service, &snapshot);
        let usable: u32 = domains.values().map(|d| d.usable).sum();
        let rate = state.scheduler.headroom(&service.name, now).remote_requests_per_s;
        for (domain, counts) in domains {
            let share = if usable == 0 || !may_dispatch {
                0
            } else {
                rate * u64::from(counts.usable) / u64::from(usable)
            };
            state
                .intakes
                .entry((service.name.clone(), domain.clone()))
                .or_insert_with(|| Intake::new(now))
                .advertise(share, now);
            adverts.push(Advertisement {
                owner: shared.settings.instance.clone(),
                incarnation: shared.incarnation,
                service: service.name.clone(),
                failure_domain: domain,
                requests_per_s: share,
                entries,
                sequence,
                ttl_left_ms: shared.settings.timing.headroom_ttl_ms,
                usable_backend_servers: counts.usable,
                cold_backend_servers: counts.cold,
            });
        }
    }
    adverts
}

#[derive(Default)]
struct Counts {
    usable: u32,
    cold: u32,
}

fn usable_by_domain(
    service: &Service,
    snapshot: &[ServerSnapshot],
) -> BTreeMap<FailureDomainName, Counts> {
    let domain_of = |name: &BackendServerName| {
        service.backend_servers.iter().find(|s| s.name == *name).map(|s| &s.failure_domain)
    };
    let mut domains: BTreeMap<FailureDomainName, Counts> = BTreeMap::new();
    for server in snapshot {
        let Some(domain) = domain_of(&server.name) else { continue };
        let counts = domains.entry(domain.clone()).or_default();
        counts.usable += u32::from(server.limit > 0);
        counts.cold += u32::from(server.limit > 0 && server.state == ServerState::Cold);
    }
    domains
}
