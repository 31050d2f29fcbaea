//! Local copies of the store's tables, from which peers are served.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use pollenshed_platform::{
    config, servers,
    store::{self, Row, StoreVersion},
};
use pollenshed_state::{
    routes::{ServerRecord, ServerState},
    time::Instant,
};

/// Table in which the instances register.
pub const INSTANCES_TABLE: &str = "instances";

/// Maximum number of tombstones, which peers need to learn of removals. With more, all are dropped,
/// and peers that may have missed one get the whole table.
const MAX_TOMBSTONES: usize = 4_096;

/// Maximum number of gaps in what is known of removals. With more, the oldest is forgotten, and peers
/// that know the table only up to a version before its end get the whole table. A store that forgets
/// its history several times in a row leaves one gap each time.
const MAX_REMOVAL_GAPS: usize = 8;

/// Time after the latest known announcement of a server within which an earlier one is late. Beyond
/// it, the known one is taken for a mistake: a server that lives announces itself all the time, and
/// a start time or sequence number that was too high must not lose it for good.
const MAX_LATE_MS: u64 = 20_000;

/// A table that instances follow.
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
    /// All tables.
    pub const ALL: [Table; 3] = [Table::Operator, Table::Servers, Table::Instances];

    /// Returns the name of the table in the store.
    pub fn name(self) -> &'static str {
        match self {
            Table::Operator => store::OPERATOR_TABLE,
            Table::Servers => store::SERVERS_TABLE,
            Table::Instances => INSTANCES_TABLE,
        }
    }
}

/// Position of a row in the order in which its writer wrote it. The store may perform the writes in
/// another order: a call that got no answer may still be performed after later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteOrder {
    /// Start time of the writer in milliseconds of its own clock, 0 for a writer whose numbers go on
    /// over its restarts.
    pub started_at_ms: u64,
    /// Number of the write.
    pub sequence: u64,
}

impl WriteOrder {
    /// Returns the position of a server's announcement, or `None` if it does not tell its run. The
    /// sequence numbers of different runs can't be compared.
    fn of_server(record: &ServerRecord) -> Option<WriteOrder> {
        let ServerRecord { started_at_ms, sequence, .. } = *record;
        (started_at_ms > 0).then_some(WriteOrder { started_at_ms, sequence })
    }

    fn has_no_restarts(self) -> bool {
        self.started_at_ms == 0
    }

    /// Returns the position of a row, or `None` if nothing in it tells the order.
    pub fn of_row(table: Table, row: &Row) -> Option<WriteOrder> {
        match table {
            Table::Servers => WriteOrder::of_server(&server_record(table, row)?),
            Table::Operator if row.key == store::CONFIG_KEY => {
                let sequence = config::decode(row.value.as_deref()?).ok()?.version.0;
                Some(WriteOrder { started_at_ms: 0, sequence })
            }
            Table::Operator | Table::Instances => None,
        }
    }
}

/// Returns the announcement in a row of the backend servers' table.
fn server_record(table: Table, row: &Row) -> Option<ServerRecord> {
    let value = row.value.as_deref().filter(|_| table == Table::Servers)?;
    servers::decode(&row.key, value)
}

/// Two versions of a table that are known completely, while what happened between them is not: the
/// store had forgotten it. Removals of rows that existed at the first one are known, those of rows
/// that were written in between are not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemovalGap {
    /// Version up to which all changes were known.
    pub start: StoreVersion,
    /// Version at which the table was read as a whole, of the same era.
    pub end: StoreVersion,
}

/// What a peer knows of a table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Version up to which it knows every change.
    pub complete: StoreVersion,
    /// Highest version of a row that it knows. It is later than `complete` while something is held
    /// back.
    pub highest: StoreVersion,
}

impl KnownVersions {
    /// Returns the knowledge of a peer that knows every change up to a version and nothing later.
    pub fn up_to(complete: StoreVersion) -> KnownVersions {
        KnownVersions { complete, highest: complete }
    }
}

/// What is known of a row.
#[derive(Debug)]
struct KnownRow {
    version: StoreVersion,
    /// `None` if the row was removed.
    value: Option<Bytes>,
    /// Latest known write, also if it changed nothing else or the row was removed since.
    written: Option<WriteOrder>,
    /// When that write became known.
    written_at: Instant,
}

/// Local copy of one table.
#[derive(Debug, Default)]
pub struct TableView {
    rows: BTreeMap<String, KnownRow>,
    tombstones: usize,
    /// Version since which every removal is known but those of `removal_gaps`: that of the first read
    /// of the whole table, which shows no earlier removals, or of the last tombstone that was
    /// dropped. Peers that know the table only up to an earlier version need the whole of it, as
    /// they would never learn of a removal before it otherwise.
    removals_known_since: StoreVersion,
    /// Gaps in this knowledge, the oldest first.
    removal_gaps: Vec<RemovalGap>,
    /// Version up to which the table is known. `None` until it was read completely.
    pub version: Option<StoreVersion>,
    /// Version up to which rows of the store's era may come from the copy that the store was
    /// restored from. Later ones have been written since.
    pub copied_up_to: StoreVersion,
    /// Version of the first removal that is held back because the row may return.
    pub first_held_removal: Option<StoreVersion>,
    /// Rows that may come from a copy taken before their known removal, or may be newer than it.
    /// Their writer removes them again soon in the first case only.
    held_rows: BTreeMap<String, Row>,
}

impl TableView {
    /// Merges rows into the table and returns those that change anything. Backend servers renew
    /// their records all the time, mostly without a change.
    pub fn merge(&mut self, table: Table, rows: Vec<Row>, now: Instant) -> Vec<Row> {
        rows.into_iter().filter(|row| self.merge_row(table, row, now)).collect()
    }

    fn merge_row(&mut self, table: Table, row: &Row, now: Instant) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version > row.version) {
            return false;
        }
        // Nearly all rows are announcements that change nothing, so each is decoded only once.
        let record = server_record(table, row);
        let written = match &record {
            Some(record) => WriteOrder::of_server(record),
            None => WriteOrder::of_row(table, row),
        };
        if self.is_outdated(&row.key, written, now) {
            // Copies of a restored store and whole tables of peers hold many early rows that change
            // nothing.
            if known.is_some_and(|known| would_change(table, row, known, record.as_ref())) {
                log::info!(
                    "store: late write ignored; table={} key={} version={}",
                    table.name(),
                    row.key,
                    row.version
                );
            }
            return false;
        }
        if self.held_rows.get(&row.key).is_some_and(|held| held.version <= row.version) {
            self.held_rows.remove(&row.key);
        }
        let is_copied = self.is_copied(row.version);
        if let (true, Some(known), Some(new)) = (is_copied, known, &row.value)
            && known.version.era < row.version.era
        {
            let action = copied_row_action(table, row, new, known);
            if action != CopiedRowAction::Apply {
                let is_held = action == CopiedRowAction::Hold;
                log::info!(
                    "store: copied row set aside; table={} key={} version={} known={} held={is_held}",
                    table.name(),
                    row.key,
                    row.version,
                    known.version
                );
                if is_held {
                    self.held_rows.insert(row.key.clone(), row.clone());
                }
                return false;
            }
        }
        let is_new = known.is_none_or(|known| would_change(table, row, known, record.as_ref()));
        // Peers that know more than the copy accept the row only with a later version.
        let is_confirmed = !is_copied
            && known.is_some_and(|known| {
                known.version.era < row.version.era || self.is_copied(known.version)
            });
        if is_new || is_confirmed {
            self.insert(row);
        }
        self.record_written(&row.key, written, now);
        is_new
    }

    fn insert(&mut self, row: &Row) {
        let known = self.rows.get(&row.key);
        let was_removed = known.is_some_and(|known| known.value.is_none());
        let new = KnownRow {
            version: row.version,
            value: row.value.clone(),
            written: known.and_then(|known| known.written),
            written_at: known.map(|known| known.written_at).unwrap_or_default(),
        };
        self.rows.insert(row.key.clone(), new);
        self.tombstones -= usize::from(was_removed);
        self.tombstones += usize::from(row.value.is_none());
        self.drop_tombstones();
    }

    /// Returns whether a row is late: its writer is known to have written it after `written`.
    pub fn is_outdated(&self, key: &str, written: Option<WriteOrder>, now: Instant) -> bool {
        let Some((written, known)) = written.zip(self.rows.get(key)) else { return false };
        let is_late = written.has_no_restarts() || now.since_ms(known.written_at) < MAX_LATE_MS;
        is_late && known.written.is_some_and(|known| written < known)
    }

    /// Records a write of a known row, unless it is late.
    pub fn record_written(&mut self, key: &str, written: Option<WriteOrder>, now: Instant) {
        if written.is_none() || self.is_outdated(key, written, now) {
            return;
        }
        if let Some(known) = self.rows.get_mut(key) {
            (known.written, known.written_at) = (written, now);
        }
    }

    /// Returns the latest known write of a row.
    pub fn written(&self, key: &str) -> Option<WriteOrder> {
        self.rows.get(key)?.written
    }

    /// Returns whether rows are held back.
    pub fn holds_rows(&self) -> bool {
        !self.held_rows.is_empty()
    }

    /// Puts the rows into force that are still held back, and returns them.
    pub fn release_held_rows(&mut self) -> Vec<Row> {
        let rows: Vec<Row> = std::mem::take(&mut self.held_rows).into_values().collect();
        for row in &rows {
            self.insert(row);
        }
        rows
    }

    /// Returns whether a row of this version may come from the copy that the store was restored from.
    pub fn is_copied(&self, version: StoreVersion) -> bool {
        version.era == self.copied_up_to.era && version <= self.copied_up_to
    }

    /// Records that rows up to a version may come from a copy. Of two versions of an era, the lower
    /// one is known more exactly.
    pub fn record_copy(&mut self, up_to: StoreVersion) {
        if up_to.era > self.copied_up_to.era
            || (up_to.era == self.copied_up_to.era && up_to < self.copied_up_to)
        {
            self.copied_up_to = up_to;
        }
    }

    /// Returns the rows, including tombstones, that changed after `after`.
    pub fn changes(&self, after: StoreVersion) -> Vec<Row> {
        self.rows
            .iter()
            .filter(|(_, known)| known.version > after)
            .map(|(key, known)| Row {
                key: key.clone(),
                value: known.value.clone(),
                version: known.version,
            })
            .collect()
    }

    /// Records that the table was taken over as a whole, from the store or from a peer that knows
    /// every removal since `since`.
    pub fn record_whole(&mut self, since: StoreVersion) {
        self.removals_known_since = self.removals_known_since.max(since);
        self.removal_gaps.retain(|gap| gap.end > self.removals_known_since);
    }

    /// Records that the table was read from the store as a whole, as of `version`. If it was known
    /// before, only what was written and removed again in between stays unknown, so that peers need
    /// no whole table: a large region would send as many of them at once as it has instances.
    pub fn record_read(&mut self, version: StoreVersion) {
        match self.version {
            Some(start) if start.era == version.era => {
                self.record_gaps([RemovalGap { start, end: version }]);
            }
            _ => self.record_whole(version),
        }
    }

    /// Records gaps, which may be those of the peer that told the changes.
    pub fn record_gaps(&mut self, gaps: impl IntoIterator<Item = RemovalGap>) {
        for gap in gaps {
            let is_new = gap.end > self.removals_known_since && !self.removal_gaps.contains(&gap);
            if is_new && gap.start < gap.end {
                self.removal_gaps.push(gap);
            }
        }
        self.removal_gaps.sort_unstable_by_key(|gap| gap.end);
        if let Some(forgotten) = self.removal_gaps.len().checked_sub(MAX_REMOVAL_GAPS + 1) {
            self.record_whole(self.removal_gaps[forgotten].end);
        }
    }

    /// Returns the version since which every removal is known but those of `removal_gaps`.
    pub fn removals_known_since(&self) -> StoreVersion {
        self.removals_known_since
    }

    /// Returns the gaps in what is known of removals, the oldest first.
    pub fn removal_gaps(&self) -> &[RemovalGap] {
        &self.removal_gaps
    }

    /// Returns what is known of the table. `None` until it was read completely.
    pub fn known_versions(&self) -> Option<KnownVersions> {
        let complete = self.version?;
        let rows = self.rows.values().map(|known| known.version);
        Some(KnownVersions { complete, highest: rows.fold(complete, StoreVersion::max) })
    }

    /// Returns whether a row of a peer was removed before the version up to which the table is
    /// known here. Without a tombstone, only the missing row shows it.
    pub fn lacks_removed(&self, row: &Row) -> bool {
        row.value.is_some()
            && !self.rows.contains_key(&row.key)
            && self
                .version
                .is_some_and(|known| known.era == row.version.era && row.version <= known)
    }

    /// Returns the value of a row that exists.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.rows.get(key)?.value.as_deref()
    }

    /// Returns the version of a row that exists.
    pub fn row_version(&self, key: &str) -> Option<StoreVersion> {
        self.rows.get(key).filter(|known| known.value.is_some()).map(|known| known.version)
    }

    /// Returns the version up to which peers may count the table as known.
    pub fn published_version(&self) -> Option<StoreVersion> {
        let first_held_row = self.held_rows.values().map(|row| row.version).min();
        let held = [self.first_held_removal, first_held_row].into_iter().flatten();
        Some(held.map(StoreVersion::predecessor).fold(self.version?, StoreVersion::min))
    }

    /// Returns the keys of the rows that exist.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.rows.iter().filter(|(_, known)| known.value.is_some()).map(|(key, _)| key)
    }

    /// Returns whether the changes since `known.complete` include every removal that may be published
    /// and that a peer with this knowledge has to learn of.
    pub fn knows_removals_since(&self, known: KnownVersions) -> bool {
        let KnownVersions { complete, highest } = known;
        // A peer that knows all that is published gains nothing by the whole table.
        let published = self.published_version().unwrap_or(self.removals_known_since);
        // A peer that knows no row of a gap need not learn of the removal of one.
        let is_in_gap = |gap: &RemovalGap| complete < gap.end.min(published) && highest > gap.start;
        complete >= self.removals_known_since.min(published)
            && !self.removal_gaps.iter().any(is_in_gap)
    }

    /// Returns the removals of all rows that a whole table of the store or of a peer lacks. `version`
    /// is the version up to which the table is known there; later rows stay.
    pub fn removals_for_whole_table(&self, rows: &[Row], version: StoreVersion) -> Vec<Row> {
        let present: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let known = self.rows.iter().filter(|(_, known)| known.value.is_some());
        let known = known.map(|(key, known)| (key, known.version));
        let held = self.held_rows.iter().map(|(key, row)| (key, row.version));
        known
            .chain(held)
            .filter(|(key, known)| *known <= version && !present.contains(key.as_str()))
            .map(|(key, _)| Row { key: key.clone(), value: None, version })
            .collect()
    }

    fn drop_tombstones(&mut self) {
        if self.tombstones <= MAX_TOMBSTONES {
            return;
        }
        let tombstones = self.rows.values().filter(|known| known.value.is_none());
        let newest = tombstones.map(|known| known.version).max();
        self.record_whole(newest.unwrap_or_default());
        self.rows.retain(|_, known| known.value.is_some());
        self.tombstones = 0;
    }
}

/// What happens to a row that may come from a copy if the row is known in an earlier era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopiedRowAction {
    Apply,
    /// It takes back what was written later. If it is new, its writer writes it again.
    Drop,
    /// It may take back a removal, or may be new and is not written again then.
    Hold,
}

/// Returns what happens to a row with the value `copied`.
fn copied_row_action(table: Table, row: &Row, copied: &[u8], known: &KnownRow) -> CopiedRowAction {
    let takes_back = match (table, known.value.as_deref()) {
        (Table::Servers, None) => true,
        (Table::Servers, Some(old)) => {
            match (servers::decode(&row.key, old), servers::decode(&row.key, copied)) {
                (Some(old), Some(copied)) => {
                    copied.started_at_ms < old.started_at_ms
                        || (copied.started_at_ms == old.started_at_ms
                            && (old.state, copied.state)
                                == (ServerState::Draining, ServerState::Ready))
                }
                _ => false,
            }
        }
        (Table::Operator, Some(old)) if row.key == store::CONFIG_KEY => {
            config::decode(old).is_ok() && config::decode(copied).is_err()
        }
        // The copy keeps the numbers, so a higher one is that of a later write.
        (Table::Operator, None) if row.version.number <= known.version.number => {
            return CopiedRowAction::Hold;
        }
        (Table::Operator | Table::Instances, _) => false,
    };
    if takes_back { CopiedRowAction::Drop } else { CopiedRowAction::Apply }
}

/// Returns whether a row differs from what is known of it in more than its version. `record` is the
/// announcement in a row of the backend servers' table.
fn would_change(table: Table, row: &Row, known: &KnownRow, record: Option<&ServerRecord>) -> bool {
    let (Some(new), Some(old)) = (&row.value, &known.value) else {
        return row.value.is_some() || known.value.is_some();
    };
    if new == old || table != Table::Servers {
        return new != old;
    }
    match (servers::decode(&row.key, old), record) {
        (Some(mut old), Some(new)) => {
            old.sequence = new.sequence;
            old != *new || new.cold_remaining_ms != 0
        }
        (old, new) => old.is_some() || new.is_some(),
    }
}

/// Local copies of all tables that instances follow.
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
    /// Returns the copy of a table.
    pub fn get(&self, table: Table) -> &TableView {
        match table {
            Table::Operator => &self.operator,
            Table::Servers => &self.servers,
            Table::Instances => &self.instances,
        }
    }

    /// Returns the copy of a table for changes.
    pub fn get_mut(&mut self, table: Table) -> &mut TableView {
        match table {
            Table::Operator => &mut self.operator,
            Table::Servers => &mut self.servers,
            Table::Instances => &mut self.instances,
        }
    }
}
