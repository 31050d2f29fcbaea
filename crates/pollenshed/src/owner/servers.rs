//! Brings the scheduler's servers in line with ownership and configuration.

use std::collections::BTreeSet;

use pollenshed_coordination::limits::{
    Occupancy, Scheduler, SchedulerPolicy, ServerSpec, Temperature,
};
use pollenshed_state::{
    config::{BackendServer, Config, Drain, Service},
    ids::BackendServerName,
    time::Instant,
};

use crate::{config::InForce, instance::Shared, util::lock};

/// Adds owned servers whose wait is over and removes those that were given up.
pub fn update_servers(shared: &Shared, current: &InForce, now: Instant) {
    let usable: BTreeSet<BackendServerName> = {
        let ownership = lock(&shared.ownership);
        ownership.owned().filter(|s| ownership.is_usable(s, now)).cloned().collect()
    };
    let longest_ms = current.config.ranks.iter().map(|r| r.deadline_ms).max().unwrap_or(0);
    let occupancy = Occupancy::UnknownUntil(now.plus_ms(longest_ms));
    let mut leaving = lock(&shared.leaving_backend_servers);
    leaving.expire(now);
    shared.owner.with_scheduler(|scheduler| {
        scheduler.set_policy(SchedulerPolicy::with_ranks(&current.config.ranks));
        let known: BTreeSet<_> = scheduler.snapshot(now).into_iter().map(|s| s.name).collect();
        for (service, server) in servers(&current.config) {
            if usable.contains(&server.name) {
                add(scheduler, service, server, occupancy, now);
                let is_draining = leaving.contains(&server.name)
                    || current.config.drains.contains(&Drain::BackendServer(server.name.clone()));
                scheduler.set_draining(&server.name, is_draining);
            }
        }
        for name in known.difference(&usable) {
            scheduler.remove_server(name);
        }
    });
    shared.owner.wake();
}

fn servers(config: &Config) -> impl Iterator<Item = (&Service, &BackendServer)> {
    config.services.iter().flat_map(|s| s.backend_servers.iter().map(move |b| (s, b)))
}

/// Adds a server as warm: its caches are those of the work that its former owner gave it.
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
    scheduler.add_server(spec, occupancy, Temperature::Warm, now);
}
