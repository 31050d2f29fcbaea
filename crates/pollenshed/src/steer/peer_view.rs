//! Distributes changes of the store's tables between instances.
//!
//! One instance of each region reads the store, and the others long-poll that instance for changes.
//! This keeps the number of store calls independent of the number of instances, and an instance
//! that the store rejects still gets what its peers know.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use pollenshed_platform::store::{Row, StoreEra, StoreVersion};
use pollenshed_transport::{call::HttpClient, forward::ResponseBody};
use prost::Message;
use tokio::time::timeout;

use super::{
    apply::{self, PeerChanges},
    core::Core,
    homes::{self, ClaimList},
    lookup::empty_response,
    tables::{KnownVersions, RemovalGap, Table, WriteOrder},
};

/// Path of the call that returns changes.
const CHANGES_PATH: &str = "/v1/changes";

/// Maximum time that a call waits for a change. The failure of a peer is noticed soon after it.
const MAX_WAIT: Duration = Duration::from_millis(600);

/// Additional time for the response. It allows for two transfers between regions.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which this instance checks whether it has to follow a peer.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum size of a request body.
const MAX_QUERY_BYTES: usize = 1024;

/// Shortest interval between two responses with all tables, which take a part of the link for some
/// time. Instances that ask sooner take another one that has the tables by then.
const SNAPSHOT_INTERVAL_MS: u64 = 60;

/// Maximum number of other instances that are named to a peer that does not get the tables here.
const MAX_OTHER_SOURCES: usize = 3;

/// Timeout of a call for all tables. It is longer than that of changes, because the response is
/// much larger.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before peers are asked for all tables again.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Size from which on a response is compressed.
const MIN_COMPRESSED_BYTES: usize = 1_024;

/// Maximum size of a response before compression.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Request for the changes since the versions that the sender knows.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct ChangesQuery {
    #[prost(uint64, optional, tag = "1")]
    operator: Option<u64>,
    #[prost(uint64, optional, tag = "2")]
    servers: Option<u64>,
    #[prost(uint64, optional, tag = "3")]
    instances: Option<u64>,
    /// Whether the response has to include the homes of all objects.
    #[prost(bool, tag = "4")]
    homes: bool,
    /// Eras of the versions, 0 for instances that know none.
    #[prost(uint64, tag = "5")]
    operator_era: u64,
    #[prost(uint64, tag = "6")]
    servers_era: u64,
    #[prost(uint64, tag = "7")]
    instances_era: u64,
    /// Highest versions of rows that the sender knows, if they are later than those above and of
    /// the same era.
    #[prost(uint64, optional, tag = "8")]
    operator_highest: Option<u64>,
    #[prost(uint64, optional, tag = "9")]
    servers_highest: Option<u64>,
    #[prost(uint64, optional, tag = "10")]
    instances_highest: Option<u64>,
}

impl ChangesQuery {
    /// Returns whether the sender has no table of backend servers yet, so that the response is
    /// large.
    fn is_for_snapshot(&self) -> bool {
        self.servers.is_none()
    }

    /// Returns what the sender knows of a table.
    fn known(&self, table: Table) -> Option<KnownVersions> {
        let (number, era, highest) = match table {
            Table::Operator => (self.operator, self.operator_era, self.operator_highest),
            Table::Servers => (self.servers, self.servers_era, self.servers_highest),
            Table::Instances => (self.instances, self.instances_era, self.instances_highest),
        };
        let version = |number| StoreVersion { era: StoreEra(era), number };
        let complete = version(number?);
        Some(KnownVersions { complete, highest: highest.map_or(complete, version) })
    }
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct ChangedRow {
    #[prost(string, tag = "1")]
    key: String,
    /// `None` if the row was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    value: Option<Bytes>,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(uint64, optional, tag = "4")]
    era: Option<u64>,
    /// Latest write of a row that was removed.
    #[prost(message, optional, tag = "5")]
    written: Option<Written>,
}

/// See [`WriteOrder`].
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
struct Written {
    #[prost(uint64, tag = "1")]
    started_at_ms: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Changes {
    /// Version up to which the peer knows the table. `None` if it has not read the table yet.
    #[prost(uint64, optional, tag = "1")]
    version: Option<u64>,
    #[prost(message, repeated, tag = "2")]
    rows: Vec<ChangedRow>,
    /// The rows are the whole table: any other row was removed.
    #[prost(bool, tag = "3")]
    is_whole: bool,
    /// Era of the version.
    #[prost(uint64, optional, tag = "4")]
    era: Option<u64>,
    /// Version of this era up to which rows may come from a copy that the store was restored from.
    #[prost(uint64, optional, tag = "5")]
    copied_up_to: Option<u64>,
    /// Version since which the peer knows every removal, and its era.
    #[prost(uint64, optional, tag = "6")]
    removals_known_since: Option<u64>,
    #[prost(uint64, optional, tag = "7")]
    removals_era: Option<u64>,
    /// Gaps in what the peer knows of removals, of the era of the version. Each takes one entry of
    /// both lists.
    #[prost(uint64, repeated, tag = "8")]
    gap_starts: Vec<u64>,
    #[prost(uint64, repeated, tag = "9")]
    gap_ends: Vec<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct ChangesResponse {
    #[prost(message, optional, tag = "1")]
    operator: Option<Changes>,
    #[prost(message, optional, tag = "2")]
    servers: Option<Changes>,
    #[prost(message, optional, tag = "3")]
    instances: Option<Changes>,
    #[prost(message, optional, tag = "4")]
    homes: Option<ClaimList>,
    /// Whether the peer reads the store or follows a peer that does.
    #[prost(bool, tag = "5")]
    current: bool,
}

impl ChangesResponse {
    fn has_rows(&self) -> bool {
        let tables = [&self.operator, &self.servers, &self.instances];
        tables.into_iter().flatten().any(|changes| !changes.rows.is_empty())
    }
}

/// Answer to a peer that gets no tables now. Instances that start together know nearly only those
/// that their settings name, which can't provide all of them with the tables in time.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct OtherSources {
    /// Addresses of instances that have the tables.
    #[prost(string, repeated, tag = "1")]
    addresses: Vec<String>,
}

impl OtherSources {
    fn new(core: &Core) -> OtherSources {
        let mut sources = core.near_snapshot_sources();
        fastrand::shuffle(&mut sources);
        sources.truncate(MAX_OTHER_SOURCES);
        OtherSources { addresses: sources.iter().map(ToString::to_string).collect() }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.iter().filter_map(|address| address.parse().ok());
        addresses.take(MAX_OTHER_SOURCES).collect()
    }
}

/// Handles a peer's request for changes.
pub async fn handle(core: Rc<Core>, request: Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != CHANGES_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_QUERY_BYTES).collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let Ok(query) = ChangesQuery::decode(body.to_bytes()) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    if query.is_for_snapshot() {
        if !may_send_snapshot(&core) {
            let body = Bytes::from(OtherSources::new(&core).encode_to_vec());
            let mut response = Response::new(ResponseBody::from(body));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        core.snapshot_sent_at.set(Some(core.now()));
    } else if !query.homes || !core.has_homes.get() {
        wait_for_change(&core, &query).await;
    }
    let response = changes_response(&core, &query);
    let encoded = compress(response.encode_to_vec());
    core.metrics.record_peer_answer(response.has_rows(), encoded.len());
    Response::new(ResponseBody::from(Bytes::from(encoded)))
}

fn may_send_snapshot(core: &Core) -> bool {
    let now = core.now();
    let is_busy =
        core.snapshot_sent_at.get().is_some_and(|at| now.since_ms(at) < SNAPSHOT_INTERVAL_MS);
    !is_busy && core.tables.borrow().servers.version.is_some()
}

/// Compresses a response if it is long. The first byte tells whether it is compressed.
fn compress(response: Vec<u8>) -> Vec<u8> {
    let is_compressed = response.len() >= MIN_COMPRESSED_BYTES;
    let payload = if is_compressed { lz4_flex::compress_prepend_size(&response) } else { response };
    let mut framed = Vec::with_capacity(payload.len() + 1);
    framed.push(u8::from(is_compressed));
    framed.extend_from_slice(&payload);
    framed
}

fn decompress(framed: &Bytes) -> Result<Bytes, String> {
    match framed.split_first() {
        Some((0, _)) => Ok(framed.slice(1..)),
        Some((1, payload)) => {
            let (length, _) = lz4_flex::block::uncompressed_size(payload)
                .map_err(|e| format!("compressed response: {e}"))?;
            if length > MAX_RESPONSE_BYTES {
                return Err(format!("a response of {length} bytes is too long"));
            }
            let plain = lz4_flex::decompress_size_prepended(payload)
                .map_err(|e| format!("compressed response: {e}"))?;
            Ok(Bytes::from(plain))
        }
        _ => Err("a response of an unknown format".to_owned()),
    }
}

async fn wait_for_change(core: &Core, query: &ChangesQuery) {
    let mut changed = core.table_changes.subscribe();
    let wait = async {
        // If this instance is no longer up to date, the peer gets its response immediately and can
        // ask another one.
        while !has_changes(core, query) && core.is_current() {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // On a timeout the response is empty and the peer asks again.
    let _ = timeout(MAX_WAIT, wait).await;
}

fn has_changes(core: &Core, query: &ChangesQuery) -> bool {
    let tables = core.tables.borrow();
    Table::ALL.into_iter().any(|table| match query.known(table) {
        Some(known) => {
            let view = tables.get(table);
            !view.knows_removals_since(known) || !view.changes(known.complete).is_empty()
        }
        None => tables.get(table).version.is_some(),
    })
}

fn changes_response(core: &Core, query: &ChangesQuery) -> ChangesResponse {
    let tables = core.tables.borrow();
    let changes = |table: Table| {
        let view = tables.get(table);
        let known = query.known(table);
        let is_whole = known.is_some_and(|known| !view.knows_removals_since(known));
        let after = known.filter(|_| !is_whole).map(|known| known.complete);
        let rows = view.changes(after.unwrap_or_default()).into_iter();
        let rows = rows.map(|row| {
            let written = view.written(&row.key).filter(|_| row.value.is_none());
            let written = written
                .map(|WriteOrder { started_at_ms, sequence }| Written { started_at_ms, sequence });
            ChangedRow {
                key: row.key,
                value: row.value,
                version: row.version.number,
                era: Some(row.version.era.0),
                written,
            }
        });
        let version = view.published_version();
        let is_told = |gap: &&RemovalGap| {
            version.is_some_and(|version| version.era == gap.end.era)
                && known.is_none_or(|known| is_whole || gap.end > known.complete)
        };
        let gaps: Vec<_> = view.removal_gaps().iter().filter(is_told).collect();
        Some(Changes {
            version: version.map(|version| version.number),
            rows: rows.collect(),
            is_whole,
            era: version.map(|version| version.era.0),
            copied_up_to: version
                .filter(|version| version.era == view.copied_up_to.era)
                .map(|_| view.copied_up_to.number),
            removals_known_since: Some(view.removals_known_since().number),
            removals_era: Some(view.removals_known_since().era.0),
            gap_starts: gaps.iter().map(|gap| gap.start.number).collect(),
            gap_ends: gaps.iter().map(|gap| gap.end.number).collect(),
        })
    };
    // Until an instance has the homes that were kept, its list would pass for the whole.
    let has_homes = query.homes && core.has_homes.get();
    let homes = has_homes.then(|| ClaimList::new(&core.fleet.borrow().homes.all_claims()));
    ChangesResponse {
        operator: changes(Table::Operator),
        servers: changes(Table::Servers),
        instances: changes(Table::Instances),
        homes,
        current: core.is_current(),
    }
}

/// Fetches changes from a peer while this instance does not read the store itself, until the
/// process ends.
pub async fn follow(core: Rc<Core>) {
    let mut source: Option<(SocketAddr, HttpClient)> = None;
    // An instance that has read the homes from the store asks once all the same: those of a peer
    // are newer.
    let mut needs_homes = true;
    let mut failed = Vec::new();
    // Peers that another one has named for the tables.
    let mut named = Vec::new();
    loop {
        let now = core.now();
        let needs_tables = core.tables.borrow().servers.version.is_none();
        let candidate = if needs_tables {
            let is_possible =
                |peer: &SocketAddr| !failed.contains(peer) && *peer != core.settings.peer_address();
            std::mem::take(&mut named)
                .into_iter()
                .find(is_possible)
                .or_else(|| core.snapshot_source(&failed))
        } else {
            core.sync_source(&failed).filter(|_| {
                needs_homes || !core.is_region_reader() || !core.store_answered_recently()
            })
        };
        let Some(peer) = candidate else {
            failed.clear();
            let delay = if needs_tables { SNAPSHOT_RETRY_DELAY } else { CHECK_INTERVAL };
            tokio::time::sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
            continue;
        };
        let reuse = source.take().filter(|(address, _)| *address == peer);
        let (address, mut client) = reuse.unwrap_or_else(|| (peer, HttpClient::new(peer)));
        match fetch(&core, &mut client, needs_homes).await {
            Ok(Fetched { is_current: true, has_homes, .. }) => {
                core.peer_synced_at.set(Some(core.now()));
                needs_homes &= !has_homes;
                failed.clear();
                source = Some((address, client));
            }
            Ok(Fetched { other_sources, .. }) => {
                failed.push(address);
                named = other_sources;
            }
            Err(error) => {
                log::info!("peers: fetch failed; peer={address} error={error:?}");
                failed.push(address);
            }
        }
        // Limits the rate of calls to a peer that responds immediately.
        if !needs_tables && core.now().since_ms(now) < CHECK_INTERVAL.as_millis() as u64 {
            tokio::time::sleep(CHECK_INTERVAL / 3).await;
        }
    }
}

/// What a response of a peer shows.
#[derive(Debug)]
struct Fetched {
    /// The peer reads the store or follows a peer that does.
    is_current: bool,
    /// It provided the homes of all objects.
    has_homes: bool,
    /// Peers that provide the tables if this one does not.
    other_sources: Vec<SocketAddr>,
}

/// Fetches and applies the changes of a peer.
async fn fetch(core: &Rc<Core>, client: &mut HttpClient, homes: bool) -> Result<Fetched, String> {
    let query = {
        let tables = core.tables.borrow();
        let known = |table| tables.get(table).known_versions();
        let number = |table| known(table).map(|known| known.complete.number);
        let era = |table| known(table).map_or(0, |known| known.complete.era.0);
        let highest = |table| {
            let KnownVersions { complete, highest } = known(table)?;
            (highest.era == complete.era && highest > complete).then_some(highest.number)
        };
        ChangesQuery {
            operator: number(Table::Operator),
            servers: number(Table::Servers),
            instances: number(Table::Instances),
            homes,
            operator_era: era(Table::Operator),
            servers_era: era(Table::Servers),
            instances_era: era(Table::Instances),
            operator_highest: highest(Table::Operator),
            servers_highest: highest(Table::Servers),
            instances_highest: highest(Table::Instances),
        }
    };
    let body = query.encode_to_vec();
    let limit =
        if query.is_for_snapshot() { SNAPSHOT_TIMEOUT } else { MAX_WAIT + RESPONSE_TIMEOUT };
    let reply = client.call(Method::POST, CHANGES_PATH, body, limit).await;
    let (head, body) = reply.map_err(|e| e.to_string())?.into_parts();
    let status = head.status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        // An older build names none.
        let other_sources = OtherSources::decode(body).unwrap_or_default().addresses();
        return Ok(Fetched { is_current: false, has_homes: false, other_sources });
    }
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    let response = ChangesResponse::decode(decompress(&body)?).map_err(|e| e.to_string())?;
    let has_homes = response.homes.is_some();
    if let Some(homes) = response.homes {
        homes::apply(core, &homes);
        core.has_homes.set(true);
    }
    for (table, changes) in [
        (Table::Operator, response.operator),
        (Table::Servers, response.servers),
        (Table::Instances, response.instances),
    ] {
        let Some(changes) = changes else { continue };
        // A peer of a build without eras has rows of the era that is known here.
        let era = |era: Option<u64>| era.map_or(core.current_era(), StoreEra);
        let version = |number, number_era| StoreVersion { era: era(number_era), number };
        let written = changes.rows.iter().filter_map(|row| {
            let Written { started_at_ms, sequence } = row.written?;
            Some((row.key.clone(), WriteOrder { started_at_ms, sequence }))
        });
        let written = written.collect();
        let mut rows: Vec<Row> = changes
            .rows
            .into_iter()
            .map(|row| Row {
                key: row.key,
                value: row.value,
                version: version(row.version, row.era),
            })
            .collect();
        let known_version = changes.version.map(|number| version(number, changes.era));
        if let Some(version) = known_version.filter(|_| changes.is_whole) {
            let removals = core.tables.borrow().get(table).removals_for_whole_table(&rows, version);
            rows.extend(removals);
        }
        let is_whole = changes.is_whole || query.known(table).is_none();
        // A peer of a build that does not tell may know no removal before its version.
        let since =
            changes.removals_known_since.map(|number| version(number, changes.removals_era));
        let gaps = changes.gap_starts.iter().zip(&changes.gap_ends);
        let removal_gaps = gaps.map(|(start, end)| RemovalGap {
            start: version(*start, changes.era),
            end: version(*end, changes.era),
        });
        let removal_gaps = removal_gaps.collect();
        let changes = PeerChanges {
            rows,
            written,
            version: known_version,
            copied_up_to: changes.copied_up_to.map(|number| version(number, changes.era)),
            whole_since: since.or(known_version).filter(|_| is_whole),
            removal_gaps,
        };
        apply::apply_peer_changes(core, table, changes);
    }
    Ok(Fetched { is_current: response.current, has_homes, other_sources: Vec::new() })
}
