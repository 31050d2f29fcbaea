//! Passes changes of the store's tables from one instance to another.
//!
//! In each region one instance reads the store, and the others wait for changes at that one. This
//! keeps the calls to the store independent of the number of instances, and lets an instance that
//! the store turns away learn what its peers know.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use pollenshed_platform::store::Row;
use pollenshed_transport::{call::Caller, forward::AnswerBody};
use prost::Message;
use tokio::time::timeout;

use super::{apply, core::Core, homes::ClaimList, lookup::plain, tables::Table};

/// Path of the call for changes.
const CHANGES_PATH: &str = "/v1/changes";

/// Time that a peer waits for a change. A peer that died is noticed soon after it.
const WAIT: Duration = Duration::from_millis(600);

/// Longest time for an answer beyond the wait, with two transfers between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause between two looks for a peer that has changes.
const IDLE_PAUSE: Duration = Duration::from_millis(150);

/// Longest question.
const MAX_QUESTION_BYTES: usize = 1024;

/// What an instance knows already.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Question {
    #[prost(uint64, optional, tag = "1")]
    operator: Option<u64>,
    #[prost(uint64, optional, tag = "2")]
    servers: Option<u64>,
    #[prost(uint64, optional, tag = "3")]
    instances: Option<u64>,
    /// Asks for the homes of all objects.
    #[prost(bool, tag = "4")]
    homes: bool,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct ChangedRow {
    #[prost(string, tag = "1")]
    key: String,
    /// Missing if the row was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    value: Option<Bytes>,
    #[prost(uint64, tag = "3")]
    version: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct Changes {
    /// Version up to which the peer knows the table; missing if it was never read.
    #[prost(uint64, optional, tag = "1")]
    version: Option<u64>,
    #[prost(message, repeated, tag = "2")]
    rows: Vec<ChangedRow>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct View {
    #[prost(message, optional, tag = "1")]
    operator: Option<Changes>,
    #[prost(message, optional, tag = "2")]
    servers: Option<Changes>,
    #[prost(message, optional, tag = "3")]
    instances: Option<Changes>,
    #[prost(message, optional, tag = "4")]
    homes: Option<ClaimList>,
    /// The peer reads the store or follows one that does.
    #[prost(bool, tag = "5")]
    current: bool,
}

impl View {
    fn has_rows(&self) -> bool {
        let tables = [&self.operator, &self.servers, &self.instances];
        tables.into_iter().flatten().any(|changes| !changes.rows.is_empty())
    }
}

/// Answers a peer that asks for changes.
pub async fn answer(core: Rc<Core>, request: Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != CHANGES_PATH {
        return plain(StatusCode::NOT_FOUND);
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_QUESTION_BYTES).collect().await else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let Ok(question) = Question::decode(body.to_bytes()) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    if !question.homes {
        wait_for_change(&core, &question).await;
    }
    let view = view(&core, &question);
    let answer = view.encode_to_vec();
    core.metrics.peer_answer(view.has_rows(), answer.len());
    Response::new(AnswerBody::from(Bytes::from(answer)))
}

async fn wait_for_change(core: &Core, question: &Question) {
    let mut changed = core.changed.subscribe();
    let wait = async {
        // A peer of an instance that has fallen behind looks for another one at once.
        while !has_changes(core, question) && core.is_current() {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // Without a change the peer asks again.
    let _ = timeout(WAIT, wait).await;
}

fn has_changes(core: &Core, question: &Question) -> bool {
    let tables = core.tables.borrow();
    let asked = [
        (Table::Operator, question.operator),
        (Table::Servers, question.servers),
        (Table::Instances, question.instances),
    ];
    asked.into_iter().any(|(table, after)| match after {
        Some(after) => !tables.get(table).changes(after).is_empty(),
        None => tables.get(table).version.is_some(),
    })
}

fn view(core: &Core, question: &Question) -> View {
    let tables = core.tables.borrow();
    let changes = |table: Table, after: Option<u64>| {
        let view = tables.get(table);
        let rows = view.changes(after.unwrap_or(0)).into_iter().map(|row| ChangedRow {
            key: row.key,
            value: row.value,
            version: row.version,
        });
        Some(Changes { version: view.published_version(), rows: rows.collect() })
    };
    let homes = question.homes.then(|| ClaimList::new(&core.fleet.borrow().homes.all_claims()));
    View {
        operator: changes(Table::Operator, question.operator),
        servers: changes(Table::Servers, question.servers),
        instances: changes(Table::Instances, question.instances),
        homes,
        current: core.is_current(),
    }
}

/// Follows peers whenever this instance does not read the store itself, until the process ends.
pub async fn follow(core: Rc<Core>) {
    let mut source: Option<(std::net::SocketAddr, Caller)> = None;
    let mut needs_homes = true;
    let mut failed = Vec::new();
    loop {
        let now = core.now();
        let wanted = core.feeding_peer(&failed);
        let Some(peer) =
            wanted.filter(|_| needs_homes || !core.reads_store() || !core.store_is_confirmed())
        else {
            failed.clear();
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        };
        let reuse = source.take().filter(|(address, _)| *address == peer);
        let (address, mut caller) = reuse.unwrap_or_else(|| (peer, Caller::new(peer)));
        match fetch(&core, &mut caller, needs_homes).await {
            Ok(true) => {
                core.fed_at.set(Some(core.now()));
                needs_homes = false;
                failed.clear();
                source = Some((address, caller));
            }
            Ok(false) => failed.push(address),
            Err(error) => {
                log::info!("peers: no changes; peer={address} error={error:?}");
                failed.push(address);
            }
        }
        // A peer that answers at once must not be asked in a tight loop.
        if core.now().since_ms(now) < IDLE_PAUSE.as_millis() as u64 {
            tokio::time::sleep(IDLE_PAUSE / 3).await;
        }
    }
}

/// Takes the changes of a peer. Returns whether the peer is current.
async fn fetch(core: &Rc<Core>, caller: &mut Caller, homes: bool) -> Result<bool, String> {
    let question = {
        let tables = core.tables.borrow();
        Question {
            operator: tables.operator.version,
            servers: tables.servers.version,
            instances: tables.instances.version,
            homes,
        }
    };
    let body = question.encode_to_vec();
    let answer = caller.call(Method::POST, CHANGES_PATH, body, WAIT + ANSWER_TIMEOUT).await;
    let (status, body) = answer.map_err(|e| e.to_string())?;
    if !status.is_success() {
        return Err(format!("status {status}"));
    }
    let view = View::decode(body).map_err(|e| e.to_string())?;
    if let Some(homes) = &view.homes {
        core.fleet.borrow_mut().homes.merge(homes.claims(), core.now());
    }
    for (table, changes) in [
        (Table::Operator, view.operator),
        (Table::Servers, view.servers),
        (Table::Instances, view.instances),
    ] {
        let Some(changes) = changes else { continue };
        let rows = changes
            .rows
            .into_iter()
            .map(|row| Row { key: row.key, value: row.value, version: row.version })
            .collect();
        apply::take_from_peer(core, table, rows, changes.version);
    }
    Ok(view.current)
}
