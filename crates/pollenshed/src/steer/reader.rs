//! Follows the tables of the platform's store.
//!
//! Each table is read whole once and then followed by its changes. A store that does not answer
//! changes nothing: what was read stays in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use pollenshed_platform::{
    config, servers,
    store::{self, Row, Rows, StoreVersion},
};
use pollenshed_state::{
    ids::BackendServerName,
    routes::{RoutePlan, ServerState},
    time::Instant,
};
use pollenshed_transport::call::Caller;

use super::{
    core::Core,
    keys,
    members::{GONE_MS, MemberRecord},
};

/// Table of the instances.
pub const INSTANCES_TABLE: &str = "instances";

/// Time that the store waits for a change of what operators set. A connection that went silent is
/// noticed after it, so it stays below the bounds for changes.
const OPERATOR_WAIT_MS: u64 = 1_000;

/// Time that the store waits for a change of the instances. Heartbeats tell the same sooner, except of
/// instances that nobody knows yet.
const INSTANCES_WAIT_MS: u64 = 3_000;

/// Longest time for an answer beyond the time that the store waits.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest time for an answer for which the store does not wait. These calls show that a store does
/// not answer; with [`MAX_SERVERS_PERIOD_MS`] and the way to peers it stays below the 2 s in which a
/// configuration is in force. A store that is 90 times slower than usual answers in 0.5 s.
const PROMPT_ANSWER_TIMEOUT: Duration = Duration::from_millis(650);

/// Longest pause between two reads of the backend servers, which change all the time.
const MAX_SERVERS_PERIOD_MS: u64 = 800;

/// Part of the bound for leaving servers that may pass between two reads. The rest is for one call
/// that fails and for peers that follow.
const SERVERS_PERIOD_PART: f64 = 0.4;

/// Pauses after a failed call; they double up to the longest.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Pause between two looks whether this instance has to read the store.
const IDLE_PAUSE: Duration = Duration::from_millis(150);

/// Time after the return of the store in which backend servers whose announcement had lapsed
/// announce themselves again.
const LAPSED_MS: u64 = 2_200;

/// A table that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// Configuration and evacuations.
    Operator,
    /// Backend servers.
    Servers,
    /// Instances.
    Instances,
}

impl Table {
    fn name(self) -> &'static str {
        match self {
            Table::Operator => store::OPERATOR_TABLE,
            Table::Servers => store::SERVERS_TABLE,
            Table::Instances => INSTANCES_TABLE,
        }
    }
}

/// Follows a table until the process ends.
pub async fn follow(core: Rc<Core>, table: Table) {
    let mut follower = Follower {
        caller: Caller::new(core.settings.store_address),
        table,
        lost_at: None,
        regained_at: None,
        missing: BTreeMap::new(),
        core,
    };
    let mut pause = RETRY_PAUSE.0;
    let part_ms = follower.core.bounds.drain_ms as f64 * SERVERS_PERIOD_PART;
    let servers_period = Duration::from_millis(MAX_SERVERS_PERIOD_MS.min(part_ms as u64));
    loop {
        if !follower.core.needs_store() {
            follower.remove_missing();
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        let start = tokio::time::Instant::now();
        match follower.step().await {
            Ok(()) => {
                pause = RETRY_PAUSE.0;
                follower.core.store_answered_at.set(Some(follower.core.now()));
                follower.regained();
                if table == Table::Servers {
                    follower.remove_missing();
                    tokio::time::sleep_until(start + servers_period).await;
                }
            }
            Err(error) => {
                follower.lost(&error);
                tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                pause = (pause * 2).min(RETRY_PAUSE.1);
            }
        }
    }
}

struct Follower {
    core: Rc<Core>,
    caller: Caller,
    table: Table,
    lost_at: Option<Instant>,
    regained_at: Option<Instant>,
    /// Removed announcements that may have lapsed while the store was away.
    missing: BTreeMap<String, Row>,
}

impl Follower {
    async fn step(&mut self) -> Result<(), String> {
        let version = self.core.tables.borrow().get(self.table).version;
        match version {
            None => self.read_all().await,
            Some(after) => self.read_changes(after).await,
        }
    }

    async fn read_all(&mut self) -> Result<(), String> {
        let mut rows = Vec::new();
        let mut first_version = None;
        loop {
            let from = rows.last().map(|row: &Row| format!("{}\0", row.key));
            let target = store::read_target(self.table.name(), from.as_deref());
            let page = self.get(&target, 0).await?.ok_or("no history in a whole read")?;
            // Changes between two pages are read again from the version of the first one.
            first_version.get_or_insert(page.version);
            rows.extend(page.rows);
            if !page.has_more {
                break;
            }
        }
        self.take_all(rows);
        self.set_version(first_version);
        Ok(())
    }

    async fn read_changes(&mut self, after: StoreVersion) -> Result<(), String> {
        let wait_ms = match self.table {
            Table::Operator => OPERATOR_WAIT_MS,
            Table::Servers => 0,
            Table::Instances => INSTANCES_WAIT_MS,
        };
        let target = store::feed_target(self.table.name(), after, wait_ms);
        match self.get(&target, wait_ms).await? {
            Some(changes) => {
                self.take(changes.rows);
                self.set_version(Some(changes.version.max(after)));
            }
            None => {
                log::info!("store: history is gone, reading again; table={}", self.table.name());
                self.set_version(None);
            }
        }
        Ok(())
    }

    fn set_version(&self, version: Option<StoreVersion>) {
        self.core.tables.borrow_mut().get_mut(self.table).version = version;
    }

    /// Returns the rows of an answer, or `None` if the history is gone.
    async fn get(&mut self, target: &str, wait_ms: u64) -> Result<Option<Rows>, String> {
        let limit = match (self.table, wait_ms) {
            (Table::Servers, 0) => PROMPT_ANSWER_TIMEOUT,
            _ => ANSWER_TIMEOUT + Duration::from_millis(wait_ms),
        };
        let answer = self.caller.call(Method::GET, target, Bytes::new(), limit).await;
        let succeeded = answer.as_ref().is_ok_and(|(status, _)| status.is_success());
        self.core.metrics.store_call(self.table.name(), succeeded);
        let (status, body) = answer.map_err(|e| e.to_string())?;
        match status.as_u16() {
            200 => store::rows(&body).map(Some).ok_or_else(|| "unreadable answer".to_owned()),
            store::HISTORY_GONE => Ok(None),
            other => Err(format!("status {other}")),
        }
    }

    fn lost(&mut self, error: &str) {
        self.core.store_failed_at.set(Some(self.core.now()));
        if self.lost_at.is_none() {
            self.lost_at = Some(self.core.now());
            let version = self.core.tables.borrow().get(self.table).version.unwrap_or(0);
            log::warn!(
                "store: lost; table={} version={version} error={error:?}",
                self.table.name()
            );
        }
    }

    fn regained(&mut self) {
        let now = self.core.now();
        if let Some(at) = self.lost_at.take() {
            let lost_ms = now.since_ms(at);
            self.regained_at = Some(now);
            log::info!("store: regained; table={} lost_ms={lost_ms}", self.table.name());
        }
    }

    /// Takes a whole table: what is not in it was removed.
    fn take_all(&mut self, mut rows: Vec<Row>) {
        let known: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        let gone: Vec<Row> = {
            let tables = self.core.tables.borrow();
            let keys = tables.get(self.table).keys().filter(|key| !known.contains(key.as_str()));
            keys.map(|key| Row { key: key.clone(), value: None, version: newest }).collect()
        };
        rows.extend(gone);
        self.take(rows);
    }

    fn take(&mut self, rows: Vec<Row>) {
        let lapsed = self.table == Table::Servers && self.may_have_lapsed(self.core.now());
        let mut taken = Vec::with_capacity(rows.len());
        // An answer can hold the removal of a row and its return, in this order.
        for row in rows {
            if lapsed && row.value.is_none() {
                // Announcements that lapsed while the store was away come back soon.
                self.missing.insert(row.key.clone(), row);
            } else {
                self.missing.remove(&row.key);
                taken.push(row);
            }
        }
        self.note_held();
        take(&self.core, self.table, taken);
    }

    /// Keeps peers from taking a version as known whose removals are still held back here.
    fn note_held(&self) {
        let held_from = self.missing.values().map(|row| row.version).min();
        self.core.tables.borrow_mut().get_mut(self.table).held_from = held_from;
    }

    /// Returns whether the store was away so lately that announcements may have lapsed meanwhile.
    /// They have not if it served a peer all the time.
    fn may_have_lapsed(&self, now: Instant) -> bool {
        let is_late = self.lost_at.is_some()
            || self.regained_at.is_some_and(|at| now.since_ms(at) < LAPSED_MS);
        is_late && !self.core.members.borrow().any_steady(now)
    }

    fn remove_missing(&mut self) {
        if !self.missing.is_empty() && !self.may_have_lapsed(self.core.now()) {
            let missing = std::mem::take(&mut self.missing).into_values().collect();
            self.note_held();
            take(&self.core, self.table, missing);
        }
    }
}

/// Takes rows of a table into this instance's view of it and applies what is new.
fn take(core: &Rc<Core>, table: Table, rows: Vec<Row>) {
    let rows = core.tables.borrow_mut().get_mut(table).take(table, rows);
    if rows.is_empty() {
        return;
    }
    match table {
        Table::Operator => apply_operator(core, &rows),
        Table::Servers => apply_servers(core, &rows),
        Table::Instances => apply_instances(core, &rows),
    }
    core.changed.send_modify(|count| *count += 1);
}

/// Takes the changes of a table that a peer has read up to `version`.
pub fn take_from_peer(
    core: &Rc<Core>,
    table: Table,
    rows: Vec<Row>,
    version: Option<StoreVersion>,
) {
    take(core, table, rows);
    let mut tables = core.tables.borrow_mut();
    let view = tables.get_mut(table);
    view.version = view.version.max(version);
}

fn apply_servers(core: &Core, rows: &[Row]) {
    let now = core.now();
    for row in rows {
        let Ok(name) = row.key.parse::<BackendServerName>() else {
            log::warn!("servers: unusable name; key={:?}", row.key);
            continue;
        };
        match row.value.as_deref().map(|value| servers::decode(&row.key, value)) {
            Some(Some(record)) => announce(core, record, now),
            Some(None) => {
                log::warn!("servers: unreadable announcement; server={name}");
                remove(core, &name, "unreadable");
            }
            None => remove(core, &name, "removed"),
        }
    }
}

fn announce(core: &Core, record: pollenshed_state::routes::ServerRecord, now: Instant) {
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

fn remove(core: &Core, name: &BackendServerName, reason: &str) {
    if let Some(record) = core.fleet.borrow_mut().remove(name) {
        core.pool.forget(record.address);
        log::info!("servers: gone; server={name} service={} reason={reason}", record.service);
    }
}

fn apply_operator(core: &Core, rows: &[Row]) {
    let mut evacuated = core.fleet.borrow().evacuated().clone();
    for row in rows {
        if row.key == store::CONFIG_KEY {
            if let Some(value) = &row.value {
                take_config(core, value);
            }
        } else if let Some(domain) = store::evacuated(&row.key) {
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

fn take_config(core: &Core, value: &[u8]) {
    match config::decode(value) {
        Ok(plan) if plan.version > core.plan_version() => {
            log::info!(
                "config: in force; version={} before={} hosts={} services={}",
                plan.version,
                core.plan_version(),
                plan.hosts.len(),
                plan.services.len()
            );
            forget_unused(core, &plan);
            *core.plan.borrow_mut() = Some(Rc::new(plan));
        }
        Ok(_) => {}
        Err(e) => log::error!("config: refused; error={:?}", e.to_string()),
    }
}

/// Forgets what belongs to routes and services that are not in `plan`, as they come and go.
fn forget_unused(core: &Core, plan: &RoutePlan) {
    let routes = plan.hosts.values().flatten();
    let works: BTreeSet<u64> = routes
        .flat_map(|r| r.destinations.iter().map(|d| keys::work(&r.name, &d.service)))
        .collect();
    core.fleet.borrow_mut().run_times.retain(|work| works.contains(&work));
    core.budgets.borrow_mut().retain(|service, _| plan.services.contains_key(service));
    core.splits.borrow_mut().clear();
}

fn apply_instances(core: &Core, rows: &[Row]) {
    let now = core.now();
    let mut members = core.members.borrow_mut();
    for row in rows {
        let record = row.value.as_deref().map(serde_json::from_slice::<MemberRecord>);
        match record {
            Some(Ok(record)) => members.announce(record, now),
            Some(Err(e)) => {
                log::warn!("members: unreadable entry; key={:?} error={e}", row.key);
            }
            None => {
                if let Ok(name) = row.key.parse() {
                    members.remove(&name, now);
                }
            }
        }
    }
}

/// Returns the announcement of this instance.
pub fn own_record(core: &Core) -> MemberRecord {
    MemberRecord {
        instance: core.settings.instance.clone(),
        incarnation: core.incarnation,
        failure_domain: core.settings.failure_domain.clone(),
        callers_address: core.settings.callers_address,
        peer_address: core.settings.peer_address(),
    }
}

/// Enters this instance into the store, with as many tries as it takes.
pub async fn register(core: Rc<Core>) {
    let mut caller = Caller::new(core.settings.store_address);
    let record = serde_json::to_vec(&own_record(&core)).expect("a record is always JSON");
    let key = core.settings.instance.to_string();
    let mut pause = RETRY_PAUSE.0;
    loop {
        let body = store::write_body(INSTANCES_TABLE, &key, &record);
        match caller.call(Method::POST, store::WRITE_TARGET, body, ANSWER_TIMEOUT).await {
            Ok((status, _)) if status.is_success() => {
                log::info!("members: registered; instance={key}");
                return;
            }
            Ok((status, _)) => log::debug!("members: not registered; status={status}"),
            Err(e) => log::debug!("members: not registered; error={e}"),
        }
        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(RETRY_PAUSE.1);
    }
}

/// Removes the entry of this instance at a planned stop. It is tried once, since peers remove it
/// otherwise.
pub async fn unregister(core: &Core) {
    let mut caller = Caller::new(core.settings.store_address);
    let key = core.settings.instance.to_string();
    remove_entry(&mut caller, &key).await;
}

async fn remove_entry(caller: &mut Caller, key: &str) {
    let target = store::read_target(INSTANCES_TABLE, Some(key));
    let Ok((_, body)) = caller.call(Method::GET, &target, Bytes::new(), ANSWER_TIMEOUT).await
    else {
        return;
    };
    let rows = store::rows(&body).unwrap_or_default().rows;
    let Some(row) = rows.into_iter().find(|row| row.key == key) else { return };
    let body = store::remove_body(INSTANCES_TABLE, key, row.version);
    if let Err(e) = caller.call(Method::POST, store::WRITE_TARGET, body, ANSWER_TIMEOUT).await {
        log::debug!("members: entry not removed; key={key} error={e}");
    }
}

/// Removes entries of instances that have been silent for long. One instance does so, so that the
/// store is not called by all of them.
pub async fn remove_silent(core: Rc<Core>) {
    let period = Duration::from_millis(GONE_MS / 4);
    let mut caller = Caller::new(core.settings.store_address);
    loop {
        tokio::time::sleep(period).await;
        let now = core.now();
        let silent: Vec<String> = {
            let members = core.members.borrow();
            let first = members
                .peers()
                .filter(|m| m.is_live(now))
                .all(|m| m.record.instance > core.settings.instance);
            let is_gone = |at: Instant| now.since_ms(at) >= GONE_MS;
            let gone = members.peers().filter(|m| is_gone(m.heard_at.unwrap_or(m.known_at)));
            if first { gone.map(|m| m.record.instance.to_string()).collect() } else { Vec::new() }
        };
        for key in silent {
            log::info!("members: removing the entry of a silent instance; instance={key}");
            remove_entry(&mut caller, &key).await;
        }
    }
}
