//! Explains where a request for a service would go now. It changes no state and no metric.

use std::{collections::BTreeMap, net::IpAddr};

use pollenshed_coordination::{limits::ServerSnapshot, routing::rank_entries, shift::Ramp};
use pollenshed_protocol::operator::{
    ExplainBody, ExplainedBackendServer, ExplainedEntry, ExplainedFailureDomain,
};
use pollenshed_state::{
    config::{Config, Drain, Service},
    ids::{BackendServerName, FailureDomainName, ServiceName},
};

use super::{Shared, operators::state_name};
use crate::util::lock;

/// Maximum number of entries in an explanation.
const MAX_ENTRIES: usize = 10;

/// Explains the routing of a service for a client.
///
/// Returns `None` if no configuration is in force or the service is not in it.
pub fn explain(shared: &Shared, name: &ServiceName, client: Option<IpAddr>) -> Option<ExplainBody> {
    let current = shared.config.get()?;
    let config = &current.config;
    let service = config.services.iter().find(|s| s.name == *name)?;
    Some(ExplainBody {
        instance: shared.settings.instance.clone(),
        config_version: current.version.0,
        service: name.clone(),
        client,
        entries: explain_entries(shared, config, name, client),
        failure_domains: explain_failure_domains(shared, config, service),
    })
}

fn explain_entries(
    shared: &Shared,
    config: &Config,
    service: &ServiceName,
    client: Option<IpAddr>,
) -> Vec<ExplainedEntry> {
    let now = shared.clock.now();
    let home = &shared.settings.failure_domain;
    let key = client.map_or_else(String::new, |ip| ip.to_string());
    let membership = lock(&shared.membership);
    rank_entries(config, &membership, service, home, key.as_bytes(), MAX_ENTRIES, now)
        .into_iter()
        .map(|entry| ExplainedEntry {
            state: membership
                .state_of(&entry.instance, now)
                .map_or("unknown", state_name)
                .to_owned(),
            instance: entry.instance,
            failure_domain: entry.failure_domain,
        })
        .collect()
}

fn explain_failure_domains(
    shared: &Shared,
    config: &Config,
    service: &Service,
) -> Vec<ExplainedFailureDomain> {
    let now = shared.clock.now();
    let snapshot = shared.owner.with_scheduler(|scheduler| scheduler.snapshot(now));
    let snapshots: BTreeMap<_, _> = snapshot.iter().map(|s| (&s.name, s)).collect();
    let ownership = lock(&shared.ownership).view();
    let routing = lock(&shared.routing);
    let ramp = routing.ramps.get(&service.name);
    let domains = config.regions.iter().flat_map(|r| &r.failure_domains);
    let mut explained: Vec<_> = domains
        .map(|domain| {
            let service_advertisements =
                routing.router.advertisements.for_service(&service.name, now);
            let headroom = service_advertisements.filter(|a| a.failure_domain == *domain);
            let servers = service.backend_servers.iter().filter(|s| s.failure_domain == *domain);
            ExplainedFailureDomain {
                failure_domain: domain.clone(),
                share_ppm: ramp.map_or(0, |r| r.share_ppm(domain)),
                headroom_requests_per_s: headroom.map(|a| a.requests_per_s).sum(),
                reason: share_reason(config, ramp, domain),
                backend_servers: servers
                    .map(|s| ExplainedBackendServer {
                        name: s.name.clone(),
                        owner: ownership.assignment.owner(&s.name).map(|o| o.instance.clone()),
                        state: server_state(config, &snapshots, &s.name),
                    })
                    .collect(),
            }
        })
        .collect();
    explained.sort_by_key(|d| std::cmp::Reverse(d.share_ppm));
    explained
}

/// Describes why a failure domain has its share of the traffic.
fn share_reason(config: &Config, ramp: Option<&Ramp>, domain: &FailureDomainName) -> String {
    let region = config.regions.iter().find(|r| r.failure_domains.contains(domain));
    let is_drained = config.drains.iter().any(|drain| match drain {
        Drain::FailureDomain(name) => name == domain,
        Drain::Region(name) => region.is_some_and(|r| r.name == *name),
        Drain::BackendServer(_) => false,
    });
    let Some(ramp) = ramp else { return "no share is known".to_owned() };
    let target =
        if ramp.home() == domain { ramp.target().home_ppm() } else { ramp.target().ppm_of(domain) };
    let place = if ramp.home() == domain { "home" } else { "away" };
    let drained = if is_drained { ", drained" } else { "" };
    format!("{place}{drained}, moves towards {target} ppm")
}

/// Returns the state of a backend server. If another instance owns the server, only a drain in the
/// configuration is known here.
fn server_state(
    config: &Config,
    snapshots: &BTreeMap<&BackendServerName, &ServerSnapshot>,
    name: &BackendServerName,
) -> String {
    if let Some(server) = snapshots.get(name) {
        return server.state.to_string();
    }
    let is_drained = config.drains.contains(&Drain::BackendServer(name.clone()));
    if is_drained { "draining" } else { "known to its owner only" }.to_owned()
}
