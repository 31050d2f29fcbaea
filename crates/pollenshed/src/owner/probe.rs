//! Probes the health and load endpoints of the owned backend servers.
//!
//! Probes use separate connections, so that they do not wait behind requests.

use std::{collections::HashMap, sync::Arc, time::Duration};

use pollenshed_coordination::limits::LoadReport;
use pollenshed_protocol::backend::HealthStatus;
use pollenshed_state::{config::BackendServer, ids::BackendServerName, time::Instant};

use crate::{instance::Shared, util::lock};

/// Consecutive failed probes after which a server gets no requests. A single probe can fail by
/// chance.
const MAX_FAILED_PROBES: u32 = 2;

/// Probes all owned servers once per period, or earlier on request, until the instance ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.probe_period_ms);
    let failure_counts: Arc<std::sync::Mutex<HashMap<BackendServerName, u32>>> = Arc::default();
    loop {
        let _ = tokio::time::timeout(period, shared.owner.probe_wake.notified()).await;
        let servers = owned_servers(&shared);
        lock(&failure_counts).retain(|name, _| servers.iter().any(|s| s.name == *name));
        let probes = servers.into_iter().map(|server| {
            let (shared, failure_counts) = (shared.clone(), failure_counts.clone());
            tokio::task::spawn_blocking(move || {
                let began = shared.clock.now();
                let is_ok = probe(&shared, &server);
                record_probe(&shared, &server, is_ok, began, &mut lock(&failure_counts));
            })
        });
        for task in probes.collect::<Vec<_>>() {
            let _ = task.await;
        }
        shared.owner.wake_dispatcher();
    }
}

fn owned_servers(shared: &Shared) -> Vec<BackendServer> {
    let Some(current) = shared.config.get() else { return Vec::new() };
    let ownership = lock(&shared.ownership);
    let servers = current.config.services.iter().flat_map(|s| &s.backend_servers);
    servers.filter(|s| ownership.owns(&s.name)).cloned().collect()
}

/// Probes one server and passes its report to the scheduler. Returns whether the server answered.
fn probe(shared: &Shared, server: &BackendServer) -> bool {
    let Some(report) = read_load_report(shared, server) else { return false };
    let now = shared.clock.now();
    shared.owner.with_scheduler(|scheduler| scheduler.apply_report(&server.name, report, now));
    true
}

/// Reads the load report of a server, or `None` if its health endpoint does not answer. Blocks the
/// thread.
///
/// If the load endpoint fails, the report says that no slot is in use and that the server has its
/// configured slots.
pub(super) fn read_load_report(shared: &Shared, server: &BackendServer) -> Option<LoadReport> {
    let health = shared.backend_client.health(server.address).ok()?;
    let health_is_draining = health.status == HealthStatus::Draining;
    let draining = shared.owner.is_draining(&server.name, health_is_draining, shared.clock.now());
    Some(match shared.backend_client.load(server.address) {
        Ok(load) => LoadReport { in_use: load.in_use, slots: load.slots, draining },
        Err(_) => LoadReport { in_use: 0, slots: server.slots.0, draining },
    })
}

/// Counts failed probes and marks the server as down or up.
fn record_probe(
    shared: &Shared,
    server: &BackendServer,
    is_ok: bool,
    began: Instant,
    failure_counts: &mut HashMap<BackendServerName, u32>,
) {
    let count = failure_counts.entry(server.name.clone()).or_default();
    let now = shared.clock.now();
    if is_ok {
        if *count >= MAX_FAILED_PROBES {
            log::info!(
                backend_server:% = server.name,
                failed_probes = *count;
                "health: the backend server answers probes again"
            );
        }
        *count = 0;
        let mut state = lock(&shared.owner.state);
        if state.failed_at.get(&server.name).is_none_or(|at| began > *at) {
            state.scheduler.mark_up(&server.name, now);
        }
        return;
    }
    *count = count.saturating_add(1);
    if *count == MAX_FAILED_PROBES {
        log::warn!(
            backend_server:% = server.name,
            failed_probes = *count;
            "health: the backend server failed its probes and gets no requests"
        );
        let mut state = lock(&shared.owner.state);
        state.scheduler.mark_down(&server.name);
        // The draining process has ended, so a restarted one does not count as draining.
        state.answered_draining_until.remove(&server.name);
    }
}
