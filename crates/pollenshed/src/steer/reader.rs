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
use pollenshed_platform::store::{self, Row, Rows, StoreVersion};
use pollenshed_state::time::Instant;
use pollenshed_transport::call::Caller;

use super::{apply, core::Core, tables::Table};

/// Time that the store waits for a change of what operators set. A connection that went silent is
/// noticed after it, so it stays below the bounds for changes.
const OPERATOR_WAIT_MS: u64 = 1_000;

/// Time that the store waits for a change of the instances. Heartbeats tell the same sooner, except of
/// instances that nobody knows yet.
const INSTANCES_WAIT_MS: u64 = 3_000;

/// Longest time for an answer beyond the time that the store waits.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

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
pub(super) const RETRY_PAUSE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));

/// Pause between two looks whether this instance has to read the store.
const IDLE_PAUSE: Duration = Duration::from_millis(150);

/// Time after the return of the store in which backend servers whose announcement had lapsed
/// announce themselves again: about two seconds on the users' platform, and a margin for the clock.
const LAPSED_MS: u64 = 2_200;

/// Follows a table until the process ends.
pub async fn follow(core: Rc<Core>, table: Table) {
    let mut follower = Follower {
        caller: Caller::new(core.settings.store_address),
        table,
        lost_at: None,
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
                follower.core.store_answered();
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
            200 => {
                store::decode_rows(&body).map(Some).ok_or_else(|| "unreadable answer".to_owned())
            }
            store::HISTORY_GONE => Ok(None),
            other => Err(format!("status {other}")),
        }
    }

    fn lost(&mut self, error: &str) {
        self.core.store_failed();
        // Peers that wait here for changes look whether this instance is still current.
        self.core.changed.send_modify(|count| *count += 1);
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
        let lapsed = self.table == Table::Servers && self.may_have_lapsed();
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
        apply::take(&self.core, self.table, taken);
    }

    /// Keeps peers from taking a version as known whose removals are still held back here.
    fn note_held(&self) {
        let held_from = self.missing.values().map(|row| row.version).min();
        self.core.tables.borrow_mut().get_mut(self.table).held_from = held_from;
    }

    /// Returns whether the store was away so lately that announcements may have lapsed meanwhile.
    /// They have not if it is known to have answered some instance all the time, this one or a peer.
    fn may_have_lapsed(&self) -> bool {
        self.core.store_answered_ms() < LAPSED_MS
    }

    fn remove_missing(&mut self) {
        if !self.missing.is_empty() && !self.may_have_lapsed() {
            let missing = std::mem::take(&mut self.missing).into_values().collect();
            self.note_held();
            apply::take(&self.core, self.table, missing);
        }
    }
}
