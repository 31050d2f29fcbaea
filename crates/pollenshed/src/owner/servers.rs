//! Keeps the scheduler's set of servers in line with ownership and configuration.

use std::collections::{BTreeMap, BTreeSet};

use pollenshed_coordination::{
    limits::{CacheState, LoadReport, Occupancy, Scheduler, SchedulerPolicy, ServerSpec},
    ownership::OwnershipMap,
};
use pollenshed_state::{
    config::{BackendServer, Config, Drain, Service},
    ids::BackendServerName,
    time::Instant,
};

use crate::{config::ActiveConfig, instance::Shared, util::lock};

/// Adds the servers to which this instance may dispatch and removes all others.
///
/// Ownership stays locked meanwhile, so that a server that is released at the same time is not
/// added again.
pub fn update_servers(shared: &Shared, current: &ActiveConfig, now: Instant) {
    apply(shared, current, &lock(&shared.ownership), &BTreeMap::new(), now);
    shared.owner.wake_dispatcher();
}

/// Applies the locked `ownership` and the configuration to the scheduler. `reports` are the load
/// reports of servers that may be new; a new server without a report counts as full.
pub(super) fn apply(
    shared: &Shared,
    current: &ActiveConfig,
    ownership: &OwnershipMap,
    reports: &BTreeMap<BackendServerName, LoadReport>,
    now: Instant,
) {
    let longest_ms = current.config.ranks.iter().map(|r| r.deadline_ms).max().unwrap_or(0);
    let occupancy = Occupancy::UnknownUntil(now.plus_ms(longest_ms));
    let usable: BTreeSet<BackendServerName> = ownership.usable(now).cloned().collect();
    let mut leaving = lock(&shared.leaving_backend_servers);
    leaving.expire(now);
    shared.owner.with_scheduler(|scheduler| {
        scheduler.set_policy(SchedulerPolicy::with_ranks(&current.config.ranks));
        let known: BTreeSet<_> = scheduler.snapshot(now).into_iter().map(|s| s.name).collect();
        for (service, server) in servers(&current.config) {
            if usable.contains(&server.name) {
                add(scheduler, service, server, occupancy, now);
                let inherited = ownership.inherited(&server.name).map(|i| (i.running, i.until));
                scheduler.set_inherited(&server.name, inherited);
                if let Some(report) = reports.get(&server.name) {
                    scheduler.apply_report(&server.name, *report, now);
                }
                let is_draining = leaving.contains(&server.name)
                    || current.config.drains.contains(&Drain::BackendServer(server.name.clone()));
                scheduler.set_draining(&server.name, is_draining);
            }
        }
        for name in known.difference(&usable) {
            scheduler.remove_server(name);
        }
    });
}

/// Removes servers that this instance kept for their new owner and whose hold time is over.
pub fn end_holds(shared: &Shared, now: Instant) {
    let mut ownership = lock(&shared.ownership);
    let ended = ownership.end_holds(now);
    if !ended.is_empty() {
        shared.owner.with_scheduler(|scheduler| {
            ended.iter().for_each(|server| scheduler.remove_server(server));
        });
    }
}

fn servers(config: &Config) -> impl Iterator<Item = (&Service, &BackendServer)> {
    config.services.iter().flat_map(|s| s.backend_servers.iter().map(move |b| (s, b)))
}

/// Adds a server as warm, because requests from its former owner have filled its caches.
fn add(
    scheduler: &mut Scheduler,
    service: &Service,
    server: &BackendServer,
    occupancy: Occupancy,
    now: Instant,
) {
    let spec = ServerSpec {
        name: server.name.clone(),
        service: service.name.clone(),
        slots: server.slots,
    };
    scheduler.add_server(spec, occupancy, CacheState::Warm, now);
}
