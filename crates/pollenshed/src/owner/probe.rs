//! Reads health and load of the owned backend servers.
//!
//! Probes use connections of their own and do not wait behind the work that they check.

use std::{collections::HashMap, sync::Arc, time::Duration};

use pollenshed_coordination::limits::LoadReport;
use pollenshed_protocol::backend::HealthStatus;
use pollenshed_state::{config::BackendServer, ids::BackendServerName, time::Instant};

use crate::{instance::Shared, util::lock};

/// Failed probes in a row after which a server is taken out of use. One alone can be lost by chance.
const MAX_FAILED_PROBES: u32 = 2;

/// Probes until the instance ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.probe_period_ms);
    let failed: Arc<std::sync::Mutex<HashMap<BackendServerName, u32>>> = Arc::default();
    loop {
        let _ = tokio::time::timeout(period, shared.owner.probe.notified()).await;
        let servers = owned_servers(&shared);
        lock(&failed).retain(|name, _| servers.iter().any(|s| s.name == *name));
        let probes = servers.into_iter().map(|server| {
            let (shared, failed) = (shared.clone(), failed.clone());
            tokio::task::spawn_blocking(move || {
                let began = shared.clock.now();
                let is_ok = probe(&shared, &server);
                note(&shared, &server, is_ok, began, &mut lock(&failed));
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

/// Probes one server and hands its report to the scheduler. Returns whether it answered.
fn probe(shared: &Shared, server: &BackendServer) -> bool {
    let Some(report) = read(shared, server) else { return false };
    let now = shared.clock.now();
    shared.owner.with_scheduler(|scheduler| scheduler.apply_report(&server.name, report, now));
    true
}

/// Reads the report of a server; nothing if it does not answer. Blocks.
pub(super) fn read(shared: &Shared, server: &BackendServer) -> Option<LoadReport> {
    let health = shared.backend.health(server.address).ok()?;
    let health_says_so = health.status == HealthStatus::Draining;
    let draining = shared.owner.is_draining(&server.name, health_says_so, shared.clock.now());
    Some(match shared.backend.load(server.address) {
        Ok(load) => LoadReport { in_use: load.in_use, slots: load.slots, draining },
        Err(_) => LoadReport { in_use: 0, slots: server.slots.0, draining },
    })
}

fn note(
    shared: &Shared,
    server: &BackendServer,
    is_ok: bool,
    began: Instant,
    failed: &mut HashMap<BackendServerName, u32>,
) {
    let count = failed.entry(server.name.clone()).or_default();
    let now = shared.clock.now();
    if is_ok {
        if *count >= MAX_FAILED_PROBES {
            log::info!(
                backend_server:% = server.name,
                failed_probes = *count;
                "health: the backend server answers again"
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
            "health: the backend server fails probes and gets no work"
        );
        let mut state = lock(&shared.owner.state);
        state.scheduler.mark_down(&server.name);
        // The drain has ended with the process.
        state.answered_draining.remove(&server.name);
    }
}
