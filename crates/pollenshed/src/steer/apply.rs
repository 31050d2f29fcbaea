//! Applies rows of the store's tables to the state of this instance. The rows come from the store
//! or from a peer.

use std::{collections::BTreeSet, rc::Rc};

use pollenshed_platform::{
    config, servers,
    store::{self, Row, StoreVersion},
};
use pollenshed_state::{
    ids::BackendServerName,
    routes::{RoutePlan, ServerRecord, ServerState},
    time::Instant,
};

use super::{
    core::Core,
    keys,
    members::MemberRecord,
    reader::RENEWAL_MS,
    tables::{RemovalGap, Table, WriteOrder},
};

/// Merges rows into the local copy of a table and applies those that changed.
pub(super) fn apply_rows(core: &Rc<Core>, table: Table, rows: Vec<Row>) {
    let rows = core.tables.borrow_mut().get_mut(table).merge(table, rows, core.now());
    apply_changed_rows(core, table, &rows);
}

/// Applies the rows of a copy that are held back, once their writers have had the time to remove
/// them again.
pub(super) fn apply_held_rows(core: &Rc<Core>, table: Table) {
    if !core.store_was_restored_within(RENEWAL_MS) {
        let rows = core.tables.borrow_mut().get_mut(table).release_held_rows();
        apply_changed_rows(core, table, &rows);
    }
}

fn apply_changed_rows(core: &Rc<Core>, table: Table, rows: &[Row]) {
    if rows.is_empty() {
        return;
    }
    match table {
        Table::Operator => apply_operator(core, rows),
        Table::Servers => apply_servers(core, rows),
        Table::Instances => apply_instances(core, rows),
    }
    core.table_changes.send_modify(|count| *count += 1);
}

/// Changes of a table that a peer sent.
pub struct PeerChanges {
    /// Rows and tombstones.
    pub rows: Vec<Row>,
    /// Latest writes of the rows that were removed.
    pub written: Vec<(String, WriteOrder)>,
    /// Version up to which the peer knows the table. `None` if it has not read the table yet.
    pub version: Option<StoreVersion>,
    /// Version up to which rows may come from the copy that the store was restored from.
    pub copied_up_to: Option<StoreVersion>,
    /// Version since which the peer knows every removal, if it sent the whole table.
    pub whole_since: Option<StoreVersion>,
    /// Gaps in what the peer knows of removals.
    pub removal_gaps: Vec<RemovalGap>,
}

/// Merges the changes of a peer into the local copy of a table and applies those that are new.
pub fn apply_peer_changes(core: &Rc<Core>, table: Table, changes: PeerChanges) {
    let PeerChanges { mut rows, written, version, copied_up_to, whole_since, removal_gaps } =
        changes;
    if let Some(version) = version {
        core.record_store_era(version.era);
    }
    {
        let mut tables = core.tables.borrow_mut();
        let view = tables.get_mut(table);
        if let Some(copied_up_to) = copied_up_to {
            view.record_copy(copied_up_to);
        }
        if let Some(since) = whole_since {
            view.record_whole(since);
        }
        view.record_gaps(removal_gaps);
        rows.retain(|row| {
            let is_removed = view.lacks_removed(row);
            if is_removed {
                log::info!(
                    "peers: row was removed before; table={} key={} version={}",
                    table.name(),
                    row.key,
                    row.version
                );
            }
            !is_removed
        });
    }
    apply_rows(core, table, rows);
    let mut tables = core.tables.borrow_mut();
    let view = tables.get_mut(table);
    for (key, written) in written {
        view.record_written(&key, Some(written), core.now());
    }
    view.version = view.version.max(version);
}

fn apply_servers(core: &Core, rows: &[Row]) {
    let now = core.now();
    for row in rows {
        let Ok(name) = row.key.parse::<BackendServerName>() else {
            log::warn!("servers: invalid name; key={:?}", row.key);
            continue;
        };
        match row.value.as_deref().map(|value| servers::decode(&row.key, value)) {
            Some(Some(record)) => update_server(core, record, now),
            Some(None) => {
                log::warn!("servers: invalid record; server={name}");
                remove_server(core, &name, "unreadable");
            }
            None => remove_server(core, &name, "removed"),
        }
    }
}

fn update_server(core: &Core, record: ServerRecord, now: Instant) {
    let mut fleet = core.fleet.borrow_mut();
    let old = fleet.server(&record.name).map(|s| s.record.clone());
    let changed = old.as_ref().is_none_or(|old| {
        old.state != record.state
            || old.address != record.address
            || old.started_at_ms != record.started_at_ms
    });
    if changed {
        log::info!(
            "servers: {} server={} service={} failure_domain={} address={} cold_ms={} sequence={}",
            if record.state == ServerState::Draining { "draining;" } else { "ready;" },
            record.name,
            record.service,
            record.failure_domain,
            record.address,
            record.cold_remaining_ms,
            record.sequence
        );
    }
    fleet.announce(record, now);
}

fn remove_server(core: &Core, name: &BackendServerName, reason: &str) {
    if let Some(record) = core.fleet.borrow_mut().remove(name, core.now()) {
        core.pool.close_idle(record.address);
        log::info!("servers: gone; server={name} service={} reason={reason}", record.service);
    }
}

fn apply_operator(core: &Core, rows: &[Row]) {
    let mut evacuated = core.fleet.borrow().evacuated().clone();
    for row in rows {
        if row.key == store::CONFIG_KEY {
            if let Some(value) = &row.value {
                apply_config(core, value);
            }
        } else if let Some(domain) = store::evacuated_failure_domain(&row.key) {
            let Ok(domain) = domain.parse() else { continue };
            let changed = match &row.value {
                Some(_) => evacuated.insert(domain),
                None => evacuated.remove(&domain),
            };
            if changed {
                log::info!("evacuation: changed; key={} version={}", row.key, row.version);
            }
        }
    }
    if *core.fleet.borrow().evacuated() != evacuated {
        let plan = core.plan();
        let cold_start_ms = |service: &_| {
            plan.as_ref().and_then(|p| p.services.get(service)).map_or(0, |s| s.cold_start_ms)
        };
        core.fleet.borrow_mut().set_evacuated(evacuated, cold_start_ms, core.now());
    }
}

fn apply_config(core: &Core, value: &[u8]) {
    match config::decode(value) {
        Ok(plan) if plan.version > core.plan_version() => {
            log::info!(
                "config: in force; version={} before={} hosts={} services={} workspaces={} keys={}",
                plan.version,
                core.plan_version(),
                plan.hosts.len(),
                plan.services.len(),
                plan.workspaces.len(),
                plan.workspaces.key_count()
            );
            let shared = plan.workspaces.shared_key_count();
            if shared > 0 {
                log::warn!("config: keys of several workspaces; count={shared}");
            }
            core.metrics.retain_workspaces(|name| {
                plan.workspaces.iter().any(|workspace| workspace.name.as_str() == name)
            });
            prune_unused(core, &plan);
            *core.plan.borrow_mut() = Some(Rc::new(plan));
        }
        Ok(_) => {}
        Err(e) => log::error!("config: refused; error={:?}", e.to_string()),
    }
}

/// Removes the estimates, retry budgets and traffic splits of routes and services that `plan` no
/// longer has.
fn prune_unused(core: &Core, plan: &RoutePlan) {
    let routes = plan.hosts.values().flatten();
    let estimate_keys: BTreeSet<u64> = routes
        .flat_map(|r| r.destinations.iter().map(|d| keys::estimate_key(&r.name, &d.service)))
        .collect();
    core.fleet.borrow_mut().run_times.retain(|estimate_key| estimate_keys.contains(&estimate_key));
    core.retry_budgets.borrow_mut().retain(|service, _| plan.services.contains_key(service));
    core.weighted_splits.borrow_mut().clear();
}

fn apply_instances(core: &Core, rows: &[Row]) {
    let now = core.now();
    let mut members = core.members.borrow_mut();
    for row in rows {
        // Heartbeats of a live instance are newer than a copied row, which may be of an earlier run.
        let is_copied = core.tables.borrow().instances.is_copied(row.version);
        if is_copied && row.key.parse().is_ok_and(|name| members.is_live(&name, now)) {
            continue;
        }
        let record = row.value.as_deref().map(serde_json::from_slice::<MemberRecord>);
        match record {
            Some(Ok(record)) => members.record_announcement(record, now),
            Some(Err(e)) => {
                log::warn!("members: invalid record; key={:?} error={e}", row.key);
            }
            None => {
                if let Ok(name) = row.key.parse() {
                    members.remove(&name, now);
                }
            }
        }
    }
}
