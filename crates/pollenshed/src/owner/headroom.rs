//! Advertises the request rate that this owner accepts from other failure domains.

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

use crate::{config::ActiveConfig, instance::Shared, util::lock};

/// Refreshes of an advertisement within its time to live. With several of them it does not expire
/// during a few rounds of gossip or because of one lost message.
const REFRESHES_PER_TTL: u64 = 4;

/// A change of the rate by at most 1 / `MAX_UNSENT_CHANGE_DIVISOR` waits for the next refresh.
const MAX_UNSENT_CHANGE_DIVISOR: u64 = 5;

/// Builds the advertisements that are due, one for each service and failure domain of the owned
/// servers. One is due when it has changed much; all are due once in a quarter of their time to
/// live.
///
/// `entries` are the live entries, which share the advertised rate.
pub fn advertisements(
    shared: &Shared,
    current: &ActiveConfig,
    entries: &[LiveEntry],
    now: Instant,
) -> Vec<Advertisement> {
    let mut state = lock(&shared.owner.state);
    let refresh_ms = shared.settings.timing.headroom_ttl_ms / REFRESHES_PER_TTL;
    let is_due = state.refreshed_at.is_none_or(|at| now.since_ms(at) >= refresh_ms);
    state.advertisement_sequence += 1;
    let sequence = state.advertisement_sequence;
    let snapshot = state.scheduler.snapshot(now);
    let may_dispatch = !shared.is_leaving();
    let mut adverts = Vec::new();
    for service in &current.config.services {
        let domains = usable_by_domain(service, &snapshot);
        let usable: u32 = domains.values().map(|d| d.usable).sum();
        let rate_per_s = state.scheduler.headroom(&service.name, now).remote_requests_per_s;
        let parts = state.senders.entry(service.name.clone()).or_default().parts(entries, now);
        for (domain, counts) in domains {
            let share_per_s = if usable == 0 || !may_dispatch {
                0
            } else {
                rate_per_s * u64::from(counts.usable) / u64::from(usable)
            };
            state
                .inbound_limiters
                .entry((service.name.clone(), domain.clone()))
                .or_insert_with(|| InboundLimiter::new(now))
                .set_advertised_rate(share_per_s, now);
            let key = (service.name.clone(), domain.clone());
            let last = state.last_advertised.get(&key);
            if !is_due
                && last.is_some_and(|last| can_wait_for_refresh(last, share_per_s, parts, &counts))
            {
                continue;
            }
            state.last_advertised.insert(
                key,
                LastAdvertised { rate_per_s: share_per_s, parts, usable: counts.usable },
            );
            adverts.push(Advertisement {
                owner: shared.settings.instance.clone(),
                incarnation: shared.incarnation,
                service: service.name.clone(),
                failure_domain: domain,
                requests_per_s: share_per_s,
                parts,
                sequence,
                ttl_left_ms: shared.settings.timing.headroom_ttl_ms,
                usable_backend_servers: counts.usable,
                cold_backend_servers: counts.cold,
            });
        }
    }
    if is_due {
        state.refreshed_at = Some(now);
    }
    adverts
}

/// Returns whether an advertisement has changed so little that it can wait for the next refresh.
fn can_wait_for_refresh(
    last: &LastAdvertised,
    share_per_s: u64,
    parts: u64,
    counts: &ServerCounts,
) -> bool {
    last.usable == counts.usable
        && last.parts == parts
        && share_per_s.abs_diff(last.rate_per_s) <= last.rate_per_s / MAX_UNSENT_CHANGE_DIVISOR
}

/// Values of the last advertisement for one service and failure domain.
pub(super) struct LastAdvertised {
    rate_per_s: u64,
    parts: u64,
    usable: u32,
}

/// Numbers of usable backend servers, and of those among them that are ramping up.
#[derive(Default)]
struct ServerCounts {
    usable: u32,
    cold: u32,
}

fn usable_by_domain(
    service: &Service,
    snapshot: &[ServerSnapshot],
) -> BTreeMap<FailureDomainName, ServerCounts> {
    let domain_of = |name: &BackendServerName| {
        service.backend_servers.iter().find(|s| s.name == *name).map(|s| &s.failure_domain)
    };
    let mut domains: BTreeMap<FailureDomainName, ServerCounts> = BTreeMap::new();
    for server in snapshot {
        let Some(domain) = domain_of(&server.name) else { continue };
        let counts = domains.entry(domain.clone()).or_default();
        counts.usable += u32::from(server.limit > 0);
        counts.cold += u32::from(server.limit > 0 && server.state == ServerState::Cold);
    }
    domains
}
