//! Keeps the rows by which instances find each other in the store.
//!
//! The reader of a region writes and removes the rows of all instances of its region in one
//! transaction, so that the number of store calls does not grow with the instances. An instance
//! that no reader registers does it itself. See docs/platform.md, "Where state lives".

use std::{rc::Rc, time::Duration};

use http::Method;
use pollenshed_platform::store::{self, StoreVersion};
use pollenshed_state::time::Instant;
use pollenshed_transport::call::HttpClient;

use super::{
    core::Core,
    members::{Member, MemberRecord},
    reader::RESPONSE_TIMEOUT,
    tables::INSTANCES_TABLE,
};

/// Interval at which a reader compares the rows of its region with the live instances.
const UPDATE_INTERVAL: Duration = Duration::from_millis(700);

/// Age at which an instance without a row registers itself. A reader registers it sooner.
const SELF_REGISTRATION_AGE_MS: u64 = 4_000;

/// Silence after which the row of an instance is removed.
const ROW_REMOVAL_SILENCE_MS: u64 = 20_000;

/// Silence after which the row of an instance in a planned stop is removed. It is long enough for a
/// restart, which needs the row again.
const LEAVING_ROW_REMOVAL_SILENCE_MS: u64 = 6_000;

/// Returns the record with which this instance registers.
pub fn own_record(core: &Core) -> MemberRecord {
    MemberRecord {
        instance: core.settings.instance.clone(),
        incarnation: core.incarnation,
        failure_domain: core.settings.failure_domain.clone(),
        callers_address: core.settings.callers_address,
        peer_address: core.settings.peer_address(),
    }
}

/// Differences between the rows in the store and the instances that are known to live.
#[derive(Debug, Default)]
struct RowChanges {
    writes: Vec<(String, Vec<u8>)>,
    removals: Vec<(String, StoreVersion)>,
}

impl RowChanges {
    fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.removals.is_empty()
    }
}

/// Keeps the rows up to date until the process ends.
pub async fn keep_rows(core: Rc<Core>) {
    let mut client = HttpClient::new(core.settings.store_address);
    loop {
        tokio::time::sleep(UPDATE_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        let changes = if core.is_region_reader() && core.store_answered_recently() {
            region_changes(&core)
        } else if core.now().as_ms() >= SELF_REGISTRATION_AGE_MS && core.store_is_healthy() {
            own_change(&core)
        } else {
            continue;
        };
        if !changes.is_empty() {
            write(&mut client, &changes).await;
        }
    }
}

async fn write(client: &mut HttpClient, changes: &RowChanges) {
    let body = store::update_rows_body(INSTANCES_TABLE, &changes.writes, &changes.removals);
    let written = changes.writes.len();
    let removed = changes.removals.len();
    match client.call(Method::POST, store::TRANSACTION_TARGET, body, RESPONSE_TIMEOUT).await {
        Ok(response) if response.status().is_success() => {
            log::info!("members: rows updated; written={written} removed={removed}");
        }
        // The next comparison finds what is still missing.
        Ok(response) => log::info!("members: rows not updated; status={}", response.status()),
        Err(e) => log::info!("members: rows not updated; error={e}"),
    }
}

fn row_value(record: &MemberRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record is always JSON")
}

/// Returns the change that registers this instance, unless it is registered or the table is not
/// known.
fn own_change(core: &Core) -> RowChanges {
    let tables = core.tables.borrow();
    let value = row_value(&own_record(core));
    let key = core.settings.instance.to_string();
    let is_missing =
        tables.instances.version.is_some() && tables.instances.value(&key) != Some(&value[..]);
    RowChanges {
        writes: if is_missing { vec![(key, value)] } else { Vec::new() },
        removals: Vec::new(),
    }
}

/// Returns the changes that bring the rows of this region up to date, at most as many as fit into a
/// transaction.
fn region_changes(core: &Core) -> RowChanges {
    let mut changes = own_change(core);
    let now = core.now();
    let members = core.members.borrow();
    let tables = core.tables.borrow();
    let regions = &core.settings.failure_domains;
    let is_near =
        |m: &&Member| regions.get(&m.record.failure_domain) == Some(core.settings.region());
    for member in members.peers().filter(is_near) {
        let key = member.record.instance.to_string();
        if member.is_live(now) && !member.leaving {
            let value = row_value(&member.record);
            if tables.instances.value(&key) != Some(&value[..]) {
                changes.writes.push((key, value));
            }
        } else if is_gone(member, now)
            && let Some(version) = tables.instances.row_version(&key)
            && version.era == core.current_era()
        {
            changes.removals.push((key, version));
        }
    }
    changes.writes.truncate(store::MAX_TRANSACTION_ROWS / 2);
    changes.removals.truncate(store::MAX_TRANSACTION_ROWS / 2);
    changes
}

fn is_gone(member: &Member, now: Instant) -> bool {
    let silence_ms = now.since_ms(member.last_heartbeat_at.unwrap_or(member.known_at));
    let limit_ms =
        if member.leaving { LEAVING_ROW_REMOVAL_SILENCE_MS } else { ROW_REMOVAL_SILENCE_MS };
    silence_ms >= limit_ms
}
