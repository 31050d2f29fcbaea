//! What this owner offers to other failure domains.

use std::collections::BTreeMap;

use pollenshed_coordination::{
    limits::{ServerSnapshot, ServerState},
    ownership::LiveEntry,
    routing::{Advertisement, InboundLimiter},
};
use pollenshed_state::{
    config::Service,
    ids::{BackendServerName, FailureDomainName},
    time::Instant,
};

use crate::{config::InForce, instance::Shared, util::lock};

/// How often an advertisement is repeated in its time to live, so that it does not lapse on its way
/// through a few rounds of gossip or with one lost message.
const REFRESHES_PER_TTL: u64 = 4;

/// A change of the rate by less than this part is told with the next refresh.
const CLOSE_PART: u64 = 5;

/// Builds the advertisements of this owner that are due, one for each service and failure domain of
/// its servers: those that changed much, and all once in a quarter of their time to live.
///
/// `entries` are the live entries, which can send requests here.
pub fn advertisements(
    shared: &Shared,
    current: &InForce,
    entries: &[LiveEntry],
    now: Instant,
) -> Vec<Advertisement> {
    let mut state = lock(&shared.owner.state);
    let refresh_ms = shared.settings.timing.headroom_ttl_ms / REFRESHES_PER_TTL;
    let is_due = state.advertised_at.is_none_or(|at| now.since_ms(at) >= refresh_ms);
    state.advertised += 1;
    let sequence = state.advertised;
    let snapshot = state.scheduler.snapshot(now);
    let may_dispatch = !shared.is_leaving();
    let mut adverts = Vec::new();
    for service in &current.config.services {
        let domains = usable_by_domain(service, &snapshot);
        let usable: u32 = domains.values().map(|d| d.usable).sum();
        let rate = state.scheduler.headroom(&service.name, now).remote_requests_per_s;
        let parts = state.senders.entry(service.name.clone()).or_default().parts(entries, now);
        for (domain, counts) in domains {
            let share = if usable == 0 || !may_dispatch {
                0
            } else {
                rate * u64::from(counts.usable) / u64::from(usable)
            };
            state
                .inbound_limiters
                .entry((service.name.clone(), domain.clone()))
                .or_insert_with(|| InboundLimiter::new(now))
                .set_advertised_rate(share, now);
            let key = (service.name.clone(), domain.clone());
            let said = state.said.get(&key);
            if !is_due && said.is_some_and(|said| is_close(said, share, parts, &counts)) {
                continue;
            }
            state.said.insert(key, Said { rate: share, parts, usable: counts.usable });
            adverts.push(Advertisement {
                owner: shared.settings.instance.clone(),
                incarnation: shared.incarnation,
                service: service.name.clone(),
                failure_domain: domain,
                requests_per_s: share,
                parts,
                sequence,
                ttl_left_ms: shared.settings.timing.headroom_ttl_ms,
                usable_backend_servers: counts.usable,
                cold_backend_servers: counts.cold,
            });
        }
    }
    if is_due {
        state.advertised_at = Some(now);
    }
    adverts
}

/// Tells whether an advertisement can wait for its refresh, because little has changed.
fn is_close(said: &Said, share: u64, parts: u64, counts: &Counts) -> bool {
    said.usable == counts.usable
        && said.parts == parts
        && share.abs_diff(said.rate) <= said.rate / CLOSE_PART
}

/// What the last advertisement of a service and failure domain said.
pub(super) struct Said {
    rate: u64,
    parts: u64,
    usable: u32,
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
