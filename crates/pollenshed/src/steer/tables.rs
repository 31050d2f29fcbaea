//! The tables of the store as far as this instance knows them, in the form that peers get.

use std::collections::BTreeMap;

use bytes::Bytes;
use pollenshed_platform::{
    servers,
    store::{self, Row, StoreVersion},
};

/// Table of the instances.
pub const INSTANCES_TABLE: &str = "instances";

/// Removed rows that are kept for peers. A peer that is further behind gets the whole table.
const MAX_REMOVED: usize = 4_096;

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
    /// Returns the name of the table in the store.
    pub fn name(self) -> &'static str {
        match self {
            Table::Operator => store::OPERATOR_TABLE,
            Table::Servers => store::SERVERS_TABLE,
            Table::Instances => INSTANCES_TABLE,
        }
    }
}

/// One table.
#[derive(Debug, Default)]
pub struct TableView {
    rows: BTreeMap<String, (StoreVersion, Option<Bytes>)>,
    removed: usize,
    /// Version up to which the table is known; `None` before the first whole read.
    pub version: Option<StoreVersion>,
    /// Version of the first removal that is held back, as its row may come back.
    pub held_from: Option<StoreVersion>,
}

impl TableView {
    /// Takes rows and returns those that tell something new. Backend servers announce themselves
    /// all the time, and most announcements repeat the one before.
    pub fn take(&mut self, table: Table, rows: Vec<Row>) -> Vec<Row> {
        rows.into_iter().filter(|row| self.take_row(table, row)).collect()
    }

    fn take_row(&mut self, table: Table, row: &Row) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|(version, _)| *version > row.version) {
            return false;
        }
        let old = known.and_then(|(_, value)| value.as_deref());
        let is_new = match (&row.value, old) {
            (None, old) => old.is_some() || known.is_none(),
            (Some(new), Some(old)) => !says_the_same(table, &row.key, old, new),
            (Some(_), None) => true,
        };
        if is_new {
            let was_removed = known.is_some_and(|(_, value)| value.is_none());
            self.removed -= usize::from(was_removed);
            self.removed += usize::from(row.value.is_none());
            self.rows.insert(row.key.clone(), (row.version, row.value.clone()));
            self.forget_removed();
        }
        is_new
    }

    /// Returns the rows that changed after `after`.
    pub fn changes(&self, after: StoreVersion) -> Vec<Row> {
        self.rows
            .iter()
            .filter(|(_, (version, _))| *version > after)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect()
    }

    /// Returns the version up to which peers may take the table as known.
    pub fn published_version(&self) -> Option<StoreVersion> {
        let version = self.version?;
        Some(self.held_from.map_or(version, |held| version.min(held.saturating_sub(1))))
    }

    /// Returns the keys of the rows that are not removed.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.rows.iter().filter(|(_, (_, value))| value.is_some()).map(|(key, _)| key)
    }

    fn forget_removed(&mut self) {
        if self.removed > MAX_REMOVED {
            self.rows.retain(|_, (_, value)| value.is_some());
            self.removed = 0;
        }
    }
}

fn says_the_same(table: Table, key: &str, old: &[u8], new: &[u8]) -> bool {
    if old == new {
        return true;
    }
    if table != Table::Servers {
        return false;
    }
    match (servers::decode(key, old), servers::decode(key, new)) {
        (Some(mut old), Some(new)) => {
            old.sequence = new.sequence;
            old == new && new.cold_remaining_ms == 0
        }
        (None, None) => true,
        _ => false,
    }
}

/// All tables that are followed.
#[derive(Debug, Default)]
pub struct Tables {
    /// Configuration and evacuations.
    pub operator: TableView,
    /// Backend servers.
    pub servers: TableView,
    /// Instances.
    pub instances: TableView,
}

impl Tables {
    /// Returns a table.
    pub fn get(&self, table: Table) -> &TableView {
        match table {
            Table::Operator => &self.operator,
            Table::Servers => &self.servers,
            Table::Instances => &self.instances,
        }
    }

    /// Returns a table to change it.
    pub fn get_mut(&mut self, table: Table) -> &mut TableView {
        match table {
            Table::Operator => &mut self.operator,
            Table::Servers => &mut self.servers,
            Table::Instances => &mut self.instances,
        }
    }
}
